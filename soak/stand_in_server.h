#pragma once

#include "soak/addresses.h"
#include "soak/ledger.h"

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

/// A backend server: announces itself to its agent, opens flows and answers requests after some work.
class StandInServer
{
public:
    StandInServer(asio::io_context &context, const Addresses &addresses, std::uint8_t number, std::string service, std::mt19937_64 &random, Ledger &ledger);

    void start();
    /// Says that it leaves. It still serves the flows that it has, and takes new ones.
    void drain();
    /// Says that it ends. It serves on until `end`.
    void leave();
    /// Ends; flows are lost.
    void end();
    bool isRunning() const;
    bool holds(const FlowTuple &ends) const;

private:
    struct Flow {
        std::uint32_t ownSequence = 0; ///< of the next byte
        std::uint32_t callerSequence = 0; ///< of the next byte that is expected
        bool isOpen = false; ///< the caller has acknowledged the opening
        std::vector<std::uint8_t> lastAnswer;
        std::uint32_t lastRequest = 0; ///< sequence number of the request that it answers
    };

    void receive();
    void handle(std::span<std::uint8_t> packet);
    void open(const FlowTuple &ends, const Segment &segment);
    void handleData(const FlowTuple &ends, Flow &flow, const Segment &segment, std::span<const std::uint8_t> data);
    void send(const FlowTuple &ends, Segment segment, std::span<const std::uint8_t> data = {});
    void sendBytes(std::span<const std::uint8_t> packet);
    void announce();
    void acceptConnections();

    asio::io_context &m_context;
    const Addresses m_addresses;
    const std::uint8_t m_number;
    const std::string m_service;
    std::mt19937_64 &m_random;
    Ledger &m_ledger;
    const Platform::PacketFormat m_format;
    asio::ip::udp::socket m_socket;
    asio::ip::tcp::acceptor m_acceptor;
    PeriodicTimer m_announceTimer;
    std::array<std::uint8_t, 2048> m_buffer{};
    Platform::AnnouncedServer m_announced;
    unsigned m_starts = 0; ///< ignores what an earlier start has left
    bool m_isRunning = false;
    bool m_hasLeft = false; ///< has said that it ends
    std::unordered_map<FlowTuple, Flow> m_flows;
};

}
