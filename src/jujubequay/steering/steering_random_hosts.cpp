#include <fmt/format.h>

#include <utility>

#include "steering_random_run.h"
#include "steering_test_support.h"

namespace Jujubequay::SteeringTest {

namespace {

constexpr auto queueAge = std::chrono::milliseconds(600);
constexpr auto silenceLimit = std::chrono::seconds(3);

}

std::optional<std::size_t> SteeringRandomRun::agentAt(const HostAddress &address) const
{
    for (std::size_t index = 0; index < m_agents.size(); ++index) {
        if (m_agents[index].address == address) {
            return index;
        }
    }
    return std::nullopt;
}

// Balancers

void SteeringRandomRun::sendToBalancer(const HostAddress &address, const std::function<void(Balancer &)> &action, bool isNotice)
{
    transmit(isNotice, [this, address, action] {
        for (Balancer &balancer : m_balancers) {
            if (balancer.address == address && balancer.steering) {
                action(balancer);
            }
        }
    });
}

void SteeringRandomRun::handleAtBalancer(Balancer &balancer, const Packet &packet)
{
    if (!balancer.steering) {
        return;
    }
    if (!balancer.steering->isReady()) {
        balancer.startupQueue.emplace_back(m_now, packet);
        return;
    }
    const BalancerDecision decision = balancer.steering->decide(m_now, packet.segment);
    const std::string name = toString(balancer.address);
    if (const auto *relayed = std::get_if<RelayToAgent>(&decision)) {
        note(packet.flow,
             fmt::format("balancer {} relays syn={} copy={} to {} ({})",
                         name,
                         packet.segment.isSyn,
                         packet.segment.retransmissionCount,
                         toString(relayed->agent),
                         steerCauseName(relayed->cause)));
        relay(relayed->agent, relayed->header, packet);
    } else if (const auto *reset = std::get_if<ResetCaller>(&decision)) {
        sendReset(*reset, balancer.address, balancer.disturbedAt, packet.flow);
    }
}

void SteeringRandomRun::relay(const HostAddress &address, const SteerHeader &header, Packet packet)
{
    packet.segment.isRejected = false;
    const auto index = agentAt(address);
    transmit(false, [this, index, header, packet] {
        if (!index || !m_agents[*index].steering) {
            return;
        }
        const AgentDecision decision = m_agents[*index].steering->handleCallerPacket(m_now, header, packet.segment, m_notices);
        execute(*index, decision, packet);
        sendNotices(*index);
    });
}

void SteeringRandomRun::startBalancer(std::size_t index)
{
    Balancer &balancer = m_balancers[index];
    BalancerSteeringOptions options;
    options.zone = balancer.zone;
    options.noticeAddress = balancer.address;
    balancer.steering = std::make_unique<BalancerSteering>(options);
    balancer.startupQueue.clear();
    balancer.disturbedAt = m_now;
    publishTo(balancer.address, true);
}

// Agents

void SteeringRandomRun::execute(std::size_t index, const AgentDecision &decision, const Packet &packet)
{
    Agent &agent = m_agents[index];
    const std::string where = fmt::format("agent {}", index);
    if (std::holds_alternative<DeliverToServer>(decision)) {
        note(packet.flow, where + " delivers");
        deliverToServer(index, packet);
    } else if (std::holds_alternative<SendToCaller>(decision)) {
        transmit(false, [this, packet] {
            receiveAtCaller(packet);
        });
    } else if (const auto *relayed = std::get_if<RelayToAgent>(&decision)) {
        note(packet.flow, fmt::format("{} relays syn={} to {} ({})", where, packet.segment.isSyn, toString(relayed->agent), steerCauseName(relayed->cause)));
        relay(relayed->agent, relayed->header, packet);
    } else if (const auto *reset = std::get_if<ResetCaller>(&decision)) {
        sendReset(*reset, agent.address, agent.disturbedAt, packet.flow);
    } else if (const auto *dropped = std::get_if<DropPacket>(&decision)) {
        note(packet.flow, fmt::format("{} drops ({})", where, steerCauseName(dropped->cause)));
    } else if (std::holds_alternative<HoldRequest>(decision)) {
        agent.heldRequests.emplace_back(m_now, packet);
    } else if (const auto *held = std::get_if<HoldLookup>(&decision)) {
        note(packet.flow, where + " holds the lookup");
        agent.heldLookups.push_back({held->header, {m_now, packet}});
    }
}

void SteeringRandomRun::sendReset(const ResetCaller &decision, const HostAddress &sender, TimePoint disturbedAt, std::uint64_t flow)
{
    note(flow, fmt::format("{} resets ({})", toString(sender), steerCauseName(decision.cause)));
    transmit(false, [this, decision, sender, disturbedAt, flow, decidedAt = m_now] {
        checkReset(decision, sender, disturbedAt, decidedAt);
        Segment segment = fromServer(decision.tuple);
        segment.isRst = true;
        segment.sequence = decision.sequence;
        receiveAtCaller({segment, flow});
    });
}

void SteeringRandomRun::sendNotices(std::size_t index)
{
    std::vector<AddressedNotice> notices;
    notices.swap(m_notices);
    for (const AddressedNotice &addressed : notices) {
        if (const auto registrar = agentAt(addressed.destination)) {
            transmit(true, [this, registrar, notice = addressed.notice] {
                receiveNotice(*registrar, notice);
            });
            continue;
        }
        sendToBalancer(
            addressed.destination,
            [this, notice = addressed.notice, index](Balancer &balancer) {
                balancer.steering->handleOwnerNotice(m_now, notice);
                for (const Caller &caller : m_callers) {
                    if (caller.tuple == notice.tuple) {
                        note(caller.flow, fmt::format("balancer {} has a notice of agent {}", toString(balancer.address), index));
                    }
                }
            },
            true);
    }
}

void SteeringRandomRun::receiveNotice(std::size_t index, const OwnerNotice &notice)
{
    if (!m_agents[index].steering) {
        return;
    }
    m_agents[index].steering->handleOwnerNotice(m_now, notice);
    const OwnerAcknowledgement acknowledgement{notice.tuple, m_agents[index].address};
    transmit(true, [this, acknowledgement, owner = agentAt(notice.owner)] {
        if (m_agents[*owner].steering) {
            m_agents[*owner].steering->handleAcknowledgement(acknowledgement);
        }
    });
}

void SteeringRandomRun::releaseHeldRequests(std::size_t index)
{
    Agent &agent = m_agents[index];
    while (!agent.heldRequests.empty()) {
        const auto [heldAt, packet] = agent.heldRequests.front();
        if (!agent.steering->canStartRequest() && m_now - heldAt < agent.steering->options().maxHoldTime) {
            return;
        }
        agent.heldRequests.pop_front();
        if (std::holds_alternative<DeliverToServer>(agent.steering->startHeldRequest(m_now, packet.segment))) {
            deliverToServer(index, packet);
        }
    }
}

void SteeringRandomRun::retryLookups(std::size_t index)
{
    auto lookups = std::exchange(m_agents[index].heldLookups, {});
    for (const auto &[header, held] : lookups) {
        if (m_now - held.first <= queueAge) {
            execute(index, m_agents[index].steering->retryLookup(m_now, header, held.second.segment, m_notices), held.second);
            sendNotices(index);
        }
    }
}

// The timers of an agent's process.
void SteeringRandomRun::tickAgent(std::size_t index)
{
    Agent &agent = m_agents[index];
    if (!agent.steering) {
        return;
    }
    applyServer(index, false);
    agent.steering->resendNotices(m_now, m_notices);
    sendNotices(index);
    agent.steering->expire(m_now);
    releaseHeldRequests(index);
    if (agent.steering->isServerKnown() && agent.steering->isServerListStable(m_now)) {
        retryLookups(index);
    }
    for (const HostAddress &address : agent.steering->recentBalancers()) {
        sendToBalancer(
            address,
            [this, load = agent.steering->load()](Balancer &balancer) {
                balancer.steering->handleLoadNotice(m_now, load);
            },
            true);
    }
}

// What the agent's process knows about its server

void SteeringRandomRun::applyServer(std::size_t index, bool isFresh)
{
    Agent &agent = m_agents[index];
    std::optional<LocalServer> server;
    if (agent.announced) {
        const bool isSilent = m_now - agent.announced->lastAt > silenceLimit;
        const bool accepts = !agent.announced->isDraining && !agent.announced->hasDeparted && !isSilent;
        server = LocalServer{serviceKey(agent.announced->service), agent.announced->incarnation, accepts, 2, agent.announced->startedAt};
    } else if (agent.isServerRunning) {
        server = LocalServer{serviceKey(agent.service), unconfirmedIncarnation, true, 1, std::nullopt};
    }
    const bool wasServerKnown = agent.steering->isServerKnown();
    if (wasServerKnown && server == agent.applied) {
        return;
    }
    agent.applied = server;
    for (const ResetCaller &decision : agent.steering->setServer(m_now, server, isFresh)) {
        sendReset(decision, agent.address, agent.disturbedAt, m_flows.size());
    }
    if (!wasServerKnown) {
        retryLookups(index);
    }
    announceToRegistry(index);
}

void SteeringRandomRun::handleAnnouncement(std::size_t index, const Server &server)
{
    Agent &agent = m_agents[index];
    const bool wasRunning = std::exchange(agent.isServerRunning, false);
    const bool isFirst = !agent.announced;
    const bool isNew = isFirst || agent.announced->incarnation != server.incarnation;
    if (!isNew && agent.announced->hasDeparted) {
        return;
    }
    const bool wasDraining = !isNew && agent.announced->isDraining;
    agent.announced = Announced{server.service, server.incarnation, m_now, server.isDraining || wasDraining, false, server.startedAt};
    applyServer(index, isNew && (!isFirst || (!wasRunning && server.startedAt > agent.startedAt)));
}

void SteeringRandomRun::handleServerEnd(std::size_t index)
{
    Agent &agent = m_agents[index];
    if (agent.steering && agent.announced && agent.announced->hasDeparted) {
        const DeregisteredServer ended{agent.address, agent.announced->incarnation};
        agent.announced.reset();
        applyServer(index, false);
        after(Milliseconds(1 + random(50)), [this, ended] {
            m_deregistered.push_back(ended);
            const auto found = m_registry.find(ended.relayAddress);
            if (found != m_registry.end() && found->second.incarnation == ended.incarnation) {
                m_registry.erase(found);
            }
            publish();
        });
    }
}

void SteeringRandomRun::startAgent(std::size_t index)
{
    Agent &agent = m_agents[index];
    AgentSteeringOptions options;
    options.agent = agent.address;
    agent.steering = std::make_unique<AgentSteering>(options);
    agent.epoch = m_random() | 1U;
    agent.startedAt = agent.disturbedAt = m_now;
    agent.announced.reset();
    agent.applied.reset();
    agent.isServerRunning = false;
    agent.heldRequests.clear();
    agent.heldLookups.clear();
    logEvent(fmt::format("agent {} starts", index));
    publishTo(agent.address, true);
    after(Milliseconds(1 + random(20)), [this, index] {
        Agent &agent = m_agents[index];
        if (agent.steering && !agent.announced) {
            agent.isServerRunning = agent.server != nullptr;
            agent.service = agent.server ? agent.server->service : agent.service;
            applyServer(index, false);
        }
    });
}

}
