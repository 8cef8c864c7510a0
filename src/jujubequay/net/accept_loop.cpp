#include "jujubequay/net/endpoint.h"

#include <jujubequay/net/accept_loop.h>

#include <fmt/format.h>

namespace Jujubequay {

namespace {

// While file descriptors are exhausted, accept fails immediately: retrying without a delay would use a whole core.
constexpr auto acceptRetryDelay = std::chrono::milliseconds(100);

}

Result<std::shared_ptr<AcceptLoop>> AcceptLoop::listen(asio::io_context &context, Logger &logger, const HostAddress &address, Handler handler)
{
    std::shared_ptr<AcceptLoop> loop(new AcceptLoop(context, logger, std::move(handler)));
    if (const auto error = listenOn(loop->m_acceptor, address)) {
        return fail(ResultCode::AddressUnavailable, fmt::format("{}: {}", toString(address), error.message()));
    }
    loop->acceptNext();
    return loop;
}

AcceptLoop::AcceptLoop(asio::io_context &context, Logger &logger, Handler handler)
    : m_logger(logger)
    , m_handler(std::move(handler))
    , m_acceptor(context)
    , m_retryTimer(context)
{
}

HostAddress AcceptLoop::address() const
{
    return hostAddress(m_acceptor.local_endpoint());
}

void AcceptLoop::stop()
{
    asio::error_code ignored;
    m_acceptor.close(ignored);
    m_retryTimer.cancel();
}

void AcceptLoop::acceptNext()
{
    m_acceptor.async_accept([weak = weak_from_this()](const asio::error_code &error, asio::ip::tcp::socket socket) {
        const auto self = weak.lock();
        if (!self || !self->m_acceptor.is_open()) {
            return;
        }
        if (!error) {
            asio::error_code ignored;
            socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->m_handler(std::move(socket));
            self->acceptNext();
            return;
        }
        self->m_logger.error("accept-failed", {{"error", error.message()}});
        self->m_retryTimer.expires_after(acceptRetryDelay);
        self->m_retryTimer.async_wait([weak](const asio::error_code &timerError) {
            const auto loop = weak.lock();
            if (!timerError && loop && loop->m_acceptor.is_open()) {
                loop->acceptNext();
            }
        });
    });
}

}
