#include <jujubequay/steering_program/balancer_traffic.h>

#include <jujubequay/datapath/read_batches.h>
#include <jujubequay/datapath/udp_socket.h>

#include <array>

namespace Jujubequay {

namespace {

constexpr auto expiryInterval = std::chrono::seconds(1);
/// Size of the receive and send buffers: half a second of packets at the packet rate of a small host.
constexpr int socketBufferBytes = 1 << 20;

constexpr std::array publishedEvents{PacketEvent::Relayed,
                                     PacketEvent::Placed,
                                     PacketEvent::SentToRegistrar,
                                     PacketEvent::Reset,
                                     PacketEvent::Dropped,
                                     PacketEvent::Unreadable,
                                     PacketEvent::NotSent};

BalancerSteeringOptions steeringOptions(const SteeringBalancerSettings &settings)
{
    BalancerSteeringOptions options;
    options.zone = settings.discovery.common.location.availabilityZone;
    options.noticeAddress = settings.peerAddress;
    return options;
}

}

Result<std::unique_ptr<BalancerTraffic>> BalancerTraffic::open(asio::io_context &context,
                                                               const Clock &clock,
                                                               Logger &logger,
                                                               const PacketCodec &codec,
                                                               const SteeringBalancerSettings &settings,
                                                               StartNoticeHandler onStartNotice,
                                                               NewerRoutesHandler onNewerRoutes)
{
    BOOST_LEAF_AUTO(callers, bindUdpSocket(context, settings.callerAddress, {.bufferBytes = socketBufferBytes}));
    BOOST_LEAF_AUTO(peers, bindUdpSocket(context, settings.peerAddress, {.bufferBytes = socketBufferBytes}));
    return std::unique_ptr<BalancerTraffic>(
        new BalancerTraffic(context, clock, logger, codec, settings, std::move(onStartNotice), std::move(onNewerRoutes), std::move(callers), std::move(peers)));
}

BalancerTraffic::BalancerTraffic(asio::io_context &context,
                                 const Clock &clock,
                                 Logger &logger,
                                 const PacketCodec &codec,
                                 const SteeringBalancerSettings &settings,
                                 StartNoticeHandler onStartNotice,
                                 NewerRoutesHandler onNewerRoutes,
                                 asio::ip::udp::socket callers,
                                 asio::ip::udp::socket peers)
    : m_clock(clock)
    , m_logger(logger)
    , m_codec(codec)
    , m_onStartNotice(std::move(onStartNotice))
    , m_onNewerRoutes(std::move(onNewerRoutes))
    , m_steering(steeringOptions(settings))
    , m_startupQueue({})
    , m_callerSocket(std::move(callers))
    , m_peerSocket(std::move(peers))
    , m_expiryTimer(context,
                    expiryInterval,
                    [this] {
                        m_steering.expire(m_clock.now());
                    })
    , m_reader(steerHeaderLength)
    , m_counters(publishedEvents)
{
}

void BalancerTraffic::start()
{
    readBatches(m_callerSocket, m_reader, [this](std::size_t count) {
        handleCallerPackets(count);
    });
    readBatches(m_peerSocket, m_reader, [this](std::size_t count) {
        handlePeerDatagrams(count);
    });
    m_expiryTimer.start();
}

void BalancerTraffic::update(const ConfigSnapshotPointer &snapshot)
{
    m_steering.update(m_clock.now(), *snapshot);
    logEndedServers(m_logger, m_steering.takeEndedServers(), snapshot->registrySource);
    if (m_steering.isReady()) {
        releaseStartupQueue();
    }
}

const PacketCounters &BalancerTraffic::counters() const
{
    return m_counters;
}

void BalancerTraffic::handleCallerPackets(std::size_t count)
{
    const TimePoint now = m_clock.now();
    for (std::size_t index = 0; index < count; ++index) {
        handlePacket(now, m_reader.withHeadroom(index), PacketArrival::JustNow);
    }
    flush();
}

void BalancerTraffic::handlePacket(TimePoint now, std::span<std::uint8_t> datagram, PacketArrival arrival)
{
    const auto packet = datagram.subspan(steerHeaderLength);
    const auto segment = m_codec.decode(packet);
    if (!segment) {
        m_counters.add(PacketEvent::Unreadable);
        return;
    }
    if (!m_steering.isReady()) {
        m_startupQueue.push(now, packet);
        return;
    }
    struct Visitor {
        BalancerTraffic &traffic;
        const Segment &segment;
        std::span<std::uint8_t> datagram;

        void operator()(const RelayToAgent &decision) const
        {
            traffic.relay(decision, segment, datagram);
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
    };
    std::visit(Visitor{*this, *segment, datagram}, m_steering.decide(now, *segment, arrival));
}

void BalancerTraffic::releaseStartupQueue()
{
    const TimePoint now = m_clock.now();
    const std::size_t queuedCount = m_startupQueue.size();
    std::vector<std::uint8_t> datagram;
    while (const auto packet = m_startupQueue.popOldest(now)) {
        datagram.assign(steerHeaderLength, 0);
        datagram.insert(datagram.end(), packet->begin(), packet->end());
        handlePacket(now, datagram, PacketArrival::Queued);
        flush();
    }
    if (queuedCount > 0) {
        m_logger.info("startup-queue-released", {{"packets", queuedCount}, {"dropped", m_startupQueue.droppedCount()}});
    }
}

void BalancerTraffic::relay(const RelayToAgent &decision, const Segment &segment, std::span<std::uint8_t> datagram)
{
    if (segment.isSyn && m_steering.directory().acceptsServiceKeys(decision.agent)) {
        m_pendingBuffers.push_back(encodeOpeningPacket(decision.header, datagram.subspan(steerHeaderLength)));
        m_agentWriter.add(decision.agent, m_pendingBuffers.back());
    } else {
        encodeSteerHeader(decision.header, datagram.first<steerHeaderLength>());
        m_agentWriter.add(decision.agent, datagram);
    }
    m_counters.add(PacketEvent::Relayed);
    if (decision.cause == SteerCause::Placed) {
        m_counters.add(PacketEvent::Placed);
        m_logger.info("flow-placed",
                      {{"caller", toString(segment.source)},
                       {"address", toString(segment.destination)},
                       {"agent", toString(decision.agent)},
                       {"copy", segment.retransmissionCount},
                       {"routes_version", decision.header.routeTableVersion}});
    } else if (decision.cause == SteerCause::OwnerLookup) {
        m_counters.add(PacketEvent::SentToRegistrar);
    }
}

void BalancerTraffic::sendReset(const ResetCaller &decision)
{
    m_pendingBuffers.push_back(m_codec.encodeReset(decision));
    m_callerWriter.add(m_codec.callerEndpoint(decision.tuple), m_pendingBuffers.back());
    m_counters.add(PacketEvent::Reset);
    logReset(m_logger, m_clock.now(), decision, m_steering.directory());
}

void BalancerTraffic::flush()
{
    const std::size_t unsent = m_agentWriter.flush(m_peerSocket.native_handle()) + m_callerWriter.flush(m_callerSocket.native_handle());
    m_counters.add(PacketEvent::NotSent, unsent);
    m_pendingBuffers.clear();
}

void BalancerTraffic::handlePeerDatagrams(std::size_t count)
{
    const TimePoint now = m_clock.now();
    for (std::size_t index = 0; index < count; ++index) {
        const auto message = decodeSteerMessage(m_reader.datagram(index));
        if (const auto *owner = message ? std::get_if<OwnerNotice>(&*message) : nullptr) {
            m_steering.handleOwnerNotice(now, *owner);
        } else if (const auto *load = message ? std::get_if<LoadNotice>(&*message) : nullptr) {
            m_steering.handleLoadNotice(now, *load);
        } else if (const auto *start = message ? std::get_if<StartNotice>(&*message) : nullptr) {
            m_onStartNotice(start->controlHost);
        } else if (const auto *newer = message ? std::get_if<NewerRoutesNotice>(&*message) : nullptr) {
            handleNewerRoutes(now, *newer);
        } else {
            m_counters.add(PacketEvent::Unreadable);
        }
    }
}

void BalancerTraffic::handleNewerRoutes(TimePoint now, const NewerRoutesNotice &notice)
{
    const bool isNewer = m_steering.isReady() && notice.version > m_steering.directory().routes().version();
    if (isNewer && now - m_lastNewerRoutesAt >= newerRoutesInterval) {
        m_lastNewerRoutesAt = now;
        m_onNewerRoutes(notice.balancer);
    }
}

}
