#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/policy/outlier_detector.h>
#include <jujubequay/steering/balancer_steering.h>
#include <jujubequay/steering/flow_recorder.h>
#include <jujubequay/steering/segment.h>
#include <jujubequay/steering/server_directory.h>
#include <jujubequay/steering/steer_message.h>

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

namespace Jujubequay {

/// The backend server that is co-located with an agent.
struct LocalServer {
    ServiceKey service;
    Incarnation incarnation; ///< changes with each restart of the server
    bool acceptsNewFlows = false;
    std::uint16_t slots = 1; ///< requests that the server runs at the same time
    std::optional<TimePoint> startedAt; ///< when the process of the server started, by the clock of the agent; empty if unknown
    bool operator==(const LocalServer &) const = default;
};

/// Deliver the packet to the local server.
struct DeliverToServer {
};
/// Send the packet to the caller.
struct SendToCaller {
};
/// Queue the first packet of a request until `canStartRequest` is true, then pass it to `startHeldRequest`: with one more request the
/// server would start to refuse some.
struct HoldRequest {
    TimePoint goalAt{}; ///< when the latency goal of the request passes
};
/// Queue the packet, then pass it to `retryLookup` as soon as `isServerListStable` is true or `isServerKnown` becomes true. The owner of
/// the flow was not found, but the local server is not known yet, or a server list used in the lookup was incomplete.
struct HoldLookup {
    SteerHeader header;
};
using AgentDecision = std::variant<DeliverToServer, SendToCaller, RelayToAgent, ResetCaller, DropPacket, HoldRequest, HoldLookup>;

/// An owner notice and the agent or balancer that it is sent to.
struct AddressedNotice {
    HostAddress destination;
    OwnerNotice notice;
};

/// A request to which the server has started to respond, as far as the packet headers of the flow show it.
struct AnsweredRequest {
    HostAddress service; ///< service address that the caller uses
    Duration responseTime{}; ///< time from the caller's data to the server's first data, including `holdTime`
    Duration holdTime{}; ///< how long the agent held the request
};

struct AgentSteeringOptions {
    HostAddress agent; ///< relay address of this agent
    /// How long idle flows and entries about remote flows are kept. Also the time after which the flow table of a restarted agent is
    /// complete if the route table states no idle timeout.
    Duration flowRetention = std::chrono::seconds(75);
    /// How long a closed flow is kept, for retransmitted packets.
    Duration closedFlowRetention = std::chrono::seconds(4);
    /// Requests per slot that the server gets at the same time: one that runs and one that follows it at once. The server serves its queue in
    /// order of arrival, so the others wait at the agent, which serves them by their latency goals.
    std::uint16_t requestsPerSlot = 2;
    /// Limit of held requests. Requests beyond it are delivered, and the server may refuse them.
    std::size_t maxHeldRequests = 48;
    /// How long a request counts as pending if no route states a timeout.
    Duration defaultRequestTimeout = std::chrono::seconds(5);
    /// How long SYNs of balancers with an older route table are still accepted after a packet with a newer version was received.
    Duration routeTableGracePeriod = std::chrono::milliseconds(150);
    /// How long the control hosts have to distribute a route table before this agent fetches it from a balancer, so that an ordinary change does
    /// not make all agents ask the few balancers that have received it first.
    Duration routeTableFetchDelay = std::chrono::milliseconds(400);
    /// A request that has been held for this long is delivered, since its caller is about to time out.
    Duration maxHoldTime = std::chrono::milliseconds(900);
    /// Limit of the hops of a packet. An owner lookup may have to visit all servers and counts only its steps between groups of them.
    std::uint8_t maxHops = 250;
    /// Time between owner notices to a registrar that has not acknowledged; many round trips.
    Duration noticeInterval = std::chrono::milliseconds(250);
    /// Limit of owner notices to a registrar that does not acknowledge them. Such a registrar is down; after a restart it has a new epoch and
    /// is notified again.
    std::uint8_t maxNotices = 8;
    /// The server list is stable if it has not changed for this long. Flows without an owner are reset only then.
    Duration stabilizationTime = std::chrono::milliseconds(400);
    /// How long the server list counts as current after a message of a control host. Longer than the interval of its heartbeats.
    Duration serverListValidity = std::chrono::seconds(1);
};

/// Changes of the recorded flows of the local server.
struct FlowRecordChanges {
    Incarnation incarnation; ///< of the local server; 0 if there is none or it is not confirmed, without changes then
    bool isFull = false; ///< replaces all earlier changes, because the server is a new one
    std::vector<FlowRecordChange> changes;
};

/// Decides what an agent does with each packet between callers and its local server. State machine without I/O.
///
/// All packets of the local server pass through its agent, so the flow table lists every flow that the server owns. After a restart of the
/// agent alone the table is incomplete: packets of unknown flows are then delivered to the server as probes, and the ones that the server
/// rejects are forwarded.
class AgentSteering
{
public:
    explicit AgentSteering(AgentSteeringOptions options);

    void update(TimePoint now, const ConfigSnapshot &snapshot);
    /// Sets the local server, or none. `isFresh`: the server has just started, so this agent has observed all of its flows.
    /// Returns a reset for each open flow of a server that is replaced. The flows that the new server has opened already are kept; call
    /// `resendNotices` for them.
    std::vector<ResetCaller> setServer(TimePoint now, const std::optional<LocalServer> &server, bool isFresh);

    /// Handles a caller's packet that a balancer or another agent has sent. Appends owner notices to `notices`.
    AgentDecision handleCallerPacket(TimePoint now, const SteerHeader &header, const Segment &segment, std::vector<AddressedNotice> &notices);
    /// Handles a packet of the local server. Appends owner notices to `notices`.
    AgentDecision handleServerPacket(TimePoint now, const Segment &segment, std::vector<AddressedNotice> &notices);
    /// True if the server has room for another request.
    bool canStartRequest() const;
    /// Moving average of the time from a request to its answer, without the time for which it was held.
    Duration serviceTime() const;
    /// Handles a packet that was queued for HoldRequest.
    AgentDecision startHeldRequest(TimePoint now, const Segment &segment);
    /// False until the first call of `setServer`. Until then the local server may own any flow.
    bool isServerKnown() const;
    /// Call for each message of a control host, also an empty one, after `update` with its contents: the server list is current.
    void confirmServerList(TimePoint now);
    /// True if the registry is complete, and the server list is current and has not changed for `stabilizationTime`.
    bool isServerListStable(TimePoint now) const;
    /// Restarts the owner lookup for a packet that was queued for HoldLookup.
    AgentDecision retryLookup(TimePoint now, const SteerHeader &header, const Segment &segment, std::vector<AddressedNotice> &notices);
    /// The newest route table that a received packet was steered by, if it is newer than the local one and the control hosts had time to
    /// distribute it.
    std::optional<NewerRoutesNotice> newerRoutes(TimePoint now) const;
    void handleOwnerNotice(TimePoint now, const OwnerNotice &notice);
    void handleAcknowledgement(const OwnerAcknowledgement &acknowledgement);
    /// Handles the flows of an earlier server, which its callers may still use. Returns the resets for them; none if the notice is about the
    /// current server or if the incarnation of the current server is not confirmed yet.
    std::vector<ResetCaller> endFlows(TimePoint now, const EndedFlowsNotice &notice);
    /// Returns how the open flows of the local server have changed since the last call, for the records of the control hosts.
    FlowRecordChanges takeFlowRecordChanges(TimePoint now);
    /// Appends notices to registrars that are new, have restarted or have not acknowledged. Call it after `update` and every
    /// `noticeInterval`.
    void resendNotices(TimePoint now, std::vector<AddressedNotice> &notices);
    /// Removes expired flows and balancers. Call it about once a second.
    void expire(TimePoint now);

    const AgentSteeringOptions &options() const;
    /// Returns the requests that were answered since the last call.
    std::vector<AnsweredRequest> takeAnsweredRequests();
    /// Load of the local server, as sent to balancers.
    LoadNotice load() const;
    /// False while the server is suspected because it has reset flows with pending requests. It gets few new flows then.
    bool isServerHealthy() const;
    /// Balancers that have sent packets within the last few seconds.
    std::vector<HostAddress> recentBalancers() const;
    const ServerDirectory &directory() const;
    /// The servers that have ended since the last call, for logs.
    std::vector<EndedServer> takeEndedServers();

private:
    enum class FlowState : std::uint8_t {
        SynDelivered, ///< the server has not answered the SYN yet
        SynAckSent, ///< the server has answered with a SYN-ACK
        Open, ///< established
        Probed, ///< a packet was delivered to find out whether the server owns the flow
        Closed,
        Restored, ///< owned by the local server according to a registrar, after a restart of the agent
        Remote, ///< owned by another agent's server
        Orphaned, ///< the server that owned the flow has ended
    };
    /// A registrar of an open flow of the local server, and the progress of its notification.
    struct RegistrarState {
        FlowRegistrar registrar;
        std::uint8_t noticeCount = 0; ///< notices sent so far
        bool isAcknowledged = false;
        TimePoint lastNoticeAt{};
    };
    struct Flow {
        FlowState state = FlowState::SynDelivered;
        TimePoint lastUsed{};
        TimePoint synReceivedAt{};
        TimePoint openedAt{};
        std::optional<TimePoint> synAckSentAt; ///< when the server last answered a SYN of the flow before it was open
        SteerHeader header; ///< header of the last SYN or probe, or of the last packet of a closed flow or of another one than the open one
        std::uint32_t serverInitialSequence = 0; ///< sequence number of the SYN-ACK
        std::uint32_t serverSequence = 0; ///< sequence number after the server's last packet
        std::optional<std::uint32_t> callerSequence; ///< acknowledgement number in the last packet of the server
        std::uint32_t lastCallerAcknowledgement = 0;
        HostAddress remoteAgent; ///< agent of the owner of a remote flow, or of another server that may own a local one
        Incarnation remoteIncarnation; ///< incarnation of the owner of a remote or restored flow; 0 if unknown
        TimePoint remoteLearnedAt{}; ///< when the owner notice was received
        /// Sequence number of the caller in the owner notice or in the last packet of that flow since; empty if the notice does not state one.
        std::optional<std::uint32_t> remoteSequence;
        /// Notices have named different owners, or the local server was replaced before it was known to own the flow. An owner lookup then decides
        /// whether the flow of a packet has ended.
        bool isContested = false;
        ResetEvidence evidence; ///< set for orphaned flows
        bool hasPendingRequest = false; ///< the server has not responded to the caller's last data yet
        TimePoint requestSentAt{};
        std::optional<std::uint32_t> callerSequenceEnd; ///< sequence number after the caller's last new data
        std::optional<TimePoint> heldSince; ///< set while the first packet of a request is held
        Duration holdTime{}; ///< how long the pending request was held
        /// The registrars of an open or restored flow. For a remote flow its owner, if the owner's agent has restarted.
        std::vector<RegistrarState> registrars;
        bool hasCallerFin = false;
        bool hasServerFin = false;
        bool isConfirmedByServer = false; ///< the server has sent more than a SYN-ACK, which proves that it owns the flow
    };
    /// A packet of a flow that the server does not hold.
    struct RejectedProbe {
        std::uint32_t sequence = 0;
        TimePoint at{};
    };

    AgentDecision handleSyn(TimePoint now, const SteerHeader &header, const Segment &segment, std::vector<AddressedNotice> &notices);
    /// Handles a caller's packet that is not a SYN.
    AgentDecision handleFlowPacket(TimePoint now, const SteerHeader &header, const Segment &segment, std::vector<AddressedNotice> &notices);
    AgentDecision deliver(TimePoint now, Flow &flow, const SteerHeader &header, const Segment &segment, std::vector<AddressedNotice> &notices);
    /// Redirects a SYN to the best other server of its service, or rejects it after too many attempts.
    AgentDecision redirectSyn(const SteerHeader &header, const Segment &segment, SteerCause cause) const;
    /// True if a SYN that arrives now may be a copy of the one that opened this flow at another server, which has not ended.
    bool mayBeRemoteFlowOfSyn(TimePoint now, const Flow &flow) const;
    /// Resets the caller for a first SYN, and drops a retransmission.
    AgentDecision rejectSyn(const Segment &segment, SteerCause cause) const;
    /// Delivers a packet to find out whether the local server owns its flow.
    AgentDecision probe(TimePoint now, const SteerHeader &header, const FlowTuple &tuple);
    /// Looks for the owner of an unknown flow, at the local server first if it may be that.
    AgentDecision lookUp(TimePoint now, const SteerHeader &header, const Segment &segment);
    /// Forwards a packet whose owner is unknown to the next agent of the owner lookup, or ends the lookup.
    AgentDecision continueLookup(TimePoint now, const SteerHeader &header, const Segment &segment);
    /// Next agent of an owner lookup; sets the phase in `next`. `isLookup`: the packet is part of a lookup already. `mayOwnFlow`: the local server may
    /// own the flow. Empty after all agents were tried.
    std::optional<HostAddress> nextLookupAgent(bool isLookup, const FlowTuple &tuple, bool mayOwnFlow, SteerHeader &next) const;
    /// Hops that a step of an owner lookup to `agent` costs.
    unsigned lookupHops(const FlowTuple &tuple, const SteerHeader &header, const HostAddress &agent) const;
    /// True unless another agent may still know the owner of the flow.
    bool isProbeDue(const SteerHeader &header, const FlowTuple &tuple) const;
    /// True if the packet belongs to an unknown flow that the local server may own. The server has to be known.
    bool mayOwnUnknownFlow(TimePoint now, const Segment &segment) const;
    /// True if the packet acknowledges what the server has sent lately in this flow.
    static bool acknowledgesServer(const Flow &flow, const Segment &segment);
    void rememberRejection(TimePoint now, const Segment &segment);
    /// True if an owner lookup asks `agent` after this one.
    bool ranksAfterThisAgent(const HostAddress &agent, const FlowTuple &tuple) const;
    /// Handles a packet that the server has rejected.
    AgentDecision handleRejectedPacket(TimePoint now, const Segment &segment);
    /// Passes a packet to the owner of a remote flow, or to the other server of a flow that the caller has not opened at the local one. Continues the
    /// lookup if that server is unknown.
    AgentDecision passToOtherServer(TimePoint now, const SteerHeader &header, const Segment &segment, Flow &flow);
    /// True if the owner in the notice is not the only one that was named for the addresses and ports of this flow.
    static bool contradicts(const OwnerNotice &notice, const Flow &flow);
    /// True if the packet belongs to the flow that the owner notice is about. Notes its sequence number then.
    static bool isOfRemoteFlow(Flow &flow, const Segment &segment);
    /// Resets the caller of a flow whose server has ended.
    AgentDecision resetEndedFlow(const Segment &segment, const Flow &flow) const;
    /// Reset of the caller of `segment`, with what is known about the flow.
    ResetCaller reset(const Segment &segment, SteerCause cause) const;
    /// What is known about a flow of the local server or of a remote one.
    ResetEvidence evidenceOf(const Flow &flow) const;
    /// True if the process of `server` has answered the SYN of a local flow.
    static bool isAcceptedBy(const LocalServer &server, const Flow &flow);
    /// Marks the flow as owned by a server that has ended, or as remote if another server is known for it.
    void orphan(TimePoint now, Flow &flow);
    /// True if the newer of the two route tables, the sender's and the local one, leads to the service of the local server.
    bool isRoutedToLocalServer(const SteerHeader &header, const FlowTuple &tuple) const;
    void setOpen(TimePoint now, Flow &flow);
    static void setRemote(Flow &flow);
    /// Incarnation of the local server; 0 while it is not confirmed.
    Incarnation confirmedIncarnation() const;
    AddressedNotice noticeToBalancer(const SteerHeader &header, const FlowTuple &tuple, const Flow &flow) const;
    /// Registers an open flow with its registrars.
    void registerFlow(TimePoint now, const FlowTuple &tuple, Flow &flow, std::vector<AddressedNotice> &notices);
    /// Sets the registrars of a flow from the current server list. Returns true if notifications are pending.
    bool updateRegistrars(const FlowTuple &tuple, Flow &flow) const;
    void notifyRegistrars(TimePoint now, const FlowTuple &tuple, Flow &flow, std::vector<AddressedNotice> &notices) const;
    /// Corrects what registrars and balancers were told about flows of the server that were attributed to the one before.
    void correctOwnerNotices(std::vector<AddressedNotice> &notices);
    /// True if the registrars, or the owner, are notified about flows in this state.
    static bool isNotified(FlowState state);
    static bool hasPendingNotification(const Flow &flow, std::uint8_t maxNotices);
    /// What a registrar is told about a flow of the local server, or the owner about a remote flow. `isShort`: without an incarnation.
    OwnerNotice noticeOf(const FlowTuple &tuple, const Flow &flow, bool isShort) const;
    /// Starts to tell the agents that have restarted which flows their servers own.
    void returnFlowsToRestartedAgents(const ConfigSnapshot &snapshot);
    /// Handles the notice of a registrar that the local server owns a flow.
    void restoreFlow(TimePoint now, const OwnerNotice &notice);
    /// Removes the restored flows that the current server does not own.
    void removeInvalidRestoredFlows();
    /// False if a control host has been silent, or this host has been suspended: servers that have joined meanwhile may be missing.
    bool isServerListCurrent(TimePoint now) const;
    /// True if the flow table lists every flow of the local server.
    bool isFlowTableComplete(TimePoint now) const;
    /// True if the records of an earlier run of the agent may contain flows of the current server under the incarnation of an earlier one.
    bool mayHaveRecordedFlowsOfServer(TimePoint now) const;
    void startRequest(TimePoint now, Flow &flow);
    void finishRequest(Flow &flow);
    /// Time after which the callers of a service address abandon a request.
    Duration requestTimeout(const HostAddress &service) const;
    /// When the latency goal of a request passes whose first data has just arrived. The caller's time for the first request of a flow starts
    /// with its SYN.
    TimePoint latencyGoalAt(TimePoint now, const HostAddress &service, const Flow &flow, bool isFirstRequest) const;
    /// Records the end of the caller's data. Returns false for packets without new data, such as retransmissions.
    static bool recordCallerData(Flow &flow, const Segment &segment);
    /// Marks the flow as held if the server has no room for its request. Returns false if the request is to be delivered.
    bool holdIfServerBusy(TimePoint now, Flow &flow);
    void endHold(Flow &flow);
    void close(TimePoint now, Flow &flow);
    /// Adds a local flow, or replaces the entry of the flow.
    Flow &insert(const FlowTuple &tuple, FlowState state, TimePoint now);
    /// Removes a flow from the counts of held requests, pending requests and local flows.
    void removeFromCounts(Flow &flow);
    /// True if the local server owns the flow or may own it.
    static bool isLocalFlow(const Flow &flow);
    /// True if the local server has got the SYN, but the caller may have opened the flow at another server.
    static bool isHalfOpen(const Flow &flow);

    const AgentSteeringOptions m_options;
    ServerDirectory m_directory;
    std::optional<LocalServer> m_server;
    bool m_isServerKnown = false;
    OutlierDetector m_outlierDetector;
    TimePoint m_serverListChangedAt{};
    TimePoint m_serverListConfirmedAt{}; ///< when a control host has last sent a message
    std::optional<TimePoint> m_unobservedBefore; ///< flows of the server that were opened before may be missing in the flow table
    std::uint64_t m_highestRouteTableVersion = 0; ///< highest version in a received packet
    TimePoint m_highestRouteTableSeenAt{};
    HostAddress m_highestRouteTableBalancer; ///< the balancer that has sent this packet
    std::unordered_map<FlowTuple, Flow> m_flows;
    std::unordered_map<FlowTuple, RejectedProbe> m_rejectedProbes;
    std::vector<AnsweredRequest> m_answeredRequests;
    Duration m_serviceTime{};
    FlowRecorder m_flowRecorder;
    Incarnation m_recordedIncarnation; ///< server to which the recorded flows belong
    std::unordered_set<FlowTuple> m_pendingNotifications; ///< flows with a registrar, or an owner, that may not have been notified
    std::map<HostAddress, std::uint32_t> m_agentEpochs; ///< of all agents in the server list
    std::unordered_set<FlowTuple> m_misattributedFlows; ///< flows of which notices may have named the incarnation before
    std::unordered_map<HostAddress, TimePoint> m_balancerLastSeen;
    std::size_t m_pendingRequestCount = 0;
    std::size_t m_localFlowCount = 0;
    std::size_t m_heldRequestCount = 0;
};

}
