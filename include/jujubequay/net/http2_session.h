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
    ResultCode cause = ResultCode::Ok; ///< Ok, Cancelled (reset by either end), or why the connection ended
    Http2Error error = Http2Error::NoError; ///< code of the RST_STREAM, if the stream was reset
    bool isComplete = false; ///< both directions ended normally
    /// Client streams: the server provably did not process the request. It was never sent, was refused with
    /// REFUSED_STREAM, or lies above the last stream of a GOAWAY.
    bool isNotStarted = false;
};

/// Called on the thread of the io_context, never from within a call on the stream. After `closed` none is called again.
struct Http2StreamHandlers {
    std::function<void(const HttpHeaders &headers)> headers; ///< response headers of a client stream
    std::function<void(std::span<const std::uint8_t> data)> data; ///< give back credit with Http2Stream::consume
    std::function<void(const HttpHeaders &trailers)> end; ///< the peer has sent everything
    std::function<void()> writable; ///< queued bytes fell to half the limit or below
    std::function<void(const Http2StreamEnd &end)> closed;
};

class Http2Session;

/// One stream of a session. The session keeps it until it is closed.
class Http2Stream
{
public:
    /// Sends response headers (server streams only, once).
    void respond(const HttpHeaders &headers);
    /// Queues data. Returns false, without queueing anything, if more than the limit would wait. Data for a stream that
    /// is closed, reset or ended is dropped.
    bool send(std::span<const std::uint8_t> data);
    /// Ends the own direction once queued data is sent.
    void end(const HttpHeaders &trailers = {});
    void reset(Http2Error error);
    /// Lets the peer send that many more bytes.
    void consume(std::size_t bytes);
    /// Bytes that wait for flow control or the socket.
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
    HttpHeaders m_received;
    std::size_t m_receivedHeaderBytes = 0;
    std::size_t m_unconsumedBytes = 0;
    std::deque<std::vector<std::uint8_t>> m_queue;
    std::size_t m_queueOffset = 0;
    std::size_t m_queuedBytes = 0;
    HttpHeaders m_trailers;
    std::optional<Http2Error> m_peerReset;
    bool m_isLocalEnd = false;
    bool m_isLocalReset = false;
    bool m_isDeferred = false;
    bool m_isRequestSent = false;
    bool m_hasResponded = false;
    bool m_hasResponse = false;
    bool m_hasRequest = false;
    bool m_isFull = false;
    bool m_isClosed = false;
};

struct Http2Options {
    std::size_t streamWindowBytes = 256U << 10U; ///< received bytes of a stream that may wait to be consumed
    std::size_t connectionWindowBytes = 1U << 20U;
    std::size_t maxQueuedBytes = 1U << 20U; ///< sent bytes of a stream that may wait
    std::size_t readBufferBytes = 16U << 10U;
    std::size_t maxHeaderBytes = 16U << 10U; ///< names and values of one header block
    std::uint32_t maxStreams = 1000; ///< concurrent streams that the peer may open
    std::uint32_t resetBurst = 1000; ///< streams that a client may reset at once before it is disconnected
    std::uint32_t resetsPerSecond = 100; ///< streams that a client may reset in the long run
    KeepAliveOptions keepAlive;
};

/// Decides what to do with a request, on the server side. Handlers without `data` and `closed` refuse the stream with
/// REFUSED_STREAM.
using Http2Acceptor = std::function<Http2StreamHandlers(const HttpHeaders &request, const std::shared_ptr<Http2Stream> &stream)>;

struct Http2SessionHandlers {
    Http2Acceptor accept; ///< server role
    std::function<void()> draining; ///< the peer has sent GOAWAY: no new requests
    std::function<void(ResultCode)> closed; ///< called once, after the `closed` of all streams
};

/// An HTTP/2 connection (RFC 9113) in either role, with flow control both ways and bounded buffers. All calls are made
/// on the thread of the io_context.
class Http2Session : public std::enable_shared_from_this<Http2Session>
{
public:
    enum class Role : std::uint8_t { Client, Server };

    static std::shared_ptr<Http2Session> create(asio::io_context &context, const Clock &clock, Role role, Http2Options options, Http2SessionHandlers handlers);
    ~Http2Session();
    Http2Session(const Http2Session &) = delete;
    Http2Session &operator=(const Http2Session &) = delete;

    /// Starts to use a connected transport. Requests made earlier are sent now.
    void start(std::unique_ptr<ByteTransport> transport);
    /// Opens a stream (client role). Returns null if the session accepts no more requests.
    std::shared_ptr<Http2Stream> request(const HttpHeaders &headers, Http2StreamHandlers handlers);
    /// Tells the peer to open no more streams, finishes those that are open and closes the connection.
    void drain();
    /// Closes the connection at once; open streams end with `cause`.
    void abort(ResultCode cause);
    /// True until either end has announced that it closes the connection.
    bool acceptsRequests() const;
    std::size_t streamCount() const;
    std::uint64_t sentBytes() const; ///< bytes handed to the transport
    std::uint64_t receivedBytes() const;

private:
    friend class Http2Stream;
    friend struct Http2Callbacks;

    Http2Session(asio::io_context &context, const Clock &clock, Role role, Http2Options options, Http2SessionHandlers handlers);
    void createNative();
    void submitSettings();
    void read();
    void receive(std::size_t bytes);
    void scheduleFlush();
    void flush();
    void collectOutput();
    void written(const asio::error_code &error);
    void armTimer();
    void onTimer();
    void finish();
    bool finishIfDone();
    void linger();
    bool isDone() const;
    void readFailed(const asio::error_code &error);
    void beginStream(std::int32_t id);
    void acceptRequest(const std::shared_ptr<Http2Stream> &stream, const HttpHeaders &request);
    void receiveHeaders(const std::shared_ptr<Http2Stream> &stream, bool isEnd);
    void receiveGoaway(std::int32_t lastStream);
    void receiveData(std::int32_t id, std::span<const std::uint8_t> data);
    void resume(Http2Stream &stream);
    void nativeStreamClosed(std::int32_t id, std::uint32_t error);
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
    std::optional<std::int32_t> m_peerLastStream;
    ResultCode m_cause = ResultCode::Ok;
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
