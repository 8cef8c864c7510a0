#pragma once

#include <jujubequay/core/log.h>
#include <jujubequay/daemon/steering_settings.h>
#include <jujubequay/datapath/datagram_batch.h>
#include <jujubequay/net/periodic_timer.h>
#include <jujubequay/policy/held_request_queue.h>
#include <jujubequay/policy/packet_queue.h>
#include <jujubequay/steering/agent_steering.h>
#include <jujubequay/steering/packet_codec.h>
#include <jujubequay/steering_program/discovery.h>
#include <jujubequay/steering_program/packet_report.h>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace Jujubequay {

/// Called on the traffic thread with changes of the open flows of the local server.
using FlowRecordHandler = std::function<void(const FlowRecordChanges &changes)>;

/// Sockets and packet handling of an agent whose local server opens and closes flows itself. Used on the traffic thread, except for `open`
/// and `counters`.
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
                                                      StartNoticeHandler onStartNotice,
                                                      FlowRecordHandler onFlowRecords,
                                                      NewerRoutesHandler onNewerRoutes);

    void start();
    void update(const ConfigSnapshotPointer &snapshot);
    /// The server list is current: a control host has sent a message.
    void confirmServerList();
    /// Sets the local server, and resets the callers of a server that is replaced. `isFresh` as in AgentSteering::setServer.
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
                 FlowRecordHandler onFlowRecords,
                 NewerRoutesHandler onNewerRoutes,
                 asio::ip::udp::socket peers,
                 asio::ip::udp::socket server);
    void sendLoadNotices();
    void recordAnsweredRequests();
    void recordFlows();
    /// Gets a newer route table, and tells the balancers about it whose SYNs were dropped.
    void distributeNewerRoutes();
    void endFlows(TimePoint now, const EndedFlowsNotice &notice);
    void handlePeerDatagrams(std::size_t count);
    void handleServerPackets(std::size_t count);
    void handleSteeredPacket(TimePoint now, const SteeredPacket &packet, std::span<std::uint8_t> datagram);
    /// `withHeadroom`: the packet with steerHeaderLength bytes in front of it.
    void execute(const AgentDecision &decision, const Segment &segment, std::span<std::uint8_t> withHeadroom);
    void relay(const RelayToAgent &decision, const Segment &segment, std::span<std::uint8_t> withHeadroom);
    void sendReset(const ResetCaller &decision);
    void releaseHeldRequests(TimePoint now);
    void holdRequest(const HoldRequest &decision, std::span<const std::uint8_t> packet);
    void scheduleRelease();
    void holdLookup(const HoldLookup &decision, std::span<std::uint8_t> withHeadroom);
    void scheduleLookupRetry();
    void retryLookupsIfServerListStable();
    void retryLookups();
    void resendNotices();
    void sendNotices();
    /// Copies bytes to a buffer that lives until the next flush.
    std::vector<std::uint8_t> &keepUntilFlush(std::span<const std::uint8_t> bytes);
    void flush();

    const Clock &m_clock;
    Logger &m_logger;
    const PacketCodec &m_codec;
    const HostAddress m_serverInput;
    const StartNoticeHandler m_onStartNotice;
    const FlowRecordHandler m_onFlowRecords;
    const NewerRoutesHandler m_onNewerRoutes;
    AgentSteering m_steering;
    asio::ip::udp::socket m_peerSocket; ///< bound to the relay address, for agents, balancers and callers
    asio::ip::udp::socket m_serverSocket; ///< for the local server
    PeriodicTimer m_expiryTimer;
    PeriodicTimer m_loadTimer;
    PeriodicTimer m_recordTimer;
    asio::steady_timer m_releaseTimer;
    DatagramReader m_reader;
    DatagramWriter m_peerWriter;
    DatagramWriter m_serverWriter;
    std::deque<std::vector<std::uint8_t>> m_pendingBuffers; ///< buffers of the writers until the next flush
    std::vector<AddressedNotice> m_notices;
    HeldRequestQueue m_heldRequests; ///< packets of requests that the server has no room for
    PacketQueue m_heldLookups; ///< packets with their steer headers, until the server list is stable
    asio::steady_timer m_lookupTimer;
    bool m_isReleaseScheduled = false;
    std::set<HostAddress> m_staleBalancers; ///< balancers whose SYNs were dropped since the last notices about newer routes
    TimePoint m_lastNewerRoutesAt{};
    bool m_wasServerHealthy = true;
    PacketCounters m_counters;
    Metrics &m_metrics;
};

}
