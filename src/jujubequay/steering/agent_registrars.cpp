#include <jujubequay/steering/agent_steering.h>

#include <algorithm>
#include <utility>

// Registration of flows with their registrars, and owner notices of other agents, in AgentSteering.

namespace Jujubequay {

void AgentSteering::handleOwnerNotice(TimePoint now, const OwnerNotice &notice)
{
    if (notice.owner == m_options.agent) {
        restoreFlow(now, notice);
        return;
    }
    // A notice about an ended server may belong to an earlier flow with the same addresses and ports.
    if (m_directory.hasEnded(notice.owner, notice.incarnation)) {
        return;
    }
    const auto found = m_flows.find(notice.tuple);
    if (found != m_flows.end() && found->second.state == FlowState::Open) {
        // The caller may have abandoned the flow of the local server and opened another one. If the local server rejects a packet or ends, the other
        // server is asked.
        found->second.remoteAgent = notice.owner;
        found->second.remoteIncarnation = notice.incarnation;
        found->second.remoteLearnedAt = now;
        found->second.remoteSequence = notice.callerSequence;
        found->second.isContested = true;
        return;
    }
    const bool isContested = found != m_flows.end() && contradicts(notice, found->second);
    // The caller's acknowledgement will show whether it has opened a flow at the local server or at the one in the notice.
    const bool keepsState = found != m_flows.end() && isHalfOpen(found->second);
    if (found != m_flows.end() && !keepsState) {
        removeFromCounts(found->second);
    }
    Flow &flow = m_flows[notice.tuple];
    if (!keepsState) {
        flow = {};
        flow.state = FlowState::Remote;
    }
    flow.remoteAgent = notice.owner;
    flow.remoteIncarnation = notice.incarnation;
    flow.remoteLearnedAt = now;
    flow.remoteSequence = notice.callerSequence;
    flow.isContested = isContested;
    flow.lastUsed = now;
}

// Notices that name different owners belong to different flows, and may arrive in any order.
bool AgentSteering::contradicts(const OwnerNotice &notice, const Flow &flow)
{
    const bool areIncarnationsKnown = flow.remoteIncarnation != Incarnation() && notice.incarnation != Incarnation();
    const bool isOtherIncarnation = areIncarnationsKnown && flow.remoteIncarnation != notice.incarnation;
    const bool isOwnerContradicted = flow.state == FlowState::Remote && (flow.isContested || flow.remoteAgent != notice.owner || isOtherIncarnation);
    return flow.state == FlowState::Restored || isOwnerContradicted;
}

AddressedNotice AgentSteering::noticeToBalancer(const SteerHeader &header, const FlowTuple &tuple, const Flow &flow) const
{
    return {header.balancer,
            {tuple,
             m_options.agent,
             header.acceptsIncarnations ? confirmedIncarnation() : Incarnation(),
             header.acceptsCallerSequences ? flow.callerSequence : std::nullopt}};
}

// That the local server owns a restored flow is not certain, so its registrars get no incarnation: they must not reset it when this server ends.
OwnerNotice AgentSteering::noticeOf(const FlowTuple &tuple, const Flow &flow, bool isShort) const
{
    if (flow.state == FlowState::Remote) {
        return {tuple, flow.remoteAgent, flow.remoteIncarnation, flow.remoteSequence};
    }
    const bool isConfirmed = flow.state == FlowState::Open && !isShort;
    return isConfirmed ? OwnerNotice{tuple, m_options.agent, confirmedIncarnation(), flow.callerSequence} : OwnerNotice{tuple, m_options.agent, {}};
}

void AgentSteering::registerFlow(TimePoint now, const FlowTuple &tuple, Flow &flow, std::vector<AddressedNotice> &notices)
{
    updateRegistrars(tuple, flow);
    notifyRegistrars(now, tuple, flow, notices);
    if (hasPendingNotification(flow, m_options.maxNotices)) {
        m_pendingNotifications.insert(tuple);
    }
}

bool AgentSteering::updateRegistrars(const FlowTuple &tuple, Flow &flow) const
{
    std::vector<RegistrarState> registrars;
    for (const FlowRegistrar &registrar : m_directory.registrars(tuple)) {
        const auto found = std::find_if(flow.registrars.begin(), flow.registrars.end(), [&registrar](const RegistrarState &state) {
            return state.registrar == registrar;
        });
        RegistrarState &state = registrars.emplace_back(found == flow.registrars.end() ? RegistrarState{registrar} : *found);
        state.isAcknowledged = state.isAcknowledged || registrar.agent == m_options.agent;
    }
    flow.registrars = std::move(registrars);
    return hasPendingNotification(flow, m_options.maxNotices);
}

bool AgentSteering::isNotified(FlowState state)
{
    return state == FlowState::Open || state == FlowState::Restored || state == FlowState::Remote;
}

bool AgentSteering::hasPendingNotification(const Flow &flow, std::uint8_t maxNotices)
{
    return std::any_of(flow.registrars.begin(), flow.registrars.end(), [maxNotices](const RegistrarState &state) {
        return !state.isAcknowledged && state.noticeCount < maxNotices;
    });
}

void AgentSteering::notifyRegistrars(TimePoint now, const FlowTuple &tuple, Flow &flow, std::vector<AddressedNotice> &notices) const
{
    for (RegistrarState &state : flow.registrars) {
        const bool isDue = state.noticeCount == 0 || now - state.lastNoticeAt >= m_options.noticeInterval;
        if (!state.isAcknowledged && state.noticeCount < m_options.maxNotices && isDue) {
            ++state.noticeCount;
            state.lastNoticeAt = now;
            // A registrar of an older version acknowledges only the shortest form.
            const bool isShort = state.noticeCount % 2 == 0;
            notices.push_back({state.registrar.agent, noticeOf(tuple, flow, isShort)});
        }
    }
}

void AgentSteering::correctOwnerNotices(std::vector<AddressedNotice> &notices)
{
    for (const FlowTuple &tuple : std::exchange(m_misattributedFlows, {})) {
        const auto found = m_flows.find(tuple);
        if (found == m_flows.end()) {
            continue;
        }
        Flow &flow = found->second;
        // A half-open flow has not been claimed yet.
        if (flow.state == FlowState::Open) {
            for (const HostAddress &balancer : recentBalancers()) {
                notices.push_back({balancer, {tuple, m_options.agent, confirmedIncarnation()}});
            }
            flow.registrars.clear();
            updateRegistrars(tuple, flow);
            m_pendingNotifications.insert(tuple);
        }
    }
}

void AgentSteering::resendNotices(TimePoint now, std::vector<AddressedNotice> &notices)
{
    correctOwnerNotices(notices);
    std::erase_if(m_pendingNotifications, [&](const FlowTuple &tuple) {
        const auto found = m_flows.find(tuple);
        if (found == m_flows.end() || !isNotified(found->second.state)) {
            return true;
        }
        notifyRegistrars(now, tuple, found->second, notices);
        return !hasPendingNotification(found->second, m_options.maxNotices);
    });
}

void AgentSteering::handleAcknowledgement(const OwnerAcknowledgement &acknowledgement)
{
    const auto found = m_flows.find(acknowledgement.tuple);
    if (found == m_flows.end()) {
        return;
    }
    for (RegistrarState &state : found->second.registrars) {
        state.isAcknowledged = state.isAcknowledged || state.registrar.agent == acknowledgement.registrar;
    }
}

std::vector<HostAddress> AgentSteering::recentBalancers() const
{
    std::vector<HostAddress> balancers;
    for (const auto &entry : m_balancerLastSeen) {
        balancers.push_back(entry.first);
    }
    return balancers;
}

}
