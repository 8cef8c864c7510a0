#pragma once

#include <jujubequay/service/announce_client.h>
#include <jujubequay/steering_program/agent_traffic.h>
#include <jujubequay/steering_program/discovery.h>
#include <jujubequay/steering_program/server_announcements.h>
#include <jujubequay/steering_program/settings_watcher.h>
#include <jujubequay/steering_program/traffic_loop.h>

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <filesystem>
#include <functional>

namespace Jujubequay {

/// An agent beside a server that opens and ends flows by itself, as a process.
class SteeringAgentProcess
{
public:
    SteeringAgentProcess(SteeringAgentSettings settings, std::filesystem::path settingsFile, SeedReader readSeeds, const PacketCodec &codec);
    ~SteeringAgentProcess();
    SteeringAgentProcess(const SteeringAgentProcess &) = delete;
    SteeringAgentProcess &operator=(const SteeringAgentProcess &) = delete;

    /// Fails with AddressUnavailable.
    Result<void> start();
    /// Returns after SIGTERM or SIGINT.
    void run();
    bool isReady() const;
    asio::io_context &context();
    Logger &logger();

    /// An announcement of the server; it is in effect on return.
    void handleServerAnnouncement(const ServerAnnouncement &announcement);
    /// The server ends.
    void handleServerDeparture(const std::string &id);

private:
    void apply(const ConfigSnapshotPointer &snapshot);
    void applyServer(bool isFresh);
    jujubequay::pb::ServerEntry entry() const;
    void waitForEnd();
    void serverEnded();
    /// Tries to connect to the server. One at a time.
    void probeServer(std::function<void(const asio::error_code &)> handler);
    bool hasStartedWithAgent(const ServerAnnouncement &announcement) const;
    /// Finds out whether the server runs already, so that a restarted agent need not wait for its next announcement.
    void checkServer();
    void answeredBy(const HostAddress &controlHost);
    void reloadSeeds();
    void waitForStop();
    void publishMetrics();

    const SteeringAgentSettings m_settings;
    const SeedReader m_readSeeds;
    const PacketCodec &m_codec;
    asio::io_context m_context{1};
    ProcessServices m_services;
    SettingsWatcher m_settingsWatcher;
    asio::signal_set m_stopSignals;
    PeriodicTimer m_checkTimer;
    asio::steady_timer m_endTimer;
    TrafficLoop m_loop;
    std::unique_ptr<AgentTraffic> m_traffic;
    std::shared_ptr<ConfigWatcher> m_watcher;
    std::shared_ptr<AnnounceClient> m_announceClient;
    ServerAnnouncements m_announcements;
    /// Wall clock, to compare with the server's own.
    const std::chrono::system_clock::time_point m_startedAt = std::chrono::system_clock::now();
    asio::ip::tcp::socket m_probe;
    const std::uint32_t m_epoch; ///< of this start; not 0
    const std::uint32_t m_absentIncarnation; ///< that no server has; above unconfirmedIncarnation
    bool m_isServerAbsent = false; ///< nothing listened where the server should when this agent started
    bool m_isServerRunning = false; ///< it accepts connections and has not announced itself yet
    std::optional<LocalServer> m_local;
    bool m_isLocalKnown = false; ///< the traffic thread has been told of `m_local`
    TimePoint m_runningSince{};
    bool m_isAnnouncing = false;
    bool m_isStopping = false;
};

}
