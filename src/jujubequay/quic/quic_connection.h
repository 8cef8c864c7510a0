#pragma once

#include "send_buffer.h"
#include "tls_session.h"

#include <jujubequay/core/clock.h>
#include <jujubequay/quic/quic_event.h>

#include <ngtcp2/ngtcp2.h>
#include <ngtcp2/ngtcp2_crypto.h>

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>

namespace Jujubequay {

/// Largest datagram that is sent, in bytes. Together with the relay header (54 bytes) and the IP and UDP headers it fits into an MTU of 1,500 bytes,
/// so that no path MTU discovery is needed.
constexpr std::size_t maxDatagramLength = 1350;

/// Options of a connection in either role. QuicServerOptions and QuicClientOptions describe them.
struct QuicConnectionOptions {
    Duration idleTimeout{};
    Duration handshakeTimeout{};
    Duration keepAlive{};
    std::uint64_t streamWindowBytes = 0;
    std::uint64_t flowWindowBytes = 0;
    std::uint64_t maxBidirectionalStreams = 0; ///< bidirectional streams that the peer may have open
    std::uint64_t maxUnidirectionalStreams = 0; ///< unidirectional streams that the peer may have open
    std::size_t maxSendBufferBytes = 0;
    std::size_t maxMemoryBytes = 0; ///< 0: no limit
};

/// Functions that a connection calls on the endpoint that owns it.
class QuicEndpoint
{
public:
    virtual ~QuicEndpoint() = default;

    virtual void sendDatagram(FlowHandle flow, const HostAddress &remote, std::span<const std::uint8_t> datagram) = 0;
    /// Creates a connection ID of `length` bytes and its stateless reset token. Returns false on failure.
    virtual bool issueConnectionId(FlowHandle flow, ngtcp2_cid &connectionId, std::size_t length, std::uint8_t *resetToken) = 0;
    /// Called when the peer has retired the connection ID.
    virtual void removeConnectionId(FlowHandle flow, const ngtcp2_cid &connectionId) = 0;
    /// Called when the peer requests to move to a new connection ID.
    virtual void handleRotationRequest(FlowHandle flow) = 0;
};

/// One end of a QUIC connection: combines an ngtcp2 connection, its TLS session and the send buffers, and reports events.
class QuicConnection
{
public:
    struct ServerStart {
        ngtcp2_cid clientConnectionId; ///< source connection ID of the client's first Initial packet
        ngtcp2_cid originalDestinationId; ///< destination connection ID of that packet
        ngtcp2_cid connectionId; ///< first connection ID of the server
        std::array<std::uint8_t, NGTCP2_STATELESS_RESET_TOKENLEN> resetToken;
        std::uint32_t version;
    };
    struct ClientStart {
        ngtcp2_cid destination; ///< destination connection ID of the first Initial packet
        ngtcp2_cid connectionId; ///< first connection ID of the client
        std::string serviceName;
    };

    QuicConnection(FlowHandle flow, QuicConnectionOptions options, QuicEndpoint &endpoint, QuicEvents &events, std::mt19937_64 &random);
    ~QuicConnection();
    QuicConnection(const QuicConnection &) = delete;
    QuicConnection &operator=(const QuicConnection &) = delete;

    /// Both functions return false if TLS or ngtcp2 fails to create its state.
    bool startServer(const ServerStart &start, const TlsCredentials &credentials, const HostAddress &remote, TimePoint now);
    bool startClient(const ClientStart &start, const TlsCredentials &credentials, const HostAddress &remote, TimePoint now);

    void receive(TimePoint now, const HostAddress &remote, std::span<const std::uint8_t> datagram);
    void flush(TimePoint now);
    /// Latest time of the next call of `flush`.
    TimePoint expiry() const;

    std::size_t write(StreamNumber stream, std::span<const std::uint8_t> bytes, bool end);
    std::optional<StreamNumber> openBidirectionalStream();
    std::optional<StreamNumber> openUnidirectionalStream();
    void consume(StreamNumber stream, std::size_t bytes);
    void resetStream(StreamNumber stream, std::uint64_t code);
    void stopSending(StreamNumber stream, std::uint64_t code);
    void close(TimePoint now, std::uint64_t code, std::string_view reason);
    /// Closes the connection as soon as the peer has acknowledged all queued data.
    void closeAfterDelivery(TimePoint now, std::uint64_t code, std::string_view reason);

    /// Server: requests, in an unreliable datagram, that the client moves to a new connection ID.
    void requestConnectionIdRotation(TimePoint now);
    /// Client: moves to the next connection ID of the server and retires the current one. False if the server has issued no unused one.
    bool rotateConnectionId(TimePoint now);

    bool isEstablished() const;
    bool isEnded() const;
    /// Bytes in the send buffers of all streams: queued or not acknowledged.
    std::size_t sendBufferBytes() const;
    /// Bytes allocated by ngtcp2 and the send buffers for this connection.
    std::size_t memoryBytes() const;

private:
    struct Stream {
        SendBuffer buffer;
        std::uint64_t unconsumedBytes = 0; ///< bytes delivered to the owner and not consumed
        bool wantsWritableEvent = false; ///< a `write` was accepted only in part
        bool canSend = true; ///< false for the peer's unidirectional streams and after a reset or stop
    };
    struct PendingClose {
        std::uint64_t code;
        std::string reason;
    };
    using Datagram = std::array<std::uint8_t, maxDatagramLength>;

    static ngtcp2_callbacks makeCallbacks(bool isServer);
    ngtcp2_settings makeSettings(TimePoint now);
    ngtcp2_transport_params makeTransportParameters() const;
    ngtcp2_mem makeAllocator();

    void handleHandshakeCompleted();
    void handleStreamOpened(StreamNumber stream);
    void handleStreamData(StreamNumber stream, std::span<const std::uint8_t> data, bool end);
    void handleStreamAcknowledged(StreamNumber stream, std::uint64_t offset, std::uint64_t length);
    void handleStreamClosed(StreamNumber stream, std::optional<std::uint64_t> abortCode);
    void stopWriting(StreamNumber stream);
    void notifyWritable();

    void handleError(TimePoint now, int code);
    void sendClose(TimePoint now, const ngtcp2_connection_close_error &error);
    void end(FlowEndCause cause, std::uint64_t code, std::string detail);
    void handleCloseByPeer();
    void handleExpiry(TimePoint now);
    /// Writes packets until no data is left or the congestion window is full.
    void writePackets(TimePoint now);
    ngtcp2_ssize writePacket(TimePoint now, Datagram &datagram, ngtcp2_path_storage &path);
    /// Returns the next stream, in round-robin order, that has data to send; end() if there is none.
    std::map<StreamNumber, Stream>::iterator nextStreamToSend();
    void send(const ngtcp2_path &path, std::span<const std::uint8_t> datagram);
    void checkMemory(TimePoint now);
    /// Server: frees the TLS session (about 11 KB) after the handshake, when it is not needed any more.
    void releaseSession();

    const FlowHandle m_flow;
    const QuicConnectionOptions m_options;
    QuicEndpoint &m_endpoint;
    QuicEvents &m_events;
    std::mt19937_64 &m_random;

    std::size_t m_allocatedBytes = 0;
    ngtcp2_mem m_allocator{};
    ngtcp2_crypto_conn_ref m_connectionReference{};
    std::string m_serviceName; ///< client: GnuTLS holds a pointer to the text
    TlsSessionPointer m_tlsSession;
    ngtcp2_conn *m_connection = nullptr;
    bool m_isServer = false;
    bool m_isEstablished = false;
    bool m_isEnded = false;
    bool m_isStatelessReset = false;
    HostAddress m_remoteAddress;
    std::uint16_t m_localPort = 1; ///< placeholder; changes with each rotation, so that ngtcp2 detects a new path
    std::map<StreamNumber, Stream> m_streams;
    std::vector<StreamNumber> m_blockedStreams; ///< streams that ran out of flow control credit in the current flush
    StreamNumber m_lastServedStream = -1;
    std::size_t m_bufferedBytes = 0;
    std::optional<PendingClose> m_pendingClose;
    Bytes m_closeDatagram; ///< sent again for each datagram that the peer sends after the close
};

}
