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

/// Accepts TCP connections on one address until it is stopped. Logs a failed accept, usually caused by a lack of file descriptors, and retries
/// after a delay.
class AcceptLoop : public std::enable_shared_from_this<AcceptLoop>
{
public:
    using Handler = std::function<void(asio::ip::tcp::socket)>;

    /// Fails with AddressUnavailable if the address cannot be bound. Port 0 selects a free port. `logger` must outlive the loop.
    static Result<std::shared_ptr<AcceptLoop>> listen(asio::io_context &context, Logger &logger, const HostAddress &address, Handler handler);

    /// The bound address, with the selected port.
    HostAddress address() const;
    /// Stops accepting. The handler is not called afterwards.
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
