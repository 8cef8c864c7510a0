#include <jujubequay/steering/agent_steering.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace Jujubequay {

namespace {

/// The caller's first acknowledgement is at most this many bytes beyond the server's initial sequence number, since a server sends less
/// before it receives an acknowledgement. The random sequence number of another server lies in this range with a probability of 1 in
/// 65,536.
constexpr std::uint32_t maxInitialWindowBytes = 64U << 10U;
/// A SYN is redirected at most this many times; the caller retransmits it after 200 ms.
constexpr std::uint8_t maxSynHops = 2;
/// Load notices are sent to balancers from which a packet was received within this time.
constexpr auto balancerRetention = std::chrono::seconds(3);
/// One part in this number of the moving average of service times is the newest one.
constexpr int serviceTimeWeight = 8;

std::uint16_t clampToUint16(std::size_t value)
{
    return static_cast<std::uint16_t>(std::min<std::size_t>(value, std::numeric_limits<std::uint16_t>::max()));
}

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
            if (flow.state == FlowState::Open && updateRegistrars(tuple, flow)) {
                m_pendingNotifications.insert(tuple);
            }
        }
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
    if (!isSameIncarnation || m_server->service != server->service) {
        // The first server that this agent observes may have opened flows before the agent started.
        const bool isFirstServer = !m_server;
        m_unobservedBefore = isFresh || !isFirstServer ? std::nullopt : std::optional(now);
        m_outlierDetector = OutlierDetector({});
        m_rejectedProbes.clear();
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

AgentDecision AgentSteering::handleSyn(TimePoint now, const SteerHeader &header, const Segment &segment, std::vector<AddressedNotice> &notices)
{
    const FlowTuple tuple = flowTupleFromCaller(segment);
    m_rejectedProbes.erase(tuple);
    const auto found = m_flows.find(tuple);
    if (found != m_flows.end()) {
        Flow &flow = found->second;
        if (isLocalFlow(flow)) {
            return deliver(now, flow, header, segment, notices);
        }
        if (mayBeRemoteFlowOfSyn(now, flow)) {
            SteerHeader next = header;
            ++next.hops;
            return header.hops < maxSynHops ? AgentDecision(RelayToAgent{flow.remoteAgent, next, SteerCause::KnownOwner})
                                            : AgentDecision(DropPacket{SteerCause::TooManyHops});
        }
    }
    const std::uint64_t localTableVersion = m_directory.routes().version();
    if (std::max(header.routeTableVersion, localTableVersion) < m_highestRouteTableVersion
        && now - m_highestRouteTableSeenAt > m_options.routeTableGracePeriod) {
        // The caller retransmits the SYN soon. By then the sender or this agent has the newer route table.
        return DropPacket{SteerCause::StaleRouteTable};
    }
    if (localTableVersion >= header.routeTableVersion && m_directory.routes().find(tuple.service) == nullptr) {
        return rejectSyn(segment, SteerCause::NoRoute);
    }
    if (!m_server || header.service != m_server->service || !isRoutedToLocalServer(header, tuple)) {
        return redirectSyn(header, segment, SteerCause::NotAccepted);
    }
    if (!m_server->acceptsNewFlows) {
        return redirectSyn(header, segment, SteerCause::Draining);
    }
    // A suspected server is better than none once the SYN cannot be redirected any more.
    if (!m_outlierDetector.tryAdmitFlow(now) && header.hops < maxSynHops) {
        const AgentDecision decision = redirectSyn(header, segment, SteerCause::Ejected);
        if (std::holds_alternative<RelayToAgent>(decision)) {
            return decision;
        }
    }
    Flow &flow = insert(tuple, FlowState::SynDelivered, now);
    flow.header = header;
    flow.synReceivedAt = now;
    return DeliverToServer{};
}

bool AgentSteering::isRoutedToLocalServer(const SteerHeader &header, const FlowTuple &tuple) const
{
    const RouteTable &routes = m_directory.routes();
    if (header.routeTableVersion > routes.version()) {
        return true;
    }
    const Route *route = routes.find(tuple.service);
    return route != nullptr && route->hasService(m_server->service);
}

AgentDecision AgentSteering::redirectSyn(const SteerHeader &header, const Segment &segment, SteerCause cause) const
{
    const FlowTuple tuple = flowTupleFromCaller(segment);
    const RouteTable &routes = m_directory.routes();
    const Route *route = routes.find(tuple.service);
    SteerHeader next = header;
    ++next.hops;
    if (routes.version() >= header.routeTableVersion && route != nullptr) {
        next.service = route->serviceFor(hashOf(tuple)).key;
        next.routeTableVersion = routes.version();
    }
    if (next.hops <= maxSynHops) {
        for (const HostAddress &agent : m_directory.rankedAgents(tuple)) {
            const SteerServer *server = m_directory.find(agent);
            if (agent != m_options.agent && server->acceptsNewFlows && server->service == next.service) {
                return RelayToAgent{agent, next, cause};
            }
        }
    }
    return rejectSyn(segment, SteerCause::NotAccepted);
}

bool AgentSteering::mayBeRemoteFlowOfSyn(TimePoint now, const Flow &flow) const
{
    return flow.state == FlowState::Remote && now - flow.remoteLearnedAt < maxSynDelay && !m_directory.hasEnded(flow.remoteAgent, flow.remoteIncarnation);
}

// An earlier copy of the SYN may have opened the flow at another server. Its registrars may not know it yet, so that only silence is safe.
AgentDecision AgentSteering::rejectSyn(const Segment &segment, SteerCause cause) const
{
    return segment.retransmissionCount > 0 ? AgentDecision(DropPacket{cause}) : AgentDecision(reset(segment, cause));
}

AgentDecision AgentSteering::handleFlowPacket(TimePoint now, const SteerHeader &header, const Segment &segment, std::vector<AddressedNotice> &notices)
{
    const FlowTuple tuple = flowTupleFromCaller(segment);
    const auto found = m_flows.find(tuple);
    if (found == m_flows.end()) {
        if (!m_isServerKnown) {
            return HoldLookup{header};
        }
        return mayOwnUnknownFlow(now, segment) ? probe(now, header, tuple) : continueLookup(now, header, segment);
    }
    Flow &flow = found->second;
    switch (flow.state) {
    case FlowState::SynDelivered:
        // The server does not answer a copy of the SYN if it owns the flow already.
        if (flow.remoteAgent == HostAddress() && mayOwnUnknownFlow(now, segment)) {
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
    case FlowState::Probed:
        return deliver(now, flow, header, segment, notices);
    case FlowState::Remote:
        return passToOtherServer(now, header, segment, flow);
    case FlowState::Orphaned:
        return flow.isContested ? continueLookup(now, header, segment) : resetOrphanedFlow(segment, flow);
    }
    return DropPacket{SteerCause::UnknownFlow};
}

AgentDecision AgentSteering::passToOtherServer(TimePoint now, const SteerHeader &header, const Segment &segment, Flow &flow)
{
    if (flow.remoteAgent != HostAddress()) {
        flow.lastUsed = now;
    }
    const bool hasEnded = m_directory.hasEnded(flow.remoteAgent, flow.remoteIncarnation);
    if (hasEnded && flow.state == FlowState::Remote && !flow.isContested) {
        orphan(now, flow);
        return resetOrphanedFlow(segment, flow);
    }
    if (hasEnded || (flow.remoteIncarnation == Incarnation() && m_directory.find(flow.remoteAgent) == nullptr)) {
        return continueLookup(now, header, segment);
    }
    SteerHeader next = header;
    if (header.lookupPhase == LookupPhase::AllServers) {
        if (header.isLookupPartial && !ranksAfterThisAgent(flow.remoteAgent, flowTupleFromCaller(segment))) {
            // That agent may have been asked already, and would send the packet here again.
            return continueLookup(now, header, segment);
        }
        // If that agent does not know the flow, it continues with the agents that rank after it and leaves others out.
        next.isLookupPartial = true;
    }
    next.wantsOwnerNotice = true;
    ++next.hops;
    return next.hops > m_options.maxHops ? AgentDecision(DropPacket{SteerCause::TooManyHops})
                                         : AgentDecision(RelayToAgent{flow.remoteAgent, next, SteerCause::KnownOwner});
}

AgentDecision AgentSteering::resetOrphanedFlow(const Segment &segment, const Flow &flow)
{
    if (segment.isRst) {
        return DropPacket{SteerCause::ServerReplaced};
    }
    return ResetCaller{flowTupleFromCaller(segment), segment.acknowledgement, SteerCause::ServerReplaced, false, flow.evidence};
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
        flow.state = FlowState::Remote;
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
        notices.push_back(noticeToBalancer(header, flowTupleFromCaller(segment)));
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

bool AgentSteering::isServerListStable(TimePoint now) const
{
    return m_directory.isReady() && m_directory.isRegistryComplete() && now - m_serverListChangedAt >= m_options.stabilizationTime;
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
    flow.isConfirmedByServer = true;
    if (flow.state == FlowState::Probed || flow.state == FlowState::Remote) {
        if (flow.state == FlowState::Remote) {
            ++m_localFlowCount;
        }
        setOpen(now, flow);
        registerFlow(now, tuple, flow, notices);
        if (flow.header.wantsOwnerNotice) {
            notices.push_back(noticeToBalancer(flow.header, tuple));
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
            flow.state = FlowState::Remote;
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
            flow.state = FlowState::Remote;
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
        return resetOrphanedFlow(segment, flow);
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

// Flow table

void AgentSteering::handleOwnerNotice(TimePoint now, const OwnerNotice &notice)
{
    // A notice about an ended server may belong to an earlier flow with the same addresses and ports.
    if (notice.owner == m_options.agent || m_directory.hasEnded(notice.owner, notice.incarnation)) {
        return;
    }
    const auto found = m_flows.find(notice.tuple);
    if (found != m_flows.end() && found->second.state == FlowState::Open) {
        // The caller may have abandoned the flow of the local server and opened another one. If the local server rejects a packet or ends, the other
        // server is asked.
        found->second.remoteAgent = notice.owner;
        found->second.remoteIncarnation = notice.incarnation;
        found->second.remoteLearnedAt = now;
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
    flow.isContested = isContested;
    flow.lastUsed = now;
}

// Notices that name different owners belong to different flows, and may arrive in any order.
bool AgentSteering::contradicts(const OwnerNotice &notice, const Flow &flow)
{
    const bool areIncarnationsKnown = flow.remoteIncarnation != Incarnation() && notice.incarnation != Incarnation();
    const bool isOtherIncarnation = areIncarnationsKnown && flow.remoteIncarnation != notice.incarnation;
    return flow.state == FlowState::Remote && (flow.isContested || flow.remoteAgent != notice.owner || isOtherIncarnation);
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

AddressedNotice AgentSteering::noticeToBalancer(const SteerHeader &header, const FlowTuple &tuple) const
{
    return {header.balancer, {tuple, m_options.agent, header.acceptsIncarnations ? confirmedIncarnation() : Incarnation()}};
}

void AgentSteering::setOpen(TimePoint now, Flow &flow)
{
    flow.state = FlowState::Open;
    flow.openedAt = now;
}

// Records of open flows

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

std::vector<ResetCaller> AgentSteering::endFlows(TimePoint now, const EndedFlowsNotice &notice)
{
    std::vector<ResetCaller> resets;
    const Incarnation current = confirmedIncarnation();
    if (current == Incarnation() || !isConfirmed(notice.incarnation) || notice.incarnation == current) {
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
        flow.evidence = {m_options.agent, notice.incarnation, OwnershipSource::FlowRecord, now, ServerEnd{ServerEndCause::Replaced, current, now}};
        resets.push_back({recorded.tuple, recorded.acknowledgement, SteerCause::ServerReplaced, false, flow.evidence});
    }
    return resets;
}

// Registrars

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
            // A registrar of a version without incarnations acknowledges only notices without one.
            const bool hasIncarnation = state.noticeCount % 2 != 0;
            notices.push_back({state.registrar.agent, {tuple, m_options.agent, hasIncarnation ? confirmedIncarnation() : Incarnation()}});
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
        if (found == m_flows.end() || found->second.state != FlowState::Open) {
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

std::vector<HostAddress> AgentSteering::recentBalancers() const
{
    std::vector<HostAddress> balancers;
    for (const auto &entry : m_balancerLastSeen) {
        balancers.push_back(entry.first);
    }
    return balancers;
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
