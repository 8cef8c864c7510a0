#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/quic/quic_event.h>
#include <jujubequay/quic/tls_credentials.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>

namespace Jujubequay {

/// Sends the datagrams of a client. The implementation chooses an entry host for each.
class QuicClientSink
{
public:
    virtual ~QuicClientSink() = default;
    virtual void sendDatagram(std::span<const std::uint8_t> datagram) = 0;
};

struct QuicClientOptions {
    std::string serviceName; ///< name that the server's certificate must contain
    Duration idleTimeout = std::chrono::seconds(60);
    Duration handshakeTimeout = std::chrono::seconds(10);
    Duration keepAlive = std::chrono::seconds(15); ///< a connection without traffic is probed at this interval; zero: never
    std::uint64_t streamWindowBytes = 256U << 10U; ///< bytes received on one stream and not consumed
    std::uint64_t flowWindowBytes = 1U << 20U; ///< bytes received on the connection and not consumed
    std::size_t maxSendBufferBytes = 1U << 20U; ///< bytes queued or not acknowledged
    std::uint32_t connectionIdPrefix = 0; ///< first 4 bytes of the client's 8-byte connection IDs
};

/// Length in bytes of the connection IDs that a client issues.
constexpr std::size_t clientConnectionIdLength = 8;

/// Reads the prefix of the destination connection ID in a datagram sent to a client. Empty if the datagram is too short or the connection ID has
/// another length than those of clients.
std::optional<std::uint32_t> clientConnectionIdPrefix(std::span<const std::uint8_t> datagram);

/// One QUIC version 1 connection of a client. Uses no sockets, threads or clock. All entry hosts together are one QUIC path. The handle in its events is
/// always FlowHandle{1}.
class QuicClient
{
public:
    /// `destination` is the first destination connection ID: a resume identifier, or empty for a new flow. `random` and `sink` must outlive the client.
    QuicClient(QuicClientOptions options,
               std::shared_ptr<const TlsCredentials> credentials,
               std::span<const std::uint8_t> destination,
               QuicClientSink &sink,
               std::mt19937_64 &random,
               TimePoint now);
    ~QuicClient();
    QuicClient(const QuicClient &) = delete;
    QuicClient &operator=(const QuicClient &) = delete;

    void receive(TimePoint now, std::span<const std::uint8_t> datagram);
    /// Sends all packets that can be sent now. The first call sends the first Initial packet.
    void flush(TimePoint now);
    QuicEvents takeEvents();
    std::optional<TimePoint> nextTimeout() const;
    void handleTimeout(TimePoint now);

    /// Streams can be opened after FlowEstablished. This function and those below work like the ones of QuicServer.
    std::optional<StreamNumber> openBidirectionalStream();
    std::size_t write(StreamNumber stream, std::span<const std::uint8_t> bytes, bool end);
    void consume(StreamNumber stream, std::size_t bytes);
    void resetStream(StreamNumber stream, std::uint64_t code);
    void stopSending(StreamNumber stream, std::uint64_t code);
    void close(TimePoint now, std::uint64_t code, std::string_view reason);

    bool isEstablished() const;
    bool isEnded() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
