#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/policy/least_loaded.h>
#include <jujubequay/steering/flow_ownership.h>
#include <jujubequay/steering/segment.h>
#include <jujubequay/steering/server_directory.h>
#include <jujubequay/steering/steer_message.h>

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Jujubequay {

/// Why a balancer or an agent has relayed, reset or dropped a packet.
enum class SteerCause : std::uint8_t {
    Placed, ///< a server was chosen for a new flow
    KnownOwner, ///< the owner of the flow is in the flow table
    OwnerLookup, ///< the owner of the flow is unknown; the packet goes to a registrar or to the next agent of the lookup
    NoRoute, ///< no route for the service address
    NoServer, ///< no server accepts new flows
    ServerReplaced, ///< the server that owned the flow has ended
    NotReady, ///< no route table or no server list received yet
    NotAccepted, ///< the server rejects the new flow or belongs to another service
    Draining, ///< the server accepts no new flows
    Ejected, ///< the server is suspected because it has reset flows with pending requests
    StaleRouteTable, ///< the sender's route table is older than a version that is in use
    UnknownFlow, ///< no owner of the flow was found
    TooManyHops,
    Held, ///< a retransmission of a packet that the agent holds
    Spoofed, ///< only a server may send this packet, but it came from a caller
};

/// Name of a cause in logs.
std::string_view steerCauseName(SteerCause cause);

/// Send the packet to an agent, with this header.
struct RelayToAgent {
    HostAddress agent;
    SteerHeader header;
    SteerCause cause = SteerCause::KnownOwner;
};
/// Send a reset to the caller: the flow does not exist any more, or cannot be opened.
struct ResetCaller {
    FlowTuple tuple;
    std::uint32_t sequence = 0; ///< sequence number that the caller expects
    SteerCause cause = SteerCause::NoRoute;
    bool isOpening = false; ///< the packet that led to the reset is a SYN
    ResetEvidence evidence{};
};
struct DropPacket {
    SteerCause cause = SteerCause::NotReady;
};
/// When a packet reached the balancer.
enum class PacketArrival : std::uint8_t {
    JustNow,
    Queued, ///< it has waited for the configuration of the balancer
};
using BalancerDecision = std::variant<RelayToAgent, ResetCaller, DropPacket>;

struct BalancerSteeringOptions {
    std::string zone; ///< availability zone of this balancer
    HostAddress noticeAddress; ///< address to which agents send their notices
    /// How long a flow without packets is kept; longer than the idle timeout of any flow.
    Duration flowRetention = std::chrono::seconds(30);
    /// Load notices older than this are ignored.
    Duration loadValidity = std::chrono::milliseconds(1500);
    LeastLoadedOptions leastLoaded;
};

/// Decides what a balancer does with each packet of a caller. State machine without I/O.
///
/// The flow table is only a cache, since any balancer may receive the packets of any flow. Packets of a flow that is not in the table go to
/// the first registrar of the flow.
class BalancerSteering
{
public:
    explicit BalancerSteering(BalancerSteeringOptions options);

    void update(TimePoint now, const ConfigSnapshot &snapshot);
    BalancerDecision decide(TimePoint now, const Segment &segment, PacketArrival arrival = PacketArrival::JustNow);
    void handleOwnerNotice(TimePoint now, const OwnerNotice &notice);
    void handleLoadNotice(TimePoint now, const LoadNotice &notice);
    /// Removes expired flows and loads. Call it about once a second.
    void expire(TimePoint now);

    /// True once a route table and a server list have been received.
    bool isReady() const;
    const ServerDirectory &directory() const;
    /// The servers that have ended since the last call, for logs.
    std::vector<EndedServer> takeEndedServers();

private:
    struct Flow {
        HostAddress agent; ///< agent of the server that owns the flow
        Incarnation incarnation; ///< incarnation of that server; 0 if unknown
        /// The owner has sent its incarnation, and neither a SYN nor an earlier notice points to another flow with the same addresses and ports.
        /// Otherwise another server may own the flow, and the registrars decide whether it has ended.
        bool isConfirmed = false;
        TimePoint lastUsed{};
        OwnershipSource source = OwnershipSource::None;
        TimePoint learnedAt{}; ///< when the source was received
        bool isContested = false; ///< notices have named different owners
        /// Sequence number of the caller in the notice or in the last packet of that flow since; empty if the notice does not state one.
        std::optional<std::uint32_t> callerSequence{};
    };
    struct Load {
        LoadNotice notice;
        TimePoint receivedAt{};
        std::uint32_t placedSinceNotice = 0; ///< flows placed on the server since the notice
    };

    BalancerDecision handleSyn(TimePoint now, const Segment &segment, PacketArrival arrival);
    /// True if a SYN that arrives now may be a copy of the one that opened this flow, and the owner has not ended.
    bool mayBeFlowOfSyn(TimePoint now, const Flow &flow) const;
    /// True if the SYN of a known flow goes to the same agent again.
    bool isSuitableForSyn(TimePoint now, const Flow &flow, ServiceKey service, const Segment &segment) const;
    /// Drops a SYN that cannot be placed if its flow may be open, and resets the caller otherwise.
    BalancerDecision rejectSyn(const Segment &segment, SteerCause cause, bool mayBeOpen) const;
    /// Reset of the caller of `segment`, with what is known about the flow.
    ResetCaller reset(const Segment &segment, SteerCause cause) const;
    /// Handles a packet that is not a SYN.
    BalancerDecision handleFlowPacket(TimePoint now, const Segment &segment);
    /// Chooses the server for a new flow. `avoided`: agent that is chosen only if there is no other; may be null.
    const SteerServer *chooseServer(TimePoint now, ServiceKey service, const FlowTuple &tuple, const HostAddress *avoided);
    /// True if the agent's last load notice is recent and reports that the server accepts no new flows.
    bool isRefusingFlows(TimePoint now, const HostAddress &agent) const;
    LeastLoadedCandidate estimatedLoad(TimePoint now, const SteerServer &server) const;
    SteerHeader makeHeader(ServiceKey service, bool wantsOwnerNotice) const;
    /// True if the agent has sent a load notice recently.
    bool isAgentResponsive(TimePoint now, const HostAddress &agent) const;

    const BalancerSteeringOptions m_options;
    ServerDirectory m_directory;
    std::unordered_map<FlowTuple, Flow> m_flows;
    std::unordered_map<HostAddress, Load> m_loads;
};

}
