#include <jujubequay/policy/flow_choice.h>

#include <algorithm>
#include <limits>

namespace Jujubequay {

namespace {

/// Smaller differences are noise, because estimates converge to the typical work as reports age.
constexpr double tieMarginRequests = 0.5;

double expectedWork(const FlowCandidate &flow)
{
    return std::max<double>(flow.work, flow.outstandingRequests);
}

}

std::optional<std::size_t> chooseFlow(std::span<const FlowCandidate> flows, std::mt19937_64 &random)
{
    double least = std::numeric_limits<double>::max();
    for (const FlowCandidate &flow : flows) {
        if (flow.isUsable) {
            least = std::min(least, expectedWork(flow));
        }
    }
    std::optional<std::size_t> chosen;
    std::uint64_t ties = 0;
    for (std::size_t index = 0; index < flows.size(); ++index) {
        if (!flows[index].isUsable || expectedWork(flows[index]) > least + tieMarginRequests) {
            continue;
        }
        ++ties;
        if (random() % ties == 0) {
            chosen = index;
        }
    }
    return chosen;
}

}
