#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/core/error.h>
#include <jujubequay/core/identifiers.h>
#include <jujubequay/core/log.h>
#include <jujubequay/net/accept_loop.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace Jujubequay {

struct Http1Request {
    std::string method;
    std::string target; ///< path and optional query
    std::string body;
};

struct Http1Response {
    unsigned status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::string location; ///< Location header of a redirect; empty: not sent
    std::uint32_t retryAfterSeconds = 0; ///< Retry-After header; 0: not sent
};

struct Http1ServerOptions {
    std::size_t maxBodyBytes = 4U << 20U;
    std::size_t maxHeaderBytes = 16U << 10U; ///< limit of the request target
    std::size_t maxConnections = 512; ///< further connections are closed immediately
    Duration idleTimeout = std::chrono::seconds(20); ///< longest wait for the next bytes of a request or for a response to be written
    bool allowsKeepAlive = true; ///< HTTP keep-alive: serves more than one request on a connection
};

/// HTTP/1.1 server that handles the requests of a connection one at a time. The handler receives a function that sends the response. It calls
/// this function once, immediately or later.
class Http1Server : public std::enable_shared_from_this<Http1Server>
{
public:
    using Respond = std::function<void(Http1Response)>;
    using Handler = std::function<void(Http1Request, Respond)>;

    /// Fails with AddressUnavailable.
    static Result<std::shared_ptr<Http1Server>> listen(
        asio::io_context &context, Logger &logger, const HostAddress &address, Handler handler, Http1ServerOptions options = {});

    HostAddress address() const;
    void stop();

private:
    class Connection;

    Http1Server(asio::io_context &context, Logger &logger, Handler handler, Http1ServerOptions options);
    void accept(asio::ip::tcp::socket socket);

    asio::io_context &m_context;
    Logger &m_logger;
    const Handler m_handler;
    const Http1ServerOptions m_options;
    std::shared_ptr<AcceptLoop> m_acceptLoop;
    std::set<std::shared_ptr<Connection>> m_connections;
};

}
