#pragma once

#include <jujubequay/core/log.h>
#include <jujubequay/daemon/steering_settings.h>
#include <jujubequay/datapath/datagram_batch.h>
#include <jujubequay/net/periodic_timer.h>
#include <jujubequay/policy/packet_queue.h>
#include <jujubequay/steering/agent_steering.h>
#include <jujubequay/steering/packet_codec.h>
#include <jujubequay/steering_program/discovery.h>
#include <jujubequay/steering_program/packet_report.h>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace Jujubequay {

/// The sockets of an agent beside a server that opens and ends flows by itself. Used on the traffic thread, apart from the counters.
class AgentTraffic
{
public:
    /// Fails with AddressUnavailable.
    static Result<std::unique_ptr<AgentTraffic>> open(asio::io_context &context,
                                                      const Clock &clock,
                                                      Logger &logger,
                                                      Metrics &metrics,
                                                      const PacketCodec &codec,
                                                      const SteeringAgentSettings &settings,
                                                      StartNoticeHandler onStartNotice);

    void start();
    void update(const ConfigSnapshotPointer &snapshot);
    /// Tells the callers of a server that is gone.
    void setServer(const std::optional<LocalServer> &server, bool isFresh);
    const PacketCounters &counters() const;

private:
    AgentTraffic(asio::io_context &context,
                 const Clock &clock,
                 Logger &logger,
                 Metrics &metrics,
                 const PacketCodec &codec,
                 const SteeringAgentSettings &settings,
                 StartNoticeHandler onStartNotice,
                 asio::ip::udp::socket peers,
                 asio::ip::udp::socket server);
    void sendLoad();
    void recordAnswered();
    void receiveFromPeers(std::size_t received);
    void receiveFromServer(std::size_t received);
    void handle(TimePoint now, const SteeredPacket &packet, std::span<std::uint8_t> datagram);
    /// `withHeadroom` is the packet with room for a header in front of it.
    void carryOut(const AgentDecision &decision, const Segment &segment, std::span<std::uint8_t> withHeadroom);
    void relay(const RelayToAgent &decision, const Segment &segment, std::span<std::uint8_t> withHeadroom);
    void reset(const ResetCaller &decision);
    void releaseHeld(TimePoint now);
    void hold(std::span<const std::uint8_t> packet);
    void scheduleRelease();
    void holdSearch(const HoldSearch &decision, std::span<std::uint8_t> withHeadroom);
    void scheduleSearches();
    void repeatSearchesIfSettled();
    void repeatSearches();
    void repeatNotices();
    void sendNotices();
    std::vector<std::uint8_t> &keep(std::span<const std::uint8_t> bytes);
    void flush();

    const Clock &m_clock;
    Logger &m_logger;
    const PacketCodec &m_codec;
    const HostAddress m_serverInput;
    const StartNoticeHandler m_onStartNotice;
    AgentSteering m_steering;
    asio::ip::udp::socket m_peers;
    asio::ip::udp::socket m_server;
    PeriodicTimer m_expiryTimer;
    PeriodicTimer m_loadTimer;
    asio::steady_timer m_releaseTimer;
    DatagramReader m_reader;
    DatagramWriter m_toPeers; ///< agents, balancers and callers
    DatagramWriter m_toServer;
    std::deque<std::vector<std::uint8_t>> m_kept; ///< bytes that wait for the next flush
    std::vector<NoticeTo> m_notices;
    PacketQueue m_heldRequests; ///< that the server would refuse now
    PacketQueue m_heldSearches; ///< with their steer headers, until all servers are known
    asio::steady_timer m_searchTimer;
    bool m_isReleaseScheduled = false;
    bool m_wasServerTrusted = true;
    PacketCounters m_counters;
    Metrics &m_metrics;
};

}
