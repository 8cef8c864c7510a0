#pragma once

#include <cstdint>
#include <optional>
#include <span>

namespace Jujubequay {

/// The version-independent part of a QUIC packet header (RFC 8999).
struct PacketInvariants {
    bool hasLongHeader = false;
    std::span<const std::uint8_t> destinationId; ///< points into the datagram
};

/// Smallest datagram that may carry a client's Initial packet, in bytes (RFC 9000, 14.1).
constexpr std::size_t minInitialDatagramBytes = 1200;
/// Shortest destination identifier that a client may choose for its Initial packet, in bytes (RFC 9000, 7.2).
constexpr std::size_t minInitialIdBytes = 8;

/// Reads the header of the first packet in a datagram. The destination identifier of a short header is flowIdLength bytes long.
/// Empty if the datagram is not a QUIC packet.
std::optional<PacketInvariants> readInvariants(std::span<const std::uint8_t> datagram);

}
