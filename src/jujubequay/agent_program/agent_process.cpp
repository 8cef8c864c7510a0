#include <jujubequay/agent_program/agent_process.h>
#include <jujubequay/agent_program/backend_adapter.h>
#include <jujubequay/daemon/process_services.h>
#include <jujubequay/service/agent_path.h>
#include <jujubequay/service/announce_client.h>
#include <jujubequay/service/config_watcher.h>

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>

#include <algorithm>
#include <csignal>
#include <thread>

namespace Jujubequay {

namespace {

namespace pb = jujubequay::pb;

constexpr auto statusInterval = std::chrono::seconds(1);
constexpr auto drainPollInterval = std::chrono::milliseconds(50);
/// Time for which a drained agent keeps running, so that lost packets can be retransmitted and balancers receive its state.
constexpr auto drainLingerTime = std::chrono::milliseconds(1000);
/// Number of consecutive health queries without a connection after which the backend server is assumed to have stopped.
/// Health answers can be wrong, so an unhealthy answer does not count.
constexpr int maxFailedHealthQueries = 3;

std::uint32_t randomIncarnation()
{
    std::random_device device;
    std::uint32_t value = 0;
    // Zero is reserved for "any incarnation".
    while (value == 0) {
        value = device();
    }
    return value;
}

/// State of the data path, passed from the traffic thread to the control thread.
struct PathStatus {
    bool isIdle = false;
    std::size_t flows = 0;
    LoadReport load;
    std::vector<std::uint32_t> flowKeysInUse;
    RequestBrokerStatistics requests;
};

/// The components of one agent, on the control thread and one traffic thread.
class AgentProcess
{
public:
    explicit AgentProcess(const AgentSettings &settings);
    ~AgentProcess();

    Result<void> start();
    void run();

private:
    void apply(const ConfigSnapshotPointer &config);
    void createPath(const ConfigSnapshotPointer &config, const ServiceSnapshot &service);
    AgentPathOptions pathOptions(const ServiceSnapshot &service) const;
    void reportRequest(const RequestReport &report);

    void queryHealth();
    void scheduleHealthQuery();
    void handleHealth(bool isConnected, bool isHealthy);

    void beginDrain();
    void pollDrain();
    void finishDrain();
    void scheduleStatus();
    void publishStatus(const PathStatus &status);
    template<class Handler>
    void queryPath(Handler handler);

    const AgentSettings m_settings;
    const Incarnation m_incarnation{randomIncarnation()};
    asio::io_context m_context;
    asio::io_context m_trafficContext;
    asio::executor_work_guard<asio::io_context::executor_type> m_trafficWork;
    ProcessServices m_services;
    std::shared_ptr<const TlsCredentials> m_credentials;
    std::shared_ptr<ConfigWatcher> m_watcher;
    std::shared_ptr<AnnounceClient> m_announcer;

    // Used only on the traffic thread once that thread is running.
    std::shared_ptr<BackendClient> m_backendClient;
    std::shared_ptr<BackendClient> m_healthClient;
    std::shared_ptr<BackendCall> m_healthCall;
    std::unique_ptr<BackendAdapter> m_backendAdapter;
    asio::ip::udp::socket m_relaySocket; ///< bound at the start; m_path receives from it later
    std::unique_ptr<AgentPath> m_path;
    asio::steady_timer m_healthTimer;

    std::thread m_trafficThread;
    bool m_isPathRequested = false; ///< the creation of m_path was posted to the traffic thread
    bool m_isDraining = false;
    bool m_isDrained = false;
    int m_failedHealthQueries = 0;
    asio::signal_set m_stopSignals;
    asio::steady_timer m_statusTimer;
    asio::steady_timer m_drainTimer;
};

AgentProcess::AgentProcess(const AgentSettings &settings)
    : m_settings(settings)
    , m_trafficWork(asio::make_work_guard(m_trafficContext))
    , m_services(m_context, "jjq-agent", settings.common, {.maxMetricsCustomers = settings.metricsCustomers})
    , m_relaySocket(m_trafficContext)
    , m_healthTimer(m_trafficContext)
    , m_stopSignals(m_context, SIGTERM, SIGINT)
    , m_statusTimer(m_context)
    , m_drainTimer(m_context)
{
}

AgentProcess::~AgentProcess()
{
    m_trafficContext.stop();
    if (m_trafficThread.joinable()) {
        m_trafficThread.join();
    }
    if (m_watcher) {
        m_watcher->stop();
    }
    if (m_announcer) {
        m_announcer->stop();
    }
    if (m_backendClient) {
        m_backendClient->stop();
        m_healthClient->stop();
    }
}

Result<void> AgentProcess::start()
{
    BOOST_LEAF_CHECK(m_services.start());
    BOOST_LEAF_AUTO(certificate, readPemFile(m_settings.quicCertificate));
    BOOST_LEAF_AUTO(key, readPemFile(m_settings.quicKey));
    BOOST_LEAF_ASSIGN(m_credentials, TlsCredentials::server(certificate, key));
    BOOST_LEAF_ASSIGN(m_relaySocket, bindUdpSocket(m_trafficContext, m_settings.relayAddress));
    WatchSubscriberOptions watch;
    // Several agents may run on one host. The server name distinguishes their reports.
    const std::string processName = m_settings.common.location.hostName + "/" + m_settings.serverName;
    watch.host = processName;
    watch.zone = m_settings.common.location.availabilityZone;
    watch.role = "agent";
    watch.controlHosts = m_services.controlHosts();
    watch.services = {m_settings.service};
    m_watcher = std::make_shared<ConfigWatcher>(m_context,
                                                m_services.clock(),
                                                m_services.logger(),
                                                m_services.client(),
                                                std::move(watch),
                                                std::vector<HostAddress>{},
                                                m_services.random(),
                                                [this](const ConfigSnapshotPointer &config) {
                                                    apply(config);
                                                });
    m_services.kernel().add<ConfigWatcher>("config-watcher", m_watcher);

    pb::ServerEntry server;
    server.set_name(m_settings.serverName);
    server.set_service(m_settings.service);
    server.set_zone(m_settings.common.location.availabilityZone);
    // The same name as in reports, so that the control hosts can determine which agents have not reported their flow keys.
    server.set_host(processName);
    server.set_relay_address(toString(m_settings.relayAddress));
    server.set_incarnation(m_incarnation.value);
    server.set_weight(m_settings.weight);
    AnnouncerOptions announce;
    announce.controlHosts = m_services.controlHosts();
    announce.heartbeatInterval = m_settings.renewInterval;
    m_announcer = std::make_shared<AnnounceClient>(
        m_context, m_services.clock(), m_services.logger(), m_services.client(), Announcer(announce, server, m_services.random()));
    m_services.kernel().add<AnnounceClient>("announcer", m_announcer);

    BackendClientOptions backendOptions;
    m_backendClient = BackendClient::create(m_trafficContext, m_services.clock(), m_settings.backendAddress, backendOptions);
    m_healthClient = BackendClient::create(m_trafficContext, m_services.clock(), m_settings.backendAddress, backendOptions);
    m_backendClient->setDrainingHandler([this] {
        asio::post(m_context, [this] {
            m_services.logger().info("backend-server-drains");
            beginDrain();
        });
    });
    m_backendAdapter = std::make_unique<BackendAdapter>(m_backendClient);

    m_trafficThread = std::thread([this] {
        m_trafficContext.run();
    });
    m_watcher->start();
    m_announcer->start();
    m_stopSignals.async_wait([this](const asio::error_code &error, int) {
        if (!error) {
            beginDrain();
        }
    });
    scheduleStatus();
    m_services.logger().info("started",
                             {{"server", m_settings.serverName},
                              {"service", m_settings.service},
                              {"relay_address", toString(m_settings.relayAddress)},
                              {"incarnation", m_incarnation.value}});
    return {};
}

void AgentProcess::run()
{
    m_context.run();
    m_services.logger().info("stopped");
}

// Configuration

void AgentProcess::apply(const ConfigSnapshotPointer &config)
{
    m_services.metrics().setGauge("revision_in_force", static_cast<double>(config->revision));
    if (m_isPathRequested) {
        asio::post(m_trafficContext, [this, config] {
            if (m_path) {
                m_path->apply(config);
            }
        });
        return;
    }
    const ServiceSnapshot *service = config->findService(m_settings.service);
    const bool isUsable = service != nullptr && config->flowKeys.activeNumber();
    if (isUsable) {
        createPath(config, *service);
    }
}

AgentPathOptions AgentProcess::pathOptions(const ServiceSnapshot &service) const
{
    AgentPathOptions options;
    options.service = service.id;
    options.serviceName = service.name;
    options.incarnation = m_incarnation;
    options.weight = m_settings.weight;
    options.broker.admission = admissionOptionsOf(service.admission);
    options.broker.requests.maxStoredBytes = m_settings.requestTableBytes;
    options.redirect.slots = service.admission.slots;
    if (service.admission.maxConnections > 0) {
        options.quic.maxFlows = service.admission.maxConnections;
        options.redirect.maxFlows = service.admission.maxConnections;
    }
    return options;
}

void AgentProcess::createPath(const ConfigSnapshotPointer &config, const ServiceSnapshot &service)
{
    m_isPathRequested = true;
    const std::uint64_t seed = m_services.random()();
    asio::post(m_trafficContext, [this, config, seed, options = pathOptions(service)] {
        m_path = AgentPath::create(
            m_trafficContext,
            m_services.clock(),
            options,
            std::move(m_relaySocket),
            m_credentials,
            config,
            *m_backendAdapter,
            [this](const RequestReport &report) {
                reportRequest(report);
            },
            seed);
        m_backendAdapter->setEventHandler([this](const BackendEvent &event) {
            m_path->handleBackendEvent(event);
        });
        queryHealth();
    });
}

void AgentProcess::reportRequest(const RequestReport &report)
{
    if (isNotRun(report.result)) {
        m_services.metrics().addRefusal(report.customer, report.workClass, report.result);
        return;
    }
    m_services.metrics().addRequest(report.customer, report.workClass, {report.total, report.queued, report.answerBytes});
}

// Health queries to the backend server

void AgentProcess::queryHealth()
{
    struct Answer {
        int status = 0; ///< HTTP status; 0 without an answer
    };
    const auto answer = std::make_shared<Answer>();
    BackendCallHandlers handlers;
    handlers.headers = [answer](int status, const HttpHeaders &) {
        answer->status = status;
    };
    handlers.data = [this](std::span<const std::uint8_t> data) {
        m_healthCall->consume(data.size());
    };
    handlers.closed = [this, answer](const BackendCallEnd &end) {
        const bool isConnected = end.cause != ResultCode::ConnectionLost && end.cause != ResultCode::Timeout;
        asio::post(m_context, [this, isConnected, isHealthy = answer->status == 200] {
            handleHealth(isConnected, isHealthy);
        });
        scheduleHealthQuery();
    };
    m_healthCall = m_healthClient->start("GET", "/health", {}, std::move(handlers));
    m_healthCall->end();
}

void AgentProcess::scheduleHealthQuery()
{
    m_healthTimer.expires_after(m_settings.healthInterval);
    m_healthTimer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            queryHealth();
        }
    });
}

void AgentProcess::handleHealth(bool isConnected, bool isHealthy)
{
    if (m_isDraining) {
        return;
    }
    m_failedHealthQueries = isConnected ? 0 : m_failedHealthQueries + 1;
    if (isHealthy) {
        m_announcer->setState(pb::SERVER_STATE_SERVING);
    } else if (m_failedHealthQueries >= maxFailedHealthQueries) {
        m_announcer->setState(pb::SERVER_STATE_STARTING);
    }
}

// Drain

void AgentProcess::beginDrain()
{
    if (m_isDraining) {
        return;
    }
    m_isDraining = true;
    m_services.logger().info("draining");
    m_announcer->setState(pb::SERVER_STATE_DRAINING);
    if (!m_isPathRequested) {
        finishDrain();
        return;
    }
    asio::post(m_trafficContext, [this] {
        if (m_path) {
            m_path->beginDrain();
        }
    });
    pollDrain();
}

void AgentProcess::pollDrain()
{
    queryPath([this](const PathStatus &status) {
        if (status.isIdle) {
            finishDrain();
            return;
        }
        m_drainTimer.expires_after(drainPollInterval);
        m_drainTimer.async_wait([this](const asio::error_code &error) {
            if (!error) {
                pollDrain();
            }
        });
    });
}

void AgentProcess::finishDrain()
{
    m_services.logger().info("drained");
    m_isDrained = true;
    m_announcer->setState(pb::SERVER_STATE_LEFT);
    // The control hosts keep the last report of an agent after the agent has stopped. If the report listed keys of open
    // flows, these keys could not be retired for hours.
    m_watcher->setFlowKeysInUse({});
    if (m_isPathRequested) {
        asio::post(m_trafficContext, [this] {
            if (m_path) {
                m_path->closeFlows();
            }
        });
    }
    m_drainTimer.expires_after(drainLingerTime);
    m_drainTimer.async_wait([this](const asio::error_code &) {
        m_context.stop();
    });
}

// Status and metrics

template<class Handler>
void AgentProcess::queryPath(Handler handler)
{
    asio::post(m_trafficContext, [this, handler] {
        PathStatus status;
        status.isIdle = m_path->isIdle();
        status.flows = m_path->flowCount();
        status.load = m_path->load();
        status.flowKeysInUse = m_path->flowKeysInUse();
        status.requests = m_path->requestStatistics();
        asio::post(m_context, [handler, status] {
            handler(status);
        });
    });
}

void AgentProcess::scheduleStatus()
{
    m_statusTimer.expires_after(statusInterval);
    m_statusTimer.async_wait([this](const asio::error_code &error) {
        if (error) {
            return;
        }
        if (m_isPathRequested) {
            queryPath([this](const PathStatus &status) {
                publishStatus(status);
            });
        }
        scheduleStatus();
    });
}

void AgentProcess::publishStatus(const PathStatus &status)
{
    if (!m_isDrained) {
        m_watcher->setFlowKeysInUse(status.flowKeysInUse);
    }
    m_services.metrics().setGauge("open_flows", static_cast<double>(status.flows));
    for (std::uint32_t number = 0; number < flowKeyCount; ++number) {
        const bool isUsed = std::find(status.flowKeysInUse.begin(), status.flowKeysInUse.end(), number) != status.flowKeysInUse.end();
        m_services.metrics().setGauge(fmt::format("flow_key_{}_in_use", number), isUsed ? 1 : 0);
    }
    m_services.metrics().setGauge("running_requests", status.load.running);
    m_services.metrics().setGauge("queued_requests", status.load.queued);
    const AgentPathCounters &counters = m_path->counters();
    m_services.setCounter("datagrams", "accepted", counters.accepted);
    m_services.setCounter("datagrams", "handed-over", counters.redirected);
    m_services.setCounter("datagrams", "refused-stale", counters.staleRefusals);
    m_services.setCounter("datagrams", "replies", counters.replies);
    m_services.setCounter("datagrams", "not-sent", counters.unsentDatagrams);
    for (std::size_t cause = 0; cause < counters.dropped.size(); ++cause) {
        m_services.setCounter("dropped_datagrams", ingressDropCauseName(static_cast<IngressDropCause>(cause)), counters.dropped[cause]);
    }
    for (std::size_t cause = 0; cause < counters.invalidRelays.size(); ++cause) {
        m_services.setCounter("dropped_relays", relayErrorName(static_cast<RelayError>(cause)), counters.invalidRelays[cause]);
    }
    m_services.setCounter("requests", "started", status.requests.started);
    m_services.setCounter("requests", "replayed", status.requests.replayed);
    m_services.setCounter("requests", "attached", status.requests.attached);
    m_services.setCounter("requests", "feeds-moved", status.requests.feedsMoved);
    m_services.setCounter("requests", "malformed", status.requests.malformed);
    for (const auto &[result, count] : status.requests.answered) {
        m_services.setCounter("answers", resultName(result), count);
    }
}

}

Result<void> runAgent(const AgentSettings &settings)
{
    AgentProcess process(settings);
    BOOST_LEAF_CHECK(process.start());
    process.run();
    return {};
}

}
