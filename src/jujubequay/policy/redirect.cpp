#include <jujubequay/policy/redirect.h>

#include <algorithm>

namespace Jujubequay {

namespace {

/// A server in its cold-start ramp counts with at least a tenth of its weight. This avoids a division by zero.
constexpr double minRamp = 0.1;

/// Number of flows, scaled to a server of weight 100 that has passed its cold-start ramp.
double flowsPerWeight(double flows, std::uint32_t weight, double rampProgress)
{
    return flows * 100 / (std::max<std::uint32_t>(weight, 1) * std::max(rampProgress, minRamp));
}

}

bool shouldRedirect(const LocalLoad &local, const SecondChoiceLoad &second, const RedirectOptions &options)
{
    if (local.draining) {
        return true;
    }
    const bool secondIsFull = second.flows && *second.flows >= options.maxFlows;
    if (local.load.flows >= options.maxFlows) {
        return !secondIsFull;
    }
    if (secondIsFull) {
        return false;
    }
    if (!second.flows) {
        return local.load.queued >= options.slots;
    }
    const double secondQueued = std::max(0.0, second.work - options.slots);
    const double localFlows = local.load.flows + local.load.queued * options.flowsPerQueuedRequest;
    const double secondFlows = *second.flows + secondQueued * options.flowsPerQueuedRequest;
    return flowsPerWeight(localFlows, local.weight, local.rampProgress) >= flowsPerWeight(secondFlows + options.flowMargin, second.weight, second.rampProgress);
}

bool shouldRelocate(const LocalLoad &local, const SecondChoiceLoad &target, const RedirectOptions &options)
{
    if (!target.flows || local.draining) {
        return false;
    }
    const double targetFlows = *target.flows * (1 + options.relocationShare) + options.flowMargin;
    return flowsPerWeight(local.load.flows, local.weight, local.rampProgress) > flowsPerWeight(targetFlows, target.weight, target.rampProgress);
}

}
