#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/core/result_code.h>
#include <jujubequay/net/byte_transport.h>
#include <jujubequay/net/keep_alive.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

struct nghttp2_session;

namespace Jujubequay {

struct HttpHeader {
    std::string name; ///< lower case; pseudo-header fields such as ":path" come first
    std::string value;
};
using HttpHeaders = std::vector<HttpHeader>;

/// The value of the first field of that name; empty if there is none.
std::string_view headerValue(const HttpHeaders &headers, std::string_view name);

/// Error codes of RST_STREAM and GOAWAY (RFC 9113, 7).
enum class Http2Error : std::uint32_t {
    NoError = 0x0,
    ProtocolError = 0x1,
    InternalError = 0x2,
    RefusedStream = 0x7,
    Cancel = 0x8,
    EnhanceYourCalm = 0xB,
};

/// How a stream ended.
struct Http2StreamEnd {
    ResultCode cause = ResultCode::Ok; ///< Ok, Cancelled (reset by either end), or the reason why the connection ended
    Http2Error error = Http2Error::NoError; ///< code of the RST_STREAM, if the stream was reset
    bool isComplete = false; ///< both directions ended normally
    /// Client streams: the server provably did not process the request. It was never sent, was refused with REFUSED_STREAM, or its stream
    /// identifier is above the last one of a GOAWAY.
    bool isNotStarted = false;
};

/// Callbacks of a stream. They run on the io_context thread, never from within a member function of the stream. None runs after `closed`.
struct Http2StreamHandlers {
    std::function<void(const HttpHeaders &headers)> headers; ///< response headers of a client stream
    std::function<void(std::span<const std::uint8_t> data)> data; ///< call Http2Stream::consume to return flow control credit
    std::function<void(const HttpHeaders &trailers)> end; ///< the peer has ended its direction of the stream
    std::function<void()> writable; ///< the send queue fell to half its limit or below after it was fuller or `send` returned false
    std::function<void(const Http2StreamEnd &end)> closed;
};

class Http2Session;

/// One stream of a session. The session owns a reference to it until it is closed.
class Http2Stream
{
public:
    /// Sends response headers (server streams only, once).
    void respond(const HttpHeaders &headers);
    /// Queues data. Returns false and queues nothing if the send queue would exceed Http2Options::maxQueuedBytes. Drops the data and returns true
    /// if the stream is closed, reset or ended.
    bool send(std::span<const std::uint8_t> data);
    /// Ends the local direction of the stream once the queued data is sent.
    void end(const HttpHeaders &trailers = {});
    /// Resets the stream with RST_STREAM. `closed` follows with Cancelled.
    void reset(Http2Error error);
    /// Returns flow control credit: the peer may send `bytes` more.
    void consume(std::size_t bytes);
    /// Bytes in the send queue.
    std::size_t queuedBytes() const;
    std::int32_t id() const;
    bool isClosed() const;
    std::shared_ptr<Http2Session> session() const;

private:
    friend class Http2Session;
    friend struct Http2Callbacks;

    std::weak_ptr<Http2Session> m_session;
    std::int32_t m_id = 0;
    Http2StreamHandlers m_handlers;
    HttpHeaders m_receivedHeaders; ///< fields of the header block that is being received
    std::size_t m_receivedHeaderBytes = 0;
    std::size_t m_unconsumedBytes = 0;
    std::deque<std::vector<std::uint8_t>> m_sendQueue;
    std::size_t m_sendQueueOffset = 0; ///< bytes of the first queue element that are sent already
    std::size_t m_queuedBytes = 0;
    HttpHeaders m_trailers;
    std::optional<Http2Error> m_peerResetCode;
    bool m_isLocallyEnded = false;
    bool m_isLocallyReset = false;
    bool m_isDeferred = false; ///< nghttp2 reads no data from the queue until it is resumed
    bool m_isRequestSent = false;
    bool m_isResponseSent = false;
    bool m_isResponseReceived = false;
    bool m_isRequestReceived = false;
    bool m_wantsWritable = false; ///< `writable` is called when the queue has fallen to half its limit
    bool m_isClosed = false;
};

struct Http2Options {
    std::size_t streamWindowBytes = 256U << 10U; ///< flow control window of a stream: bytes received and not consumed
    std::size_t connectionWindowBytes = 1U << 20U; ///< flow control window of the connection
    std::size_t maxQueuedBytes = 1U << 20U; ///< limit of the send queue of a stream
    std::size_t readBufferBytes = 16U << 10U;
    std::size_t maxHeaderBytes = 16U << 10U; ///< names and values of one header block
    std::uint32_t maxStreams = 1000; ///< concurrent streams that the peer may open
    std::uint32_t maxResetBurst = 1000; ///< streams that a client may reset in a burst before it is disconnected
    std::uint32_t maxResetsPerSecond = 100; ///< sustained rate of stream resets that a client may cause
    KeepAliveOptions keepAlive;
};

/// Server role: returns the handlers for the stream of a new request. If both `data` and `closed` are empty, the stream is refused with
/// REFUSED_STREAM.
using Http2Acceptor = std::function<Http2StreamHandlers(const HttpHeaders &request, const std::shared_ptr<Http2Stream> &stream)>;

struct Http2SessionHandlers {
    Http2Acceptor accept; ///< used in the server role only
    std::function<void()> draining; ///< the peer has sent GOAWAY and accepts no new requests
    std::function<void(ResultCode)> closed; ///< called once, after the `closed` of all streams
};

/// An HTTP/2 connection (RFC 9113) in either role, with flow control in both directions and bounded buffers. Used on the io_context thread only.
class Http2Session : public std::enable_shared_from_this<Http2Session>
{
public:
    enum class Role : std::uint8_t { Client, Server };

    static std::shared_ptr<Http2Session> create(asio::io_context &context, const Clock &clock, Role role, Http2Options options, Http2SessionHandlers handlers);
    ~Http2Session();
    Http2Session(const Http2Session &) = delete;
    Http2Session &operator=(const Http2Session &) = delete;

    /// Starts the session on a connected transport and sends the requests made before.
    void start(std::unique_ptr<ByteTransport> transport);
    /// Opens a stream (client role). Returns null if the session accepts no more requests.
    std::shared_ptr<Http2Stream> request(const HttpHeaders &headers, Http2StreamHandlers handlers);
    /// Sends GOAWAY so that the peer opens no more streams, completes the open streams and then closes the connection.
    void drain();
    /// Closes the connection immediately. Open streams end with `cause`, or with ConnectionLost if `cause` is Ok.
    void abort(ResultCode cause);
    /// False once the session is draining or aborted or the peer has sent GOAWAY.
    bool acceptsRequests() const;
    std::size_t streamCount() const;
    std::uint64_t sentBytes() const; ///< bytes written to the transport
    std::uint64_t receivedBytes() const;

private:
    friend class Http2Stream;
    friend struct Http2Callbacks;

    Http2Session(asio::io_context &context, const Clock &clock, Role role, Http2Options options, Http2SessionHandlers handlers);
    void createNativeSession();
    void submitSettings();
    void read();
    void receive(std::size_t bytes);
    void scheduleFlush();
    void flush();
    void collectOutput();
    void handleWritten(const asio::error_code &error);
    void armTimer();
    void onTimer();
    void finish();
    bool finishIfDone();
    void linger();
    bool isDone() const;
    void handleReadError(const asio::error_code &error);
    void beginStream(std::int32_t id);
    void acceptRequest(const std::shared_ptr<Http2Stream> &stream, const HttpHeaders &request);
    void receiveHeaders(const std::shared_ptr<Http2Stream> &stream, bool isEnd);
    void receiveGoaway(std::int32_t lastStreamId);
    void receiveData(std::int32_t id, std::span<const std::uint8_t> data);
    void resumeSending(Http2Stream &stream);
    void handleNativeStreamClosed(std::int32_t id, std::uint32_t error);
    std::ptrdiff_t takeQueued(Http2Stream &stream, std::span<std::uint8_t> out, std::uint32_t &flags);
    void closeStream(const std::shared_ptr<Http2Stream> &stream, const Http2StreamEnd &end);
    std::shared_ptr<Http2Stream> find(std::int32_t id) const;

    asio::io_context &m_context;
    const Clock &m_clock;
    const Role m_role;
    const Http2Options m_options;
    Http2SessionHandlers m_handlers;
    nghttp2_session *m_native = nullptr;
    std::unique_ptr<ByteTransport> m_transport;
    std::map<std::int32_t, std::shared_ptr<Http2Stream>> m_streams;
    std::vector<std::uint8_t> m_readBuffer;
    std::vector<std::uint8_t> m_writeBuffer;
    asio::steady_timer m_timer;
    KeepAlive m_keepAlive;
    std::optional<std::int32_t> m_goawayLastStreamId; ///< smallest last stream identifier of the peer's GOAWAY frames
    ResultCode m_closeCause = ResultCode::Ok;
    std::uint64_t m_sentBytes = 0;
    std::uint64_t m_receivedBytes = 0;
    bool m_isWriting = false;
    bool m_isFlushScheduled = false;
    bool m_isDraining = false;
    bool m_isLingering = false;
    bool m_isAborted = false;
    bool m_isFinished = false;
};

}
