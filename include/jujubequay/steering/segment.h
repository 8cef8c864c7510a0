#pragma once

#include <jujubequay/core/identifiers.h>

#include <cstdint>
#include <functional>

namespace Jujubequay {

/// Identifies a flow by the caller's address and the service address. The packets of these protocols carry no flow identifier.
struct FlowTuple {
    HostAddress caller;
    HostAddress service; ///< service address that callers use; not the address of a backend server
    bool operator==(const FlowTuple &) const = default;
};

std::uint64_t hashOf(const FlowTuple &tuple);

/// Header fields of a packet of a TCP-like protocol.
struct Segment {
    HostAddress source;
    HostAddress destination;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint16_t length = 0; ///< length of the payload in bytes
    bool isSyn = false; ///< opens a flow; together with `isAck` the server's answer, a SYN-ACK
    bool isAck = false;
    bool isFin = false; ///< the sender has sent all its data
    bool isRst = false; ///< the sender has reset the flow
    bool isRejected = false; ///< the server has sent the caller's packet back, since it does not own the flow or cannot accept it
    /// How often the caller has retransmitted this SYN before; 0 in all other packets.
    std::uint32_t retransmissionCount = 0;
};

/// True if two sequence numbers may belong to packets of the same flow that were sent about the same time. Initial sequence numbers are random, so
/// those of flows with the same addresses and ports are near each other with a probability of 1 in 32,768.
bool isNear(std::uint32_t sequence, std::uint32_t reference);

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
