#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace Jujubequay {

/// Load and location of a server to choose from for a new flow.
struct LeastLoadedCandidate {
    double activeRequests = 0; ///< running and waiting requests
    double openFlows = 0;
    double slots = 1; ///< requests that the server runs at the same time
    bool isLocal = true; ///< the server is in the availability zone of the balancer
};

struct LeastLoadedOptions {
    /// Number of requests that an open flow counts as. The caller of a long-lived flow has a request in progress about this share
    /// of the time.
    double openFlowWeight = 0.03;
    /// Cost of a server in another availability zone, in requests per slot. The flow goes to a server in the balancer's zone unless
    /// the difference in load exceeds this.
    double remotePenalty = 0.25;
};

/// Chooses the server for a new flow by least outstanding requests per slot, and prefers the balancer's availability zone.
/// Returns the index of the server; empty if there are no servers. `flowHash` breaks ties, so that balancers with equal load
/// figures do not all choose the first server.
std::optional<std::size_t> chooseLeastLoaded(std::span<const LeastLoadedCandidate> servers, const LeastLoadedOptions &options, std::uint64_t flowHash);

}
