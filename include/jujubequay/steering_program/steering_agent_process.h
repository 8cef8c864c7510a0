#pragma once

#include <jujubequay/service/announce_client.h>
#include <jujubequay/steering_program/agent_traffic.h>
#include <jujubequay/steering_program/discovery.h>
#include <jujubequay/steering_program/server_announcements.h>
#include <jujubequay/steering_program/server_probe.h>
#include <jujubequay/steering_program/settings_watcher.h>
#include <jujubequay/steering_program/traffic_loop.h>

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <filesystem>
#include <functional>

namespace Jujubequay {

/// Process of an agent whose local server opens and closes flows itself.
class SteeringAgentProcess
{
public:
    /// Reads the settings again after a change of the settings file.
    using AgentSettingsReader = std::function<Result<SteeringAgentSettings>()>;

    SteeringAgentProcess(SteeringAgentSettings settings, std::filesystem::path settingsFile, AgentSettingsReader readSettings, const PacketCodec &codec);
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

    /// Handles an announcement of the local server. It is in effect on return. Fails with BadRequest, and changes nothing, if it cannot be an
    /// announcement of this server.
    Result<void> handleServerAnnouncement(const ServerAnnouncement &announcement);
    /// Handles the announcement that the process of the local server is about to end. `startedAtMs`: its start time, if it states it.
    void handleServerDeparture(const std::string &id, std::optional<std::uint64_t> startedAtMs);

private:
    void applyConfig(const ConfigSnapshotPointer &snapshot);
    /// Refuses another service than that of the settings while the current server announces itself.
    Result<void> checkServiceChange(const ServerAnnouncement &announcement) const;
    void applyAnnouncement(const ServerAnnouncement &announcement);
    /// Updates the traffic thread and the announcement to the control hosts from the state of the local server.
    void applyServer(bool isFresh);
    jujubequay::pb::ServerEntry serverEntry() const;
    /// Schedules a check of a server whose process may end without a further announcement, unless one is scheduled.
    void scheduleEndCheck();
    /// Checks whether the process of such a server has ended, and again later if it has not.
    void checkServerEnd();
    void handleServerEnd();
    /// Checks whether the server runs, so that a restarted agent need not wait for the next announcement.
    void checkServer();
    /// Reports to the announce client that a control host is reachable.
    void reportReachableControlHost(const HostAddress &controlHost);
    void reloadSettings();
    void waitForStop();
    void publishMetrics();

    const SteeringAgentSettings m_settings;
    std::string m_service; ///< service of the server by the current settings file; may be empty
    const AgentSettingsReader m_readSettings;
    const PacketCodec &m_codec;
    asio::io_context m_context{1};
    ProcessServices m_services;
    SettingsWatcher m_settingsWatcher;
    asio::signal_set m_stopSignals;
    PeriodicTimer m_serverCheckTimer;
    ServerProbe m_probe;
    asio::steady_timer m_endTimer; ///< expires at the next check of a departing server
    asio::steady_timer m_stopTimer;
    TrafficLoop m_loop;
    std::unique_ptr<AgentTraffic> m_traffic;
    std::shared_ptr<ConfigWatcher> m_watcher;
    std::shared_ptr<AnnounceClient> m_announceClient;
    ServerAnnouncements m_announcements;
    /// Start time of this agent by the wall clock, for comparison with the start time that the server announces.
    std::chrono::system_clock::time_point m_startedAtWallClock;
    const std::uint32_t m_epoch; ///< identifies this run of the agent; never 0
    const std::uint32_t m_absentIncarnation; ///< announced if no server runs; greater than unconfirmedIncarnation
    std::optional<TimePoint> m_serverStartedAt; ///< when the server started, by the clock of the process; empty if its clock is ahead
    bool m_isServerChecked = false; ///< the check at the start of this agent has a result, or a server has announced itself
    bool m_isServerAbsent = false; ///< the server refused the connection when this agent started
    bool m_isEndCheckScheduled = false; ///< m_endTimer runs
    std::optional<LocalServer> m_localServer;
    bool m_isLocalServerApplied = false; ///< m_localServer was posted to the traffic thread
    TimePoint m_startedAtMonotonic{}; ///< start time by the clock of the process
    bool m_isAnnouncing = false; ///< the announce client has been started
    bool m_isStopping = false;
};

}
