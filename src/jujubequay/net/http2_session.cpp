#include "jujubequay/net/http2_callbacks.h"
#include "jujubequay/net/http2_native.h"

#include <jujubequay/core/invariant.h>
#include <jujubequay/net/http2_session.h>

#include <asio/error.hpp>
#include <asio/post.hpp>
#include <asio/ssl/error.hpp>

#include <algorithm>
#include <array>

namespace Jujubequay {

namespace {

// Space for a few frames of the default size (16 KiB), so that a download needs few system calls.
constexpr std::size_t writeBufferBytes = 64U << 10U;

// An idle session frees a write buffer that is larger than this.
constexpr std::size_t idleWriteBufferBytes = 1U << 10U;

struct OptionDeleter {
    void operator()(nghttp2_option *option) const
    {
        nghttp2_option_del(option);
    }
};

bool isInformational(const HttpHeaders &headers)
{
    return headerValue(headers, ":status").starts_with('1');
}

}

std::vector<nghttp2_nv> nativeHeaders(const HttpHeaders &headers)
{
    std::vector<nghttp2_nv> fields;
    fields.reserve(headers.size());
    for (const HttpHeader &header : headers) {
        // nghttp2 copies the fields and does not modify them, although its interface takes pointers to non-const data.
        auto *name = const_cast<std::uint8_t *>(reinterpret_cast<const std::uint8_t *>(header.name.data()));
        auto *value = const_cast<std::uint8_t *>(reinterpret_cast<const std::uint8_t *>(header.value.data()));
        fields.push_back({name, value, header.name.size(), header.value.size(), NGHTTP2_NV_FLAG_NONE});
    }
    return fields;
}

std::shared_ptr<Http2Session> Http2Session::create(
    asio::io_context &context, const Clock &clock, Role role, Http2Options options, Http2SessionHandlers handlers)
{
    return std::shared_ptr<Http2Session>(new Http2Session(context, clock, role, options, std::move(handlers)));
}

Http2Session::Http2Session(asio::io_context &context, const Clock &clock, Role role, Http2Options options, Http2SessionHandlers handlers)
    : m_context(context)
    , m_clock(clock)
    , m_role(role)
    , m_options(options)
    , m_handlers(std::move(handlers))
    , m_timer(context)
    , m_keepAlive(options.keepAlive, clock.now())
{
    createNativeSession();
    submitSettings();
}

Http2Session::~Http2Session()
{
    // A session that is destroyed together with its io_context still has open streams. Their handlers may own the stream: clear them to break the
    // reference cycle.
    for (const auto &[id, stream] : m_streams) {
        stream->m_isClosed = true;
        stream->m_handlers = {};
    }
    nghttp2_session_del(m_native);
}

void Http2Session::createNativeSession()
{
    nghttp2_option *raw = nullptr;
    nghttp2_option_new(&raw);
    const std::unique_ptr<nghttp2_option, OptionDeleter> option(raw);
    nghttp2_option_set_no_auto_window_update(raw, 1);
    nghttp2_option_set_stream_reset_rate_limit(raw, m_options.maxResetBurst, m_options.maxResetsPerSecond);
    // nghttp2 retains closed streams only for the priority tree, which is not used.
    nghttp2_option_set_no_closed_streams(raw, 1);
    const int status = m_role == Role::Client ? nghttp2_session_client_new2(&m_native, http2Callbacks(), this, raw)
                                              : nghttp2_session_server_new2(&m_native, http2Callbacks(), this, raw);
    checkInvariant(status == 0, "an HTTP/2 session can be created");
}

void Http2Session::submitSettings()
{
    std::vector<nghttp2_settings_entry> settings{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, m_options.maxStreams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(m_options.streamWindowBytes)},
    };
    if (m_role == Role::Client) {
        settings.push_back({NGHTTP2_SETTINGS_ENABLE_PUSH, 0});
    }
    nghttp2_submit_settings(m_native, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(m_native, NGHTTP2_FLAG_NONE, 0, static_cast<std::int32_t>(m_options.connectionWindowBytes));
}

void Http2Session::start(std::unique_ptr<ByteTransport> transport)
{
    if (m_isAborted) {
        transport->close();
        return;
    }
    m_transport = std::move(transport);
    m_readBuffer.resize(m_options.readBufferBytes);
    m_keepAlive.recordReceived(m_clock.now());
    armTimer();
    read();
    scheduleFlush();
}

std::shared_ptr<Http2Stream> Http2Session::request(const HttpHeaders &headers, Http2StreamHandlers handlers)
{
    checkInvariant(m_role == Role::Client, "only clients open streams");
    if (!acceptsRequests()) {
        return nullptr;
    }
    auto stream = std::make_shared<Http2Stream>();
    const auto fields = nativeHeaders(headers);
    const nghttp2_data_provider provider = sendQueueProvider();
    const std::int32_t id = nghttp2_submit_request(m_native, nullptr, fields.data(), fields.size(), &provider, nullptr);
    if (id < 0) {
        return nullptr;
    }
    stream->m_session = weak_from_this();
    stream->m_id = id;
    stream->m_handlers = std::move(handlers);
    m_streams.emplace(id, stream);
    scheduleFlush();
    return stream;
}

void Http2Session::drain()
{
    if (m_isDraining || m_isAborted) {
        return;
    }
    m_isDraining = true;
    if (m_role == Role::Client) {
        nghttp2_submit_goaway(m_native, NGHTTP2_FLAG_NONE, 0, NGHTTP2_NO_ERROR, nullptr, 0);
    } else {
        // Requests in flight are still accepted. The final GOAWAY is sent when the PING is acknowledged.
        nghttp2_submit_shutdown_notice(m_native);
        nghttp2_submit_ping(m_native, NGHTTP2_FLAG_NONE, static_cast<const std::uint8_t *>(drainPing));
    }
    scheduleFlush();
}

void Http2Session::abort(ResultCode cause)
{
    if (m_isAborted) {
        return;
    }
    m_isAborted = true;
    m_closeCause = cause;
    m_timer.cancel();
    if (m_transport) {
        m_transport->close();
    }
    asio::post(m_context, [self = shared_from_this()] {
        self->finish();
    });
}

bool Http2Session::acceptsRequests() const
{
    return !m_isAborted && !m_isDraining && !m_goawayLastStreamId && nghttp2_session_check_request_allowed(m_native) != 0;
}

std::size_t Http2Session::streamCount() const
{
    return m_streams.size();
}

std::uint64_t Http2Session::sentBytes() const
{
    return m_sentBytes;
}

std::uint64_t Http2Session::receivedBytes() const
{
    return m_receivedBytes;
}

std::shared_ptr<Http2Stream> Http2Session::find(std::int32_t id) const
{
    if (m_isAborted) {
        return nullptr;
    }
    const auto found = m_streams.find(id);
    return found == m_streams.end() ? nullptr : found->second;
}

void Http2Session::read()
{
    m_transport->readSome(asio::buffer(m_readBuffer), [self = shared_from_this()](const asio::error_code &error, std::size_t bytes) {
        if (self->m_isAborted) {
            return;
        }
        if (error) {
            self->handleReadError(error);
            return;
        }
        self->receive(bytes);
    });
}

void Http2Session::handleReadError(const asio::error_code &error)
{
    // With TLS 1.3, the alert that refuses a client's certificate arrives after the client has completed its handshake.
    const bool isRefused = error.category() == asio::error::get_ssl_category() && m_receivedBytes == 0;
    if (isRefused) {
        abort(ResultCode::NotAuthorized);
    } else {
        abort(isDone() ? ResultCode::Ok : ResultCode::ConnectionLost);
    }
}

void Http2Session::receive(std::size_t bytes)
{
    m_receivedBytes += bytes;
    if (m_isLingering) {
        read();
        return;
    }
    m_keepAlive.recordReceived(m_clock.now());
    const ssize_t parsedBytes = nghttp2_session_mem_recv(m_native, m_readBuffer.data(), bytes);
    if (m_isAborted) {
        return;
    }
    if (parsedBytes < 0) {
        abort(ResultCode::ProtocolError);
        return;
    }
    scheduleFlush();
    read();
}

void Http2Session::scheduleFlush()
{
    if (m_isFlushScheduled || m_isAborted || !m_transport) {
        return;
    }
    m_isFlushScheduled = true;
    asio::post(m_context, [self = shared_from_this()] {
        self->m_isFlushScheduled = false;
        self->flush();
    });
}

void Http2Session::flush()
{
    if (m_isWriting || m_isAborted) {
        return;
    }
    collectOutput();
    if (m_isAborted || finishIfDone()) {
        return;
    }
    if (m_writeBuffer.empty()) {
        return;
    }
    m_isWriting = true;
    m_transport->write(asio::buffer(m_writeBuffer), [self = shared_from_this()](const asio::error_code &error, std::size_t) {
        self->handleWritten(error);
    });
}

void Http2Session::collectOutput()
{
    m_writeBuffer.clear();
    while (m_writeBuffer.size() < writeBufferBytes) {
        const std::uint8_t *data = nullptr;
        const ssize_t length = nghttp2_session_mem_send(m_native, &data);
        if (length < 0) {
            abort(ResultCode::ProtocolError);
            return;
        }
        if (length == 0) {
            break;
        }
        m_writeBuffer.insert(m_writeBuffer.end(), data, data + length);
    }
    if (m_writeBuffer.empty() && m_writeBuffer.capacity() > idleWriteBufferBytes) {
        std::vector<std::uint8_t>().swap(m_writeBuffer);
    }
}

void Http2Session::handleWritten(const asio::error_code &error)
{
    m_isWriting = false;
    if (m_isAborted) {
        return;
    }
    if (error) {
        // The pending read reports why the connection ended, for example a TLS alert.
        return;
    }
    m_sentBytes += m_writeBuffer.size();
    flush();
}

bool Http2Session::isDone() const
{
    return m_streams.empty() && (m_isDraining || m_goawayLastStreamId);
}

bool Http2Session::finishIfDone()
{
    if (m_isLingering) {
        return true;
    }
    if (!m_writeBuffer.empty() || nghttp2_session_want_read(m_native) != 0 || nghttp2_session_want_write(m_native) != 0) {
        return false;
    }
    if (isDone()) {
        linger();
    } else {
        abort(ResultCode::ProtocolError);
    }
    return true;
}

void Http2Session::linger()
{
    // Closing a socket that has unread bytes resets the connection, and the peer loses data that it has not read yet. Therefore shut down the
    // sending direction first, and close the socket when the peer has shut down its direction or after a time limit.
    m_isLingering = true;
    m_transport->shutdownSend();
    m_timer.expires_after(m_options.keepAlive.timeout);
    m_timer.async_wait([weak = weak_from_this()](const asio::error_code &error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->abort(ResultCode::Ok);
        }
    });
}

void Http2Session::armTimer()
{
    const Duration wait = std::max(m_keepAlive.nextTick() - m_clock.now(), Duration::zero());
    m_timer.expires_after(wait);
    m_timer.async_wait([weak = weak_from_this()](const asio::error_code &error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_isAborted) {
            self->onTimer();
        }
    });
}

void Http2Session::onTimer()
{
    switch (m_keepAlive.tick(m_clock.now())) {
    case KeepAlive::Action::None:
        break;
    case KeepAlive::Action::Probe:
        nghttp2_submit_ping(m_native, NGHTTP2_FLAG_NONE, nullptr);
        scheduleFlush();
        break;
    case KeepAlive::Action::Unreachable:
        abort(ResultCode::Timeout);
        return;
    }
    armTimer();
}

void Http2Session::finish()
{
    if (m_isFinished) {
        return;
    }
    m_isFinished = true;
    auto streams = std::move(m_streams);
    m_streams.clear();
    for (const auto &[id, stream] : streams) {
        Http2StreamEnd end;
        end.cause = m_closeCause == ResultCode::Ok ? ResultCode::ConnectionLost : m_closeCause;
        end.isNotStarted = m_role == Role::Client && !stream->m_isRequestSent;
        closeStream(stream, end);
    }
    const Http2SessionHandlers handlers = std::move(m_handlers);
    m_handlers = {};
    if (handlers.closed) {
        handlers.closed(m_closeCause);
    }
}

void Http2Session::closeStream(const std::shared_ptr<Http2Stream> &stream, const Http2StreamEnd &end)
{
    if (stream->m_isClosed) {
        return;
    }
    stream->m_isClosed = true;
    m_streams.erase(stream->m_id);
    // The stream's received bytes will not be consumed: return their flow control credit for the connection.
    nghttp2_session_consume_connection(m_native, stream->m_unconsumedBytes);
    stream->m_unconsumedBytes = 0;
    stream->m_sendQueue.clear();
    stream->m_queuedBytes = 0;
    const Http2StreamHandlers handlers = std::move(stream->m_handlers);
    stream->m_handlers = {};
    if (handlers.closed) {
        handlers.closed(end);
    }
}

void Http2Session::resumeSending(Http2Stream &stream)
{
    if (stream.m_isDeferred) {
        stream.m_isDeferred = false;
        nghttp2_session_resume_data(m_native, stream.m_id);
    }
    scheduleFlush();
}

std::ptrdiff_t Http2Session::takeQueued(Http2Stream &stream, std::span<std::uint8_t> out, std::uint32_t &flags)
{
    std::size_t taken = 0;
    while (taken < out.size() && !stream.m_sendQueue.empty()) {
        const std::vector<std::uint8_t> &front = stream.m_sendQueue.front();
        const std::size_t length = std::min(out.size() - taken, front.size() - stream.m_sendQueueOffset);
        std::copy_n(front.data() + stream.m_sendQueueOffset, length, out.data() + taken);
        taken += length;
        stream.m_sendQueueOffset += length;
        if (stream.m_sendQueueOffset == front.size()) {
            stream.m_sendQueue.pop_front();
            stream.m_sendQueueOffset = 0;
        }
    }
    stream.m_queuedBytes -= taken;
    if (stream.m_wantsWritable && stream.m_queuedBytes <= m_options.maxQueuedBytes / 2) {
        stream.m_wantsWritable = false;
        asio::post(m_context, [weak = weak_from_this(), id = stream.m_id] {
            const auto self = weak.lock();
            const auto found = self ? self->find(id) : nullptr;
            if (found && found->m_handlers.writable) {
                found->m_handlers.writable();
            }
        });
    }
    if (!stream.m_sendQueue.empty()) {
        return static_cast<std::ptrdiff_t>(taken);
    }
    if (stream.m_isLocallyEnded) {
        flags |= NGHTTP2_DATA_FLAG_EOF;
        if (!stream.m_trailers.empty()) {
            flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
            const auto fields = nativeHeaders(stream.m_trailers);
            nghttp2_submit_trailer(m_native, stream.m_id, fields.data(), fields.size());
        }
    } else if (taken == 0) {
        stream.m_isDeferred = true;
        return NGHTTP2_ERR_DEFERRED;
    }
    return static_cast<std::ptrdiff_t>(taken);
}

void Http2Session::beginStream(std::int32_t id)
{
    if (m_isAborted) {
        return;
    }
    auto stream = std::make_shared<Http2Stream>();
    stream->m_session = weak_from_this();
    stream->m_id = id;
    m_streams.emplace(id, std::move(stream));
}

void Http2Session::receiveHeaders(const std::shared_ptr<Http2Stream> &stream, bool isEnd)
{
    const HttpHeaders headers = std::move(stream->m_receivedHeaders);
    stream->m_receivedHeaders.clear();
    stream->m_receivedHeaderBytes = 0;
    if (stream->m_isLocallyReset) {
        return;
    }
    if (m_role == Role::Client && !stream->m_isResponseReceived) {
        if (isInformational(headers)) {
            return;
        }
        stream->m_isResponseReceived = true;
        if (stream->m_handlers.headers) {
            stream->m_handlers.headers(headers);
        }
        if (isEnd && stream->m_handlers.end) {
            stream->m_handlers.end({});
        }
        return;
    }
    if (m_role == Role::Server && !stream->m_isRequestReceived) {
        stream->m_isRequestReceived = true;
        acceptRequest(stream, headers);
        if (isEnd && stream->m_handlers.end) {
            stream->m_handlers.end({});
        }
        return;
    }
    if (isEnd && stream->m_handlers.end) {
        stream->m_handlers.end(headers);
    }
}

void Http2Session::acceptRequest(const std::shared_ptr<Http2Stream> &stream, const HttpHeaders &request)
{
    Http2StreamHandlers handlers;
    if (m_handlers.accept) {
        handlers = m_handlers.accept(request, stream);
    }
    if (!handlers.data && !handlers.closed) {
        stream->reset(Http2Error::RefusedStream);
        return;
    }
    stream->m_handlers = std::move(handlers);
}

void Http2Session::receiveGoaway(std::int32_t lastStreamId)
{
    const bool isFirst = !m_goawayLastStreamId.has_value();
    m_goawayLastStreamId = std::min(lastStreamId, m_goawayLastStreamId.value_or(lastStreamId));
    if (m_role == Role::Client) {
        // Requests that wait because of the limit of concurrent streams would otherwise wait until an open stream ends.
        std::vector<std::shared_ptr<Http2Stream>> unsentStreams;
        for (const auto &[id, stream] : m_streams) {
            if (!stream->m_isRequestSent) {
                unsentStreams.push_back(stream);
            }
        }
        for (const auto &stream : unsentStreams) {
            nghttp2_submit_rst_stream(m_native, NGHTTP2_FLAG_NONE, stream->m_id, NGHTTP2_CANCEL);
            handleNativeStreamClosed(stream->m_id, NGHTTP2_REFUSED_STREAM);
        }
    }
    if (isFirst && m_handlers.draining) {
        m_handlers.draining();
    }
}

void Http2Session::receiveData(std::int32_t id, std::span<const std::uint8_t> data)
{
    const auto stream = find(id);
    if (!stream) {
        nghttp2_session_consume_connection(m_native, data.size());
        return;
    }
    if (stream->m_isLocallyReset || !stream->m_handlers.data) {
        nghttp2_session_consume(m_native, id, data.size());
        return;
    }
    stream->m_unconsumedBytes += data.size();
    stream->m_handlers.data(data);
}

void Http2Session::handleNativeStreamClosed(std::int32_t id, std::uint32_t error)
{
    const auto stream = find(id);
    if (!stream) {
        return;
    }
    const bool isComplete = error == NGHTTP2_NO_ERROR && !stream->m_peerResetCode;
    const bool isAboveGoaway = m_goawayLastStreamId && id > *m_goawayLastStreamId;
    const bool isRefused = stream->m_peerResetCode == Http2Error::RefusedStream;
    Http2StreamEnd end;
    end.isComplete = isComplete;
    end.cause = isComplete ? ResultCode::Ok : ResultCode::Cancelled;
    end.error = static_cast<Http2Error>(error);
    end.isNotStarted = m_role == Role::Client && (!stream->m_isRequestSent || (!stream->m_isResponseReceived && (isAboveGoaway || isRefused)));
    closeStream(stream, end);
}

}
