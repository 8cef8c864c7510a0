#include <jujubequay/steering_program/steering_balancer_process.h>

#include <csignal>

namespace Jujubequay {

namespace {

constexpr auto role = "balancer";
constexpr auto metricsInterval = std::chrono::seconds(1);

}

SteeringBalancerProcess::SteeringBalancerProcess(SteeringBalancerSettings settings,
                                                 std::filesystem::path settingsFile,
                                                 SeedReader readSeeds,
                                                 const PacketCodec &codec)
    : m_settings(std::move(settings))
    , m_readSeeds(std::move(readSeeds))
    , m_codec(codec)
    , m_services(m_context, "jjq-balancer", m_settings.discovery.common, steeringProcessOptions(role, m_settings.discovery))
    , m_settingsWatcher(m_context,
                        std::move(settingsFile),
                        [this] {
                            reloadSeeds();
                        })
    , m_stopSignals(m_context, SIGTERM, SIGINT)
    , m_drainTimer(m_context)
    , m_metricsTimer(m_context, metricsInterval, [this] {
        publishMetrics();
    })
{
}

SteeringBalancerProcess::~SteeringBalancerProcess()
{
    if (m_watcher) {
        m_watcher->stop();
    }
    if (m_peerServer) {
        m_peerServer->stop();
    }
    m_loop.stop();
}

Result<void> SteeringBalancerProcess::start()
{
    waitForStop();
    BOOST_LEAF_CHECK(m_services.start());
    BOOST_LEAF_ASSIGN(m_traffic,
                      BalancerTraffic::open(
                          m_loop.context(),
                          m_services.clock(),
                          m_services.logger(),
                          m_codec,
                          m_settings,
                          [this](const HostAddress &controlHost) {
                              asio::post(m_context, [this, controlHost] {
                                  m_watcher->controlHostStarted(controlHost);
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
    WatcherOptions watcher{.role = role, .noticeAddress = m_settings.peerAddress};
    watcher.onConfig = [this](const ConfigSnapshotPointer &snapshot) {
        applyConfig(snapshot);
    };
    m_watcher = createWatcher(m_context, m_services, m_settings.discovery, std::move(watcher));
    const auto accept = [this](const std::string &path, const std::shared_ptr<MessageStream> &stream) {
        return path == "/peer" ? m_watcher->acceptPeerStream(stream) : MessageStreamHandlers{};
    };
    BOOST_LEAF_ASSIGN(m_peerServer, MessageServer::listen(m_context, m_services.clock(), m_services.logger(), nullptr, m_settings.peerAddress, accept));
    m_watcher->start();
    m_settingsWatcher.start();
    publishMetrics();
    m_metricsTimer.start();
    m_services.logger().info("started", {{"caller_address", toString(m_settings.callerAddress)}, {"seeds", m_settings.discovery.seeds.size()}});
    return {};
}

void SteeringBalancerProcess::run()
{
    m_context.run();
    m_services.logger().info("stopped");
}

bool SteeringBalancerProcess::isReady() const
{
    return m_hasConfig && !m_isStopping;
}

asio::io_context &SteeringBalancerProcess::context()
{
    return m_context;
}

Logger &SteeringBalancerProcess::logger()
{
    return m_services.logger();
}

void SteeringBalancerProcess::applyConfig(const ConfigSnapshotPointer &snapshot)
{
    const bool hasConfig = snapshot->hasRegistry && snapshot->routes->version() != 0;
    if (hasConfig && !m_hasConfig) {
        m_services.logger().info("ready", {{"routes_version", snapshot->routes->version()}, {"servers", snapshot->servers.size()}});
    }
    m_hasConfig = m_hasConfig || hasConfig;
    m_services.metrics().setGauge("routes_version", static_cast<double>(snapshot->routes->version()));
    m_loop.post([traffic = m_traffic.get(), snapshot] {
        traffic->update(snapshot);
    });
}

void SteeringBalancerProcess::reloadSeeds()
{
    applySeeds(m_services.logger(), m_readSeeds, [this](std::vector<HostAddress> seeds) {
        m_watcher->setControlHosts(std::move(seeds));
    });
}

void SteeringBalancerProcess::waitForStop()
{
    m_stopSignals.async_wait([this](const asio::error_code &error, int signal) {
        if (error) {
            return;
        }
        m_isStopping = true;
        m_services.logger().info("stopping", {{"signal", signal}, {"drain_ms", m_settings.drainTime.count()}});
        m_drainTimer.expires_after(m_settings.drainTime);
        m_drainTimer.async_wait([this](const asio::error_code &) {
            m_context.stop();
        });
    });
}

void SteeringBalancerProcess::publishMetrics()
{
    m_traffic->counters().publish(m_services.metrics());
    publishLogCounters(m_services);
}

}
