#pragma once

#include <jujubequay/core/identifiers.h>
#include <jujubequay/wire/framing.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Jujubequay {

/// Number of a QUIC connection within one endpoint object; never reused.
struct FlowHandle {
    std::uint64_t value = 0;
    bool operator==(const FlowHandle &) const = default;
    bool operator<(const FlowHandle &other) const
    {
        return value < other.value;
    }
};

/// QUIC stream number. Bidirectional streams opened by the client are 0, 4, 8, ...
using StreamNumber = std::int64_t;

/// Why a connection ended.
enum class FlowEndCause : std::uint8_t {
    ClosedByPeer, ///< CONNECTION_CLOSE received
    ClosedLocally, ///< close() was called here
    IdleTimeout, ///< nothing received for the idle timeout
    HandshakeFailed, ///< no handshake in time, or TLS refused it
    StatelessReset, ///< the peer no longer knows the connection
    ProtocolError, ///< the peer violated the protocol
    MemoryLimit, ///< the connection used more memory than one connection may
};

std::string_view flowEndCauseName(FlowEndCause cause);

/// The handshake is complete. A server may send now; it knows the caller's address.
struct FlowEstablished {
    FlowHandle flow;
    HostAddress peer;
};

/// Last event of a connection; its handle is invalid from here on.
struct FlowEnded {
    FlowHandle flow;
    FlowEndCause cause = FlowEndCause::ClosedLocally;
    std::uint64_t code = 0; ///< application or transport error code of the close
    std::string detail;
};

/// Bytes in stream order. The window opens again when the owner calls `consume` with their number.
struct StreamDataReceived {
    FlowHandle flow;
    StreamNumber stream = 0;
    Bytes data;
    bool end = false; ///< no more bytes follow
};

/// The peer abandoned its sending side.
struct StreamReset {
    FlowHandle flow;
    StreamNumber stream = 0;
    std::uint64_t code = 0;
};

/// The peer no longer reads; what was not sent is dropped. The code is 0 if it was noticed by a failed write.
struct StreamStopped {
    FlowHandle flow;
    StreamNumber stream = 0;
    std::uint64_t code = 0;
};

/// A `write` that was cut short may go on.
struct StreamWritable {
    FlowHandle flow;
    StreamNumber stream = 0;
};

/// Both directions of a stream have ended and everything was acknowledged.
struct StreamEnded {
    FlowHandle flow;
    StreamNumber stream = 0;
};

using QuicEvent = std::variant<FlowEstablished, FlowEnded, StreamDataReceived, StreamReset, StreamStopped, StreamWritable, StreamEnded>;
using QuicEvents = std::vector<QuicEvent>;

}

template<>
struct std::hash<Jujubequay::FlowHandle> {
    std::size_t operator()(const Jujubequay::FlowHandle &flow) const noexcept
    {
        return std::hash<std::uint64_t>()(flow.value);
    }
};
