#pragma once

#include <jujubequay/control/route_table.h>
#include <jujubequay/core/identifiers.h>
#include <jujubequay/steering/segment.h>

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <variant>

namespace Jujubequay {

/// Progress of the lookup of a flow's owner.
enum class LookupPhase : std::uint8_t {
    FirstRegistrar, ///< not started, or at the first registrar
    SecondRegistrar,
    AllServers, ///< at one agent after the other, in the order of their ranks
};

/// Limit of retries of a lookup that stays partial. After that the packet is dropped, and the caller retransmits it.
constexpr std::uint8_t maxLookupRetries = 3;

/// Header in front of a caller's packet between balancers and agents.
struct SteerHeader {
    std::uint8_t hops = 0; ///< number of agents that have forwarded the packet
    bool wantsOwnerNotice = false; ///< requests an owner notice for the balancer, which has no entry for the flow
    std::uint64_t routeTableVersion = 0; ///< version of the balancer's route table
    ServiceKey service; ///< service that was chosen for a SYN
    HostAddress balancer; ///< address for owner notices and load notices
    bool isLookupPartial = false; ///< a server list used in the lookup was incomplete or unstable, so the owner may have been left out
    LookupPhase lookupPhase = LookupPhase::FirstRegistrar;
    std::uint8_t lookupRetries = 0; ///< at most maxLookupRetries
};

/// Reports the owner of a flow to a balancer or to a registrar.
struct OwnerNotice {
    FlowTuple tuple;
    HostAddress owner; ///< agent of the server that owns the flow
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

constexpr std::size_t steerHeaderLength = 22;
constexpr std::size_t ownerNoticeLength = 20;
constexpr std::size_t ownerAcknowledgementLength = 20;
constexpr std::size_t loadNoticeLength = 15;
constexpr std::size_t startNoticeLength = 8;

/// A caller's packet with its steer header.
struct SteeredPacket {
    SteerHeader header;
    std::span<std::uint8_t> packet; ///< points into the datagram
};
/// A datagram that balancers and agents receive from each other and from control hosts.
using SteerMessage = std::variant<SteeredPacket, OwnerNotice, LoadNotice, StartNotice, OwnerAcknowledgement>;

/// Writes the header into `out`.
void encodeSteerHeader(const SteerHeader &header, std::span<std::uint8_t, steerHeaderLength> out);
std::array<std::uint8_t, ownerNoticeLength> encode(const OwnerNotice &notice);
std::array<std::uint8_t, loadNoticeLength> encode(const LoadNotice &notice);
std::array<std::uint8_t, ownerAcknowledgementLength> encode(const OwnerAcknowledgement &acknowledgement);
std::array<std::uint8_t, startNoticeLength> encode(const StartNotice &notice);
/// Returns nothing for bytes that are not a complete message of this version.
std::optional<SteerMessage> decodeSteerMessage(std::span<std::uint8_t> datagram);

}
