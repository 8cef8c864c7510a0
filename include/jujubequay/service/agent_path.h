#pragma once

#include <jujubequay/agent/request_broker.h>
#include <jujubequay/control/config_snapshot.h>
#include <jujubequay/core/log.h>
#include <jujubequay/datapath/datagram_batch.h>
#include <jujubequay/datapath/udp_socket.h>
#include <jujubequay/flow/agent_ingress.h>
#include <jujubequay/flow/peer_loads.h>
#include <jujubequay/flow/return_paths.h>
#include <jujubequay/quic/quic_server.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <random>
#include <set>

namespace Jujubequay {

/// The admission rules of a bundle; zero limits leave the defaults.
AdmissionOptions admissionOptionsOf(const ServiceAdmission &rules);

struct AgentPathOptions {
    ServiceId service;
    std::string serviceName;
    HostAddress relayAddress; ///< bound here and named in flow identifiers
    Incarnation incarnation;
    std::uint32_t weight = 100;
    RequestBrokerOptions broker;
    RedirectOptions handOver;
    QuicServerOptions quic;
    Duration loadInterval = std::chrono::milliseconds(500); ///< between load reports to peers
    Duration stallLimit = std::chrono::seconds(5);
    std::size_t maxLoadPeers = 16; ///< peers, chosen at random, that get each load report
};

/// Counters readable from other threads.
struct AgentPathCounters {
    std::atomic<std::uint64_t> accepted{0}; ///< relayed datagrams passed to the QUIC server
    std::atomic<std::uint64_t> handedOver{0};
    std::atomic<std::uint64_t> refusedStale{0};
    std::atomic<std::uint64_t> replies{0};
    std::atomic<std::uint64_t> notSent{0};
    std::atomic<std::uint64_t> noReturnPath{0};
    std::array<std::atomic<std::uint64_t>, 5> dropped{}; ///< by IngressDropCause
    std::array<std::atomic<std::uint64_t>, 5> badRelays{}; ///< by RelayError
};

/// The data path of an agent, on one traffic thread: relayed datagrams in, QUIC, requests, replies out.
class AgentPath final
    : public FlowPort
    , public QuicServerSink
{
public:
    /// Binds the relay socket and starts. `backend` and `clock` outlive the path. Fails with AddressUnavailable.
    static Result<std::unique_ptr<AgentPath>> create(asio::io_context &context,
                                                     const Clock &clock,
                                                     AgentPathOptions options,
                                                     std::shared_ptr<const TlsCredentials> credentials,
                                                     ConfigSnapshotPointer config,
                                                     BackendPort &backend,
                                                     RequestBroker::Reporter reporter,
                                                     std::uint64_t seed);

    /// Uses a newer configuration.
    void apply(ConfigSnapshotPointer config);
    void handleBackendEvent(const BackendEvent &event);
    void beginDrain();
    /// Closes the remaining flows; call when the drain is complete.
    void closeFlows();
    /// True when no request is in progress and every answer has been acknowledged, or none of the missing
    /// acknowledgements has arrived for `stallLimit`: their callers have gone.
    bool isIdle();

    HostAddress address() const;
    std::size_t flowCount() const;
    LoadReport load() const;
    /// Numbers of the flow keys that open flows still use.
    std::vector<std::uint32_t> flowKeysInUse() const;
    const AgentPathCounters &counters() const;
    const RequestBrokerStatistics &requestStatistics() const;

    std::size_t write(FlowHandle flow, StreamNumber stream, std::span<const std::uint8_t> bytes, bool end) override;
    std::optional<StreamNumber> openUnidirectional(FlowHandle flow) override;
    void consume(FlowHandle flow, StreamNumber stream, std::size_t bytes) override;
    void resetStream(FlowHandle flow, StreamNumber stream, std::uint64_t code) override;
    void stopSending(FlowHandle flow, StreamNumber stream, std::uint64_t code) override;
    void sendDatagram(FlowHandle flow, const HostAddress &caller, std::span<const std::uint8_t> datagram) override;

private:
    AgentPath(asio::io_context &context,
              const Clock &clock,
              AgentPathOptions options,
              std::shared_ptr<const TlsCredentials> credentials,
              ConfigSnapshotPointer config,
              BackendPort &backend,
              RequestBroker::Reporter reporter,
              std::uint64_t seed,
              asio::ip::udp::socket socket);

    FlowIdBytes nextFlowId();
    void waitForDatagrams();
    void receive(const HostAddress &sender, std::span<const std::uint8_t> datagram);
    void passToQuic(const RelayHeader &header, std::span<const std::uint8_t> payload);
    void relay(const HostAddress &destination, const RelayHeader &header, std::span<const std::uint8_t> payload);
    void processEvents();
    void scheduleTimeout();
    void scheduleLoadReport();
    void reportChangedLoad(TimePoint now);
    void sendLoadReports();
    ServerLoad ownLoad() const;
    static void count(std::atomic<std::uint64_t> &counter);

    const Clock &m_clock;
    const AgentPathOptions m_options;
    std::mt19937_64 m_random;
    asio::ip::udp::socket m_socket;
    const HostAddress m_address;
    ConfigSnapshotPointer m_config;
    ServiceAdmission m_admission; ///< in use by the broker
    std::uint64_t m_revision = 0;
    std::uint32_t m_nextNonce;
    PeerLoads m_peerLoads;
    AgentIngress m_ingress;
    ReturnPaths m_returnPaths;
    std::optional<ReturnPath> m_currentPath; ///< of the datagram being handled
    QuicServer m_quic;
    RequestBroker m_broker;
    DatagramReader m_reader;
    std::vector<std::uint8_t> m_sendBuffer;
    asio::steady_timer m_timer;
    asio::steady_timer m_loadTimer;
    std::set<FlowHandle> m_openFlows;
    std::vector<FlowHandle> m_endedFlows;
    TimePoint m_lastLoadReport{};
    std::size_t m_reportedFlows = 0;
    bool m_draining = false;
    std::size_t m_unacknowledged = 0; ///< bytes when they last changed
    TimePoint m_lastProgress{};
    AgentPathCounters m_counters;
};

}
