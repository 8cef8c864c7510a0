#pragma once

#include <jujubequay/core/error.h>
#include <jujubequay/core/identifiers.h>
#include <jujubequay/quic/quic_client.h>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <vector>

namespace Jujubequay {

struct SprayingSocketOptions {
    HostAddress local{0x7f000001U, 0}; ///< address to bind to; port 0 picks a free port
    std::vector<HostAddress> entryHosts; ///< caller addresses of the balancers; at least one
    double lossRate = 0; ///< fraction of datagrams to drop in each direction, 0 to 1, for tests
};

/// UDP socket that emulates the packet spraying of the fabric: sends each datagram to a randomly chosen entry host and accepts datagrams
/// from any address.
class SprayingSocket final
    : public QuicClientSink
    , public std::enable_shared_from_this<SprayingSocket>
{
public:
    using Receiver = std::function<void(std::span<const std::uint8_t>)>;

    /// Fails with AddressUnavailable. `random` outlives the socket.
    static Result<std::shared_ptr<SprayingSocket>> open(asio::io_context &context, SprayingSocketOptions options, std::mt19937_64 &random, Receiver receiver);

    SprayingSocket(asio::ip::udp::socket socket, SprayingSocketOptions options, std::mt19937_64 &random, Receiver receiver);

    /// Drops the datagram if the send buffer of the system is full; QUIC retransmits its content.
    void sendDatagram(std::span<const std::uint8_t> datagram) override;
    void close();

private:
    void waitForDatagrams();
    void readDatagrams();
    bool shouldDrop();

    static constexpr std::size_t maxDatagram = 2048;

    asio::ip::udp::socket m_socket;
    const SprayingSocketOptions m_options;
    std::vector<asio::ip::udp::endpoint> m_entryHosts;
    std::mt19937_64 &m_random;
    const Receiver m_receiver;
    std::array<std::uint8_t, maxDatagram> m_buffer;
};

}
