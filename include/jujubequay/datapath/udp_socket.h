#pragma once

#include <jujubequay/core/error.h>
#include <jujubequay/core/identifiers.h>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

namespace Jujubequay {

struct UdpSocketOptions {
    bool reusePort = false; ///< SO_REUSEPORT: several threads bind the address, and the system distributes datagrams among them
    int bufferBytes = 4 << 20; ///< requested size of the receive buffer and of the send buffer
};

/// Opens and binds a non-blocking UDP socket. Port 0 selects a free port. Fails with AddressUnavailable.
Result<asio::ip::udp::socket> bindUdpSocket(asio::io_context &context, const HostAddress &address, UdpSocketOptions options = {});

/// The address that a socket is bound to.
HostAddress localAddress(const asio::ip::udp::socket &socket);

}
