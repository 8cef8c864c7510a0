#pragma once

#include <jujubequay/core/log.h>
#include <jujubequay/daemon/metrics.h>
#include <jujubequay/daemon/metrics_http_server.h>
#include <jujubequay/daemon/steering_settings.h>
#include <jujubequay/net/http2_message_client.h>
#include <jujubequay/service/config_watcher.h>

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>

namespace Jujubequay {

/// Reads the seeds of a process's settings again; fails with BadSettings.
using SeedReader = std::function<Result<std::vector<HostAddress>>()>;

/// What the processes of a network without keys have in common on their control thread.
class SteeringServices
{
public:
    /// `role`: "balancer", "agent" or "control". `context` outlives the services.
    SteeringServices(asio::io_context &context, std::string program, std::string role, DiscoverySettings settings);
    ~SteeringServices();
    SteeringServices(const SteeringServices &) = delete;
    SteeringServices &operator=(const SteeringServices &) = delete;

    /// Serves metrics if the settings ask for it. Fails with AddressUnavailable.
    Result<void> start();
    /// Reads the seeds again and passes them on. Settings that cannot be read are logged and change nothing.
    void reloadSeeds(const SeedReader &read, const std::function<void(std::vector<HostAddress>)> &use);
    std::shared_ptr<ConfigWatcher> createWatcher(ConfigSnapshotHandler onConfig, std::function<void(const std::vector<HostAddress> &)> onControlHosts);

    /// Publishes how many log lines were dropped.
    void publishLogCounters();

    const Clock &clock() const;
    Logger &logger();
    Metrics &metrics();
    Http2MessageClient &client();
    std::mt19937_64 &random();
    const DiscoverySettings &settings() const;

private:
    asio::io_context &m_context;
    const std::string m_role;
    const DiscoverySettings m_settings;
    SteadyClock m_clock;
    Logger m_logger;
    std::mt19937_64 m_random;
    std::shared_ptr<Metrics> m_metrics;
    std::shared_ptr<Http2MessageClient> m_client;
    std::shared_ptr<Http1Server> m_metricsServer;
};

}
