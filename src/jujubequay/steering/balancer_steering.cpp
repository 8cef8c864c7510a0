#include <jujubequay/steering/balancer_steering.h>

#include <jujubequay/core/name_table.h>

namespace Jujubequay {

namespace {

constexpr NameTable<SteerCause, 15> steerCauseNames{{{
    {SteerCause::Placed, "placed"},
    {SteerCause::KnownOwner, "known"},
    {SteerCause::OwnerLookup, "home"},
    {SteerCause::NoRoute, "no-route"},
    {SteerCause::NoServer, "no-server"},
    {SteerCause::ServerReplaced, "server-replaced"},
    {SteerCause::NotReady, "not-ready"},
    {SteerCause::NotAccepted, "not-accepted"},
    {SteerCause::Draining, "draining"},
    {SteerCause::Ejected, "ejected"},
    {SteerCause::StaleRouteTable, "stale-table"},
    {SteerCause::UnknownFlow, "unknown-flow"},
    {SteerCause::TooManyHops, "too-many-hops"},
    {SteerCause::Held, "held"},
    {SteerCause::Spoofed, "spoofed"},
}}};

}

std::string_view steerCauseName(SteerCause cause)
{
    return steerCauseNames.name(cause);
}

BalancerSteering::BalancerSteering(BalancerSteeringOptions options)
    : m_options(std::move(options))
    , m_directory({})
{
}

void BalancerSteering::update(TimePoint now, const ConfigSnapshot &snapshot)
{
    m_directory.update(now, snapshot);
}

BalancerDecision BalancerSteering::decide(TimePoint now, const Segment &segment, PacketArrival arrival)
{
    if (!isReady()) {
        return DropPacket{SteerCause::NotReady};
    }
    if (segment.isRejected || (segment.isSyn && segment.isAck)) {
        return DropPacket{SteerCause::Spoofed};
    }
    return segment.isSyn ? handleSyn(now, segment, arrival) : handleFlowPacket(now, segment);
}

BalancerDecision BalancerSteering::handleSyn(TimePoint now, const Segment &segment, PacketArrival arrival)
{
    const FlowTuple tuple = flowTupleFromCaller(segment);
    const auto found = m_flows.find(tuple);
    Flow *known = found != m_flows.end() && mayBeFlowOfSyn(now, found->second) ? &found->second : nullptr;
    const bool mayBeOpen = known != nullptr || segment.retransmissionCount > 0 || arrival == PacketArrival::Queued;
    const Route *route = m_directory.routes().find(tuple.service);
    if (route == nullptr) {
        return rejectSyn(segment, SteerCause::NoRoute, mayBeOpen);
    }
    const ServiceKey service = route->serviceFor(hashOf(tuple)).key;
    if (known != nullptr && isSuitableForSyn(now, *known, service, segment)) {
        known->lastUsed = now;
        // Its agent may redirect the SYN if it opens another flow.
        known->isConfirmed = false;
        return RelayToAgent{known->agent, makeHeader(service, false), SteerCause::KnownOwner};
    }
    const SteerServer *server = chooseServer(now, service, tuple, known == nullptr ? nullptr : &known->agent);
    if (server == nullptr && known != nullptr) {
        // Its agent knows whether the flow exists.
        known->isConfirmed = false;
        return RelayToAgent{known->agent, makeHeader(service, false), SteerCause::KnownOwner};
    }
    if (server == nullptr) {
        return rejectSyn(segment, SteerCause::NoServer, mayBeOpen);
    }
    m_flows[tuple] = {server->agent, server->incarnation, false, now, OwnershipSource::Placement, now};
    ++m_loads[server->agent].placedSinceNotice;
    return RelayToAgent{server->agent, makeHeader(service, false), SteerCause::Placed};
}

bool BalancerSteering::mayBeFlowOfSyn(TimePoint now, const Flow &flow) const
{
    return now - flow.learnedAt < maxSynDelay && !m_directory.hasEnded(flow.agent, flow.incarnation);
}

bool BalancerSteering::isSuitableForSyn(TimePoint now, const Flow &flow, ServiceKey service, const Segment &segment) const
{
    if (flow.source == OwnershipSource::OwnerNotice) {
        // Even if it accepts no new flows now, since the flow may be open.
        return now - flow.learnedAt < m_options.loadValidity || isAgentResponsive(now, flow.agent);
    }
    const SteerServer *server = m_directory.find(flow.agent);
    const bool isUsable = server != nullptr && server->acceptsNewFlows && server->service == service;
    // A first retransmission may be due to a lost packet. A second one suggests that the server does not respond.
    return isUsable && segment.retransmissionCount <= 1 && isAgentResponsive(now, flow.agent);
}

// An earlier copy of the SYN may have opened the flow through another balancer. Its registrars may not know it yet, so that only silence is safe.
BalancerDecision BalancerSteering::rejectSyn(const Segment &segment, SteerCause cause, bool mayBeOpen) const
{
    return mayBeOpen ? BalancerDecision(DropPacket{cause}) : BalancerDecision(reset(segment, cause));
}

BalancerDecision BalancerSteering::handleFlowPacket(TimePoint now, const Segment &segment)
{
    const FlowTuple tuple = flowTupleFromCaller(segment);
    const auto found = m_flows.find(tuple);
    if (found != m_flows.end()) {
        Flow &flow = found->second;
        const bool wasIdle = now - flow.lastUsed >= minPortReuseTime;
        const bool isOfNotice = flow.callerSequence && isNear(segment.sequence, *flow.callerSequence);
        flow.callerSequence = isOfNotice ? segment.sequence : flow.callerSequence;
        flow.lastUsed = now;
        const bool hasServerEnded = m_directory.hasEnded(flow.agent, flow.incarnation);
        if (!hasServerEnded) {
            return RelayToAgent{flow.agent, makeHeader({}, false), SteerCause::KnownOwner};
        }
        if (flow.isConfirmed && isOfNotice && !wasIdle) {
            if (segment.isRst) {
                return DropPacket{SteerCause::ServerReplaced};
            }
            return reset(segment, SteerCause::ServerReplaced);
        }
        // The retransmission of a packet that has found the flow idle proves no more.
        flow.isConfirmed = flow.isConfirmed && !wasIdle;
        // The registrars know whether another server has opened the flow, or another flow with the same addresses and ports.
    }
    if (const auto registrar = m_directory.firstRegistrar(tuple)) {
        return RelayToAgent{*registrar, makeHeader({}, true), SteerCause::OwnerLookup};
    }
    return DropPacket{SteerCause::NoServer};
}

ResetCaller BalancerSteering::reset(const Segment &segment, SteerCause cause) const
{
    ResetCaller decision{flowTupleFromCaller(segment), segment.acknowledgement, cause, segment.isSyn, {}};
    const auto found = m_flows.find(decision.tuple);
    if (found != m_flows.end()) {
        const Flow &flow = found->second;
        decision.evidence = {flow.agent, flow.incarnation, flow.source, flow.learnedAt, m_directory.serverEnd(flow.agent, flow.incarnation)};
    }
    return decision;
}

const SteerServer *BalancerSteering::chooseServer(TimePoint now, ServiceKey service, const FlowTuple &tuple, const HostAddress *avoided)
{
    std::vector<const SteerServer *> servers;
    std::size_t refusingCount = 0;
    for (const SteerServer &server : m_directory.servers(service)) {
        const bool isAvoided = avoided != nullptr && server.agent == *avoided;
        if (server.acceptsNewFlows && !isAvoided) {
            servers.push_back(&server);
            refusingCount += isRefusingFlows(now, server.agent) ? 1 : 0;
        }
    }
    // If most servers refuse new flows, the cause is not in the single server, and the other servers could not carry the load.
    if (refusingCount <= servers.size() / 2) {
        std::erase_if(servers, [&](const SteerServer *server) {
            return isRefusingFlows(now, server->agent);
        });
    }
    std::vector<LeastLoadedCandidate> candidates;
    candidates.reserve(servers.size());
    for (const SteerServer *server : servers) {
        candidates.push_back(estimatedLoad(now, *server));
    }
    const auto chosen = chooseLeastLoaded(candidates, m_options.leastLoaded, hashOf(tuple));
    if (chosen) {
        return servers[*chosen];
    }
    const SteerServer *fallback = avoided == nullptr ? nullptr : m_directory.find(*avoided);
    return fallback != nullptr && fallback->acceptsNewFlows && fallback->service == service ? fallback : nullptr;
}

bool BalancerSteering::isRefusingFlows(TimePoint now, const HostAddress &agent) const
{
    const auto found = m_loads.find(agent);
    return found != m_loads.end() && !found->second.notice.acceptsNewFlows && now - found->second.receivedAt < m_options.loadValidity;
}

LeastLoadedCandidate BalancerSteering::estimatedLoad(TimePoint now, const SteerServer &server) const
{
    LeastLoadedCandidate candidate;
    candidate.isLocal = server.zone == m_options.zone;
    const auto found = m_loads.find(server.agent);
    if (found != m_loads.end()) {
        const bool isRecent = now - found->second.receivedAt < m_options.loadValidity;
        // A flow that was placed since the notice sends its first request at once.
        candidate.activeRequests = (isRecent ? found->second.notice.pendingRequests : 0) + found->second.placedSinceNotice;
        candidate.openFlows = found->second.notice.openFlows;
        candidate.slots = found->second.notice.slots;
    }
    return candidate;
}

bool BalancerSteering::isAgentResponsive(TimePoint now, const HostAddress &agent) const
{
    const auto found = m_loads.find(agent);
    return found != m_loads.end() && now - found->second.receivedAt < m_options.loadValidity;
}

SteerHeader BalancerSteering::makeHeader(ServiceKey service, bool wantsOwnerNotice) const
{
    return {0,
            wantsOwnerNotice,
            m_directory.routes().version(),
            service,
            m_options.noticeAddress,
            !m_directory.isRegistryComplete(),
            LookupPhase::FirstRegistrar,
            0,
            true,
            true};
}

void BalancerSteering::handleOwnerNotice(TimePoint now, const OwnerNotice &notice)
{
    if (m_directory.hasEnded(notice.owner, notice.incarnation)) {
        // It may belong to an earlier flow with the same addresses and ports. The registrars know whether this flow has ended.
        return;
    }
    Flow &flow = m_flows[notice.tuple];
    const bool isSameAgent = flow.agent == notice.owner;
    const bool areIncarnationsKnown = flow.incarnation != Incarnation() && notice.incarnation != Incarnation();
    const bool isSameOwner = isSameAgent && (!areIncarnationsKnown || flow.incarnation == notice.incarnation);
    // Notices that name different owners belong to different flows, and may arrive in any order, also more than once.
    const bool isContested = flow.isContested || (flow.source == OwnershipSource::OwnerNotice && !isSameOwner);
    // The owner of a flow that was opened where it was placed sends no notice, so that a notice of another agent may be about an earlier flow.
    const bool isPlacedElsewhere = flow.source == OwnershipSource::Placement && !isSameAgent;
    const bool isConfirmed = notice.incarnation != Incarnation() && !isContested && !isPlacedElsewhere;
    const SteerServer *listed = m_directory.find(notice.owner);
    const Incarnation listedIncarnation = listed == nullptr ? Incarnation() : listed->incarnation;
    flow = {notice.owner,
            notice.incarnation == Incarnation() ? listedIncarnation : notice.incarnation,
            isConfirmed,
            now,
            OwnershipSource::OwnerNotice,
            now,
            isContested,
            notice.callerSequence};
}

void BalancerSteering::handleLoadNotice(TimePoint now, const LoadNotice &notice)
{
    m_loads[notice.agent] = {notice, now, 0};
}

void BalancerSteering::expire(TimePoint now)
{
    std::erase_if(m_flows, [&](const auto &entry) {
        return now - entry.second.lastUsed > m_options.flowRetention;
    });
    std::erase_if(m_loads, [&](const auto &entry) {
        return now - entry.second.receivedAt > m_options.flowRetention && m_directory.find(entry.first) == nullptr;
    });
}

bool BalancerSteering::isReady() const
{
    return m_directory.isReady();
}

const ServerDirectory &BalancerSteering::directory() const
{
    return m_directory;
}

std::vector<EndedServer> BalancerSteering::takeEndedServers()
{
    return m_directory.takeEndedServers();
}

}
