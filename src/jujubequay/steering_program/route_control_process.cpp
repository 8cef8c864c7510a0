#include <jujubequay/datapath/udp_socket.h>
#include <jujubequay/steering/steer_message.h>
#include <jujubequay/steering_program/route_control_process.h>

#include <xxhash.h>

#include <algorithm>
#include <csignal>
#include <utility>

namespace Jujubequay {

namespace pb = jujubequay::pb;

namespace {

constexpr auto role = "control";
/// Time from a disk failure to the next attempt to open the replica. A disk that is full or stalled usually recovers within seconds.
constexpr auto reopenInterval = std::chrono::milliseconds(500);
/// Time for the last messages to reach the other control hosts, one way between availability zones.
constexpr auto stopDelay = std::chrono::milliseconds(60);
/// Longest time from the stop signal to the end of the process, in which this host leaves the group.
constexpr auto maxLeaveTime = std::chrono::seconds(1);
/// Number of election timeouts without a message after which a voter that another one replaces is removed. The former leader is silent for
/// one to two of them before its successor is elected.
constexpr int surplusVoterElectionTimeouts = 2;
constexpr int heartbeatsPerLease = 3;
/// Flow records that are lost with the power of this host are at most this much older than the loss, and the time that the disk takes.
constexpr auto flowRecordSaveInterval = std::chrono::milliseconds(500);
constexpr auto messagesInterval = std::chrono::seconds(5);
/// Bounds the CPU time if the next deadline has passed and a tick finds nothing to do.
constexpr auto minTickInterval = std::chrono::milliseconds(2);
/// Hosts that restart after a common power failure start within this time of each other.
constexpr auto startupGrace = std::chrono::seconds(2);
/// Agents that start together register within this time of each other.
constexpr auto registryStableTime = std::chrono::milliseconds(100);

std::uint64_t wallClockMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

/// Disk identity of a founding member. Used only for the first disk; a replacement disk gets a random identity.
std::string founderIdentity(const HostAddress &seed, std::uint64_t cluster)
{
    return fmt::format("{:016x}{:08x}{:08x}", cluster, seed.ip, seed.port);
}

/// The founding members of the cluster: all seeds. They are sorted, so that every seed writes the same membership.
pb::Membership founders(std::vector<HostAddress> seeds)
{
    std::sort(seeds.begin(), seeds.end());
    std::string addresses;
    for (const HostAddress &seed : seeds) {
        addresses += toString(seed) + " ";
    }
    pb::Membership membership;
    membership.set_cluster(XXH3_64bits(addresses.data(), addresses.size()) | 1U);
    for (const HostAddress &seed : seeds) {
        pb::Member &member = *membership.add_members();
        member.set_id(founderIdentity(seed, membership.cluster()));
        member.set_host(ipText(seed));
        member.set_address(toString(seed));
        member.set_voter(true);
    }
    return membership;
}

}

struct RouteControlProcess::Session {
    std::unique_ptr<Consensus::PosixFileSystem> files;
    std::optional<Consensus::DiskLogStorage> storage;
    std::optional<ControlHostService> service;
};

RouteControlProcess::RouteControlProcess(RouteControlSettings settings, std::filesystem::path settingsFile, SeedReader readSeeds)
    : m_settings(std::move(settings))
    , m_readSeeds(std::move(readSeeds))
    , m_services(m_context, "jjq-control", m_settings.discovery.common, steeringProcessOptions(role, m_settings.discovery))
    , m_settingsWatcher(m_context,
                        std::move(settingsFile),
                        [this] {
                            reloadSeeds();
                        })
    , m_stopSignals(m_context, SIGTERM, SIGINT)
    , m_tickTimer(m_context)
    , m_reopenTimer(m_context)
    , m_stopTimer(m_context)
    , m_flowRecordTimer(m_context)
    , m_flowRecordFiles(m_settings.dataDirectory, m_services.logger())
    , m_noticeSocket(m_context)
    , m_seeds(m_settings.discovery.seeds)
{
}

RouteControlProcess::~RouteControlProcess()
{
    // Open streams call functions of the service, so they are closed before it is destroyed.
    if (m_server) {
        m_server->stop();
    }
    m_services.closeClient();
    m_context.restart();
    m_context.poll();
}

Result<void> RouteControlProcess::start()
{
    waitForStop();
    BOOST_LEAF_CHECK(m_services.start());
    BOOST_LEAF_ASSIGN(m_noticeSocket, bindUdpSocket(m_context, {m_settings.listenAddress.ip, 0}));
    MessageServerOptions options;
    options.http2.keepAlive = m_settings.discovery.common.keepAlive;
    const auto accept = [this](const std::string &path, const std::shared_ptr<MessageStream> &stream) {
        return m_session ? m_session->service->accept(path, stream) : MessageStreamHandlers{};
    };
    BOOST_LEAF_ASSIGN(m_server, MessageServer::listen(m_context, m_services.clock(), m_services.logger(), nullptr, m_settings.listenAddress, accept, options));
    tryOpenSession();
    m_settingsWatcher.start();
    scheduleTick();
    scheduleFlowRecordSave();
    m_services.logger().info("started", {{"address", toString(m_settings.peerAddress)}, {"first_start", m_settings.isFirstStart}});
    return {};
}

void RouteControlProcess::run()
{
    m_context.run();
    m_services.logger().info("stopped");
}

asio::io_context &RouteControlProcess::context()
{
    return m_context;
}

Logger &RouteControlProcess::logger()
{
    return m_services.logger();
}

// Replica

Result<void> RouteControlProcess::initialiseIfEmpty(Consensus::FileSystem &files) const
{
    BOOST_LEAF_AUTO(fileNames, files.list());
    if (std::find(fileNames.begin(), fileNames.end(), "identity") != fileNames.end()) {
        return {};
    }
    Consensus::InitialiseOptions options;
    options.identity = {Consensus::randomDiskIdentity(), m_settings.discovery.common.location.hostName};
    const auto &seeds = m_settings.discovery.seeds;
    const bool isFounder = m_settings.isFirstStart && std::find(seeds.begin(), seeds.end(), m_settings.peerAddress) != seeds.end();
    if (isFounder) {
        options.initialMembership = founders(seeds);
        options.identity.id = founderIdentity(m_settings.peerAddress, options.initialMembership.cluster());
    }
    return Consensus::initialiseDisk(files, options);
}

ControlHostOptions RouteControlProcess::options()
{
    ControlHostOptions options;
    options.host = m_settings.discovery.common.location.hostName;
    options.zone = m_settings.discovery.common.location.availabilityZone;
    options.address = toString(m_settings.peerAddress);
    options.epoch = m_services.random()() | 1U; // never 0
    options.replica.heartbeatInterval = m_settings.heartbeat;
    options.replica.electionTimeout = m_settings.electionTimeout;
    options.replica.firstElectionTimeout = m_settings.heartbeat / 2;
    options.replica.persistsCommitIndex = true;
    options.startupGrace = startupGrace;
    options.replica.snapshotInterval = m_settings.snapshotEntries;
    options.lease.lease = m_settings.lease;
    options.lease.heartbeat = m_settings.lease / heartbeatsPerLease;
    options.lease.removalDelay = m_settings.lease / heartbeatsPerLease;
    options.registryExchangeInterval = ControlHostService::tickInterval;
    options.registryFillTimeout = 2 * m_settings.discovery.silenceLimit;
    options.registryStableTime = registryStableTime;
    options.watch.heartbeat = m_settings.discovery.silenceLimit / 3;
    options.watch.confirmInterval = m_settings.discovery.silenceLimit / 3;
    options.watch.confirmTimeout = m_settings.discovery.silenceLimit;
    options.acceptsAnyService = true;
    options.membershipReconciler = MembershipReconcilerOptions();
    options.membershipReconciler->voters = 2 * m_settings.toleratedDiskLosses + 1;
    options.membershipReconciler->surplusVoterTimeout = surplusVoterElectionTimeouts * m_settings.electionTimeout;
    return options;
}

Result<void> RouteControlProcess::openSession()
{
    std::error_code error;
    std::filesystem::create_directories(m_settings.dataDirectory, error);
    if (error) {
        return fail(ResultCode::DiskFailed, fmt::format("{}: {}", m_settings.dataDirectory.string(), error.message()));
    }
    auto session = std::make_unique<Session>();
    BOOST_LEAF_ASSIGN(session->files, Consensus::PosixFileSystem::open(m_settings.dataDirectory));
    BOOST_LEAF_CHECK(initialiseIfEmpty(*session->files));
    session->storage.emplace(*session->files, m_settings.discovery.common.location.hostName);
    BOOST_LEAF_AUTO(stored, session->storage->load());
    ControlHostService::Environment environment{
        .clock = m_services.clock(),
        .wallClock = wallClockMs,
        .logger = m_services.logger(),
        .client = m_services.client(),
        .storage = *session->storage,
        .random = m_services.random(),
        .storageFailed =
            [this](const Failure &failure) {
                handleSessionFailure(failure);
            },
        .sendStartNotice =
            [this](const HostAddress &host) {
                sendStartNotice(host);
            },
        .sendEndedFlows =
            [this](const EndedFlows &ended) {
                sendEndedFlows(ended);
            },
    };
    session->service.emplace(options(), environment, std::move(stored));
    m_session = std::move(session);
    m_session->service->setSeeds(m_seeds);
    m_session->service->start();
    loadFlowRecords();
    const Consensus::Replica &replica = m_session->service->driver().replica();
    m_services.logger().info("replica-opened",
                             {{"disk", replica.id()},
                              {"term", replica.term()},
                              {"last_index", replica.lastIndex()},
                              {"members", replica.membership().members_size()},
                              {"routes_version", m_session->service->driver().state().routes().table().version()}});
    return {};
}

void RouteControlProcess::tryOpenSession()
{
    handleFailure(
        [this] {
            return openSession();
        },
        [this](const Failure &failure) {
            handleSessionFailure(failure);
        });
}

// The service reports its failure from within its own functions, so it is destroyed later, by a timer.
void RouteControlProcess::handleSessionFailure(const Failure &failure)
{
    m_services.logger().error("replica-closed", {{"result", resultName(failure.code)}, {"cause", failure.detail}});
    m_hasSessionFailed = true;
    m_reopenTimer.expires_after(reopenInterval);
    m_reopenTimer.async_wait([this](const asio::error_code &error) {
        if (error) {
            return;
        }
        m_services.closeClient();
        m_server->closeConnections();
        asio::post(m_context, [this] {
            m_session.reset();
            m_hasSessionFailed = false;
            tryOpenSession();
        });
    });
}

void RouteControlProcess::sendStartNotice(const HostAddress &host)
{
    sendNotice(MessageKind::StartNotice, host, encode(StartNotice{m_settings.peerAddress}));
}

void RouteControlProcess::sendEndedFlows(const EndedFlows &ended)
{
    EndedFlowsNotice notice{{ended.flows.incarnation()}, {}};
    for (const pb::FlowRecord &record : ended.flows.open()) {
        const HostAddress caller{record.caller_ip(), static_cast<std::uint16_t>(record.caller_port())};
        const HostAddress service{record.service_ip(), static_cast<std::uint16_t>(record.service_port())};
        notice.flows.push_back({{caller, service}, record.acknowledgement()});
        if (notice.flows.size() == maxEndedFlows) {
            sendNotice(MessageKind::EndedFlows, ended.agent, encode(notice));
            notice.flows.clear();
        }
    }
    if (!notice.flows.empty()) {
        sendNotice(MessageKind::EndedFlows, ended.agent, encode(notice));
    }
}

void RouteControlProcess::sendNotice(MessageKind kind, const HostAddress &host, std::span<const std::uint8_t> notice)
{
    asio::error_code error;
    m_noticeSocket.send_to(asio::buffer(notice.data(), notice.size()), asio::ip::udp::endpoint(asio::ip::address_v4(host.ip), host.port), 0, error);
    if (error) {
        m_services.logger().warning("notice-not-sent", {{"host", toString(host)}, {"cause", error.message()}});
        return;
    }
    m_session->service->countNotice(kind, notice.size());
}

// Flow records

void RouteControlProcess::loadFlowRecords()
{
    // After a failure of the disk, agents report their flows again.
    if (std::exchange(m_areFlowRecordsLoaded, true)) {
        return;
    }
    handleFailure(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(file, m_flowRecordFiles.load());
            if (!file.empty()) {
                BOOST_LEAF_AUTO(flows, m_session->service->flowRecords().load(m_services.clock().now(), wallClockMs(), file));
                m_services.logger().info("flow-records-loaded", {{"flows", flows}, {"bytes", file.size()}});
            }
            return 0;
        },
        [&](const Failure &failure) {
            m_services.logger().warning("flow-records-ignored", {{"cause", failure.detail}});
            return 0;
        });
}

void RouteControlProcess::scheduleFlowRecordSave()
{
    m_flowRecordTimer.expires_after(flowRecordSaveInterval);
    m_flowRecordTimer.async_wait([this](const asio::error_code &error) {
        if (error) {
            return;
        }
        const bool isSessionOpen = m_session && !m_hasSessionFailed;
        if (isSessionOpen && !m_flowRecordFiles.isSaving() && m_session->service->flowRecords().takeChanged()) {
            m_flowRecordFiles.save(m_session->service->flowRecords().toFile(wallClockMs()));
        }
        scheduleFlowRecordSave();
    });
}

// Requests of operators

void RouteControlProcess::replaceRoutes(const pb::ReplaceRoutes &change, std::function<void(const RouteChangeAnswer &)> handler)
{
    if (!m_session || m_hasSessionFailed) {
        handler({ResultCode::DiskFailed, "the disk does not work", {}});
        return;
    }
    m_session->service->replaceRoutes(change, std::move(handler));
}

void RouteControlProcess::readRoutes(std::function<void(const RouteReadAnswer &)> handler)
{
    if (!m_session || m_hasSessionFailed) {
        handler({ResultCode::DiskFailed, {}});
        return;
    }
    m_session->service->confirmRoutes([this, handler = std::move(handler)](ResultCode result) {
        const bool isConfirmed = result == ResultCode::Ok && m_session;
        handler({result, isConfirmed ? m_session->service->driver().state().routes().document() : std::string()});
    });
}

// Process

void RouteControlProcess::reloadSeeds()
{
    applySeeds(m_services.logger(), m_readSeeds, [this](std::vector<HostAddress> seeds) {
        m_seeds = std::move(seeds);
        if (m_session) {
            m_session->service->setSeeds(m_seeds);
        }
    });
}

void RouteControlProcess::waitForStop()
{
    m_stopSignals.async_wait([this](const asio::error_code &error, int signal) {
        if (error) {
            return;
        }
        m_services.logger().info("stopping", {{"signal", signal}});
        if (m_session && !m_hasSessionFailed) {
            m_session->service->announceLeave();
        }
        stopOnceLeft(m_services.clock().now() + maxLeaveTime);
    });
}

void RouteControlProcess::stopOnceLeft(TimePoint deadline)
{
    const bool isLeaving = m_session && !m_hasSessionFailed && m_session->service->isLeaving();
    m_stopTimer.expires_after(stopDelay);
    m_stopTimer.async_wait([this, isLeaving, deadline](const asio::error_code &) {
        if (isLeaving && m_services.clock().now() < deadline) {
            stopOnceLeft(deadline);
        } else {
            m_context.stop();
        }
    });
}

void RouteControlProcess::scheduleTick()
{
    const bool isReplicaOpen = m_session && !m_hasSessionFailed;
    const TimePoint now = m_services.clock().now();
    m_tickTimer.expires_at(isReplicaOpen ? std::max(now + minTickInterval, m_session->service->nextTick()) : now + ControlHostService::tickInterval);
    m_tickTimer.async_wait([this](const asio::error_code &error) {
        if (error) {
            return;
        }
        if (m_session && !m_hasSessionFailed) {
            m_session->service->tick();
            publishMetrics();
        }
        scheduleTick();
    });
}

void RouteControlProcess::publishMetrics()
{
    const ControlHostService &service = *m_session->service;
    m_services.metrics().setGauge("routes_version", static_cast<double>(service.driver().state().routes().table().version()));
    m_services.metrics().setGauge("applied_index", static_cast<double>(service.driver().replica().appliedIndex()));
    m_services.metrics().setGauge("is_leader", service.driver().replica().role() == Consensus::Role::Leader ? 1 : 0);
    m_services.metrics().setGauge("has_leader", service.driver().replica().leader().empty() ? 0 : 1);
    m_services.metrics().setGauge("watchers", static_cast<double>(service.watchServer().watcherCount()));
    const TimePoint now = m_services.clock().now();
    if (now - m_messagesPublishedAt >= messagesInterval) {
        m_messagesPublishedAt = now;
        publishMessages(service.messages());
    }
}

void RouteControlProcess::publishMessages(const MessageAccount &messages)
{
    for (std::size_t index = 0; index < messageKindCount; ++index) {
        const auto kind = static_cast<MessageKind>(index);
        const std::string_view name = messageKindName(kind);
        m_services.setCounter("messages_sent", name, messages.sent(kind).messages);
        m_services.setCounter("message_bytes_sent", name, messages.sent(kind).bytes);
        m_services.setCounter("messages_received", name, messages.received(kind).messages);
        m_services.setCounter("message_bytes_received", name, messages.received(kind).bytes);
    }
    m_services.logger().info("messages", {{"sent", describeSent(messages)}, {"received", describeReceived(messages)}});
}

}
