#include <jujubequay/policy/handover.h>

#include <algorithm>

namespace Jujubequay {

namespace {

/// A server counts at a tenth of its weight or more while it warms up, which avoids a division by zero.
constexpr double minRamp = 0.1;

double perWeight(double flows, std::uint32_t weight, double ramp)
{
    return flows * 100 / (std::max<std::uint32_t>(weight, 1) * std::max(ramp, minRamp));
}

}

bool shouldHandOver(const OwnLoad &own, const SecondChoiceLoad &second, const HandOverOptions &options)
{
    if (own.draining) {
        return true;
    }
    const bool secondIsFull = second.flows && *second.flows >= options.maxFlows;
    if (own.load.flows >= options.maxFlows) {
        return !secondIsFull;
    }
    if (secondIsFull) {
        return false;
    }
    if (!second.flows) {
        return own.load.queued >= options.slots;
    }
    const double secondQueued = std::max(0.0, second.work - options.slots);
    const double ownFlows = own.load.flows + own.load.queued * options.flowsPerQueuedRequest;
    const double secondFlows = *second.flows + secondQueued * options.flowsPerQueuedRequest;
    return perWeight(ownFlows, own.weight, own.ramp) >= perWeight(secondFlows + options.flowMargin, second.weight, second.ramp);
}

bool shouldRelocate(const OwnLoad &own, const SecondChoiceLoad &target, const HandOverOptions &options)
{
    if (!target.flows || own.draining) {
        return false;
    }
    const double targetFlows = *target.flows * (1 + options.relocationShare) + options.flowMargin;
    return perWeight(own.load.flows, own.weight, own.ramp) > perWeight(targetFlows, target.weight, target.ramp);
}

}
