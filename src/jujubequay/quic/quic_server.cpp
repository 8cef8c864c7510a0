#include <jujubequay/quic/quic_server.h>

#include "quic_connection.h"

#include <ngtcp2/ngtcp2.h>
#include <ngtcp2/ngtcp2_crypto.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Jujubequay {

namespace {

/// Lower bound of the time to the next timeout, so that an owner never spins on a time that has passed.
constexpr Duration minimumTimeout = std::chrono::microseconds(100);
/// RFC 9000, 10.3: a stateless reset is indistinguishable from a short-header packet of at least this length.
constexpr std::size_t minimumResetLength = 21;
constexpr std::size_t maximumResetLength = 43;
/// RFC 9000, 6.1: smaller datagrams are not answered with a version negotiation.
constexpr std::size_t minimumOpeningLength = 1200;

constexpr std::uint8_t longHeaderBit = 0x80;

/// Identifiers are keys of maps; the longest is that of the client's first destination and source together.
using IdentifierKey = std::string;

IdentifierKey keyOf(const std::uint8_t *data, std::size_t length)
{
    return {reinterpret_cast<const char *>(data), length};
}

ngtcp2_cid cidOf(std::span<const std::uint8_t> bytes)
{
    ngtcp2_cid identifier;
    ngtcp2_cid_init(&identifier, bytes.data(), bytes.size());
    return identifier;
}

QuicConnectionOptions connectionOptions(const QuicServerOptions &options)
{
    QuicConnectionOptions result;
    result.idleTimeout = options.idleTimeout;
    result.handshakeTimeout = options.handshakeTimeout;
    result.keepAlive = options.keepAlive;
    result.streamWindow = options.streamWindow;
    result.flowWindow = options.flowWindow;
    result.maxBidirectionalStreams = options.maxStreamsPerFlow;
    result.sendBuffer = options.sendBuffer;
    result.maxMemory = options.maxFlowMemory;
    return result;
}

}

class QuicServer::Implementation final : public QuicConnectionHost
{
public:
    Implementation(QuicServerOptions options,
                   std::shared_ptr<const TlsCredentials> credentials,
                   IdentifierSource identifiers,
                   QuicServerSink &sink,
                   std::mt19937_64 &random)
        : m_options(options)
        , m_connectionOptions(connectionOptions(options))
        , m_credentials(std::move(credentials))
        , m_identifiers(std::move(identifiers))
        , m_sink(sink)
        , m_random(random)
    {
    }

    std::optional<FlowHandle> receive(TimePoint now, const HostAddress &caller, std::span<const std::uint8_t> datagram);
    void flush(TimePoint now);
    std::optional<TimePoint> nextTimeout() const;
    void handleTimeout(TimePoint now);
    QuicConnection *find(FlowHandle flow) const;
    /// The connection, which then takes part in the next flush; null if unknown.
    QuicConnection *change(FlowHandle flow);
    void rotateConnectionIds(TimePoint now, std::uint8_t keyNumber);
    std::array<std::size_t, flowKeyCount> flowCountsByKey() const;

    void sendDatagram(FlowHandle flow, const HostAddress &remote, std::span<const std::uint8_t> datagram) override;
    bool issueIdentifier(FlowHandle flow, ngtcp2_cid &identifier, std::size_t length, std::uint8_t *resetToken) override;
    void removeIdentifier(FlowHandle flow, const ngtcp2_cid &identifier) override;
    void rotationRequested(FlowHandle flow) override;

    const QuicServerOptions m_options;
    QuicEvents m_events;
    QuicServerStatistics m_statistics;
    bool m_refusing = false;

private:
    struct Entry {
        std::unique_ptr<QuicConnection> connection;
        IdentifierKey opening; ///< destination and source identifier of the first Initial
        std::set<FlowIdBytes> identifiers; ///< by which the client may send
        std::optional<std::uint8_t> wantedKey;
        TimePoint nextRotationRequest = TimePoint::max();
        TimePoint timeout = TimePoint::max(); ///< as entered in m_timeouts
        std::size_t memory = 0; ///< bytes, as counted in m_memory
        bool handshaking = true; ///< as counted in m_handshakes
    };

    std::optional<FlowHandle> open(TimePoint now, const HostAddress &caller, std::span<const std::uint8_t> datagram, const ngtcp2_version_cid &header);
    void refuse(const HostAddress &caller, const ngtcp2_version_cid &header);
    void sendReset(const HostAddress &caller, std::span<const std::uint8_t> datagram, const ngtcp2_version_cid &header);
    void negotiateVersion(const HostAddress &caller, std::span<const std::uint8_t> datagram, const ngtcp2_version_cid &header);
    bool hasRoom(bool isResume) const;
    bool usesOtherKey(const Entry &entry, std::uint8_t keyNumber) const;
    void continueRotation(TimePoint now, Entry &entry);
    void count(Entry &entry);
    void schedule(TimePoint now, FlowHandle flow, Entry &entry);
    void remove(FlowHandle flow);
    void resetToken(const ngtcp2_cid &identifier, std::uint8_t *token) const;

    const QuicConnectionOptions m_connectionOptions;
    const std::shared_ptr<const TlsCredentials> m_credentials;
    const IdentifierSource m_identifiers;
    QuicServerSink &m_sink;
    std::mt19937_64 &m_random;
    std::unordered_map<FlowHandle, Entry> m_flows;
    std::unordered_map<IdentifierKey, FlowHandle> m_issued;
    std::unordered_map<IdentifierKey, FlowHandle> m_openings;
    std::set<std::pair<TimePoint, FlowHandle>> m_timeouts;
    std::set<FlowHandle> m_changed;
    std::uint64_t m_lastFlow = 0;
    std::size_t m_memory = 0;
    std::size_t m_handshakes = 0;

    friend class QuicServer;
};

std::optional<FlowHandle> QuicServer::Implementation::receive(TimePoint now, const HostAddress &caller, std::span<const std::uint8_t> datagram)
{
    if (datagram.empty()) {
        // ngtcp2 ends the process on an empty packet.
        ++m_statistics.datagramsDropped;
        return std::nullopt;
    }
    ngtcp2_version_cid header;
    const int code = ngtcp2_pkt_decode_version_cid(&header, datagram.data(), datagram.size(), flowIdLength);
    if (code == NGTCP2_ERR_VERSION_NEGOTIATION) {
        negotiateVersion(caller, datagram, header);
        return std::nullopt;
    }
    if (code != 0) {
        ++m_statistics.datagramsDropped;
        return std::nullopt;
    }
    // The first bit tells the header forms apart; a long header with version 0 is a version negotiation, which only
    // servers send and whose identifiers may have any length.
    const bool longHeader = (datagram[0] & longHeaderBit) != 0;
    if (longHeader && header.version == 0) {
        ++m_statistics.datagramsDropped;
        return std::nullopt;
    }
    const IdentifierKey destination = keyOf(header.dcid, header.dcidlen);
    auto found = m_issued.find(destination);
    if (found == m_issued.end() && longHeader) {
        found = m_openings.find(destination + keyOf(header.scid, header.scidlen));
        if (found == m_openings.end()) {
            return open(now, caller, datagram, header);
        }
    } else if (found == m_issued.end()) {
        sendReset(caller, datagram, header);
        return std::nullopt;
    }
    const FlowHandle flow = found->second;
    m_flows.at(flow).connection->receive(now, caller, datagram);
    m_changed.insert(flow);
    return flow;
}

bool QuicServer::Implementation::hasRoom(bool isResume) const
{
    const bool isWanted = !m_refusing || isResume;
    return isWanted && m_flows.size() < m_options.maxFlows && m_handshakes < m_options.maxHandshakes && m_memory < m_options.maxTotalMemory;
}

std::optional<FlowHandle> QuicServer::Implementation::open(TimePoint now,
                                                           const HostAddress &caller,
                                                           std::span<const std::uint8_t> datagram,
                                                           const ngtcp2_version_cid &header)
{
    ngtcp2_pkt_hd initial;
    if (ngtcp2_accept(&initial, datagram.data(), datagram.size()) != 0) {
        ++m_statistics.datagramsDropped;
        return std::nullopt;
    }
    // Only a resume identifier, which this agent issued, is as long as a flow identifier: the caller asks for the answers
    // to its earlier requests.
    if (!hasRoom(header.dcidlen == flowIdLength)) {
        refuse(caller, header);
        return std::nullopt;
    }
    const FlowHandle flow{++m_lastFlow};
    Entry &entry = m_flows[flow];
    ++m_handshakes;
    entry.opening = keyOf(header.dcid, header.dcidlen) + keyOf(header.scid, header.scidlen);
    entry.connection = std::make_unique<QuicConnection>(flow, m_connectionOptions, *this, m_events, m_random);
    QuicConnection::ServerStart start{initial.scid, initial.dcid, {}, {}, initial.version};
    const bool started
        = issueIdentifier(flow, start.identifier, flowIdLength, start.resetToken.data()) && entry.connection->startServer(start, *m_credentials, caller, now);
    if (!started) {
        remove(flow);
        ++m_statistics.flowsRefused;
        return std::nullopt;
    }
    m_openings.emplace(entry.opening, flow);
    ++m_statistics.flowsAccepted;
    entry.connection->receive(now, caller, datagram);
    m_changed.insert(flow);
    return flow;
}

void QuicServer::Implementation::refuse(const HostAddress &caller, const ngtcp2_version_cid &header)
{
    ++m_statistics.flowsRefused;
    const ngtcp2_cid destination = cidOf({header.scid, header.scidlen});
    const ngtcp2_cid source = cidOf({header.dcid, header.dcidlen});
    std::array<std::uint8_t, maxDatagramLength> out;
    const ngtcp2_ssize length
        = ngtcp2_crypto_write_connection_close(out.data(), out.size(), header.version, &destination, &source, NGTCP2_CONNECTION_REFUSED, nullptr, 0);
    if (length > 0) {
        sendDatagram({}, caller, std::span(out).first(static_cast<std::size_t>(length)));
    }
}

void QuicServer::Implementation::sendReset(const HostAddress &caller, std::span<const std::uint8_t> datagram, const ngtcp2_version_cid &header)
{
    ++m_statistics.datagramsDropped;
    // Smaller than what was received, so that two endpoints cannot answer each other's resets forever.
    const std::size_t length = std::min(datagram.size() - 1, maximumResetLength);
    if (length < minimumResetLength) {
        return;
    }
    std::array<std::uint8_t, NGTCP2_STATELESS_RESET_TOKENLEN> token;
    resetToken(cidOf({header.dcid, header.dcidlen}), token.data());
    std::array<std::uint8_t, maximumResetLength> noise;
    std::generate(noise.begin(), noise.end(), [this] {
        return static_cast<std::uint8_t>(m_random());
    });
    std::array<std::uint8_t, maximumResetLength> out;
    const ngtcp2_ssize written = ngtcp2_pkt_write_stateless_reset(out.data(), length, token.data(), noise.data(), length - NGTCP2_STATELESS_RESET_TOKENLEN);
    if (written > 0) {
        ++m_statistics.resetsSent;
        sendDatagram({}, caller, std::span(out).first(static_cast<std::size_t>(written)));
    }
}

void QuicServer::Implementation::negotiateVersion(const HostAddress &caller, std::span<const std::uint8_t> datagram, const ngtcp2_version_cid &header)
{
    ++m_statistics.datagramsDropped;
    if (datagram.size() < minimumOpeningLength) {
        return;
    }
    std::array<std::uint8_t, maxDatagramLength> out;
    const std::uint32_t version = NGTCP2_PROTO_VER_V1;
    const ngtcp2_ssize length = ngtcp2_pkt_write_version_negotiation(
        out.data(), out.size(), static_cast<std::uint8_t>(m_random()), header.scid, header.scidlen, header.dcid, header.dcidlen, &version, 1);
    if (length > 0) {
        sendDatagram({}, caller, std::span(out).first(static_cast<std::size_t>(length)));
    }
}

void QuicServer::Implementation::flush(TimePoint now)
{
    for (const FlowHandle flow : std::exchange(m_changed, {})) {
        Entry &entry = m_flows.at(flow);
        continueRotation(now, entry);
        entry.connection->flush(now);
        count(entry);
        if (entry.connection->isEnded()) {
            remove(flow);
        } else {
            schedule(now, flow, entry);
        }
    }
}

void QuicServer::Implementation::count(Entry &entry)
{
    m_memory += entry.connection->memoryBytes() - entry.memory;
    entry.memory = entry.connection->memoryBytes();
    if (entry.handshaking && entry.connection->isEstablished()) {
        entry.handshaking = false;
        --m_handshakes;
    }
}

void QuicServer::Implementation::schedule(TimePoint now, FlowHandle flow, Entry &entry)
{
    const TimePoint due = std::min(entry.connection->expiry(), entry.nextRotationRequest);
    const TimePoint timeout = std::max(due, now + minimumTimeout);
    if (timeout == entry.timeout) {
        return;
    }
    m_timeouts.erase({entry.timeout, flow});
    entry.timeout = timeout;
    m_timeouts.emplace(timeout, flow);
}

void QuicServer::Implementation::remove(FlowHandle flow)
{
    const auto found = m_flows.find(flow);
    for (const FlowIdBytes &identifier : found->second.identifiers) {
        m_issued.erase(keyOf(identifier.data(), identifier.size()));
    }
    m_openings.erase(found->second.opening);
    m_timeouts.erase({found->second.timeout, flow});
    m_memory -= found->second.memory;
    m_handshakes -= found->second.handshaking ? 1 : 0;
    m_flows.erase(found);
}

std::optional<TimePoint> QuicServer::Implementation::nextTimeout() const
{
    if (m_timeouts.empty() || m_timeouts.begin()->first == TimePoint::max()) {
        return std::nullopt;
    }
    return m_timeouts.begin()->first;
}

void QuicServer::Implementation::handleTimeout(TimePoint now)
{
    for (auto due = m_timeouts.begin(); due != m_timeouts.end() && due->first <= now; ++due) {
        m_changed.insert(due->second);
    }
    flush(now);
}

QuicConnection *QuicServer::Implementation::find(FlowHandle flow) const
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() ? nullptr : found->second.connection.get();
}

QuicConnection *QuicServer::Implementation::change(FlowHandle flow)
{
    QuicConnection *connection = find(flow);
    if (connection != nullptr) {
        m_changed.insert(flow);
    }
    return connection;
}

bool QuicServer::Implementation::usesOtherKey(const Entry &entry, std::uint8_t keyNumber) const
{
    return std::any_of(entry.identifiers.begin(), entry.identifiers.end(), [keyNumber](const FlowIdBytes &identifier) {
        return flowIdKeyNumber(identifier) != keyNumber;
    });
}

void QuicServer::Implementation::rotateConnectionIds(TimePoint now, std::uint8_t keyNumber)
{
    for (auto &[flow, entry] : m_flows) {
        entry.wantedKey = keyNumber;
        entry.nextRotationRequest = now;
        m_changed.insert(flow);
    }
}

void QuicServer::Implementation::continueRotation(TimePoint now, Entry &entry)
{
    if (!entry.wantedKey || entry.nextRotationRequest > now) {
        return;
    }
    if (!usesOtherKey(entry, *entry.wantedKey)) {
        entry.wantedKey.reset();
        entry.nextRotationRequest = TimePoint::max();
        return;
    }
    // The client retires one identifier for each request; the datagram may be lost, so requests repeat until done.
    entry.connection->requestRotation(now);
    entry.nextRotationRequest = now + m_options.rotationInterval;
}

std::array<std::size_t, flowKeyCount> QuicServer::Implementation::flowCountsByKey() const
{
    std::array<std::size_t, flowKeyCount> counts{};
    for (const auto &[flow, entry] : m_flows) {
        std::set<std::uint8_t> numbers;
        for (const FlowIdBytes &identifier : entry.identifiers) {
            numbers.insert(flowIdKeyNumber(identifier));
        }
        for (const std::uint8_t number : numbers) {
            ++counts[number];
        }
    }
    return counts;
}

void QuicServer::Implementation::sendDatagram(FlowHandle flow, const HostAddress &remote, std::span<const std::uint8_t> datagram)
{
    m_sink.sendDatagram(flow, remote, datagram);
}

bool QuicServer::Implementation::issueIdentifier(FlowHandle flow, ngtcp2_cid &identifier, std::size_t length, std::uint8_t *token)
{
    const FlowIdBytes bytes = m_identifiers();
    const auto [position, inserted] = m_issued.emplace(keyOf(bytes.data(), bytes.size()), flow);
    if (!inserted || length != bytes.size()) {
        return false;
    }
    m_flows.at(flow).identifiers.insert(bytes);
    identifier = cidOf(bytes);
    resetToken(identifier, token);
    return true;
}

void QuicServer::Implementation::removeIdentifier(FlowHandle flow, const ngtcp2_cid &identifier)
{
    FlowIdBytes bytes{};
    std::copy_n(identifier.data, std::min(identifier.datalen, bytes.size()), bytes.begin());
    if (m_flows.at(flow).identifiers.erase(bytes) > 0) {
        m_issued.erase(keyOf(identifier.data, identifier.datalen));
    }
}

void QuicServer::Implementation::rotationRequested(FlowHandle)
{
    // Only servers request rotations; a client's datagram is ignored.
}

void QuicServer::Implementation::resetToken(const ngtcp2_cid &identifier, std::uint8_t *token) const
{
    ngtcp2_crypto_generate_stateless_reset_token(token, m_options.statelessResetKey.data(), m_options.statelessResetKey.size(), &identifier);
}

QuicServer::QuicServer(
    QuicServerOptions options, std::shared_ptr<const TlsCredentials> credentials, IdentifierSource identifiers, QuicServerSink &sink, std::mt19937_64 &random)
    : m_implementation(std::make_unique<Implementation>(options, std::move(credentials), std::move(identifiers), sink, random))
{
}

QuicServer::~QuicServer() = default;

std::optional<FlowHandle> QuicServer::receive(TimePoint now, const HostAddress &caller, std::span<const std::uint8_t> datagram)
{
    return m_implementation->receive(now, caller, datagram);
}

void QuicServer::flush(TimePoint now)
{
    m_implementation->flush(now);
}

QuicEvents QuicServer::takeEvents()
{
    return std::exchange(m_implementation->m_events, {});
}

std::optional<TimePoint> QuicServer::nextTimeout() const
{
    return m_implementation->nextTimeout();
}

void QuicServer::handleTimeout(TimePoint now)
{
    m_implementation->handleTimeout(now);
}

std::size_t QuicServer::write(FlowHandle flow, StreamNumber stream, std::span<const std::uint8_t> bytes, bool end)
{
    QuicConnection *connection = m_implementation->change(flow);
    return connection == nullptr ? 0 : connection->write(stream, bytes, end);
}

std::optional<StreamNumber> QuicServer::openUnidirectionalStream(FlowHandle flow)
{
    QuicConnection *connection = m_implementation->change(flow);
    return connection == nullptr ? std::nullopt : connection->openUnidirectionalStream();
}

void QuicServer::consume(FlowHandle flow, StreamNumber stream, std::size_t bytes)
{
    if (QuicConnection *connection = m_implementation->change(flow)) {
        connection->consume(stream, bytes);
    }
}

void QuicServer::resetStream(FlowHandle flow, StreamNumber stream, std::uint64_t code)
{
    if (QuicConnection *connection = m_implementation->change(flow)) {
        connection->resetStream(stream, code);
    }
}

void QuicServer::stopSending(FlowHandle flow, StreamNumber stream, std::uint64_t code)
{
    if (QuicConnection *connection = m_implementation->change(flow)) {
        connection->stopSending(stream, code);
    }
}

void QuicServer::close(TimePoint now, FlowHandle flow, std::uint64_t code, std::string_view reason)
{
    if (QuicConnection *connection = m_implementation->change(flow)) {
        connection->close(now, code, reason);
    }
}

void QuicServer::closeAfterDelivery(TimePoint now, FlowHandle flow, std::uint64_t code, std::string_view reason)
{
    if (QuicConnection *connection = m_implementation->change(flow)) {
        connection->closeAfterDelivery(now, code, reason);
    }
}

void QuicServer::refuseNewFlows()
{
    m_implementation->m_refusing = true;
}

std::size_t QuicServer::unacknowledgedBytes(FlowHandle flow) const
{
    const QuicConnection *connection = m_implementation->find(flow);
    return connection == nullptr ? 0 : connection->sendBufferBytes();
}

void QuicServer::rotateConnectionIds(TimePoint now, std::uint8_t keyNumber)
{
    m_implementation->rotateConnectionIds(now, keyNumber);
}

std::array<std::size_t, flowKeyCount> QuicServer::flowCountsByKey() const
{
    return m_implementation->flowCountsByKey();
}

std::size_t QuicServer::flowCount() const
{
    return m_implementation->m_flows.size();
}

std::size_t QuicServer::memoryBytes() const
{
    return m_implementation->m_memory;
}

const QuicServerStatistics &QuicServer::statistics() const
{
    return m_implementation->m_statistics;
}

}
