#include "policy_run.h"

#include <algorithm>

namespace Jujubequay::Bench {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t openingBytes = 1250;
constexpr std::uint32_t keepAliveBytes = 90;
constexpr std::uint32_t maxFlows = 2000;

std::uint64_t mix(std::uint64_t value)
{
    return std::mt19937_64(value)();
}

}

void PolicyRun::openFlow(int caller, bool feed, int reopenings, int invitedTo)
{
    const int flow = static_cast<int>(m_flows.size());
    m_flows.push_back({.key = m_random(), .caller = caller, .service = m_callers[caller].service, .feed = feed, .reopenings = reopenings});
    m_flows[flow].invitedTo = invitedTo;
    m_callers[caller].flows.push_back(flow);
    sendOpening(flow);
    m_events.after(randomDuration(0s, 5s), [this, flow] {
        keepAlive(flow);
    });
}

void PolicyRun::sendOpening(int flow)
{
    Flow &opening = m_flows[flow];
    const int balancer = m_policy.placement == Placement::RoundRobin ? homeBalancer(opening.key) : anyBalancer();
    int first = -1;
    int second = -1;
    if (opening.invitedTo >= 0) {
        first = opening.invitedTo;
        opening.invitedTo = -1;
    } else if (m_policy.placement == Placement::Central) {
        first = leastFlows(opening.service);
    } else {
        const PlacementChoice choice = place(balancer, opening.service, opening.key);
        first = choice.first ? serverAt(choice.first->address) : -1;
        second = choice.second ? serverAt(choice.second->address) : -1;
    }
    if (first < 0) {
        m_events.after(1s, [this, flow] {
            sendOpening(flow);
        });
        return;
    }
    opening.home = balancer;
    const Duration delay = m_network.toCaller(openingBytes) + m_network.betweenZones(m_balancers[balancer].zone, m_servers[first].zone, openingBytes);
    m_events.after(delay, [this, flow, first, second, balancer] {
        if (m_policy.loadOnOpen && second >= 0) {
            const auto load = m_balancers[balancer].loads.find(second);
            if (load != m_balancers[balancer].loads.end()) {
                m_servers[first].others[second].recordReport(m_events.now(), load->second);
            }
        }
        arriveOpening(flow, first, second, balancer, false);
    });
}

void PolicyRun::arriveOpening(int flow, int server, int second, int balancer, bool handedOver)
{
    Server &own = m_servers[server];
    const auto resend = [this, flow](Duration delay) {
        m_events.after(delay, [this, flow] {
            m_flows[flow].key = m_random();
            sendOpening(flow);
        });
    };
    if (!own.alive) {
        resend(1s);
        return;
    }
    if (own.service != m_flows[flow].service) {
        if (m_policy.flowIdentifiers) {
            // Refused as Stale; the balancer fetches the configuration and the caller repeats its opening.
            m_events.after(10ms, [this, balancer] {
                refresh(balancer);
            });
            resend(100ms);
        } else {
            ++m_result.wrongService;
            resend(1s);
        }
        return;
    }
    if (m_policy.handOver && !handedOver && second >= 0 && handsOver(own, m_servers[second])) {
        own.others[second].recordSent();
        const LoadReport load = reportedLoad(own);
        m_events.after(m_network.betweenZones(own.zone, m_servers[second].zone, openingBytes), [this, flow, server, second, balancer, load] {
            m_servers[second].others[server].recordReport(m_events.now(), load);
            arriveOpening(flow, second, server, balancer, true);
        });
        return;
    }
    if (own.drainedAt || own.flows >= maxFlows) {
        resend(200ms);
        return;
    }
    acceptFlow(flow, server, balancer);
}

bool PolicyRun::handsOver(const Server &own, const Server &second)
{
    const LoadEstimate &estimate = m_servers[own.index].others[second.index];
    const TimePoint now = m_events.now();
    return shouldRedirect({.load = ownLoad(own), .rampProgress = ramp(own), .draining = own.drainedAt.has_value()},
                          {.flows = estimate.flows(now), .work = estimate.work(now), .rampProgress = estimate.rampProgress(now)},
                          {.slots = slots, .maxFlows = maxFlows});
}

void PolicyRun::acceptFlow(int flow, int server, int balancer)
{
    Server &own = m_servers[server];
    ++own.flows;
    m_flows[flow].server = server;
    m_flows[flow].incarnation = own.incarnation;
    const LoadReport load = reportedLoad(own);
    const Duration delay = m_network.betweenZones(own.zone, m_balancers[balancer].zone, openingBytes) + m_network.toCaller(openingBytes);
    m_events.after(delay, [this, flow, server, balancer, load] {
        m_balancers[balancer].loads[server] = load;
        m_flows[flow].estimate.recordReport(m_events.now(), load);
        flowOpened(flow);
    });
}

void PolicyRun::flowOpened(int flow)
{
    constexpr int maxReopenings = 3;
    Flow &opened = m_flows[flow];
    const Server &server = m_servers[opened.server];
    if (!server.alive || server.incarnation != opened.incarnation) {
        opened.open = true;
        breakFlow(flow, false);
        return;
    }
    opened.open = true;
    opened.openedAt = m_events.now();
    const auto isTwin = [&](int other) {
        return other != flow && m_flows[other].open && m_flows[other].server == opened.server;
    };
    // Two flows to one server cannot balance requests. The greeting names the incarnation, so the caller sees the case.
    const std::vector<int> &flows = m_callers[opened.caller].flows;
    if (opened.reopenings < maxReopenings && std::any_of(flows.begin(), flows.end(), isTwin)) {
        closeFlow(flow);
        openFlow(opened.caller, m_flows[flow].feed, m_flows[flow].reopenings + 1);
        return;
    }
    if (server.drainedAt && m_policy.flowIdentifiers) {
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
    ++(planned ? m_result.brokenPlanned : m_result.brokenUnplanned);
    closeFlow(flow);
    m_events.after(planned ? 50ms : 1s, [this, flow] {
        openFlow(m_flows[flow].caller, m_flows[flow].feed, 0);
    });
}

void PolicyRun::moveFlow(int flow, int invitedTo)
{
    if (!m_flows[flow].open || m_flows[flow].draining) {
        return;
    }
    m_flows[flow].draining = true;
    openFlow(m_flows[flow].caller, m_flows[flow].feed, 0, invitedTo);
}

void PolicyRun::keepAlive(int flow)
{
    if (m_flows[flow].closed) {
        return;
    }
    if (m_flows[flow].open) {
        const int balancer = anyBalancer();
        const Server &server = m_servers[m_flows[flow].server];
        m_network.betweenZones(m_balancers[balancer].zone, server.zone, keepAliveBytes);
        shareLoad(balancer, server.index);
        m_balancers[balancer].loads[server.index] = reportedLoad(server);
        if (!packetReachesFlow(flow, balancer)) {
            breakFlow(flow, m_lastChangePlanned);
            return;
        }
        const bool idle = m_flows[flow].outstanding == 0 && !m_flows[flow].feed;
        if (m_flows[flow].draining && idle) {
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
    double least = 0;
    for (auto &[index, estimate] : m_servers[server.index].others) {
        const std::optional<double> flows = estimate.flows(m_events.now());
        if (!flows || m_servers[index].service != server.service || (target >= 0 && *flows >= least)) {
            continue;
        }
        const SecondChoiceLoad load{.flows = flows, .rampProgress = estimate.rampProgress(m_events.now())};
        if (shouldRelocate({.load = ownLoad(server), .rampProgress = ramp(server)}, load, {.slots = slots, .maxFlows = maxFlows})) {
            target = index;
            least = *flows;
        }
    }
    return target;
}

void PolicyRun::relocateFlows(Server &server)
{
    constexpr int ticksPerSecond = 10;
    if (!m_policy.handOver || m_policy.relocationsPerSecond == 0) {
        return;
    }
    const int target = relocationTarget(server);
    int left = target < 0 ? 0 : m_policy.relocationsPerSecond / ticksPerSecond;
    const std::size_t start = m_random() % m_flows.size();
    for (std::size_t step = 0; step < m_flows.size() && left > 0; ++step) {
        const int flow = static_cast<int>((start + step) % m_flows.size());
        const Flow &idle = m_flows[flow];
        if (!idle.open || idle.server != server.index || idle.feed || idle.draining || idle.outstanding > 0) {
            continue;
        }
        // A caller that has a flow to the target already ignores the invitation.
        const auto isAtTarget = [&](int other) {
            return m_flows[other].server == target;
        };
        const std::vector<int> &flows = m_callers[idle.caller].flows;
        if (std::any_of(flows.begin(), flows.end(), isAtTarget)) {
            continue;
        }
        --left;
        server.others[target].recordSent();
        moveFlow(flow, target);
    }
}

bool PolicyRun::packetReachesFlow(int flow, int balancer)
{
    if (m_policy.flowIdentifiers) {
        return true;
    }
    Flow &packet = m_flows[flow];
    int server = packet.server;
    if (m_policy.placement == Placement::RoundRobin) {
        const int home = homeBalancer(packet.key);
        if (home == packet.home) {
            return true;
        }
        packet.home = home;
        const PlacementChoice choice = place(home, packet.service, packet.key);
        server = choice.first ? serverAt(choice.first->address) : -1;
    } else {
        const PlacementChoice choice = place(balancer, packet.service, packet.key);
        server = choice.first ? serverAt(choice.first->address) : -1;
    }
    if (server >= 0 && m_servers[server].service != packet.service) {
        ++m_result.wrongService;
    }
    return server == packet.server;
}

PlacementChoice PolicyRun::place(int balancer, int service, std::uint64_t key)
{
    Balancer &own = m_balancers[balancer];
    const PlacementTable &table = own.tables[service];
    const auto &servers = table.servers();
    if (servers.empty() || m_policy.placement == Placement::Rendezvous) {
        return table.choose(key);
    }
    if (m_policy.placement == Placement::RoundRobin) {
        return {.first = &servers[own.next[service]++ % servers.size()]};
    }
    return {.first = &servers[mix(key) % servers.size()]};
}

int PolicyRun::homeBalancer(std::uint64_t key) const
{
    int home = 0;
    std::uint64_t best = 0;
    for (int index = 0; index < static_cast<int>(m_balancers.size()); ++index) {
        const std::uint64_t score = mix(key ^ static_cast<std::uint64_t>(index + 1));
        if (m_balancers[index].alive && score > best) {
            best = score;
            home = index;
        }
    }
    return home;
}

int PolicyRun::anyBalancer()
{
    while (true) {
        const int index = static_cast<int>(m_random() % m_balancers.size());
        if (m_balancers[index].alive) {
            return index;
        }
    }
}

int PolicyRun::leastFlows(int service)
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
