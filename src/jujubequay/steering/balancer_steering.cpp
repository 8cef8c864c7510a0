#include <jujubequay/steering/balancer_steering.h>

#include <jujubequay/core/name_table.h>

namespace Jujubequay {

namespace {

/// True if the server that held a flow has certainly ended.
bool isReplaced(Incarnation holder, const SteerServer &current)
{
    const auto isConfirmed = [](Incarnation incarnation) {
        return incarnation != Incarnation() && incarnation != unconfirmedIncarnation;
    };
    return !current.goneSince && isConfirmed(holder) && isConfirmed(current.incarnation) && holder != current.incarnation;
}

constexpr NameTable<SteerCause, 15> causeNames{{{
    {SteerCause::Placed, "placed"},
    {SteerCause::Known, "known"},
    {SteerCause::Home, "home"},
    {SteerCause::NoRoute, "no-route"},
    {SteerCause::NoServer, "no-server"},
    {SteerCause::ServerReplaced, "server-replaced"},
    {SteerCause::NotReady, "not-ready"},
    {SteerCause::NotAccepted, "not-accepted"},
    {SteerCause::Draining, "draining"},
    {SteerCause::Ejected, "ejected"},
    {SteerCause::StaleTable, "stale-table"},
    {SteerCause::UnknownFlow, "unknown-flow"},
    {SteerCause::TooManyHops, "too-many-hops"},
    {SteerCause::Held, "held"},
    {SteerCause::Spoofed, "spoofed"},
}}};

}

std::string_view steerCauseName(SteerCause cause)
{
    return causeNames.name(cause);
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

BalancerDecision BalancerSteering::decide(TimePoint now, const Segment &segment)
{
    if (!isReady()) {
        return DropPacket{SteerCause::NotReady};
    }
    if (segment.isRejected || (segment.isSyn && segment.isAck)) {
        return DropPacket{SteerCause::Spoofed};
    }
    return segment.isSyn ? open(now, segment) : forward(now, segment);
}

BalancerDecision BalancerSteering::open(TimePoint now, const Segment &segment)
{
    const FlowTuple tuple = flowTupleFromCaller(segment);
    const Route *route = m_directory.routes().find(tuple.service);
    if (route == nullptr) {
        return ResetCaller{tuple, segment.acknowledgement, SteerCause::NoRoute};
    }
    const ServiceKey service = route->serviceFor(hashOf(tuple)).key;
    const auto known = m_flows.find(tuple);
    const HostAddress *avoided = nullptr;
    if (known != m_flows.end()) {
        Flow &flow = known->second;
        const SteerServer *server = m_directory.find(flow.agent);
        const bool isUsable = server != nullptr && server->takesNewFlows && server->service == service;
        // The first copy may make up for a lost packet; a second one means that the server does not answer.
        if (isUsable && segment.retransmissionCount <= 1 && isAlive(now, flow.agent)) {
            flow.lastUsed = now;
            return RelayToAgent{flow.agent, header(service, false), SteerCause::Known};
        }
        avoided = &flow.agent;
    }
    const SteerServer *server = choose(now, service, tuple, avoided);
    if (server == nullptr) {
        return ResetCaller{tuple, segment.acknowledgement, SteerCause::NoServer};
    }
    m_flows[tuple] = {server->agent, server->incarnation, now};
    ++m_loads[server->agent].placedSince;
    return RelayToAgent{server->agent, header(service, false), SteerCause::Placed};
}

BalancerDecision BalancerSteering::forward(TimePoint now, const Segment &segment)
{
    const FlowTuple tuple = flowTupleFromCaller(segment);
    const auto known = m_flows.find(tuple);
    if (known != m_flows.end()) {
        Flow &flow = known->second;
        flow.lastUsed = now;
        const SteerServer *server = m_directory.find(flow.agent);
        const bool isEnded = m_directory.hasDeparted(flow.agent, flow.incarnation) || (server != nullptr && isReplaced(flow.incarnation, *server));
        if (isEnded) {
            if (segment.isRst) {
                return DropPacket{SteerCause::ServerReplaced};
            }
            return ResetCaller{tuple, segment.acknowledgement, SteerCause::ServerReplaced};
        }
        return RelayToAgent{flow.agent, header({}, false), SteerCause::Known};
    }
    if (const auto home = m_directory.home(tuple)) {
        return RelayToAgent{*home, header({}, true), SteerCause::Home};
    }
    return DropPacket{SteerCause::NoServer};
}

const SteerServer *BalancerSteering::choose(TimePoint now, ServiceKey service, const FlowTuple &tuple, const HostAddress *avoided)
{
    std::vector<const SteerServer *> servers;
    std::size_t refusing = 0;
    for (const SteerServer &server : m_directory.servers(service)) {
        const bool isAvoided = avoided != nullptr && server.agent == *avoided;
        if (server.takesNewFlows && !isAvoided) {
            servers.push_back(&server);
            refusing += isRefusing(now, server.agent) ? 1 : 0;
        }
    }
    // Where most servers look bad, the cause lies elsewhere, and the rest could not carry the load.
    if (refusing <= servers.size() / 2) {
        std::erase_if(servers, [&](const SteerServer *server) {
            return isRefusing(now, server->agent);
        });
    }
    std::vector<LeastLoadedCandidate> loads;
    loads.reserve(servers.size());
    for (const SteerServer *server : servers) {
        loads.push_back(loadOf(now, *server));
    }
    const auto chosen = chooseLeastLoaded(loads, m_options.choice, hashOf(tuple));
    if (chosen) {
        return servers[*chosen];
    }
    const SteerServer *last = avoided == nullptr ? nullptr : m_directory.find(*avoided);
    return last != nullptr && last->takesNewFlows && last->service == service ? last : nullptr;
}

bool BalancerSteering::isRefusing(TimePoint now, const HostAddress &agent) const
{
    const auto found = m_loads.find(agent);
    return found != m_loads.end() && !found->second.notice.takesNewFlows && now - found->second.at < m_options.loadValidity;
}

LeastLoadedCandidate BalancerSteering::loadOf(TimePoint now, const SteerServer &server) const
{
    LeastLoadedCandidate load;
    load.isLocal = server.zone == m_options.zone;
    const auto found = m_loads.find(server.agent);
    if (found != m_loads.end()) {
        const bool isRecent = now - found->second.at < m_options.loadValidity;
        // A flow that was placed since the notice brings a request at once.
        load.activeRequests = (isRecent ? found->second.notice.waiting : 0) + found->second.placedSince;
        load.openFlows = found->second.notice.openFlows;
        load.slots = found->second.notice.slots;
    }
    return load;
}

bool BalancerSteering::isAlive(TimePoint now, const HostAddress &agent) const
{
    const auto found = m_loads.find(agent);
    return found != m_loads.end() && now - found->second.at < m_options.loadValidity;
}

SteerHeader BalancerSteering::header(ServiceKey service, bool wantsOwner) const
{
    return {0, wantsOwner, m_directory.routes().version(), service, m_options.noticeAddress, !m_directory.isComplete()};
}

void BalancerSteering::notice(TimePoint now, const OwnerNotice &notice)
{
    const SteerServer *server = m_directory.find(notice.owner);
    m_flows[notice.tuple] = {notice.owner, server == nullptr ? Incarnation() : server->incarnation, now};
}

void BalancerSteering::notice(TimePoint now, const LoadNotice &notice)
{
    m_loads[notice.agent] = {notice, now, 0};
}

void BalancerSteering::expire(TimePoint now)
{
    std::erase_if(m_flows, [&](const auto &entry) {
        return now - entry.second.lastUsed > m_options.flowMemory;
    });
    std::erase_if(m_loads, [&](const auto &entry) {
        return now - entry.second.at > m_options.flowMemory && m_directory.find(entry.first) == nullptr;
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

}
