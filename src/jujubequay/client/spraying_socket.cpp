#include <jujubequay/client/spraying_socket.h>

#include <asio/buffer.hpp>

#include <fmt/format.h>

#include <utility>

namespace Jujubequay {

namespace {

/// Datagrams that are read before timers and other sockets get their turn.
constexpr int datagramsPerTurn = 64;
constexpr int bufferBytes = 4 << 20;

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
    // The system may grant smaller buffers, which costs losses and no correctness.
    asio::error_code ignored;
    socket.set_option(asio::socket_base::receive_buffer_size(bufferBytes), ignored);
    socket.set_option(asio::socket_base::send_buffer_size(bufferBytes), ignored);
    auto opened = std::make_shared<SprayingSocket>(std::move(socket), std::move(options), random, std::move(receiver));
    opened->receiveNext();
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
    if (m_entryHosts.empty() || isLost()) {
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

void SprayingSocket::receiveNext()
{
    m_socket.async_wait(asio::ip::udp::socket::wait_read, [self = shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->receiveReady();
            self->receiveNext();
        }
    });
}

void SprayingSocket::receiveReady()
{
    for (int count = 0; count < datagramsPerTurn && m_socket.is_open(); ++count) {
        asio::ip::udp::endpoint sender;
        asio::error_code error;
        const std::size_t length = m_socket.receive_from(asio::buffer(m_buffer), sender, 0, error);
        if (error == asio::error::would_block) {
            return;
        }
        // An entry host that is down shows up as a refused connection; the others go on.
        if (!error && !isLost()) {
            m_receiver(std::span(m_buffer).first(length));
        }
    }
}

bool SprayingSocket::isLost()
{
    return m_options.loss > 0 && std::uniform_real_distribution<>(0, 1)(m_random) < m_options.loss;
}

}
