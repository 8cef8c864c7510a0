#pragma once

#include <jujubequay/control/route_table.h>
#include <jujubequay/core/identifiers.h>
#include <jujubequay/steering/segment.h>

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace Jujubequay {

/// Progress of the lookup of a flow's owner.
enum class LookupPhase : std::uint8_t {
    FirstRegistrar, ///< not started, or at the first registrar
    SecondRegistrar,
    AllServers, ///< at one agent after the other, in the order of their ranks
    /// Like AllServers and before it, but no agent probes its server. Agents of versions without this phase continue with AllServers.
    KnownFlows,
};

/// Limit of retries of a lookup that stays partial. After that the packet is dropped, and the caller retransmits it.
constexpr std::uint8_t maxLookupRetries = 3;

/// Header in front of a caller's packet between balancers and agents.
struct SteerHeader {
    std::uint8_t hops = 0; ///< agents that have forwarded the packet, except those that an owner lookup does not count
    bool wantsOwnerNotice = false; ///< requests an owner notice for the balancer, which has no entry for the flow
    std::uint64_t routeTableVersion = 0; ///< version of the balancer's route table
    ServiceKey service; ///< service that was chosen for a SYN; only the short key if the packet came from a version without opening packets
    HostAddress balancer; ///< address for owner notices and load notices
    bool isLookupPartial = false; ///< a server list used in the lookup was incomplete or unstable, so the owner may have been left out
    LookupPhase lookupPhase = LookupPhase::FirstRegistrar;
    std::uint8_t lookupRetries = 0; ///< at most maxLookupRetries
    /// The balancer decodes owner notices with an incarnation. Agents of versions without such notices clear it when they forward a packet.
    bool acceptsIncarnations = false;
    bool acceptsCallerSequences = false; ///< the same for owner notices with a sequence number of the caller
    /// All agents so far had a complete flow table; only in the phase KnownFlows.
    bool areFlowTablesComplete = false;
};

/// Reports the owner of a flow to a balancer or to a registrar.
struct OwnerNotice {
    FlowTuple tuple;
    HostAddress owner; ///< agent of the server that owns the flow
    /// Incarnation of that server; 0 if it is unknown or the receiver may not decode it.
    Incarnation incarnation;
    /// A recent sequence number of the caller, which tells the flow from others with the same addresses and ports; only with an incarnation.
    std::optional<std::uint32_t> callerSequence{};
};

/// Confirms to the owner of a flow that a registrar has received its notice.
struct OwnerAcknowledgement {
    FlowTuple tuple;
    HostAddress registrar;
};

/// Load of an agent's local server, sent to balancers.
struct LoadNotice {
    HostAddress agent;
    std::uint16_t pendingRequests = 0; ///< flows with a request to which the server has not responded yet
    std::uint16_t openFlows = 0;
    std::uint16_t slots = 0; ///< requests that the server runs at the same time
    bool acceptsNewFlows = false;
};

/// Announces that a control host has started.
struct StartNotice {
    HostAddress controlHost; ///< address for control streams
};

/// A flow that existed when it was recorded.
struct RecordedFlow {
    FlowTuple tuple;
    std::uint32_t acknowledgement = 0; ///< a recent acknowledgement number of the caller
};

/// Flows of a server that has ended, sent by a control host to the agent of the server that has taken its place.
struct EndedFlowsNotice {
    Incarnation incarnation; ///< of the server that has ended
    std::vector<RecordedFlow> flows; ///< at most maxEndedFlows
};

/// Tells a balancer that a newer route table than its own is in force, and which balancer has it.
struct NewerRoutesNotice {
    std::uint64_t version = 0;
    HostAddress balancer;
};

/// Limit of the flows in one notice, which has to fit into a datagram.
constexpr std::size_t maxEndedFlows = 64;

constexpr std::size_t steerHeaderLength = 22;
constexpr std::size_t openingHeaderLength = steerHeaderLength + ServiceKey::digestLength; ///< of a SYN with the full key of its service
constexpr std::size_t ownerNoticeLength = 20; ///< without an incarnation
constexpr std::size_t confirmedOwnerNoticeLength = ownerNoticeLength + sizeof(std::uint32_t);
constexpr std::size_t identifiedOwnerNoticeLength = confirmedOwnerNoticeLength + sizeof(std::uint32_t);
constexpr std::size_t ownerAcknowledgementLength = 20;
constexpr std::size_t loadNoticeLength = 15;
constexpr std::size_t startNoticeLength = 8;
constexpr std::size_t newerRoutesNoticeLength = 16;

/// A caller's packet with its steer header.
struct SteeredPacket {
    SteerHeader header;
    std::span<std::uint8_t> packet; ///< points into the datagram
};
/// A datagram that balancers and agents receive from each other and from control hosts.
using SteerMessage = std::variant<SteeredPacket, OwnerNotice, LoadNotice, StartNotice, OwnerAcknowledgement, EndedFlowsNotice, NewerRoutesNotice>;

/// Writes the header into `out`, with the short key of the service.
void encodeSteerHeader(const SteerHeader &header, std::span<std::uint8_t, steerHeaderLength> out);
/// A SYN with its header and the full key of the service, for agents that accept it.
std::vector<std::uint8_t> encodeOpeningPacket(const SteerHeader &header, std::span<const std::uint8_t> packet);
/// `ownerNoticeLength` bytes, `confirmedOwnerNoticeLength` with an incarnation, or `identifiedOwnerNoticeLength` with a sequence number as well.
std::vector<std::uint8_t> encode(const OwnerNotice &notice);
std::array<std::uint8_t, loadNoticeLength> encode(const LoadNotice &notice);
std::array<std::uint8_t, ownerAcknowledgementLength> encode(const OwnerAcknowledgement &acknowledgement);
std::array<std::uint8_t, startNoticeLength> encode(const StartNotice &notice);
std::vector<std::uint8_t> encode(const EndedFlowsNotice &notice);
std::array<std::uint8_t, newerRoutesNoticeLength> encode(const NewerRoutesNotice &notice);
/// Returns nothing for bytes that are not a complete message of this version.
std::optional<SteerMessage> decodeSteerMessage(std::span<std::uint8_t> datagram);

}
