#include <jujubequay/consensus_testing/fake_network.h>

namespace Jujubequay::Consensus {

std::vector<Duration> FakeNetwork::deliveryDelays(std::size_t from, std::size_t to, std::mt19937_64 &random) const
{
    std::vector<Duration> delays;
    std::uniform_real_distribution<double> chance(0, 1);
    std::uniform_int_distribution<Duration::rep> delay(minDelay.count(), maxDelay.count());
    const int copies = chance(random) < duplicateProbability ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const bool lost = chance(random) < lossProbability;
        const Duration time(delay(random));
        if (!lost && !blockedLinks.contains({from, to})) {
            delays.push_back(time);
        }
    }
    return delays;
}

}
