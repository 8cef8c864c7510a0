#pragma once

#include <jujubequay/steering/balancer_steering.h>
#include <jujubequay/steering/segment.h>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace Jujubequay {

/// Format of the packets that callers and servers exchange. Balancers and agents read the headers; the payload and what the caller and the
/// server see of the header stay unchanged.
class PacketCodec
{
public:
    virtual ~PacketCodec() = default;

    /// Returns nothing for bytes that are not a valid packet.
    virtual std::optional<Segment> decode(std::span<const std::uint8_t> packet) const = 0;
    /// Clears the header fields that are set in transit, so that a packet that the server has rejected is as its sender wrote it.
    virtual void clearTransitFields(std::span<std::uint8_t> packet) const = 0;
    /// Builds the packet that resets a flow of a caller.
    virtual std::vector<std::uint8_t> encodeReset(const ResetCaller &reset) const = 0;
    /// Address at which the caller of a flow receives packets.
    virtual HostAddress callerEndpoint(const FlowTuple &tuple) const = 0;
};

}
