#pragma once

#include "soak/addresses.h"
#include "soak/child_process.h"
#include "soak/guarantee_checker.h"
#include "soak/tcp_proxy.h"

#include <asio/io_context.hpp>

#include <filesystem>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Jujubequay::Soak {

enum class Role : std::uint8_t { Control, Balancer, Agent };

struct DeploymentOptions {
    Addresses addresses;
    std::filesystem::path programs; ///< directory with the executables
    std::filesystem::path directory; ///< for settings files, data directories and logs
    std::uint8_t controlHosts = 3;
    std::uint8_t balancers = 3;
    std::uint8_t agents = 5;
};

/// A host of the deployment and the program that runs on it.
struct DeployedHost {
    Role role = Role::Control;
    std::uint8_t number = 1; ///< counts from 1 within the role
    std::string name;
    std::optional<ChildProcess> process; ///< empty while the host is down
    bool isPaused = false;
    bool isExitExpected = false; ///< SIGTERM was sent
    TimePoint restartAt{}; ///< only used while the host is down
};

/// Runs the programs as child processes, with a TCP proxy in front of each control host. Processes that have ended are restarted.
class Deployment
{
public:
    /// Creates the directory and the proxies. Fails with AddressUnavailable or DiskFailed.
    static Result<std::unique_ptr<Deployment>> create(asio::io_context &context, DeploymentOptions options, const Clock &clock, GuaranteeChecker &checker);

    /// Starts all programs. Fails with BadCommandLine.
    Result<void> startAll();
    std::vector<DeployedHost> &hosts();
    DeployedHost &host(Role role, std::uint8_t number);
    TcpProxy &proxy(std::uint8_t controlHost);

    /// Kills the process. It is restarted after `downTime`.
    void kill(DeployedHost &host, Duration downTime);
    /// Sends SIGTERM. The process is restarted when it has ended.
    void stop(DeployedHost &host);
    /// Sends SIGSTOP.
    void pause(DeployedHost &host);
    /// Sends SIGCONT.
    void resume(DeployedHost &host);
    /// Kills a control host and removes its data directory.
    void killAndWipeDisk(DeployedHost &host, Duration downTime);
    /// Kills a control host and appends random bytes to its log files, as a torn write would leave them.
    void killAndTearLog(DeployedHost &host, Duration downTime, std::mt19937_64 &random);
    /// Rewrites the settings file and sends SIGHUP.
    void reload(DeployedHost &host);
    /// Restarts processes that are due and reports unexpected exits to the checker. To be called about every 50 ms. Fails with BadCommandLine.
    Result<void> restartEndedProcesses();

private:
    Deployment(DeploymentOptions options, const Clock &clock, GuaranteeChecker &checker);
    Result<void> start(DeployedHost &host);
    void writeSettings(const DeployedHost &host, bool isFirstStart) const;
    std::string settingsText(const DeployedHost &host, bool isFirstStart) const;
    std::filesystem::path dataDirectoryOf(const DeployedHost &host) const;
    std::filesystem::path settingsFileOf(const DeployedHost &host) const;

    const DeploymentOptions m_options;
    const Clock &m_clock;
    GuaranteeChecker &m_checker;
    std::vector<std::unique_ptr<TcpProxy>> m_proxies;
    std::vector<DeployedHost> m_hosts;
};

}
