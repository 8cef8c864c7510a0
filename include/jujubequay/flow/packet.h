#pragma once

#include <cstdint>
#include <optional>
#include <span>

namespace Jujubequay {

/// The version-independent part of a QUIC packet header (RFC 8999).
struct PacketInvariants {
    bool longHeader = false;
    std::span<const std::uint8_t> destinationId; ///< points into the datagram
};

/// Smallest datagram that may open a connection, in bytes (RFC 9000, 14.1).
constexpr std::size_t minOpeningDatagram = 1200;
/// Shortest destination identifier that a client may choose, in bytes (RFC 9000, 7.2).
constexpr std::size_t minOpeningIdLength = 8;

/// Reads the header of the first packet in a datagram. Short headers are taken to carry a flow identifier of
/// flowIdLength bytes. Empty if the datagram is not a QUIC packet.
std::optional<PacketInvariants> readInvariants(std::span<const std::uint8_t> datagram);

}
