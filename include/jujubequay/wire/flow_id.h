#pragma once

#include <jujubequay/core/identifiers.h>

#include <array>
#include <cstdint>
#include <optional>
#include <span>

namespace Jujubequay {

/// Length of a flow identifier in bytes: the longest connection identifier that QUIC version 1 allows (RFC 9000, 17.2).
constexpr std::size_t flowIdLength = 20;
using FlowIdBytes = std::array<std::uint8_t, flowIdLength>;

/// Destination that is encoded in a flow identifier, so that any balancer can forward a datagram without per-flow state.
struct FlowTarget {
    ServiceId service;
    HostAddress server; ///< relay address of the server's agent
    Incarnation incarnation;
    auto operator<=>(const FlowTarget &) const = default;
};

constexpr std::size_t flowKeyCount = 8;
constexpr std::size_t flowSecretLength = 16;
using FlowSecret = std::array<std::uint8_t, flowSecretLength>;

/// The valid flow keys by number. A key that is no longer the active one stays valid until an operator retires it.
class FlowKeySet
{
public:
    void set(std::uint8_t number, const FlowSecret &secret);
    void remove(std::uint8_t number);
    /// Makes the key the one under which new identifiers are encoded. The key must be in the set.
    void activate(std::uint8_t number);

    /// Returns the secret of the key; null if it is not in the set.
    const FlowSecret *find(std::uint8_t number) const;
    /// Number of the key for new identifiers; empty until a key is activated.
    std::optional<std::uint8_t> activeNumber() const;

private:
    std::array<std::optional<FlowSecret>, flowKeyCount> m_secrets;
    std::optional<std::uint8_t> m_activeNumber;
};

/// Encodes a target under the key `number`, which must be in the set. Only the lower 24 bits of the nonce are used.
/// Identifiers of the same target with different nonces cannot be linked without the key.
FlowIdBytes encodeFlowId(const FlowKeySet &keys, std::uint8_t number, const FlowTarget &target, std::uint32_t nonce);

/// Returns the target of a flow identifier; empty if it was not encoded under a key of the set or is not exactly
/// flowIdLength bytes long.
std::optional<FlowTarget> decodeFlowId(const FlowKeySet &keys, std::span<const std::uint8_t> bytes);

/// Returns the key number in an identifier. Neither the key nor the identifier is validated.
std::uint8_t flowIdKeyNumber(std::span<const std::uint8_t, flowIdLength> bytes);

}
