#include <jujubequay/steering/agent_steering.h>

namespace Jujubequay {

namespace {

/// The caller's first acknowledgement is at most this many bytes beyond the server's initial sequence number, since a server sends less
/// before it receives an acknowledgement. The random sequence number of another server lies in this range with a probability of 1 in
/// 65,536.
constexpr std::uint32_t maxInitialWindowBytes = 64U << 10U;

/// Load notices and corrections of owner notices are sent to balancers from which a packet was received within this time. A balancer resets a flow
/// without asking until the flow was idle for `minPortReuseTime`.
constexpr auto balancerRetention = minPortReuseTime + std::chrono::seconds(1);

/// One part in this number of the moving average of service times is the newest one.
constexpr int serviceTimeWeight = 8;

}

AgentSteering::AgentSteering(AgentSteeringOptions options)
    : m_options(options)
    , m_directory({})
    , m_outlierDetector({})
    , m_flowRecorder({})
{
}

void AgentSteering::update(TimePoint now, const ConfigSnapshot &snapshot)
{
    const bool wasComplete = m_directory.isRegistryComplete();
    if (m_directory.update(now, snapshot)) {
        m_serverListChangedAt = now;
        for (auto &[tuple, flow] : m_flows) {
            const bool isRegistered = flow.state == FlowState::Open || flow.state == FlowState::Restored;
            if (isRegistered && updateRegistrars(tuple, flow)) {
                m_pendingNotifications.insert(tuple);
            }
        }
        returnFlowsToRestartedAgents(snapshot);
    }
    if (!wasComplete && m_directory.isRegistryComplete()) {
        // No need to wait for the stabilization time: hosts whose server list is still incomplete mark the packets that they forward.
        m_serverListChangedAt = now - m_options.stabilizationTime;
    }
}

std::vector<ResetCaller> AgentSteering::setServer(TimePoint now, const std::optional<LocalServer> &server, bool isFresh)
{
    std::vector<ResetCaller> resets;
    const bool isSameIncarnation = m_server && server
        && (m_server->incarnation == server->incarnation || m_server->incarnation == unconfirmedIncarnation || server->incarnation == unconfirmedIncarnation);
    if (!isSameIncarnation) {
        // The first server that this agent observes may have opened flows before the agent started.
        const bool isFirstServer = !m_server;
        m_unobservedBefore = isFresh || !isFirstServer ? std::nullopt : std::optional(now);
        m_outlierDetector = OutlierDetector({});
        m_rejectedProbes.clear();
        if (!isFirstServer) {
            std::erase_if(m_flows, [](const auto &entry) {
                return entry.second.state == FlowState::Restored;
            });
        }
        for (auto &[tuple, flow] : m_flows) {
            // A server accepts flows from its start on, before its first announcement reaches this agent.
            if (!isFirstServer && server && isAcceptedBy(*server, flow)) {
                m_misattributedFlows.insert(tuple);
                continue;
            }
            const bool wasOpen = flow.state == FlowState::Open && !flow.isContested;
            if (!isFirstServer && isLocalFlow(flow)) {
                removeFromCounts(flow);
                orphan(now, flow);
                flow.evidence.end = ServerEnd{ServerEndCause::Replaced, server ? server->incarnation : Incarnation(), now};
            }
            if (!isFirstServer && wasOpen) {
                resets.push_back({tuple, flow.lastCallerAcknowledgement, SteerCause::ServerReplaced, false, flow.evidence});
            }
        }
    }
    if (isFresh) {
        m_unobservedBefore.reset();
    }
    m_server = server;
    m_isServerKnown = true;
    removeInvalidRestoredFlows();
    return resets;
}

// Packets of callers

AgentDecision AgentSteering::handleCallerPacket(TimePoint now, const SteerHeader &header, const Segment &segment, std::vector<AddressedNotice> &notices)
{
    m_balancerLastSeen[header.balancer] = now;
    if (header.routeTableVersion > m_highestRouteTableVersion) {
        m_highestRouteTableVersion = header.routeTableVersion;
        m_highestRouteTableSeenAt = now;
        m_highestRouteTableBalancer = header.balancer;
    }
    if (segment.isRejected || (segment.isSyn && segment.isAck)) {
        return DropPacket{SteerCause::Spoofed};
    }
    return segment.isSyn ? handleSyn(now, header, segment, notices) : handleFlowPacket(now, header, segment, notices);
}

AgentDecision AgentSteering::handleFlowPacket(TimePoint now, const SteerHeader &header, const Segment &segment, std::vector<AddressedNotice> &notices)
{
    const FlowTuple tuple = flowTupleFromCaller(segment);
    const auto found = m_flows.find(tuple);
    if (found == m_flows.end()) {
        return lookUp(now, header, segment);
    }
    Flow &flow = found->second;
    switch (flow.state) {
    case FlowState::SynDelivered:
        // The server does not answer a copy of the SYN if it owns the flow already.
        if (flow.remoteAgent == HostAddress() && mayOwnUnknownFlow(now, segment) && isProbeDue(header, tuple)) {
            return probe(now, header, tuple);
        }
        // The caller has established the flow with another server, whose SYN-ACK arrived first.
        return passToOtherServer(now, header, segment, flow);
    case FlowState::SynAckSent:
        if (!segment.isRst && segment.acknowledgement - flow.serverInitialSequence - 1 >= maxInitialWindowBytes) {
            return passToOtherServer(now, header, segment, flow);
        }
        // Any other server that was named before owned an earlier flow.
        flow.remoteAgent = {};
        setOpen(now, flow);
        registerFlow(now, tuple, flow, notices);
        return deliver(now, flow, header, segment, notices);
    case FlowState::Closed:
        flow.header = header;
        return deliver(now, flow, header, segment, notices);
    case FlowState::Open:
        if (segment.isAck && !acknowledgesServer(flow, segment)) {
            // It belongs to another flow with the same addresses and ports, or is very late. The server decides.
            flow.header = header;
            return DeliverToServer{};
        }
        return deliver(now, flow, header, segment, notices);
    case FlowState::Probed:
        return deliver(now, flow, header, segment, notices);
    case FlowState::Restored:
        return mayOwnUnknownFlow(now, segment) ? probe(now, header, tuple) : continueLookup(now, header, segment);
    case FlowState::Remote:
        return passToOtherServer(now, header, segment, flow);
    case FlowState::Orphaned:
        // The caller may have opened another flow with the same addresses and ports.
        return flow.isContested || !acknowledgesServer(flow, segment) ? lookUp(now, header, segment) : resetEndedFlow(segment, flow);
    }
    return DropPacket{SteerCause::UnknownFlow};
}

AgentDecision AgentSteering::passToOtherServer(TimePoint now, const SteerHeader &header, const Segment &segment, Flow &flow)
{
    if (flow.remoteAgent != HostAddress()) {
        flow.lastUsed = now;
    }
    const bool hasEnded = m_directory.hasEnded(flow.remoteAgent, flow.remoteIncarnation);
    if (isOfRemoteFlow(flow, segment) && hasEnded && flow.state == FlowState::Remote && !flow.isContested) {
        return resetEndedFlow(segment, flow);
    }
    const bool mayBeLocal = flow.state == FlowState::Remote || flow.state == FlowState::SynDelivered;
    if (hasEnded || (flow.remoteIncarnation == Incarnation() && m_directory.find(flow.remoteAgent) == nullptr)) {
        return mayBeLocal ? lookUp(now, header, segment) : continueLookup(now, header, segment);
    }
    SteerHeader next = header;
    if (header.lookupPhase == LookupPhase::AllServers || header.lookupPhase == LookupPhase::KnownFlows) {
        if (header.lookupRetries > 0 || (header.isLookupPartial && !ranksAfterThisAgent(flow.remoteAgent, flowTupleFromCaller(segment)))) {
            // That agent may have been asked already, and would send the packet here again.
            return mayBeLocal ? lookUp(now, header, segment) : continueLookup(now, header, segment);
        }
        // If that agent does not know the flow, it continues with the agents that rank after it and leaves others out.
        next.isLookupPartial = true;
    }
    next.wantsOwnerNotice = true;
    ++next.hops;
    return next.hops > m_options.maxHops ? AgentDecision(DropPacket{SteerCause::TooManyHops})
                                         : AgentDecision(RelayToAgent{flow.remoteAgent, next, SteerCause::KnownOwner});
}

bool AgentSteering::isOfRemoteFlow(Flow &flow, const Segment &segment)
{
    if (!flow.remoteSequence || !isNear(segment.sequence, *flow.remoteSequence)) {
        return false;
    }
    flow.remoteSequence = segment.sequence;
    return true;
}

AgentDecision AgentSteering::resetEndedFlow(const Segment &segment, const Flow &flow) const
{
    if (segment.isRst) {
        return DropPacket{SteerCause::ServerReplaced};
    }
    return ResetCaller{flowTupleFromCaller(segment), segment.acknowledgement, SteerCause::ServerReplaced, false, evidenceOf(flow)};
}

ResetCaller AgentSteering::reset(const Segment &segment, SteerCause cause) const
{
    ResetCaller decision{flowTupleFromCaller(segment), segment.acknowledgement, cause, segment.isSyn, {}};
    const auto found = m_flows.find(decision.tuple);
    if (found != m_flows.end()) {
        decision.evidence = evidenceOf(found->second);
    }
    return decision;
}

ResetEvidence AgentSteering::evidenceOf(const Flow &flow) const
{
    if (flow.state == FlowState::Orphaned) {
        return flow.evidence;
    }
    if (flow.state == FlowState::Remote) {
        return {flow.remoteAgent,
                flow.remoteIncarnation,
                OwnershipSource::OwnerNotice,
                flow.remoteLearnedAt,
                m_directory.serverEnd(flow.remoteAgent, flow.remoteIncarnation)};
    }
    const TimePoint learnedAt = flow.openedAt == TimePoint() ? flow.synReceivedAt : flow.openedAt;
    return {m_options.agent, confirmedIncarnation(), OwnershipSource::LocalServer, learnedAt, std::nullopt};
}

bool AgentSteering::isAcceptedBy(const LocalServer &server, const Flow &flow)
{
    return isLocalFlow(flow) && server.startedAt && flow.synAckSentAt && *flow.synAckSentAt >= *server.startedAt;
}

void AgentSteering::orphan(TimePoint now, Flow &flow)
{
    if (isLocalFlow(flow) && flow.remoteAgent != HostAddress()) {
        setRemote(flow);
        return;
    }
    // The server got the SYN, or a probe, of a flow that another server may own.
    flow.isContested = flow.isContested || isHalfOpen(flow) || flow.state == FlowState::Probed;
    flow.evidence = evidenceOf(flow);
    flow.state = FlowState::Orphaned;
    flow.lastUsed = now;
}

AgentDecision AgentSteering::deliver(TimePoint now, Flow &flow, const SteerHeader &header, const Segment &segment, std::vector<AddressedNotice> &notices)
{
    flow.lastUsed = now;
    if (flow.state == FlowState::Closed || segment.isSyn) {
        return DeliverToServer{};
    }
    flow.lastCallerAcknowledgement = segment.acknowledgement;
    const bool needsOwnerNotice = header.wantsOwnerNotice || header.hops > 0;
    if (flow.state == FlowState::Open && needsOwnerNotice) {
        notices.push_back(noticeToBalancer(header, flowTupleFromCaller(segment), flow));
    }
    if (flow.heldSince && now - *flow.heldSince <= m_options.maxHoldTime) {
        // Packets with further data may overtake the held packet, for which the server then waits. A retransmission of the held packet is
        // dropped.
        return recordCallerData(flow, segment) ? AgentDecision(DeliverToServer{}) : AgentDecision(DropPacket{SteerCause::Held});
    }
    endHold(flow);
    const bool isFirstRequest = !flow.callerSequenceEnd;
    if (recordCallerData(flow, segment)) {
        if (!flow.hasPendingRequest && holdIfServerBusy(now, flow)) {
            return HoldRequest{latencyGoalAt(now, segment.destination, flow, isFirstRequest)};
        }
        startRequest(now, flow);
    }
    flow.hasCallerFin = flow.hasCallerFin || segment.isFin;
    if (segment.isRst || (flow.hasCallerFin && flow.hasServerFin)) {
        close(now, flow);
    }
    return DeliverToServer{};
}

std::optional<NewerRoutesNotice> AgentSteering::newerRoutes(TimePoint now) const
{
    const bool isLocalTableOlder = m_directory.routes().version() < m_highestRouteTableVersion;
    if (!isLocalTableOlder || now - m_highestRouteTableSeenAt <= m_options.routeTableFetchDelay) {
        return std::nullopt;
    }
    return NewerRoutesNotice{m_highestRouteTableVersion, m_highestRouteTableBalancer};
}

bool AgentSteering::isServerKnown() const
{
    return m_isServerKnown;
}

void AgentSteering::confirmServerList(TimePoint now)
{
    if (!isServerListCurrent(now)) {
        // After a pause the messages of the time before are read first, and changes follow them.
        m_serverListChangedAt = now;
    }
    m_serverListConfirmedAt = now;
}

bool AgentSteering::isServerListCurrent(TimePoint now) const
{
    return now - m_serverListConfirmedAt <= m_options.serverListValidity;
}

bool AgentSteering::isServerListStable(TimePoint now) const
{
    const bool isUnchanged = now - m_serverListChangedAt >= m_options.stabilizationTime;
    return m_directory.isReady() && m_directory.isRegistryComplete() && isUnchanged && isServerListCurrent(now);
}

// Packets of the server

AgentDecision AgentSteering::handleServerPacket(TimePoint now, const Segment &segment, std::vector<AddressedNotice> &notices)
{
    if (segment.isRejected) {
        return handleRejectedPacket(now, segment);
    }
    const FlowTuple tuple = flowTupleFromServer(segment);
    m_rejectedProbes.erase(tuple);
    const auto found = m_flows.find(tuple);
    const bool isSynAck = segment.isSyn && segment.isAck;
    Flow &flow = found == m_flows.end() ? insert(tuple, isSynAck ? FlowState::SynDelivered : FlowState::Probed, now) : found->second;
    flow.lastUsed = now;
    flow.serverSequence = segment.sequence + segment.length;
    if (segment.isAck) {
        flow.callerSequence = segment.acknowledgement;
    }
    if (isSynAck) {
        if (flow.state == FlowState::SynDelivered) {
            flow.state = FlowState::SynAckSent;
            if (flow.header.hops > 0) {
                // Without an incarnation: another server may have answered, too, and own the flow.
                notices.push_back({flow.header.balancer, {tuple, m_options.agent, {}}});
            }
        }
        if (flow.state == FlowState::SynAckSent) {
            flow.synAckSentAt = now;
        }
        flow.serverInitialSequence = segment.sequence;
        return SendToCaller{};
    }
    const bool isOfOtherFlow = flow.remoteSequence && !isNear(segment.acknowledgement, *flow.remoteSequence);
    if (flow.state == FlowState::Remote && isOfOtherFlow && isFlowTableComplete(now)) {
        // It belongs to an earlier flow with the same addresses and ports, which was closed here.
        return SendToCaller{};
    }
    if (segment.isRst && (flow.state == FlowState::Probed || flow.state == FlowState::Remote)) {
        // The server may answer for an earlier flow with the same addresses and ports, so that this does not show that it owns the flow.
        return SendToCaller{};
    }
    flow.isConfirmedByServer = true;
    if (flow.state == FlowState::Probed || flow.state == FlowState::Remote || flow.state == FlowState::Restored) {
        if (!isLocalFlow(flow)) {
            ++m_localFlowCount;
        }
        setOpen(now, flow);
        registerFlow(now, tuple, flow, notices);
        if (flow.header.wantsOwnerNotice) {
            notices.push_back(noticeToBalancer(flow.header, tuple, flow));
        }
    }
    // A FIN without data is not a response: it may have overtaken the packets of the response.
    if (flow.hasPendingRequest && (segment.length > 0 || segment.isRst)) {
        segment.isRst ? m_outlierDetector.recordFailure(now) : m_outlierDetector.recordSuccess(now);
        if (!segment.isRst) {
            m_serviceTime += (now - flow.requestSentAt - m_serviceTime) / serviceTimeWeight;
            m_answeredRequests.push_back({tuple.service, now - flow.requestSentAt + flow.holdTime, flow.holdTime});
        }
        finishRequest(flow);
    }
    flow.hasServerFin = flow.hasServerFin || segment.isFin;
    if (segment.isRst || (flow.hasCallerFin && flow.hasServerFin)) {
        close(now, flow);
    }
    return SendToCaller{};
}

AgentDecision AgentSteering::handleRejectedPacket(TimePoint now, const Segment &segment)
{
    const FlowTuple tuple = flowTupleFromCaller(segment);
    const auto found = m_flows.find(tuple);
    if (found == m_flows.end()) {
        return DropPacket{SteerCause::UnknownFlow};
    }
    Flow &flow = found->second;
    const SteerHeader header = flow.header;
    switch (flow.state) {
    case FlowState::SynDelivered:
    case FlowState::Probed: {
        removeFromCounts(flow);
        if (flow.state == FlowState::SynDelivered && flow.remoteAgent != HostAddress()) {
            setRemote(flow);
            return DropPacket{SteerCause::NotAccepted};
        }
        if (flow.state == FlowState::Probed && !segment.isSyn) {
            rememberRejection(now, segment);
        }
        m_flows.erase(found);
        return segment.isSyn ? redirectSyn(header, segment, SteerCause::NotAccepted) : continueLookup(now, header, segment);
    }
    case FlowState::Open:
        if (segment.isSyn) {
            // The server may hold the flow and reject only the copy of its SYN. Later the SYN opens another flow with the same ports.
            return now - flow.openedAt < maxSynDelay ? AgentDecision(DropPacket{SteerCause::NotAccepted})
                                                     : redirectSyn(header, segment, SteerCause::NotAccepted);
        }
        if (!acknowledgesServer(flow, segment)) {
            // It belongs to another flow with the same addresses and ports.
            return flow.remoteAgent == HostAddress() ? AgentDecision(DropPacket{SteerCause::UnknownFlow}) : passToOtherServer(now, header, segment, flow);
        }
        if (flow.remoteAgent != HostAddress()) {
            removeFromCounts(flow);
            setRemote(flow);
            rememberRejection(now, segment);
            return passToOtherServer(now, header, segment, flow);
        }
        if (!flow.isConfirmedByServer) {
            // The packet has acknowledged the SYN-ACK of another server, which owns the flow.
            removeFromCounts(flow);
            m_flows.erase(found);
            return continueLookup(now, header, segment);
        }
        // The server has owned the flow, since it has confirmed it before, and rejects its packets now.
        close(now, flow);
        orphan(now, flow);
        return resetEndedFlow(segment, flow);
    case FlowState::Closed:
        if (segment.isSyn) {
            return DropPacket{SteerCause::UnknownFlow};
        }
        // The server has forgotten the flow, or the caller has opened another one with the same ports at another server.
        rememberRejection(now, segment);
        m_flows.erase(found);
        return continueLookup(now, header, segment);
    default:
        return DropPacket{SteerCause::UnknownFlow};
    }
}

// Flows that are idle for longer than the idle timeout need not be kept, so after that time this agent has observed all other flows.
bool AgentSteering::isFlowTableComplete(TimePoint now) const
{
    const Duration idleTimeout = m_directory.routes().idleTimeout();
    return !m_unobservedBefore || now - *m_unobservedBefore >= (idleTimeout > Duration::zero() ? idleTimeout : m_options.flowRetention);
}

Incarnation AgentSteering::confirmedIncarnation() const
{
    return m_server && isConfirmed(m_server->incarnation) ? m_server->incarnation : Incarnation();
}

void AgentSteering::setRemote(Flow &flow)
{
    flow.state = FlowState::Remote;
    flow.registrars.clear();
}

void AgentSteering::setOpen(TimePoint now, Flow &flow)
{
    flow.state = FlowState::Open;
    flow.openedAt = now;
}

// Local flows, requests and load

AgentSteering::Flow &AgentSteering::insert(const FlowTuple &tuple, FlowState state, TimePoint now)
{
    const auto found = m_flows.find(tuple);
    if (found != m_flows.end()) {
        removeFromCounts(found->second);
    }
    Flow &flow = m_flows[tuple];
    flow = {};
    flow.state = state;
    flow.lastUsed = now;
    ++m_localFlowCount;
    return flow;
}

bool AgentSteering::isLocalFlow(const Flow &flow)
{
    return flow.state == FlowState::SynDelivered || flow.state == FlowState::SynAckSent || flow.state == FlowState::Open || flow.state == FlowState::Probed;
}

bool AgentSteering::isHalfOpen(const Flow &flow)
{
    return flow.state == FlowState::SynDelivered || flow.state == FlowState::SynAckSent;
}

void AgentSteering::removeFromCounts(Flow &flow)
{
    endHold(flow);
    if (isLocalFlow(flow)) {
        finishRequest(flow);
        --m_localFlowCount;
    }
}

void AgentSteering::close(TimePoint now, Flow &flow)
{
    removeFromCounts(flow);
    flow.state = FlowState::Closed;
    flow.lastUsed = now;
}

void AgentSteering::expire(TimePoint now)
{
    for (auto entry = m_flows.begin(); entry != m_flows.end();) {
        Flow &flow = entry->second;
        const bool isUnanswered = flow.state == FlowState::SynDelivered && flow.remoteAgent == HostAddress();
        const bool usesShortRetention = flow.state == FlowState::Closed || flow.state == FlowState::Probed || isUnanswered;
        const bool isExpired = now - flow.lastUsed > (usesShortRetention ? m_options.closedFlowRetention : m_options.flowRetention);
        // A caller that times out may send nothing more. Without this its request would count as pending until the flow expires.
        if (flow.hasPendingRequest && now - flow.requestSentAt > requestTimeout(entry->first.service)) {
            finishRequest(flow);
        }
        if (isExpired) {
            removeFromCounts(flow);
        }
        entry = isExpired ? m_flows.erase(entry) : std::next(entry);
    }
    std::erase_if(m_rejectedProbes, [&](const auto &entry) {
        return now - entry.second.at > m_options.closedFlowRetention;
    });
    std::erase_if(m_balancerLastSeen, [&](const auto &entry) {
        return now - entry.second > balancerRetention;
    });
}

const AgentSteeringOptions &AgentSteering::options() const
{
    return m_options;
}

const ServerDirectory &AgentSteering::directory() const
{
    return m_directory;
}

std::vector<EndedServer> AgentSteering::takeEndedServers()
{
    return m_directory.takeEndedServers();
}

}
