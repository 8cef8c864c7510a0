#include "network.h"

namespace Jujubequay::Bench {

namespace {

using namespace std::chrono_literals;

constexpr Duration delayWithinZone = 200us;
constexpr double callerLossProbability = 0.002;
/// QUIC retransmits a lost packet after about three one-way delays plus this acknowledgement delay.
constexpr Duration acknowledgementDelay = 25ms;

double uniform(std::mt19937_64 &random, double low, double high)
{
    return std::uniform_real_distribution<double>(low, high)(random);
}

}

Network::Network(const Deployment &deployment, std::mt19937_64 &random)
    : m_deployment(deployment)
    , m_random(random)
{
    for (int from = 0; from < zoneCount; ++from) {
        for (int to = 0; to < zoneCount; ++to) {
            m_delayFactor[from][to] = uniform(random, 0.75, 1.25);
            m_lossProbability[from][to] = from == to ? 0 : uniform(random, 0.0005, 0.01);
        }
    }
}

Duration Network::betweenZones(int from, int to, std::uint32_t bytes)
{
    const Duration delay = from == to ? delayWithinZone : std::chrono::duration_cast<Duration>(m_deployment.zoneDelay * m_delayFactor[from][to]);
    int transmissions = 1;
    const Duration time = transfer(delay, m_lossProbability[from][to], transmissions);
    if (from != to) {
        m_bytes += std::uint64_t{bytes} * static_cast<std::uint64_t>(transmissions);
    }
    return time;
}

Duration Network::toCaller(std::uint32_t)
{
    int transmissions = 1;
    return transfer(m_deployment.callerDelay, callerLossProbability, transmissions);
}

std::uint64_t Network::bytesBetweenZones() const
{
    return m_bytes;
}

Duration Network::transfer(Duration delay, double lossProbability, int &transmissions)
{
    Duration time = std::chrono::duration_cast<Duration>(delay * uniform(m_random, 1.0, 1.2));
    while (uniform(m_random, 0, 1) < lossProbability) {
        time += 3 * delay + acknowledgementDelay;
        ++transmissions;
    }
    return time;
}

}
