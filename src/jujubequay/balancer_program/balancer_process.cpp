#include <jujubequay/balancer_program/balancer_process.h>
#include <jujubequay/balancer_program/forwarding_table_builder.h>
#include <jujubequay/core/kernel.h>
#include <jujubequay/daemon/metrics_http_server.h>
#include <jujubequay/daemon/metrics_service.h>
#include <jujubequay/datapath/balancer_path.h>
#include <jujubequay/net/http2_message_client.h>
#include <jujubequay/net/message_server.h>
#include <jujubequay/service/config_watcher.h>

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>

#include <algorithm>
#include <csignal>
#include <thread>

namespace Jujubequay {

namespace {

constexpr auto metricsInterval = std::chrono::seconds(1);
/// Time in which the fabric stops sending to a balancer that shuts down.
constexpr auto drainTime = std::chrono::milliseconds(500);

/// One traffic thread with its data path.
class TrafficThread
{
public:
    static Result<std::unique_ptr<TrafficThread>> start(const HostAddress &relayAddress, BalancerPath::StaleHandler onStale)
    {
        auto thread = std::make_unique<TrafficThread>();
        BOOST_LEAF_AUTO(path, BalancerPath::create(thread->m_context, relayAddress, std::move(onStale)));
        thread->m_path = std::move(path);
        thread->m_thread = std::thread([raw = thread.get()] {
            raw->m_context.run();
        });
        return thread;
    }

    TrafficThread() = default;
    TrafficThread(const TrafficThread &) = delete;
    TrafficThread &operator=(const TrafficThread &) = delete;
    ~TrafficThread()
    {
        m_context.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    void apply(BalancerPathConfig config, Logger &logger)
    {
        asio::post(m_context, [this, config = std::move(config), &logger]() mutable {
            for (const EntryPoint &point : m_path->apply(std::move(config))) {
                logger.error("address-not-bound", {{"address", toString(point.address)}, {"service", point.service.value}});
            }
        });
    }

    const BalancerPathCounters &counters() const
    {
        return m_path->counters();
    }

private:
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work = asio::make_work_guard(m_context);
    std::unique_ptr<BalancerPath> m_path;
    std::thread m_thread;
};

/// The services of one balancer, on the control thread.
class BalancerProcess
{
public:
    explicit BalancerProcess(const BalancerSettings &settings);
    ~BalancerProcess();

    Result<void> start();
    void run();

private:
    void apply(const ConfigSnapshotPointer &config);
    std::vector<EntryPoint> entryPoints(const ConfigSnapshot &config) const;
    void handleStale(std::uint64_t revision);
    void waitForSignals();
    void waitForReload();
    void publishMetrics();
    std::uint64_t sum(std::atomic<std::uint64_t> BalancerPathCounters::*counter) const;

    const BalancerSettings m_settings;
    Kernel m_kernel;
    asio::io_context m_context;
    std::mt19937_64 m_random;
    std::shared_ptr<Clock> m_clock;
    std::shared_ptr<Logger> m_logger;
    std::shared_ptr<Metrics> m_metrics;
    std::shared_ptr<TlsContext> m_tls;
    std::shared_ptr<Http2MessageClient> m_client;
    std::shared_ptr<ConfigWatcher> m_watcher;
    std::shared_ptr<MessageServer> m_peerServer;
    std::shared_ptr<MetricsHttpServer> m_metricsServer;
    std::vector<std::unique_ptr<TrafficThread>> m_threads;
    std::shared_ptr<const ForwardingTable> m_table;
    asio::signal_set m_stopSignals;
    asio::signal_set m_reloadSignals;
    asio::steady_timer m_metricsTimer;
    asio::steady_timer m_drainTimer;
};

BalancerProcess::BalancerProcess(const BalancerSettings &settings)
    : m_settings(settings)
    , m_random(std::random_device()())
    , m_clock(std::make_shared<SteadyClock>())
    , m_logger(std::make_shared<Logger>(*m_clock,
                                        LogOrigin{"jjq-balancer", settings.common.placement.hostName, settings.common.placement.availabilityZone},
                                        Logger::Options{.level = settings.common.logLevel}))
    , m_metrics(std::make_shared<Metrics>())
    , m_stopSignals(m_context, SIGTERM, SIGINT)
    , m_reloadSignals(m_context, SIGHUP)
    , m_metricsTimer(m_context)
    , m_drainTimer(m_context)
{
    m_kernel.add<Clock>("clock", m_clock);
    m_kernel.add<Logger>("logger", m_logger);
    m_kernel.add<Metrics>("metrics", m_metrics);
}

BalancerProcess::~BalancerProcess()
{
    if (m_watcher) {
        m_watcher->stop();
    }
    if (m_client) {
        m_client->stop();
    }
    if (m_peerServer) {
        m_peerServer->stop();
    }
    if (m_metricsServer) {
        m_metricsServer->stop();
    }
}

Result<void> BalancerProcess::start()
{
    BOOST_LEAF_ASSIGN(m_tls, TlsContext::load(m_settings.common.tls));
    MessageClientOptions clientOptions;
    clientOptions.http2.keepAlive = m_settings.common.keepAlive;
    clientOptions.connectTimeout = m_settings.common.connectTimeout;
    m_client = Http2MessageClient::create(m_context, *m_clock, *m_logger, m_tls, clientOptions);
    m_kernel.add<MessageClient>("message-client", m_client);

    for (std::uint32_t number = 0; number < m_settings.threads; ++number) {
        // Each thread has its own relay port, so that replies reach the thread whose sockets are known to be bound.
        HostAddress relay = m_settings.relayAddress;
        relay.port = static_cast<std::uint16_t>(relay.port + number);
        auto onStale = [this](ServiceId, std::uint64_t revision) {
            asio::post(m_context, [this, revision] {
                handleStale(revision);
            });
        };
        BOOST_LEAF_AUTO(thread, TrafficThread::start(relay, std::move(onStale)));
        m_threads.push_back(std::move(thread));
    }

    WatchSubscriberOptions watch;
    watch.host = m_settings.common.placement.hostName;
    watch.zone = m_settings.common.placement.availabilityZone;
    watch.role = "balancer";
    for (const ControlHost &host : m_settings.common.controlHosts) {
        watch.controlHosts.push_back(host.address);
    }
    m_watcher = std::make_shared<ConfigWatcher>(
        m_context, *m_clock, *m_logger, *m_client, std::move(watch), m_settings.peers, m_random, [this](const ConfigSnapshotPointer &config) {
            apply(config);
        });
    m_kernel.add<ConfigWatcher>("config-watcher", m_watcher);

    const auto metricsService = std::make_shared<MetricsService>(m_metrics);
    const auto accept = [this, metricsService](const std::string &path, const std::shared_ptr<MessageStream> &stream) {
        if (path == "/peer" && stream->peer().role == "balancer") {
            return m_watcher->acceptPeer(stream);
        }
        return path == "/metrics" ? metricsService->accept(stream) : MessageStreamHandlers{};
    };
    BOOST_LEAF_ASSIGN(m_peerServer, MessageServer::listen(m_context, *m_clock, *m_logger, m_tls, m_settings.peerAddress, accept));
    if (m_settings.common.metricsAddress) {
        BOOST_LEAF_ASSIGN(m_metricsServer, MetricsHttpServer::listen(m_context, *m_settings.common.metricsAddress, m_metrics));
    }
    m_watcher->start();
    waitForSignals();
    waitForReload();
    publishMetrics();
    m_logger->info("started", {{"relay_address", toString(m_settings.relayAddress)}, {"threads", m_settings.threads}});
    return {};
}

void BalancerProcess::run()
{
    m_context.run();
    m_logger->info("stopped");
}

void BalancerProcess::apply(const ConfigSnapshotPointer &config)
{
    m_table = buildForwardingTable(*config, m_table);
    const auto points = entryPoints(*config);
    for (const auto &thread : m_threads) {
        thread->apply({m_table, points}, *m_logger);
    }
    m_metrics->setGauge("revision_in_force", static_cast<double>(config->revision));
    const auto takesNewWork = [](const ServerSnapshot &server) {
        return server.takesNewWork();
    };
    m_metrics->setGauge("serving_servers", static_cast<double>(std::count_if(config->servers.begin(), config->servers.end(), takesNewWork)));
}

std::vector<EntryPoint> BalancerProcess::entryPoints(const ConfigSnapshot &config) const
{
    std::vector<EntryPoint> points;
    for (const CallerAddress &caller : m_settings.callerAddresses) {
        if (const ServiceSnapshot *service = config.findService(caller.service)) {
            points.push_back({service->id, caller.address});
        }
    }
    return points;
}

void BalancerProcess::handleStale(std::uint64_t revision)
{
    m_logger->info("opening-refused-as-stale", {{"agent_revision", revision}, {"own_revision", m_watcher->subscriber().snapshot()->revision}});
    m_watcher->refresh(revision);
}

void BalancerProcess::waitForSignals()
{
    m_stopSignals.async_wait([this](const asio::error_code &error, int) {
        if (error) {
            return;
        }
        m_logger->info("draining", {{"drain_ms", drainTime.count()}});
        m_drainTimer.expires_after(drainTime);
        m_drainTimer.async_wait([this](const asio::error_code &) {
            m_context.stop();
        });
    });
}

void BalancerProcess::waitForReload()
{
    m_reloadSignals.async_wait([this](const asio::error_code &error, int) {
        if (error) {
            return;
        }
        const bool isReloaded = static_cast<bool>(m_tls->reload());
        m_logger->info("certificates-reloaded", {{"ok", isReloaded}});
        waitForReload();
    });
}

void BalancerProcess::publishMetrics()
{
    const auto publish = [this](std::string_view name, std::string_view cause, std::uint64_t value) {
        m_metrics->counter(name, cause).store(value, std::memory_order_relaxed);
    };
    publish("datagrams", "forwarded", sum(&BalancerPathCounters::forwarded));
    publish("datagrams", "opened", sum(&BalancerPathCounters::opened));
    publish("datagrams", "replied", sum(&BalancerPathCounters::replied));
    publish("datagrams", "not-sent", sum(&BalancerPathCounters::notSent));
    publish("datagrams", "stale-hint", sum(&BalancerPathCounters::staleHints));
    publish("datagrams", "unknown-entry", sum(&BalancerPathCounters::unknownEntry));
    for (std::size_t cause = 0; cause < BalancerPathCounters().dropped.size(); ++cause) {
        std::uint64_t total = 0;
        for (const auto &thread : m_threads) {
            total += thread->counters().dropped[cause].load(std::memory_order_relaxed);
        }
        publish("dropped_datagrams", dropCauseName(static_cast<DropCause>(cause)), total);
    }
    for (std::size_t cause = 0; cause < BalancerPathCounters().badReplies.size(); ++cause) {
        std::uint64_t total = 0;
        for (const auto &thread : m_threads) {
            total += thread->counters().badReplies[cause].load(std::memory_order_relaxed);
        }
        publish("dropped_replies", relayErrorName(static_cast<RelayError>(cause)), total);
    }
    publish("control_bytes", "sent", m_watcher->subscriber().sentBytes());
    publish("control_bytes", "received", m_watcher->subscriber().receivedBytes());
    m_metricsTimer.expires_after(metricsInterval);
    m_metricsTimer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            publishMetrics();
        }
    });
}

std::uint64_t BalancerProcess::sum(std::atomic<std::uint64_t> BalancerPathCounters::*counter) const
{
    std::uint64_t total = 0;
    for (const auto &thread : m_threads) {
        total += (thread->counters().*counter).load(std::memory_order_relaxed);
    }
    return total;
}

}

Result<void> runBalancer(const BalancerSettings &settings)
{
    BalancerProcess process(settings);
    BOOST_LEAF_CHECK(process.start());
    process.run();
    return {};
}

}
