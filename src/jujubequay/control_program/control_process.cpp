#include <jujubequay/consensus/disk_log_storage.h>
#include <jujubequay/control/control_host_service.h>
#include <jujubequay/control_program/control_process.h>
#include <jujubequay/daemon/metrics_http_server.h>
#include <jujubequay/daemon/metrics_service.h>
#include <jujubequay/net/http2_message_client.h>
#include <jujubequay/net/message_server.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <csignal>
#include <filesystem>
#include <optional>
#include <random>

namespace Jujubequay {

namespace pb = jujubequay::pb;

namespace {

// Number of heartbeat intervals in one lease.
constexpr int heartbeatsPerLease = 4;

std::uint64_t wallClockMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

std::mt19937_64 seededRandom()
{
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return std::mt19937_64(seed);
}

ControlHostOptions optionsFrom(const ControlSettings &settings, std::mt19937_64 &random)
{
    ControlHostOptions options;
    options.host = settings.common.location.hostName;
    options.zone = settings.common.location.availabilityZone;
    options.epoch = random() | 1U; // an epoch is never 0
    options.replica.heartbeatInterval = settings.heartbeat;
    options.replica.electionTimeout = settings.electionTimeout;
    options.replica.snapshotInterval = settings.snapshotEntries;
    options.lease.lease = settings.lease;
    options.lease.heartbeat = settings.lease / heartbeatsPerLease;
    options.registryExchangeInterval = settings.registryExchange;
    return options;
}

Http2Options http2From(const CommonSettings &settings, Http2Options options)
{
    options.keepAlive = settings.keepAlive;
    return options;
}

/// The control host process. Members are declared in the order in which they depend on each other.
class ControlProcess
{
public:
    explicit ControlProcess(const ControlSettings &settings)
        : m_settings(settings)
        , m_random(seededRandom())
        , m_logger(m_clock, {"jjq-control", settings.common.location.hostName, settings.common.location.availabilityZone}, {.level = settings.common.logLevel})
        , m_signals(m_context, SIGINT, SIGTERM, SIGHUP)
        , m_timer(m_context)
        , m_metrics(std::make_shared<Metrics>())
        , m_metricsService(m_metrics)
    {
    }

    Result<void> run()
    {
        BOOST_LEAF_CHECK(open());
        m_service->start();
        waitForSignal();
        scheduleTick();
        m_logger.info("started",
                      {{"address", toString(m_server->address())},
                       {"disk", m_service->driver().replica().id()},
                       {"applied", m_service->driver().replica().appliedIndex()}});
        m_context.run();
        m_server->stop();
        m_client->stop();
        if (m_failure) {
            return fail(m_failure->code, m_failure->detail);
        }
        m_logger.info("stopped");
        return {};
    }

private:
    Result<void> open()
    {
        BOOST_LEAF_ASSIGN(m_tls, TlsContext::load(*m_settings.common.tls));
        BOOST_LEAF_ASSIGN(m_files, Consensus::PosixFileSystem::open(m_settings.dataDirectory));
        m_storage.emplace(*m_files, m_settings.common.location.hostName);
        BOOST_LEAF_AUTO(stored, m_storage->load());

        MessageClientOptions clientOptions;
        clientOptions.http2 = http2From(m_settings.common, clientOptions.http2);
        clientOptions.connectTimeout = m_settings.common.connectTimeout;
        m_client = Http2MessageClient::create(m_context, m_clock, m_logger, m_tls, clientOptions);
        m_service.emplace(optionsFrom(m_settings, m_random), environment(), std::move(stored));

        MessageServerOptions serverOptions;
        serverOptions.http2 = http2From(m_settings.common, serverOptions.http2);
        const auto accept = [this](const std::string &path, const std::shared_ptr<MessageStream> &stream) {
            return path == "/metrics" ? m_metricsService.accept(stream) : m_service->accept(path, stream);
        };
        BOOST_LEAF_ASSIGN(m_server, MessageServer::listen(m_context, m_clock, m_logger, m_tls, m_settings.controlAddress, accept, serverOptions));
        if (m_settings.common.metricsAddress) {
            BOOST_LEAF_ASSIGN(m_metricsServer, listenForMetrics(m_context, m_logger, *m_settings.common.metricsAddress, m_metrics));
        }
        return {};
    }

    ControlHostService::Environment environment()
    {
        return {
            .clock = m_clock,
            .wallClock = wallClockMs,
            .logger = m_logger,
            .client = *m_client,
            .storage = *m_storage,
            .random = m_random,
            .storageFailed =
                [this](const Failure &failure) {
                    m_failure = failure;
                    m_context.stop();
                },
        };
    }

    void waitForSignal()
    {
        m_signals.async_wait([this](const asio::error_code &error, int signal) {
            if (error) {
                return;
            }
            if (signal != SIGHUP) {
                m_context.stop();
                return;
            }
            reloadCertificates();
            waitForSignal();
        });
    }

    void reloadCertificates()
    {
        const bool isReloaded = handleFailure(
            [this]() -> Result<bool> {
                BOOST_LEAF_CHECK(m_tls->reload());
                return true;
            },
            [this](const Failure &failure) {
                m_logger.error("certificates-not-reloaded", {{"cause", failure.detail}});
                return false;
            });
        if (isReloaded) {
            m_logger.info("certificates-reloaded");
        }
    }

    void scheduleTick()
    {
        m_timer.expires_after(ControlHostService::tickInterval);
        m_timer.async_wait([this](const asio::error_code &error) {
            if (!error) {
                m_service->tick();
                updateMetrics();
                scheduleTick();
            }
        });
    }

    void updateMetrics()
    {
        m_metrics->setGauge("control_revision", static_cast<double>(m_service->driver().state().revision()));
        m_metrics->setGauge("control_applied_index", static_cast<double>(m_service->driver().replica().appliedIndex()));
        m_metrics->setGauge("control_watchers", static_cast<double>(m_service->watchServer().watcherCount()));
        m_metrics->setGauge("control_watch_sent_bytes", static_cast<double>(m_service->watchServer().messages().sentBytes()));
        m_metrics->setGauge("control_watch_received_bytes", static_cast<double>(m_service->watchServer().messages().receivedBytes()));
    }

    const ControlSettings &m_settings;
    SteadyClock m_clock;
    std::mt19937_64 m_random;
    Logger m_logger;
    asio::io_context m_context;
    asio::signal_set m_signals;
    asio::steady_timer m_timer;
    std::shared_ptr<Metrics> m_metrics;
    MetricsService m_metricsService;
    std::shared_ptr<TlsContext> m_tls;
    std::unique_ptr<Consensus::PosixFileSystem> m_files;
    std::optional<Consensus::DiskLogStorage> m_storage;
    std::shared_ptr<Http2MessageClient> m_client;
    std::optional<ControlHostService> m_service;
    std::shared_ptr<MessageServer> m_server;
    std::shared_ptr<Http1Server> m_metricsServer;
    std::optional<Failure> m_failure;
};

}

Result<Consensus::DiskIdentity> initialiseControlDisk(const ControlSettings &settings, DiskPurpose purpose)
{
    std::error_code error;
    std::filesystem::create_directories(settings.dataDirectory, error);
    if (error) {
        return fail(ResultCode::DiskFailed, fmt::format("{}: {}", settings.dataDirectory.string(), error.message()));
    }
    BOOST_LEAF_AUTO(files, Consensus::PosixFileSystem::open(settings.dataDirectory));
    Consensus::InitialiseOptions options;
    options.identity = {Consensus::randomDiskIdentity(), settings.common.location.hostName};
    if (purpose == DiskPurpose::Bootstrap) {
        pb::Member &founder = *options.initialMembership.add_members();
        founder.set_id(options.identity.id);
        founder.set_host(options.identity.host);
        founder.set_address(toString(settings.controlAddress));
        founder.set_voter(true);
        options.initialMembership.set_cluster(Consensus::randomClusterNumber());
    }
    BOOST_LEAF_CHECK(Consensus::initialiseDisk(*files, options));
    return options.identity;
}

Result<void> runControlHost(const ControlSettings &settings)
{
    ControlProcess process(settings);
    return process.run();
}

}
