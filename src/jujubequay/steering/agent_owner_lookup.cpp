#include <jujubequay/steering/agent_steering.h>

#include <algorithm>

// The owner lookup of AgentSteering.

namespace Jujubequay {

namespace {

/// Hops of a step that hosts with other lists may see as a step back. A lookup has room for 20 of them.
constexpr unsigned uncertainStepHops = 12;

}

AgentDecision AgentSteering::probe(TimePoint now, const SteerHeader &header, const FlowTuple &tuple)
{
    Flow &flow = insert(tuple, FlowState::Probed, now);
    flow.header = header;
    return DeliverToServer{};
}

AgentDecision AgentSteering::lookUp(TimePoint now, const SteerHeader &header, const Segment &segment)
{
    if (!m_isServerKnown) {
        return HoldLookup{header};
    }
    const FlowTuple tuple = flowTupleFromCaller(segment);
    return mayOwnUnknownFlow(now, segment) && isProbeDue(header, tuple) ? probe(now, header, tuple) : continueLookup(now, header, segment);
}

AgentDecision AgentSteering::continueLookup(TimePoint now, const SteerHeader &header, const Segment &segment)
{
    const FlowTuple tuple = flowTupleFromCaller(segment);
    SteerHeader next = header;
    next.isLookupPartial = header.isLookupPartial || !isServerListStable(now);
    const bool mayOwnFlow = m_isServerKnown && mayOwnUnknownFlow(now, segment);
    auto agent = nextLookupAgent(header.wantsOwnerNotice, tuple, mayOwnFlow, next);
    const unsigned hops = header.hops + (agent ? lookupHops(tuple, header, *agent) : 0U);
    if (hops > m_options.maxHops) {
        // The server lists of the agents differ, so that some are visited more than once and others not at all.
        next.isLookupPartial = true;
        next.areFlowTablesComplete = false;
        agent.reset();
    } else {
        next.hops = static_cast<std::uint8_t>(hops);
    }
    if (!agent && next.lookupPhase == LookupPhase::KnownFlows && !next.areFlowTablesComplete) {
        next.lookupPhase = LookupPhase::AllServers;
        next.hops = 0;
        agent = m_directory.firstRegistrar(tuple);
        if (agent == m_options.agent) {
            if (mayOwnFlow) {
                return probe(now, next, tuple);
            }
            agent = m_directory.nextAgent(tuple, m_options.agent);
        }
    }
    next.wantsOwnerNotice = true;
    if (agent) {
        return RelayToAgent{*agent, next, SteerCause::OwnerLookup};
    }
    // All servers have been tried. The caller should not have to wait for a flow that has no owner.
    if (segment.isRst) {
        return DropPacket{SteerCause::UnknownFlow};
    }
    if (next.isLookupPartial) {
        // Bounded, since the server list of a host on the path may stay incomplete.
        return header.lookupRetries < maxLookupRetries ? AgentDecision(HoldLookup{next}) : AgentDecision(DropPacket{SteerCause::UnknownFlow});
    }
    return reset(segment, SteerCause::UnknownFlow);
}

// A step down the ranks of a group is not counted, so that the number of servers does not limit the lookup.
unsigned AgentSteering::lookupHops(const FlowTuple &tuple, const SteerHeader &header, const HostAddress &agent) const
{
    if (header.lookupPhase != LookupPhase::AllServers && header.lookupPhase != LookupPhase::KnownFlows) {
        return 1;
    }
    if (m_directory.ranksBelowInGroup(tuple, m_options.agent, agent)) {
        return 0;
    }
    const SteerServer *next = m_directory.find(agent);
    const bool isCertain = m_directory.find(m_options.agent) != nullptr && next != nullptr && !next->unlistedSince;
    return isCertain ? 1 : uncertainStepHops;
}

// Tries the registrars first, then all agents by rank, which include the registrars: a host with a different server list may have tried
// other agents as registrars.
std::optional<HostAddress> AgentSteering::nextLookupAgent(bool isLookup, const FlowTuple &tuple, bool mayOwnFlow, SteerHeader &next) const
{
    if (next.lookupPhase == LookupPhase::AllServers || next.lookupPhase == LookupPhase::KnownFlows) {
        next.areFlowTablesComplete = next.areFlowTablesComplete && !mayOwnFlow;
        return m_directory.nextAgent(tuple, m_options.agent);
    }
    const std::vector<FlowRegistrar> registrars = m_directory.registrars(tuple);
    if (registrars.empty()) {
        return std::nullopt;
    }
    const auto isOtherAgent = [this](const FlowRegistrar &registrar) {
        return registrar.agent != m_options.agent;
    };
    if (!isLookup && isOtherAgent(registrars.front())) {
        // The balancer has sent the packet here because it assumes that the local server owns the flow.
        next.lookupPhase = LookupPhase::FirstRegistrar;
        return registrars.front().agent;
    }
    if (next.lookupPhase == LookupPhase::FirstRegistrar && registrars.size() > 1 && isOtherAgent(registrars.back())) {
        next.lookupPhase = LookupPhase::SecondRegistrar;
        return registrars.back().agent;
    }
    next.lookupPhase = LookupPhase::KnownFlows;
    next.areFlowTablesComplete = !mayOwnFlow;
    // The first registrar ranks best.
    return isOtherAgent(registrars.front()) ? registrars.front().agent : m_directory.nextAgent(tuple, m_options.agent);
}

bool AgentSteering::isProbeDue(const SteerHeader &header, const FlowTuple &tuple) const
{
    if (!header.wantsOwnerNotice) {
        return true;
    }
    const std::vector<FlowRegistrar> registrars = m_directory.registrars(tuple);
    switch (header.lookupPhase) {
    case LookupPhase::FirstRegistrar:
        return registrars.empty() || registrars.front().agent != m_options.agent;
    case LookupPhase::SecondRegistrar:
        return registrars.empty() || registrars.back().agent != m_options.agent;
    case LookupPhase::AllServers:
        return true;
    case LookupPhase::KnownFlows:
        return false;
    }
    return true;
}

bool AgentSteering::mayOwnUnknownFlow(TimePoint now, const Segment &segment) const
{
    if (!m_server || isFlowTableComplete(now)) {
        return false;
    }
    const auto found = m_rejectedProbes.find(flowTupleFromCaller(segment));
    return found == m_rejectedProbes.end() || now - found->second.at > m_options.closedFlowRetention || !isNear(segment.sequence, found->second.sequence);
}

bool AgentSteering::acknowledgesServer(const Flow &flow, const Segment &segment)
{
    return isNear(segment.acknowledgement, flow.serverSequence);
}

void AgentSteering::rememberRejection(TimePoint now, const Segment &segment)
{
    m_rejectedProbes[flowTupleFromCaller(segment)] = {segment.sequence, now};
}

bool AgentSteering::ranksAfterThisAgent(const HostAddress &agent, const FlowTuple &tuple) const
{
    const std::vector<HostAddress> ranked = m_directory.rankedAgents(tuple);
    return std::find(std::find(ranked.begin(), ranked.end(), m_options.agent), ranked.end(), agent) != ranked.end();
}

// Restarts the lookup at the first registrar, since servers may have been left out. If the local server may own the flow, it is probed
// before that.
AgentDecision AgentSteering::retryLookup(TimePoint now, const SteerHeader &header, const Segment &segment, std::vector<AddressedNotice> &notices)
{
    SteerHeader restarted = header;
    restarted.hops = 0;
    restarted.isLookupPartial = false;
    restarted.lookupPhase = LookupPhase::FirstRegistrar;
    restarted.lookupRetries = static_cast<std::uint8_t>(std::min<unsigned>(header.lookupRetries + 1U, maxLookupRetries));
    const auto registrar = m_directory.firstRegistrar(flowTupleFromCaller(segment));
    if (!mayOwnUnknownFlow(now, segment) && registrar && *registrar != m_options.agent) {
        restarted.wantsOwnerNotice = true;
        return RelayToAgent{*registrar, restarted, SteerCause::OwnerLookup};
    }
    return handleCallerPacket(now, restarted, segment, notices);
}

}
