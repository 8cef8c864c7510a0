#pragma once

#include "soak/addresses.h"
#include "soak/child_process.h"
#include "soak/ledger.h"
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
    std::filesystem::path programs; ///< directory of the programs
    std::filesystem::path directory; ///< for settings, disks and logs
    std::uint8_t controlHosts = 3;
    std::uint8_t balancers = 3;
    std::uint8_t agents = 5;
};

/// One host of the deployment with its program.
struct DeployedHost {
    Role role = Role::Control;
    std::uint8_t number = 1; ///< within its role
    std::string name;
    std::optional<ChildProcess> process;
    bool isPaused = false;
    bool mayEnd = false; ///< was told to end, or killed
    TimePoint startAt{}; ///< while it is down
};

/// The real programs as child processes, with a proxy in front of each control host. A process that has ended is started again.
class Deployment
{
public:
    /// Fails with AddressUnavailable, BadCommandLine or DiskFailed.
    static Result<std::unique_ptr<Deployment>> create(asio::io_context &context, DeploymentOptions options, const Clock &clock, Ledger &ledger);

    Result<void> startAll();
    std::vector<DeployedHost> &hosts();
    DeployedHost &host(Role role, std::uint8_t number);
    TcpProxy &proxy(std::uint8_t controlHost);

    /// The process is killed and starts again after a time.
    void kill(DeployedHost &host, Duration downTime);
    /// SIGTERM; it starts again as soon as it has ended.
    void stop(DeployedHost &host);
    void pause(DeployedHost &host);
    void resume(DeployedHost &host);
    /// Kills a control host and removes what it has on disk.
    void wipe(DeployedHost &host, Duration downTime);
    /// Kills a control host and leaves a half-written record at the end of its log.
    void tearLog(DeployedHost &host, Duration downTime, std::mt19937_64 &random);
    /// Rewrites the settings file and sends SIGHUP.
    void reload(DeployedHost &host);
    /// Starts what is due and reports processes that have ended by themselves. Call every 50 ms or so.
    Result<void> tend();

private:
    Deployment(DeploymentOptions options, const Clock &clock, Ledger &ledger);
    Result<void> start(DeployedHost &host);
    void writeSettings(const DeployedHost &host, bool isFirstStart) const;
    std::string settingsOf(const DeployedHost &host, bool isFirstStart) const;
    std::filesystem::path diskOf(const DeployedHost &host) const;
    std::filesystem::path settingsFileOf(const DeployedHost &host) const;

    const DeploymentOptions m_options;
    const Clock &m_clock;
    Ledger &m_ledger;
    std::vector<std::unique_ptr<TcpProxy>> m_proxies;
    std::vector<DeployedHost> m_hosts;
};

}
