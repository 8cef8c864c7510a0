#pragma once

#include <jujubequay/core/log.h>
#include <jujubequay/daemon/steering_settings.h>
#include <jujubequay/datapath/datagram_batch.h>
#include <jujubequay/net/periodic_timer.h>
#include <jujubequay/policy/packet_queue.h>
#include <jujubequay/steering/balancer_steering.h>
#include <jujubequay/steering/packet_codec.h>
#include <jujubequay/steering_program/discovery.h>
#include <jujubequay/steering_program/packet_report.h>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <deque>
#include <memory>

namespace Jujubequay {

/// The sockets of a balancer that steers flows without identifiers. Used on the traffic thread, apart from the counters.
class BalancerTraffic
{
public:
    /// Fails with AddressUnavailable.
    static Result<std::unique_ptr<BalancerTraffic>> open(asio::io_context &context,
                                                         const Clock &clock,
                                                         Logger &logger,
                                                         const PacketCodec &codec,
                                                         const SteeringBalancerSettings &settings,
                                                         StartNoticeHandler onStartNotice);

    void start();
    void update(const ConfigSnapshotPointer &snapshot);
    const PacketCounters &counters() const;

private:
    BalancerTraffic(asio::io_context &context,
                    const Clock &clock,
                    Logger &logger,
                    const PacketCodec &codec,
                    const SteeringBalancerSettings &settings,
                    StartNoticeHandler onStartNotice,
                    asio::ip::udp::socket callers,
                    asio::ip::udp::socket peers);
    void receiveFromCallers(std::size_t received);
    void receiveFromPeers(std::size_t received);
    /// `datagram` is the packet with headroom in front of it.
    void handle(TimePoint now, std::span<std::uint8_t> datagram);
    void releaseHeld();
    void carryOut(const RelayToAgent &decision, const Segment &segment, std::span<std::uint8_t> datagram);
    void carryOut(const ResetCaller &decision);
    void flush();

    const Clock &m_clock;
    Logger &m_logger;
    const PacketCodec &m_codec;
    const StartNoticeHandler m_onStartNotice;
    BalancerSteering m_steering;
    PacketQueue m_startupQueue; ///< packets that arrive before the configuration
    asio::ip::udp::socket m_callers;
    asio::ip::udp::socket m_peers;
    PeriodicTimer m_expiryTimer;
    DatagramReader m_reader;
    DatagramWriter m_toAgents;
    DatagramWriter m_toCallers;
    std::deque<std::vector<std::uint8_t>> m_resets; ///< until the next flush
    PacketCounters m_counters;
};

}
