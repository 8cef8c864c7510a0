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

/// Sends the datagrams of a server.
class QuicServerSink
{
public:
    virtual ~QuicServerSink() = default;

    /// `flow` is zero for datagrams that belong to no connection: stateless resets, version negotiation and refusals.
    virtual void sendDatagram(FlowHandle flow, const HostAddress &caller, std::span<const std::uint8_t> datagram) = 0;
};

using ResetKey = std::array<std::uint8_t, 32>;

struct QuicServerOptions {
    Duration idleTimeout = std::chrono::seconds(60);
    Duration handshakeTimeout = std::chrono::seconds(10);
    /// A connection without traffic is probed at this interval; zero: never.
    Duration keepAlive = std::chrono::seconds(20);
    /// Interval of the rotation requests to a client that still uses connection IDs of an old flow key.
    Duration rotationRequestInterval = std::chrono::seconds(1);
    std::size_t maxFlows = 2'000;
    std::size_t maxHandshakes = 512; ///< connections whose handshake is not complete
    std::uint64_t maxStreamsPerFlow = 32; ///< bidirectional streams that the client may have open
    std::uint64_t streamWindowBytes = 64U << 10U; ///< bytes received on one stream and not consumed
    std::uint64_t flowWindowBytes = 256U << 10U; ///< bytes received on one connection and not consumed
    std::size_t maxSendBufferBytes = 256U << 10U; ///< bytes queued or not acknowledged on one connection
    std::size_t maxFlowMemoryBytes = 2U << 20U; ///< a connection that uses more is closed
    std::size_t maxTotalMemoryBytes = 512U << 20U; ///< no new connection is accepted while all connections together use this much
    /// Returns the key of the stateless reset tokens of connection IDs under a flow key; empty if the flow key is unknown. It must be the same
    /// after a restart of the agent.
    std::function<std::optional<ResetKey>(std::uint8_t keyNumber)> resetKey = [](std::uint8_t) {
        return ResetKey{};
    };
};

struct QuicServerStatistics {
    std::uint64_t flowsAccepted = 0;
    std::uint64_t flowsRefused = 0; ///< new connections refused while draining or at a limit, or whose setup failed
    std::uint64_t resetsSent = 0; ///< stateless resets that were sent
    std::uint64_t datagramsDropped = 0; ///< datagrams that are not QUIC, have an unsupported version or belong to no connection
};

/// QUIC version 1 server. Uses no sockets, threads or clock.
///
///     server.receive(now, caller, datagram);
///     for (const QuicEvent &event : server.takeEvents()) { ... server.write(...) ... }
///     server.flush(now);
///     // each flush may change nextTimeout()
///
/// The path of a connection is the caller's address, regardless of the balancer that relayed a datagram. A changed caller address is a connection
/// migration and is validated.
class QuicServer
{
public:
    /// Creates a connection ID for a new or an open connection. Called while datagrams are handled.
    using ConnectionIdSource = std::function<FlowIdBytes()>;

    /// `random` and `sink` must outlive the server.
    QuicServer(QuicServerOptions options,
               std::shared_ptr<const TlsCredentials> credentials,
               ConnectionIdSource connectionIdSource,
               QuicServerSink &sink,
               std::mt19937_64 &random);
    ~QuicServer();
    QuicServer(const QuicServer &) = delete;
    QuicServer &operator=(const QuicServer &) = delete;

    /// Handles one datagram and returns the connection to which it belongs. Immediately sends only stateless resets, version negotiation and
    /// CONNECTION_CLOSE; `flush` sends all other packets.
    std::optional<FlowHandle> receive(TimePoint now, const HostAddress &caller, std::span<const std::uint8_t> datagram);
    /// Answers a datagram of a connection that an earlier run of the agent had with a stateless reset.
    void resetEarlierFlow(const HostAddress &caller, std::span<const std::uint8_t> datagram);
    /// Sends pending packets on all connections that changed since the last call.
    void flush(TimePoint now);
    /// Returns and removes the events since the last call, in order.
    QuicEvents takeEvents();

    /// Time at which `handleTimeout` must be called. Empty without connections.
    std::optional<TimePoint> nextTimeout() const;
    void handleTimeout(TimePoint now);

    /// Queues bytes and returns how many were accepted. If the send buffer is full, fewer are accepted and StreamWritable follows. `end` ends the stream,
    /// but only if all bytes were accepted. Returns zero for unknown streams.
    std::size_t write(FlowHandle flow, StreamNumber stream, std::span<const std::uint8_t> bytes, bool end);
    /// Opens a stream from the server to the client. Empty if the flow is unknown or not established, or if the client's stream limit is reached.
    std::optional<StreamNumber> openUnidirectionalStream(FlowHandle flow);
    /// Returns flow control credit: the peer may send `bytes` more on the stream and the connection.
    void consume(FlowHandle flow, StreamNumber stream, std::size_t bytes);
    /// Aborts the sending direction of a stream with RESET_STREAM.
    void resetStream(FlowHandle flow, StreamNumber stream, std::uint64_t code);
    /// Requests with STOP_SENDING that the client sends no more on the stream.
    void stopSending(FlowHandle flow, StreamNumber stream, std::uint64_t code);
    /// Closes a connection with an application error code. FlowEnded follows.
    void close(TimePoint now, FlowHandle flow, std::uint64_t code, std::string_view reason);

    /// Closes a connection as soon as the client has acknowledged all queued data.
    void closeAfterDelivery(TimePoint now, FlowHandle flow, std::uint64_t code, std::string_view reason);

    /// Refuses new connections from now on, except those to a resume identifier. Open connections are not affected.
    void refuseNewFlows();
    /// Queued and unacknowledged bytes of a connection. Zero if all data has arrived or the connection is unknown.
    std::size_t unacknowledgedBytes(FlowHandle flow) const;

    /// Requests that the clients of all open connections move to new connection IDs and retire the old ones. Repeats the request until `flowCountsByKey` is
    /// zero for all key numbers except `keyNumber`.
    void rotateConnectionIds(TimePoint now, std::uint8_t keyNumber);
    /// For each key number, the number of connections that have connection IDs of this key. A connection can count under more than one.
    std::array<std::size_t, flowKeyCount> flowCountsByKey() const;

    std::size_t flowCount() const;
    /// Bytes of memory used by all connections, without that of the TLS library.
    std::size_t memoryBytes() const;
    const QuicServerStatistics &statistics() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
