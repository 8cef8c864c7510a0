#pragma once

#include <jujubequay/core/error.h>
#include <jujubequay/core/identifiers.h>
#include <jujubequay/core/log.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace Jujubequay {

/// Accepts TCP connections on one address until it is stopped. A failed accept, mostly for want of file descriptors, is logged and tried
/// again after a wait.
class AcceptLoop : public std::enable_shared_from_this<AcceptLoop>
{
public:
    using Handler = std::function<void(asio::ip::tcp::socket)>;

    /// Fails with AddressUnavailable. Port 0 picks a free port. `logger` outlives the loop.
    static Result<std::shared_ptr<AcceptLoop>> listen(asio::io_context &context, Logger &logger, const HostAddress &address, Handler handler);

    HostAddress address() const;
    /// The handler is not called any more.
    void stop();

private:
    AcceptLoop(asio::io_context &context, Logger &logger, Handler handler);
    void acceptNext();

    Logger &m_logger;
    const Handler m_handler;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_retryTimer;
};

}
