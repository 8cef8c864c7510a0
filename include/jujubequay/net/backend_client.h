#pragma once

#include <jujubequay/core/identifiers.h>
#include <jujubequay/core/log.h>
#include <jujubequay/net/http2_session.h>

#include <memory>
#include <set>
#include <string>

namespace Jujubequay {

/// Whether the backend server processed a request that has ended.
enum class BackendOutcome : std::uint8_t {
    Completed, ///< the complete response was received
    NotStarted, ///< provably not processed: never sent, refused with REFUSED_STREAM, or above the last stream of a GOAWAY
    MayHaveRun, ///< possibly processed, but no complete response was received
};

std::string_view backendOutcomeName(BackendOutcome outcome);

/// How a request to the backend server ended.
struct BackendCallEnd {
    BackendOutcome outcome = BackendOutcome::MayHaveRun;
    ResultCode cause = ResultCode::Ok; ///< Ok, Cancelled, ConnectionLost, Timeout or ProtocolError
};

/// Callbacks of a BackendCall. They run on the io_context thread, never from within a member function of the call. None runs after `closed`.
struct BackendCallHandlers {
    std::function<void(int status, const HttpHeaders &headers)> headers;
    std::function<void(std::span<const std::uint8_t> data)> data; ///< call BackendCall::consume to return flow control credit
    std::function<void()> writable; ///< called after `send` has returned false, when the queue has space again
    std::function<void(const BackendCallEnd &end)> closed;
};

/// A request to the backend server that is in progress.
class BackendCall
{
public:
    /// Queues a part of the request body. Returns false and queues nothing if the send queue would exceed Http2Options::maxQueuedBytes.
    bool send(std::span<const std::uint8_t> data);
    /// Ends the request body.
    void end();
    /// Cancels the request with RST_STREAM; `closed` follows with Cancelled.
    void cancel();
    /// Returns flow control credit: the backend server may send `bytes` more of the response.
    void consume(std::size_t bytes);
    /// Bytes of the request body that are queued and not sent yet.
    std::size_t queuedBytes() const;

private:
    friend class BackendClient;
    std::shared_ptr<Http2Stream> m_stream;
};

struct BackendClientOptions {
    Http2Options http2;
    Duration connectTimeout = std::chrono::seconds(2);
};

/// An agent's HTTP/2 connection, without TLS, to its backend server. Connects on the first request and reconnects after the connection is lost
/// or the backend server drains it. Requests in progress stay on the draining connection.
class BackendClient : public std::enable_shared_from_this<BackendClient>
{
public:
    static std::shared_ptr<BackendClient> create(asio::io_context &context, const Clock &clock, const HostAddress &address, BackendClientOptions options = {});
    ~BackendClient();
    BackendClient(const BackendClient &) = delete;
    BackendClient &operator=(const BackendClient &) = delete;

    /// Starts a request. `headers` are added to the pseudo-header fields.
    std::shared_ptr<BackendCall> start(const std::string &method, const std::string &path, const HttpHeaders &headers, BackendCallHandlers handlers);
    /// The handler is called when the backend server sends GOAWAY, that is, accepts no new requests on the connection.
    void setDrainingHandler(std::function<void()> handler);
    /// Closes all connections; open requests end with ConnectionLost.
    void stop();

private:
    struct Connection;

    BackendClient(asio::io_context &context, const Clock &clock, const HostAddress &address, BackendClientOptions options);
    /// The session for new requests. Connects if there is none that accepts requests.
    std::shared_ptr<Http2Session> session();
    std::shared_ptr<Http2Session> connect();

    asio::io_context &m_context;
    const Clock &m_clock;
    HostAddress m_address;
    BackendClientOptions m_options;
    std::function<void()> m_drainingHandler;
    std::shared_ptr<Http2Session> m_currentSession; ///< session for new requests
    std::set<std::shared_ptr<Http2Session>> m_sessions; ///< all open sessions, including draining ones
};

}
