#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>

namespace Jujubequay {

/// One of the caller's flows. Each goes to a different server of the service.
struct FlowCandidate {
    double work = 0; ///< LoadEstimate::work of the flow's server
    std::uint32_t outstandingRequests = 0; ///< the caller's unanswered requests on the flow
    bool isUsable = true; ///< false while the flow is being opened or its server is draining
};

/// Chooses the flow for the next request: a random one of those whose expected work is within half a request of the smallest.
/// Returns its index; empty if no flow is usable. Outdated estimates cost one round trip and no queueing, because a server
/// without a free slot moves the request once to another flow.
std::optional<std::size_t> chooseFlow(std::span<const FlowCandidate> flows, std::mt19937_64 &random);

}
