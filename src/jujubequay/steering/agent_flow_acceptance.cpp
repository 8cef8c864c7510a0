#include <jujubequay/steering/agent_steering.h>

#include <algorithm>

// Acceptance of new flows by AgentSteering.

namespace Jujubequay {

namespace {

/// A SYN is redirected at most this many times; the caller retransmits it after 200 ms.
constexpr std::uint8_t maxSynHops = 2;

}

AgentDecision AgentSteering::handleSyn(TimePoint now, const SteerHeader &header, const Segment &segment, std::vector<AddressedNotice> &notices)
{
    const FlowTuple tuple = flowTupleFromCaller(segment);
    m_rejectedProbes.erase(tuple);
    const auto found = m_flows.find(tuple);
    if (found != m_flows.end()) {
        Flow &flow = found->second;
        if (isLocalFlow(flow)) {
            flow.header = flow.state == FlowState::Open ? header : flow.header;
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
    if (!m_server || !identifies(header.service, m_server->service) || !isRoutedToLocalServer(header, tuple)) {
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
            if (agent != m_options.agent && server->acceptsNewFlows && identifies(next.service, server->service)) {
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

}
