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

/// Converts the admission rules of a bundle to options. Limits of zero keep the defaults.
AdmissionOptions admissionOptionsOf(const ServiceAdmission &rules);

struct AgentPathOptions {
    ServiceId service;
    std::string serviceName;
    Incarnation incarnation;
    std::uint32_t weight = 100; ///< placement weight
    RequestBrokerOptions broker;
    RedirectOptions redirect;
    QuicServerOptions quic;
    Duration loadReportInterval = std::chrono::milliseconds(500); ///< time between two regular load reports to peers
    Duration drainStallTimeout = std::chrono::seconds(5); ///< a drain stops waiting for acknowledgements when none has arrived for this long
    std::size_t maxLoadReportPeers = 16; ///< maximum number of peers, chosen at random, to which each load report is sent
};

/// Counters of datagrams; readable from other threads.
struct AgentPathCounters {
    std::atomic<std::uint64_t> accepted{0}; ///< relayed datagrams passed to the QUIC server
    std::atomic<std::uint64_t> redirected{0}; ///< Initial packets redirected to the second choice
    std::atomic<std::uint64_t> staleRefusals{0}; ///< Initial packets refused because the balancer's configuration or server list is outdated
    std::atomic<std::uint64_t> replies{0}; ///< datagrams for callers that were sent to balancers
    std::atomic<std::uint64_t> unsentDatagrams{0}; ///< relayed datagrams that the socket failed to send
    std::atomic<std::uint64_t> noReturnPath{0}; ///< datagrams for callers that were dropped because no return path is known
    std::array<std::atomic<std::uint64_t>, ingressDropCauseCount> dropped{}; ///< dropped relayed datagrams by IngressDropCause
    std::array<std::atomic<std::uint64_t>, 5> invalidRelays{}; ///< invalid relayed datagrams by RelayError
};

/// The data path of an agent, on one traffic thread. Receives relayed datagrams, passes them to the QUIC server, runs the
/// requests of the flows on the backend server and sends the replies through the balancers.
class AgentPath final
    : public FlowPort
    , public QuicServerSink
{
public:
    /// Starts to receive from `socket`, whose address becomes part of flow identifiers. `backend` and `clock` must outlive the returned object.
    static std::unique_ptr<AgentPath> create(asio::io_context &context,
                                             const Clock &clock,
                                             AgentPathOptions options,
                                             asio::ip::udp::socket socket,
                                             std::shared_ptr<const TlsCredentials> credentials,
                                             ConfigSnapshotPointer config,
                                             BackendPort &backend,
                                             RequestBroker::Reporter reporter,
                                             std::uint64_t seed);

    /// Applies a newer configuration.
    void apply(ConfigSnapshotPointer config);
    void handleBackendEvent(const BackendEvent &event);
    /// Stops accepting new flows and new requests. Requests in progress continue.
    void beginDrain();
    /// Closes the remaining flows. To be called when the drain is complete.
    void closeFlows();
    /// True if no request is in progress and every answer is acknowledged. If acknowledgements are missing and none has
    /// arrived for `drainStallTimeout`, their callers are assumed to be unreachable and the result is true as well.
    bool isIdle();

    /// Closes the socket, as the end of the process does; callers are not notified. The object must exist until its context has run the pending
    /// handlers.
    void stop();

    HostAddress address() const;
    std::size_t flowCount() const;
    LoadReport load() const;
    /// Numbers of the flow keys under which identifiers of open flows are encoded.
    std::vector<std::uint32_t> flowKeysInUse() const;
    const AgentPathCounters &counters() const;
    const RequestBrokerStatistics &requestStatistics() const;

    std::size_t write(FlowHandle flow, StreamNumber stream, std::span<const std::uint8_t> bytes, bool end) override;
    std::optional<StreamNumber> openUnidirectionalStream(FlowHandle flow) override;
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

    QuicServerOptions quicOptions() const;
    FlowIdBytes newFlowId();
    void waitForDatagrams();
    void receive(const HostAddress &sender, std::span<const std::uint8_t> datagram);
    void passToQuic(const RelayHeader &header, std::span<const std::uint8_t> payload);
    void resetEarlierFlow(const RelayHeader &header, std::span<const std::uint8_t> payload);
    void relay(const HostAddress &destination, const RelayHeader &header, std::span<const std::uint8_t> payload);
    void processEvents();
    void scheduleTimeout();
    void scheduleLoadReport();
    void reportChangedLoad(TimePoint now);
    void sendLoadReports();
    ServerLoad localLoad() const;
    static void count(std::atomic<std::uint64_t> &counter);

    const Clock &m_clock;
    const AgentPathOptions m_options;
    std::mt19937_64 m_random;
    asio::ip::udp::socket m_socket;
    const HostAddress m_address;
    ConfigSnapshotPointer m_config;
    ServiceAdmission m_admission; ///< admission rules that the broker applies
    std::uint64_t m_revision = 0;
    std::uint32_t m_nextNonce;
    PeerLoads m_peerLoads;
    AgentIngress m_ingress;
    ReturnPaths m_returnPaths;
    std::optional<ReturnPath> m_currentReturnPath; ///< return path of the datagram that is being handled
    QuicServer m_quic;
    RequestBroker m_broker;
    DatagramReader m_reader;
    std::vector<std::uint8_t> m_sendBuffer;
    asio::steady_timer m_timeoutTimer;
    asio::steady_timer m_loadReportTimer;
    std::set<FlowHandle> m_openFlows;
    std::vector<FlowHandle> m_endedFlows;
    TimePoint m_lastLoadReportTime{};
    std::size_t m_reportedFlowCount = 0;
    bool m_isDraining = false;
    std::size_t m_unacknowledgedBytes = 0; ///< unacknowledged bytes of all flows at m_lastProgressTime
    TimePoint m_lastProgressTime{}; ///< last time at which the broker was busy or the number of unacknowledged bytes changed
    AgentPathCounters m_counters;
};

}
