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

/// Takes the datagrams that a client sends; the entry host for each is chosen outside.
class QuicClientSink
{
public:
    virtual ~QuicClientSink() = default;
    virtual void sendDatagram(std::span<const std::uint8_t> datagram) = 0;
};

struct QuicClientOptions {
    std::string serviceName; ///< must be in the server's certificate
    Duration idleTimeout = std::chrono::seconds(60);
    Duration handshakeTimeout = std::chrono::seconds(10);
    Duration keepAlive = std::chrono::seconds(15);
    std::uint64_t streamWindow = 256U << 10U; ///< bytes received on one stream and not consumed
    std::uint64_t flowWindow = 1U << 20U;
    std::size_t sendBuffer = 1U << 20U; ///< bytes queued or not acknowledged
    std::uint32_t connectionIdPrefix = 0; ///< first 4 bytes of the client's 8-byte identifiers
};

/// Length in bytes of the identifiers by which a client receives.
constexpr std::size_t clientIdentifierLength = 8;

/// Reads the identifier prefix of a datagram sent to a client; empty if it is too short.
std::optional<std::uint32_t> clientConnectionIdPrefix(std::span<const std::uint8_t> datagram);

/// One QUIC version 1 connection of a client, without sockets, threads or a clock. All entry hosts count as one path.
/// The handle in its events is always FlowHandle{1}.
class QuicClient
{
public:
    /// `destination` is empty for a new flow or a resume identifier. `random` and `sink` outlive the client.
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
    /// Sends what is due; the first call sends the first Initial.
    void flush(TimePoint now);
    QuicEvents takeEvents();
    std::optional<TimePoint> nextTimeout() const;
    void handleTimeout(TimePoint now);

    /// See QuicServer. Streams are opened after FlowEstablished.
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
