#include "jujubequay/net/endpoint.h"

#include <jujubequay/daemon/metrics_http_server.h>

#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>

namespace Jujubequay {

namespace {

constexpr std::size_t maxRequestBytes = 8U << 10U;
constexpr std::size_t maxConnections = 16;
constexpr auto connectionTimeout = std::chrono::seconds(10);
constexpr std::uint32_t loopbackNetwork = 127;

std::string httpAnswer(std::string_view status, std::string_view type, std::string_view body)
{
    return fmt::format("HTTP/1.1 {}\r\nContent-Type: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{}", status, type, body.size(), body);
}

}

struct MetricsHttpServer::Connection {
    Connection(asio::ip::tcp::socket accepted, asio::io_context &context)
        : socket(std::move(accepted))
        , timer(context)
    {
    }

    void close()
    {
        asio::error_code ignored;
        timer.cancel();
        socket.shutdown(asio::socket_base::shutdown_both, ignored);
        socket.close(ignored);
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::string request;
    std::string answer;
};

Result<std::shared_ptr<MetricsHttpServer>> MetricsHttpServer::listen(asio::io_context &context,
                                                                     const HostAddress &address,
                                                                     std::shared_ptr<const Metrics> metrics)
{
    if (address.ip >> 24U != loopbackNetwork) {
        return fail(ResultCode::AddressUnavailable, fmt::format("{}: metrics are served on loopback addresses only", toString(address)));
    }
    std::shared_ptr<MetricsHttpServer> server(new MetricsHttpServer(context, std::move(metrics)));
    if (const auto error = listenOn(server->m_acceptor, address)) {
        return fail(ResultCode::AddressUnavailable, fmt::format("{}: {}", toString(address), error.message()));
    }
    server->acceptNext();
    return server;
}

MetricsHttpServer::MetricsHttpServer(asio::io_context &context, std::shared_ptr<const Metrics> metrics)
    : m_context(context)
    , m_acceptor(context)
    , m_metrics(std::move(metrics))
{
}

HostAddress MetricsHttpServer::address() const
{
    return hostAddress(m_acceptor.local_endpoint());
}

void MetricsHttpServer::stop()
{
    asio::error_code ignored;
    m_acceptor.close(ignored);
}

void MetricsHttpServer::acceptNext()
{
    m_acceptor.async_accept([weak = weak_from_this()](const asio::error_code &error, asio::ip::tcp::socket socket) {
        const auto self = weak.lock();
        if (!self || !self->m_acceptor.is_open()) {
            return;
        }
        if (!error && self->m_connections < maxConnections) {
            self->serve(std::make_shared<Connection>(std::move(socket), self->m_context));
        }
        self->acceptNext();
    });
}

void MetricsHttpServer::serve(const std::shared_ptr<Connection> &connection)
{
    ++m_connections;
    connection->timer.expires_after(connectionTimeout);
    connection->timer.async_wait([connection](const asio::error_code &error) {
        if (!error) {
            connection->close();
        }
    });
    const auto finish = [self = shared_from_this(), connection](const asio::error_code &, std::size_t) {
        --self->m_connections;
        connection->close();
    };
    auto buffer = asio::dynamic_buffer(connection->request, maxRequestBytes);
    asio::async_read_until(connection->socket, buffer, "\r\n\r\n", [self = shared_from_this(), connection, finish](const asio::error_code &error, std::size_t) {
        if (error) {
            finish(error, 0);
            return;
        }
        connection->answer = self->answerTo(connection->request);
        asio::async_write(connection->socket, asio::buffer(connection->answer), finish);
    });
}

std::string MetricsHttpServer::answerTo(std::string_view request) const
{
    if (!request.starts_with("GET ")) {
        return httpAnswer("405 Method Not Allowed", "text/plain", "");
    }
    if (!request.starts_with("GET /metrics ") && !request.starts_with("GET /metrics?")) {
        return httpAnswer("404 Not Found", "text/plain", "");
    }
    return httpAnswer("200 OK", "text/plain; version=0.0.4", prometheusText(m_metrics->snapshot()));
}

}
