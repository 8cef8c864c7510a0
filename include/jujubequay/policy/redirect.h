#pragma once

#include <jujubequay/policy/load_estimate.h>

#include <cstdint>

namespace Jujubequay {

struct RedirectOptions {
    std::uint32_t slots = 3; ///< requests that a server runs at the same time
    std::uint32_t maxFlows = 2000; ///< a server with this many flows is full
    /// The second choice must have at least this many fewer flows. With a margin of one, servers of equal load would redirect
    /// Initial packets to each other.
    double flowMargin = 2;
    /// An idle flow is relocated only if the target has fewer flows by this share. Each relocation costs a handshake, and the
    /// placement of new flows keeps the difference smaller than this as long as the set of servers does not change.
    double relocationShare = 0.1;
    /// Number of flows that one queued request counts as. Running requests are not counted: flows last for hours, and requests
    /// for a short time unless they have to queue.
    double flowsPerQueuedRequest = 4;
};

/// Load of the server that makes the decision.
struct LocalLoad {
    LoadReport load;
    std::uint32_t weight = 100; ///< placement weight
    double rampProgress = 1; ///< share of the cold-start ramp that has passed
    bool draining = false;
};

/// Load of the second choice, as estimated by the first choice.
struct SecondChoiceLoad {
    std::optional<double> flows; ///< LoadEstimate::flows
    double work = 0; ///< LoadEstimate::work
    std::uint32_t weight = 100; ///< placement weight
    double rampProgress = 1; ///< LoadEstimate::rampProgress
};

/// True if the first choice should redirect an Initial packet to the second choice, which then must answer it. Without a recent
/// report of the second choice, only a server that is draining, is full or has one queued request for each slot redirects.
bool shouldRedirect(const LocalLoad &local, const SecondChoiceLoad &second, const RedirectOptions &options);

/// True if the server should relocate an idle flow without a feed: its caller opens a flow to the target, which replaces the old
/// one. Without relocation, a new server would stay nearly empty until the callers' long-lived flows end.
bool shouldRelocate(const LocalLoad &local, const SecondChoiceLoad &target, const RedirectOptions &options);

}
