#include <fmt/format.h>

#include "steering_random_run.h"
#include "steering_test_support.h"

namespace Jujubequay::SteeringTest {

namespace {

constexpr std::size_t maxDeregistered = 64;
constexpr auto heartbeatDelay = std::chrono::milliseconds(5);
/// The address of a server is not used for another service before.
constexpr auto reuseTime = std::chrono::seconds(2);

}

// Registry and routes

void SteeringRandomRun::announceToRegistry(std::size_t index)
{
    const Agent &agent = m_agents[index];
    if (!agent.applied) {
        return;
    }
    ServerSnapshot entry;
    entry.name = toString(agent.address);
    entry.service = agent.announced ? agent.announced->service : agent.service;
    entry.relayAddress = agent.address;
    entry.incarnation = agent.applied->incarnation;
    entry.state = agent.applied->acceptsNewFlows ? ServerAvailability::Serving : ServerAvailability::Draining;
    entry.agentEpoch = agent.epoch;
    entry.zone = agent.zone;
    after(Milliseconds(1), [this, entry, index] {
        const Agent &agent = m_agents[index];
        if (agent.applied && agent.applied->incarnation == entry.incarnation) {
            m_registry[entry.relayAddress] = entry;
            publish();
        }
    });
}

void SteeringRandomRun::publish()
{
    while (m_deregistered.size() > maxDeregistered) {
        m_deregistered.erase(m_deregistered.begin());
    }
    for (const Agent &agent : m_agents) {
        publishTo(agent.address, false);
    }
    for (const Balancer &balancer : m_balancers) {
        publishTo(balancer.address, false);
    }
}

void SteeringRandomRun::publishTo(const HostAddress &host, bool isCertain)
{
    if (!isCertain && chance(0.05)) {
        m_stalledWatchers.insert(host);
        return;
    }
    m_stalledWatchers.erase(host);
    ConfigSnapshot snapshot;
    snapshot.routes = std::make_shared<RouteTable>(m_routes);
    for (const auto &entry : m_registry) {
        snapshot.servers.push_back(entry.second);
    }
    snapshot.deregisteredServers = m_deregistered;
    snapshot.hasRegistry = true;
    snapshot.isRegistryComplete = m_isRegistryComplete;
    TimePoint &last = m_lastPublishedTo[host];
    last = std::max(last, m_now + Milliseconds(5 + random(chance(0.05) ? 2500 : 80)));
    after(last - m_now, [this, host, snapshot] {
        for (Balancer &balancer : m_balancers) {
            if (balancer.address == host && balancer.steering) {
                balancer.steering->update(m_now, snapshot);
                for (const auto &[queuedAt, packet] : std::exchange(balancer.startupQueue, {})) {
                    if (m_now - queuedAt <= Milliseconds(600)) {
                        handleAtBalancer(balancer, packet);
                    }
                }
            }
        }
        const auto index = agentAt(host);
        if (index && m_agents[*index].steering) {
            m_agents[*index].steering->update(m_now, snapshot);
            m_agents[*index].steering->confirmServerList(m_now);
            m_agents[*index].steering->resendNotices(m_now, m_notices);
            sendNotices(*index);
        }
    });
}

// A control host confirms the list only if it has sent all changes before.
void SteeringRandomRun::sendHeartbeats()
{
    for (std::size_t index = 0; index < m_agents.size(); ++index) {
        const HostAddress host = m_agents[index].address;
        if (m_stalledWatchers.contains(host)) {
            continue;
        }
        TimePoint &last = m_lastPublishedTo[host];
        last = std::max(last, m_now + heartbeatDelay);
        after(last - m_now, [this, index] {
            if (m_agents[index].steering) {
                m_agents[index].steering->confirmServerList(m_now);
            }
        });
    }
}

void SteeringRandomRun::setRoute(const HostAddress &address, const std::vector<std::string> &services)
{
    m_routes.set_version(m_routes.version() + 1);
    for (int index = 0; index < m_routes.routes_size(); ++index) {
        if (m_routes.routes(index).ip() == address.ip) {
            m_routes.mutable_routes()->DeleteSubrange(index, 1);
            break;
        }
    }
    if (services.empty()) {
        m_routeDroppedAt[address] = m_now;
        return;
    }
    jujubequay::pb::Route &route = *m_routes.add_routes();
    route.set_name(services.front() + toString(address));
    route.set_ip(address.ip);
    route.set_port(address.port);
    route.set_timeout_ms(3000);
    for (const std::string &service : services) {
        route.add_services()->set_service(service);
        route.mutable_services(route.services_size() - 1)->set_weight(1);
        m_servicesEver[address].insert(service);
    }
}

// Events

void SteeringRandomRun::startEvent()
{
    const std::uint32_t kind = random(m_options.hasFaults ? 16 : 12);
    switch (kind) {
    case 0:
    case 1:
        return release();
    case 2:
    case 3:
        if (const auto agent = unusedAgent(true)) {
            replaceInPlace(*agent, Milliseconds(50 + random(2000)));
        }
        return;
    case 4:
    case 5:
    case 6:
        return restartAgent(random(static_cast<std::uint32_t>(m_agents.size())));
    case 7:
    case 8:
        return restartBalancer();
    case 9:
        return changeRoute();
    case 10:
        return chance(0.5) ? drainService() : changeRoute();
    case 11:
        return restartControlHosts();
    case 12:
    case 13:
        return crashServer();
    case 14:
        return crashMachine();
    default:
        return loseNotices();
    }
}

std::optional<std::size_t> SteeringRandomRun::unusedAgent(bool hasServer)
{
    std::vector<std::size_t> candidates;
    for (std::size_t index = 0; index < m_agents.size(); ++index) {
        if (!m_agents[index].isInUse && m_agents[index].steering && (m_agents[index].server != nullptr) == hasServer) {
            candidates.push_back(index);
        }
    }
    return candidates.empty() ? std::nullopt : std::optional(candidates[random(static_cast<std::uint32_t>(candidates.size()))]);
}

// The server drains, deregisters once its agent has answered and ends; without an answer it ends some seconds later.
void SteeringRandomRun::leave(std::size_t index, const Action &onEnd)
{
    m_agents[index].isInUse = true;
    const auto server = m_agents[index].server;
    server->isDraining = true;
    logEvent(fmt::format("server {} of agent {} drains", server->incarnation.value, index));
    if (m_agents[index].steering) {
        handleAnnouncement(index, *server);
    }
    after(Milliseconds(3000 + random(chance(0.3) ? 6000 : 1000)), [this, index, server, onEnd] {
        Agent &agent = m_agents[index];
        if (agent.server != server) {
            agent.isInUse = false;
            return;
        }
        const bool isAnswered = agent.steering && agent.announced && agent.announced->incarnation == server->incarnation && chance(0.95);
        const bool isReceived = isAnswered || (agent.steering && agent.announced && agent.announced->incarnation == server->incarnation && chance(0.5));
        logEvent(fmt::format("server {} of agent {} deregisters, received {} answered {}", server->incarnation.value, index, isReceived, isAnswered));
        if (isReceived) {
            agent.announced->hasDeparted = true;
            applyServer(index, false);
        }
        after(isAnswered ? Milliseconds(random(50)) : Milliseconds(1000 + random(2000)), [this, index, server, onEnd] {
            if (m_agents[index].server == server) {
                m_agents[index].server.reset();
                m_agents[index].serverEndedAt = m_now;
                logEvent(fmt::format("server {} of agent {} ends", server->incarnation.value, index));
                after(Milliseconds(random(100)), [this, index] {
                    if (!m_agents[index].server) {
                        handleServerEnd(index);
                    }
                });
            }
            onEnd();
        });
    });
}

void SteeringRandomRun::replaceInPlace(std::size_t index, Duration pause)
{
    const std::string service = m_agents[index].server->service;
    leave(index, [this, index, pause, service] {
        after(pause + Milliseconds(150), [this, index, service] {
            if (!m_agents[index].server) {
                startServer(index, service);
            }
            m_agents[index].isInUse = false;
        });
    });
}

void SteeringRandomRun::release()
{
    const auto previous = unusedAgent(true);
    const auto next = unusedAgent(false);
    if (previous && next && m_now - m_agents[*next].serverEndedAt > reuseTime) {
        startServer(*next, m_agents[*previous].server->service);
        leave(*previous, [this, index = *previous] {
            m_agents[index].isInUse = false;
        });
    }
}

void SteeringRandomRun::restartAgent(std::size_t index)
{
    Agent &agent = m_agents[index];
    if (!agent.steering) {
        return;
    }
    logEvent(fmt::format("agent {} stops", index));
    if (!agent.server) {
        handleServerEnd(index);
    }
    agent.disturbedAt = m_now;
    after(Milliseconds(300), [this, index] {
        Agent &agent = m_agents[index];
        if (!agent.steering) {
            return;
        }
        agent.steering.reset();
        after(Milliseconds(50 + random(800)), [this, index] {
            if (!m_agents[index].steering) {
                startAgent(index);
            }
        });
    });
}

void SteeringRandomRun::restartBalancer()
{
    const std::size_t index = random(static_cast<std::uint32_t>(m_balancers.size()));
    Balancer &balancer = m_balancers[index];
    if (balancer.isInUse) {
        return;
    }
    balancer.isInUse = true;
    logEvent(fmt::format("balancer {} restarts", index));
    after(Milliseconds(random(1000)), [this, index] {
        m_balancers[index].isInRotation = false;
    });
    after(Milliseconds(1000), [this, index] {
        m_balancers[index].steering.reset();
    });
    after(Milliseconds(1100 + random(2000)), [this, index] {
        startBalancer(index);
        after(Milliseconds(random(3000)), [this, index] {
            m_balancers[index].isInRotation = m_balancers[index].isInUse = true;
            m_balancers[index].isInUse = false;
        });
    });
}

void SteeringRandomRun::changeRoute()
{
    const HostAddress address = chance(0.5) ? feedAddress : vaultAddress;
    const std::string own = address == feedAddress ? "feed" : "vault";
    const std::string other = address == feedAddress ? "vault" : "feed";
    const std::uint32_t kind = random(5);
    logEvent(fmt::format("route {} changes, kind {}", own, kind));
    if (kind == 0) {
        setRoute(address, {other});
    } else if (kind == 1) {
        setRoute(address, {own, other});
    } else if (kind == 2 && chance(0.5)) {
        setRoute(address, {});
        after(Milliseconds(500 + random(3000)), [this, address, own] {
            setRoute(address, {own});
            publish();
        });
    } else if (kind == 3) {
        setRoute(address, {own});
    } else {
        m_routes.set_version(m_routes.version() + 1);
    }
    publish();
}

void SteeringRandomRun::drainService()
{
    const std::string service = chance(0.5) ? "feed" : "vault";
    for (std::size_t index = 0; index < m_agents.size(); ++index) {
        const Agent &agent = m_agents[index];
        if (!agent.isInUse && agent.server && agent.server->service == service) {
            replaceInPlace(index, Milliseconds(random(500)));
        }
    }
}

void SteeringRandomRun::restartControlHosts()
{
    logEvent("the control hosts restart");
    m_registry.clear();
    m_deregistered.clear();
    m_isRegistryComplete = false;
    const std::uint64_t start = ++m_controlHostStarts;
    publish();
    for (std::size_t index = 0; index < m_agents.size(); ++index) {
        after(Milliseconds(50 + random(1500)), [this, index] {
            announceToRegistry(index);
        });
    }
    after(Milliseconds(2000 + random(1000)), [this, start] {
        if (m_controlHostStarts == start) {
            m_isRegistryComplete = true;
            publish();
        }
    });
}

void SteeringRandomRun::crashServer()
{
    const auto index = unusedAgent(true);
    if (!index) {
        return;
    }
    const auto server = std::exchange(m_agents[*index].server, nullptr);
    m_agents[*index].disturbedAt = m_now;
    m_agents[*index].isInUse = true;
    logEvent(fmt::format("server {} of agent {} crashes", server->incarnation.value, *index));
    after(Milliseconds(100 + random(3000)), [this, index, service = server->service] {
        m_agents[*index].isInUse = false;
        startServer(*index, service);
    });
}

void SteeringRandomRun::crashMachine()
{
    const auto index = unusedAgent(true);
    if (!index) {
        return;
    }
    logEvent(fmt::format("the machine of agent {} crashes", *index));
    const auto server = std::exchange(m_agents[*index].server, nullptr);
    m_agents[*index].steering.reset();
    m_agents[*index].isInUse = true;
    after(Milliseconds(500 + random(3000)), [this, index, service = server->service] {
        m_agents[*index].isInUse = false;
        const bool isServerFirst = chance(0.5);
        if (isServerFirst) {
            startServer(*index, service);
        }
        after(Milliseconds(random(300)), [this, index, service, isServerFirst] {
            startAgent(*index);
            if (!isServerFirst) {
                startServer(*index, service);
            }
        });
    });
}

void SteeringRandomRun::loseNotices()
{
    const double before = std::exchange(m_noticeLoss, 0.8);
    logEvent("notices get lost");
    after(Milliseconds(3000), [this, before] {
        m_noticeLoss = before;
    });
}

}
