#include "soak/deployment.h"

#include <jujubequay/core/name_table.h>

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <fstream>

namespace Jujubequay::Soak {

namespace {

constexpr NameTable<Role, 3> roleNames{{{
    {Role::Control, "control"},
    {Role::Balancer, "balancer"},
    {Role::Agent, "agent"},
}}};

/// Largest number of control hosts that the settings name as seeds.
constexpr std::uint8_t maxSeeds = 3;
/// Delay before a process that has ended is restarted, as by a supervisor.
constexpr auto restartDelay = std::chrono::milliseconds(50);

}

Result<std::unique_ptr<Deployment>> Deployment::create(asio::io_context &context, DeploymentOptions options, const Clock &clock, GuaranteeChecker &checker)
{
    std::unique_ptr<Deployment> deployment(new Deployment(std::move(options), clock, checker));
    const DeploymentOptions &storedOptions = deployment->m_options;
    std::error_code error;
    std::filesystem::remove_all(storedOptions.directory, error);
    std::filesystem::create_directories(storedOptions.directory, error);
    if (error) {
        return fail(ResultCode::DiskFailed, fmt::format("{}: {}", storedOptions.directory.string(), error.message()));
    }
    for (std::uint8_t number = 1; number <= storedOptions.controlHosts; ++number) {
        BOOST_LEAF_AUTO(proxy, TcpProxy::listen(context, storedOptions.addresses.controlPeer(number), storedOptions.addresses.controlListen(number)));
        deployment->m_proxies.push_back(std::move(proxy));
    }
    return deployment;
}

Deployment::Deployment(DeploymentOptions options, const Clock &clock, GuaranteeChecker &checker)
    : m_options(std::move(options))
    , m_clock(clock)
    , m_checker(checker)
{
    const std::vector<std::pair<Role, std::uint8_t>> roles{
        {Role::Control, m_options.controlHosts}, {Role::Balancer, m_options.balancers}, {Role::Agent, m_options.agents}};
    for (const auto &[role, count] : roles) {
        for (std::uint8_t number = 1; number <= count; ++number) {
            DeployedHost host;
            host.role = role;
            host.number = number;
            host.name = fmt::format("{}-{}", roleNames.name(role), number);
            m_hosts.push_back(std::move(host));
        }
    }
}

std::filesystem::path Deployment::dataDirectoryOf(const DeployedHost &host) const
{
    return m_options.directory / (host.name + ".disk");
}

std::filesystem::path Deployment::settingsFileOf(const DeployedHost &host) const
{
    return m_options.directory / (host.name + ".toml");
}

std::string Deployment::settingsText(const DeployedHost &host, bool isFirstStart) const
{
    const Addresses &addresses = m_options.addresses;
    std::string seedList;
    for (std::uint8_t number = 1; number <= std::min(maxSeeds, m_options.controlHosts); ++number) {
        seedList += fmt::format("{}\"{}\"", number > 1 ? ", " : "", toString(addresses.controlPeer(number)));
    }
    std::string text = fmt::format("availability_zone = \"zone-{}\"\nregion = \"loopback\"\nseeds = [{}]\ncontrol_port = {}\n",
                                   host.number % 2 == 0 ? 'a' : 'b',
                                   seedList,
                                   addresses.controlPeer(1).port);
    const auto add = [&text](std::string_view key, const HostAddress &address) {
        text += fmt::format("{} = \"{}\"\n", key, toString(address));
    };
    const auto addHostName = [&text](const HostAddress &address) {
        text += fmt::format("host_name = \"{}\"\n", ipText(address));
    };
    switch (host.role) {
    case Role::Control:
        addHostName(addresses.controlPeer(host.number));
        add("peer_address", addresses.controlPeer(host.number));
        add("listen_address", addresses.controlListen(host.number));
        add("operator_address", addresses.controlOperator(host.number));
        text += fmt::format("data_directory = \"{}\"\nfirst_start = {}\ntolerated_disk_losses = 1\n", dataDirectoryOf(host).string(), isFirstStart);
        break;
    case Role::Balancer:
        addHostName(addresses.balancerPeer(host.number));
        add("caller_address", addresses.balancerCaller(host.number));
        add("peer_address", addresses.balancerPeer(host.number));
        add("ready_address", addresses.balancerReady(host.number));
        break;
    case Role::Agent:
        addHostName(addresses.agentRelay(host.number));
        add("relay_address", addresses.agentRelay(host.number));
        add("caller_address", addresses.agentRelay(host.number));
        add("server_output", addresses.agentServerOutput(host.number));
        add("server_input", addresses.server(host.number));
        text += fmt::format("service = \"{}\"\n", serviceOfServer(host.number));
        add("ready_address", addresses.agentReady(host.number));
        add("announce_address", addresses.agentAnnounce(host.number));
        text += "announce_interval_ms = 500\n";
        break;
    }
    return text;
}

void Deployment::writeSettings(const DeployedHost &host, bool isFirstStart) const
{
    std::ofstream(settingsFileOf(host)) << settingsText(host, isFirstStart);
}

Result<void> Deployment::startAll()
{
    for (DeployedHost &host : m_hosts) {
        writeSettings(host, true);
        BOOST_LEAF_CHECK(start(host));
    }
    return {};
}

Result<void> Deployment::start(DeployedHost &host)
{
    const std::filesystem::path program = m_options.programs / fmt::format("jjq-platform-{}", roleNames.name(host.role));
    const std::vector<std::string> arguments{program.string(), "--settings", settingsFileOf(host).string()};
    BOOST_LEAF_ASSIGN(host.process, ChildProcess::start(arguments, m_options.directory / (host.name + ".log")));
    host.isExitExpected = false;
    host.isPaused = false;
    return {};
}

std::vector<DeployedHost> &Deployment::hosts()
{
    return m_hosts;
}

DeployedHost &Deployment::host(Role role, std::uint8_t number)
{
    return *std::find_if(m_hosts.begin(), m_hosts.end(), [&](const DeployedHost &host) {
        return host.role == role && host.number == number;
    });
}

TcpProxy &Deployment::proxy(std::uint8_t controlHost)
{
    return *m_proxies[controlHost - 1U];
}

void Deployment::kill(DeployedHost &host, Duration downTime)
{
    if (host.process) {
        host.process.reset();
        host.restartAt = m_clock.now() + downTime;
    }
}

void Deployment::stop(DeployedHost &host)
{
    if (host.process && !host.isPaused) {
        host.isExitExpected = true;
        host.process->signal(SIGTERM);
    }
}

void Deployment::pause(DeployedHost &host)
{
    if (host.process) {
        host.isPaused = true;
        host.process->signal(SIGSTOP);
    }
}

void Deployment::resume(DeployedHost &host)
{
    if (host.process && host.isPaused) {
        host.isPaused = false;
        host.process->signal(SIGCONT);
    }
}

void Deployment::killAndWipeDisk(DeployedHost &host, Duration downTime)
{
    kill(host, downTime);
    std::error_code ignored;
    std::filesystem::remove_all(dataDirectoryOf(host), ignored);
}

void Deployment::killAndTearLog(DeployedHost &host, Duration downTime, std::mt19937_64 &random)
{
    kill(host, downTime);
    std::error_code error;
    for (const auto &file : std::filesystem::directory_iterator(dataDirectoryOf(host), error)) {
        if (file.path().filename().string().starts_with("log")) {
            std::ofstream log(file.path(), std::ios::binary | std::ios::app);
            for (std::uint64_t byte = 0; byte < 1 + random() % 64; ++byte) {
                log.put(static_cast<char>(random()));
            }
        }
    }
}

void Deployment::reload(DeployedHost &host)
{
    writeSettings(host, false);
    if (host.process) {
        host.process->signal(SIGHUP);
    }
}

Result<void> Deployment::restartEndedProcesses()
{
    for (DeployedHost &host : m_hosts) {
        if (host.process && host.process->hasEnded()) {
            if (!host.isExitExpected) {
                m_checker.recordUnexpectedExit(host.name);
            }
            host.process.reset();
            host.restartAt = m_clock.now() + restartDelay;
        }
        if (!host.process && m_clock.now() >= host.restartAt) {
            writeSettings(host, false);
            BOOST_LEAF_CHECK(start(host));
        }
    }
    return {};
}

}
