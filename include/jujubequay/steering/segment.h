#pragma once

#include <jujubequay/core/identifiers.h>

#include <cstdint>
#include <functional>

namespace Jujubequay {

/// The two ends of a flow. Callers and servers of other protocols put no identifier into their packets, so the ends are all that
/// names a flow.
struct FlowTuple {
    HostAddress caller;
    HostAddress service; ///< address that callers use, not that of a server
    bool operator==(const FlowTuple &) const = default;
};

std::uint64_t hashOf(const FlowTuple &tuple);

/// What the system reads of a packet; the packet itself is passed on unchanged.
struct Segment {
    HostAddress source;
    HostAddress destination;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint16_t length = 0; ///< of the data, in bytes
    bool isSyn = false; ///< opens a flow, or accepts the opening if `isAck` is set too
    bool isAck = false; ///< acknowledges something
    bool isFin = false; ///< the sender has sent everything
    bool isRst = false;
    bool isRejected = false; ///< the server does not hold the flow or cannot take it
    /// Opening packets of callers: number of earlier copies.
    std::uint32_t retransmissionCount = 0;
};

/// The flow of a packet that a caller has sent.
FlowTuple flowTupleFromCaller(const Segment &segment);
/// The flow of a packet that a server has sent.
FlowTuple flowTupleFromServer(const Segment &segment);

}

template<>
struct std::hash<Jujubequay::FlowTuple> {
    std::size_t operator()(const Jujubequay::FlowTuple &tuple) const noexcept
    {
        return Jujubequay::hashOf(tuple);
    }
};
