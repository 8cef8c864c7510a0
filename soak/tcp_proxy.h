#pragma once

#include <jujubequay/core/error.h>
#include <jujubequay/core/identifiers.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <set>

namespace Jujubequay::Soak {

/// What a proxy does to the bytes of its connections.
enum class LinkFault : std::uint8_t {
    None,
    Delayed, ///< bytes arrive late, in order
    Silent, ///< bytes of both ways stay in the proxy; connections stay open
    CutTowardsTarget, ///< as Silent, one way only
};

/// Forwards TCP connections on loopback and harms them on request.
class TcpProxy
{
public:
    /// Fails with AddressUnavailable.
    static Result<std::unique_ptr<TcpProxy>> listen(asio::io_context &context, const HostAddress &address, const HostAddress &target);
    ~TcpProxy();

    void setFault(LinkFault fault, std::chrono::milliseconds delay = {});
    /// Resets all connections.
    void reset();

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
