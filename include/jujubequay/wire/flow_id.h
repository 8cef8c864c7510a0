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

/// What a flow identifier says: any balancer can forward to it with no other state.
struct FlowTarget {
    ServiceId service;
    HostAddress server; ///< relay address of the agent
    Incarnation incarnation;
    auto operator<=>(const FlowTarget &) const = default;
};

constexpr std::size_t flowKeyCount = 8;
constexpr std::size_t flowSecretLength = 16;
using FlowSecret = std::array<std::uint8_t, flowSecretLength>;

/// The keys that are valid now, by number. Old numbers stay valid until an operator retires them.
class FlowKeySet
{
public:
    void set(std::uint8_t number, const FlowSecret &secret);
    void remove(std::uint8_t number);
    void activate(std::uint8_t number);

    const FlowSecret *find(std::uint8_t number) const;
    /// The number of the key for new identifiers; empty until a key is activated.
    std::optional<std::uint8_t> active() const;

private:
    std::array<std::optional<FlowSecret>, flowKeyCount> m_secrets;
    std::optional<std::uint8_t> m_active;
};

/// Encodes under key `number`, which must be in the set. Identifiers of one target with different nonces (24 bits used)
/// look unrelated.
FlowIdBytes encodeFlowId(const FlowKeySet &keys, std::uint8_t number, const FlowTarget &target, std::uint32_t nonce);

/// Returns the target if the bytes were encoded under a valid key. Accepts exactly flowIdLength bytes.
std::optional<FlowTarget> decodeFlowId(const FlowKeySet &keys, std::span<const std::uint8_t> bytes);

/// The key number that an identifier names, valid or not.
std::uint8_t flowIdKeyNumber(std::span<const std::uint8_t, flowIdLength> bytes);

}
