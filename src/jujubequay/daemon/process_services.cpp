#include <jujubequay/daemon/process_services.h>

#include <csignal>

namespace Jujubequay {

ProcessServices::ProcessServices(asio::io_context &context, std::string program, CommonSettings settings, ProcessOptions options)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_options(std::move(options))
    , m_random(std::random_device()())
    , m_clock(std::make_shared<SteadyClock>())
    , m_logger(std::make_shared<Logger>(*m_clock,
                                        LogOrigin{std::move(program), m_settings.location.hostName, m_settings.location.availabilityZone},
                                        Logger::Options{.level = m_settings.logLevel, .output = m_options.logOutput, .maxRepeats = m_options.maxLogRepeats}))
    , m_metrics(std::make_shared<Metrics>(m_options.maxMetricsCustomers))
    , m_reloadSignals(context, SIGHUP)
{
    m_kernel.add<Clock>("clock", m_clock);
    m_kernel.add<Logger>("logger", m_logger);
    m_kernel.add<Metrics>("metrics", m_metrics);
}

ProcessServices::~ProcessServices()
{
    closeClient();
    if (m_metricsServer) {
        m_metricsServer->stop();
    }
}

Result<void> ProcessServices::start()
{
    if (m_settings.tls) {
        BOOST_LEAF_ASSIGN(m_tls, TlsContext::load(*m_settings.tls));
        waitForReload();
    }
    MessageClientOptions options;
    options.http2.keepAlive = m_settings.keepAlive;
    options.connectTimeout = m_settings.connectTimeout;
    options.plaintextIdentity = {m_settings.location.hostName, m_options.plaintextRole};
    m_client = Http2MessageClient::create(m_context, *m_clock, *m_logger, m_tls, options);
    m_kernel.add<MessageClient>("message-client", m_client);
    if (m_settings.metricsAddress) {
        BOOST_LEAF_ASSIGN(m_metricsServer, listenForMetrics(m_context, *m_logger, *m_settings.metricsAddress, m_metrics));
    }
    return {};
}

void ProcessServices::closeClient()
{
    if (m_client) {
        m_client->stop();
    }
}

Kernel &ProcessServices::kernel()
{
    return m_kernel;
}

Clock &ProcessServices::clock() const
{
    return *m_clock;
}

Logger &ProcessServices::logger() const
{
    return *m_logger;
}

Metrics &ProcessServices::metrics() const
{
    return *m_metrics;
}

std::shared_ptr<const Metrics> ProcessServices::sharedMetrics() const
{
    return m_metrics;
}

std::shared_ptr<TlsContext> ProcessServices::tls() const
{
    return m_tls;
}

Http2MessageClient &ProcessServices::client() const
{
    return *m_client;
}

std::mt19937_64 &ProcessServices::random()
{
    return m_random;
}

std::vector<HostAddress> ProcessServices::controlHosts() const
{
    std::vector<HostAddress> addresses;
    for (const ControlHost &host : m_settings.controlHosts) {
        addresses.push_back(host.address);
    }
    return addresses;
}

void ProcessServices::setCounter(std::string_view name, std::string_view cause, std::uint64_t value)
{
    m_metrics->counter(name, cause).store(value, std::memory_order_relaxed);
}

void ProcessServices::waitForReload()
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

}
