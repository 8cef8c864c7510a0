#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/policy/outlier_detector.h>
#include <jujubequay/steering/balancer_steering.h>
#include <jujubequay/steering/segment.h>
#include <jujubequay/steering/server_directory.h>
#include <jujubequay/steering/steer_message.h>

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

namespace Jujubequay {

/// The server beside an agent, as it announced itself.
struct LocalServer {
    ServiceKey service;
    Incarnation incarnation; ///< differs between starts
    bool takesNewFlows = false;
    std::uint16_t slots = 1;
    bool operator==(const LocalServer &) const = default;
};

/// Hand the packet to the server beside this agent.
struct DeliverToServer {
};
/// Hand the packet to the caller.
struct SendToCaller {
};
/// Keep the packet until `mayStartRequest`, then pass it to `startHeld`: the server has as many requests as it takes without
/// refusing some.
struct HoldPacket {
};
/// No server that is known holds the flow, but not all may be known. Keep the packet until `isListSettled`, or until `isServerKnown`
/// becomes true, then pass it to `repeatSearch`.
struct HoldSearch {
    SteerHeader header;
};
using AgentDecision = std::variant<DeliverToServer, SendToCaller, RelayToAgent, ResetCaller, DropPacket, HoldPacket, HoldSearch>;

/// A notice that goes with a decision.
struct NoticeTo {
    HostAddress destination;
    OwnerNotice notice;
};

/// A request whose answer has begun, as far as the agent can tell from the packets of its flow.
struct AnsweredRequest {
    HostAddress service; ///< address that the caller uses
    Duration time{}; ///< from the caller's data to the first data of the server, with the time in which it was held
    Duration held{};
};

struct AgentSteeringOptions {
    HostAddress agent; ///< own address among agents
    /// How long a flow without packets, or a pointer to another agent, is kept, and within which a server may hold a flow that its
    /// agent has not seen if the operator states no idle time.
    Duration flowMemory = std::chrono::seconds(75);
    /// How long the end of a flow is remembered for late copies of its packets.
    Duration endMemory = std::chrono::seconds(4);
    /// Requests for each slot that a server gets at the same time; it queues a few and refuses more.
    std::uint16_t requestsPerSlot = 4;
    /// Requests that wait here; more are left to the server to refuse.
    std::size_t maxHeldRequests = 48;
    /// How long a request counts as waiting if its route states no time.
    Duration defaultTimeout = std::chrono::seconds(5);
    /// A newer route table that a balancer has used must be in force here after this long; until then the own one is used.
    Duration tableGrace = std::chrono::milliseconds(150);
    /// A request that has waited for this long is left to the server; its caller is about to give up.
    Duration maxHold = std::chrono::milliseconds(900);
    /// Agents that a packet may visit after the first one.
    std::uint8_t maxHops = 250;
    /// Between two notices to a home that has not acknowledged the first: many round trips.
    Duration noticeInterval = std::chrono::milliseconds(250);
    /// Notices to a home that acknowledges none; after that it is down, or will start again with another epoch.
    std::uint8_t maxNotices = 8;
    /// The list of servers must have been unchanged for this long before a flow that none of them holds is reset.
    Duration settleTime = std::chrono::milliseconds(400);
};

/// The agent's decision for each packet, both ways. State machine without network.
///
/// The agent sees every packet of its server, so it knows which flows the server holds. Only an agent that has started after its
/// server asks the server about unknown flows: it delivers their packets and passes on those that come back.
class AgentSteering
{
public:
    explicit AgentSteering(AgentSteeringOptions options);

    void update(TimePoint now, const ConfigSnapshot &snapshot);
    /// `isFresh`: this agent has seen all flows of the server, because the server has just started.
    /// Returns the open flows of a server that it replaces; their callers must be told.
    std::vector<ResetCaller> setServer(TimePoint now, const std::optional<LocalServer> &server, bool isFresh);

    /// A caller's packet from a balancer or another agent. Notices are added to `notices`.
    AgentDecision fromPeer(TimePoint now, const SteerHeader &header, const Segment &segment, std::vector<NoticeTo> &notices);
    /// A packet of the server.
    AgentDecision fromServer(TimePoint now, const Segment &segment, std::vector<NoticeTo> &notices);
    /// True while the server takes another request.
    bool mayStartRequest() const;
    /// A packet that was held, once the server takes another request.
    AgentDecision startHeld(TimePoint now, const Segment &segment);
    /// False until `setServer` was called: the server beside this agent may hold any flow.
    bool isServerKnown() const;
    /// True once this agent knows all servers, and so do the others as far as it can tell.
    bool isListSettled(TimePoint now) const;
    /// A packet whose search was held.
    AgentDecision repeatSearch(TimePoint now, const SteerHeader &header, const Segment &segment, std::vector<NoticeTo> &notices);
    void notice(TimePoint now, const OwnerNotice &notice);
    void acknowledged(const OwnerAcknowledgement &acknowledgement);
    /// Notices to homes that are new, have started again or have not acknowledged. Call after `update` and every `noticeInterval`.
    void repeatNotices(TimePoint now, std::vector<NoticeTo> &notices);
    /// Forgets flows without packets; call about once a second.
    void expire(TimePoint now);

    const AgentSteeringOptions &options() const;
    /// Requests that were answered since the last call.
    std::vector<AnsweredRequest> takeAnswered();
    /// Load for balancers.
    LoadNotice load() const;
    /// False after the server has broken off requests; it gets few new flows then.
    bool isServerTrusted() const;
    /// Balancers that have sent packets within the last seconds.
    std::vector<HostAddress> recentBalancers() const;
    const ServerDirectory &directory() const;

private:
    enum class FlowState : std::uint8_t {
        Offered, ///< an opening packet was delivered
        Accepted, ///< the server has answered it
        Open,
        Asked, ///< delivered to find out whether the server holds the flow
        Ended,
        Elsewhere, ///< held by the server of another agent
        Lost, ///< the server that held it is gone
    };
    /// A home of a flow as this agent, which holds the flow, has told it.
    struct ToldHome {
        FlowHome home;
        std::uint8_t notices = 0;
        bool isAcknowledged = false;
        TimePoint lastNotice{};
    };
    struct Flow {
        FlowState state = FlowState::Offered;
        TimePoint lastUsed{};
        SteerHeader header; ///< of the last opening packet or question
        std::uint32_t serverSequence = 0; ///< that the server has opened with
        std::uint32_t callerAcknowledgement = 0;
        HostAddress elsewhere;
        Incarnation elsewhereIncarnation; ///< as far as it is known
        bool isWaiting = false; ///< the caller has sent data that has not been answered yet
        TimePoint waitingSince{};
        std::optional<std::uint32_t> callerEnd; ///< sequence number after the caller's last new data
        std::optional<TimePoint> heldSince; ///< the start of a request waits here
        Duration heldFor{}; ///< of the request that the server works on
        std::vector<ToldHome> homes; ///< of an open flow
        bool hasCallerEnded = false;
        bool hasServerEnded = false;
        bool hasServerSpoken = false; ///< beyond its answer to the opening packet, which proves that it holds the flow
    };

    AgentDecision open(TimePoint now, const SteerHeader &header, const Segment &segment, std::vector<NoticeTo> &notices);
    AgentDecision forward(TimePoint now, const SteerHeader &header, const Segment &segment, std::vector<NoticeTo> &notices);
    AgentDecision deliver(TimePoint now, Flow &flow, const SteerHeader &header, const Segment &segment, std::vector<NoticeTo> &notices);
    AgentDecision passOpeningOn(const SteerHeader &header, const Segment &segment, SteerCause cause) const;
    AgentDecision passOn(TimePoint now, const SteerHeader &header, const Segment &segment) const;
    /// Whom to ask next about a flow; sets the phase of the search. Empty once all have been asked.
    std::optional<HostAddress> nextToAsk(bool isSearch, const FlowTuple &tuple, SteerHeader &next) const;
    AgentDecision returned(TimePoint now, const Segment &segment);
    static AgentDecision lost(const Segment &segment);
    bool isRouteAllowed(const SteerHeader &header, const FlowTuple &tuple) const;
    /// Tells the homes of a flow where it is.
    void opened(TimePoint now, const FlowTuple &tuple, Flow &flow, std::vector<NoticeTo> &notices);
    /// Takes over the homes of the present list of servers; true if one of them has to be told.
    bool updateHomes(const FlowTuple &tuple, Flow &flow) const;
    void tellHomes(TimePoint now, const FlowTuple &tuple, Flow &flow, std::vector<NoticeTo> &notices) const;
    static bool isAnyHomeWaiting(const Flow &flow, std::uint8_t maxNotices);
    /// True if this agent has seen every flow of its server.
    bool knowsAllFlows(TimePoint now) const;
    void startWaiting(TimePoint now, Flow &flow);
    void stopWaiting(Flow &flow);
    /// The time after which a caller of this address has given up.
    Duration requestTimeout(const HostAddress &service) const;
    static bool isNewData(Flow &flow, const Segment &segment);
    bool mustHold(TimePoint now, Flow &flow);
    void endHold(Flow &flow);
    void end(TimePoint now, Flow &flow);
    Flow &insert(const FlowTuple &tuple, FlowState state, TimePoint now);
    void forget(Flow &flow);
    static bool isAtServer(const Flow &flow);

    const AgentSteeringOptions m_options;
    ServerDirectory m_directory;
    std::optional<LocalServer> m_server;
    bool m_isServerKnown = false;
    OutlierDetector m_outliers;
    TimePoint m_listChangedAt{};
    std::optional<TimePoint> m_blindBefore; ///< the server may hold flows that it has opened before; empty if it holds none
    std::uint64_t m_highestTable = 0; ///< highest route table version that a balancer has used
    TimePoint m_highestTableAt{};
    std::unordered_map<FlowTuple, Flow> m_flows;
    std::vector<AnsweredRequest> m_answered;
    std::unordered_set<FlowTuple> m_untold; ///< open flows of which a home may not know yet
    std::unordered_map<HostAddress, TimePoint> m_balancers;
    std::size_t m_waiting = 0;
    std::size_t m_atServer = 0;
    std::size_t m_heldRequests = 0;
};

}
