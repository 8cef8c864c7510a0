#pragma once

#include "soak/ecmp_router_stub.h"
#include "soak/guarantee_checker.h"

#include <platform/packet_format.h>
#include <platform/stub_messages.h>

#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <random>
#include <vector>

namespace Jujubequay::Soak {

struct CallerOptions {
    HostAddress address; ///< address at which the caller receives packets
    std::vector<Platform::StubRoute> routes; ///< each flow uses a random one of them
    std::size_t flows = 8; ///< number of concurrent flows
};

/// Stub of a caller with several concurrent flows. Each flow sends one request at a time and retransmits it until it is answered.
class CallerStub
{
public:
    /// `isOpenAtServer` returns whether a flow is open at a server.
    CallerStub(asio::io_context &context,
               CallerOptions options,
               const Clock &clock,
               const EcmpRouterStub &router,
               GuaranteeChecker &checker,
               std::mt19937_64 &random,
               std::function<bool(const FlowTuple &)> isOpenAtServer);

    void start();

private:
    enum class State : std::uint8_t { Pausing, Opening, AwaitingAnswer, Closing };
    struct Flow {
        State state = State::Pausing;
        FlowTuple tuple;
        bool isIdempotent = true;
        bool isEstablished = false;
        std::uint32_t callerSequence = 0;
        std::uint32_t serverSequence = 0;
        std::uint64_t request = 0; ///< number of the current request
        unsigned requestsLeft = 0; ///< number of requests until the flow is closed
        unsigned retransmissions = 0;
        TimePoint nextTimeout{};
        TimePoint deadline{}; ///< deadline of the current request
        std::vector<std::uint8_t> packet; ///< last packet sent, for retransmission
    };

    void receive();
    void handlePacket(std::span<const std::uint8_t> packet);
    void handleDueTimeouts();
    void handleTimeout(TimePoint now, Flow &flow);
    void open(TimePoint now, Flow &flow);
    void startRequest(TimePoint now, Flow &flow);
    void sendRequest(TimePoint now, Flow &flow);
    void close(TimePoint now, Flow &flow);
    void pause(TimePoint now, Flow &flow);
    /// Records the current request as unanswered and abandons the flow.
    void abandon(TimePoint now, Flow &flow);
    void transmit(const Flow &flow);
    /// Returns a segment with the addresses and the current sequence numbers of the flow.
    Segment nextSegment(const Flow &flow) const;

    const CallerOptions m_options;
    const Clock &m_clock;
    const EcmpRouterStub &m_router;
    GuaranteeChecker &m_checker;
    std::mt19937_64 &m_random;
    const std::function<bool(const FlowTuple &)> m_isOpenAtServer;
    const Platform::PacketFormat m_format;
    asio::ip::udp::socket m_socket;
    PeriodicTimer m_timeoutTimer;
    std::array<std::uint8_t, 2048> m_buffer{};
    std::uint16_t m_nextPort = 1024;
    std::vector<Flow> m_flows;
};

}
