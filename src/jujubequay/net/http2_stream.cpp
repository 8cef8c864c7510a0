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
    const auto session = m_session.lock();
    if (m_isClosed || m_isLocallyReset || !session) {
        return;
    }
    checkInvariant(!m_isResponseSent, "a request is answered once");
    m_isResponseSent = true;
    const auto fields = nativeHeaders(headers);
    const nghttp2_data_provider provider = sendQueueProvider();
    nghttp2_submit_response(session->m_native, m_id, fields.data(), fields.size(), &provider);
    session->scheduleFlush();
}

bool Http2Stream::send(std::span<const std::uint8_t> data)
{
    const auto session = m_session.lock();
    if (m_isClosed || m_isLocallyReset || m_isLocallyEnded || !session) {
        return true;
    }
    if (m_queuedBytes + data.size() > session->m_options.maxQueuedBytes) {
        m_wantsWritable = true;
        return false;
    }
    if (data.empty()) {
        return true;
    }
    m_sendQueue.emplace_back(data.begin(), data.end());
    m_queuedBytes += data.size();
    m_wantsWritable = m_wantsWritable || m_queuedBytes > session->m_options.maxQueuedBytes / 2;
    session->resumeSending(*this);
    return true;
}

void Http2Stream::end(const HttpHeaders &trailers)
{
    const auto session = m_session.lock();
    if (m_isClosed || m_isLocallyReset || m_isLocallyEnded || !session) {
        return;
    }
    m_isLocallyEnded = true;
    m_trailers = trailers;
    session->resumeSending(*this);
}

void Http2Stream::reset(Http2Error error)
{
    const auto session = m_session.lock();
    if (m_isClosed || m_isLocallyReset || !session) {
        return;
    }
    m_isLocallyReset = true;
    m_sendQueue.clear();
    m_queuedBytes = 0;
    nghttp2_submit_rst_stream(session->m_native, NGHTTP2_FLAG_NONE, m_id, static_cast<std::uint32_t>(error));
    session->scheduleFlush();
    Http2StreamEnd end;
    end.cause = ResultCode::Cancelled;
    end.error = error;
    end.isNotStarted = session->m_role == Http2Session::Role::Client && !m_isRequestSent;
    asio::post(session->m_context, [session, id = m_id, end] {
        if (const auto stream = session->find(id)) {
            session->closeStream(stream, end);
        }
    });
}

void Http2Stream::consume(std::size_t bytes)
{
    const auto session = m_session.lock();
    if (m_isClosed || !session) {
        return;
    }
    checkInvariant(bytes <= m_unconsumedBytes, "only received bytes are consumed");
    m_unconsumedBytes -= bytes;
    nghttp2_session_consume(session->m_native, m_id, bytes);
    session->scheduleFlush();
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
