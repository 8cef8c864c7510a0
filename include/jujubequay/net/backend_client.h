#pragma once

#include <jujubequay/core/identifiers.h>
#include <jujubequay/core/log.h>
#include <jujubequay/net/http2_session.h>

#include <memory>
#include <set>
#include <string>

namespace Jujubequay {

/// What is known about the work of a request when it has ended.
enum class BackendVerdict : std::uint8_t {
    Completed, ///< the whole answer was received
    NotStarted, ///< provably not run: never sent, refused with REFUSED_STREAM, or above the last stream of a GOAWAY
    MayHaveRun,
};

std::string_view backendVerdictName(BackendVerdict verdict);

struct BackendEnd {
    BackendVerdict verdict = BackendVerdict::MayHaveRun;
    ResultCode cause = ResultCode::Ok; ///< Ok, Cancelled, ConnectionLost, Timeout or ProtocolError
};

/// Called on the thread of the io_context, never from within a call. After `closed` none is called again.
struct BackendCallHandlers {
    std::function<void(int status, const HttpHeaders &headers)> headers;
    std::function<void(std::span<const std::uint8_t> data)> data; ///< give back credit with BackendCall::consume
    std::function<void()> writable; ///< more of the body can be sent after `send` has returned false
    std::function<void(const BackendEnd &end)> closed;
};

/// A request to the backend server.
class BackendCall
{
public:
    /// Queues a part of the body. Returns false, without queueing anything, if too much is waiting.
    bool send(std::span<const std::uint8_t> data);
    /// Ends the body.
    void end();
    /// Cancels the request with RST_STREAM; `closed` follows with Cancelled.
    void cancel();
    /// Lets the backend server send that many more bytes of the answer.
    void consume(std::size_t bytes);
    std::size_t queuedBytes() const;

private:
    friend class BackendClient;
    std::shared_ptr<Http2Stream> m_stream;
};

struct BackendClientOptions {
    Http2Options http2;
    Duration connectTimeout = std::chrono::seconds(2);
};

/// An agent's connection to its backend server, HTTP/2 without TLS. Connects on the first request, and again when the
/// connection was lost or the backend server drains it; requests that run on the earlier connection continue there.
class BackendClient : public std::enable_shared_from_this<BackendClient>
{
public:
    static std::shared_ptr<BackendClient> create(asio::io_context &context, const Clock &clock, const HostAddress &address, BackendClientOptions options = {});
    ~BackendClient();
    BackendClient(const BackendClient &) = delete;
    BackendClient &operator=(const BackendClient &) = delete;

    /// Starts a request. `headers` are added to the pseudo-header fields.
    std::shared_ptr<BackendCall> start(const std::string &method, const std::string &path, const HttpHeaders &headers, BackendCallHandlers handlers);
    /// Called when the backend server announces with GOAWAY that it takes no new requests on the connection.
    void setDrainingHandler(std::function<void()> handler);
    /// Closes all connections; open requests end with ConnectionLost.
    void stop();

private:
    struct Connection;

    BackendClient(asio::io_context &context, const Clock &clock, const HostAddress &address, BackendClientOptions options);
    std::shared_ptr<Http2Session> session();
    std::shared_ptr<Http2Session> connect();

    asio::io_context &m_context;
    const Clock &m_clock;
    HostAddress m_address;
    BackendClientOptions m_options;
    std::function<void()> m_draining;
    std::shared_ptr<Http2Session> m_current;
    std::set<std::shared_ptr<Http2Session>> m_sessions;
};

}
