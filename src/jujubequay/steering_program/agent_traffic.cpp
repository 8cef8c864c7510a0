#include <jujubequay/steering_program/agent_traffic.h>

#include <jujubequay/datapath/read_batches.h>
#include <jujubequay/datapath/udp_socket.h>

#include <array>

namespace Jujubequay {

namespace {

constexpr auto expiryInterval = std::chrono::seconds(1);
/// Half the time in which a caller repeats an opening packet, so that balancers see a burst before its copies.
constexpr auto loadNoticeInterval = std::chrono::milliseconds(250);
/// A held request of a server that answers nothing is released this much late at most.
constexpr auto releaseInterval = std::chrono::milliseconds(100);
/// Between looks at whether the list of servers has settled, which takes 400 ms after a change.
constexpr auto searchInterval = std::chrono::milliseconds(100);
/// Receive and send buffers: half a second of packets at the packet rate of one small host.
constexpr int socketBufferBytes = 1 << 20;

constexpr std::array events{PacketEvent::Delivered,
                            PacketEvent::Answered,
                            PacketEvent::PassedOn,
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
    return options;
}

}

Result<std::unique_ptr<AgentTraffic>> AgentTraffic::open(asio::io_context &context,
                                                         const Clock &clock,
                                                         Logger &logger,
                                                         Metrics &metrics,
                                                         const PacketCodec &codec,
                                                         const SteeringAgentSettings &settings,
                                                         StartNoticeHandler onStartNotice)
{
    BOOST_LEAF_AUTO(peers, bindUdpSocket(context, settings.relayAddress, {.bufferBytes = socketBufferBytes}));
    BOOST_LEAF_AUTO(server, bindUdpSocket(context, settings.serverOutput, {.bufferBytes = socketBufferBytes}));
    return std::unique_ptr<AgentTraffic>(
        new AgentTraffic(context, clock, logger, metrics, codec, settings, std::move(onStartNotice), std::move(peers), std::move(server)));
}

AgentTraffic::AgentTraffic(asio::io_context &context,
                           const Clock &clock,
                           Logger &logger,
                           Metrics &metrics,
                           const PacketCodec &codec,
                           const SteeringAgentSettings &settings,
                           StartNoticeHandler onStartNotice,
                           asio::ip::udp::socket peers,
                           asio::ip::udp::socket server)
    : m_clock(clock)
    , m_logger(logger)
    , m_codec(codec)
    , m_serverInput(settings.serverInput)
    , m_onStartNotice(std::move(onStartNotice))
    , m_steering(steeringOptions(settings))
    , m_peers(std::move(peers))
    , m_server(std::move(server))
    , m_expiryTimer(context,
                    expiryInterval,
                    [this] {
                        m_steering.expire(m_clock.now());
                    })
    , m_loadTimer(context,
                  loadNoticeInterval,
                  [this] {
                      sendLoad();
                      repeatNotices();
                  })
    , m_releaseTimer(context)
    , m_reader(steerHeaderLength)
    , m_heldRequests({.maxAge = 2 * AgentSteeringOptions().maxHold})
    , m_heldSearches({})
    , m_searchTimer(context)
    , m_counters(events)
    , m_metrics(metrics)
{
}

void AgentTraffic::start()
{
    readBatches(m_peers, m_reader, [this](std::size_t received) {
        receiveFromPeers(received);
    });
    readBatches(m_server, m_reader, [this](std::size_t received) {
        receiveFromServer(received);
    });
    m_expiryTimer.start();
    m_loadTimer.start();
}

void AgentTraffic::update(const ConfigSnapshotPointer &snapshot)
{
    m_steering.update(m_clock.now(), *snapshot);
    repeatNotices();
    repeatSearchesIfSettled();
}

void AgentTraffic::setServer(const std::optional<LocalServer> &server, bool isFresh)
{
    const bool wasServerKnown = m_steering.isServerKnown();
    for (const ResetCaller &decision : m_steering.setServer(m_clock.now(), server, isFresh)) {
        reset(decision);
    }
    flush();
    if (!wasServerKnown) {
        repeatSearches();
    }
}

const PacketCounters &AgentTraffic::counters() const
{
    return m_counters;
}

void AgentTraffic::sendLoad()
{
    const LoadNotice load = m_steering.load();
    const auto notice = encode(load);
    for (const HostAddress &balancer : m_steering.recentBalancers()) {
        m_toPeers.add(balancer, keep(notice));
        if (m_toPeers.isFull()) {
            flush();
        }
    }
    flush();
    if (m_wasServerTrusted != m_steering.isServerTrusted()) {
        m_wasServerTrusted = m_steering.isServerTrusted();
        m_logger.info(m_wasServerTrusted ? "server-trusted" : "server-ejected", {{"waiting", load.waiting}, {"open_flows", load.openFlows}});
    }
}

// Callers' accounts are inside the flows, where the system does not read; the route is the finest label that it knows.
void AgentTraffic::recordAnswered()
{
    for (const AnsweredRequest &answered : m_steering.takeAnswered()) {
        const Route *route = m_steering.directory().routes().find(answered.service);
        const std::string_view name = route == nullptr ? Metrics::otherCustomers : std::string_view(route->name);
        const WorkClass workClass = route == nullptr ? WorkClass::Interactive : workClassOf(route->kind);
        m_metrics.addRequest(name, workClass, {answered.time, answered.held, 0});
    }
}

void AgentTraffic::receiveFromPeers(std::size_t received)
{
    const TimePoint now = m_clock.now();
    for (std::size_t index = 0; index < received; ++index) {
        const auto datagram = m_reader.datagram(index);
        const auto message = decodeSteerMessage(datagram);
        if (!message) {
            m_counters.add(PacketEvent::Unreadable);
        } else if (const auto *packet = std::get_if<SteeredPacket>(&*message)) {
            handle(now, *packet, datagram);
        } else if (const auto *owner = std::get_if<OwnerNotice>(&*message)) {
            m_steering.notice(now, *owner);
            m_toPeers.add(owner->owner, keep(encode(OwnerAcknowledgement{owner->tuple, m_steering.options().agent})));
            if (m_toPeers.isFull()) {
                flush();
            }
        } else if (const auto *acknowledgement = std::get_if<OwnerAcknowledgement>(&*message)) {
            m_steering.acknowledged(*acknowledgement);
        } else if (const auto *started = std::get_if<StartNotice>(&*message)) {
            m_onStartNotice(started->controlHost);
        }
    }
    flush();
}

void AgentTraffic::handle(TimePoint now, const SteeredPacket &packet, std::span<std::uint8_t> datagram)
{
    const auto segment = m_codec.decode(packet.packet);
    if (!segment) {
        m_counters.add(PacketEvent::Unreadable);
        return;
    }
    carryOut(m_steering.fromPeer(now, packet.header, *segment, m_notices), *segment, datagram);
    sendNotices();
}

void AgentTraffic::receiveFromServer(std::size_t received)
{
    const TimePoint now = m_clock.now();
    for (std::size_t index = 0; index < received; ++index) {
        const auto packet = m_reader.datagram(index);
        const auto segment = m_codec.decode(packet);
        if (!segment) {
            m_counters.add(PacketEvent::Unreadable);
            continue;
        }
        const AgentDecision decision = m_steering.fromServer(now, *segment, m_notices);
        if (segment->isRejected) {
            m_codec.clearTransitFields(packet);
        }
        carryOut(decision, *segment, m_reader.withHeadroom(index));
        sendNotices();
    }
    releaseHeld(now);
    flush();
    recordAnswered();
    if (m_wasServerTrusted != m_steering.isServerTrusted()) {
        sendLoad();
    }
}

// Requests go to the server once it takes more, or when they have waited for as long as is useful.
void AgentTraffic::releaseHeld(TimePoint now)
{
    const Duration maxHold = m_steering.options().maxHold;
    while (const auto oldest = m_heldRequests.oldestArrival()) {
        if (!m_steering.mayStartRequest() && now - *oldest < maxHold) {
            return;
        }
        auto packet = m_heldRequests.popOldest(now);
        const auto segment = packet ? m_codec.decode(*packet) : std::nullopt;
        if (!segment || !std::holds_alternative<DeliverToServer>(m_steering.startHeld(now, *segment))) {
            continue;
        }
        if (m_toServer.isFull()) {
            flush();
        }
        m_kept.push_back(std::move(*packet));
        m_toServer.add(m_serverInput, m_kept.back());
        m_counters.add(PacketEvent::Delivered);
    }
}

void AgentTraffic::hold(std::span<const std::uint8_t> packet)
{
    m_heldRequests.push(m_clock.now(), packet);
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
            releaseHeld(m_clock.now());
            flush();
            m_isReleaseScheduled = m_heldRequests.size() > 0;
            if (m_isReleaseScheduled) {
                scheduleRelease();
            }
        }
    });
}

void AgentTraffic::holdSearch(const HoldSearch &decision, std::span<std::uint8_t> withHeadroom)
{
    encodeSteerHeader(decision.header, withHeadroom.first<steerHeaderLength>());
    const bool isFirst = m_heldSearches.size() == 0;
    m_heldSearches.push(m_clock.now(), withHeadroom);
    m_counters.add(PacketEvent::Held);
    if (isFirst) {
        scheduleSearches();
    }
}

void AgentTraffic::scheduleSearches()
{
    m_searchTimer.expires_after(searchInterval);
    m_searchTimer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            repeatSearchesIfSettled();
            if (m_heldSearches.size() > 0) {
                scheduleSearches();
            }
        }
    });
}

void AgentTraffic::repeatSearchesIfSettled()
{
    if (m_steering.isServerKnown() && m_steering.isListSettled(m_clock.now())) {
        repeatSearches();
    }
}

// Packets that wait for longer than the queue keeps them are repeated by their callers.
void AgentTraffic::repeatSearches()
{
    const TimePoint now = m_clock.now();
    std::vector<std::vector<std::uint8_t>> datagrams;
    while (auto datagram = m_heldSearches.popOldest(now)) {
        datagrams.push_back(std::move(*datagram));
    }
    for (std::vector<std::uint8_t> &datagram : datagrams) {
        const auto message = decodeSteerMessage(datagram);
        const auto *packet = message ? std::get_if<SteeredPacket>(&*message) : nullptr;
        const auto segment = packet == nullptr ? std::nullopt : m_codec.decode(packet->packet);
        if (segment) {
            carryOut(m_steering.repeatSearch(now, packet->header, *segment, m_notices), *segment, datagram);
            sendNotices();
            flush();
        }
    }
}

void AgentTraffic::carryOut(const AgentDecision &decision, const Segment &segment, std::span<std::uint8_t> withHeadroom)
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
            traffic.m_toServer.add(traffic.m_serverInput, packet());
            traffic.m_counters.add(PacketEvent::Delivered);
        }
        void operator()(const SendToCaller &) const
        {
            traffic.m_toPeers.add(traffic.m_codec.callerEndpoint(flowTupleFromServer(segment)), packet());
            traffic.m_counters.add(PacketEvent::Answered);
        }
        void operator()(const RelayToAgent &relayed) const
        {
            traffic.relay(relayed, segment, withHeadroom);
        }
        void operator()(const ResetCaller &refused) const
        {
            traffic.reset(refused);
        }
        void operator()(const DropPacket &dropped) const
        {
            traffic.m_counters.add(PacketEvent::Dropped);
            logDrop(traffic.m_logger, dropped, segment, traffic.m_steering.directory().routes().version());
        }
        void operator()(const HoldPacket &) const
        {
            traffic.hold(packet());
        }
        void operator()(const HoldSearch &held) const
        {
            traffic.holdSearch(held, withHeadroom);
        }
    };
    std::visit(Visitor{*this, segment, withHeadroom}, decision);
}

void AgentTraffic::relay(const RelayToAgent &decision, const Segment &segment, std::span<std::uint8_t> withHeadroom)
{
    encodeSteerHeader(decision.header, withHeadroom.first<steerHeaderLength>());
    m_toPeers.add(decision.agent, withHeadroom);
    m_counters.add(PacketEvent::PassedOn);
    m_logger.info("packet-passed-on",
                  {{"caller", toString(segment.source)},
                   {"address", toString(segment.destination)},
                   {"agent", toString(decision.agent)},
                   {"opening", segment.isSyn},
                   {"hops", decision.header.hops},
                   {"cause", steerCauseName(decision.cause)}});
}

void AgentTraffic::reset(const ResetCaller &decision)
{
    m_toPeers.add(m_codec.callerEndpoint(decision.tuple), keep(m_codec.encodeReset(decision)));
    m_counters.add(PacketEvent::Reset);
    logReset(m_logger, decision, m_steering.directory().routes().version());
    if (m_toPeers.isFull()) {
        flush();
    }
}

void AgentTraffic::repeatNotices()
{
    m_steering.repeatNotices(m_clock.now(), m_notices);
    sendNotices();
    flush();
}

void AgentTraffic::sendNotices()
{
    for (const NoticeTo &notice : m_notices) {
        if (m_toPeers.isFull()) {
            flush();
        }
        m_toPeers.add(notice.destination, keep(encode(notice.notice)));
    }
    m_notices.clear();
    if (m_toPeers.isFull()) {
        flush();
    }
}

std::vector<std::uint8_t> &AgentTraffic::keep(std::span<const std::uint8_t> bytes)
{
    return m_kept.emplace_back(bytes.begin(), bytes.end());
}

void AgentTraffic::flush()
{
    const std::size_t lost = m_toPeers.flush(m_peers.native_handle()) + m_toServer.flush(m_server.native_handle());
    m_counters.add(PacketEvent::NotSent, lost);
    m_kept.clear();
}

}
