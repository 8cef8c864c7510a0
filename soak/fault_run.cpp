#include "soak/fault_run.h"

#include "soak/fabric.h"
#include "soak/http_call.h"
#include "soak/stand_in_caller.h"
#include "soak/stand_in_server.h"

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
    KillHerd,
    PauseBalancer,
    PauseAgent,
    PauseControl,
    WipeControl,
    TearLog,
    CrashServer,
    DelayLink,
    SilenceLink,
    CutLink,
    ResetLinks,
};

constexpr std::size_t faultCount = 21;

constexpr NameTable<Fault, faultCount> faultNames{{{
    {Fault::StopBalancer, "stop-balancer"}, {Fault::StopAgent, "stop-agent"},
    {Fault::StopControl, "stop-control"},   {Fault::Reload, "reload"},
    {Fault::DrainServer, "drain-server"},   {Fault::ChangeRoutes, "change-routes"},
    {Fault::KillBalancer, "kill-balancer"}, {Fault::KillAgent, "kill-agent"},
    {Fault::KillControl, "kill-control"},   {Fault::KillAllControl, "kill-all-control"},
    {Fault::KillHerd, "kill-herd"},         {Fault::PauseBalancer, "pause-balancer"},
    {Fault::PauseAgent, "pause-agent"},     {Fault::PauseControl, "pause-control"},
    {Fault::WipeControl, "wipe-control"},   {Fault::TearLog, "tear-log"},
    {Fault::CrashServer, "crash-server"},   {Fault::DelayLink, "delay-link"},
    {Fault::SilenceLink, "silence-link"},   {Fault::CutLink, "cut-link"},
    {Fault::ResetLinks, "reset-links"},
}}};

/// The first ones are planned work, which may break no flow.
bool isPlanned(Fault fault)
{
    return fault <= Fault::ChangeRoutes;
}

constexpr auto tendInterval = milliseconds(50);
constexpr auto readInterval = milliseconds(300);
constexpr auto callTimeout = seconds(1);
/// A group of control hosts forms and all servers are known within this time.
constexpr auto startTime = seconds(5);
/// Quiet time after the faults: recovery, and then a time in which service is measured.
constexpr auto recoverTime = seconds(8);
constexpr auto measureTime = seconds(4);
/// A server that drains ends this long after it has said so.
constexpr auto drainTime = seconds(2);
constexpr unsigned longestEndMs = 1500;
/// At most so many redirections are followed.
constexpr unsigned maxRedirections = 2;
/// The next disk may be lost only once the group has taken the last one in again.
constexpr auto betweenWipes = seconds(8);

/// One run: the deployment, its stand-ins, and the events to come.
class FaultRun
{
public:
    explicit FaultRun(const FaultRunOptions &options)
        : m_options(options)
        , m_faultRandom(options.seed)
        , m_random(options.seed + 1)
        , m_ledger(m_clock)
        , m_fabric(m_context, options.deployment.addresses, options.deployment.balancers, m_random)
        , m_tendTimer(m_context,
                      tendInterval,
                      [this] {
                          tend();
                      })
        , m_readTimer(m_context, readInterval, [this] {
            readBack();
        })
    {
    }

    Result<FaultRunReport> run()
    {
        m_onlyFault = faultNames.value(m_options.onlyFault);
        if (!m_options.onlyFault.empty() && !m_onlyFault) {
            return fail(ResultCode::BadCommandLine, fmt::format("\"{}\" is not a kind of fault", m_options.onlyFault));
        }
        BOOST_LEAF_ASSIGN(m_deployment, Deployment::create(m_context, m_options.deployment, m_clock, m_ledger));
        BOOST_LEAF_CHECK(m_deployment->startAll());
        createStandIns();
        m_tendTimer.start();
        m_readTimer.start();
        m_fabric.start();
        for (auto &server : m_servers) {
            server.start();
        }
        changeRoutes();
        after(startTime, [this] {
            for (auto &caller : m_callers) {
                caller.start();
            }
            scheduleFault();
        });
        const auto faultsEnd = startTime + m_options.faultTime;
        after(faultsEnd + recoverTime, [this] {
            m_ledger.startQuietTime();
        });
        after(faultsEnd + recoverTime + measureTime, [this] {
            m_ledger.endQuietTime();
            m_context.stop();
        });
        m_faultsEndAt = m_clock.now() + faultsEnd;
        m_context.run();
        if (m_failure) {
            return fail(m_failure->code, m_failure->detail);
        }
        return FaultRunReport{m_ledger.counts(), m_faults, m_ledger.violations()};
    }

private:
    const Addresses &addresses() const
    {
        return m_options.deployment.addresses;
    }

    void createStandIns()
    {
        for (std::uint8_t number = 1; number <= m_options.deployment.agents; ++number) {
            m_servers.emplace_back(m_context, addresses(), number, number % 3 == 0 ? "vault" : "desk", m_random, m_ledger);
        }
        m_routes = {{addresses().route(443), "desk", true}, {addresses().route(8080), "desk", false}, {addresses().route(8443), "vault", true}};
        const auto isHeld = [this](const FlowTuple &ends) {
            return std::any_of(m_servers.begin(), m_servers.end(), [&ends](const StandInServer &server) {
                return server.holds(ends);
            });
        };
        for (std::uint8_t number = 1; number <= m_options.callers; ++number) {
            CallerPlan plan{addresses().caller(number), m_routes, m_options.flowsOfCaller};
            m_callers.emplace_back(m_context, std::move(plan), m_clock, m_fabric, m_ledger, m_random, isHeld);
        }
    }

    void after(Duration time, std::function<void()> action)
    {
        const auto timer = std::make_shared<asio::steady_timer>(m_context, time);
        timer->async_wait([timer, action = std::move(action)](const asio::error_code &error) {
            if (!error) {
                action();
            }
        });
    }

    void tend()
    {
        if (m_openFaults > 0) {
            m_ledger.unplannedFault();
        }
        handleFailure(
            [this] {
                return m_deployment->tend();
            },
            [this](const Failure &failure) {
                m_failure = failure;
                m_context.stop();
            });
    }

    // ---- Operators ----

    /// Adds a route that no caller uses, under a higher version, and sends the change until it is accepted.
    void changeRoutes()
    {
        m_version += 1 + m_faultRandom() % 3;
        std::vector<Platform::StubRoute> routes = m_routes;
        routes.push_back({addresses().route(static_cast<std::uint16_t>(9000 + m_version)), "vault", true});
        for (const Platform::StubRoute &route : routes) {
            m_ledger.allow(route.address, route.service);
        }
        sendChange(m_version, Platform::replaceConfigurationRequest(m_version, routes), addresses().controlOperator(anyControlHost()), 0);
    }

    std::uint8_t anyControlHost()
    {
        return static_cast<std::uint8_t>(1 + m_random() % m_options.deployment.controlHosts);
    }

    void sendChange(std::uint64_t version, const Platform::HttpRequest &call, const HostAddress &host, unsigned redirections)
    {
        sendCall(m_context, host, call, callTimeout, [this, version, call, redirections](const HttpAnswer &answer) {
            if (answer.status == 200) {
                m_ledger.accepted(version);
                return;
            }
            const auto redirected = answer.status == 307 && redirections < maxRedirections ? redirectedHost(answer.location) : std::nullopt;
            if (redirected) {
                sendChange(version, call, *redirected, redirections + 1);
                return;
            }
            after(milliseconds(200), [this, version, call] {
                sendChange(version, call, addresses().controlOperator(anyControlHost()), 0);
            });
        });
    }

    /// "http://127.77.1.2:8166/path"
    static std::optional<HostAddress> redirectedHost(const std::string &location)
    {
        constexpr std::string_view scheme = "http://";
        if (!location.starts_with(scheme)) {
            return std::nullopt;
        }
        return parseHostAddress(location.substr(scheme.size(), location.find('/', scheme.size()) - scheme.size()));
    }

    void readBack()
    {
        const TimePoint sentAt = m_clock.now();
        sendCall(m_context,
                 addresses().controlOperator(anyControlHost()),
                 Platform::fetchConfigurationRequest(),
                 callTimeout,
                 [this, sentAt](const HttpAnswer &answer) {
                     if (answer.status == 200) {
                         m_ledger.readBack(sentAt, Platform::configurationVersion(answer.body));
                     }
                 });
    }

    // ---- Faults ----

    void scheduleFault()
    {
        after(milliseconds(200 + m_faultRandom() % 1200), [this] {
            if (m_clock.now() < m_faultsEndAt) {
                inject(m_onlyFault ? *m_onlyFault : static_cast<Fault>(m_faultRandom() % faultCount));
                scheduleFault();
            }
        });
    }

    DeployedHost &anyHost(Role role)
    {
        const auto &deployment = m_options.deployment;
        const std::uint8_t count = role == Role::Control ? deployment.controlHosts : (role == Role::Balancer ? deployment.balancers : deployment.agents);
        return m_deployment->host(role, static_cast<std::uint8_t>(1 + m_faultRandom() % count));
    }

    Duration faultDuration()
    {
        return milliseconds(100 + m_faultRandom() % 2500);
    }

    /// Keeps the time until `end` as disturbed.
    void disturb(Duration duration, std::function<void()> end)
    {
        ++m_openFaults;
        after(duration, [this, end = std::move(end)] {
            end();
            m_ledger.unplannedFault();
            --m_openFaults;
        });
    }

    void inject(Fault fault)
    {
        ++m_faults;
        const Duration duration = faultDuration();
        if (m_options.showsFaults) {
            fmt::print("{} ms: {} for {} ms\n",
                       std::chrono::duration_cast<milliseconds>(m_clock.now() - m_startedAt).count(),
                       faultNames.name(fault),
                       std::chrono::duration_cast<milliseconds>(duration).count());
            std::fflush(stdout);
        }
        if (!isPlanned(fault)) {
            m_ledger.unplannedFault();
        }
        begin(fault, duration);
    }

    void killFor(DeployedHost &host, Duration duration)
    {
        m_deployment->kill(host, duration);
        disturb(duration, [] {});
    }

    void pauseFor(DeployedHost &host, Duration duration)
    {
        m_deployment->pause(host);
        disturb(duration, [this, &host] {
            m_deployment->resume(host);
        });
    }

    void harmLink(LinkFault fault, Duration duration)
    {
        TcpProxy &proxy = m_deployment->proxy(anyHost(Role::Control).number);
        proxy.setFault(fault, milliseconds(20 + m_faultRandom() % 200));
        disturb(duration, [&proxy] {
            proxy.setFault(LinkFault::None);
        });
    }

    void begin(Fault fault, Duration duration)
    {
        switch (fault) {
        case Fault::StopBalancer:
            return m_deployment->stop(anyHost(Role::Balancer));
        case Fault::StopAgent:
            return m_deployment->stop(anyHost(Role::Agent));
        case Fault::StopControl:
            return m_deployment->stop(anyHost(Role::Control));
        case Fault::Reload:
            return m_deployment->reload(anyHost(static_cast<Role>(m_faultRandom() % 3)));
        case Fault::DrainServer:
            return drainServer();
        case Fault::ChangeRoutes:
            return changeRoutes();
        case Fault::KillBalancer:
            return killFor(anyHost(Role::Balancer), duration);
        case Fault::KillAgent:
            return killFor(anyHost(Role::Agent), duration);
        case Fault::KillControl:
            return killFor(anyHost(Role::Control), duration);
        case Fault::KillAllControl:
            for (std::uint8_t number = 1; number <= m_options.deployment.controlHosts; ++number) {
                killFor(m_deployment->host(Role::Control, number), milliseconds(m_faultRandom() % 800));
            }
            return;
        case Fault::KillHerd:
            for (DeployedHost &host : m_deployment->hosts()) {
                if (m_faultRandom() % 2 == 0) {
                    killFor(host, duration);
                }
            }
            return;
        case Fault::PauseBalancer:
            return pauseFor(anyHost(Role::Balancer), duration);
        case Fault::PauseAgent:
            return pauseFor(anyHost(Role::Agent), duration);
        case Fault::PauseControl:
            return pauseFor(anyHost(Role::Control), duration);
        case Fault::WipeControl:
            if (m_clock.now() >= m_nextWipeAt) {
                m_nextWipeAt = m_clock.now() + duration + betweenWipes;
                m_deployment->wipe(anyHost(Role::Control), duration);
                disturb(duration, [] {});
            }
            return;
        case Fault::TearLog:
            m_deployment->tearLog(anyHost(Role::Control), duration, m_faultRandom);
            return disturb(duration, [] {});
        case Fault::CrashServer:
            return crashServer(duration);
        case Fault::DelayLink:
            return harmLink(LinkFault::Delayed, duration);
        case Fault::SilenceLink:
            return harmLink(LinkFault::Silent, duration);
        case Fault::CutLink:
            return harmLink(LinkFault::CutTowardsTarget, duration);
        case Fault::ResetLinks:
            return m_deployment->proxy(anyHost(Role::Control).number).reset();
        }
    }

    void drainServer()
    {
        StandInServer &server = m_servers[m_faultRandom() % m_servers.size()];
        server.drain();
        after(drainTime, [this, &server] {
            server.leave();
            // A server whose call got no answer in time may live on for a while.
            after(milliseconds(m_faultRandom() % longestEndMs), [this, &server] {
                server.end();
                after(milliseconds(500), [&server] {
                    if (!server.isRunning()) {
                        server.start();
                    }
                });
            });
        });
    }

    void crashServer(Duration duration)
    {
        StandInServer &server = m_servers[m_faultRandom() % m_servers.size()];
        server.end();
        disturb(duration, [&server] {
            if (!server.isRunning()) {
                server.start();
            }
        });
    }

    const FaultRunOptions m_options;
    SteadyClock m_clock;
    const TimePoint m_startedAt = m_clock.now();
    std::mt19937_64 m_faultRandom; ///< of the faults alone, so that a seed gives the same ones whatever the traffic does
    std::mt19937_64 m_random;
    asio::io_context m_context{1};
    Ledger m_ledger;
    Fabric m_fabric;
    PeriodicTimer m_tendTimer;
    PeriodicTimer m_readTimer;
    std::unique_ptr<Deployment> m_deployment;
    std::deque<StandInServer> m_servers;
    std::deque<StandInCaller> m_callers;
    std::vector<Platform::StubRoute> m_routes;
    std::uint64_t m_version = 0;
    std::size_t m_faults = 0;
    unsigned m_openFaults = 0;
    TimePoint m_faultsEndAt{};
    TimePoint m_nextWipeAt{};
    std::optional<Fault> m_onlyFault;
    std::optional<Failure> m_failure;
};

}

Result<FaultRunReport> runWithFaults(const FaultRunOptions &options)
{
    return FaultRun(options).run();
}

}
