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

/// How far the search for the holder of a flow has got.
enum class SearchPhase : std::uint8_t {
    FirstHome, ///< not begun, or asking the first home
    SecondHome,
    AllServers, ///< asking one after the other in rank order
};

/// A search that stays partial is given up after this many repeats; the caller sends the packet again.
constexpr std::uint8_t maxSearchRepeats = 3;

/// Precedes a caller's packet on its way between balancers and agents.
struct SteerHeader {
    std::uint8_t hops = 0; ///< agents that have passed the packet on
    bool wantsOwner = false; ///< the balancer does not know who holds the flow and asks to be told
    std::uint64_t tableVersion = 0; ///< route table of the balancer
    ServiceKey service; ///< chosen for an opening packet
    HostAddress balancer; ///< where notices go
    bool isSearchPartial = false; ///< a host on the way did not know all servers for certain, so one may have been left out
    SearchPhase phase = SearchPhase::FirstHome;
    std::uint8_t repeats = 0; ///< times that the search has begun again, at most maxSearchRepeats
};

/// Tells a balancer or an agent which agent holds a flow.
struct OwnerNotice {
    FlowTuple tuple;
    HostAddress owner;
};

/// Tells the holder of a flow that a home has its notice.
struct OwnerAcknowledgement {
    FlowTuple tuple;
    HostAddress home;
};

/// Load of the server beside an agent, for balancers.
struct LoadNotice {
    HostAddress agent;
    std::uint16_t waiting = 0; ///< flows with a request that has not been answered yet
    std::uint16_t openFlows = 0;
    std::uint16_t slots = 0; ///< requests that the server runs at the same time
    bool takesNewFlows = false;
};

/// A control host says that it has started.
struct StartNotice {
    HostAddress controlHost; ///< of its control streams
};

constexpr std::size_t steerHeaderLength = 22;
constexpr std::size_t ownerNoticeLength = 20;
constexpr std::size_t ownerAcknowledgementLength = 20;
constexpr std::size_t loadNoticeLength = 15;
constexpr std::size_t startNoticeLength = 8;

/// A packet between balancers and agents.
struct SteeredPacket {
    SteerHeader header;
    std::span<std::uint8_t> packet;
};
/// What balancers and agents receive from each other and from control hosts.
using SteerMessage = std::variant<SteeredPacket, OwnerNotice, LoadNotice, StartNotice, OwnerAcknowledgement>;

/// Writes the header into the given bytes.
void encodeSteerHeader(const SteerHeader &header, std::span<std::uint8_t, steerHeaderLength> out);
std::array<std::uint8_t, ownerNoticeLength> encode(const OwnerNotice &notice);
std::array<std::uint8_t, loadNoticeLength> encode(const LoadNotice &notice);
std::array<std::uint8_t, ownerAcknowledgementLength> encode(const OwnerAcknowledgement &acknowledgement);
std::array<std::uint8_t, startNoticeLength> encode(const StartNotice &notice);
/// Empty for anything that is not a complete message of this version.
std::optional<SteerMessage> decodeSteerMessage(std::span<std::uint8_t> datagram);

}
