#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace Jujubequay {

/// A server as the choice for a new flow sees it.
struct ServerLoad {
    double waiting = 0; ///< requests that run or wait
    double openFlows = 0;
    double slots = 1; ///< requests that it runs at the same time
    bool isLocal = true; ///< in the availability zone of the balancer
};

struct LeastLoadedOptions {
    /// Requests that an idle open flow stands for. A caller of long flows has a request under way about this share of the time.
    double openFlowWeight = 0.03;
    /// Requests for each slot that the way to another availability zone is worth: below this difference a flow stays local.
    double remotePenalty = 0.25;
};

/// Pattern: least outstanding requests, availability zone first with spill-over. Returns the index of the server for a new flow;
/// `flowHash` breaks ties, so that balancers with the same view do not all take the first one. Empty for no servers.
std::optional<std::size_t> chooseLeastLoaded(std::span<const ServerLoad> servers, const LeastLoadedOptions &options, std::uint64_t flowHash);

}
