#include <jujubequay/quic/quic_client.h>

#include "quic_connection.h"

#include <jujubequay/wire/byte_order.h>

#include <gnutls/crypto.h>

#include <algorithm>
#include <array>
#include <utility>

namespace Jujubequay {

namespace {

/// Handle of the client's only connection.
constexpr FlowHandle clientFlow{1};
/// Remote address that represents all entry hosts: the sink distributes datagrams over them, and QUIC treats them as one path.
constexpr HostAddress anyEntryHostAddress{0x7f000001U, 4433};
/// Length in bytes of the random destination connection ID in the Initial packet of a new flow. Differs from flowIdLength, so that balancers do not
/// mistake it for a flow identifier.
constexpr std::size_t initialDestinationIdLength = 16;
/// Unidirectional streams that the server may open, for example for its greeting.
constexpr std::uint64_t maxServerStreams = 8;
/// Smallest delay of the next timeout, so that the owner's event loop does not busy-loop on a timeout in the past.
constexpr Duration minimumTimeoutDelay = std::chrono::microseconds(100);
constexpr std::uint8_t longHeaderBit = 0x80;
/// Position of the length of the destination connection ID in a long header (RFC 9000, 17.2).
constexpr std::size_t longHeaderLengthPosition = 5;

QuicConnectionOptions connectionOptions(const QuicClientOptions &options)
{
    QuicConnectionOptions result;
    result.idleTimeout = options.idleTimeout;
    result.handshakeTimeout = options.handshakeTimeout;
    result.keepAlive = options.keepAlive;
    result.streamWindowBytes = options.streamWindowBytes;
    result.flowWindowBytes = options.flowWindowBytes;
    result.maxUnidirectionalStreams = maxServerStreams;
    result.maxSendBufferBytes = options.maxSendBufferBytes;
    return result;
}

}

std::optional<std::uint32_t> clientConnectionIdPrefix(std::span<const std::uint8_t> datagram)
{
    if (datagram.empty()) {
        return std::nullopt;
    }
    const bool isLongHeader = (datagram[0] & longHeaderBit) != 0;
    const std::size_t start = isLongHeader ? longHeaderLengthPosition + 1 : 1;
    if (datagram.size() < start + clientConnectionIdLength || (isLongHeader && datagram[longHeaderLengthPosition] != clientConnectionIdLength)) {
        return std::nullopt;
    }
    const std::uint8_t *in = datagram.data() + start;
    return readBigEndian<std::uint32_t>(in);
}

class QuicClient::Implementation final : public QuicEndpoint
{
public:
    Implementation(QuicClientOptions options, std::shared_ptr<const TlsCredentials> credentials, QuicClientSink &sink, std::mt19937_64 &random)
        : m_options(std::move(options))
        , m_credentials(std::move(credentials))
        , m_sink(sink)
        , m_random(random)
        , m_connection(clientFlow, connectionOptions(m_options), *this, m_events, random)
    {
    }

    void start(std::span<const std::uint8_t> destination, TimePoint now)
    {
        QuicConnection::ClientStart start;
        start.serviceName = m_options.serviceName;
        makeConnectionId(start.connectionId);
        if (destination.empty()) {
            start.destination.datalen = initialDestinationIdLength;
            fillRandom(std::span(start.destination.data).first(initialDestinationIdLength));
        } else {
            ngtcp2_cid_init(&start.destination, destination.data(), std::min<std::size_t>(destination.size(), NGTCP2_MAX_CIDLEN));
        }
        m_isStarted = m_connection.startClient(start, *m_credentials, anyEntryHostAddress, now);
        if (!m_isStarted) {
            m_events.emplace_back(FlowEnded{clientFlow, FlowEndCause::HandshakeFailed, 0, "out of memory"});
        }
    }

    void flush(TimePoint now)
    {
        if (!m_isStarted) {
            return;
        }
        if (m_isRotationRequested && m_connection.rotateConnectionId(now)) {
            m_isRotationRequested = false;
        }
        m_connection.flush(now);
        m_timeout = std::max(m_connection.expiry(), now + minimumTimeoutDelay);
    }

    void sendDatagram(FlowHandle, const HostAddress &, std::span<const std::uint8_t> datagram) override
    {
        m_sink.sendDatagram(datagram);
    }

    bool issueConnectionId(FlowHandle, ngtcp2_cid &connectionId, std::size_t, std::uint8_t *resetToken) override
    {
        makeConnectionId(connectionId);
        return gnutls_rnd(GNUTLS_RND_RANDOM, resetToken, NGTCP2_STATELESS_RESET_TOKENLEN) == 0;
    }

    void removeConnectionId(FlowHandle, const ngtcp2_cid &) override
    {
        // Nothing to remove: datagrams are assigned to a client by the prefix that all its connection IDs share.
    }

    void handleRotationRequest(FlowHandle) override
    {
        m_isRotationRequested = true;
    }

private:
    void fillRandom(std::span<std::uint8_t> out)
    {
        std::generate(out.begin(), out.end(), [this] {
            return static_cast<std::uint8_t>(m_random());
        });
    }

    void makeConnectionId(ngtcp2_cid &connectionId)
    {
        connectionId.datalen = clientConnectionIdLength;
        writeBigEndian(connectionId.data, m_options.connectionIdPrefix);
        fillRandom(std::span(connectionId.data).subspan(sizeof(m_options.connectionIdPrefix), clientConnectionIdLength - sizeof(m_options.connectionIdPrefix)));
    }

    const QuicClientOptions m_options;
    const std::shared_ptr<const TlsCredentials> m_credentials;
    QuicClientSink &m_sink;
    std::mt19937_64 &m_random;
    QuicEvents m_events;
    QuicConnection m_connection;
    bool m_isStarted = false;
    bool m_isRotationRequested = false;
    TimePoint m_timeout = TimePoint::max();

    friend class QuicClient;
};

QuicClient::QuicClient(QuicClientOptions options,
                       std::shared_ptr<const TlsCredentials> credentials,
                       std::span<const std::uint8_t> destination,
                       QuicClientSink &sink,
                       std::mt19937_64 &random,
                       TimePoint now)
    : m_implementation(std::make_unique<Implementation>(std::move(options), std::move(credentials), sink, random))
{
    m_implementation->start(destination, now);
}

QuicClient::~QuicClient() = default;

void QuicClient::receive(TimePoint now, std::span<const std::uint8_t> datagram)
{
    // ngtcp2 aborts the process on an empty packet.
    if (m_implementation->m_isStarted && !datagram.empty()) {
        m_implementation->m_connection.receive(now, anyEntryHostAddress, datagram);
    }
}

void QuicClient::flush(TimePoint now)
{
    m_implementation->flush(now);
}

QuicEvents QuicClient::takeEvents()
{
    return std::exchange(m_implementation->m_events, {});
}

std::optional<TimePoint> QuicClient::nextTimeout() const
{
    if (isEnded() || m_implementation->m_timeout == TimePoint::max()) {
        return std::nullopt;
    }
    return m_implementation->m_timeout;
}

void QuicClient::handleTimeout(TimePoint now)
{
    flush(now);
}

std::optional<StreamNumber> QuicClient::openBidirectionalStream()
{
    return m_implementation->m_connection.openBidirectionalStream();
}

std::size_t QuicClient::write(StreamNumber stream, std::span<const std::uint8_t> bytes, bool end)
{
    return m_implementation->m_connection.write(stream, bytes, end);
}

void QuicClient::consume(StreamNumber stream, std::size_t bytes)
{
    m_implementation->m_connection.consume(stream, bytes);
}

void QuicClient::resetStream(StreamNumber stream, std::uint64_t code)
{
    m_implementation->m_connection.resetStream(stream, code);
}

void QuicClient::stopSending(StreamNumber stream, std::uint64_t code)
{
    m_implementation->m_connection.stopSending(stream, code);
}

void QuicClient::close(TimePoint now, std::uint64_t code, std::string_view reason)
{
    if (m_implementation->m_isStarted) {
        m_implementation->m_connection.close(now, code, reason);
    }
}

bool QuicClient::isEstablished() const
{
    return m_implementation->m_connection.isEstablished();
}

bool QuicClient::isEnded() const
{
    return !m_implementation->m_isStarted || m_implementation->m_connection.isEnded();
}

}
