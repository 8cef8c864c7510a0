#pragma once

#include <jujubequay/core/log.h>
#include <jujubequay/daemon/steering_settings.h>
#include <jujubequay/datapath/datagram_batch.h>
#include <jujubequay/policy/packet_queue.h>
#include <jujubequay/steering/balancer_steering.h>
#include <jujubequay/steering/packet_codec.h>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <atomic>
#include <deque>
#include <memory>

namespace Jujubequay {

/// Counted on the traffic thread, read by the control thread.
struct BalancerTrafficCounters {
    std::atomic<std::uint64_t> relayed = 0;
    std::atomic<std::uint64_t> placed = 0;
    std::atomic<std::uint64_t> askedHome = 0;
    std::atomic<std::uint64_t> reset = 0;
    std::atomic<std::uint64_t> dropped = 0;
    std::atomic<std::uint64_t> unreadable = 0;
    std::atomic<std::uint64_t> notSent = 0;
};

/// The sockets of a balancer that steers flows without identifiers. Used on the traffic thread, apart from the counters.
class BalancerTraffic
{
public:
    /// Fails with AddressUnavailable.
    static Result<std::unique_ptr<BalancerTraffic>> open(
        asio::io_context &context, const Clock &clock, Logger &logger, const PacketCodec &codec, const SteeringBalancerSettings &settings);

    void start();
    void update(const ConfigSnapshotPointer &snapshot);
    bool isReady() const;
    const BalancerTrafficCounters &counters() const;

private:
    BalancerTraffic(asio::io_context &context,
                    const Clock &clock,
                    Logger &logger,
                    const PacketCodec &codec,
                    const SteeringBalancerSettings &settings,
                    asio::ip::udp::socket callers,
                    asio::ip::udp::socket peers);
    void waitForCallers();
    void waitForPeers();
    void scheduleExpiry();
    void receiveFromCallers();
    void receiveFromPeers();
    /// `datagram` is the packet with headroom in front of it.
    void handle(TimePoint now, std::span<std::uint8_t> datagram);
    void releaseHeld();
    void carryOut(const RelayToAgent &decision, const Segment &segment, std::span<std::uint8_t> datagram);
    void carryOut(const ResetCaller &decision);
    void flush();

    const Clock &m_clock;
    Logger &m_logger;
    const PacketCodec &m_codec;
    BalancerSteering m_steering;
    PacketQueue m_startupQueue; ///< packets that arrive before the configuration
    asio::ip::udp::socket m_callers;
    asio::ip::udp::socket m_peers;
    asio::steady_timer m_expiryTimer;
    DatagramReader m_reader;
    DatagramWriter m_toAgents;
    DatagramWriter m_toCallers;
    std::deque<std::vector<std::uint8_t>> m_resets; ///< until the next flush
    BalancerTrafficCounters m_counters;
};

}
