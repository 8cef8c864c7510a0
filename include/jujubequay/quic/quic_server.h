#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/quic/quic_event.h>
#include <jujubequay/quic/tls_credentials.h>
#include <jujubequay/wire/flow_id.h>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string_view>

namespace Jujubequay {

/// Takes the datagrams that a server sends.
class QuicServerSink
{
public:
    virtual ~QuicServerSink() = default;

    /// `flow` is zero for datagrams that belong to no connection (stateless resets, version negotiation).
    virtual void sendDatagram(FlowHandle flow, const HostAddress &caller, std::span<const std::uint8_t> datagram) = 0;
};

struct QuicServerOptions {
    Duration idleTimeout = std::chrono::seconds(60);
    Duration handshakeTimeout = std::chrono::seconds(10);
    /// A connection without traffic is probed at this interval; zero: never.
    Duration keepAlive = std::chrono::seconds(20);
    /// Time between two requests to a client that still uses old identifiers.
    Duration rotationInterval = std::chrono::seconds(1);
    std::size_t maxFlows = 2'000;
    std::size_t maxHandshakes = 512; ///< connections whose handshake is not complete
    std::uint64_t maxStreamsPerFlow = 32; ///< bidirectional streams that the client may have open
    std::uint64_t streamWindow = 64U << 10U; ///< bytes received on one stream and not consumed
    std::uint64_t flowWindow = 256U << 10U; ///< bytes received on one connection and not consumed
    std::size_t sendBuffer = 256U << 10U; ///< bytes queued or not acknowledged on one connection
    std::size_t maxFlowMemory = 2U << 20U; ///< bytes; a connection beyond it is closed
    std::size_t maxTotalMemory = 512U << 20U; ///< bytes; no new connection is accepted beyond it
    std::array<std::uint8_t, 32> statelessResetKey{}; ///< key of stateless reset tokens; the same after a restart of the agent
};

struct QuicServerStatistics {
    std::uint64_t flowsAccepted = 0;
    std::uint64_t flowsRefused = 0; ///< draining, or a limit was reached
    std::uint64_t resetsSent = 0;
    std::uint64_t datagramsDropped = 0; ///< not QUIC, or of no known connection
};

/// QUIC version 1 server without sockets, threads or a clock.
///
///     server.receive(now, caller, datagram);
///     for (const QuicEvent &event : server.takeEvents()) { ... server.write(...) ... }
///     server.flush(now);
///     // ask nextTimeout() again after each flush
///
/// The path of a connection is the caller's address; which balancer relayed a datagram does not matter. A changed
/// caller address is a migration and is validated.
class QuicServer
{
public:
    /// Makes a connection identifier of a new or a live connection; called while datagrams are handled.
    using IdentifierSource = std::function<FlowIdBytes()>;

    /// `random` and `sink` outlive the server.
    QuicServer(QuicServerOptions options,
               std::shared_ptr<const TlsCredentials> credentials,
               IdentifierSource identifiers,
               QuicServerSink &sink,
               std::mt19937_64 &random);
    ~QuicServer();
    QuicServer(const QuicServer &) = delete;
    QuicServer &operator=(const QuicServer &) = delete;

    /// Handles one datagram and returns the connection that it belongs to. Sends nothing but stateless resets and
    /// version negotiation; the rest is sent by `flush`.
    std::optional<FlowHandle> receive(TimePoint now, const HostAddress &caller, std::span<const std::uint8_t> datagram);
    /// Sends what is due on all connections that changed since the last call.
    void flush(TimePoint now);
    /// What happened since the last call, in order.
    QuicEvents takeEvents();

    /// When `handleTimeout` is due; empty without connections.
    std::optional<TimePoint> nextTimeout() const;
    void handleTimeout(TimePoint now);

    /// Queues bytes and returns how many were accepted: fewer than given when the send buffer is full, and then
    /// StreamWritable follows. `end` takes effect only if all bytes were accepted. Zero for unknown streams.
    std::size_t write(FlowHandle flow, StreamNumber stream, std::span<const std::uint8_t> bytes, bool end);
    /// Opens a stream from server to client; empty if the client's limit is reached.
    std::optional<StreamNumber> openUnidirectionalStream(FlowHandle flow);
    /// Lets the peer send `bytes` more on the stream and the connection.
    void consume(FlowHandle flow, StreamNumber stream, std::size_t bytes);
    /// Abandons the sending side.
    void resetStream(FlowHandle flow, StreamNumber stream, std::uint64_t code);
    /// Asks the client not to send more.
    void stopSending(FlowHandle flow, StreamNumber stream, std::uint64_t code);
    /// Ends a connection with an application error code. FlowEnded follows.
    void close(TimePoint now, FlowHandle flow, std::uint64_t code, std::string_view reason);

    /// Ends a connection as soon as the client has acknowledged everything that was queued before.
    void closeAfterDelivery(TimePoint now, FlowHandle flow, std::uint64_t code, std::string_view reason);

    /// New connections are refused from now on, except those to a resume identifier; live ones go on.
    void refuseNewFlows();
    /// Queued and unacknowledged bytes of a connection; zero when everything has arrived.
    std::size_t unacknowledgedBytes(FlowHandle flow) const;

    /// Asks the clients of all live connections to move to new identifiers and to retire the old ones. Repeats the
    /// request until `flowCountsByKey` shows none under another key number than `keyNumber`.
    void rotateConnectionIds(TimePoint now, std::uint8_t keyNumber);
    /// Number of connections that may still receive under identifiers of each key number.
    std::array<std::size_t, flowKeyCount> flowCountsByKey() const;

    std::size_t flowCount() const;
    /// Bytes of memory held by all connections, without those of the TLS library.
    std::size_t memoryBytes() const;
    const QuicServerStatistics &statistics() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
