#include <jujubequay/balancer_program/balancer_process.h>
#include <jujubequay/balancer_program/forwarding_table_builder.h>
#include <jujubequay/daemon/metrics_service.h>
#include <jujubequay/daemon/process_services.h>
#include <jujubequay/datapath/balancer_path.h>
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
/// Time for which a stopping balancer continues to forward, so that the network fabric can stop sending to it.
constexpr auto drainTime = std::chrono::milliseconds(500);

/// A traffic thread and its data path.
class TrafficThread
{
public:
    static Result<std::unique_ptr<TrafficThread>> start(const HostAddress &relayAddress, BalancerPath::StaleHandler onStale)
    {
        auto thread = std::make_unique<TrafficThread>();
        BOOST_LEAF_AUTO(path, BalancerPath::create(thread->m_context, relayAddress, std::move(onStale)));
        thread->m_path = std::move(path);
        thread->m_thread = std::thread([trafficThread = thread.get()] {
            trafficThread->m_context.run();
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

/// The components of one balancer. Used on the control thread.
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
    void handleStaleRefusal(std::uint64_t revision);
    void waitForSignals();
    void publishMetrics();
    std::uint64_t sumOverThreads(std::atomic<std::uint64_t> BalancerPathCounters::*counter) const;

    const BalancerSettings m_settings;
    asio::io_context m_context;
    ProcessServices m_services;
    std::shared_ptr<ConfigWatcher> m_watcher;
    std::shared_ptr<MessageServer> m_peerServer;
    std::vector<std::unique_ptr<TrafficThread>> m_trafficThreads;
    std::shared_ptr<const ForwardingTable> m_forwardingTable;
    asio::signal_set m_stopSignals;
    asio::steady_timer m_metricsTimer;
    asio::steady_timer m_drainTimer;
};

BalancerProcess::BalancerProcess(const BalancerSettings &settings)
    : m_settings(settings)
    , m_services(m_context, "jjq-balancer", settings.common)
    , m_stopSignals(m_context, SIGTERM, SIGINT)
    , m_metricsTimer(m_context)
    , m_drainTimer(m_context)
{
}

BalancerProcess::~BalancerProcess()
{
    if (m_watcher) {
        m_watcher->stop();
    }
    if (m_peerServer) {
        m_peerServer->stop();
    }
}

Result<void> BalancerProcess::start()
{
    BOOST_LEAF_CHECK(m_services.start());
    for (std::uint32_t number = 0; number < m_settings.threads; ++number) {
        // Each thread has its own relay port, so that a reply arrives at the thread that forwarded the caller's datagram
        // and has the entry point bound.
        HostAddress relay = m_settings.relayAddress;
        relay.port = static_cast<std::uint16_t>(relay.port + number);
        auto onStale = [this](ServiceId, std::uint64_t revision) {
            asio::post(m_context, [this, revision] {
                handleStaleRefusal(revision);
            });
        };
        BOOST_LEAF_AUTO(thread, TrafficThread::start(relay, std::move(onStale)));
        m_trafficThreads.push_back(std::move(thread));
    }

    WatchSubscriberOptions watch;
    watch.host = m_settings.common.location.hostName;
    watch.zone = m_settings.common.location.availabilityZone;
    watch.role = "balancer";
    watch.controlHosts = m_services.controlHosts();
    m_watcher = std::make_shared<ConfigWatcher>(m_context,
                                                m_services.clock(),
                                                m_services.logger(),
                                                m_services.client(),
                                                std::move(watch),
                                                m_settings.peers,
                                                m_services.random(),
                                                [this](const ConfigSnapshotPointer &config) {
                                                    apply(config);
                                                });
    m_services.kernel().add<ConfigWatcher>("config-watcher", m_watcher);

    const auto metricsService = std::make_shared<MetricsService>(m_services.sharedMetrics());
    const auto accept = [this, metricsService](const std::string &path, const std::shared_ptr<MessageStream> &stream) {
        if (path == "/peer" && stream->peer().role == "balancer") {
            return m_watcher->acceptPeerStream(stream);
        }
        return path == "/metrics" ? metricsService->accept(stream) : MessageStreamHandlers{};
    };
    BOOST_LEAF_ASSIGN(m_peerServer,
                      MessageServer::listen(m_context, m_services.clock(), m_services.logger(), m_services.tls(), m_settings.peerAddress, accept));
    m_watcher->start();
    waitForSignals();
    publishMetrics();
    m_services.logger().info("started", {{"relay_address", toString(m_settings.relayAddress)}, {"threads", m_settings.threads}});
    return {};
}

void BalancerProcess::run()
{
    m_context.run();
    m_services.logger().info("stopped");
}

void BalancerProcess::apply(const ConfigSnapshotPointer &config)
{
    m_forwardingTable = buildForwardingTable(*config, m_forwardingTable);
    const auto points = entryPoints(*config);
    for (const auto &thread : m_trafficThreads) {
        thread->apply({m_forwardingTable, points}, m_services.logger());
    }
    m_services.metrics().setGauge("revision_in_force", static_cast<double>(config->revision));
    const auto acceptsNewWork = [](const ServerSnapshot &server) {
        return server.acceptsNewWork();
    };
    m_services.metrics().setGauge("serving_servers", static_cast<double>(std::count_if(config->servers.begin(), config->servers.end(), acceptsNewWork)));
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

void BalancerProcess::handleStaleRefusal(std::uint64_t revision)
{
    m_services.logger().info("opening-refused-as-stale", {{"agent_revision", revision}, {"own_revision", m_watcher->subscriber().snapshot()->revision}});
    m_watcher->fetchNewerConfig(revision);
}

void BalancerProcess::waitForSignals()
{
    m_stopSignals.async_wait([this](const asio::error_code &error, int) {
        if (error) {
            return;
        }
        m_services.logger().info("draining", {{"drain_ms", drainTime.count()}});
        m_drainTimer.expires_after(drainTime);
        m_drainTimer.async_wait([this](const asio::error_code &) {
            m_context.stop();
        });
    });
}

void BalancerProcess::publishMetrics()
{
    m_services.setCounter("datagrams", "forwarded", sumOverThreads(&BalancerPathCounters::forwarded));
    m_services.setCounter("datagrams", "opened", sumOverThreads(&BalancerPathCounters::forwardedInitials));
    m_services.setCounter("datagrams", "replied", sumOverThreads(&BalancerPathCounters::replied));
    m_services.setCounter("datagrams", "not-sent", sumOverThreads(&BalancerPathCounters::unsentDatagrams));
    m_services.setCounter("datagrams", "stale-hint", sumOverThreads(&BalancerPathCounters::staleRefusals));
    m_services.setCounter("datagrams", "unknown-entry", sumOverThreads(&BalancerPathCounters::unknownEntryReplies));
    for (std::size_t cause = 0; cause < BalancerPathCounters().dropped.size(); ++cause) {
        std::uint64_t total = 0;
        for (const auto &thread : m_trafficThreads) {
            total += thread->counters().dropped[cause].load(std::memory_order_relaxed);
        }
        m_services.setCounter("dropped_datagrams", dropCauseName(static_cast<DropCause>(cause)), total);
    }
    for (std::size_t cause = 0; cause < BalancerPathCounters().badReplies.size(); ++cause) {
        std::uint64_t total = 0;
        for (const auto &thread : m_trafficThreads) {
            total += thread->counters().badReplies[cause].load(std::memory_order_relaxed);
        }
        m_services.setCounter("dropped_replies", relayErrorName(static_cast<RelayError>(cause)), total);
    }
    m_services.setCounter("control_bytes", "sent", m_watcher->subscriber().sentBytes());
    m_services.setCounter("control_bytes", "received", m_watcher->subscriber().receivedBytes());
    m_metricsTimer.expires_after(metricsInterval);
    m_metricsTimer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            publishMetrics();
        }
    });
}

std::uint64_t BalancerProcess::sumOverThreads(std::atomic<std::uint64_t> BalancerPathCounters::*counter) const
{
    std::uint64_t total = 0;
    for (const auto &thread : m_trafficThreads) {
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
