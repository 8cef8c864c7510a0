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

/// Largest datagram that is sent, in bytes. With the relay header (54 bytes) and the IP and UDP headers it stays below
/// an MTU of 1,500, so that no path MTU discovery is needed.
constexpr std::size_t maxDatagramLength = 1350;

/// Settings that both roles have.
struct QuicConnectionOptions {
    Duration idleTimeout{};
    Duration handshakeTimeout{};
    Duration keepAlive{};
    std::uint64_t streamWindow = 0;
    std::uint64_t flowWindow = 0;
    std::uint64_t maxBidirectionalStreams = 0; ///< that the peer may have open
    std::uint64_t maxUnidirectionalStreams = 0;
    std::size_t sendBuffer = 0;
    std::size_t maxMemory = 0; ///< bytes; 0: no limit
};

/// What a connection asks of the endpoint that holds it.
class QuicConnectionHost
{
public:
    virtual ~QuicConnectionHost() = default;

    virtual void sendDatagram(FlowHandle flow, const HostAddress &remote, std::span<const std::uint8_t> datagram) = 0;
    /// Fills in an identifier of `length` bytes and its reset token. False if none can be made.
    virtual bool issueIdentifier(FlowHandle flow, ngtcp2_cid &identifier, std::size_t length, std::uint8_t *resetToken) = 0;
    virtual void removeIdentifier(FlowHandle flow, const ngtcp2_cid &identifier) = 0;
    /// The server asked the client to move to a new identifier.
    virtual void rotationRequested(FlowHandle flow) = 0;
};

/// One end of a QUIC connection: ngtcp2, TLS, send buffers and events.
class QuicConnection
{
public:
    struct ServerStart {
        ngtcp2_cid clientIdentifier; ///< source identifier of the first Initial
        ngtcp2_cid originalDestination;
        ngtcp2_cid identifier; ///< first identifier of the server
        std::array<std::uint8_t, NGTCP2_STATELESS_RESET_TOKENLEN> resetToken;
        std::uint32_t version;
    };
    struct ClientStart {
        ngtcp2_cid destination;
        ngtcp2_cid identifier;
        std::string serviceName;
    };

    QuicConnection(FlowHandle flow, QuicConnectionOptions options, QuicConnectionHost &host, QuicEvents &events, std::mt19937_64 &random);
    ~QuicConnection();
    QuicConnection(const QuicConnection &) = delete;
    QuicConnection &operator=(const QuicConnection &) = delete;

    /// False if a library is out of memory.
    bool startServer(const ServerStart &start, const TlsCredentials &credentials, const HostAddress &remote, TimePoint now);
    bool startClient(const ClientStart &start, const TlsCredentials &credentials, const HostAddress &remote, TimePoint now);

    void receive(TimePoint now, const HostAddress &remote, std::span<const std::uint8_t> datagram);
    void flush(TimePoint now);
    /// When `flush` is due at the latest.
    TimePoint expiry() const;

    std::size_t write(StreamNumber stream, std::span<const std::uint8_t> bytes, bool end);
    std::optional<StreamNumber> openBidirectionalStream();
    std::optional<StreamNumber> openUnidirectionalStream();
    void consume(StreamNumber stream, std::size_t bytes);
    void resetStream(StreamNumber stream, std::uint64_t code);
    void stopSending(StreamNumber stream, std::uint64_t code);
    void close(TimePoint now, std::uint64_t code, std::string_view reason);
    /// Closes as soon as everything queued has been acknowledged.
    void closeAfterDelivery(TimePoint now, std::uint64_t code, std::string_view reason);

    /// Server: asks the client, in an unreliable datagram, to rotate identifiers.
    void requestRotation(TimePoint now);
    /// Client: moves to the next identifier of the server and retires the current one. False if there is no unused one.
    bool rotateIdentifier(TimePoint now);

    bool isEstablished() const;
    bool isEnded() const;
    std::size_t sendBufferBytes() const;
    /// Bytes allocated by ngtcp2 and the send buffers for this connection.
    std::size_t memoryBytes() const;

private:
    struct Stream {
        SendBuffer buffer;
        std::uint64_t unconsumed = 0; ///< bytes delivered to the owner and not consumed
        bool wantsWritable = false;
        bool canSend = true;
    };
    struct PendingClose {
        std::uint64_t code;
        std::string reason;
    };
    using Datagram = std::array<std::uint8_t, maxDatagramLength>;

    static ngtcp2_callbacks makeCallbacks(bool server);
    ngtcp2_settings makeSettings(TimePoint now);
    ngtcp2_transport_params makeParameters() const;
    ngtcp2_mem makeAllocator();

    void handshakeCompleted();
    void streamOpened(StreamNumber stream);
    void streamReceived(StreamNumber stream, std::span<const std::uint8_t> data, bool end);
    void streamAcknowledged(StreamNumber stream, std::uint64_t offset, std::uint64_t length);
    void streamClosed(StreamNumber stream, std::optional<std::uint64_t> abortCode);
    void stopWriting(StreamNumber stream);
    void notifyWritable();

    void handleError(TimePoint now, int code);
    void sendClose(TimePoint now, const ngtcp2_connection_close_error &error);
    void end(FlowEndCause reason, std::uint64_t code, std::string detail);
    void endByPeer();
    void handleExpiry(TimePoint now);
    /// Writes stream data until nothing is left or the congestion window is full.
    void writePackets(TimePoint now);
    ngtcp2_ssize writePacket(TimePoint now, Datagram &datagram, ngtcp2_path_storage &path);
    /// The next stream, after the last one served, that has bytes to send; end() if none.
    std::map<StreamNumber, Stream>::iterator nextSender();
    void send(const ngtcp2_path &path, std::span<const std::uint8_t> datagram);
    void checkMemory(TimePoint now);
    /// Server: frees the TLS session, about 11 KB, once nothing more is to come of it.
    void releaseSession();

    const FlowHandle m_flow;
    const QuicConnectionOptions m_options;
    QuicConnectionHost &m_host;
    QuicEvents &m_events;
    std::mt19937_64 &m_random;

    std::size_t m_allocated = 0;
    ngtcp2_mem m_allocator{};
    ngtcp2_crypto_conn_ref m_reference{};
    std::string m_serviceName; ///< client: GnuTLS keeps a pointer to it
    TlsSessionPointer m_session;
    ngtcp2_conn *m_connection = nullptr;
    bool m_server = false;
    bool m_established = false;
    bool m_ended = false;
    bool m_statelessReset = false;
    HostAddress m_remote;
    std::uint16_t m_localPort = 1; ///< changes with each rotation, so that ngtcp2 sees a new path
    std::map<StreamNumber, Stream> m_streams;
    std::vector<StreamNumber> m_blocked; ///< streams without flow control credit in this flush
    StreamNumber m_lastServed = -1;
    std::size_t m_buffered = 0;
    std::optional<PendingClose> m_pendingClose;
    Bytes m_closeDatagram; ///< repeated when the peer goes on sending
};

}
