#include "jujubequay/net/http2_native.h"

#include <jujubequay/core/invariant.h>
#include <jujubequay/net/http2_session.h>

#include <asio/post.hpp>

namespace Jujubequay {

std::string_view headerValue(const HttpHeaders &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (header.name == name) {
            return header.value;
        }
    }
    return {};
}

void Http2Stream::respond(const HttpHeaders &headers)
{
    const auto owner = m_session.lock();
    if (m_isClosed || m_isLocalReset || !owner) {
        return;
    }
    checkInvariant(!m_hasResponded, "a request is answered once");
    m_hasResponded = true;
    const auto fields = nativeHeaders(headers);
    const nghttp2_data_provider provider = queueProvider();
    nghttp2_submit_response(owner->m_native, m_id, fields.data(), fields.size(), &provider);
    owner->scheduleFlush();
}

bool Http2Stream::send(std::span<const std::uint8_t> data)
{
    const auto owner = m_session.lock();
    if (m_isClosed || m_isLocalReset || m_isLocalEnd || !owner) {
        return true;
    }
    if (m_queuedBytes + data.size() > owner->m_options.maxQueuedBytes) {
        m_isFull = true;
        return false;
    }
    if (data.empty()) {
        return true;
    }
    m_queue.emplace_back(data.begin(), data.end());
    m_queuedBytes += data.size();
    m_isFull = m_isFull || m_queuedBytes > owner->m_options.maxQueuedBytes / 2;
    owner->resume(*this);
    return true;
}

void Http2Stream::end(const HttpHeaders &trailers)
{
    const auto owner = m_session.lock();
    if (m_isClosed || m_isLocalReset || m_isLocalEnd || !owner) {
        return;
    }
    m_isLocalEnd = true;
    m_trailers = trailers;
    owner->resume(*this);
}

void Http2Stream::reset(Http2Error error)
{
    const auto owner = m_session.lock();
    if (m_isClosed || m_isLocalReset || !owner) {
        return;
    }
    m_isLocalReset = true;
    m_queue.clear();
    m_queuedBytes = 0;
    nghttp2_submit_rst_stream(owner->m_native, NGHTTP2_FLAG_NONE, m_id, static_cast<std::uint32_t>(error));
    owner->scheduleFlush();
    Http2StreamEnd end;
    end.cause = ResultCode::Cancelled;
    end.error = error;
    end.isNotStarted = owner->m_role == Http2Session::Role::Client && !m_isRequestSent;
    asio::post(owner->m_context, [owner, id = m_id, end] {
        if (const auto stream = owner->find(id)) {
            owner->closeStream(stream, end);
        }
    });
}

void Http2Stream::consume(std::size_t bytes)
{
    const auto owner = m_session.lock();
    if (m_isClosed || !owner) {
        return;
    }
    checkInvariant(bytes <= m_unconsumedBytes, "only received bytes are consumed");
    m_unconsumedBytes -= bytes;
    nghttp2_session_consume(owner->m_native, m_id, bytes);
    owner->scheduleFlush();
}

std::size_t Http2Stream::queuedBytes() const
{
    return m_queuedBytes;
}

std::int32_t Http2Stream::id() const
{
    return m_id;
}

bool Http2Stream::isClosed() const
{
    return m_isClosed;
}

std::shared_ptr<Http2Session> Http2Stream::session() const
{
    return m_session.lock();
}

}
