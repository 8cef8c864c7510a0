#include <jujubequay/steering/agent_steering.h>

#include <algorithm>
#include <limits>
#include <utility>

// Requests at the local server, and its load, in AgentSteering.

namespace Jujubequay {

namespace {

std::uint16_t clampToUint16(std::size_t value)
{
    return static_cast<std::uint16_t>(std::min<std::size_t>(value, std::numeric_limits<std::uint16_t>::max()));
}

}

void AgentSteering::startRequest(TimePoint now, Flow &flow)
{
    flow.requestSentAt = now;
    if (!flow.hasPendingRequest) {
        flow.holdTime = {};
        flow.hasPendingRequest = true;
        ++m_pendingRequestCount;
    }
}

void AgentSteering::finishRequest(Flow &flow)
{
    if (flow.hasPendingRequest) {
        flow.hasPendingRequest = false;
        --m_pendingRequestCount;
    }
}

Duration AgentSteering::requestTimeout(const HostAddress &service) const
{
    const Route *route = m_directory.routes().find(service);
    return route == nullptr ? m_options.defaultRequestTimeout : route->timeout;
}

TimePoint AgentSteering::latencyGoalAt(TimePoint now, const HostAddress &service, const Flow &flow, bool isFirstRequest) const
{
    const Route *route = m_directory.routes().find(service);
    Duration goal = m_options.defaultRequestTimeout;
    if (route != nullptr) {
        goal = route->latencyGoal.count() > 0 ? route->latencyGoal : route->timeout;
    }
    const bool isSynKnown = flow.synReceivedAt != TimePoint();
    return (isFirstRequest && isSynKnown ? flow.synReceivedAt : now) + goal;
}

Duration AgentSteering::serviceTime() const
{
    return m_serviceTime;
}

// A retransmission must not count as another request.
bool AgentSteering::recordCallerData(Flow &flow, const Segment &segment)
{
    const std::uint32_t end = segment.sequence + segment.length;
    const bool isNew = segment.length > 0 && (!flow.callerSequenceEnd || static_cast<std::int32_t>(end - *flow.callerSequenceEnd) > 0);
    if (isNew) {
        flow.callerSequenceEnd = end;
    }
    return isNew;
}

bool AgentSteering::canStartRequest() const
{
    // A server that announces no slots runs at least one request at a time.
    return !m_server || m_pendingRequestCount < std::size_t{m_options.requestsPerSlot} * std::max<std::size_t>(m_server->slots, 1);
}

bool AgentSteering::holdIfServerBusy(TimePoint now, Flow &flow)
{
    if (canStartRequest() || m_heldRequestCount >= m_options.maxHeldRequests) {
        return false;
    }
    flow.heldSince = now;
    ++m_heldRequestCount;
    return true;
}

void AgentSteering::endHold(Flow &flow)
{
    if (flow.heldSince) {
        flow.heldSince.reset();
        --m_heldRequestCount;
    }
}

AgentDecision AgentSteering::startHeldRequest(TimePoint now, const Segment &segment)
{
    const auto found = m_flows.find(flowTupleFromCaller(segment));
    if (found == m_flows.end() || found->second.state != FlowState::Open || !found->second.heldSince) {
        return DropPacket{SteerCause::UnknownFlow};
    }
    Flow &flow = found->second;
    const Duration holdTime = now - *flow.heldSince;
    endHold(flow);
    flow.lastUsed = now;
    startRequest(now, flow);
    flow.holdTime = holdTime;
    return DeliverToServer{};
}

std::vector<AnsweredRequest> AgentSteering::takeAnsweredRequests()
{
    return std::exchange(m_answeredRequests, {});
}

LoadNotice AgentSteering::load() const
{
    LoadNotice notice;
    notice.agent = m_options.agent;
    notice.pendingRequests = clampToUint16(m_pendingRequestCount + m_heldRequestCount);
    notice.openFlows = clampToUint16(m_localFlowCount);
    notice.slots = m_server ? m_server->slots : 0;
    notice.acceptsNewFlows = m_server && m_server->acceptsNewFlows && isServerHealthy();
    return notice;
}

bool AgentSteering::isServerHealthy() const
{
    return m_outlierDetector.isHealthy();
}

}
