#include <jujubequay/steering/agent_steering.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace Jujubequay {

namespace {

/// The packet that opens a flow acknowledges at most this far beyond the start of the server's sequence: more than a server sends
/// before anything is acknowledged. Another server's random sequence lies in it once in 65,536 times.
constexpr std::uint32_t sequenceSpan = 64U << 10U;
/// A new flow is offered to at most this many servers after the first; the copies of the packet follow after 200 ms.
constexpr std::uint8_t maxOpeningHops = 2;
/// Balancers that sent nothing for this long get no load notices.
constexpr auto balancerMemory = std::chrono::seconds(3);

std::uint16_t limited(std::size_t value)
{
    return static_cast<std::uint16_t>(std::min<std::size_t>(value, std::numeric_limits<std::uint16_t>::max()));
}

}

AgentSteering::AgentSteering(AgentSteeringOptions options)
    : m_options(options)
    , m_directory({})
    , m_outliers({})
{
}

void AgentSteering::update(TimePoint now, const ConfigSnapshot &snapshot)
{
    const bool wasComplete = m_directory.isComplete();
    if (m_directory.update(now, snapshot)) {
        m_listChangedAt = now;
        for (auto &[tuple, flow] : m_flows) {
            if (flow.state == FlowState::Open && updateHomes(tuple, flow)) {
                m_untold.insert(tuple);
            }
        }
    }
    if (!wasComplete && m_directory.isComplete()) {
        // Hosts that do not have the whole list yet mark the packets that they pass on.
        m_listChangedAt = now - m_options.settleTime;
    }
}

std::vector<ResetCaller> AgentSteering::setServer(TimePoint now, const std::optional<LocalServer> &server, bool isFresh)
{
    std::vector<ResetCaller> resets;
    const bool isSameStart = m_server && server
        && (m_server->incarnation == server->incarnation || m_server->incarnation == unconfirmedIncarnation || server->incarnation == unconfirmedIncarnation);
    if (!isSameStart || m_server->service != server->service) {
        // The first server of this agent may have taken flows before the agent started.
        const bool isFirst = !m_server;
        m_blindBefore = isFresh || !isFirst ? std::nullopt : std::optional(now);
        m_outliers = OutlierDetector({});
        for (auto &[tuple, flow] : m_flows) {
            const bool wasOpen = flow.state == FlowState::Open;
            if (!isFirst && isAtServer(flow)) {
                forget(flow);
                flow.state = FlowState::Lost;
                flow.lastUsed = now;
            }
            if (!isFirst && wasOpen) {
                resets.push_back({tuple, flow.callerAcknowledgement, SteerCause::ServerReplaced});
            }
        }
    }
    if (isFresh) {
        m_blindBefore.reset();
    }
    m_server = server;
    m_isServerKnown = true;
    return resets;
}

// ---- Packets of callers ----

AgentDecision AgentSteering::fromPeer(TimePoint now, const SteerHeader &header, const Segment &segment, std::vector<NoticeTo> &notices)
{
    m_balancers[header.balancer] = now;
    if (header.tableVersion > m_highestTable) {
        m_highestTable = header.tableVersion;
        m_highestTableAt = now;
    }
    if (segment.isRejected || (segment.isSyn && segment.isAck)) {
        return DropPacket{SteerCause::Spoofed};
    }
    return segment.isSyn ? open(now, header, segment, notices) : forward(now, header, segment, notices);
}

AgentDecision AgentSteering::open(TimePoint now, const SteerHeader &header, const Segment &segment, std::vector<NoticeTo> &notices)
{
    const FlowTuple tuple = flowTupleFromCaller(segment);
    const auto known = m_flows.find(tuple);
    if (known != m_flows.end()) {
        Flow &flow = known->second;
        if (isAtServer(flow)) {
            return deliver(now, flow, header, segment, notices);
        }
        if (flow.state == FlowState::Elsewhere && header.hops < maxOpeningHops) {
            SteerHeader next = header;
            ++next.hops;
            return RelayToAgent{flow.elsewhere, next, SteerCause::Known};
        }
    }
    const std::uint64_t ownTable = m_directory.routes().version();
    if (std::max(header.tableVersion, ownTable) < m_highestTable && now - m_highestTableAt > m_options.tableGrace) {
        // A copy follows soon; by then one of the two has the newer table.
        return DropPacket{SteerCause::StaleTable};
    }
    if (ownTable >= header.tableVersion && m_directory.routes().find(tuple.service) == nullptr) {
        return ResetCaller{tuple, segment.acknowledgement, SteerCause::NoRoute};
    }
    if (!m_server || header.service != m_server->service || !isRouteAllowed(header, tuple)) {
        return passOpeningOn(header, segment, SteerCause::NotAccepted);
    }
    if (!m_server->takesNewFlows) {
        return passOpeningOn(header, segment, SteerCause::Draining);
    }
    // After the last hand-over a doubtful server is better than none.
    if (!m_outliers.tryAdmitFlow(now) && header.hops < maxOpeningHops) {
        const AgentDecision decision = passOpeningOn(header, segment, SteerCause::Ejected);
        if (std::holds_alternative<RelayToAgent>(decision)) {
            return decision;
        }
    }
    Flow &flow = insert(tuple, FlowState::Offered, now);
    flow.header = header;
    return DeliverToServer{};
}

bool AgentSteering::isRouteAllowed(const SteerHeader &header, const FlowTuple &tuple) const
{
    const RouteTable &own = m_directory.routes();
    if (header.tableVersion > own.version()) {
        return true;
    }
    const Route *route = own.find(tuple.service);
    return route != nullptr && route->hasService(m_server->service);
}

AgentDecision AgentSteering::passOpeningOn(const SteerHeader &header, const Segment &segment, SteerCause cause) const
{
    const FlowTuple tuple = flowTupleFromCaller(segment);
    const RouteTable &own = m_directory.routes();
    const Route *route = own.find(tuple.service);
    SteerHeader next = header;
    ++next.hops;
    if (own.version() >= header.tableVersion && route != nullptr) {
        next.service = route->serviceFor(hashOf(tuple)).key;
        next.tableVersion = own.version();
    }
    if (next.hops <= maxOpeningHops) {
        for (const HostAddress &agent : m_directory.order(tuple)) {
            const SteerServer *server = m_directory.find(agent);
            if (agent != m_options.agent && server->takesNewFlows && server->service == next.service) {
                return RelayToAgent{agent, next, cause};
            }
        }
    }
    return ResetCaller{tuple, segment.acknowledgement, SteerCause::NotAccepted};
}

AgentDecision AgentSteering::forward(TimePoint now, const SteerHeader &header, const Segment &segment, std::vector<NoticeTo> &notices)
{
    const FlowTuple tuple = flowTupleFromCaller(segment);
    const auto known = m_flows.find(tuple);
    if (known == m_flows.end()) {
        if (!m_isServerKnown) {
            return HoldSearch{header};
        }
        if (m_server && !knowsAllFlows(now)) {
            Flow &flow = insert(tuple, FlowState::Asked, now);
            flow.header = header;
            return DeliverToServer{};
        }
        return passOn(now, header, segment);
    }
    Flow &flow = known->second;
    switch (flow.state) {
    case FlowState::Offered:
        // The caller has taken the answer of another server.
        return passOn(now, header, segment);
    case FlowState::Accepted:
        if (!segment.isRst && segment.acknowledgement - flow.serverSequence - 1 >= sequenceSpan) {
            return passOn(now, header, segment);
        }
        flow.state = FlowState::Open;
        opened(now, tuple, flow, notices);
        return deliver(now, flow, header, segment, notices);
    case FlowState::Open:
    case FlowState::Asked:
    case FlowState::Ended:
        return deliver(now, flow, header, segment, notices);
    case FlowState::Elsewhere: {
        flow.lastUsed = now;
        if (m_directory.hasDeparted(flow.elsewhere, flow.elsewhereIncarnation)) {
            flow.state = FlowState::Lost;
            return lost(segment);
        }
        SteerHeader next = header;
        next.wantsOwner = true;
        ++next.hops;
        return next.hops > m_options.maxHops ? AgentDecision(DropPacket{SteerCause::TooManyHops})
                                             : AgentDecision(RelayToAgent{flow.elsewhere, next, SteerCause::Known});
    }
    case FlowState::Lost:
        return lost(segment);
    }
    return DropPacket{SteerCause::UnknownFlow};
}

AgentDecision AgentSteering::lost(const Segment &segment)
{
    if (segment.isRst) {
        return DropPacket{SteerCause::ServerReplaced};
    }
    return ResetCaller{flowTupleFromCaller(segment), segment.acknowledgement, SteerCause::ServerReplaced};
}

AgentDecision AgentSteering::deliver(TimePoint now, Flow &flow, const SteerHeader &header, const Segment &segment, std::vector<NoticeTo> &notices)
{
    flow.lastUsed = now;
    if (flow.state == FlowState::Ended || segment.isSyn) {
        return DeliverToServer{};
    }
    flow.callerAcknowledgement = segment.acknowledgement;
    const bool isBalancerWrong = header.wantsOwner || header.hops > 0;
    if (flow.state == FlowState::Open && isBalancerWrong) {
        notices.push_back({header.balancer, {flowTupleFromCaller(segment), m_options.agent}});
    }
    if (flow.heldSince && now - *flow.heldSince <= m_options.maxHold) {
        // What follows may overtake the held packet, which the server then waits for; the held packet itself is not repeated.
        return isNewData(flow, segment) ? AgentDecision(DeliverToServer{}) : AgentDecision(DropPacket{SteerCause::Held});
    }
    endHold(flow);
    if (isNewData(flow, segment)) {
        if (!flow.isWaiting && mustHold(now, flow)) {
            return HoldPacket{};
        }
        startWaiting(now, flow);
    }
    flow.hasCallerEnded = flow.hasCallerEnded || segment.isFin;
    if (segment.isRst || (flow.hasCallerEnded && flow.hasServerEnded)) {
        end(now, flow);
    }
    return DeliverToServer{};
}

AgentDecision AgentSteering::passOn(TimePoint now, const SteerHeader &header, const Segment &segment) const
{
    const FlowTuple tuple = flowTupleFromCaller(segment);
    SteerHeader next = header;
    ++next.hops;
    next.isSearchPartial = header.isSearchPartial || !isListSettled(now);
    if (next.hops > m_options.maxHops) {
        return DropPacket{SteerCause::TooManyHops};
    }
    const auto agent = nextToAsk(header.wantsOwner, tuple, next);
    next.wantsOwner = true;
    if (agent) {
        return RelayToAgent{*agent, next, SteerCause::Home};
    }
    // Every server of the order has been asked. The caller should not wait for a flow that nobody holds.
    if (segment.isRst) {
        return DropPacket{SteerCause::UnknownFlow};
    }
    if (next.isSearchPartial) {
        // A host that never learns of all servers must not keep packets travelling.
        return header.repeats < maxSearchRepeats ? AgentDecision(HoldSearch{next}) : AgentDecision(DropPacket{SteerCause::UnknownFlow});
    }
    return ResetCaller{tuple, segment.acknowledgement, SteerCause::UnknownFlow};
}

// The homes come first; then all servers by rank, the homes once more: a host whose list differs may take others for the homes.
std::optional<HostAddress> AgentSteering::nextToAsk(bool isSearch, const FlowTuple &tuple, SteerHeader &next) const
{
    if (next.phase == SearchPhase::AllServers) {
        return m_directory.next(tuple, m_options.agent);
    }
    const std::vector<FlowHome> homes = m_directory.homes(tuple);
    if (homes.empty()) {
        return std::nullopt;
    }
    const auto isOther = [this](const FlowHome &home) {
        return home.agent != m_options.agent;
    };
    if (!isSearch && isOther(homes.front())) {
        // The balancer took this agent for the holder.
        next.phase = SearchPhase::FirstHome;
        return homes.front().agent;
    }
    if (next.phase == SearchPhase::FirstHome && homes.size() > 1 && isOther(homes.back())) {
        next.phase = SearchPhase::SecondHome;
        return homes.back().agent;
    }
    next.phase = SearchPhase::AllServers;
    // The first home is the best server by rank.
    return isOther(homes.front()) ? homes.front().agent : m_directory.next(tuple, m_options.agent);
}

bool AgentSteering::isServerKnown() const
{
    return m_isServerKnown;
}

bool AgentSteering::isListSettled(TimePoint now) const
{
    return m_directory.isReady() && m_directory.isComplete() && now - m_listChangedAt >= m_options.settleTime;
}

// The search starts again at the home, since servers may have been left out; but the own server first, if it may hold the flow.
AgentDecision AgentSteering::repeatSearch(TimePoint now, const SteerHeader &header, const Segment &segment, std::vector<NoticeTo> &notices)
{
    SteerHeader first = header;
    first.hops = 0;
    first.isSearchPartial = false;
    first.phase = SearchPhase::FirstHome;
    first.repeats = static_cast<std::uint8_t>(std::min<unsigned>(header.repeats + 1U, maxSearchRepeats));
    const auto home = m_directory.home(flowTupleFromCaller(segment));
    const bool mayHoldIt = m_server && !knowsAllFlows(now);
    if (!mayHoldIt && home && *home != m_options.agent) {
        first.wantsOwner = true;
        return RelayToAgent{*home, first, SteerCause::Home};
    }
    return fromPeer(now, first, segment, notices);
}

// ---- Packets of the server ----

AgentDecision AgentSteering::fromServer(TimePoint now, const Segment &segment, std::vector<NoticeTo> &notices)
{
    if (segment.isRejected) {
        return returned(now, segment);
    }
    const FlowTuple tuple = flowTupleFromServer(segment);
    const auto known = m_flows.find(tuple);
    const bool isOpeningAnswer = segment.isSyn && segment.isAck;
    Flow &flow = known == m_flows.end() ? insert(tuple, isOpeningAnswer ? FlowState::Offered : FlowState::Asked, now) : known->second;
    flow.lastUsed = now;
    if (isOpeningAnswer) {
        if (flow.state == FlowState::Offered) {
            flow.state = FlowState::Accepted;
            if (flow.header.hops > 0) {
                notices.push_back({flow.header.balancer, {tuple, m_options.agent}});
            }
        }
        flow.serverSequence = segment.sequence;
        return SendToCaller{};
    }
    flow.hasServerSpoken = true;
    if (flow.state == FlowState::Asked || flow.state == FlowState::Elsewhere) {
        if (flow.state == FlowState::Elsewhere) {
            ++m_atServer;
        }
        flow.state = FlowState::Open;
        opened(now, tuple, flow, notices);
        if (flow.header.wantsOwner) {
            notices.push_back({flow.header.balancer, {tuple, m_options.agent}});
        }
    }
    // An end without data proves nothing: it may have overtaken the answer.
    if (flow.isWaiting && (segment.length > 0 || segment.isRst)) {
        segment.isRst ? m_outliers.recordFailure(now) : m_outliers.recordSuccess(now);
        if (!segment.isRst) {
            m_answered.push_back({tuple.service, now - flow.waitingSince + flow.heldFor, flow.heldFor});
        }
        stopWaiting(flow);
    }
    flow.hasServerEnded = flow.hasServerEnded || segment.isFin;
    if (segment.isRst || (flow.hasCallerEnded && flow.hasServerEnded)) {
        end(now, flow);
    }
    return SendToCaller{};
}

AgentDecision AgentSteering::returned(TimePoint now, const Segment &segment)
{
    const FlowTuple tuple = flowTupleFromCaller(segment);
    const auto known = m_flows.find(tuple);
    if (known == m_flows.end()) {
        return DropPacket{SteerCause::UnknownFlow};
    }
    Flow &flow = known->second;
    const SteerHeader header = flow.header;
    switch (flow.state) {
    case FlowState::Offered:
    case FlowState::Asked: {
        forget(flow);
        m_flows.erase(known);
        return segment.isSyn ? passOpeningOn(header, segment, SteerCause::NotAccepted) : passOn(now, header, segment);
    }
    case FlowState::Open:
        if (!flow.hasServerSpoken) {
            // The packet has acknowledged the answer of another server, where the flow lives.
            forget(flow);
            m_flows.erase(known);
            return passOn(now, header, segment);
        }
        // The server itself says that it does not hold the flow any more.
        end(now, flow);
        flow.state = FlowState::Lost;
        return lost(segment);
    default:
        return DropPacket{SteerCause::UnknownFlow};
    }
}

// ---- Flows ----

void AgentSteering::notice(TimePoint now, const OwnerNotice &notice)
{
    if (notice.owner == m_options.agent) {
        return;
    }
    const auto known = m_flows.find(notice.tuple);
    if (known != m_flows.end() && known->second.state == FlowState::Open) {
        return;
    }
    if (known != m_flows.end()) {
        forget(known->second);
    }
    Flow &flow = m_flows[notice.tuple];
    flow = {};
    flow.state = FlowState::Elsewhere;
    flow.elsewhere = notice.owner;
    const SteerServer *owner = m_directory.find(notice.owner);
    flow.elsewhereIncarnation = owner == nullptr ? Incarnation() : owner->incarnation;
    flow.lastUsed = now;
}

// A flow that stays quiet for longer than its idle time may be forgotten, so by then all others have been seen.
bool AgentSteering::knowsAllFlows(TimePoint now) const
{
    const Duration stated = m_directory.routes().idleTimeout();
    return !m_blindBefore || now - *m_blindBefore >= (stated > Duration::zero() ? stated : m_options.flowMemory);
}

// ---- Homes ----

void AgentSteering::opened(TimePoint now, const FlowTuple &tuple, Flow &flow, std::vector<NoticeTo> &notices)
{
    updateHomes(tuple, flow);
    tellHomes(now, tuple, flow, notices);
    if (isAnyHomeWaiting(flow, m_options.maxNotices)) {
        m_untold.insert(tuple);
    }
}

bool AgentSteering::updateHomes(const FlowTuple &tuple, Flow &flow) const
{
    std::vector<ToldHome> homes;
    for (const FlowHome &home : m_directory.homes(tuple)) {
        const auto known = std::find_if(flow.homes.begin(), flow.homes.end(), [&home](const ToldHome &told) {
            return told.home == home;
        });
        ToldHome &told = homes.emplace_back(known == flow.homes.end() ? ToldHome{home} : *known);
        told.isAcknowledged = told.isAcknowledged || home.agent == m_options.agent;
    }
    flow.homes = std::move(homes);
    return isAnyHomeWaiting(flow, m_options.maxNotices);
}

bool AgentSteering::isAnyHomeWaiting(const Flow &flow, std::uint8_t maxNotices)
{
    return std::any_of(flow.homes.begin(), flow.homes.end(), [maxNotices](const ToldHome &told) {
        return !told.isAcknowledged && told.notices < maxNotices;
    });
}

void AgentSteering::tellHomes(TimePoint now, const FlowTuple &tuple, Flow &flow, std::vector<NoticeTo> &notices) const
{
    for (ToldHome &told : flow.homes) {
        const bool isDue = told.notices == 0 || now - told.lastNotice >= m_options.noticeInterval;
        if (!told.isAcknowledged && told.notices < m_options.maxNotices && isDue) {
            ++told.notices;
            told.lastNotice = now;
            notices.push_back({told.home.agent, {tuple, m_options.agent}});
        }
    }
}

void AgentSteering::repeatNotices(TimePoint now, std::vector<NoticeTo> &notices)
{
    std::erase_if(m_untold, [&](const FlowTuple &tuple) {
        const auto known = m_flows.find(tuple);
        if (known == m_flows.end() || known->second.state != FlowState::Open) {
            return true;
        }
        tellHomes(now, tuple, known->second, notices);
        return !isAnyHomeWaiting(known->second, m_options.maxNotices);
    });
}

void AgentSteering::acknowledged(const OwnerAcknowledgement &acknowledgement)
{
    const auto known = m_flows.find(acknowledgement.tuple);
    if (known == m_flows.end()) {
        return;
    }
    for (ToldHome &told : known->second.homes) {
        told.isAcknowledged = told.isAcknowledged || told.home.agent == acknowledgement.home;
    }
}

// ---- Load ----

AgentSteering::Flow &AgentSteering::insert(const FlowTuple &tuple, FlowState state, TimePoint now)
{
    const auto known = m_flows.find(tuple);
    if (known != m_flows.end()) {
        forget(known->second);
    }
    Flow &flow = m_flows[tuple];
    flow = {};
    flow.state = state;
    flow.lastUsed = now;
    ++m_atServer;
    return flow;
}

bool AgentSteering::isAtServer(const Flow &flow)
{
    return flow.state == FlowState::Offered || flow.state == FlowState::Accepted || flow.state == FlowState::Open || flow.state == FlowState::Asked;
}

void AgentSteering::startWaiting(TimePoint now, Flow &flow)
{
    flow.waitingSince = now;
    if (!flow.isWaiting) {
        flow.heldFor = {};
        flow.isWaiting = true;
        ++m_waiting;
    }
}

void AgentSteering::stopWaiting(Flow &flow)
{
    if (flow.isWaiting) {
        flow.isWaiting = false;
        --m_waiting;
    }
}

Duration AgentSteering::requestTimeout(const HostAddress &service) const
{
    const Route *route = m_directory.routes().find(service);
    return route == nullptr ? m_options.defaultTimeout : route->timeout;
}

// A repeated packet must not count as another request.
bool AgentSteering::isNewData(Flow &flow, const Segment &segment)
{
    const std::uint32_t end = segment.sequence + segment.length;
    const bool isNew = segment.length > 0 && (!flow.callerEnd || static_cast<std::int32_t>(end - *flow.callerEnd) > 0);
    if (isNew) {
        flow.callerEnd = end;
    }
    return isNew;
}

bool AgentSteering::mayStartRequest() const
{
    // A server that states no slots runs one request at a time at least.
    return !m_server || m_waiting < std::size_t{m_options.requestsPerSlot} * std::max<std::size_t>(m_server->slots, 1);
}

bool AgentSteering::mustHold(TimePoint now, Flow &flow)
{
    if (mayStartRequest() || m_heldRequests >= m_options.maxHeldRequests) {
        return false;
    }
    flow.heldSince = now;
    ++m_heldRequests;
    return true;
}

void AgentSteering::endHold(Flow &flow)
{
    if (flow.heldSince) {
        flow.heldSince.reset();
        --m_heldRequests;
    }
}

AgentDecision AgentSteering::startHeld(TimePoint now, const Segment &segment)
{
    const auto known = m_flows.find(flowTupleFromCaller(segment));
    if (known == m_flows.end() || known->second.state != FlowState::Open || !known->second.heldSince) {
        return DropPacket{SteerCause::UnknownFlow};
    }
    Flow &flow = known->second;
    const Duration held = now - *flow.heldSince;
    endHold(flow);
    flow.lastUsed = now;
    startWaiting(now, flow);
    flow.heldFor = held;
    return DeliverToServer{};
}

void AgentSteering::forget(Flow &flow)
{
    endHold(flow);
    if (isAtServer(flow)) {
        stopWaiting(flow);
        --m_atServer;
    }
}

void AgentSteering::end(TimePoint now, Flow &flow)
{
    forget(flow);
    flow.state = FlowState::Ended;
    flow.lastUsed = now;
}

void AgentSteering::expire(TimePoint now)
{
    for (auto entry = m_flows.begin(); entry != m_flows.end();) {
        Flow &flow = entry->second;
        const bool isShort = flow.state == FlowState::Ended || flow.state == FlowState::Offered || flow.state == FlowState::Asked;
        const bool isOver = now - flow.lastUsed > (isShort ? m_options.endMemory : m_options.flowMemory);
        // A caller that has given up may say nothing; its request must not count as work for good.
        if (flow.isWaiting && now - flow.waitingSince > requestTimeout(entry->first.service)) {
            stopWaiting(flow);
        }
        if (isOver) {
            forget(flow);
        }
        entry = isOver ? m_flows.erase(entry) : std::next(entry);
    }
    std::erase_if(m_balancers, [&](const auto &entry) {
        return now - entry.second > balancerMemory;
    });
}

const AgentSteeringOptions &AgentSteering::options() const
{
    return m_options;
}

std::vector<AnsweredRequest> AgentSteering::takeAnswered()
{
    return std::exchange(m_answered, {});
}

LoadNotice AgentSteering::load() const
{
    LoadNotice notice;
    notice.agent = m_options.agent;
    notice.waiting = limited(m_waiting + m_heldRequests);
    notice.openFlows = limited(m_atServer);
    notice.slots = m_server ? m_server->slots : 0;
    notice.takesNewFlows = m_server && m_server->takesNewFlows && isServerTrusted();
    return notice;
}

bool AgentSteering::isServerTrusted() const
{
    return m_outliers.isHealthy();
}

std::vector<HostAddress> AgentSteering::recentBalancers() const
{
    std::vector<HostAddress> balancers;
    for (const auto &entry : m_balancers) {
        balancers.push_back(entry.first);
    }
    return balancers;
}

const ServerDirectory &AgentSteering::directory() const
{
    return m_directory;
}

}
