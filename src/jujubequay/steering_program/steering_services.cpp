#include <jujubequay/steering_program/steering_services.h>

namespace Jujubequay {

namespace {

/// Control hosts that start together with this process listen a little later.
constexpr auto retryBase = std::chrono::milliseconds(40);

MessageClientOptions clientOptions(const std::string &role, const DiscoverySettings &settings)
{
    MessageClientOptions options;
    options.http2.keepAlive = settings.keepAlive;
    options.connectTimeout = settings.connectTimeout;
    options.plaintextIdentity = {settings.placement.hostName, role};
    return options;
}

}

SteeringServices::SteeringServices(asio::io_context &context, std::string program, std::string role, DiscoverySettings settings)
    : m_context(context)
    , m_role(std::move(role))
    , m_settings(std::move(settings))
    , m_logger(m_clock,
               {std::move(program), m_settings.placement.hostName, m_settings.placement.availabilityZone},
               {.level = m_settings.logLevel, .output = LogOutput::StandardOutput, .maxRepeats = m_settings.maxLogRepeats})
    , m_random(std::random_device()())
    , m_metrics(std::make_shared<Metrics>())
    , m_client(Http2MessageClient::create(context, m_clock, m_logger, nullptr, clientOptions(m_role, m_settings)))
{
}

SteeringServices::~SteeringServices()
{
    m_client->stop();
    if (m_metricsServer) {
        m_metricsServer->stop();
    }
}

Result<void> SteeringServices::start()
{
    if (m_settings.metricsAddress) {
        BOOST_LEAF_ASSIGN(m_metricsServer, listenForMetrics(m_context, m_logger, *m_settings.metricsAddress, m_metrics));
    }
    return {};
}

void SteeringServices::reloadSeeds(const SeedReader &read, const std::function<void(std::vector<HostAddress>)> &use)
{
    handleFailure(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(seeds, read());
            m_logger.info("settings-reloaded", {{"seeds", seeds.size()}, {"first", seeds.empty() ? "" : toString(seeds.front())}});
            use(std::move(seeds));
            return {};
        },
        [this](const Failure &failure) {
            m_logger.error("settings-not-reloaded", {{"cause", failure.detail}});
        });
}

std::shared_ptr<ConfigWatcher> SteeringServices::createWatcher(ConfigSnapshotHandler onConfig,
                                                               std::function<void(const std::vector<HostAddress> &)> onControlHosts)
{
    WatchSubscriberOptions options;
    options.host = m_settings.placement.hostName;
    options.zone = m_settings.placement.availabilityZone;
    options.role = m_role;
    options.controlHosts = m_settings.seeds;
    options.retryBase = retryBase;
    options.retryLimit = m_settings.retryLimit;
    options.silenceLimit = m_settings.silenceLimit;
    return std::make_shared<ConfigWatcher>(
        m_context, m_clock, m_logger, *m_client, std::move(options), std::vector<HostAddress>(), m_random, std::move(onConfig), std::move(onControlHosts));
}

void SteeringServices::publishLogCounters()
{
    m_metrics->counter("log_lines", "dropped").store(m_logger.droppedLines(), std::memory_order_relaxed);
}

const Clock &SteeringServices::clock() const
{
    return m_clock;
}

Logger &SteeringServices::logger()
{
    return m_logger;
}

Metrics &SteeringServices::metrics()
{
    return *m_metrics;
}

Http2MessageClient &SteeringServices::client()
{
    return *m_client;
}

std::mt19937_64 &SteeringServices::random()
{
    return m_random;
}

const DiscoverySettings &SteeringServices::settings() const
{
    return m_settings;
}

}
