#include "jujubequay/net/http2_callbacks.h"

#include "jujubequay/net/http2_native.h"

#include <jujubequay/net/http2_session.h>

#include <algorithm>
#include <cstring>

namespace Jujubequay {

/// Translates nghttp2 callbacks into calls on Http2Session.
struct Http2Callbacks {
    static Http2Session &sessionOf(void *userData)
    {
        return *static_cast<Http2Session *>(userData);
    }

    static bool isEndOfStream(const nghttp2_frame *frame)
    {
        return (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    }

    static int beginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *userData)
    {
        if (frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
            sessionOf(userData).beginStream(frame->hd.stream_id);
        }
        return 0;
    }

    static int headerReceived(nghttp2_session *,
                              const nghttp2_frame *frame,
                              const std::uint8_t *name,
                              std::size_t nameLength,
                              const std::uint8_t *value,
                              std::size_t valueLength,
                              std::uint8_t,
                              void *userData)
    {
        Http2Session &session = sessionOf(userData);
        const auto stream = session.find(frame->hd.stream_id);
        if (!stream) {
            return 0;
        }
        stream->m_receivedHeaderBytes += nameLength + valueLength;
        if (stream->m_receivedHeaderBytes > session.m_options.maxHeaderBytes) {
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        }
        stream->m_receivedHeaders.push_back({std::string(name, name + nameLength), std::string(value, value + valueLength)});
        return 0;
    }

    static int frameReceived(nghttp2_session *native, const nghttp2_frame *frame, void *userData)
    {
        Http2Session &session = sessionOf(userData);
        const auto stream = session.find(frame->hd.stream_id);
        switch (frame->hd.type) {
        case NGHTTP2_HEADERS:
            if (stream) {
                session.receiveHeaders(stream, isEndOfStream(frame));
            }
            break;
        case NGHTTP2_DATA:
            if (stream && isEndOfStream(frame) && stream->m_handlers.end) {
                stream->m_handlers.end({});
            }
            break;
        case NGHTTP2_RST_STREAM:
            if (stream) {
                stream->m_peerResetCode = static_cast<Http2Error>(frame->rst_stream.error_code);
            }
            break;
        case NGHTTP2_GOAWAY:
            session.receiveGoaway(frame->goaway.last_stream_id);
            break;
        case NGHTTP2_PING:
            // The client has received the first GOAWAY of the graceful shutdown and opens no more streams.
            if ((frame->hd.flags & NGHTTP2_FLAG_ACK) != 0 && std::memcmp(frame->ping.opaque_data, drainPing, sizeof(drainPing)) == 0) {
                nghttp2_submit_goaway(native, 0, nghttp2_session_get_last_proc_stream_id(native), NGHTTP2_NO_ERROR, nullptr, 0);
            }
            break;
        default:
            break;
        }
        return 0;
    }

    static int dataReceived(nghttp2_session *, std::uint8_t, std::int32_t id, const std::uint8_t *data, std::size_t length, void *userData)
    {
        sessionOf(userData).receiveData(id, std::span(data, length));
        return 0;
    }

    static int streamClosed(nghttp2_session *, std::int32_t id, std::uint32_t error, void *userData)
    {
        sessionOf(userData).handleNativeStreamClosed(id, error);
        return 0;
    }

    static int frameSent(nghttp2_session *, const nghttp2_frame *frame, void *userData)
    {
        if (frame->hd.type == NGHTTP2_HEADERS) {
            if (const auto stream = sessionOf(userData).find(frame->hd.stream_id)) {
                stream->m_isRequestSent = true;
            }
        }
        return 0;
    }

    static ssize_t readSendQueue(
        nghttp2_session *, std::int32_t id, std::uint8_t *out, std::size_t length, std::uint32_t *flags, nghttp2_data_source *, void *userData)
    {
        Http2Session &session = sessionOf(userData);
        const auto stream = session.find(id);
        if (!stream) {
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        }
        return session.takeQueued(*stream, std::span(out, length), *flags);
    }

    static int frameNotSent(nghttp2_session *, const nghttp2_frame *frame, int, void *userData)
    {
        if (frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
            sessionOf(userData).handleNativeStreamClosed(frame->hd.stream_id, NGHTTP2_REFUSED_STREAM);
        }
        return 0;
    }
};

namespace {

nghttp2_session_callbacks *createCallbacks()
{
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, Http2Callbacks::beginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, Http2Callbacks::headerReceived);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, Http2Callbacks::frameReceived);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, Http2Callbacks::dataReceived);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, Http2Callbacks::streamClosed);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, Http2Callbacks::frameSent);
    nghttp2_session_callbacks_set_on_frame_not_send_callback(callbacks, Http2Callbacks::frameNotSent);
    return callbacks;
}

}

nghttp2_data_provider sendQueueProvider()
{
    nghttp2_data_provider provider{};
    provider.read_callback = Http2Callbacks::readSendQueue;
    return provider;
}

const nghttp2_session_callbacks *http2Callbacks()
{
    static const nghttp2_session_callbacks *const callbacks = createCallbacks();
    return callbacks;
}

}
