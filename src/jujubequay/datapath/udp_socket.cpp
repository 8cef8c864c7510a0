#include <jujubequay/datapath/udp_socket.h>

#include <fmt/format.h>

#include <sys/socket.h>

namespace Jujubequay {

Result<asio::ip::udp::socket> bindUdpSocket(asio::io_context &context, const HostAddress &address, UdpSocketOptions options)
{
    asio::ip::udp::socket socket(context);
    asio::error_code error;
    socket.open(asio::ip::udp::v4(), error);
    if (!error && options.reusePort) {
        const int enabled = 1;
        setsockopt(socket.native_handle(), SOL_SOCKET, SO_REUSEPORT, &enabled, sizeof(enabled));
    }
    if (!error) {
        socket.bind({asio::ip::address_v4(address.ip), address.port}, error);
    }
    if (error) {
        return fail(ResultCode::AddressUnavailable, fmt::format("cannot bind UDP {}: {}", toString(address), error.message()));
    }
    socket.non_blocking(true);
    // The system may grant smaller buffers. QUIC retransmits datagrams that are lost when a buffer overflows.
    asio::error_code ignored;
    socket.set_option(asio::socket_base::receive_buffer_size(options.bufferBytes), ignored);
    socket.set_option(asio::socket_base::send_buffer_size(options.bufferBytes), ignored);
    return socket;
}

HostAddress localAddress(const asio::ip::udp::socket &socket)
{
    const auto endpoint = socket.local_endpoint();
    return {endpoint.address().to_v4().to_uint(), endpoint.port()};
}

}
