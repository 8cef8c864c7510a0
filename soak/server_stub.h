#pragma once

#include "soak/addresses.h"
#include "soak/guarantee_checker.h"

#include <jujubequay/net/periodic_timer.h>
#include <jujubequay/steering/packet_codec.h>
#include <platform/packet_format.h>
#include <platform/stub_messages.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace Jujubequay::Soak {

/// Stub of a backend server: sends heartbeats to its agent, accepts flows and answers each request after a random work time.
class ServerStub
{
public:
    ServerStub(
        asio::io_context &context, const Addresses &addresses, std::uint8_t number, std::string service, std::mt19937_64 &random, GuaranteeChecker &checker);

    /// Starts a new incarnation.
    void start();
    /// Announces that the server is draining. It still serves its flows and accepts new ones.
    void drain();
    /// Deregisters the server at its agent. It serves its flows until `stop`.
    void deregister();
    /// Stops the server and drops all flows.
    void stop();
    bool isRunning() const;
    /// Returns true if the flow is established and not yet closed.
    bool hasOpenFlow(const FlowTuple &tuple) const;

private:
    struct Flow {
        std::uint32_t serverSequence = 0; ///< sequence number of the next byte to send
        std::uint32_t callerSequence = 0; ///< sequence number of the next byte expected from the caller
        bool isEstablished = false; ///< the caller has acknowledged the SYN-ACK
        std::vector<std::uint8_t> lastAnswer; ///< packet with the last answer, for retransmission
        std::uint32_t lastRequestSequence = 0; ///< sequence number of the request that `lastAnswer` answers
    };

    void receive();
    void handlePacket(std::span<std::uint8_t> packet);
    void acceptFlow(const FlowTuple &tuple, const Segment &segment);
    void handleData(const FlowTuple &tuple, Flow &flow, const Segment &segment, std::span<const std::uint8_t> data);
    void send(const FlowTuple &tuple, Segment segment, std::span<const std::uint8_t> data = {});
    void sendBytes(std::span<const std::uint8_t> packet);
    void announce();
    void sendForeignHeartbeat();
    void acceptConnections();

    asio::io_context &m_context;
    const Addresses m_addresses;
    const std::uint8_t m_number;
    const std::string m_service;
    std::mt19937_64 &m_random;
    GuaranteeChecker &m_checker;
    const Platform::PacketFormat m_format;
    asio::ip::udp::socket m_socket;
    asio::ip::tcp::acceptor m_acceptor;
    PeriodicTimer m_announceTimer;
    std::array<std::uint8_t, 2048> m_buffer{};
    Platform::AnnouncedServer m_announcement;
    unsigned m_incarnation = 0; ///< handlers of an earlier incarnation do nothing
    bool m_isRunning = false;
    bool m_isDeregistered = false;
    std::unordered_map<FlowTuple, Flow> m_flows;
};

}
