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

/// Identifies a QUIC connection within one QuicServer or QuicClient. Values are never reused.
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
    HandshakeFailed, ///< the handshake timed out or was refused
    StatelessReset, ///< the peer has no state of the connection, for example after a restart
    ProtocolError, ///< the peer violated the protocol
    MemoryLimit, ///< the connection exceeded QuicServerOptions::maxFlowMemoryBytes
};

std::string_view flowEndCauseName(FlowEndCause cause);

/// The handshake is complete and data can be sent. On a server, `peer` is the validated address of the caller.
struct FlowEstablished {
    FlowHandle flow;
    HostAddress peer;
};

/// Last event of a connection. Its handle is invalid afterwards.
struct FlowEnded {
    FlowHandle flow;
    FlowEndCause cause = FlowEndCause::ClosedLocally;
    std::uint64_t code = 0; ///< application or transport error code of the CONNECTION_CLOSE; 0 if there is none
    std::string detail; ///< reason phrase or error text
};

/// Received bytes in stream order. Flow control credit is returned when the owner calls `consume` with their number.
struct StreamDataReceived {
    FlowHandle flow;
    StreamNumber stream = 0;
    Bytes data;
    bool end = false; ///< end of the stream: no more bytes follow
};

/// The peer aborted its sending direction with RESET_STREAM.
struct StreamReset {
    FlowHandle flow;
    StreamNumber stream = 0;
    std::uint64_t code = 0;
};

/// The peer stopped reading with STOP_SENDING, and unsent bytes are dropped. `code` is 0 if a failed write detected it.
struct StreamStopped {
    FlowHandle flow;
    StreamNumber stream = 0;
    std::uint64_t code = 0;
};

/// The send buffer has space again after a `write` that was accepted only in part.
struct StreamWritable {
    FlowHandle flow;
    StreamNumber stream = 0;
};

/// Both directions of a stream have ended and the peer has acknowledged all data, or the stream was aborted.
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
