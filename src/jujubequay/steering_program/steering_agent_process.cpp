#include <jujubequay/steering_program/announcement_check.h>
#include <jujubequay/steering_program/steering_agent_process.h>

#include <csignal>
#include <utility>

namespace Jujubequay {

namespace pb = jujubequay::pb;

namespace {

constexpr auto role = "agent";
constexpr auto serverCheckInterval = std::chrono::milliseconds(250);
/// After this many announcement intervals without an announcement the server gets no new flows.
constexpr int maxMissedAnnouncements = 3;
/// A running server announces itself within this number of announcement intervals, also if one announcement is lost.
constexpr int firstAnnouncementIntervals = 2;
/// A server of another service is accepted once the current one has not announced itself for this number of announcement intervals.
constexpr int serviceChangeIntervals = 2;
/// Time between the stop signal and the end of the process, in which the server's last packets are still forwarded.
constexpr auto stopDelay = std::chrono::milliseconds(300);
/// Time between checks whether a departing server has ended. Short, so that its callers are reset without a noticeable delay.
constexpr auto endCheckInterval = std::chrono::milliseconds(100);
constexpr std::uint32_t defaultWeight = 100;
/// A server that has not announced itself may be the listed one, so it has a lower order than any server with a start time.
constexpr std::uint64_t unconfirmedOrder = 1;

std::uint64_t wallClockMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

pb::FlowRecords flowRecordsOf(const FlowRecordChanges &changes)
{
    pb::FlowRecords message;
    message.set_incarnation(changes.incarnation.value);
    message.set_full(changes.isFull);
    for (const FlowRecordChange &change : changes.changes) {
        pb::FlowRecord &record = change.isOpen ? *message.add_open() : *message.add_closed();
        record.set_caller_ip(change.tuple.caller.ip);
        record.set_caller_port(change.tuple.caller.port);
        record.set_service_ip(change.tuple.service.ip);
        record.set_service_port(change.tuple.service.port);
        record.set_acknowledgement(change.acknowledgement);
    }
    return message;
}

}

SteeringAgentProcess::SteeringAgentProcess(SteeringAgentSettings settings,
                                           std::filesystem::path settingsFile,
                                           AgentSettingsReader readSettings,
                                           const PacketCodec &codec)
    : m_settings(std::move(settings))
    , m_service(m_settings.service)
    , m_readSettings(std::move(readSettings))
    , m_codec(codec)
    , m_services(m_context, "jjq-agent", m_settings.discovery.common, steeringProcessOptions(role, m_settings.discovery))
    , m_settingsWatcher(m_context,
                        std::move(settingsFile),
                        [this] {
                            reloadSettings();
                        })
    , m_stopSignals(m_context, SIGTERM, SIGINT)
    , m_serverCheckTimer(m_context,
                         serverCheckInterval,
                         [this] {
                             if (!m_isServerChecked) {
                                 checkServer();
                             }
                             applyServer(false);
                             scheduleEndCheck();
                             publishMetrics();
                         })
    , m_probe(m_context, m_settings.serverInput)
    , m_endTimer(m_context)
    , m_stopTimer(m_context)
    , m_announcements(maxMissedAnnouncements * m_settings.announceInterval)
    , m_epoch(static_cast<std::uint32_t>(m_services.random()()) | 1U)
    , m_absentIncarnation(static_cast<std::uint32_t>(m_services.random()()) | 2U)
{
}

SteeringAgentProcess::~SteeringAgentProcess()
{
    if (m_watcher) {
        m_watcher->stop();
    }
    if (m_announceClient) {
        m_announceClient->stop();
    }
    m_loop.stop();
}

Result<void> SteeringAgentProcess::start()
{
    waitForStop();
    BOOST_LEAF_CHECK(m_services.start());
    BOOST_LEAF_ASSIGN(m_traffic,
                      AgentTraffic::open(
                          m_loop.context(),
                          m_services.clock(),
                          m_services.logger(),
                          m_services.metrics(),
                          m_codec,
                          m_settings,
                          [this](const HostAddress &controlHost) {
                              asio::post(m_context, [this, controlHost] {
                                  m_watcher->controlHostStarted(controlHost);
                                  reportReachableControlHost(controlHost);
                              });
                          },
                          [this](const FlowRecordChanges &changes) {
                              asio::post(m_context, [this, message = flowRecordsOf(changes)] {
                                  m_watcher->recordFlows(message);
                              });
                          },
                          [this](const HostAddress &balancer) {
                              asio::post(m_context, [this, balancer] {
                                  m_watcher->fetchConfigFrom(balancer);
                              });
                          }));
    m_loop.post([traffic = m_traffic.get()] {
        traffic->start();
    });
    m_loop.start();
    AnnouncerOptions announcer;
    announcer.controlHosts = m_settings.discovery.seeds;
    announcer.answerTimeout = m_settings.discovery.silenceLimit;
    announcer.initialRetryDelay = m_settings.discovery.retryLimit / 10;
    announcer.maxRetryDelay = m_settings.discovery.retryLimit;
    announcer.heartbeatInterval = m_settings.announceInterval;
    m_announceClient = std::make_shared<AnnounceClient>(
        m_context, m_services.clock(), m_services.logger(), m_services.client(), Announcer(announcer, serverEntry(), m_services.random()));
    WatcherOptions watcher{.role = role, .noticeAddress = m_settings.relayAddress};
    watcher.onConfig = [this](const ConfigSnapshotPointer &snapshot) {
        applyConfig(snapshot);
    };
    watcher.onControlHosts = [this](const std::vector<HostAddress> &controlHosts) {
        m_announceClient->setControlHosts(controlHosts);
    };
    watcher.onServerListConfirmed = [this] {
        m_loop.post([traffic = m_traffic.get()] {
            traffic->confirmServerList();
        });
    };
    m_watcher = createWatcher(m_context, m_services, m_settings.discovery, std::move(watcher));
    m_watcher->start();
    m_settingsWatcher.start();
    m_startedAtMonotonic = m_services.clock().now();
    m_startedAtWallClock = std::chrono::system_clock::now();
    checkServer();
    m_serverCheckTimer.start();
    m_services.logger().info("started", {{"relay_address", toString(m_settings.relayAddress)}, {"server", toString(m_settings.serverInput)}});
    return {};
}

void SteeringAgentProcess::run()
{
    m_context.run();
    m_services.logger().info("stopped");
}

bool SteeringAgentProcess::isReady() const
{
    return !m_isStopping;
}

asio::io_context &SteeringAgentProcess::context()
{
    return m_context;
}

Logger &SteeringAgentProcess::logger()
{
    return m_services.logger();
}

// Local server

Result<void> SteeringAgentProcess::handleServerAnnouncement(const ServerAnnouncement &announcement)
{
    const ConfigSnapshotPointer config = m_watcher->subscriber().snapshot();
    BOOST_LEAF_CHECK(checkAnnouncement(announcement, {m_settings.serverInput, m_service}, *config->routes, std::chrono::system_clock::now()));
    BOOST_LEAF_CHECK(checkServiceChange(announcement));
    applyAnnouncement(announcement);
    return {};
}

Result<void> SteeringAgentProcess::checkServiceChange(const ServerAnnouncement &announcement) const
{
    const auto &current = m_announcements.current();
    const bool isOtherService = current && current->service != announcement.service && announcement.service != m_service;
    if (isOtherService && !m_announcements.hasAnnouncedDeparture()
        && m_announcements.timeSinceAnnouncement(m_services.clock().now()) < serviceChangeIntervals * m_settings.announceInterval) {
        return fail(ResultCode::BadRequest, fmt::format("service \"{}\": the server of \"{}\" announces itself", announcement.service, current->service));
    }
    return {};
}

void SteeringAgentProcess::applyAnnouncement(const ServerAnnouncement &announcement)
{
    const bool isFirstServer = !m_announcements.current();
    const bool wasServerFound = m_announcements.isUnannounced();
    const AnnouncementOutcome outcome = m_announcements.handleAnnouncement(m_services.clock().now(), announcement);
    if (outcome == AnnouncementOutcome::Late) {
        m_services.logger().info("announcement-late", {{"id", announcement.id}, {"started_ms", announcement.startedAtMs}, {"sequence", announcement.sequence}});
        return;
    }
    const auto wallClockNow = std::chrono::system_clock::now();
    if (outcome == AnnouncementOutcome::NewServer) {
        // A check that has been started is about the server before.
        m_isServerChecked = true;
        m_probe.cancel();
        m_endTimer.cancel();
        m_isEndCheckScheduled = false;
        const auto wallTime = std::chrono::duration_cast<std::chrono::milliseconds>(wallClockNow.time_since_epoch());
        const std::chrono::milliseconds startedAt(announcement.startedAtMs);
        m_serverStartedAt = startedAt <= wallTime ? std::optional(m_services.clock().now() - (wallTime - startedAt)) : std::nullopt;
    }
    if (outcome != AnnouncementOutcome::Renewed) {
        m_services.logger().info("server",
                                 {{"id", announcement.id},
                                  {"started_ms", announcement.startedAtMs},
                                  {"sequence", announcement.sequence},
                                  {"service", announcement.service},
                                  {"draining", announcement.isDraining},
                                  {"slots", announcement.slots},
                                  {"warmup_ms", announcement.warmupLeft.count()},
                                  {"new", outcome == AnnouncementOutcome::NewServer}});
    }
    // A server that ran when the agent started may have flows of the agent's earlier run.
    const bool isObserved = !isFirstServer || (!wasServerFound && hasStartedAfterAgent(announcement, m_startedAtWallClock, wallClockNow));
    applyServer(outcome == AnnouncementOutcome::NewServer && isObserved);
}

void SteeringAgentProcess::handleServerDeparture(const std::string &id, std::optional<std::uint64_t> startedAtMs)
{
    if (!m_announcements.handleDeparture(id, startedAtMs)) {
        m_services.logger().info("leave-ignored", {{"id", id}, {"started_ms", startedAtMs.value_or(0)}});
        return;
    }
    m_services.logger().info("server-leaves", {{"id", id}});
    applyServer(false);
    scheduleEndCheck();
}

// A server that has announced its departure may continue to run, for example if it did not receive the response. Its flows exist until it ends.
void SteeringAgentProcess::scheduleEndCheck()
{
    const bool isNeeded = m_isServerChecked && m_announcements.mayHaveEnded(m_services.clock().now());
    if (!isNeeded || std::exchange(m_isEndCheckScheduled, true)) {
        return;
    }
    m_endTimer.expires_after(endCheckInterval);
    m_endTimer.async_wait([this](const asio::error_code &error) {
        if (error) {
            return;
        }
        m_isEndCheckScheduled = false;
        // The server may have been replaced since the timer expired.
        if (m_announcements.mayHaveEnded(m_services.clock().now())) {
            checkServerEnd();
        }
    });
}

void SteeringAgentProcess::checkServerEnd()
{
    m_probe.start([this](ServerProcess process) {
        m_isEndCheckScheduled = false;
        if (process == ServerProcess::Ended) {
            handleServerEnd();
        } else {
            scheduleEndCheck();
        }
    });
}

void SteeringAgentProcess::handleServerEnd()
{
    m_announcements.removeServer();
    applyServer(false);
}

void SteeringAgentProcess::checkServer()
{
    if (m_service.empty()) {
        return;
    }
    m_probe.start([this](ServerProcess process) {
        if (process == ServerProcess::Unknown) {
            return;
        }
        m_isServerChecked = true;
        m_services.logger().info("server-checked", {{"runs", process == ServerProcess::Running}});
        if (process == ServerProcess::Running) {
            m_announcements.serverFound(m_startedAtMonotonic + firstAnnouncementIntervals * m_settings.announceInterval);
        }
        // The absence is announced, so that control hosts that have restarted do not wait for this server.
        m_isServerAbsent = process == ServerProcess::Ended;
        applyServer(false);
    });
}

void SteeringAgentProcess::applyServer(bool isFresh)
{
    std::optional<LocalServer> localServer;
    if (const auto &current = m_announcements.current()) {
        localServer = LocalServer{serviceKey(current->service),
                                  {m_announcements.incarnation()},
                                  m_announcements.acceptsNewFlows(m_services.clock().now()),
                                  static_cast<std::uint16_t>(current->slots),
                                  m_serverStartedAt};
    } else if (m_announcements.isUnannounced()) {
        localServer = LocalServer{serviceKey(m_service), unconfirmedIncarnation, m_announcements.acceptsNewFlows(m_services.clock().now()), 1};
    }
    const bool hasWaitedForAnnouncement = m_services.clock().now() - m_startedAtMonotonic >= firstAnnouncementIntervals * m_settings.announceInterval;
    const bool isServerKnown = localServer || m_isServerAbsent || hasWaitedForAnnouncement;
    if (localServer != m_localServer || (isServerKnown && !m_isLocalServerApplied)) {
        m_localServer = localServer;
        m_isLocalServerApplied = true;
        m_loop.post([traffic = m_traffic.get(), localServer, isFresh] {
            traffic->setServer(localServer, isFresh);
        });
    }
    if (!m_announcements.current() && !m_announcements.isUnannounced() && !m_isServerAbsent && !m_isAnnouncing) {
        return;
    }
    const pb::ServerEntry wantedEntry = serverEntry();
    const bool isUnchanged = m_announceClient->announcer().state() == wantedEntry.state()
        && m_announceClient->announcer().server().incarnation() == wantedEntry.incarnation()
        && m_announceClient->announcer().server().weight() == wantedEntry.weight() && m_announceClient->announcer().server().service() == wantedEntry.service();
    if (!isUnchanged) {
        m_announceClient->setServer(wantedEntry);
    }
    if (!m_isAnnouncing) {
        m_isAnnouncing = true;
        m_announceClient->start();
    }
}

pb::ServerEntry SteeringAgentProcess::serverEntry() const
{
    pb::ServerEntry entry;
    entry.set_name(toString(m_settings.relayAddress));
    entry.set_host(m_settings.discovery.common.location.hostName);
    entry.set_zone(m_settings.discovery.common.location.availabilityZone);
    entry.set_relay_address(toString(m_settings.relayAddress));
    entry.set_weight(defaultWeight);
    entry.set_agent_epoch(m_epoch);
    entry.set_accepts_service_keys(true);
    const auto &current = m_announcements.current();
    const pb::ServerState runningState = m_announcements.acceptsNewFlows(m_services.clock().now()) ? pb::SERVER_STATE_SERVING : pb::SERVER_STATE_DRAINING;
    if (m_announcements.isUnannounced()) {
        entry.set_service(m_service);
        entry.set_incarnation(unconfirmedIncarnation.value);
        entry.set_agent_order(unconfirmedOrder);
        entry.set_state(runningState);
        return entry;
    }
    if (!current) {
        if (m_isAnnouncing) {
            entry = m_announceClient->announcer().server();
        } else {
            entry.set_service(m_service);
            entry.set_incarnation(m_absentIncarnation);
            entry.set_agent_order(wallClockMs());
        }
        entry.set_state(pb::SERVER_STATE_LEFT);
        return entry;
    }
    entry.set_service(current->service);
    entry.set_incarnation(m_announcements.incarnation());
    entry.set_agent_order(current->startedAtMs);
    entry.set_state(runningState);
    return entry;
}

// Process

void SteeringAgentProcess::applyConfig(const ConfigSnapshotPointer &snapshot)
{
    m_services.metrics().setGauge("routes_version", static_cast<double>(snapshot->routes->version()));
    const WatchSubscriber &subscriber = m_watcher->subscriber();
    reportReachableControlHost(subscriber.controlHost());
    if (m_isAnnouncing && subscriber.isControlHostInLocalZone()) {
        m_announceClient->preferControlHost(subscriber.controlHost());
    }
    m_loop.post([traffic = m_traffic.get(), snapshot] {
        traffic->update(snapshot);
    });
}

// Announcements and the watch use separate streams. A control host that answers on one of them is also tried for the other.
void SteeringAgentProcess::reportReachableControlHost(const HostAddress &controlHost)
{
    if (m_isAnnouncing) {
        m_announceClient->handleReachableControlHost(controlHost);
    }
}

// A server of another service may be started at the same address, without a restart of the agent.
void SteeringAgentProcess::reloadSettings()
{
    const auto readSeeds = [this]() -> Result<std::vector<HostAddress>> {
        BOOST_LEAF_AUTO(settings, m_readSettings());
        if (settings.service != m_service) {
            m_services.logger().info("service-changed", {{"from", m_service}, {"to", settings.service}});
            m_service = settings.service;
        }
        return settings.discovery.seeds;
    };
    applySeeds(m_services.logger(), readSeeds, [this](std::vector<HostAddress> seeds) {
        m_watcher->setControlHosts(std::move(seeds));
    });
}

void SteeringAgentProcess::waitForStop()
{
    m_stopSignals.async_wait([this](const asio::error_code &error, int signal) {
        if (error) {
            return;
        }
        m_isStopping = true;
        m_services.logger().info("stopping", {{"signal", signal}, {"server_left", m_announcements.hasAnnouncedDeparture()}});
        if (m_announcements.mayHaveEnded(m_services.clock().now())) {
            m_endTimer.cancel();
            checkServerEnd();
        }
        // The server may continue to run, and its packets pass only through this agent. Therefore the agent does not drain: a quick restart
        // is the shortest interruption.
        m_stopTimer.expires_after(stopDelay);
        m_stopTimer.async_wait([this](const asio::error_code &) {
            m_context.stop();
        });
    });
}

void SteeringAgentProcess::publishMetrics()
{
    m_traffic->counters().publish(m_services.metrics());
    publishLogCounters(m_services);
}

}
