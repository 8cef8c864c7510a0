#include <jujubequay/datapath/read_batches.h>
#include <jujubequay/service/agent_path.h>
#include <jujubequay/wire/digest.h>
#include <jujubequay/wire/flow_close.h>

#include <algorithm>

namespace Jujubequay {

namespace {

/// Maximum time between two ticks of the request broker.
constexpr auto maxTickInterval = std::chrono::milliseconds(200);
/// Application error code for closing a flow whose last answers may not have reached the caller.
constexpr std::uint64_t flowAbandonedCode = 0;
/// Minimum time between a load report and an early one. The load is reported ahead of the regular interval if the number of
/// flows has changed by at least `minReportedFlowChange` and by at least one part in `reportedFlowChangeDivisor`. A burst of
/// new flows is thus spread over the servers.
constexpr auto minLoadReportInterval = std::chrono::milliseconds(50);
constexpr std::size_t minReportedFlowChange = 2;
constexpr std::size_t reportedFlowChangeDivisor = 16;

/// Converts a count to 16 bits; larger values become the maximum.
constexpr std::uint16_t saturatedCount(std::uint32_t value)
{
    return static_cast<std::uint16_t>(std::min<std::uint32_t>(value, UINT16_MAX));
}

/// Returns the other servers of the service that accept new flows.
std::vector<PeerServer> peersOf(const ConfigSnapshot &config, const std::string &service, const HostAddress &localRelayAddress)
{
    std::vector<PeerServer> peers;
    for (const ServerSnapshot &server : config.servers) {
        const bool isPeer = server.service == service && server.relayAddress != localRelayAddress && server.acceptsNewWork();
        if (isPeer) {
            peers.push_back({server.relayAddress, server.incarnation, server.weight});
        }
    }
    return peers;
}

/// Derives the key of stateless reset tokens. All agents of a deployment derive the same one from a flow key.
ResetKey deriveResetKey(const FlowSecret &secret)
{
    Digest digest;
    const std::string purpose = "stateless reset";
    digest.add({reinterpret_cast<const std::uint8_t *>(purpose.data()), purpose.size()});
    digest.add(secret);
    return digest.finish();
}

}

AdmissionOptions admissionOptionsOf(const ServiceAdmission &rules)
{
    AdmissionOptions options;
    options.slots = rules.slots;
    options.customerWeights = rules.customerWeights;
    if (rules.queueLimit > 0) {
        options.queueLimit = rules.queueLimit;
    }
    if (rules.maxConnections > 0) {
        options.maxFeeds = rules.maxConnections;
    }
    if (rules.queueTimeout.count() > 0) {
        options.queueTimeout = rules.queueTimeout;
    }
    return options;
}

std::unique_ptr<AgentPath> AgentPath::create(asio::io_context &context,
                                             const Clock &clock,
                                             AgentPathOptions options,
                                             asio::ip::udp::socket socket,
                                             std::shared_ptr<const TlsCredentials> credentials,
                                             ConfigSnapshotPointer config,
                                             BackendPort &backend,
                                             RequestBroker::Reporter reporter,
                                             std::uint64_t seed)
{
    std::unique_ptr<AgentPath> path(
        new AgentPath(context, clock, std::move(options), std::move(credentials), config, backend, std::move(reporter), seed, std::move(socket)));
    path->apply(std::move(config));
    path->waitForDatagrams();
    path->scheduleTimeout();
    path->scheduleLoadReport();
    return path;
}

AgentPath::AgentPath(asio::io_context &context,
                     const Clock &clock,
                     AgentPathOptions options,
                     std::shared_ptr<const TlsCredentials> credentials,
                     ConfigSnapshotPointer config,
                     BackendPort &backend,
                     RequestBroker::Reporter reporter,
                     std::uint64_t seed,
                     asio::ip::udp::socket socket)
    : m_clock(clock)
    , m_options(std::move(options))
    , m_random(seed)
    , m_socket(std::move(socket))
    , m_address(localAddress(m_socket))
    , m_config(std::move(config))
    , m_nextNonce(static_cast<std::uint32_t>(m_random()))
    , m_peerLoads(m_options.redirect)
    , m_ingress(m_options.service,
                m_address,
                m_options.incarnation,
                [this](TimePoint now, const RelayHeader &header) {
                    return m_peerLoads.decideRedirect(now, {load(), m_options.weight, 1, m_isDraining}, header.secondChoice);
                },
                {})
    , m_returnPaths({})
    , m_quic(
          quicOptions(),
          std::move(credentials),
          [this] {
              return newFlowId();
          },
          *this,
          m_random)
    , m_broker(
          m_options.incarnation,
          m_options.broker,
          *this,
          backend,
          [this] {
              return newFlowId();
          },
          std::move(reporter),
          m_random,
          clock.now())
    , m_reader(relayHeaderLength)
    , m_sendBuffer(relayHeaderLength + maxDatagramLength)
    , m_timeoutTimer(context)
    , m_loadReportTimer(context)
{
    if (const ServiceSnapshot *service = m_config->findService(m_options.service)) {
        m_admission = service->admission;
    }
}

QuicServerOptions AgentPath::quicOptions() const
{
    QuicServerOptions options = m_options.quic;
    options.resetKey = [this](std::uint8_t keyNumber) {
        const FlowSecret *secret = m_config->flowKeys.find(keyNumber);
        return secret == nullptr ? std::nullopt : std::optional(deriveResetKey(*secret));
    };
    return options;
}

void AgentPath::apply(ConfigSnapshotPointer config)
{
    const auto previousKeyNumber = m_config->flowKeys.activeNumber();
    m_config = std::move(config);
    if (const ServiceSnapshot *service = m_config->findService(m_options.service)) {
        m_revision = std::max(m_revision, service->revision);
        m_ingress.setRevision(m_revision);
        if (m_admission != service->admission) {
            m_admission = service->admission;
            m_broker.configureAdmission(m_clock.now(), admissionOptionsOf(m_admission));
            processEvents();
        }
    }
    m_peerLoads.setPeers(m_clock.now(), peersOf(*m_config, m_options.serviceName, m_address));
    const auto keyNumber = m_config->flowKeys.activeNumber();
    if (keyNumber && previousKeyNumber != keyNumber) {
        m_quic.rotateConnectionIds(m_clock.now(), *keyNumber);
        m_broker.renewResumeIdentifiers();
        processEvents();
    }
}

void AgentPath::handleBackendEvent(const BackendEvent &event)
{
    m_broker.handleBackendEvent(m_clock.now(), event);
    processEvents();
}

void AgentPath::beginDrain()
{
    m_isDraining = true;
    m_ingress.setDraining(true);
    m_quic.refuseNewFlows();
    m_broker.beginDrain(m_clock.now());
    processEvents();
}

void AgentPath::closeFlows()
{
    const std::vector<FlowHandle> flows(m_openFlows.begin(), m_openFlows.end());
    for (const FlowHandle flow : flows) {
        const bool isDelivered = m_quic.unacknowledgedBytes(flow) == 0;
        m_quic.close(m_clock.now(), flow, isDelivered ? flowDrainedCode : flowAbandonedCode, "server has drained");
    }
    processEvents();
}

bool AgentPath::isIdle()
{
    std::size_t unacknowledgedBytes = 0;
    for (const FlowHandle flow : m_openFlows) {
        unacknowledgedBytes += m_quic.unacknowledgedBytes(flow);
    }
    const TimePoint now = m_clock.now();
    const bool hasProgress = unacknowledgedBytes != m_unacknowledgedBytes || !m_broker.isIdle();
    if (hasProgress) {
        m_unacknowledgedBytes = unacknowledgedBytes;
        m_lastProgressTime = now;
    }
    // A caller that has closed its flow acknowledges nothing. If its CONNECTION_CLOSE was lost, the flow would delay the
    // drain until the idle timeout.
    const bool isDelivered = unacknowledgedBytes == 0 || now - m_lastProgressTime >= m_options.drainStallTimeout;
    return m_broker.isIdle() && isDelivered;
}

void AgentPath::stop()
{
    m_socket.close();
    m_timeoutTimer.cancel();
    m_loadReportTimer.cancel();
}

HostAddress AgentPath::address() const
{
    return m_address;
}

std::size_t AgentPath::flowCount() const
{
    return m_quic.flowCount();
}

LoadReport AgentPath::load() const
{
    LoadReport load = m_broker.load();
    // Includes flows whose handshake is in progress. Otherwise a burst of Initial packets would be accepted based on the
    // number of flows before the burst.
    load.flows = static_cast<std::uint32_t>(m_quic.flowCount());
    return load;
}

std::vector<std::uint32_t> AgentPath::flowKeysInUse() const
{
    const auto flowsByKey = m_quic.flowCountsByKey();
    std::vector<std::uint32_t> numbers;
    for (std::uint32_t number = 0; number < flowsByKey.size(); ++number) {
        if (flowsByKey[number] > 0) {
            numbers.push_back(number);
        }
    }
    return numbers;
}

const AgentPathCounters &AgentPath::counters() const
{
    return m_counters;
}

const RequestBrokerStatistics &AgentPath::requestStatistics() const
{
    return m_broker.statistics();
}

std::size_t AgentPath::write(FlowHandle flow, StreamNumber stream, std::span<const std::uint8_t> bytes, bool end)
{
    return m_quic.write(flow, stream, bytes, end);
}

std::optional<StreamNumber> AgentPath::openUnidirectionalStream(FlowHandle flow)
{
    return m_quic.openUnidirectionalStream(flow);
}

void AgentPath::consume(FlowHandle flow, StreamNumber stream, std::size_t bytes)
{
    m_quic.consume(flow, stream, bytes);
}

void AgentPath::resetStream(FlowHandle flow, StreamNumber stream, std::uint64_t code)
{
    m_quic.resetStream(flow, stream, code);
}

void AgentPath::stopSending(FlowHandle flow, StreamNumber stream, std::uint64_t code)
{
    m_quic.stopSending(flow, stream, code);
}

void AgentPath::sendDatagram(FlowHandle flow, const HostAddress &caller, std::span<const std::uint8_t> datagram)
{
    auto path = m_returnPaths.choose(flow.value, m_random);
    if (!path) {
        path = m_currentReturnPath;
    }
    if (!path) {
        count(m_counters.noReturnPath);
        return;
    }
    RelayHeader header;
    header.kind = RelayKind::Reply;
    header.service = m_options.service;
    header.incarnation = m_options.incarnation;
    header.revision = m_revision;
    header.caller = caller;
    header.balancer = path->balancer;
    header.entry = path->entry;
    header.load = localLoad();
    count(m_counters.replies);
    relay(path->balancer, header, datagram);
}

FlowIdBytes AgentPath::newFlowId()
{
    const FlowTarget target{m_options.service, m_address, m_options.incarnation};
    // A counter repeats only after 16 million identifiers, whereas random nonces of 24 bits would collide.
    return encodeFlowId(m_config->flowKeys, m_config->flowKeys.activeNumber().value(), target, m_nextNonce++);
}

void AgentPath::waitForDatagrams()
{
    const auto receiveBatch = [this](std::size_t count) {
        for (std::size_t index = 0; index < count; ++index) {
            receive(m_reader.source(index), m_reader.datagram(index));
        }
    };
    readBatches(m_socket, m_reader, receiveBatch, [this] {
        processEvents();
    });
}

void AgentPath::receive(const HostAddress &sender, std::span<const std::uint8_t> datagram)
{
    RelayError error{};
    const auto relayed = decodeRelay(m_config->flowKeys, datagram, error);
    if (!relayed) {
        count(m_counters.invalidRelays[static_cast<std::size_t>(error)]);
        return;
    }
    const RelayHeader &header = relayed->header;
    const TimePoint now = m_clock.now();
    const bool carriesPeerLoad = header.service == m_options.service && (header.kind == RelayKind::Load || header.kind == RelayKind::Redirect);
    if (carriesPeerLoad) {
        m_peerLoads.recordReport(now, sender, header.load);
    }
    if (header.kind == RelayKind::Load) {
        return;
    }

    struct Visitor {
        AgentPath &path;
        const DecodedRelay &relayed;

        void operator()(const Accept &) const
        {
            count(path.m_counters.accepted);
            path.passToQuic(relayed.header, relayed.payload);
        }
        void operator()(const Redirect &redirect) const
        {
            count(path.m_counters.redirected);
            path.relay(redirect.agent, redirect.header, relayed.payload);
        }
        void operator()(const RefuseStale &refusal) const
        {
            count(path.m_counters.staleRefusals);
            path.relay(refusal.balancer, refusal.header, {});
        }
        void operator()(const IngressDrop &drop) const
        {
            count(path.m_counters.dropped[static_cast<std::size_t>(drop.cause)]);
            if (drop.cause == IngressDropCause::StaleIncarnation) {
                path.resetEarlierFlow(relayed.header, relayed.payload);
            }
        }
    };
    std::visit(Visitor{*this, *relayed}, m_ingress.receive(now, header, relayed->payload, localLoad()));
}

void AgentPath::passToQuic(const RelayHeader &header, std::span<const std::uint8_t> payload)
{
    const TimePoint now = m_clock.now();
    const ReturnPath path{header.balancer, header.entry};
    m_currentReturnPath = path;
    if (const auto flow = m_quic.receive(now, header.caller, payload)) {
        m_returnPaths.recordArrival(now, flow->value, path);
    }
    m_currentReturnPath.reset();
}

// The caller of a flow that an earlier run had would otherwise wait until it times out.
void AgentPath::resetEarlierFlow(const RelayHeader &header, std::span<const std::uint8_t> payload)
{
    m_currentReturnPath = ReturnPath{header.balancer, header.entry};
    m_quic.resetEarlierFlow(header.caller, payload);
    m_currentReturnPath.reset();
}

void AgentPath::relay(const HostAddress &destination, const RelayHeader &header, std::span<const std::uint8_t> payload)
{
    std::copy(payload.begin(), payload.end(), m_sendBuffer.begin() + relayHeaderLength);
    encodeRelayHeader(m_config->flowKeys, header, payload, m_sendBuffer);
    asio::error_code error;
    const auto bytes = asio::buffer(m_sendBuffer.data(), relayHeaderLength + payload.size());
    m_socket.send_to(bytes, {asio::ip::address_v4(destination.ip), destination.port}, 0, error);
    if (error) {
        count(m_counters.unsentDatagrams);
    }
}

void AgentPath::processEvents()
{
    const TimePoint now = m_clock.now();
    QuicEvents events = m_quic.takeEvents();
    while (!events.empty()) {
        for (const QuicEvent &event : events) {
            if (const FlowEstablished *established = std::get_if<FlowEstablished>(&event)) {
                m_openFlows.insert(established->flow);
            }
            m_broker.handleFlowEvent(now, event);
            if (const FlowEnded *ended = std::get_if<FlowEnded>(&event)) {
                m_openFlows.erase(ended->flow);
                m_endedFlows.push_back(ended->flow);
            }
        }
        events = m_quic.takeEvents();
    }
    m_quic.flush(now);
    // The return paths of ended flows are removed only now, because the flush sends the last datagrams of these flows.
    for (const FlowHandle flow : m_endedFlows) {
        m_returnPaths.forget(flow.value);
    }
    m_endedFlows.clear();
    reportChangedLoad(now);
    scheduleTimeout();
}

void AgentPath::scheduleTimeout()
{
    const TimePoint now = m_clock.now();
    TimePoint deadline = now + maxTickInterval;
    for (const auto &timeout : {m_quic.nextTimeout(), m_broker.nextTimeout()}) {
        deadline = timeout ? std::min(deadline, *timeout) : deadline;
    }
    m_timeoutTimer.expires_at(std::max(deadline, now));
    m_timeoutTimer.async_wait([this](const asio::error_code &error) {
        if (error) {
            return;
        }
        m_quic.handleTimeout(m_clock.now());
        m_broker.tick(m_clock.now());
        processEvents();
    });
}

void AgentPath::scheduleLoadReport()
{
    m_loadReportTimer.expires_after(m_options.loadReportInterval);
    m_loadReportTimer.async_wait([this](const asio::error_code &error) {
        if (error) {
            return;
        }
        sendLoadReports();
        scheduleLoadReport();
    });
}

void AgentPath::reportChangedLoad(TimePoint now)
{
    const std::size_t flows = m_quic.flowCount();
    const std::size_t flowChange = std::max(flows, m_reportedFlowCount) - std::min(flows, m_reportedFlowCount);
    const bool isAllowed = now - m_lastLoadReportTime >= minLoadReportInterval;
    if (isAllowed && flowChange >= std::max(minReportedFlowChange, m_reportedFlowCount / reportedFlowChangeDivisor)) {
        sendLoadReports();
    }
}

void AgentPath::sendLoadReports()
{
    m_lastLoadReportTime = m_clock.now();
    m_reportedFlowCount = m_quic.flowCount();
    RelayHeader header;
    header.kind = RelayKind::Load;
    header.service = m_options.service;
    header.incarnation = m_options.incarnation;
    header.load = localLoad();
    std::vector<PeerServer> recipients;
    const auto &peers = m_peerLoads.peers();
    std::sample(peers.begin(), peers.end(), std::back_inserter(recipients), m_options.maxLoadReportPeers, m_random);
    for (const PeerServer &peer : recipients) {
        relay(peer.address, header, {});
    }
}

ServerLoad AgentPath::localLoad() const
{
    const LoadReport load = this->load();
    return {saturatedCount(load.running), saturatedCount(load.queued), saturatedCount(load.flows)};
}

void AgentPath::count(std::atomic<std::uint64_t> &counter)
{
    counter.fetch_add(1, std::memory_order_relaxed);
}

}
