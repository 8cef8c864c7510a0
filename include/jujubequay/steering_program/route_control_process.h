#pragma once

#include <jujubequay/consensus/disk_log_storage.h>
#include <jujubequay/control/control_host_service.h>
#include <jujubequay/net/message_server.h>
#include <jujubequay/steering_program/discovery.h>
#include <jujubequay/steering_program/settings_watcher.h>

#include <asio/ip/udp.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Jujubequay {

/// The newest route table, or why it is not known.
struct RouteReadAnswer {
    ResultCode result = ResultCode::Ok;
    std::string document; ///< as the operator sent it; empty before the first one
};

/// A control host that finds the others by itself, as a process. Its replica is closed while the disk does not work and opened
/// again once it does; calls are then refused.
class RouteControlProcess
{
public:
    RouteControlProcess(RouteControlSettings settings, std::filesystem::path settingsFile, SeedReader readSeeds);
    ~RouteControlProcess();
    RouteControlProcess(const RouteControlProcess &) = delete;
    RouteControlProcess &operator=(const RouteControlProcess &) = delete;

    /// Fails with AddressUnavailable.
    Result<void> start();
    /// Returns after SIGTERM or SIGINT.
    void run();
    asio::io_context &context();
    Logger &logger();

    /// For operators' calls. The table has been checked.
    void replaceRoutes(const jujubequay::pb::ReplaceRoutes &change, std::function<void(const RouteChangeAnswer &)> handler);
    void readRoutes(std::function<void(const RouteReadAnswer &)> handler);

private:
    /// What works on one opening of the disk.
    struct Session;

    Result<void> initialiseIfEmpty(Consensus::FileSystem &files) const;
    Result<void> openSession();
    void tryOpenSession();
    void sessionFailed(const Failure &failure);
    void sendStartNotice(const HostAddress &host);
    ControlHostOptions options();
    void reloadSeeds();
    void waitForStop();
    void scheduleTick();
    void publishMetrics();

    const RouteControlSettings m_settings;
    const SeedReader m_readSeeds;
    asio::io_context m_context{1};
    ProcessServices m_services;
    SettingsWatcher m_settingsWatcher;
    asio::signal_set m_stopSignals;
    asio::steady_timer m_tickTimer;
    asio::steady_timer m_retryTimer;
    asio::steady_timer m_stopTimer;
    asio::ip::udp::socket m_notices; ///< sends only
    std::shared_ptr<MessageServer> m_server;
    std::vector<HostAddress> m_seeds;
    std::unique_ptr<Session> m_session;
    bool m_hasFailed = false;
};

}
