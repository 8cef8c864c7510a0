#pragma once

#include <jujubequay/core/error.h>
#include <jujubequay/core/identifiers.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <set>

namespace Jujubequay::Soak {

/// Fault that a proxy applies to its connections.
enum class LinkFault : std::uint8_t {
    None,
    Delayed, ///< bytes are forwarded late and in order
    Blocked, ///< no bytes are forwarded in either direction; connections stay open
    BlockedTowardsTarget, ///< no bytes are forwarded to the target; connections stay open
};

/// Forwards TCP connections to a target and injects faults on request.
class TcpProxy
{
public:
    /// Starts to listen on `address`. Fails with AddressUnavailable.
    static Result<std::unique_ptr<TcpProxy>> listen(asio::io_context &context, const HostAddress &address, const HostAddress &target);
    ~TcpProxy();

    /// `delay` applies to LinkFault::Delayed only.
    void setFault(LinkFault fault, std::chrono::milliseconds delay = {});
    /// Closes all connections with a TCP reset.
    void resetConnections();

private:
    class Connection;

    TcpProxy(asio::io_context &context, asio::ip::tcp::acceptor acceptor, const HostAddress &target);
    void accept();

    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_acceptor;
    const HostAddress m_target;
    LinkFault m_fault = LinkFault::None;
    std::chrono::milliseconds m_delay{};
    std::set<std::shared_ptr<Connection>> m_connections;
};

}
