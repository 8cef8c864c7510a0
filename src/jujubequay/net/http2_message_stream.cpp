#include "jujubequay/net/http2_message_stream.h"

#include <jujubequay/core/invariant.h>

namespace Jujubequay {

Http2MessageStream::Http2MessageStream(Context context)
    : m_context(std::move(context))
    , m_reader(m_context.maxMessageBytes)
{
}

Http2StreamHandlers Http2MessageStream::http2Handlers()
{
    const auto self = shared_from_this();
    Http2StreamHandlers handlers;
    handlers.headers = [self](const HttpHeaders &headers) {
        self->receiveHeaders(headers);
    };
    handlers.data = [self](std::span<const std::uint8_t> data) {
        self->receiveData(data);
    };
    handlers.end = [self](const HttpHeaders &) {
        self->close();
    };
    handlers.closed = [self](const Http2StreamEnd &end) {
        self->finish(end);
    };
    return handlers;
}

void Http2MessageStream::attach(std::shared_ptr<Http2Stream> stream)
{
    checkInvariant(stream != nullptr, "a session that accepts requests opens a stream");
    m_stream = std::move(stream);
}

void Http2MessageStream::setHandlers(MessageStreamHandlers handlers)
{
    m_handlers = std::move(handlers);
}

void Http2MessageStream::fail(ResultCode result)
{
    if (m_failure != ResultCode::Ok) {
        return;
    }
    m_failure = result;
    m_stream->reset(Http2Error::Cancel);
}

void Http2MessageStream::send(const google::protobuf::MessageLite &message)
{
    if (m_isClosing || m_failure != ResultCode::Ok || m_stream->isClosed()) {
        return;
    }
    const Bytes frame = encodeFrame(message);
    if (frame.size() > m_context.maxMessageBytes) {
        m_context.logger.error("message-too-large", {{"path", m_context.path}, {"bytes", frame.size()}});
        fail(ResultCode::MessageTooLarge);
        return;
    }
    if (m_stream->send(frame)) {
        m_context.traffic.addSent(m_context.path, frame.size());
        return;
    }
    m_context.logger.warning("slow-peer-disconnected", {{"path", m_context.path}, {"peer", m_context.peer->name}, {"queued_bytes", m_stream->queuedBytes()}});
    m_failure = ResultCode::ConnectionLost;
    if (const auto session = m_stream->session()) {
        session->abort(ResultCode::ConnectionLost);
    }
}

void Http2MessageStream::close()
{
    m_isClosing = true;
    m_stream->end();
}

void Http2MessageStream::awaitAcceptance()
{
    m_isEstablished = false;
}

bool Http2MessageStream::isEstablished() const
{
    return m_isEstablished;
}

std::size_t Http2MessageStream::queuedBytes() const
{
    return m_stream->queuedBytes();
}

PeerIdentity Http2MessageStream::peer() const
{
    return *m_context.peer;
}

void Http2MessageStream::receiveHeaders(const HttpHeaders &headers)
{
    if (headerValue(headers, ":status") != "200") {
        fail(ResultCode::NotAuthorized);
        return;
    }
    m_isEstablished = true;
}

void Http2MessageStream::receiveData(std::span<const std::uint8_t> data)
{
    // Control messages are handled on arrival, so flow control credit is returned immediately.
    m_stream->consume(data.size());
    m_context.traffic.addReceived(m_context.path, data.size());
    m_reader.add(data);
    while (!m_isClosing && m_failure == ResultCode::Ok) {
        auto frame = m_reader.nextFrame();
        if (!frame) {
            break;
        }
        if (m_handlers.message) {
            m_handlers.message(std::move(*frame));
        }
    }
    if (m_reader.isBroken()) {
        fail(ResultCode::MessageTooLarge);
    }
}

void Http2MessageStream::finish(const Http2StreamEnd &end)
{
    const MessageStreamHandlers handlers = std::move(m_handlers);
    m_handlers = {};
    if (handlers.closed) {
        handlers.closed(resultOf(end));
    }
}

ResultCode Http2MessageStream::resultOf(const Http2StreamEnd &end) const
{
    if (m_failure != ResultCode::Ok) {
        return m_failure;
    }
    if (end.isComplete) {
        return ResultCode::Ok;
    }
    return end.cause == ResultCode::Cancelled ? ResultCode::ConnectionLost : end.cause;
}

}
