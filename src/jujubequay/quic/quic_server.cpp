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

/// Smallest delay of the next timeout, so that the owner's event loop does not busy-loop on a timeout in the past.
constexpr Duration minimumTimeoutDelay = std::chrono::microseconds(100);
/// RFC 9000, 10.3: a stateless reset is indistinguishable from a short-header packet of at least this length.
constexpr std::size_t minimumResetLength = 21; // bytes
constexpr std::size_t maximumResetLength = 43; // bytes
/// RFC 9000, 6.1: the server sends no version negotiation in reply to a smaller datagram.
constexpr std::size_t minimumInitialLength = 1200; // bytes

constexpr std::uint8_t longHeaderBit = 0x80;

/// Map key: the bytes of a connection ID, or the destination and the source connection ID of a client's first Initial packet together.
using ConnectionIdKey = std::string;

ConnectionIdKey connectionIdKeyOf(const std::uint8_t *data, std::size_t length)
{
    return {reinterpret_cast<const char *>(data), length};
}

ngtcp2_cid toConnectionId(std::span<const std::uint8_t> bytes)
{
    ngtcp2_cid connectionId;
    ngtcp2_cid_init(&connectionId, bytes.data(), bytes.size());
    return connectionId;
}

QuicConnectionOptions connectionOptions(const QuicServerOptions &options)
{
    QuicConnectionOptions result;
    result.idleTimeout = options.idleTimeout;
    result.handshakeTimeout = options.handshakeTimeout;
    result.keepAlive = options.keepAlive;
    result.streamWindowBytes = options.streamWindowBytes;
    result.flowWindowBytes = options.flowWindowBytes;
    result.maxBidirectionalStreams = options.maxStreamsPerFlow;
    result.maxSendBufferBytes = options.maxSendBufferBytes;
    result.maxMemoryBytes = options.maxFlowMemoryBytes;
    return result;
}

}

class QuicServer::Implementation final : public QuicEndpoint
{
public:
    Implementation(QuicServerOptions options,
                   std::shared_ptr<const TlsCredentials> credentials,
                   ConnectionIdSource connectionIdSource,
                   QuicServerSink &sink,
                   std::mt19937_64 &random)
        : m_options(std::move(options))
        , m_connectionOptions(connectionOptions(m_options))
        , m_credentials(std::move(credentials))
        , m_connectionIdSource(std::move(connectionIdSource))
        , m_sink(sink)
        , m_random(random)
    {
    }

    std::optional<FlowHandle> receive(TimePoint now, const HostAddress &caller, std::span<const std::uint8_t> datagram);
    void resetEarlierFlow(const HostAddress &caller, std::span<const std::uint8_t> datagram);
    void flush(TimePoint now);
    std::optional<TimePoint> nextTimeout() const;
    void handleTimeout(TimePoint now);
    QuicConnection *find(FlowHandle flow) const;
    /// Returns the connection, or null if unknown, and marks it for the next flush.
    QuicConnection *findForUpdate(FlowHandle flow);
    void rotateConnectionIds(TimePoint now, std::uint8_t keyNumber);
    std::array<std::size_t, flowKeyCount> flowCountsByKey() const;

    void sendDatagram(FlowHandle flow, const HostAddress &remote, std::span<const std::uint8_t> datagram) override;
    bool issueConnectionId(FlowHandle flow, ngtcp2_cid &connectionId, std::size_t length, std::uint8_t *resetToken) override;
    void removeConnectionId(FlowHandle flow, const ngtcp2_cid &connectionId) override;
    void handleRotationRequest(FlowHandle flow) override;

    const QuicServerOptions m_options;
    QuicEvents m_events;
    QuicServerStatistics m_statistics;
    bool m_isRefusingNewFlows = false;

private:
    struct FlowEntry {
        std::unique_ptr<QuicConnection> connection;
        ConnectionIdKey initialIds; ///< destination and source connection ID of the first Initial packet
        std::set<FlowIdBytes> connectionIds; ///< issued and not retired: the client may send to them
        std::optional<std::uint8_t>
            targetKeyNumber; ///< key number that the client's connection IDs must have after the rotation; empty: no rotation in progress
        TimePoint nextRotationRequest = TimePoint::max();
        TimePoint timeout = TimePoint::max(); ///< the flow's entry in m_timeouts
        std::size_t countedMemoryBytes = 0; ///< the flow's share of m_memoryBytes
        bool isHandshaking = true; ///< true while the flow is counted in m_handshakeCount
    };

    std::optional<FlowHandle> open(TimePoint now, const HostAddress &caller, std::span<const std::uint8_t> datagram, const ngtcp2_version_cid &header);
    void refuse(const HostAddress &caller, const ngtcp2_version_cid &header);
    void sendReset(const HostAddress &caller, std::span<const std::uint8_t> datagram, const ngtcp2_version_cid &header);
    void sendVersionNegotiation(const HostAddress &caller, std::span<const std::uint8_t> datagram, const ngtcp2_version_cid &header);
    bool canAccept(bool isResume) const;
    bool usesAnotherKey(const FlowEntry &entry, std::uint8_t keyNumber) const;
    void continueRotation(TimePoint now, FlowEntry &entry);
    void updateTotals(FlowEntry &entry);
    void scheduleTimeout(TimePoint now, FlowHandle flow, FlowEntry &entry);
    void remove(FlowHandle flow);
    bool makeResetToken(const ngtcp2_cid &connectionId, std::uint8_t *token) const;

    const QuicConnectionOptions m_connectionOptions;
    const std::shared_ptr<const TlsCredentials> m_credentials;
    const ConnectionIdSource m_connectionIdSource;
    QuicServerSink &m_sink;
    std::mt19937_64 &m_random;
    std::unordered_map<FlowHandle, FlowEntry> m_flows;
    std::unordered_map<ConnectionIdKey, FlowHandle> m_flowsByConnectionId;
    std::unordered_map<ConnectionIdKey, FlowHandle> m_flowsByInitialIds;
    std::set<std::pair<TimePoint, FlowHandle>> m_timeouts;
    std::set<FlowHandle> m_flowsToFlush;
    std::uint64_t m_lastFlow = 0;
    std::size_t m_memoryBytes = 0;
    std::size_t m_handshakeCount = 0;

    friend class QuicServer;
};

std::optional<FlowHandle> QuicServer::Implementation::receive(TimePoint now, const HostAddress &caller, std::span<const std::uint8_t> datagram)
{
    if (datagram.empty()) {
        // ngtcp2 aborts the process on an empty packet.
        ++m_statistics.datagramsDropped;
        return std::nullopt;
    }
    ngtcp2_version_cid header;
    const int code = ngtcp2_pkt_decode_version_cid(&header, datagram.data(), datagram.size(), flowIdLength);
    if (code == NGTCP2_ERR_VERSION_NEGOTIATION) {
        sendVersionNegotiation(caller, datagram, header);
        return std::nullopt;
    }
    if (code != 0) {
        ++m_statistics.datagramsDropped;
        return std::nullopt;
    }
    // A long header with version 0 is a version negotiation packet. Only servers send these, and their connection IDs may have any length.
    const bool isLongHeader = (datagram[0] & longHeaderBit) != 0;
    if (isLongHeader && header.version == 0) {
        ++m_statistics.datagramsDropped;
        return std::nullopt;
    }
    const ConnectionIdKey destination = connectionIdKeyOf(header.dcid, header.dcidlen);
    auto found = m_flowsByConnectionId.find(destination);
    if (found == m_flowsByConnectionId.end() && isLongHeader) {
        found = m_flowsByInitialIds.find(destination + connectionIdKeyOf(header.scid, header.scidlen));
        if (found == m_flowsByInitialIds.end()) {
            return open(now, caller, datagram, header);
        }
    } else if (found == m_flowsByConnectionId.end()) {
        sendReset(caller, datagram, header);
        return std::nullopt;
    }
    const FlowHandle flow = found->second;
    m_flows.at(flow).connection->receive(now, caller, datagram);
    m_flowsToFlush.insert(flow);
    return flow;
}

bool QuicServer::Implementation::canAccept(bool isResume) const
{
    const bool isAllowed = !m_isRefusingNewFlows || isResume;
    return isAllowed && m_flows.size() < m_options.maxFlows && m_handshakeCount < m_options.maxHandshakes && m_memoryBytes < m_options.maxTotalMemoryBytes;
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
    // A destination connection ID with the length of a flow identifier is a resume identifier that this agent issued: the caller requests the answers
    // to its earlier requests.
    if (!canAccept(header.dcidlen == flowIdLength)) {
        refuse(caller, header);
        return std::nullopt;
    }
    const FlowHandle flow{++m_lastFlow};
    FlowEntry &entry = m_flows[flow];
    ++m_handshakeCount;
    entry.initialIds = connectionIdKeyOf(header.dcid, header.dcidlen) + connectionIdKeyOf(header.scid, header.scidlen);
    entry.connection = std::make_unique<QuicConnection>(flow, m_connectionOptions, *this, m_events, m_random);
    QuicConnection::ServerStart start{initial.scid, initial.dcid, {}, {}, initial.version};
    const bool isStarted = issueConnectionId(flow, start.connectionId, flowIdLength, start.resetToken.data())
        && entry.connection->startServer(start, *m_credentials, caller, now);
    if (!isStarted) {
        remove(flow);
        ++m_statistics.flowsRefused;
        return std::nullopt;
    }
    m_flowsByInitialIds.emplace(entry.initialIds, flow);
    ++m_statistics.flowsAccepted;
    entry.connection->receive(now, caller, datagram);
    m_flowsToFlush.insert(flow);
    return flow;
}

void QuicServer::Implementation::refuse(const HostAddress &caller, const ngtcp2_version_cid &header)
{
    ++m_statistics.flowsRefused;
    const ngtcp2_cid destination = toConnectionId({header.scid, header.scidlen});
    const ngtcp2_cid source = toConnectionId({header.dcid, header.dcidlen});
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
    // The reset is smaller than the received datagram, so that two endpoints cannot answer each other's resets forever.
    const std::size_t length = std::min(datagram.size() - 1, maximumResetLength);
    if (length < minimumResetLength) {
        return;
    }
    std::array<std::uint8_t, NGTCP2_STATELESS_RESET_TOKENLEN> token;
    if (!makeResetToken(toConnectionId({header.dcid, header.dcidlen}), token.data())) {
        return;
    }
    std::array<std::uint8_t, maximumResetLength> randomBytes;
    std::generate(randomBytes.begin(), randomBytes.end(), [this] {
        return static_cast<std::uint8_t>(m_random());
    });
    std::array<std::uint8_t, maximumResetLength> out;
    const ngtcp2_ssize written
        = ngtcp2_pkt_write_stateless_reset(out.data(), length, token.data(), randomBytes.data(), length - NGTCP2_STATELESS_RESET_TOKENLEN);
    if (written > 0) {
        ++m_statistics.resetsSent;
        sendDatagram({}, caller, std::span(out).first(static_cast<std::size_t>(written)));
    }
}

void QuicServer::Implementation::sendVersionNegotiation(const HostAddress &caller, std::span<const std::uint8_t> datagram, const ngtcp2_version_cid &header)
{
    ++m_statistics.datagramsDropped;
    if (datagram.size() < minimumInitialLength) {
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
    for (const FlowHandle flow : std::exchange(m_flowsToFlush, {})) {
        FlowEntry &entry = m_flows.at(flow);
        continueRotation(now, entry);
        entry.connection->flush(now);
        updateTotals(entry);
        if (entry.connection->isEnded()) {
            remove(flow);
        } else {
            scheduleTimeout(now, flow, entry);
        }
    }
}

void QuicServer::Implementation::updateTotals(FlowEntry &entry)
{
    m_memoryBytes += entry.connection->memoryBytes() - entry.countedMemoryBytes;
    entry.countedMemoryBytes = entry.connection->memoryBytes();
    if (entry.isHandshaking && entry.connection->isEstablished()) {
        entry.isHandshaking = false;
        --m_handshakeCount;
    }
}

void QuicServer::Implementation::scheduleTimeout(TimePoint now, FlowHandle flow, FlowEntry &entry)
{
    const TimePoint deadline = std::min(entry.connection->expiry(), entry.nextRotationRequest);
    const TimePoint timeout = std::max(deadline, now + minimumTimeoutDelay);
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
    for (const FlowIdBytes &connectionId : found->second.connectionIds) {
        m_flowsByConnectionId.erase(connectionIdKeyOf(connectionId.data(), connectionId.size()));
    }
    m_flowsByInitialIds.erase(found->second.initialIds);
    m_timeouts.erase({found->second.timeout, flow});
    m_memoryBytes -= found->second.countedMemoryBytes;
    m_handshakeCount -= found->second.isHandshaking ? 1 : 0;
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
    for (auto entry = m_timeouts.begin(); entry != m_timeouts.end() && entry->first <= now; ++entry) {
        m_flowsToFlush.insert(entry->second);
    }
    flush(now);
}

QuicConnection *QuicServer::Implementation::find(FlowHandle flow) const
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() ? nullptr : found->second.connection.get();
}

QuicConnection *QuicServer::Implementation::findForUpdate(FlowHandle flow)
{
    QuicConnection *connection = find(flow);
    if (connection != nullptr) {
        m_flowsToFlush.insert(flow);
    }
    return connection;
}

bool QuicServer::Implementation::usesAnotherKey(const FlowEntry &entry, std::uint8_t keyNumber) const
{
    return std::any_of(entry.connectionIds.begin(), entry.connectionIds.end(), [keyNumber](const FlowIdBytes &connectionId) {
        return flowIdKeyNumber(connectionId) != keyNumber;
    });
}

void QuicServer::Implementation::rotateConnectionIds(TimePoint now, std::uint8_t keyNumber)
{
    for (auto &[flow, entry] : m_flows) {
        entry.targetKeyNumber = keyNumber;
        entry.nextRotationRequest = now;
        m_flowsToFlush.insert(flow);
    }
}

void QuicServer::Implementation::continueRotation(TimePoint now, FlowEntry &entry)
{
    if (!entry.targetKeyNumber || entry.nextRotationRequest > now) {
        return;
    }
    if (!usesAnotherKey(entry, *entry.targetKeyNumber)) {
        entry.targetKeyNumber.reset();
        entry.nextRotationRequest = TimePoint::max();
        return;
    }
    // The client retires one connection ID per request, and requests may be lost, so they are repeated until no connection ID uses another key.
    entry.connection->requestConnectionIdRotation(now);
    entry.nextRotationRequest = now + m_options.rotationRequestInterval;
}

std::array<std::size_t, flowKeyCount> QuicServer::Implementation::flowCountsByKey() const
{
    std::array<std::size_t, flowKeyCount> counts{};
    for (const auto &[flow, entry] : m_flows) {
        std::set<std::uint8_t> numbers;
        for (const FlowIdBytes &connectionId : entry.connectionIds) {
            numbers.insert(flowIdKeyNumber(connectionId));
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

bool QuicServer::Implementation::issueConnectionId(FlowHandle flow, ngtcp2_cid &connectionId, std::size_t length, std::uint8_t *token)
{
    const FlowIdBytes bytes = m_connectionIdSource();
    const auto [position, inserted] = m_flowsByConnectionId.emplace(connectionIdKeyOf(bytes.data(), bytes.size()), flow);
    if (!inserted || length != bytes.size()) {
        return false;
    }
    m_flows.at(flow).connectionIds.insert(bytes);
    connectionId = toConnectionId(bytes);
    return makeResetToken(connectionId, token);
}

void QuicServer::Implementation::removeConnectionId(FlowHandle flow, const ngtcp2_cid &connectionId)
{
    FlowIdBytes bytes{};
    std::copy_n(connectionId.data, std::min(connectionId.datalen, bytes.size()), bytes.begin());
    if (m_flows.at(flow).connectionIds.erase(bytes) > 0) {
        m_flowsByConnectionId.erase(connectionIdKeyOf(connectionId.data, connectionId.datalen));
    }
}

void QuicServer::Implementation::handleRotationRequest(FlowHandle)
{
    // Only servers request rotations. A request from a client is ignored.
}

// The key belongs to the flow key of the identifier and not to the active one, so that a rotation changes no token.
bool QuicServer::Implementation::makeResetToken(const ngtcp2_cid &connectionId, std::uint8_t *token) const
{
    if (connectionId.datalen != flowIdLength) {
        return false;
    }
    const auto key = m_options.resetKey(flowIdKeyNumber(std::span(connectionId.data).first<flowIdLength>()));
    if (!key) {
        return false;
    }
    return ngtcp2_crypto_generate_stateless_reset_token(token, key->data(), key->size(), &connectionId) == 0;
}

void QuicServer::Implementation::resetEarlierFlow(const HostAddress &caller, std::span<const std::uint8_t> datagram)
{
    ngtcp2_version_cid header;
    const bool isShort = !datagram.empty() && (datagram[0] & longHeaderBit) == 0;
    if (isShort && ngtcp2_pkt_decode_version_cid(&header, datagram.data(), datagram.size(), flowIdLength) == 0) {
        sendReset(caller, datagram, header);
    }
}

QuicServer::QuicServer(QuicServerOptions options,
                       std::shared_ptr<const TlsCredentials> credentials,
                       ConnectionIdSource connectionIdSource,
                       QuicServerSink &sink,
                       std::mt19937_64 &random)
    : m_implementation(std::make_unique<Implementation>(std::move(options), std::move(credentials), std::move(connectionIdSource), sink, random))
{
}

QuicServer::~QuicServer() = default;

std::optional<FlowHandle> QuicServer::receive(TimePoint now, const HostAddress &caller, std::span<const std::uint8_t> datagram)
{
    return m_implementation->receive(now, caller, datagram);
}

void QuicServer::resetEarlierFlow(const HostAddress &caller, std::span<const std::uint8_t> datagram)
{
    m_implementation->resetEarlierFlow(caller, datagram);
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
    QuicConnection *connection = m_implementation->findForUpdate(flow);
    return connection == nullptr ? 0 : connection->write(stream, bytes, end);
}

std::optional<StreamNumber> QuicServer::openUnidirectionalStream(FlowHandle flow)
{
    QuicConnection *connection = m_implementation->findForUpdate(flow);
    return connection == nullptr ? std::nullopt : connection->openUnidirectionalStream();
}

void QuicServer::consume(FlowHandle flow, StreamNumber stream, std::size_t bytes)
{
    if (QuicConnection *connection = m_implementation->findForUpdate(flow)) {
        connection->consume(stream, bytes);
    }
}

void QuicServer::resetStream(FlowHandle flow, StreamNumber stream, std::uint64_t code)
{
    if (QuicConnection *connection = m_implementation->findForUpdate(flow)) {
        connection->resetStream(stream, code);
    }
}

void QuicServer::stopSending(FlowHandle flow, StreamNumber stream, std::uint64_t code)
{
    if (QuicConnection *connection = m_implementation->findForUpdate(flow)) {
        connection->stopSending(stream, code);
    }
}

void QuicServer::close(TimePoint now, FlowHandle flow, std::uint64_t code, std::string_view reason)
{
    if (QuicConnection *connection = m_implementation->findForUpdate(flow)) {
        connection->close(now, code, reason);
    }
}

void QuicServer::closeAfterDelivery(TimePoint now, FlowHandle flow, std::uint64_t code, std::string_view reason)
{
    if (QuicConnection *connection = m_implementation->findForUpdate(flow)) {
        connection->closeAfterDelivery(now, code, reason);
    }
}

void QuicServer::refuseNewFlows()
{
    m_implementation->m_isRefusingNewFlows = true;
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
    return m_implementation->m_memoryBytes;
}

const QuicServerStatistics &QuicServer::statistics() const
{
    return m_implementation->m_statistics;
}

}
