#include <jujubequay/steering_program/agent_traffic.h>

#include <jujubequay/datapath/read_batches.h>
#include <jujubequay/datapath/udp_socket.h>

#include <array>

namespace Jujubequay {

namespace {

constexpr auto expiryInterval = std::chrono::seconds(1);
/// Flows that were opened within this time before a loss of power are not recorded, and their callers learn of the loss later.
constexpr auto recordInterval = std::chrono::milliseconds(500);
/// Half the time after which a caller retransmits a SYN, so that load notices about a burst reach the balancers before the retransmissions.
constexpr auto loadNoticeInterval = std::chrono::milliseconds(250);
/// If the server does not respond, held requests are released at most this much later than their maximum hold time.
constexpr auto releaseInterval = std::chrono::milliseconds(100);
/// Time between checks whether the server list is stable, which it is 400 ms after its last change.
constexpr auto lookupRetryInterval = std::chrono::milliseconds(100);
/// Size of the receive and send buffers: half a second of packets at the packet rate of a small host.
constexpr int socketBufferBytes = 1 << 20;

constexpr std::array publishedEvents{PacketEvent::Delivered,
                                     PacketEvent::SentToCaller,
                                     PacketEvent::Forwarded,
                                     PacketEvent::Held,
                                     PacketEvent::Reset,
                                     PacketEvent::Dropped,
                                     PacketEvent::Unreadable,
                                     PacketEvent::NotSent};

WorkClass workClassOf(RouteKind kind)
{
    switch (kind) {
    case RouteKind::NonIdempotent:
        return WorkClass::Critical;
    case RouteKind::Download:
        return WorkClass::Bulk;
    case RouteKind::Idempotent:
        break;
    }
    return WorkClass::Interactive;
}

AgentSteeringOptions steeringOptions(const SteeringAgentSettings &settings)
{
    AgentSteeringOptions options;
    options.agent = settings.relayAddress;
    // Control hosts send a heartbeat after a third of the silence limit.
    options.serverListValidity = settings.discovery.silenceLimit * 2 / 3;
    return options;
}

}

Result<std::unique_ptr<AgentTraffic>> AgentTraffic::open(asio::io_context &context,
                                                         const Clock &clock,
                                                         Logger &logger,
                                                         Metrics &metrics,
                                                         const PacketCodec &codec,
                                                         const SteeringAgentSettings &settings,
                                                         StartNoticeHandler onStartNotice,
                                                         FlowRecordHandler onFlowRecords,
                                                         NewerRoutesHandler onNewerRoutes)
{
    BOOST_LEAF_AUTO(peers, bindUdpSocket(context, settings.relayAddress, {.bufferBytes = socketBufferBytes}));
    BOOST_LEAF_AUTO(server, bindUdpSocket(context, settings.serverOutput, {.bufferBytes = socketBufferBytes}));
    return std::unique_ptr<AgentTraffic>(new AgentTraffic(context,
                                                          clock,
                                                          logger,
                                                          metrics,
                                                          codec,
                                                          settings,
                                                          std::move(onStartNotice),
                                                          std::move(onFlowRecords),
                                                          std::move(onNewerRoutes),
                                                          std::move(peers),
                                                          std::move(server)));
}

AgentTraffic::AgentTraffic(asio::io_context &context,
                           const Clock &clock,
                           Logger &logger,
                           Metrics &metrics,
                           const PacketCodec &codec,
                           const SteeringAgentSettings &settings,
                           StartNoticeHandler onStartNotice,
                           FlowRecordHandler onFlowRecords,
                           NewerRoutesHandler onNewerRoutes,
                           asio::ip::udp::socket peers,
                           asio::ip::udp::socket server)
    : m_clock(clock)
    , m_logger(logger)
    , m_codec(codec)
    , m_serverInput(settings.serverInput)
    , m_onStartNotice(std::move(onStartNotice))
    , m_onFlowRecords(std::move(onFlowRecords))
    , m_onNewerRoutes(std::move(onNewerRoutes))
    , m_steering(steeringOptions(settings))
    , m_peerSocket(std::move(peers))
    , m_serverSocket(std::move(server))
    , m_expiryTimer(context,
                    expiryInterval,
                    [this] {
                        m_steering.expire(m_clock.now());
                    })
    , m_loadTimer(context,
                  loadNoticeInterval,
                  [this] {
                      sendLoadNotices();
                      resendNotices();
                      distributeNewerRoutes();
                  })
    , m_recordTimer(context,
                    recordInterval,
                    [this] {
                        recordFlows();
                    })
    , m_releaseTimer(context)
    , m_reader(steerHeaderLength)
    , m_heldRequests({.maxAge = 2 * AgentSteeringOptions().maxHoldTime})
    , m_heldLookups({})
    , m_lookupTimer(context)
    , m_counters(publishedEvents)
    , m_metrics(metrics)
{
}

void AgentTraffic::start()
{
    readBatches(m_peerSocket, m_reader, [this](std::size_t count) {
        handlePeerDatagrams(count);
    });
    readBatches(m_serverSocket, m_reader, [this](std::size_t count) {
        handleServerPackets(count);
    });
    m_expiryTimer.start();
    m_loadTimer.start();
    m_recordTimer.start();
}

void AgentTraffic::update(const ConfigSnapshotPointer &snapshot)
{
    m_steering.update(m_clock.now(), *snapshot);
    logEndedServers(m_logger, m_steering.takeEndedServers(), snapshot->registrySource);
    resendNotices();
    retryLookupsIfServerListStable();
}

void AgentTraffic::confirmServerList()
{
    m_steering.confirmServerList(m_clock.now());
}

void AgentTraffic::setServer(const std::optional<LocalServer> &server, bool isFresh)
{
    const bool wasServerKnown = m_steering.isServerKnown();
    for (const ResetCaller &decision : m_steering.setServer(m_clock.now(), server, isFresh)) {
        sendReset(decision);
    }
    resendNotices();
    if (!wasServerKnown) {
        retryLookups();
    }
}

const PacketCounters &AgentTraffic::counters() const
{
    return m_counters;
}

void AgentTraffic::sendLoadNotices()
{
    const LoadNotice load = m_steering.load();
    const auto encodedLoad = encode(load);
    for (const HostAddress &balancer : m_steering.recentBalancers()) {
        m_peerWriter.add(balancer, keepUntilFlush(encodedLoad));
        if (m_peerWriter.isFull()) {
            flush();
        }
    }
    flush();
    if (m_wasServerHealthy != m_steering.isServerHealthy()) {
        m_wasServerHealthy = m_steering.isServerHealthy();
        m_logger.info(m_wasServerHealthy ? "server-trusted" : "server-ejected", {{"waiting", load.pendingRequests}, {"open_flows", load.openFlows}});
    }
}

// The client account is part of the payload, which agents do not read. The finest label of these metrics is therefore the route.
void AgentTraffic::recordAnsweredRequests()
{
    for (const AnsweredRequest &answered : m_steering.takeAnsweredRequests()) {
        const Route *route = m_steering.directory().routes().find(answered.service);
        const std::string_view name = route == nullptr ? Metrics::otherCustomers : std::string_view(route->name);
        const WorkClass workClass = route == nullptr ? WorkClass::Interactive : workClassOf(route->kind);
        m_metrics.addRequest(name, workClass, {answered.responseTime, answered.holdTime, 0});
    }
}

void AgentTraffic::handlePeerDatagrams(std::size_t count)
{
    const TimePoint now = m_clock.now();
    for (std::size_t index = 0; index < count; ++index) {
        const auto datagram = m_reader.datagram(index);
        const auto message = decodeSteerMessage(datagram);
        if (!message) {
            m_counters.add(PacketEvent::Unreadable);
        } else if (const auto *packet = std::get_if<SteeredPacket>(&*message)) {
            handleSteeredPacket(now, *packet, datagram);
        } else if (const auto *owner = std::get_if<OwnerNotice>(&*message)) {
            m_steering.handleOwnerNotice(now, *owner);
            m_peerWriter.add(owner->owner, keepUntilFlush(encode(OwnerAcknowledgement{owner->tuple, m_steering.options().agent})));
            if (m_peerWriter.isFull()) {
                flush();
            }
        } else if (const auto *acknowledgement = std::get_if<OwnerAcknowledgement>(&*message)) {
            m_steering.handleAcknowledgement(*acknowledgement);
        } else if (const auto *start = std::get_if<StartNotice>(&*message)) {
            m_onStartNotice(start->controlHost);
        } else if (const auto *ended = std::get_if<EndedFlowsNotice>(&*message)) {
            endFlows(now, *ended);
        }
    }
    flush();
}

void AgentTraffic::recordFlows()
{
    const FlowRecordChanges changes = m_steering.takeFlowRecordChanges(m_clock.now());
    if (changes.isFull || !changes.changes.empty()) {
        m_onFlowRecords(changes);
    }
}

void AgentTraffic::endFlows(TimePoint now, const EndedFlowsNotice &notice)
{
    const std::vector<ResetCaller> resets = m_steering.endFlows(now, notice);
    m_logger.info("recorded-flows-ended", {{"incarnation", notice.incarnation.value}, {"flows", notice.flows.size()}, {"resets", resets.size()}});
    for (const ResetCaller &reset : resets) {
        sendReset(reset);
    }
}

void AgentTraffic::handleSteeredPacket(TimePoint now, const SteeredPacket &packet, std::span<std::uint8_t> datagram)
{
    const auto segment = m_codec.decode(packet.packet);
    if (!segment) {
        m_counters.add(PacketEvent::Unreadable);
        return;
    }
    const AgentDecision decision = m_steering.handleCallerPacket(now, packet.header, *segment, m_notices);
    const auto *dropped = std::get_if<DropPacket>(&decision);
    if (dropped != nullptr && dropped->cause == SteerCause::StaleRouteTable && m_staleBalancers.insert(packet.header.balancer).second) {
        distributeNewerRoutes();
    }
    execute(decision, *segment, datagram.last(steerHeaderLength + packet.packet.size()));
    sendNotices();
}

void AgentTraffic::distributeNewerRoutes()
{
    const TimePoint now = m_clock.now();
    const auto newer = m_steering.newerRoutes(now);
    if (!newer) {
        m_staleBalancers.clear();
        return;
    }
    if (now - m_lastNewerRoutesAt < newerRoutesInterval) {
        return;
    }
    m_lastNewerRoutesAt = now;
    m_onNewerRoutes(newer->balancer);
    for (const HostAddress &balancer : m_staleBalancers) {
        m_peerWriter.add(balancer, keepUntilFlush(encode(*newer)));
        if (m_peerWriter.isFull()) {
            flush();
        }
    }
    flush();
    m_staleBalancers.clear();
}

void AgentTraffic::handleServerPackets(std::size_t count)
{
    const TimePoint now = m_clock.now();
    for (std::size_t index = 0; index < count; ++index) {
        const auto packet = m_reader.datagram(index);
        const auto segment = m_codec.decode(packet);
        if (!segment) {
            m_counters.add(PacketEvent::Unreadable);
            continue;
        }
        const AgentDecision decision = m_steering.handleServerPacket(now, *segment, m_notices);
        if (segment->isRejected) {
            m_codec.clearTransitFields(packet);
        }
        execute(decision, *segment, m_reader.withHeadroom(index));
        sendNotices();
    }
    releaseHeldRequests(now);
    flush();
    recordAnsweredRequests();
    if (m_wasServerHealthy != m_steering.isServerHealthy()) {
        sendLoadNotices();
    }
}

// Delivers held requests as soon as the server has room, or after the maximum hold time.
void AgentTraffic::releaseHeldRequests(TimePoint now)
{
    const Duration maxHoldTime = m_steering.options().maxHoldTime;
    while (m_heldRequests.size() > 0) {
        auto packet = m_steering.canStartRequest() ? m_heldRequests.pop(now, m_steering.serviceTime()) : m_heldRequests.popAddedBefore(now - maxHoldTime);
        if (!packet) {
            return;
        }
        const auto segment = m_codec.decode(*packet);
        if (!segment || !std::holds_alternative<DeliverToServer>(m_steering.startHeldRequest(now, *segment))) {
            continue;
        }
        if (m_serverWriter.isFull()) {
            flush();
        }
        m_pendingBuffers.push_back(std::move(*packet));
        m_serverWriter.add(m_serverInput, m_pendingBuffers.back());
        m_counters.add(PacketEvent::Delivered);
    }
}

void AgentTraffic::holdRequest(const HoldRequest &decision, std::span<const std::uint8_t> packet)
{
    m_heldRequests.push(m_clock.now(), decision.goalAt, packet);
    m_counters.add(PacketEvent::Held);
    if (!m_isReleaseScheduled) {
        m_isReleaseScheduled = true;
        scheduleRelease();
    }
}

void AgentTraffic::scheduleRelease()
{
    m_releaseTimer.expires_after(releaseInterval);
    m_releaseTimer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            releaseHeldRequests(m_clock.now());
            flush();
            m_isReleaseScheduled = m_heldRequests.size() > 0;
            if (m_isReleaseScheduled) {
                scheduleRelease();
            }
        }
    });
}

void AgentTraffic::holdLookup(const HoldLookup &decision, std::span<std::uint8_t> withHeadroom)
{
    encodeSteerHeader(decision.header, withHeadroom.first<steerHeaderLength>());
    const bool wasEmpty = m_heldLookups.size() == 0;
    m_heldLookups.push(m_clock.now(), withHeadroom);
    m_counters.add(PacketEvent::Held);
    if (wasEmpty) {
        scheduleLookupRetry();
    }
}

void AgentTraffic::scheduleLookupRetry()
{
    m_lookupTimer.expires_after(lookupRetryInterval);
    m_lookupTimer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            retryLookupsIfServerListStable();
            if (m_heldLookups.size() > 0) {
                scheduleLookupRetry();
            }
        }
    });
}

void AgentTraffic::retryLookupsIfServerListStable()
{
    if (m_steering.isServerKnown() && m_steering.isServerListStable(m_clock.now())) {
        retryLookups();
    }
}

// Packets that exceeded the maximum age of the queue were dropped; their callers retransmit them.
void AgentTraffic::retryLookups()
{
    const TimePoint now = m_clock.now();
    std::vector<std::vector<std::uint8_t>> datagrams;
    while (auto datagram = m_heldLookups.popOldest(now)) {
        datagrams.push_back(std::move(*datagram));
    }
    for (std::vector<std::uint8_t> &datagram : datagrams) {
        const auto message = decodeSteerMessage(datagram);
        const auto *packet = message ? std::get_if<SteeredPacket>(&*message) : nullptr;
        const auto segment = packet == nullptr ? std::nullopt : m_codec.decode(packet->packet);
        if (segment) {
            execute(m_steering.retryLookup(now, packet->header, *segment, m_notices), *segment, datagram);
            sendNotices();
            flush();
        }
    }
}

void AgentTraffic::execute(const AgentDecision &decision, const Segment &segment, std::span<std::uint8_t> withHeadroom)
{
    struct Visitor {
        AgentTraffic &traffic;
        const Segment &segment;
        std::span<std::uint8_t> withHeadroom;

        std::span<std::uint8_t> packet() const
        {
            return withHeadroom.subspan(steerHeaderLength);
        }
        void operator()(const DeliverToServer &) const
        {
            traffic.m_serverWriter.add(traffic.m_serverInput, packet());
            traffic.m_counters.add(PacketEvent::Delivered);
        }
        void operator()(const SendToCaller &) const
        {
            traffic.m_peerWriter.add(traffic.m_codec.callerEndpoint(flowTupleFromServer(segment)), packet());
            traffic.m_counters.add(PacketEvent::SentToCaller);
        }
        void operator()(const RelayToAgent &decision) const
        {
            traffic.relay(decision, segment, withHeadroom);
        }
        void operator()(const ResetCaller &decision) const
        {
            traffic.sendReset(decision);
        }
        void operator()(const DropPacket &decision) const
        {
            traffic.m_counters.add(PacketEvent::Dropped);
            logDrop(traffic.m_logger, decision, segment, traffic.m_steering.directory().routes().version());
        }
        void operator()(const HoldRequest &decision) const
        {
            traffic.holdRequest(decision, packet());
        }
        void operator()(const HoldLookup &decision) const
        {
            traffic.holdLookup(decision, withHeadroom);
        }
    };
    std::visit(Visitor{*this, segment, withHeadroom}, decision);
}

void AgentTraffic::relay(const RelayToAgent &decision, const Segment &segment, std::span<std::uint8_t> withHeadroom)
{
    if (segment.isSyn && m_steering.directory().acceptsServiceKeys(decision.agent)) {
        m_peerWriter.add(decision.agent, keepUntilFlush(encodeOpeningPacket(decision.header, withHeadroom.subspan(steerHeaderLength))));
    } else {
        encodeSteerHeader(decision.header, withHeadroom.first<steerHeaderLength>());
        m_peerWriter.add(decision.agent, withHeadroom);
    }
    m_counters.add(PacketEvent::Forwarded);
    m_logger.info("packet-passed-on",
                  {{"caller", toString(segment.source)},
                   {"address", toString(segment.destination)},
                   {"agent", toString(decision.agent)},
                   {"opening", segment.isSyn},
                   {"hops", decision.header.hops},
                   {"cause", steerCauseName(decision.cause)}});
}

void AgentTraffic::sendReset(const ResetCaller &decision)
{
    m_peerWriter.add(m_codec.callerEndpoint(decision.tuple), keepUntilFlush(m_codec.encodeReset(decision)));
    m_counters.add(PacketEvent::Reset);
    logReset(m_logger, m_clock.now(), decision, m_steering.directory());
    if (m_peerWriter.isFull()) {
        flush();
    }
}

void AgentTraffic::resendNotices()
{
    m_steering.resendNotices(m_clock.now(), m_notices);
    sendNotices();
    flush();
}

void AgentTraffic::sendNotices()
{
    for (const AddressedNotice &notice : m_notices) {
        if (m_peerWriter.isFull()) {
            flush();
        }
        m_peerWriter.add(notice.destination, keepUntilFlush(encode(notice.notice)));
    }
    m_notices.clear();
    if (m_peerWriter.isFull()) {
        flush();
    }
}

std::vector<std::uint8_t> &AgentTraffic::keepUntilFlush(std::span<const std::uint8_t> bytes)
{
    return m_pendingBuffers.emplace_back(bytes.begin(), bytes.end());
}

void AgentTraffic::flush()
{
    const std::size_t unsent = m_peerWriter.flush(m_peerSocket.native_handle()) + m_serverWriter.flush(m_serverSocket.native_handle());
    m_counters.add(PacketEvent::NotSent, unsent);
    m_pendingBuffers.clear();
}

}
