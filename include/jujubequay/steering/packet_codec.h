#pragma once

#include <jujubequay/steering/balancer_steering.h>
#include <jujubequay/steering/segment.h>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace Jujubequay {

/// The format of the packets that callers and servers exchange. The system reads their headers and never changes what the ends see.
class PacketCodec
{
public:
    virtual ~PacketCodec() = default;

    /// Empty for bytes that are not a packet.
    virtual std::optional<Segment> decode(std::span<const std::uint8_t> packet) const = 0;
    /// Removes the marks that the way has left, so that a packet that came back is again as its sender wrote it.
    virtual void clearTransitFields(std::span<std::uint8_t> packet) const = 0;
    /// A packet that tells the caller that the flow does not exist.
    virtual std::vector<std::uint8_t> encodeReset(const ResetCaller &reset) const = 0;
    /// Where a caller receives packets.
    virtual HostAddress callerEndpoint(const FlowTuple &tuple) const = 0;
};

}
