#pragma once

#include <jujubequay/core/error.h>
#include <jujubequay/core/identifiers.h>
#include <jujubequay/daemon/metrics.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <memory>

namespace Jujubequay {

/// Answers GET /metrics over HTTP/1.1 on a loopback address, one request for each connection.
class MetricsHttpServer : public std::enable_shared_from_this<MetricsHttpServer>
{
public:
    /// Fails with AddressUnavailable, also for an address outside 127.0.0.0/8. Port 0 picks a free port.
    static Result<std::shared_ptr<MetricsHttpServer>> listen(asio::io_context &context, const HostAddress &address, std::shared_ptr<const Metrics> metrics);

    HostAddress address() const;
    void stop();

private:
    struct Connection;

    MetricsHttpServer(asio::io_context &context, std::shared_ptr<const Metrics> metrics);
    void acceptNext();
    void serve(const std::shared_ptr<Connection> &connection);
    std::string answerTo(std::string_view request) const;

    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<const Metrics> m_metrics;
    std::size_t m_connections = 0;
};

}
