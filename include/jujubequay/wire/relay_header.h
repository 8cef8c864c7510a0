#pragma once

#include <jujubequay/core/identifiers.h>
#include <jujubequay/wire/flow_id.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace Jujubequay {

/// Kind of a datagram between a balancer and an agent or between two agents.
enum class RelayKind : std::uint8_t {
    Forward = 1, ///< balancer to agent: datagram of an established flow, routed by its flow identifier
    Initial = 2, ///< balancer to agent: Initial packet of a new flow, sent to the first choice
    Redirect = 3, ///< agent to agent: Initial packet redirected to the second choice, which must accept it
    Reply = 4, ///< agent to balancer: datagram for the caller
    StaleConfig = 5, ///< agent to balancer: Initial packet refused because the balancer's configuration or server list is outdated; no payload
    Load = 6, ///< agent to agent of the same service: the sender's load; no payload
};

std::string_view relayKindName(RelayKind kind);

/// Current load of the server whose agent sent the datagram. Counts above 65535 are sent as 65535.
struct ServerLoad {
    std::uint16_t running = 0; ///< number of requests that occupy a slot
    std::uint16_t queued = 0; ///< number of requests that wait for a slot
    std::uint16_t flows = 0; ///< number of open flows
    auto operator<=>(const ServerLoad &) const = default;
};

/// The fixed-size header before every datagram between a balancer and an agent or between two agents.
struct RelayHeader {
    RelayKind kind = RelayKind::Forward;
    ServiceId service;
    /// Incarnation of the agent addressed, or of the sending agent in Reply, StaleConfig and Load. Zero in Initial packets of a balancer
    /// that does not have it.
    Incarnation incarnation;
    std::uint64_t revision = 0; ///< revision of the service's configuration at the sender
    HostAddress caller;
    HostAddress balancer; ///< relay address of the balancer through which replies are sent
    HostAddress entry; ///< address of the balancer at which the caller's datagram arrived; replies are sent from it
    HostAddress secondChoice; ///< relay address of the agent to which an Initial packet may be redirected; zero if there is none
    Incarnation secondChoiceIncarnation; ///< incarnation of the agent at `secondChoice`
    ServerLoad load; ///< load of the sending server in Redirect, Reply and Load
    auto operator<=>(const RelayHeader &) const = default;
};

/// Length of an encoded header in bytes.
constexpr std::size_t relayHeaderLength = 60;
/// Number of payload bytes that the authentication tag covers in addition to the header and the payload length.
constexpr std::size_t relayAuthenticatedPayloadLength = 64;

/// Writes the header for `payload` to `out`, which must hold at least relayHeaderLength bytes. The payload is not copied.
/// The authentication tag is computed with the active flow key, which must exist.
void encodeRelayHeader(const FlowKeySet &keys, const RelayHeader &header, std::span<const std::uint8_t> payload, std::span<std::uint8_t> out);

/// Reason why a relayed datagram was not accepted.
enum class RelayError : std::uint8_t { Truncated, BadVersion, BadKind, UnknownKey, BadTag };

std::string_view relayErrorName(RelayError error);

struct DecodedRelay {
    RelayHeader header;
    std::span<const std::uint8_t> payload; ///< points into the datagram
};

/// Decodes and authenticates a relayed datagram; on failure sets `error` and returns nothing.
std::optional<DecodedRelay> decodeRelay(const FlowKeySet &keys, std::span<const std::uint8_t> datagram, RelayError &error);

}
