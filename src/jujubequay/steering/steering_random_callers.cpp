#include <algorithm>

#include "steering_random_run.h"
#include "steering_test_support.h"

namespace Jujubequay::SteeringTest {

namespace {

constexpr std::uint16_t requestLength = 100;
constexpr auto maxInterval = std::chrono::milliseconds(1600);
constexpr auto requestDeadline = std::chrono::seconds(4);

}

void SteeringRandomRun::afterTimer(std::size_t index, Duration delay, const Action &action)
{
    const std::uint64_t timer = m_callers[index].timer;
    after(delay, [this, index, timer, action] {
        if (m_callers[index].timer == timer) {
            action();
        }
    });
}

void SteeringRandomRun::startFlow(std::size_t index)
{
    Caller &caller = m_callers[index];
    ++caller.timer;
    std::uint16_t port = caller.nextPort;
    const bool isPortReused = m_options.reusesPorts && !caller.usedPorts.empty() && chance(0.3);
    if (isPortReused) {
        port = caller.usedPorts[random(static_cast<std::uint32_t>(caller.usedPorts.size()))];
    } else {
        caller.usedPorts.push_back(caller.nextPort++);
    }
    caller.tuple = {{caller.ip, port}, chance(0.5) ? feedAddress : vaultAddress};
    caller.flow = m_flows.size();
    FlowRecord &flow = m_flows.emplace_back();
    flow.tuple = caller.tuple;
    flow.startedAt = flow.lastUsed = m_now;
    flow.isPortReused = isPortReused;
    caller.state = CallerState::Opening;
    caller.initial = m_random();
    caller.sent = caller.initial + 1;
    caller.received = 0;
    caller.requestsLeft = 1 + static_cast<int>(random(12));
    sendSyn(index, 0);
}

void SteeringRandomRun::sendSyn(std::size_t index, std::uint32_t copy)
{
    Caller &caller = m_callers[index];
    if (copy == 3) {
        endFlow(index);
        return;
    }
    Segment segment = syn(caller.tuple, copy);
    segment.sequence = caller.initial;
    segment.acknowledgement = copy;
    sendFromCaller(caller, segment);
    const std::array<Milliseconds, 3> delays{Milliseconds(200), Milliseconds(400), Milliseconds(800)};
    afterTimer(index, delays.at(copy), [this, index, copy] {
        sendSyn(index, copy + 1);
    });
}

void SteeringRandomRun::sendRequest(std::size_t index, int attempt)
{
    Caller &caller = m_callers[index];
    Segment segment = data(caller.tuple, caller.received);
    segment.sequence = caller.sent;
    segment.length = requestLength;
    sendFromCaller(caller, segment);
    afterTimer(index, std::min<Duration>(Milliseconds(200) * (1 << std::min(attempt, 3)), maxInterval), [this, index, attempt] {
        sendRequest(index, attempt + 1);
    });
}

void SteeringRandomRun::sendFin(std::size_t index, int attempt)
{
    Caller &caller = m_callers[index];
    if (attempt == 4) {
        endFlow(index);
        return;
    }
    caller.state = CallerState::Closing;
    Segment segment = data(caller.tuple, caller.received);
    segment.sequence = caller.sent;
    segment.length = 0;
    segment.isFin = true;
    sendFromCaller(caller, segment);
    afterTimer(index, Milliseconds(200) * (1 << attempt), [this, index, attempt] {
        sendFin(index, attempt + 1);
    });
}

void SteeringRandomRun::sendAcknowledgement(Caller &caller)
{
    Segment segment = data(caller.tuple, caller.received);
    segment.sequence = caller.sent;
    segment.length = 0;
    sendFromCaller(caller, segment);
}

void SteeringRandomRun::sendFromCaller(Caller &caller, Segment segment)
{
    FlowRecord &flow = m_flows[caller.flow];
    flow.lastAcknowledgement = caller.received;
    flow.lastUsed = m_now;
    const Packet packet{segment, caller.flow};
    transmit(false, [this, packet] {
        if (Balancer *balancer = route(flowTupleFromCaller(packet.segment))) {
            handleAtBalancer(*balancer, packet);
        }
    });
}

// The hash over the balancers in rotation; with fewer than half of them in rotation, over all.
SteeringRandomRun::Balancer *SteeringRandomRun::route(const FlowTuple &tuple)
{
    std::vector<Balancer *> candidates;
    for (Balancer &balancer : m_balancers) {
        if (balancer.isInRotation) {
            candidates.push_back(&balancer);
        }
    }
    if (candidates.size() * 2 < m_balancers.size()) {
        candidates.clear();
        for (Balancer &balancer : m_balancers) {
            candidates.push_back(&balancer);
        }
    }
    return candidates[(hashOf(tuple) >> 8U) % candidates.size()];
}

void SteeringRandomRun::endFlow(std::size_t index)
{
    Caller &caller = m_callers[index];
    ++caller.timer;
    checkStrays(m_flows[caller.flow], caller.flow);
    m_flows[caller.flow].hasEnded = true;
    note(caller.flow, "ended at the caller");
    caller.state = CallerState::Idle;
    afterTimer(index, chance(0.5) ? Milliseconds(1 + random(300)) : Milliseconds(random(4000)), [this, index] {
        startFlow(index);
    });
}

void SteeringRandomRun::think(std::size_t index)
{
    Caller &caller = m_callers[index];
    ++caller.timer;
    caller.state = CallerState::Thinking;
    const Milliseconds pause(chance(0.6) ? random(300) : random(chance(0.1) ? 12000 : 4000));
    afterTimer(index, pause, [this, index] {
        Caller &caller = m_callers[index];
        if (caller.requestsLeft-- == 0) {
            sendFin(index, 0);
            return;
        }
        caller.state = CallerState::Waiting;
        sendRequest(index, 0);
        const std::uint32_t sent = caller.sent;
        const std::uint64_t flow = caller.flow;
        after(requestDeadline, [this, index, sent, flow] {
            Caller &caller = m_callers[index];
            if (caller.flow == flow && caller.state == CallerState::Waiting && caller.sent == sent) {
                endFlow(index);
            }
        });
    });
}

void SteeringRandomRun::receiveAtCaller(const Packet &packet)
{
    const FlowTuple tuple = flowTupleFromServer(packet.segment);
    for (std::size_t index = 0; index < m_callers.size(); ++index) {
        if (m_callers[index].tuple == tuple && m_callers[index].state != CallerState::Idle) {
            receiveFlowPacket(index, packet);
        }
    }
}

void SteeringRandomRun::receiveFlowPacket(std::size_t index, const Packet &packet)
{
    Caller &caller = m_callers[index];
    const Segment &segment = packet.segment;
    if (segment.isRst) {
        if (caller.state == CallerState::Opening || segment.sequence - caller.received + 76800 <= 2 * 76800) {
            endFlow(index);
        }
        return;
    }
    if (segment.isSyn) {
        if (caller.state == CallerState::Opening && segment.acknowledgement == caller.initial + 1) {
            caller.received = segment.sequence + 1;
            note(caller.flow, "SYN-ACK received");
            sendAcknowledgement(caller);
            think(index);
        }
        return;
    }
    if (caller.state == CallerState::Opening) {
        return;
    }
    if (segment.length > 0 && segment.sequence != caller.received) {
        sendAcknowledgement(caller);
        return;
    }
    if (segment.length > 0 && caller.state == CallerState::Waiting) {
        caller.received += segment.length;
        caller.sent += requestLength;
        sendAcknowledgement(caller);
        if (segment.isFin) {
            ++caller.timer;
            sendFin(index, 0);
        } else {
            think(index);
        }
    } else if (segment.isFin && caller.state == CallerState::Closing) {
        endFlow(index);
    }
}

}
