#include "quic_connection.h"

#include "quic_path.h"
#include "quic_time.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

#include <malloc.h>

#include <algorithm>
#include <cstdlib>

namespace Jujubequay {

namespace {

/// Connection IDs of the peer that each side stores: one in use, one for a migration and one in reserve.
constexpr std::uint64_t activeConnectionIdLimit = 3;
/// Largest unreliable datagram (RFC 9221) that is accepted, in bytes. Rotation requests have one byte.
constexpr std::uint64_t maxDatagramFrameLength = 64;
constexpr std::uint8_t rotationRequestPayload = 1;
constexpr std::size_t maxChunksPerPacket = 8;

/// Allocation functions that count the bytes that ngtcp2 allocates for one connection.
void *countedMalloc(std::size_t size, void *counter)
{
    void *memory = std::malloc(size);
    *static_cast<std::size_t *>(counter) += malloc_usable_size(memory);
    return memory;
}

void countedFree(void *memory, void *counter)
{
    *static_cast<std::size_t *>(counter) -= malloc_usable_size(memory);
    std::free(memory);
}

void *countedCalloc(std::size_t count, std::size_t size, void *counter)
{
    void *memory = std::calloc(count, size);
    *static_cast<std::size_t *>(counter) += malloc_usable_size(memory);
    return memory;
}

void *countedRealloc(void *memory, std::size_t size, void *counter)
{
    const std::size_t before = malloc_usable_size(memory);
    void *resized = std::realloc(memory, size);
    if (resized != nullptr) {
        *static_cast<std::size_t *>(counter) += malloc_usable_size(resized) - before;
    }
    return resized;
}

void fillRandom(std::uint8_t *out, std::size_t length, const ngtcp2_rand_ctx *context)
{
    auto &random = *static_cast<std::mt19937_64 *>(context->native_handle);
    std::generate_n(out, length, [&random] {
        return static_cast<std::uint8_t>(random());
    });
}

bool isBidirectional(StreamNumber stream)
{
    return ngtcp2_is_bidi_stream(stream) != 0;
}

}

QuicConnection::QuicConnection(FlowHandle flow, QuicConnectionOptions options, QuicEndpoint &endpoint, QuicEvents &events, std::mt19937_64 &random)
    : m_flow(flow)
    , m_options(options)
    , m_endpoint(endpoint)
    , m_events(events)
    , m_random(random)
{
    m_allocator = makeAllocator();
    m_connectionReference.user_data = this;
    m_connectionReference.get_conn = [](ngtcp2_crypto_conn_ref *reference) {
        return static_cast<QuicConnection *>(reference->user_data)->m_connection;
    };
}

QuicConnection::~QuicConnection()
{
    ngtcp2_conn_del(m_connection);
}

bool QuicConnection::startServer(const ServerStart &start, const TlsCredentials &credentials, const HostAddress &remote, TimePoint now)
{
    m_isServer = true;
    m_remoteAddress = remote;
    m_tlsSession = makeServerSession(credentials, m_connectionReference);
    if (!m_tlsSession) {
        return false;
    }
    const ngtcp2_callbacks callbacks = makeCallbacks(true);
    const ngtcp2_settings settings = makeSettings(now);
    ngtcp2_transport_params parameters = makeTransportParameters();
    parameters.original_dcid = start.originalDestinationId;
    parameters.stateless_reset_token_present = 1;
    std::copy(start.resetToken.begin(), start.resetToken.end(), parameters.stateless_reset_token);
    QuicPath path(m_localPort, remote);
    const int code = ngtcp2_conn_server_new(
        &m_connection, &start.clientConnectionId, &start.connectionId, path.native(), start.version, &callbacks, &settings, &parameters, &m_allocator, this);
    if (code != 0) {
        return false;
    }
    ngtcp2_conn_set_tls_native_handle(m_connection, m_tlsSession.get());
    ngtcp2_conn_set_keep_alive_timeout(m_connection, toQuicDuration(m_options.keepAlive));
    return true;
}

bool QuicConnection::startClient(const ClientStart &start, const TlsCredentials &credentials, const HostAddress &remote, TimePoint now)
{
    m_remoteAddress = remote;
    m_serviceName = start.serviceName;
    m_tlsSession = makeClientSession(credentials, m_serviceName, m_connectionReference);
    if (!m_tlsSession) {
        return false;
    }
    const ngtcp2_callbacks callbacks = makeCallbacks(false);
    const ngtcp2_settings settings = makeSettings(now);
    const ngtcp2_transport_params parameters = makeTransportParameters();
    QuicPath path(m_localPort, remote);
    const int code = ngtcp2_conn_client_new(
        &m_connection, &start.destination, &start.connectionId, path.native(), NGTCP2_PROTO_VER_V1, &callbacks, &settings, &parameters, &m_allocator, this);
    if (code != 0) {
        return false;
    }
    ngtcp2_conn_set_tls_native_handle(m_connection, m_tlsSession.get());
    ngtcp2_conn_set_keep_alive_timeout(m_connection, toQuicDuration(m_options.keepAlive));
    return true;
}

ngtcp2_callbacks QuicConnection::makeCallbacks(bool isServer)
{
    ngtcp2_callbacks callbacks{};
    if (isServer) {
        callbacks.recv_client_initial = ngtcp2_crypto_recv_client_initial_cb;
    } else {
        callbacks.client_initial = ngtcp2_crypto_client_initial_cb;
        callbacks.recv_retry = ngtcp2_crypto_recv_retry_cb;
    }
    callbacks.recv_crypto_data
        = [](ngtcp2_conn *connection, ngtcp2_crypto_level level, std::uint64_t offset, const std::uint8_t *data, std::size_t length, void *self) {
              const bool hasTlsSession = static_cast<QuicConnection *>(self)->m_tlsSession != nullptr;
              return hasTlsSession ? ngtcp2_crypto_recv_crypto_data_cb(connection, level, offset, data, length, self) : static_cast<int>(NGTCP2_ERR_CRYPTO);
          };
    callbacks.encrypt = ngtcp2_crypto_encrypt_cb;
    callbacks.decrypt = ngtcp2_crypto_decrypt_cb;
    callbacks.hp_mask = ngtcp2_crypto_hp_mask_cb;
    callbacks.update_key = ngtcp2_crypto_update_key_cb;
    callbacks.delete_crypto_aead_ctx = ngtcp2_crypto_delete_crypto_aead_ctx_cb;
    callbacks.delete_crypto_cipher_ctx = ngtcp2_crypto_delete_crypto_cipher_ctx_cb;
    callbacks.get_path_challenge_data = ngtcp2_crypto_get_path_challenge_data_cb;
    callbacks.version_negotiation = ngtcp2_crypto_version_negotiation_cb;
    callbacks.rand = fillRandom;

    callbacks.handshake_completed = [](ngtcp2_conn *, void *self) {
        static_cast<QuicConnection *>(self)->handleHandshakeCompleted();
        return 0;
    };
    callbacks.stream_open = [](ngtcp2_conn *, std::int64_t stream, void *self) {
        static_cast<QuicConnection *>(self)->handleStreamOpened(stream);
        return 0;
    };
    callbacks.recv_stream_data
        = [](ngtcp2_conn *, std::uint32_t flags, std::int64_t stream, std::uint64_t, const std::uint8_t *data, std::size_t length, void *self, void *) {
              static_cast<QuicConnection *>(self)->handleStreamData(stream, {data, length}, (flags & NGTCP2_STREAM_DATA_FLAG_FIN) != 0);
              return 0;
          };
    callbacks.acked_stream_data_offset = [](ngtcp2_conn *, std::int64_t stream, std::uint64_t offset, std::uint64_t length, void *self, void *) {
        static_cast<QuicConnection *>(self)->handleStreamAcknowledged(stream, offset, length);
        return 0;
    };
    callbacks.stream_close = [](ngtcp2_conn *, std::uint32_t flags, std::int64_t stream, std::uint64_t code, void *self, void *) {
        const bool isAborted = (flags & NGTCP2_STREAM_CLOSE_FLAG_APP_ERROR_CODE_SET) != 0;
        static_cast<QuicConnection *>(self)->handleStreamClosed(stream, isAborted ? std::optional(code) : std::nullopt);
        return 0;
    };
    callbacks.stream_reset = [](ngtcp2_conn *, std::int64_t stream, std::uint64_t, std::uint64_t code, void *self, void *) {
        auto &connection = *static_cast<QuicConnection *>(self);
        connection.m_events.emplace_back(StreamReset{connection.m_flow, stream, code});
        return 0;
    };
    callbacks.recv_stateless_reset = [](ngtcp2_conn *, const ngtcp2_pkt_stateless_reset *, void *self) {
        static_cast<QuicConnection *>(self)->m_isStatelessReset = true;
        return 0;
    };
    callbacks.get_new_connection_id = [](ngtcp2_conn *, ngtcp2_cid *connectionId, std::uint8_t *token, std::size_t length, void *self) {
        auto &connection = *static_cast<QuicConnection *>(self);
        const bool isIssued = connection.m_endpoint.issueConnectionId(connection.m_flow, *connectionId, length, token);
        return isIssued ? 0 : static_cast<int>(NGTCP2_ERR_CALLBACK_FAILURE);
    };
    callbacks.remove_connection_id = [](ngtcp2_conn *, const ngtcp2_cid *connectionId, void *self) {
        auto &connection = *static_cast<QuicConnection *>(self);
        connection.m_endpoint.removeConnectionId(connection.m_flow, *connectionId);
        return 0;
    };
    callbacks.recv_datagram = [](ngtcp2_conn *, std::uint32_t, const std::uint8_t *data, std::size_t length, void *self) {
        auto &connection = *static_cast<QuicConnection *>(self);
        if (length == 1 && *data == rotationRequestPayload) {
            connection.m_endpoint.handleRotationRequest(connection.m_flow);
        }
        return 0;
    };
    return callbacks;
}

ngtcp2_settings QuicConnection::makeSettings(TimePoint now)
{
    ngtcp2_settings settings;
    ngtcp2_settings_default(&settings);
    settings.initial_ts = toTimestamp(now);
    settings.handshake_timeout = toQuicDuration(m_options.handshakeTimeout);
    settings.max_tx_udp_payload_size = maxDatagramLength;
    settings.no_tx_udp_payload_size_shaping = 1;
    settings.no_pmtud = 1;
    settings.rand_ctx.native_handle = &m_random;
    return settings;
}

ngtcp2_transport_params QuicConnection::makeTransportParameters() const
{
    ngtcp2_transport_params parameters;
    ngtcp2_transport_params_default(&parameters);
    parameters.initial_max_stream_data_bidi_local = m_options.streamWindowBytes;
    parameters.initial_max_stream_data_bidi_remote = m_options.streamWindowBytes;
    parameters.initial_max_stream_data_uni = m_options.streamWindowBytes;
    parameters.initial_max_data = m_options.flowWindowBytes;
    parameters.initial_max_streams_bidi = m_options.maxBidirectionalStreams;
    parameters.initial_max_streams_uni = m_options.maxUnidirectionalStreams;
    parameters.max_idle_timeout = toQuicDuration(m_options.idleTimeout);
    parameters.active_connection_id_limit = activeConnectionIdLimit;
    parameters.max_datagram_frame_size = maxDatagramFrameLength;
    return parameters;
}

ngtcp2_mem QuicConnection::makeAllocator()
{
    return {&m_allocatedBytes, countedMalloc, countedFree, countedCalloc, countedRealloc};
}

void QuicConnection::handleHandshakeCompleted()
{
    m_isEstablished = true;
    m_events.emplace_back(FlowEstablished{m_flow, m_remoteAddress});
}

void QuicConnection::handleStreamOpened(StreamNumber stream)
{
    Stream state;
    state.canSend = isBidirectional(stream);
    m_streams.try_emplace(stream, std::move(state));
}

void QuicConnection::handleStreamData(StreamNumber stream, std::span<const std::uint8_t> data, bool end)
{
    if (const auto found = m_streams.find(stream); found != m_streams.end()) {
        found->second.unconsumedBytes += data.size();
    }
    m_events.emplace_back(StreamDataReceived{m_flow, stream, Bytes(data.begin(), data.end()), end});
}

void QuicConnection::handleStreamAcknowledged(StreamNumber stream, std::uint64_t offset, std::uint64_t length)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end()) {
        return;
    }
    m_bufferedBytes -= found->second.buffer.acknowledge(offset, length);
    notifyWritable();
}

void QuicConnection::notifyWritable()
{
    if (m_bufferedBytes >= m_options.maxSendBufferBytes) {
        return;
    }
    for (auto &[number, state] : m_streams) {
        if (std::exchange(state.wantsWritableEvent, false)) {
            m_events.emplace_back(StreamWritable{m_flow, number});
        }
    }
}

void QuicConnection::handleStreamClosed(StreamNumber stream, std::optional<std::uint64_t> abortCode)
{
    if (const auto found = m_streams.find(stream); found != m_streams.end()) {
        // ngtcp2 replies to STOP_SENDING itself. It reports the frame only when the stream closes or the next write fails.
        if (abortCode && found->second.canSend && !found->second.buffer.isEndAcknowledged()) {
            m_events.emplace_back(StreamStopped{m_flow, stream, *abortCode});
        }
        m_bufferedBytes -= found->second.buffer.size();
        ngtcp2_conn_extend_max_offset(m_connection, found->second.unconsumedBytes);
        m_streams.erase(found);
        notifyWritable();
    }
    const bool isOpenedByServer = (static_cast<std::uint64_t>(stream) & 1U) != 0;
    if (isOpenedByServer != m_isServer) {
        if (isBidirectional(stream)) {
            ngtcp2_conn_extend_max_streams_bidi(m_connection, 1);
        } else {
            ngtcp2_conn_extend_max_streams_uni(m_connection, 1);
        }
    }
    m_events.emplace_back(StreamEnded{m_flow, stream});
}

void QuicConnection::receive(TimePoint now, const HostAddress &remote, std::span<const std::uint8_t> datagram)
{
    // ngtcp2 ends the connection on an empty datagram, which any host can send.
    if (datagram.empty()) {
        return;
    }
    if (m_isEnded) {
        // The CONNECTION_CLOSE may be lost. Sending it again once per received datagram causes no amplification.
        if (!m_closeDatagram.empty()) {
            m_endpoint.sendDatagram(m_flow, m_remoteAddress, m_closeDatagram);
        }
        return;
    }
    QuicPath path(m_localPort, remote);
    const int code = ngtcp2_conn_read_pkt(m_connection, path.native(), nullptr, datagram.data(), datagram.size(), toTimestamp(now));
    if (code != 0) {
        handleError(now, code);
        return;
    }
    releaseSession();
    checkMemory(now);
}

void QuicConnection::releaseSession()
{
    // The TLS session is not needed after the handshake: key updates do not use it, and session tickets, the only later TLS messages, are disabled.
    if (m_isServer && m_isEstablished && m_tlsSession) {
        ngtcp2_conn_set_tls_native_handle(m_connection, nullptr);
        m_tlsSession.reset();
    }
}

void QuicConnection::checkMemory(TimePoint now)
{
    if (m_options.maxMemoryBytes == 0 || memoryBytes() <= m_options.maxMemoryBytes) {
        return;
    }
    ngtcp2_connection_close_error error;
    ngtcp2_connection_close_error_default(&error);
    ngtcp2_connection_close_error_set_transport_error_liberr(&error, NGTCP2_ERR_NOMEM, nullptr, 0);
    sendClose(now, error);
    end(FlowEndCause::MemoryLimit, error.error_code, {});
}

void QuicConnection::handleError(TimePoint now, int code)
{
    switch (code) {
    case NGTCP2_ERR_DRAINING:
        handleCloseByPeer();
        return;
    case NGTCP2_ERR_IDLE_CLOSE:
        end(FlowEndCause::IdleTimeout, 0, {});
        return;
    case NGTCP2_ERR_HANDSHAKE_TIMEOUT:
        end(FlowEndCause::HandshakeFailed, 0, "timeout");
        return;
    case NGTCP2_ERR_DROP_CONN:
    case NGTCP2_ERR_RETRY:
        end(m_isEstablished ? FlowEndCause::ProtocolError : FlowEndCause::HandshakeFailed, 0, ngtcp2_strerror(code));
        return;
    case NGTCP2_ERR_CLOSING:
        return;
    default:
        break;
    }
    ngtcp2_connection_close_error error;
    ngtcp2_connection_close_error_default(&error);
    std::string detail = ngtcp2_strerror(code);
    if (code == NGTCP2_ERR_CRYPTO) {
        const std::uint8_t alert = ngtcp2_conn_get_tls_alert(m_connection);
        ngtcp2_connection_close_error_set_transport_error_tls_alert(&error, alert, nullptr, 0);
        const char *name = gnutls_alert_get_name(static_cast<gnutls_alert_description_t>(alert));
        detail = name == nullptr ? "TLS alert" : name;
    } else {
        ngtcp2_connection_close_error_set_transport_error_liberr(&error, code, nullptr, 0);
    }
    sendClose(now, error);
    end(m_isEstablished ? FlowEndCause::ProtocolError : FlowEndCause::HandshakeFailed, error.error_code, detail);
}

void QuicConnection::handleCloseByPeer()
{
    if (m_isStatelessReset) {
        end(FlowEndCause::StatelessReset, 0, {});
        return;
    }
    ngtcp2_connection_close_error error;
    ngtcp2_connection_close_error_default(&error);
    ngtcp2_conn_get_connection_close_error(m_connection, &error);
    std::string reason(reinterpret_cast<const char *>(error.reason), error.reasonlen);
    end(m_isEstablished ? FlowEndCause::ClosedByPeer : FlowEndCause::HandshakeFailed, error.error_code, std::move(reason));
}

void QuicConnection::end(FlowEndCause cause, std::uint64_t code, std::string detail)
{
    if (std::exchange(m_isEnded, true)) {
        return;
    }
    m_streams.clear();
    m_bufferedBytes = 0;
    m_events.emplace_back(FlowEnded{m_flow, cause, code, std::move(detail)});
}

void QuicConnection::sendClose(TimePoint now, const ngtcp2_connection_close_error &error)
{
    Datagram datagram;
    ngtcp2_path_storage path;
    ngtcp2_path_storage_zero(&path);
    const ngtcp2_ssize length
        = ngtcp2_conn_write_connection_close(m_connection, &path.path, nullptr, datagram.data(), datagram.size(), &error, toTimestamp(now));
    if (length > 0) {
        m_closeDatagram.assign(datagram.begin(), datagram.begin() + length);
        send(path.path, m_closeDatagram);
    }
}

void QuicConnection::close(TimePoint now, std::uint64_t code, std::string_view reason)
{
    if (m_isEnded) {
        return;
    }
    ngtcp2_connection_close_error error;
    ngtcp2_connection_close_error_default(&error);
    ngtcp2_connection_close_error_set_application_error(&error, code, reinterpret_cast<const std::uint8_t *>(reason.data()), reason.size());
    sendClose(now, error);
    end(FlowEndCause::ClosedLocally, code, std::string(reason));
}

void QuicConnection::closeAfterDelivery(TimePoint now, std::uint64_t code, std::string_view reason)
{
    if (!m_isEnded) {
        m_pendingClose = PendingClose{code, std::string(reason)};
        flush(now);
    }
}

void QuicConnection::flush(TimePoint now)
{
    if (m_isEnded) {
        return;
    }
    // Handles an expired timer regardless of why `flush` was called, because its expiry would otherwise stay in the past.
    if (expiry() <= now) {
        handleExpiry(now);
    }
    if (m_isEnded) {
        return;
    }
    writePackets(now);
    const bool isDelivered = std::all_of(m_streams.begin(), m_streams.end(), [](const auto &entry) {
        return !entry.second.canSend || entry.second.buffer.isAcknowledged();
    });
    if (!m_isEnded && m_pendingClose && isDelivered) {
        const PendingClose pending = *m_pendingClose;
        close(now, pending.code, pending.reason);
    }
}

void QuicConnection::writePackets(TimePoint now)
{
    m_blockedStreams.clear();
    Datagram datagram;
    ngtcp2_path_storage path;
    ngtcp2_path_storage_zero(&path);
    for (;;) {
        const ngtcp2_ssize length = writePacket(now, datagram, path);
        if (length < 0) {
            handleError(now, static_cast<int>(length));
            return;
        }
        if (length == 0) {
            break;
        }
        send(path.path, std::span(datagram).first(static_cast<std::size_t>(length)));
    }
    ngtcp2_conn_update_pkt_tx_time(m_connection, toTimestamp(now));
}

ngtcp2_ssize QuicConnection::writePacket(TimePoint now, Datagram &datagram, ngtcp2_path_storage &path)
{
    for (;;) {
        const auto sender = nextStreamToSend();
        const bool hasSender = sender != m_streams.end();
        std::vector<ngtcp2_vec> chunks;
        std::uint32_t flags = NGTCP2_WRITE_STREAM_FLAG_NONE;
        std::size_t offeredBytes = 0;
        if (hasSender) {
            chunks = sender->second.buffer.unsent(maxChunksPerPacket);
            flags = NGTCP2_WRITE_STREAM_FLAG_MORE;
            if (sender->second.buffer.endsWithin(maxChunksPerPacket)) {
                flags |= NGTCP2_WRITE_STREAM_FLAG_FIN;
            }
            for (const ngtcp2_vec &chunk : chunks) {
                offeredBytes += chunk.len;
            }
        }
        const StreamNumber number = hasSender ? sender->first : -1;
        ngtcp2_ssize accepted = -1;
        const ngtcp2_ssize length = ngtcp2_conn_writev_stream(
            m_connection, &path.path, nullptr, datagram.data(), datagram.size(), &accepted, flags, number, chunks.data(), chunks.size(), toTimestamp(now));
        if (hasSender && accepted >= 0) {
            const auto acceptedBytes = static_cast<std::size_t>(accepted);
            sender->second.buffer.markSent(acceptedBytes, (flags & NGTCP2_WRITE_STREAM_FLAG_FIN) != 0 && acceptedBytes == offeredBytes);
            m_lastServedStream = number;
        }
        if (length >= 0) {
            return length;
        }
        switch (length) {
        case NGTCP2_ERR_WRITE_MORE:
            break;
        case NGTCP2_ERR_STREAM_DATA_BLOCKED:
            m_blockedStreams.push_back(number);
            break;
        case NGTCP2_ERR_STREAM_SHUT_WR:
        case NGTCP2_ERR_STREAM_NOT_FOUND:
            stopWriting(number);
            m_events.emplace_back(StreamStopped{m_flow, number, 0});
            break;
        default:
            return length;
        }
    }
}

std::map<StreamNumber, QuicConnection::Stream>::iterator QuicConnection::nextStreamToSend()
{
    const auto ready = [this](const auto &entry) {
        return entry.second.canSend && entry.second.buffer.hasUnsent()
            && std::find(m_blockedStreams.begin(), m_blockedStreams.end(), entry.first) == m_blockedStreams.end();
    };
    // Round-robin, so that a long download does not delay short answers.
    const auto start = m_streams.upper_bound(m_lastServedStream);
    const auto after = std::find_if(start, m_streams.end(), ready);
    if (after != m_streams.end()) {
        return after;
    }
    const auto before = std::find_if(m_streams.begin(), start, ready);
    return before != start ? before : m_streams.end();
}

void QuicConnection::send(const ngtcp2_path &path, std::span<const std::uint8_t> datagram)
{
    m_remoteAddress = remoteOf(path);
    m_endpoint.sendDatagram(m_flow, m_remoteAddress, datagram);
}

TimePoint QuicConnection::expiry() const
{
    return m_isEnded ? TimePoint::max() : fromTimestamp(ngtcp2_conn_get_expiry(m_connection));
}

void QuicConnection::handleExpiry(TimePoint now)
{
    if (const int code = ngtcp2_conn_handle_expiry(m_connection, toTimestamp(now)); code != 0) {
        handleError(now, code);
    }
}

std::size_t QuicConnection::write(StreamNumber stream, std::span<const std::uint8_t> bytes, bool end)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end() || !found->second.canSend) {
        return 0;
    }
    const std::size_t freeBytes = m_options.maxSendBufferBytes - std::min(m_options.maxSendBufferBytes, m_bufferedBytes);
    const std::size_t accepted = std::min(freeBytes, bytes.size());
    found->second.buffer.append(bytes.first(accepted), end && accepted == bytes.size());
    found->second.wantsWritableEvent = accepted < bytes.size();
    m_bufferedBytes += accepted;
    return accepted;
}

std::optional<StreamNumber> QuicConnection::openBidirectionalStream()
{
    StreamNumber stream = -1;
    if (m_isEnded || !m_isEstablished || ngtcp2_conn_open_bidi_stream(m_connection, &stream, nullptr) != 0) {
        return std::nullopt;
    }
    m_streams.try_emplace(stream);
    return stream;
}

std::optional<StreamNumber> QuicConnection::openUnidirectionalStream()
{
    StreamNumber stream = -1;
    if (m_isEnded || !m_isEstablished || ngtcp2_conn_open_uni_stream(m_connection, &stream, nullptr) != 0) {
        return std::nullopt;
    }
    m_streams.try_emplace(stream);
    return stream;
}

void QuicConnection::consume(StreamNumber stream, std::size_t bytes)
{
    const auto found = m_streams.find(stream);
    if (m_isEnded || found == m_streams.end()) {
        return; // the credit was returned when the stream closed
    }
    const std::uint64_t credit = std::min<std::uint64_t>(bytes, found->second.unconsumedBytes);
    found->second.unconsumedBytes -= credit;
    ngtcp2_conn_extend_max_stream_offset(m_connection, stream, credit);
    ngtcp2_conn_extend_max_offset(m_connection, credit);
}

void QuicConnection::resetStream(StreamNumber stream, std::uint64_t code)
{
    const auto found = m_streams.find(stream);
    if (m_isEnded || found == m_streams.end() || !found->second.canSend) {
        return;
    }
    stopWriting(stream);
    ngtcp2_conn_shutdown_stream_write(m_connection, stream, code);
}

void QuicConnection::stopWriting(StreamNumber stream)
{
    // The buffer is freed when the stream closes: until then ngtcp2 may refer to its bytes.
    if (const auto found = m_streams.find(stream); found != m_streams.end()) {
        found->second.canSend = false;
        found->second.wantsWritableEvent = false;
    }
}

void QuicConnection::stopSending(StreamNumber stream, std::uint64_t code)
{
    if (!m_isEnded && m_streams.contains(stream)) {
        ngtcp2_conn_shutdown_stream_read(m_connection, stream, code);
    }
}

void QuicConnection::requestConnectionIdRotation(TimePoint now)
{
    if (m_isEnded || !m_isEstablished) {
        return;
    }
    std::uint8_t request = rotationRequestPayload;
    const ngtcp2_vec chunk{&request, 1};
    Datagram datagram;
    ngtcp2_path_storage path;
    ngtcp2_path_storage_zero(&path);
    int accepted = 0;
    const ngtcp2_ssize length = ngtcp2_conn_writev_datagram(
        m_connection, &path.path, nullptr, datagram.data(), datagram.size(), &accepted, NGTCP2_WRITE_DATAGRAM_FLAG_NONE, 0, &chunk, 1, toTimestamp(now));
    if (length > 0) {
        send(path.path, std::span(datagram).first(static_cast<std::size_t>(length)));
    }
    // INVALID_STATE: the client does not accept datagram frames. It keeps its connection IDs until the flow ends.
    if (length < 0 && length != NGTCP2_ERR_INVALID_STATE && length != NGTCP2_ERR_INVALID_ARGUMENT) {
        handleError(now, static_cast<int>(length));
    }
}

bool QuicConnection::rotateConnectionId(TimePoint now)
{
    if (m_isEnded || !m_isEstablished) {
        return false;
    }
    const std::uint16_t port = m_localPort == UINT16_MAX ? 1 : m_localPort + 1;
    QuicPath path(port, m_remoteAddress);
    if (ngtcp2_conn_initiate_immediate_migration(m_connection, path.native(), toTimestamp(now)) != 0) {
        return false;
    }
    m_localPort = port;
    return true;
}

bool QuicConnection::isEstablished() const
{
    return m_isEstablished && !m_isEnded;
}

bool QuicConnection::isEnded() const
{
    return m_isEnded;
}

std::size_t QuicConnection::sendBufferBytes() const
{
    return m_bufferedBytes;
}

std::size_t QuicConnection::memoryBytes() const
{
    return m_allocatedBytes + m_bufferedBytes;
}

}
