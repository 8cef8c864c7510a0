#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>

namespace Jujubequay {

/// One of the flows that a caller holds to different servers of a service.
struct FlowCandidate {
    double work = 0; ///< LoadEstimate::work of its server
    std::uint32_t outstanding = 0; ///< own requests on the flow
    bool usable = true; ///< false while the flow is being opened, or its server is draining
};

/// Index of the flow for the next request: the least estimated work, a random one of those within half a request. Empty if
/// no flow is usable. A server without a free slot moves the request once to the other flow, so stale figures cost a round
/// trip and no queueing.
std::optional<std::size_t> chooseFlow(std::span<const FlowCandidate> flows, std::mt19937_64 &random);

}
