#include <jujubequay/steering/agent_steering.h>

// Records of open flows in AgentSteering.

namespace Jujubequay {

FlowRecordChanges AgentSteering::takeFlowRecordChanges(TimePoint now)
{
    FlowRecordChanges result;
    result.incarnation = confirmedIncarnation();
    if (result.incarnation == Incarnation()) {
        return result;
    }
    if (result.incarnation != m_recordedIncarnation) {
        m_flowRecorder.clear();
        m_recordedIncarnation = result.incarnation;
        result.isFull = true;
    }
    for (const auto &[tuple, flow] : m_flows) {
        // Without data of the caller its acknowledgement number is unknown.
        if (flow.state == FlowState::Open && flow.callerSequenceEnd) {
            m_flowRecorder.observe(now, tuple, flow.openedAt, flow.lastCallerAcknowledgement);
        }
    }
    result.changes = m_flowRecorder.takeChanges();
    return result;
}

// A server accepts flows before its first announcement, so an earlier run of the agent may have recorded them as flows of the server before. It records a
// flow only once it has a minimum age, so it has recorded none of a server that started within that time before this run.
bool AgentSteering::mayHaveRecordedFlowsOfServer(TimePoint now) const
{
    const bool hasStartedWithAgent
        = m_unobservedBefore && m_server && m_server->startedAt && *m_server->startedAt + FlowRecorderOptions().minAge > *m_unobservedBefore;
    return !isFlowTableComplete(now) && !hasStartedWithAgent;
}

std::vector<ResetCaller> AgentSteering::endFlows(TimePoint now, const EndedFlowsNotice &notice)
{
    std::vector<ResetCaller> resets;
    const Incarnation current = confirmedIncarnation();
    if (current == Incarnation() || !isConfirmed(notice.incarnation) || notice.incarnation == current) {
        return resets;
    }
    // The server answers the next packet of a flow that is not its own.
    if (mayHaveRecordedFlowsOfServer(now)) {
        return resets;
    }
    for (const RecordedFlow &recorded : notice.flows) {
        // A caller may have opened another flow with the same addresses and ports.
        if (m_flows.contains(recorded.tuple)) {
            continue;
        }
        Flow &flow = m_flows[recorded.tuple];
        flow.state = FlowState::Orphaned;
        flow.lastUsed = now;
        flow.serverSequence = recorded.acknowledgement;
        flow.evidence = {m_options.agent, notice.incarnation, OwnershipSource::FlowRecord, now, ServerEnd{ServerEndCause::Replaced, current, now}};
        resets.push_back({recorded.tuple, recorded.acknowledgement, SteerCause::ServerReplaced, false, flow.evidence});
    }
    return resets;
}

}
