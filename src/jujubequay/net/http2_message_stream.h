#pragma once

#include <jujubequay/core/log.h>
#include <jujubequay/net/http2_session.h>
#include <jujubequay/net/message_stream.h>
#include <jujubequay/net/traffic.h>

#include <google/protobuf/message_lite.h>

namespace Jujubequay {

/// A MessageStream on one HTTP/2 stream of either role.
class Http2MessageStream final
    : public MessageStream
    , public std::enable_shared_from_this<Http2MessageStream>
{
public:
    struct Context {
        std::string path;
        std::size_t maxMessageBytes;
        std::shared_ptr<const PeerIdentity> peer;
        TrafficCounters &traffic;
        Logger &logger;
    };

    explicit Http2MessageStream(Context context);

    /// Handlers for the HTTP/2 stream. They own a reference to this object until the stream is closed.
    Http2StreamHandlers http2Handlers();
    /// Sets the HTTP/2 stream that carries the messages; called once, before any other use.
    void attach(std::shared_ptr<Http2Stream> stream);
    void setHandlers(MessageStreamHandlers handlers);
    /// Resets the stream. `closed` is called with `result`, regardless of how the peer ends the stream.
    void fail(ResultCode result);

    void send(const google::protobuf::MessageLite &message) override;
    void close() override;
    /// Client streams: `isEstablished` returns false until the server has accepted the stream.
    void awaitAcceptance();
    bool isEstablished() const override;
    std::size_t queuedBytes() const override;
    PeerIdentity peer() const override;

private:
    void receiveHeaders(const HttpHeaders &headers);
    void receiveData(std::span<const std::uint8_t> data);
    void finish(const Http2StreamEnd &end);
    ResultCode resultOf(const Http2StreamEnd &end) const;

    Context m_context;
    std::shared_ptr<Http2Stream> m_stream;
    MessageStreamHandlers m_handlers;
    FrameReader m_reader;
    ResultCode m_failure = ResultCode::Ok;
    bool m_isClosing = false;
    bool m_isEstablished = true;
};

}
