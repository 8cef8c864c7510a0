#include <jujubequay/quic/quic_client.h>

#include "quic_connection.h"

#include <jujubequay/wire/byte_order.h>

#include <gnutls/crypto.h>

#include <algorithm>
#include <array>
#include <utility>

namespace Jujubequay {

namespace {

constexpr FlowHandle onlyFlow{1};
/// Stands for every entry host; datagrams are spread over them outside.
constexpr HostAddress anyEntryHost{0x7f000001U, 4433};
/// Length of the first destination identifier of a new flow. Differs from flowIdLength, so that no balancer takes it
/// for a flow identifier.
constexpr std::size_t openingIdentifierLength = 16;
/// Streams that the server may open: the greeting.
constexpr std::uint64_t maxServerStreams = 8;
/// Lower bound of the time to the next timeout, so that an owner never spins on a time that has passed.
constexpr Duration minimumTimeout = std::chrono::microseconds(100);
constexpr std::uint8_t longHeaderBit = 0x80;
/// Position of the destination identifier's length in a long header (RFC 9000, 17.2).
constexpr std::size_t longHeaderLengthPosition = 5;

QuicConnectionOptions connectionOptions(const QuicClientOptions &options)
{
    QuicConnectionOptions result;
    result.idleTimeout = options.idleTimeout;
    result.handshakeTimeout = options.handshakeTimeout;
    result.keepAlive = options.keepAlive;
    result.streamWindow = options.streamWindow;
    result.flowWindow = options.flowWindow;
    result.maxUnidirectionalStreams = maxServerStreams;
    result.sendBuffer = options.sendBuffer;
    return result;
}

}

std::optional<std::uint32_t> clientConnectionIdPrefix(std::span<const std::uint8_t> datagram)
{
    if (datagram.empty()) {
        return std::nullopt;
    }
    const bool longHeader = (datagram[0] & longHeaderBit) != 0;
    const std::size_t start = longHeader ? longHeaderLengthPosition + 1 : 1;
    if (datagram.size() < start + clientIdentifierLength || (longHeader && datagram[longHeaderLengthPosition] != clientIdentifierLength)) {
        return std::nullopt;
    }
    const std::uint8_t *in = datagram.data() + start;
    return readBigEndian<std::uint32_t>(in);
}

class QuicClient::Implementation final : public QuicConnectionHost
{
public:
    Implementation(QuicClientOptions options, std::shared_ptr<const TlsCredentials> credentials, QuicClientSink &sink, std::mt19937_64 &random)
        : m_options(std::move(options))
        , m_credentials(std::move(credentials))
        , m_sink(sink)
        , m_random(random)
        , m_connection(onlyFlow, connectionOptions(m_options), *this, m_events, random)
    {
    }

    void start(std::span<const std::uint8_t> destination, TimePoint now)
    {
        QuicConnection::ClientStart start;
        start.serviceName = m_options.serviceName;
        makeIdentifier(start.identifier);
        if (destination.empty()) {
            start.destination.datalen = openingIdentifierLength;
            fillRandom(std::span(start.destination.data).first(openingIdentifierLength));
        } else {
            ngtcp2_cid_init(&start.destination, destination.data(), std::min<std::size_t>(destination.size(), NGTCP2_MAX_CIDLEN));
        }
        m_started = m_connection.startClient(start, *m_credentials, anyEntryHost, now);
        if (!m_started) {
            m_events.emplace_back(FlowEnded{onlyFlow, FlowEndCause::HandshakeFailed, 0, "out of memory"});
        }
    }

    void flush(TimePoint now)
    {
        if (!m_started) {
            return;
        }
        if (m_rotationRequested && m_connection.rotateIdentifier(now)) {
            m_rotationRequested = false;
        }
        m_connection.flush(now);
        m_timeout = std::max(m_connection.expiry(), now + minimumTimeout);
    }

    void sendDatagram(FlowHandle, const HostAddress &, std::span<const std::uint8_t> datagram) override
    {
        m_sink.sendDatagram(datagram);
    }

    bool issueIdentifier(FlowHandle, ngtcp2_cid &identifier, std::size_t, std::uint8_t *resetToken) override
    {
        makeIdentifier(identifier);
        return gnutls_rnd(GNUTLS_RND_RANDOM, resetToken, NGTCP2_STATELESS_RESET_TOKENLEN) == 0;
    }

    void removeIdentifier(FlowHandle, const ngtcp2_cid &) override
    {
        // Datagrams reach a client by the prefix, which all its identifiers share.
    }

    void rotationRequested(FlowHandle) override
    {
        m_rotationRequested = true;
    }

private:
    void fillRandom(std::span<std::uint8_t> out)
    {
        std::generate(out.begin(), out.end(), [this] {
            return static_cast<std::uint8_t>(m_random());
        });
    }

    void makeIdentifier(ngtcp2_cid &identifier)
    {
        identifier.datalen = clientIdentifierLength;
        writeBigEndian(identifier.data, m_options.connectionIdPrefix);
        fillRandom(std::span(identifier.data).subspan(sizeof(m_options.connectionIdPrefix), clientIdentifierLength - sizeof(m_options.connectionIdPrefix)));
    }

    const QuicClientOptions m_options;
    const std::shared_ptr<const TlsCredentials> m_credentials;
    QuicClientSink &m_sink;
    std::mt19937_64 &m_random;
    QuicEvents m_events;
    QuicConnection m_connection;
    bool m_started = false;
    bool m_rotationRequested = false;
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
    // ngtcp2 ends the process on an empty packet.
    if (m_implementation->m_started && !datagram.empty()) {
        m_implementation->m_connection.receive(now, anyEntryHost, datagram);
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
    if (m_implementation->m_started) {
        m_implementation->m_connection.close(now, code, reason);
    }
}

bool QuicClient::isEstablished() const
{
    return m_implementation->m_connection.isEstablished();
}

bool QuicClient::isEnded() const
{
    return !m_implementation->m_started || m_implementation->m_connection.isEnded();
}

}
