#pragma once

#include <jujubequay/core/identifiers.h>
#include <jujubequay/wire/flow_id.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace Jujubequay {

enum class RelayKind : std::uint8_t {
    Forward = 1, ///< balancer to agent: datagram of a flow that a flow identifier names
    Open = 2, ///< balancer to agent: opening datagram, at its first choice
    Handover = 3, ///< agent to agent: opening passed to the second choice, which must answer it
    Reply = 4, ///< agent to balancer: datagram for the caller
    Stale = 5, ///< agent to balancer: opening refused, the balancer's configuration is older; no payload
    Load = 6, ///< agent to agent of the same service: the sender's load; no payload
};

std::string_view relayKindName(RelayKind kind);

/// Current work at the sender of a reply or a handover.
struct ServerLoad {
    std::uint16_t running = 0; ///< requests in slots
    std::uint16_t queued = 0; ///< requests that wait for a slot
    std::uint16_t flows = 0; ///< open flows
    auto operator<=>(const ServerLoad &) const = default;
};

/// The fixed-size header in front of every datagram between a balancer and an agent.
struct RelayHeader {
    RelayKind kind = RelayKind::Forward;
    ServiceId service;
    Incarnation incarnation; ///< addressed agent; zero in openings from a balancer that does not know it
    std::uint64_t revision = 0; ///< revision of the service's configuration at the sender
    HostAddress caller;
    HostAddress balancer; ///< relay address of the balancer that replies go through
    HostAddress entry; ///< address at the balancer that the caller's datagram arrived on; replies leave from it
    HostAddress secondChoice; ///< Open: zero when there is none
    Incarnation secondIncarnation;
    ServerLoad load;
    auto operator<=>(const RelayHeader &) const = default;
};

constexpr std::size_t relayHeaderLength = 60;
/// The keyed check covers the header and this many bytes of the payload.
constexpr std::size_t relayCheckedPayload = 64;

/// Writes the header in front of `payload`; `out` holds at least relayHeaderLength bytes. Signs with the active key,
/// which must exist.
void encodeRelayHeader(const FlowKeySet &keys, const RelayHeader &header, std::span<const std::uint8_t> payload, std::span<std::uint8_t> out);

/// Why a relayed datagram was not accepted.
enum class RelayError : std::uint8_t { Truncated, BadVersion, BadKind, UnknownKey, BadCheck };

std::string_view relayErrorName(RelayError error);

struct DecodedRelay {
    RelayHeader header;
    std::span<const std::uint8_t> payload; ///< points into the datagram
};

/// Decodes and authenticates a relayed datagram; on failure sets `error` and returns nothing.
std::optional<DecodedRelay> decodeRelay(const FlowKeySet &keys, std::span<const std::uint8_t> datagram, RelayError &error);

}
