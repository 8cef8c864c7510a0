#include <jujubequay/steering/agent_steering.h>

#include <set>
#include <utility>

// Restoration of the flow table of an agent that has restarted beside its server. The registrars of a flow tell its owner's agent about the flow,
// since the agent would otherwise forget it, and the registrars after it as soon as they restart, too.

namespace Jujubequay {

void AgentSteering::returnFlowsToRestartedAgents(const ConfigSnapshot &snapshot)
{
    std::set<HostAddress> restarted;
    for (const ServerSnapshot &server : snapshot.servers) {
        const auto known = m_agentEpochs.try_emplace(server.relayAddress, server.agentEpoch).first;
        if (std::exchange(known->second, server.agentEpoch) != server.agentEpoch) {
            restarted.insert(server.relayAddress);
        }
    }
    std::erase_if(m_agentEpochs, [this](const auto &entry) {
        return m_directory.find(entry.first) == nullptr;
    });
    if (restarted.empty()) {
        return;
    }
    for (auto &[tuple, flow] : m_flows) {
        if (flow.state == FlowState::Remote && restarted.contains(flow.remoteAgent) && !m_directory.hasEnded(flow.remoteAgent, flow.remoteIncarnation)) {
            // The owner answers by registering the flow, which ends the notification.
            flow.registrars = {RegistrarState{{flow.remoteAgent, m_agentEpochs[flow.remoteAgent]}}};
            m_pendingNotifications.insert(tuple);
        }
    }
}

void AgentSteering::restoreFlow(TimePoint now, const OwnerNotice &notice)
{
    const bool areIncarnationsKnown = notice.incarnation != Incarnation() && confirmedIncarnation() != Incarnation();
    const bool isOtherServer = !m_server || (areIncarnationsKnown && notice.incarnation != confirmedIncarnation());
    if (isOtherServer || m_rejectedProbes.contains(notice.tuple)) {
        return;
    }
    const auto found = m_flows.find(notice.tuple);
    const bool isOpen = found != m_flows.end() && (found->second.state == FlowState::Open || found->second.state == FlowState::Restored);
    const bool isUnknown = found == m_flows.end() || found->second.state == FlowState::Remote;
    if (!isOpen && (!isUnknown || isFlowTableComplete(now))) {
        return;
    }
    Flow &flow = m_flows[notice.tuple];
    if (isUnknown) {
        flow = {};
        flow.state = FlowState::Restored;
        flow.remoteIncarnation = notice.incarnation;
        flow.lastUsed = now;
    }
    flow.registrars.clear();
    updateRegistrars(notice.tuple, flow);
    m_pendingNotifications.insert(notice.tuple);
}

void AgentSteering::removeInvalidRestoredFlows()
{
    const Incarnation current = confirmedIncarnation();
    std::erase_if(m_flows, [&](const auto &entry) {
        const Flow &flow = entry.second;
        const bool isOtherServer = flow.remoteIncarnation != Incarnation() && current != Incarnation() && flow.remoteIncarnation != current;
        return flow.state == FlowState::Restored && (!m_server || isOtherServer);
    });
}

}
