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

/// Sockets and packet handling of a balancer for flows whose packets carry no flow identifier. Used on the traffic thread, except for
/// `open` and `counters`.
class BalancerTraffic
{
public:
    /// Fails with AddressUnavailable.
    static Result<std::unique_ptr<BalancerTraffic>> open(asio::io_context &context,
                                                         const Clock &clock,
                                                         Logger &logger,
                                                         const PacketCodec &codec,
                                                         const SteeringBalancerSettings &settings,
                                                         StartNoticeHandler onStartNotice,
                                                         NewerRoutesHandler onNewerRoutes);

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
                    NewerRoutesHandler onNewerRoutes,
                    asio::ip::udp::socket callers,
                    asio::ip::udp::socket peers);
    void handleCallerPackets(std::size_t count);
    void handlePeerDatagrams(std::size_t count);
    void handleNewerRoutes(TimePoint now, const NewerRoutesNotice &notice);
    /// `datagram`: the packet with steerHeaderLength bytes in front of it.
    void handlePacket(TimePoint now, std::span<std::uint8_t> datagram, PacketArrival arrival);
    void releaseStartupQueue();
    void relay(const RelayToAgent &decision, const Segment &segment, std::span<std::uint8_t> datagram);
    void sendReset(const ResetCaller &decision);
    void flush();

    const Clock &m_clock;
    Logger &m_logger;
    const PacketCodec &m_codec;
    const StartNoticeHandler m_onStartNotice;
    const NewerRoutesHandler m_onNewerRoutes;
    BalancerSteering m_steering;
    PacketQueue m_startupQueue; ///< packets that were received before the route table and the server list
    asio::ip::udp::socket m_callerSocket;
    asio::ip::udp::socket m_peerSocket;
    PeriodicTimer m_expiryTimer;
    DatagramReader m_reader;
    DatagramWriter m_agentWriter;
    DatagramWriter m_callerWriter;
    std::deque<std::vector<std::uint8_t>> m_pendingBuffers; ///< buffers of the writers until the next flush
    PacketCounters m_counters;
    TimePoint m_lastNewerRoutesAt{};
};

}
