#include "soak/fault_run.h"

#include "soak/caller_stub.h"
#include "soak/ecmp_router_stub.h"
#include "soak/http_client.h"
#include "soak/server_stub.h"

#include <jujubequay/core/name_table.h>

#include <fmt/format.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <deque>
#include <functional>

namespace Jujubequay::Soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class Fault : std::uint8_t {
    StopBalancer,
    StopAgent,
    StopControl,
    Reload,
    DrainServer,
    ChangeRoutes,
    KillBalancer,
    KillAgent,
    KillControl,
    KillAllControl,
    KillRandomHosts,
    PauseBalancer,
    PauseAgent,
    PauseControl,
    WipeControl,
    TearLog,
    CrashServer,
    DelayLink,
    BlockLink,
    BlockLinkOneWay,
    ResetLinks,
};

constexpr std::size_t faultCount = 21;

constexpr NameTable<Fault, faultCount> faultNames{{{
    {Fault::StopBalancer, "stop-balancer"}, {Fault::StopAgent, "stop-agent"},
    {Fault::StopControl, "stop-control"},   {Fault::Reload, "reload"},
    {Fault::DrainServer, "drain-server"},   {Fault::ChangeRoutes, "change-routes"},
    {Fault::KillBalancer, "kill-balancer"}, {Fault::KillAgent, "kill-agent"},
    {Fault::KillControl, "kill-control"},   {Fault::KillAllControl, "kill-all-control"},
    {Fault::KillRandomHosts, "kill-herd"},  {Fault::PauseBalancer, "pause-balancer"},
    {Fault::PauseAgent, "pause-agent"},     {Fault::PauseControl, "pause-control"},
    {Fault::WipeControl, "wipe-control"},   {Fault::TearLog, "tear-log"},
    {Fault::CrashServer, "crash-server"},   {Fault::DelayLink, "delay-link"},
    {Fault::BlockLink, "silence-link"},     {Fault::BlockLinkOneWay, "cut-link"},
    {Fault::ResetLinks, "reset-links"},
}}};

/// Planned work must not break any flow; the enumerators of planned work come first.
bool isPlanned(Fault fault)
{
    return fault <= Fault::ChangeRoutes;
}

constexpr auto processCheckInterval = milliseconds(50);
constexpr auto fetchInterval = milliseconds(300);
constexpr auto httpTimeout = seconds(1);
/// Time after the start until the control hosts have elected a leader and all servers are registered.
constexpr auto startupTime = seconds(5);
/// Fault-free time at the end of a run: first for recovery, then to measure the share of answered requests.
constexpr auto settlingTime = seconds(8);
constexpr auto measurementTime = seconds(4);
/// Time between the start of draining and the deregistration of a server.
constexpr auto drainTime = seconds(2);
/// Longest time from the deregistration of a server to its stop.
constexpr unsigned maxStopDelayMs = 1500;
/// Number of HTTP redirects to follow.
constexpr unsigned maxRedirections = 2;
/// Time for the control hosts to restore the redundancy of the log after a disk was wiped.
constexpr auto minWipeInterval = seconds(8);

/// One run: the deployment, stubs of its callers, servers and operators, and the timers of the faults.
class FaultRun
{
public:
    explicit FaultRun(const FaultRunOptions &options)
        : m_options(options)
        , m_faultRandom(options.seed)
        , m_random(options.seed + 1)
        , m_checker(m_clock)
        , m_router(m_context, options.deployment.addresses, options.deployment.balancers, m_random)
        , m_processCheckTimer(m_context,
                              processCheckInterval,
                              [this] {
                                  checkProcesses();
                              })
        , m_fetchTimer(m_context, fetchInterval, [this] {
            fetchConfiguration();
        })
    {
    }

    Result<FaultRunReport> run()
    {
        m_onlyFault = faultNames.value(m_options.onlyFault);
        if (!m_options.onlyFault.empty() && !m_onlyFault) {
            return fail(ResultCode::BadCommandLine, fmt::format("\"{}\" is not a kind of fault", m_options.onlyFault));
        }
        BOOST_LEAF_ASSIGN(m_deployment, Deployment::create(m_context, m_options.deployment, m_clock, m_checker));
        BOOST_LEAF_CHECK(m_deployment->startAll());
        createStubs();
        m_processCheckTimer.start();
        m_fetchTimer.start();
        m_router.start();
        for (auto &server : m_servers) {
            server.start();
        }
        changeRoutes();
        runAfter(startupTime, [this] {
            for (auto &caller : m_callers) {
                caller.start();
            }
            scheduleNextFault();
        });
        const auto faultsEnd = startupTime + m_options.faultTime;
        runAfter(faultsEnd + settlingTime, [this] {
            m_checker.startFaultFreePeriod();
        });
        runAfter(faultsEnd + settlingTime + measurementTime, [this] {
            m_checker.endFaultFreePeriod();
            m_context.stop();
        });
        m_faultsEndAt = m_clock.now() + faultsEnd;
        m_context.run();
        if (m_failure) {
            return fail(m_failure->code, m_failure->detail);
        }
        return FaultRunReport{m_checker.counts(), m_injectedFaults, m_checker.violations()};
    }

private:
    const Addresses &addresses() const
    {
        return m_options.deployment.addresses;
    }

    void createStubs()
    {
        for (std::uint8_t number = 1; number <= m_options.deployment.agents; ++number) {
            m_servers.emplace_back(m_context, addresses(), number, serviceOfServer(number), m_random, m_checker);
        }
        m_routes = {{addresses().route(443), "desk", true}, {addresses().route(8080), "desk", false}, {addresses().route(8443), "vault", true}};
        const auto isOpenAtServer = [this](const FlowTuple &tuple) {
            return std::any_of(m_servers.begin(), m_servers.end(), [&tuple](const ServerStub &server) {
                return server.hasOpenFlow(tuple);
            });
        };
        for (std::uint8_t number = 1; number <= m_options.callers; ++number) {
            CallerOptions callerOptions{addresses().caller(number), m_routes, m_options.flowsPerCaller};
            m_callers.emplace_back(m_context, std::move(callerOptions), m_clock, m_router, m_checker, m_random, isOpenAtServer);
        }
    }

    void runAfter(Duration delay, std::function<void()> action)
    {
        const auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
        timer->async_wait([timer, action = std::move(action)](const asio::error_code &error) {
            if (!error) {
                action();
            }
        });
    }

    void checkProcesses()
    {
        if (m_activeFaults > 0) {
            m_checker.recordUnplannedFault();
        }
        handleFailure(
            [this] {
                return m_deployment->restartEndedProcesses();
            },
            [this](const Failure &failure) {
                m_failure = failure;
                m_context.stop();
            });
    }

    // Operators

    /// Sends a configuration with a higher version and one more route, which no caller uses. Repeats the request until it is accepted.
    void changeRoutes()
    {
        m_version += 1 + m_faultRandom() % 3;
        std::vector<Platform::StubRoute> routes = m_routes;
        routes.push_back({addresses().route(static_cast<std::uint16_t>(9000 + m_version)), "vault", true});
        for (const Platform::StubRoute &route : routes) {
            m_checker.allowService(route.address, route.service);
        }
        sendChange(m_version, Platform::replaceConfigurationRequest(m_version, routes), addresses().controlOperator(randomControlHost()), 0);
    }

    std::uint8_t randomControlHost()
    {
        return static_cast<std::uint8_t>(1 + m_random() % m_options.deployment.controlHosts);
    }

    void sendChange(std::uint64_t version, const Platform::HttpRequest &request, const HostAddress &host, unsigned redirections)
    {
        sendHttpRequest(m_context, host, request, httpTimeout, [this, version, request, redirections](const HttpResponse &response) {
            if (response.status == 200) {
                m_checker.recordAcceptedVersion(version);
                return;
            }
            const auto target = response.status == 307 && redirections < maxRedirections ? redirectTarget(response.location) : std::nullopt;
            if (target) {
                sendChange(version, request, *target, redirections + 1);
                return;
            }
            runAfter(milliseconds(200), [this, version, request] {
                sendChange(version, request, addresses().controlOperator(randomControlHost()), 0);
            });
        });
    }

    /// Returns the address in a URL such as "http://127.77.1.2:8166/path".
    static std::optional<HostAddress> redirectTarget(const std::string &location)
    {
        constexpr std::string_view scheme = "http://";
        if (!location.starts_with(scheme)) {
            return std::nullopt;
        }
        return parseHostAddress(location.substr(scheme.size(), location.find('/', scheme.size()) - scheme.size()));
    }

    void fetchConfiguration()
    {
        const TimePoint sentAt = m_clock.now();
        sendHttpRequest(m_context,
                        addresses().controlOperator(randomControlHost()),
                        Platform::fetchConfigurationRequest(),
                        httpTimeout,
                        [this, sentAt](const HttpResponse &response) {
                            if (response.status == 200) {
                                m_checker.recordReadVersion(sentAt, Platform::configurationVersion(response.body));
                            }
                        });
    }

    // Faults

    void scheduleNextFault()
    {
        runAfter(milliseconds(200 + m_faultRandom() % 1200), [this] {
            if (m_clock.now() < m_faultsEndAt) {
                inject(m_onlyFault ? *m_onlyFault : static_cast<Fault>(m_faultRandom() % faultCount));
                scheduleNextFault();
            }
        });
    }

    DeployedHost &randomHost(Role role)
    {
        const auto &deployment = m_options.deployment;
        const std::uint8_t count = role == Role::Control ? deployment.controlHosts : (role == Role::Balancer ? deployment.balancers : deployment.agents);
        return m_deployment->host(role, static_cast<std::uint8_t>(1 + m_faultRandom() % count));
    }

    Duration faultDuration()
    {
        return milliseconds(100 + m_faultRandom() % 2500);
    }

    /// Calls `endFault` after `duration`. Until then the fault counts as active.
    void endFaultAfter(Duration duration, std::function<void()> endFault)
    {
        ++m_activeFaults;
        runAfter(duration, [this, endFault = std::move(endFault)] {
            endFault();
            m_checker.recordUnplannedFault();
            --m_activeFaults;
        });
    }

    void inject(Fault fault)
    {
        ++m_injectedFaults;
        const Duration duration = faultDuration();
        if (m_options.showsFaults) {
            fmt::print("{} ms: {} for {} ms\n",
                       std::chrono::duration_cast<milliseconds>(m_clock.now() - m_startedAt).count(),
                       faultNames.name(fault),
                       std::chrono::duration_cast<milliseconds>(duration).count());
            std::fflush(stdout);
        }
        if (!isPlanned(fault)) {
            m_checker.recordUnplannedFault();
        }
        startFault(fault, duration);
    }

    void killFor(DeployedHost &host, Duration duration)
    {
        m_deployment->kill(host, duration);
        endFaultAfter(duration, [] {});
    }

    void pauseFor(DeployedHost &host, Duration duration)
    {
        m_deployment->pause(host);
        endFaultAfter(duration, [this, &host] {
            m_deployment->resume(host);
        });
    }

    void disturbLink(LinkFault fault, Duration duration)
    {
        TcpProxy &proxy = m_deployment->proxy(randomHost(Role::Control).number);
        proxy.setFault(fault, milliseconds(20 + m_faultRandom() % 200));
        endFaultAfter(duration, [&proxy] {
            proxy.setFault(LinkFault::None);
        });
    }

    void startFault(Fault fault, Duration duration)
    {
        switch (fault) {
        case Fault::StopBalancer:
            return m_deployment->stop(randomHost(Role::Balancer));
        case Fault::StopAgent:
            return m_deployment->stop(randomHost(Role::Agent));
        case Fault::StopControl:
            return m_deployment->stop(randomHost(Role::Control));
        case Fault::Reload:
            return m_deployment->reload(randomHost(static_cast<Role>(m_faultRandom() % 3)));
        case Fault::DrainServer:
            return drainServer();
        case Fault::ChangeRoutes:
            return changeRoutes();
        case Fault::KillBalancer:
            return killFor(randomHost(Role::Balancer), duration);
        case Fault::KillAgent:
            return killFor(randomHost(Role::Agent), duration);
        case Fault::KillControl:
            return killFor(randomHost(Role::Control), duration);
        case Fault::KillAllControl:
            for (std::uint8_t number = 1; number <= m_options.deployment.controlHosts; ++number) {
                killFor(m_deployment->host(Role::Control, number), milliseconds(m_faultRandom() % 800));
            }
            return;
        case Fault::KillRandomHosts:
            for (DeployedHost &host : m_deployment->hosts()) {
                if (m_faultRandom() % 2 == 0) {
                    killFor(host, duration);
                }
            }
            return;
        case Fault::PauseBalancer:
            return pauseFor(randomHost(Role::Balancer), duration);
        case Fault::PauseAgent:
            return pauseFor(randomHost(Role::Agent), duration);
        case Fault::PauseControl:
            return pauseFor(randomHost(Role::Control), duration);
        case Fault::WipeControl:
            if (m_clock.now() >= m_nextWipeAt) {
                m_nextWipeAt = m_clock.now() + duration + minWipeInterval;
                m_deployment->killAndWipeDisk(randomHost(Role::Control), duration);
                endFaultAfter(duration, [] {});
            }
            return;
        case Fault::TearLog:
            m_deployment->killAndTearLog(randomHost(Role::Control), duration, m_faultRandom);
            return endFaultAfter(duration, [] {});
        case Fault::CrashServer:
            return crashServer(duration);
        case Fault::DelayLink:
            return disturbLink(LinkFault::Delayed, duration);
        case Fault::BlockLink:
            return disturbLink(LinkFault::Blocked, duration);
        case Fault::BlockLinkOneWay:
            return disturbLink(LinkFault::BlockedTowardsTarget, duration);
        case Fault::ResetLinks:
            return m_deployment->proxy(randomHost(Role::Control).number).resetConnections();
        }
    }

    void drainServer()
    {
        ServerStub &server = m_servers[m_faultRandom() % m_servers.size()];
        server.drain();
        runAfter(drainTime, [this, &server] {
            server.deregister();
            // A server whose deregistration got no response in time may continue to serve for a while.
            runAfter(milliseconds(m_faultRandom() % maxStopDelayMs), [this, &server] {
                server.stop();
                runAfter(milliseconds(500), [&server] {
                    if (!server.isRunning()) {
                        server.start();
                    }
                });
            });
        });
    }

    void crashServer(Duration duration)
    {
        ServerStub &server = m_servers[m_faultRandom() % m_servers.size()];
        server.stop();
        endFaultAfter(duration, [&server] {
            if (!server.isRunning()) {
                server.start();
            }
        });
    }

    const FaultRunOptions m_options;
    SteadyClock m_clock;
    const TimePoint m_startedAt = m_clock.now();
    std::mt19937_64 m_faultRandom; ///< only for faults, so that the faults of a seed do not depend on the traffic
    std::mt19937_64 m_random;
    asio::io_context m_context{1};
    GuaranteeChecker m_checker;
    EcmpRouterStub m_router;
    PeriodicTimer m_processCheckTimer;
    PeriodicTimer m_fetchTimer;
    std::unique_ptr<Deployment> m_deployment;
    std::deque<ServerStub> m_servers;
    std::deque<CallerStub> m_callers;
    std::vector<Platform::StubRoute> m_routes;
    std::uint64_t m_version = 0;
    std::size_t m_injectedFaults = 0;
    unsigned m_activeFaults = 0;
    TimePoint m_faultsEndAt{};
    TimePoint m_nextWipeAt{}; ///< no disk is wiped earlier
    std::optional<Fault> m_onlyFault;
    std::optional<Failure> m_failure; ///< ends the run without a report
};

}

Result<FaultRunReport> runWithFaults(const FaultRunOptions &options)
{
    return FaultRun(options).run();
}

}
