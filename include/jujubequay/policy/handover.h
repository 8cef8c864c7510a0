#pragma once

#include <jujubequay/policy/load_estimate.h>

#include <cstdint>

namespace Jujubequay {

struct HandOverOptions {
    std::uint32_t slots = 3;
    std::uint32_t maxFlows = 2000;
    /// The second choice must have at least this many flows less. One would pass openings back and forth on equal load.
    double flowMargin = 2;
    /// An idle flow moves only to a server with less flows by this share. Each move costs a handshake, and openings alone
    /// keep the difference below it while the set of servers does not change.
    double relocationShare = 0.1;
    /// Flows that one queued request weighs. Flows last for hours and a queue for seconds, so work counts only as a queue.
    double flowsPerQueuedRequest = 4;
};

/// The server that decides.
struct OwnLoad {
    LoadReport load;
    std::uint32_t weight = 100; ///< placement weight
    double ramp = 1; ///< share of the cold-start ramp that has passed
    bool draining = false;
};

/// What the first choice knows of the second.
struct SecondChoiceLoad {
    std::optional<double> flows; ///< LoadEstimate::flows
    double work = 0; ///< LoadEstimate::work
    std::uint32_t weight = 100;
    double ramp = 1; ///< LoadEstimate::ramp
};

/// True if the first choice should pass an opening to the second choice, which then must answer it. Without recent
/// figures of the second choice, an opening is passed on only by a server that is draining, full or has a queue of one
/// request for each slot.
bool shouldHandOver(const OwnLoad &own, const SecondChoiceLoad &second, const HandOverOptions &options);

/// True if the server should invite the caller of an idle flow without a feed to open another flow at the target, which then
/// replaces this one. Without this, a server that joins would stay nearly empty for as long as flows last.
bool shouldRelocate(const OwnLoad &own, const SecondChoiceLoad &target, const HandOverOptions &options);

}
