#include "policy_run.h"

#include <algorithm>

namespace Jujubequay::Bench {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t initialPacketBytes = 1250;
constexpr std::uint32_t keepAliveBytes = 90;
constexpr std::uint32_t maxFlowsPerServer = 2000;

std::uint64_t hash(std::uint64_t value)
{
    return std::mt19937_64(value)();
}

}

void PolicyRun::openFlow(int caller, bool feed, int reopenings, int invitedServer)
{
    const int flow = static_cast<int>(m_flows.size());
    m_flows.push_back({.key = m_random(), .caller = caller, .service = m_callers[caller].service, .feed = feed, .reopenings = reopenings});
    m_flows[flow].invitedServer = invitedServer;
    m_callers[caller].flows.push_back(flow);
    sendInitialPacket(flow);
    m_events.after(randomDuration(0s, 5s), [this, flow] {
        keepAlive(flow);
    });
}

void PolicyRun::sendInitialPacket(int flow)
{
    Flow &newFlow = m_flows[flow];
    const int balancer = m_policy.placement == Placement::RoundRobin ? trackingBalancer(newFlow.key) : randomBalancer();
    int first = -1;
    int second = -1;
    if (newFlow.invitedServer >= 0) {
        first = newFlow.invitedServer;
        newFlow.invitedServer = -1;
    } else if (m_policy.placement == Placement::Central) {
        first = serverWithFewestFlows(newFlow.service);
    } else {
        const PlacementChoice choice = choosePlacement(balancer, newFlow.service, newFlow.key);
        first = choice.first ? serverAt(choice.first->address) : -1;
        second = choice.second ? serverAt(choice.second->address) : -1;
    }
    if (first < 0) {
        m_events.after(1s, [this, flow] {
            sendInitialPacket(flow);
        });
        return;
    }
    newFlow.trackingBalancer = balancer;
    const Duration delay
        = m_network.toCaller(initialPacketBytes) + m_network.betweenZones(m_balancers[balancer].zone, m_servers[first].zone, initialPacketBytes);
    m_events.after(delay, [this, flow, first, second, balancer] {
        if (m_policy.loadOnOpen && second >= 0) {
            const auto load = m_balancers[balancer].serverLoads.find(second);
            if (load != m_balancers[balancer].serverLoads.end()) {
                m_servers[first].loadEstimates[second].recordReport(m_events.now(), load->second);
            }
        }
        receiveInitialPacket(flow, first, second, balancer, false);
    });
}

void PolicyRun::receiveInitialPacket(int flow, int server, int second, int balancer, bool isRedirected)
{
    Server &receiver = m_servers[server];
    const auto resend = [this, flow](Duration delay) {
        m_events.after(delay, [this, flow] {
            m_flows[flow].key = m_random();
            sendInitialPacket(flow);
        });
    };
    if (!receiver.alive) {
        resend(1s);
        return;
    }
    if (receiver.service != m_flows[flow].service) {
        if (m_policy.flowIdentifiers) {
            // The server rejects the packet as stale; the balancer fetches the configuration and the caller resends its Initial packet.
            m_events.after(10ms, [this, balancer] {
                refreshTables(balancer);
            });
            resend(100ms);
        } else {
            ++m_result.wrongServiceMessages;
            resend(1s);
        }
        return;
    }
    if (m_policy.redirect && !isRedirected && second >= 0 && redirectsTo(receiver, m_servers[second])) {
        receiver.loadEstimates[second].recordSent();
        const LoadReport load = reportedLoad(receiver);
        m_events.after(m_network.betweenZones(receiver.zone, m_servers[second].zone, initialPacketBytes), [this, flow, server, second, balancer, load] {
            m_servers[second].loadEstimates[server].recordReport(m_events.now(), load);
            receiveInitialPacket(flow, second, server, balancer, true);
        });
        return;
    }
    if (receiver.drainStartedAt || receiver.flows >= maxFlowsPerServer) {
        resend(200ms);
        return;
    }
    acceptFlow(flow, server, balancer);
}

bool PolicyRun::redirectsTo(const Server &first, const Server &second)
{
    const LoadEstimate &estimate = m_servers[first.index].loadEstimates[second.index];
    const TimePoint now = m_events.now();
    return shouldRedirect({.load = actualLoad(first), .rampProgress = rampProgress(first), .draining = first.drainStartedAt.has_value()},
                          {.flows = estimate.flows(now), .work = estimate.work(now), .rampProgress = estimate.rampProgress(now)},
                          {.slots = slots, .maxFlows = maxFlowsPerServer});
}

void PolicyRun::acceptFlow(int flow, int server, int balancer)
{
    Server &receiver = m_servers[server];
    ++receiver.flows;
    m_flows[flow].server = server;
    m_flows[flow].incarnation = receiver.incarnation;
    const LoadReport load = reportedLoad(receiver);
    const Duration delay = m_network.betweenZones(receiver.zone, m_balancers[balancer].zone, initialPacketBytes) + m_network.toCaller(initialPacketBytes);
    m_events.after(delay, [this, flow, server, balancer, load] {
        m_balancers[balancer].serverLoads[server] = load;
        m_flows[flow].estimate.recordReport(m_events.now(), load);
        confirmFlow(flow);
    });
}

void PolicyRun::confirmFlow(int flow)
{
    constexpr int maxReopenings = 3;
    Flow &confirmed = m_flows[flow];
    const Server &server = m_servers[confirmed.server];
    if (!server.alive || server.incarnation != confirmed.incarnation) {
        confirmed.open = true;
        breakFlow(flow, false);
        return;
    }
    confirmed.open = true;
    confirmed.openedAt = m_events.now();
    const auto hasSameServer = [&](int other) {
        return other != flow && m_flows[other].open && m_flows[other].server == confirmed.server;
    };
    // Two flows to the same server cannot balance requests. The caller detects them by the incarnation in the greeting.
    const std::vector<int> &flows = m_callers[confirmed.caller].flows;
    if (confirmed.reopenings < maxReopenings && std::any_of(flows.begin(), flows.end(), hasSameServer)) {
        closeFlow(flow);
        openFlow(confirmed.caller, m_flows[flow].feed, m_flows[flow].reopenings + 1);
        return;
    }
    if (server.drainStartedAt && m_policy.flowIdentifiers) {
        moveFlow(flow);
    }
}

void PolicyRun::closeFlow(int flow)
{
    Flow &closing = m_flows[flow];
    Server &server = m_servers[closing.server];
    if (closing.open && server.incarnation == closing.incarnation) {
        --server.flows;
    }
    closing.open = false;
    closing.closed = true;
    std::erase(m_callers[closing.caller].flows, flow);
}

void PolicyRun::breakFlow(int flow, bool planned)
{
    if (!m_flows[flow].open) {
        return;
    }
    ++(planned ? m_result.flowsBrokenPlanned : m_result.flowsBrokenUnplanned);
    closeFlow(flow);
    m_events.after(planned ? 50ms : 1s, [this, flow] {
        openFlow(m_flows[flow].caller, m_flows[flow].feed, 0);
    });
}

void PolicyRun::moveFlow(int flow, int invitedServer)
{
    if (!m_flows[flow].open || m_flows[flow].draining) {
        return;
    }
    m_flows[flow].draining = true;
    openFlow(m_flows[flow].caller, m_flows[flow].feed, 0, invitedServer);
}

void PolicyRun::keepAlive(int flow)
{
    if (m_flows[flow].closed) {
        return;
    }
    if (m_flows[flow].open) {
        const int balancer = randomBalancer();
        const Server &server = m_servers[m_flows[flow].server];
        m_network.betweenZones(m_balancers[balancer].zone, server.zone, keepAliveBytes);
        attachOtherServerLoad(balancer, server.index);
        m_balancers[balancer].serverLoads[server.index] = reportedLoad(server);
        if (!packetReachesFlow(flow, balancer)) {
            breakFlow(flow, m_lastChangePlanned);
            return;
        }
        const bool isIdle = m_flows[flow].outstanding == 0 && !m_flows[flow].feed;
        if (m_flows[flow].draining && isIdle) {
            closeFlow(flow);
            return;
        }
    }
    m_events.after(5s, [this, flow] {
        keepAlive(flow);
    });
}

int PolicyRun::relocationTarget(const Server &server)
{
    int target = -1;
    double fewestFlows = 0;
    for (auto &[index, estimate] : m_servers[server.index].loadEstimates) {
        const std::optional<double> flows = estimate.flows(m_events.now());
        if (!flows || m_servers[index].service != server.service || (target >= 0 && *flows >= fewestFlows)) {
            continue;
        }
        const SecondChoiceLoad load{.flows = flows, .rampProgress = estimate.rampProgress(m_events.now())};
        if (shouldRelocate({.load = actualLoad(server), .rampProgress = rampProgress(server)}, load, {.slots = slots, .maxFlows = maxFlowsPerServer})) {
            target = index;
            fewestFlows = *flows;
        }
    }
    return target;
}

void PolicyRun::relocateFlows(Server &server)
{
    constexpr int ticksPerSecond = 10;
    if (!m_policy.redirect || m_policy.relocationsPerSecond == 0) {
        return;
    }
    const int target = relocationTarget(server);
    int remaining = target < 0 ? 0 : m_policy.relocationsPerSecond / ticksPerSecond;
    const std::size_t start = m_random() % m_flows.size();
    for (std::size_t step = 0; step < m_flows.size() && remaining > 0; ++step) {
        const int flow = static_cast<int>((start + step) % m_flows.size());
        const Flow &candidate = m_flows[flow];
        if (!candidate.open || candidate.server != server.index || candidate.feed || candidate.draining || candidate.outstanding > 0) {
            continue;
        }
        // Callers that already have a flow to the target ignore the invitation.
        const auto reachesTarget = [&](int other) {
            return m_flows[other].server == target;
        };
        const std::vector<int> &flows = m_callers[candidate.caller].flows;
        if (std::any_of(flows.begin(), flows.end(), reachesTarget)) {
            continue;
        }
        --remaining;
        server.loadEstimates[target].recordSent();
        moveFlow(flow, target);
    }
}

bool PolicyRun::packetReachesFlow(int flow, int balancer)
{
    if (m_policy.flowIdentifiers) {
        return true;
    }
    Flow &destination = m_flows[flow];
    int server = destination.server;
    if (m_policy.placement == Placement::RoundRobin) {
        const int currentBalancer = trackingBalancer(destination.key);
        if (currentBalancer == destination.trackingBalancer) {
            return true;
        }
        destination.trackingBalancer = currentBalancer;
        const PlacementChoice choice = choosePlacement(currentBalancer, destination.service, destination.key);
        server = choice.first ? serverAt(choice.first->address) : -1;
    } else {
        const PlacementChoice choice = choosePlacement(balancer, destination.service, destination.key);
        server = choice.first ? serverAt(choice.first->address) : -1;
    }
    if (server >= 0 && m_servers[server].service != destination.service) {
        ++m_result.wrongServiceMessages;
    }
    return server == destination.server;
}

PlacementChoice PolicyRun::choosePlacement(int balancer, int service, std::uint64_t key)
{
    Balancer &placing = m_balancers[balancer];
    const PlacementTable &table = placing.tables[service];
    const auto &servers = table.servers();
    if (servers.empty() || m_policy.placement == Placement::Rendezvous) {
        return table.choose(key);
    }
    if (m_policy.placement == Placement::RoundRobin) {
        return {.first = &servers[placing.nextServer[service]++ % servers.size()]};
    }
    return {.first = &servers[hash(key) % servers.size()]};
}

int PolicyRun::trackingBalancer(std::uint64_t key) const
{
    int selected = 0;
    std::uint64_t best = 0;
    for (int index = 0; index < static_cast<int>(m_balancers.size()); ++index) {
        const std::uint64_t score = hash(key ^ static_cast<std::uint64_t>(index + 1));
        if (m_balancers[index].alive && score > best) {
            best = score;
            selected = index;
        }
    }
    return selected;
}

int PolicyRun::randomBalancer()
{
    while (true) {
        const int index = static_cast<int>(m_random() % m_balancers.size());
        if (m_balancers[index].alive) {
            return index;
        }
    }
}

int PolicyRun::serverWithFewestFlows(int service)
{
    int best = -1;
    for (const Server &server : m_servers) {
        if (isServing(server) && server.service == service && (best < 0 || server.flows < m_servers[best].flows)) {
            best = server.index;
        }
    }
    return best;
}

}
