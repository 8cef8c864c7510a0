#include "soak/tcp_proxy.h"

#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <fmt/format.h>

#include <array>
#include <deque>
#include <utility>
#include <vector>

namespace Jujubequay::Soak {

namespace {

constexpr std::size_t bufferBytes = 16U << 10U;
/// Interval at which queued bytes are checked for their forwarding time.
constexpr auto flushInterval = std::chrono::milliseconds(5);

asio::ip::tcp::endpoint endpointOf(const HostAddress &address)
{
    return {asio::ip::address_v4(address.ip), address.port};
}

}

/// A proxied connection. Each direction has a queue of bytes with the time from which they may be forwarded.
class TcpProxy::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(TcpProxy &proxy, asio::ip::tcp::socket source)
        : m_proxy(&proxy)
        , m_timer(proxy.m_context)
        , m_source(std::move(source))
        , m_target(proxy.m_context)
    {
    }

    void start()
    {
        m_target.async_connect(endpointOf(m_proxy->m_target), [self = shared_from_this()](const asio::error_code &error) {
            if (error || self->m_proxy == nullptr) {
                self->close();
                return;
            }
            asio::error_code ignored;
            self->m_source.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->m_target.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->read(self->m_source, self->m_towardsTarget);
            self->read(self->m_target, self->m_towardsSource);
            self->scheduleFlush();
        });
    }

    /// Closes both sockets with a TCP reset.
    void reset()
    {
        asio::error_code ignored;
        for (auto *socket : {&m_source, &m_target}) {
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
        m_timer.cancel();
    }

    /// Closes the connection with a TCP reset when the proxy drops it. The proxy is not used afterwards.
    void detach()
    {
        m_proxy = nullptr;
        reset();
    }

private:
    struct Chunk {
        std::chrono::steady_clock::time_point forwardAt;
        std::vector<char> bytes;
    };
    struct Direction {
        std::array<char, bufferBytes> buffer{};
        std::deque<Chunk> queue;
        bool isWriting = false;
    };

    void read(asio::ip::tcp::socket &from, Direction &direction)
    {
        from.async_read_some(asio::buffer(direction.buffer), [self = shared_from_this(), &from, &direction](const asio::error_code &error, std::size_t length) {
            if (error || self->m_proxy == nullptr) {
                self->close();
                return;
            }
            const auto delay = self->m_proxy->m_fault == LinkFault::Delayed ? self->m_proxy->m_delay : std::chrono::milliseconds();
            direction.queue.push_back(
                {std::chrono::steady_clock::now() + delay, {direction.buffer.begin(), direction.buffer.begin() + static_cast<std::ptrdiff_t>(length)}});
            self->flush();
            self->read(from, direction);
        });
    }

    void scheduleFlush()
    {
        m_timer.expires_after(flushInterval);
        m_timer.async_wait([self = shared_from_this()](const asio::error_code &error) {
            if (!error && self->m_proxy != nullptr) {
                self->flush();
                self->scheduleFlush();
            }
        });
    }

    void flush()
    {
        const LinkFault fault = m_proxy->m_fault;
        if (fault != LinkFault::Blocked && fault != LinkFault::BlockedTowardsTarget) {
            write(m_target, m_towardsTarget);
        }
        if (fault != LinkFault::Blocked) {
            write(m_source, m_towardsSource);
        }
    }

    void write(asio::ip::tcp::socket &to, Direction &direction)
    {
        const bool canForward = !direction.queue.empty() && direction.queue.front().forwardAt <= std::chrono::steady_clock::now();
        if (direction.isWriting || !canForward) {
            return;
        }
        direction.isWriting = true;
        asio::async_write(to, asio::buffer(direction.queue.front().bytes), [self = shared_from_this(), &direction](const asio::error_code &error, std::size_t) {
            direction.isWriting = false;
            if (error || self->m_proxy == nullptr) {
                self->close();
                return;
            }
            direction.queue.pop_front();
            self->flush();
        });
    }

    void close()
    {
        reset();
        if (m_proxy != nullptr) {
            std::exchange(m_proxy, nullptr)->m_connections.erase(shared_from_this());
        }
    }

    TcpProxy *m_proxy; ///< null after the connection has been detached
    asio::steady_timer m_timer;
    asio::ip::tcp::socket m_source;
    asio::ip::tcp::socket m_target;
    Direction m_towardsTarget;
    Direction m_towardsSource;
};

Result<std::unique_ptr<TcpProxy>> TcpProxy::listen(asio::io_context &context, const HostAddress &address, const HostAddress &target)
{
    asio::ip::tcp::acceptor acceptor(context);
    asio::error_code error;
    acceptor.open(asio::ip::tcp::v4(), error);
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    acceptor.bind(endpointOf(address), error);
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return fail(ResultCode::AddressUnavailable, fmt::format("{}: {}", toString(address), error.message()));
    }
    std::unique_ptr<TcpProxy> proxy(new TcpProxy(context, std::move(acceptor), target));
    proxy->accept();
    return proxy;
}

TcpProxy::TcpProxy(asio::io_context &context, asio::ip::tcp::acceptor acceptor, const HostAddress &target)
    : m_context(context)
    , m_acceptor(std::move(acceptor))
    , m_target(target)
{
}

TcpProxy::~TcpProxy()
{
    for (const auto &connection : m_connections) {
        connection->detach();
    }
}

void TcpProxy::setFault(LinkFault fault, std::chrono::milliseconds delay)
{
    m_fault = fault;
    m_delay = delay;
}

void TcpProxy::resetConnections()
{
    const auto connections = std::exchange(m_connections, {});
    for (const auto &connection : connections) {
        connection->detach();
    }
}

void TcpProxy::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (error) {
            return;
        }
        const auto connection = std::make_shared<Connection>(*this, std::move(socket));
        m_connections.insert(connection);
        connection->start();
        accept();
    });
}

}
