#include "steering_random_run.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "steering_test_support.h"

namespace Jujubequay::SteeringTest {

namespace {

constexpr auto runTime = std::chrono::seconds(60);
constexpr auto heartbeatInterval = std::chrono::milliseconds(500);
constexpr auto maxFlowAge = std::chrono::seconds(60);
constexpr auto idleTimeout = std::chrono::seconds(15);
/// How long a disturbed host or server does not count.
constexpr auto contactTime = std::chrono::seconds(4);
constexpr auto strayTime = std::chrono::seconds(2);
constexpr std::size_t strayLimit = 3;
/// Time in which all hosts have a dropped route.
constexpr auto configTime = std::chrono::seconds(3);
constexpr std::uint32_t maxResetDistance = 76800;

}

SteeringRandomRun::SteeringRandomRun(unsigned seed, SteeringRandomOptions options)
    : m_seed(seed)
    , m_options(options)
    , m_random(seed)
{
    m_now = TimePoint(std::chrono::hours(1));
    m_end = m_now + runTime;
    m_loss = std::array{0.0, 0.002, 0.02}.at(random(3));
    m_noticeLoss = m_options.hasFaults ? std::array{0.0, 0.05, 0.3}.at(random(3)) : m_loss;
    m_routes.set_idle_timeout_ms(15000);
    setRoute(feedAddress, {"feed"});
    setRoute(vaultAddress, {"vault"});
    const std::uint32_t zones = 2 + random(2);
    m_agents.resize(4 + random(5));
    for (std::size_t index = 0; index < m_agents.size(); ++index) {
        m_agents[index].address = agentAddress(static_cast<std::uint32_t>(index));
        m_agents[index].zone = fmt::format("zone-{}", index % zones);
        startAgent(index);
        if (index < 3 || index + 1 < m_agents.size()) {
            startServer(index, index % 2 == 0 ? "feed" : "vault");
        }
    }
    m_balancers.resize(2 + random(3));
    for (std::size_t index = 0; index < m_balancers.size(); ++index) {
        m_balancers[index].address = balancerAddress(static_cast<std::uint32_t>(index));
        m_balancers[index].zone = fmt::format("zone-{}", index % zones);
        m_balancers[index].isInRotation = true;
        startBalancer(index);
    }
    m_callers.resize(30);
}

void SteeringRandomRun::run()
{
    for (std::size_t index = 0; index < m_callers.size(); ++index) {
        m_callers[index].ip = 0x64400000U + static_cast<std::uint32_t>(index);
        after(Milliseconds(3000 + random(2000)), [this, index] {
            startFlow(index);
        });
    }
    for (std::size_t index = 0; index < m_agents.size(); ++index) {
        after(Milliseconds(random(250)), [this, index] {
            every(Milliseconds(250), [this, index] {
                tickAgent(index);
            });
        });
    }
    every(std::chrono::seconds(1), [this] {
        for (Balancer &balancer : m_balancers) {
            if (balancer.steering) {
                balancer.steering->expire(m_now);
            }
        }
    });
    every(std::chrono::seconds(4), [this] {
        publish();
    });
    every(heartbeatInterval, [this] {
        sendHeartbeats();
    });
    const Duration eventInterval = Milliseconds(300 + random(3000));
    after(std::chrono::seconds(6), [this, eventInterval] {
        every(eventInterval, [this] {
            startEvent();
        });
    });
    while (!m_events.empty() && m_events.top().at < m_end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
}

const std::vector<Finding> &SteeringRandomRun::findings() const
{
    return m_findings;
}

std::size_t SteeringRandomRun::openedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_flows.begin(), m_flows.end(), [](const FlowRecord &flow) {
        return flow.openedAt.has_value();
    }));
}

std::string SteeringRandomRun::trace(std::uint64_t flow) const
{
    return fmt::format(
        "events:\n{}\nflow {} of {}:\n{}\n", fmt::join(m_log, "\n"), flow, toString(m_flows.at(flow).tuple.caller), fmt::join(m_flows.at(flow).trace, "\n"));
}

// Simulation

std::uint32_t SteeringRandomRun::random(std::uint32_t limit)
{
    return limit == 0 ? 0 : static_cast<std::uint32_t>(m_random() % limit);
}

bool SteeringRandomRun::chance(double probability)
{
    return random(1000000) < static_cast<std::uint32_t>(probability * 1e6);
}

void SteeringRandomRun::after(Duration delay, Action action)
{
    m_events.push({m_now + delay, m_eventNumber++, std::move(action)});
}

void SteeringRandomRun::every(Duration interval, const Action &action)
{
    after(interval, [this, interval, action] {
        action();
        every(interval, action);
    });
}

void SteeringRandomRun::transmit(bool isNotice, const Action &action)
{
    for (int copies = chance(0.01) ? 2 : 1; copies > 0; --copies) {
        if (!chance(isNotice ? m_noticeLoss : m_loss)) {
            const bool isSlow = chance(0.01);
            after(std::chrono::microseconds(200 + random(isSlow ? 800000 : 5000)), action);
        }
    }
}

void SteeringRandomRun::note(std::uint64_t flow, const std::string &text)
{
    if (m_options.isTracing && flow < m_flows.size()) {
        m_flows[flow].trace.push_back(fmt::format("{:.4f} {}", std::chrono::duration<double>(m_now - m_end + runTime).count(), text));
    }
}

void SteeringRandomRun::logEvent(const std::string &text)
{
    if (m_options.isTracing) {
        m_log.push_back(fmt::format("{:.4f} {}", std::chrono::duration<double>(m_now - m_end + runTime).count(), text));
    }
}

// Checks

bool SteeringRandomRun::isExempt(const FlowRecord &flow) const
{
    const auto dropped = m_routeDroppedAt.find(flow.tuple.service);
    const bool isRouteDropped = dropped != m_routeDroppedAt.end() && dropped->second + configTime > flow.startedAt;
    const Agent &agent = m_agents[flow.ownerAgent];
    const bool hasOwnerEnded = !agent.server || agent.server->incarnation != flow.owner;
    const bool isDisturbed = m_options.hasFaults && m_now - agent.disturbedAt < contactTime;
    return isRouteDropped || hasOwnerEnded || isDisturbed || m_now - flow.startedAt > maxFlowAge || m_now - flow.lastUsed > idleTimeout;
}

void SteeringRandomRun::report(const std::string &rule, std::uint64_t flow, const std::string &detail)
{
    const std::string full = rule + (m_flows[flow].isPortReused ? ", reused port" : "");
    note(flow, "BROKEN: " + full);
    m_findings.push_back({full,
                          fmt::format("seed {} faults {} reuse {} time {:.3f} flow {}: {} {}",
                                      m_seed,
                                      m_options.hasFaults,
                                      m_options.reusesPorts,
                                      std::chrono::duration<double>(m_now - m_end + runTime).count(),
                                      flow,
                                      full,
                                      detail),
                          flow});
}

void SteeringRandomRun::checkDelivery(std::size_t index, const Packet &packet)
{
    const Server &server = *m_agents[index].server;
    if (packet.segment.isSyn) {
        if (!m_servicesEver[packet.segment.destination].contains(server.service)) {
            report("syn at a service without route", packet.flow, server.service);
        }
        return;
    }
    FlowRecord &flow = m_flows[packet.flow];
    if (!flow.openedAt || flow.hasEnded) {
        return;
    }
    if (index == flow.ownerAgent && server.incarnation == flow.owner) {
        checkStrays(flow, packet.flow);
        flow.lastDelivered = m_now;
        flow.strays.clear();
    } else {
        flow.strays.push_back(m_now);
    }
}

void SteeringRandomRun::checkStrays(FlowRecord &flow, std::uint64_t number)
{
    if (!flow.openedAt || flow.hasEnded || isExempt(flow) || m_now - flow.lastDelivered < strayTime) {
        return;
    }
    for (std::size_t index = strayLimit - 1; index < flow.strays.size(); ++index) {
        if (flow.strays[index] - flow.strays[index + 1 - strayLimit] <= strayTime) {
            // The owner may have got no packet for long because the caller sent none.
            const bool wasIdle = m_now - flow.strays.front() < strayTime;
            report(wasIdle ? "stray packets, after an idle time" : "stray packets",
                   number,
                   fmt::format("owner agent {} incarnation {}", flow.ownerAgent, flow.owner.value));
            return;
        }
    }
}

void SteeringRandomRun::checkReset(const ResetCaller &decision, const HostAddress &sender, TimePoint disturbedAt, TimePoint decidedAt)
{
    for (const Caller &caller : m_callers) {
        if (caller.tuple != decision.tuple || caller.state == CallerState::Idle) {
            continue;
        }
        const FlowRecord &flow = m_flows[caller.flow];
        const bool isInWindow = decision.sequence - flow.lastAcknowledgement + maxResetDistance <= 2 * maxResetDistance;
        const bool isSenderDisturbed = m_options.hasFaults && m_now - disturbedAt < contactTime;
        // The caller of an open flow ignores a reset whose sequence number is far from its last acknowledgement number.
        if (!flow.openedAt || !isInWindow || isSenderDisturbed || isExempt(flow)) {
            continue;
        }
        const ResetEvidence &evidence = decision.evidence;
        const bool isOlder = evidence.source != OwnershipSource::None && evidence.learnedAt != TimePoint() && evidence.learnedAt < flow.startedAt;
        report(fmt::format("reset by {} ({}{}, owner by {}{}{})",
                           agentAt(sender) ? "agent" : "balancer",
                           steerCauseName(decision.cause),
                           decision.isOpening ? ", on a SYN" : "",
                           ownershipSourceName(evidence.source),
                           isOlder ? ", learned before the flow" : "",
                           decidedAt < *flow.openedAt ? ", decided before it opened" : ""),
               caller.flow,
               fmt::format("sender {} owner agent {} incarnation {} opened {:.3f}; evidence owner {} incarnation {} learned {:.3f} end {} decided {:.3f}",
                           toString(sender),
                           flow.ownerAgent,
                           flow.owner.value,
                           std::chrono::duration<double>(*flow.openedAt - m_end + runTime).count(),
                           toString(evidence.owner),
                           evidence.incarnation.value,
                           std::chrono::duration<double>(evidence.learnedAt - m_end + runTime).count(),
                           evidence.end ? serverEndCauseName(evidence.end->cause) : "none",
                           std::chrono::duration<double>(decidedAt - m_end + runTime).count()));
    }
}

}
