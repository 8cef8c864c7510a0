#include <jujubequay/client/spraying_socket.h>

#include <asio/buffer.hpp>

#include <fmt/format.h>

#include <utility>

namespace Jujubequay {

namespace {

/// Upper limit of datagrams read at once, so that timers and other sockets are served in between.
constexpr int maxDatagramsPerRead = 64;
constexpr int socketBufferBytes = 4 << 20;

asio::ip::udp::endpoint endpointOf(const HostAddress &address)
{
    return {asio::ip::address_v4(address.ip), address.port};
}

}

Result<std::shared_ptr<SprayingSocket>> SprayingSocket::open(asio::io_context &context,
                                                             SprayingSocketOptions options,
                                                             std::mt19937_64 &random,
                                                             Receiver receiver)
{
    asio::ip::udp::socket socket(context);
    asio::error_code error;
    socket.open(asio::ip::udp::v4(), error);
    if (!error) {
        socket.bind(endpointOf(options.local), error);
    }
    if (!error) {
        socket.non_blocking(true, error);
    }
    if (error) {
        return fail(ResultCode::AddressUnavailable, fmt::format("{}: {}", toString(options.local), error.message()));
    }
    // The system may grant smaller buffers. This causes more datagram loss but no incorrect results.
    asio::error_code ignored;
    socket.set_option(asio::socket_base::receive_buffer_size(socketBufferBytes), ignored);
    socket.set_option(asio::socket_base::send_buffer_size(socketBufferBytes), ignored);
    auto opened = std::make_shared<SprayingSocket>(std::move(socket), std::move(options), random, std::move(receiver));
    opened->waitForDatagrams();
    return opened;
}

SprayingSocket::SprayingSocket(asio::ip::udp::socket socket, SprayingSocketOptions options, std::mt19937_64 &random, Receiver receiver)
    : m_socket(std::move(socket))
    , m_options(std::move(options))
    , m_random(random)
    , m_receiver(std::move(receiver))
    , m_buffer()
{
    for (const HostAddress &host : m_options.entryHosts) {
        m_entryHosts.push_back(endpointOf(host));
    }
}

void SprayingSocket::sendDatagram(std::span<const std::uint8_t> datagram)
{
    if (m_entryHosts.empty() || shouldDrop()) {
        return;
    }
    const std::size_t chosen = std::uniform_int_distribution<std::size_t>(0, m_entryHosts.size() - 1)(m_random);
    asio::error_code ignored;
    m_socket.send_to(asio::buffer(datagram.data(), datagram.size()), m_entryHosts[chosen], 0, ignored);
}

void SprayingSocket::close()
{
    asio::error_code ignored;
    m_socket.close(ignored);
}

void SprayingSocket::waitForDatagrams()
{
    m_socket.async_wait(asio::ip::udp::socket::wait_read, [self = shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->readDatagrams();
            self->waitForDatagrams();
        }
    });
}

void SprayingSocket::readDatagrams()
{
    for (int count = 0; count < maxDatagramsPerRead && m_socket.is_open(); ++count) {
        asio::ip::udp::endpoint sender;
        asio::error_code error;
        const std::size_t length = m_socket.receive_from(asio::buffer(m_buffer), sender, 0, error);
        if (error == asio::error::would_block) {
            return;
        }
        // An entry host that is down causes a connection-refused error here. The other hosts remain usable.
        if (!error && !shouldDrop()) {
            m_receiver(std::span(m_buffer).first(length));
        }
    }
}

bool SprayingSocket::shouldDrop()
{
    return m_options.lossRate > 0 && std::uniform_real_distribution<>(0, 1)(m_random) < m_options.lossRate;
}

}
