#pragma once

#include "soak/fabric.h"
#include "soak/ledger.h"

#include <platform/packet_format.h>
#include <platform/stub_messages.h>

#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <random>
#include <vector>

namespace Jujubequay::Soak {

/// What a caller needs of the deployment.
struct CallerPlan {
    HostAddress address; ///< where it receives packets
    std::vector<Platform::StubRoute> routes; ///< each of its flows uses one of them
    std::size_t flows = 8; ///< open at the same time
};

/// A caller with several long flows, one request at a time on each.
class StandInCaller
{
public:
    /// `isHeld` says whether a server holds a flow.
    StandInCaller(asio::io_context &context,
                  CallerPlan plan,
                  const Clock &clock,
                  const Fabric &fabric,
                  Ledger &ledger,
                  std::mt19937_64 &random,
                  std::function<bool(const FlowTuple &)> isHeld);

    void start();

private:
    enum class State : std::uint8_t { Pausing, Opening, Waiting, Closing };
    struct Flow {
        State state = State::Pausing;
        FlowTuple ends;
        bool isIdempotent = true;
        bool isOpen = false;
        std::uint32_t ownSequence = 0;
        std::uint32_t serverSequence = 0;
        std::uint64_t request = 0;
        unsigned requestsLeft = 0;
        unsigned repeats = 0;
        TimePoint nextAction{};
        TimePoint deadline{};
        std::vector<std::uint8_t> packet; ///< that is repeated
    };

    void receive();
    void handle(std::span<const std::uint8_t> packet);
    void tick();
    void act(TimePoint now, Flow &flow);
    void open(TimePoint now, Flow &flow);
    void request(TimePoint now, Flow &flow);
    void sendRequest(TimePoint now, Flow &flow);
    void close(TimePoint now, Flow &flow);
    void pause(TimePoint now, Flow &flow);
    void fail(TimePoint now, Flow &flow);
    void transmit(const Flow &flow);
    Segment segmentOf(const Flow &flow) const;

    const CallerPlan m_plan;
    const Clock &m_clock;
    const Fabric &m_fabric;
    Ledger &m_ledger;
    std::mt19937_64 &m_random;
    const std::function<bool(const FlowTuple &)> m_isHeld;
    const Platform::PacketFormat m_format;
    asio::ip::udp::socket m_socket;
    PeriodicTimer m_timer;
    std::array<std::uint8_t, 2048> m_buffer{};
    std::uint16_t m_nextPort = 1024;
    std::vector<Flow> m_flows;
};

}
