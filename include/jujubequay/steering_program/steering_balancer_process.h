#pragma once

#include <jujubequay/net/message_server.h>
#include <jujubequay/steering_program/balancer_traffic.h>
#include <jujubequay/steering_program/discovery.h>
#include <jujubequay/steering_program/settings_watcher.h>
#include <jujubequay/steering_program/traffic_loop.h>

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <filesystem>
#include <functional>

namespace Jujubequay {

/// Process of a balancer for flows whose packets carry no flow identifier.
class SteeringBalancerProcess
{
public:
    SteeringBalancerProcess(SteeringBalancerSettings settings, std::filesystem::path settingsFile, SeedReader readSeeds, const PacketCodec &codec);
    ~SteeringBalancerProcess();
    SteeringBalancerProcess(const SteeringBalancerProcess &) = delete;
    SteeringBalancerProcess &operator=(const SteeringBalancerProcess &) = delete;

    /// Fails with AddressUnavailable.
    Result<void> start();
    /// Returns after SIGTERM or SIGINT.
    void run();
    /// True if the balancer has its configuration and is not stopping.
    bool isReady() const;
    asio::io_context &context();
    Logger &logger();

private:
    void applyConfig(const ConfigSnapshotPointer &snapshot);
    void reloadSeeds();
    void waitForStop();
    void publishMetrics();

    const SteeringBalancerSettings m_settings;
    const SeedReader m_readSeeds;
    const PacketCodec &m_codec;
    asio::io_context m_context{1};
    ProcessServices m_services;
    SettingsWatcher m_settingsWatcher;
    asio::signal_set m_stopSignals;
    asio::steady_timer m_drainTimer;
    PeriodicTimer m_metricsTimer;
    TrafficLoop m_loop;
    std::unique_ptr<BalancerTraffic> m_traffic;
    std::shared_ptr<ConfigWatcher> m_watcher;
    std::shared_ptr<MessageServer> m_peerServer; ///< gives other processes the configuration
    bool m_hasConfig = false;
    bool m_isStopping = false;
};

}
