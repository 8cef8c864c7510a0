#include <jujubequay/policy/least_loaded.h>

#include <algorithm>

namespace Jujubequay {

namespace {

double costOf(const LeastLoadedCandidate &server, const LeastLoadedOptions &options)
{
    const double requests = 1.0 + server.activeRequests + options.openFlowWeight * server.openFlows;
    const double cost = requests / std::max(server.slots, 1.0);
    return cost + (server.isLocal ? 0.0 : options.remotePenalty);
}

}

std::optional<std::size_t> chooseLeastLoaded(std::span<const LeastLoadedCandidate> servers, const LeastLoadedOptions &options, std::uint64_t flowHash)
{
    std::optional<std::size_t> best;
    double bestCost = 0;
    for (std::size_t step = 0; step < servers.size(); ++step) {
        const std::size_t index = (flowHash + step) % servers.size();
        const double cost = costOf(servers[index], options);
        if (!best || cost < bestCost) {
            best = index;
            bestCost = cost;
        }
    }
    return best;
}

}
