#include <fmt/format.h>

#include "steering_random_run.h"
#include "steering_test_support.h"

namespace Jujubequay::SteeringTest {

namespace {

constexpr auto localDelay = std::chrono::microseconds(50);
constexpr std::uint16_t responseLength = 1000;
constexpr auto announceInterval = std::chrono::milliseconds(1000);

}

void SteeringRandomRun::startServer(std::size_t index, const std::string &service)
{
    Agent &agent = m_agents[index];
    agent.server = std::make_shared<Server>();
    agent.server->service = service;
    agent.server->incarnation = {m_lastIncarnation += 4};
    agent.server->startedAt = m_now;
    agent.disturbedAt = m_now;
    logEvent(fmt::format("server {} of {} starts at agent {}", agent.server->incarnation.value, service, index));
    after(Milliseconds(random(chance(0.2) ? 1500 : 100)), [this, index, server = agent.server] {
        announce(index, server);
    });
}

void SteeringRandomRun::announce(std::size_t index, const std::shared_ptr<Server> &server)
{
    if (m_agents[index].server != server) {
        return;
    }
    if (m_agents[index].steering && chance(0.98)) {
        handleAnnouncement(index, *server);
    }
    after(announceInterval, [this, index, server] {
        announce(index, server);
    });
}

void SteeringRandomRun::deliverToServer(std::size_t index, const Packet &packet)
{
    after(localDelay, [this, index, packet] {
        if (!m_agents[index].server) {
            return;
        }
        checkDelivery(index, packet);
        if (packet.segment.isSyn) {
            acceptSyn(index, packet);
            return;
        }
        auto &flows = m_agents[index].server->flows;
        const auto found = flows.find(hashOf(flowTupleFromCaller(packet.segment)));
        const bool isHeld = found != flows.end() && (packet.segment.sequence - found->second.callerInitial < (1U << 20U))
            && (found->second.isOpen || found->second.hasEnded || packet.segment.acknowledgement == found->second.initial + 1);
        if (isHeld) {
            receiveAtServer(index, found->second, packet);
            return;
        }
        note(packet.flow, fmt::format("rejected by server {} of agent {}", m_agents[index].server->incarnation.value, index));
        sendFromServer(index, m_agents[index].server, {rejected(packet.segment), packet.flow});
    });
}

void SteeringRandomRun::acceptSyn(std::size_t index, const Packet &packet)
{
    Server &server = *m_agents[index].server;
    const FlowTuple tuple = flowTupleFromCaller(packet.segment);
    const auto found = server.flows.find(hashOf(tuple));
    const bool isCopy = found != server.flows.end() && found->second.callerInitial == packet.segment.sequence;
    if (!isCopy) {
        if (chance(0.01)) {
            sendFromServer(index, m_agents[index].server, {rejected(packet.segment), packet.flow});
            return;
        }
        ServerFlow flow;
        flow.flow = packet.flow;
        flow.callerInitial = packet.segment.sequence;
        flow.received = packet.segment.sequence + 1;
        flow.initial = m_random();
        flow.sent = flow.acknowledged = flow.initial + 1;
        server.flows[hashOf(tuple)] = flow;
    }
    const ServerFlow &flow = server.flows[hashOf(tuple)];
    if (flow.hasEnded || flow.isOpen) {
        return;
    }
    Segment answer = synAck(tuple, flow.initial);
    answer.acknowledgement = flow.callerInitial + 1;
    note(packet.flow, fmt::format("SYN-ACK of server {} of agent {}", server.incarnation.value, index));
    after(Milliseconds(random(3)), [this, index, server = m_agents[index].server, answer, number = packet.flow] {
        sendFromServer(index, server, {answer, number});
    });
}

void SteeringRandomRun::receiveAtServer(std::size_t index, ServerFlow &flow, const Packet &packet)
{
    const Segment &segment = packet.segment;
    const std::shared_ptr<Server> server = m_agents[index].server;
    const FlowTuple tuple = flowTupleFromCaller(segment);
    if (segment.isRst) {
        flow.hasEnded = true;
        return;
    }
    if (flow.hasEnded) {
        Segment answer = fromServer(tuple);
        answer.sequence = segment.acknowledgement;
        answer.isFin = segment.isFin;
        answer.isRst = segment.length > 0;
        if (segment.isFin || segment.length > 0) {
            sendFromServer(index, server, {answer, packet.flow});
        }
        return;
    }
    if (!flow.isOpen) {
        flow.isOpen = true;
        FlowRecord &record = m_flows[packet.flow];
        record.openedAt = record.lastDelivered = m_now;
        record.ownerAgent = index;
        record.owner = server->incarnation;
        record.strays.clear();
        note(packet.flow, fmt::format("OPEN at server {} of agent {}", server->incarnation.value, index));
    }
    if (static_cast<std::int32_t>(segment.acknowledgement - flow.acknowledged) > 0) {
        flow.acknowledged = segment.acknowledgement;
    }
    if (segment.length > 0 && segment.sequence == flow.received) {
        flow.received += segment.length;
        const std::uint64_t key = hashOf(tuple);
        const Milliseconds delay(5 + random(chance(0.1) ? 800 : 100));
        after(delay, [this, index, server, key] {
            respond(index, server, key);
        });
    }
    if (segment.isFin && segment.sequence == flow.received) {
        flow.hasEnded = true;
        Segment answer = fromServer(tuple);
        answer.sequence = flow.sent;
        answer.acknowledgement = flow.received + 1;
        answer.isFin = true;
        sendFromServer(index, server, {answer, packet.flow});
    }
}

void SteeringRandomRun::respond(std::size_t index, const std::shared_ptr<Server> &server, std::uint64_t key)
{
    ServerFlow &flow = server->flows[key];
    if (flow.hasEnded || !flow.isOpen || m_agents[index].server != server) {
        return;
    }
    Segment response = fromServer(m_flows[flow.flow].tuple);
    response.sequence = flow.sent;
    response.acknowledgement = flow.received;
    response.length = responseLength;
    response.isFin = server->isDraining;
    flow.sent += responseLength;
    flow.response = response;
    retransmit(index, server, key, 0);
}

void SteeringRandomRun::retransmit(std::size_t index, const std::shared_ptr<Server> &server, std::uint64_t key, int attempt)
{
    const ServerFlow &flow = server->flows[key];
    if (flow.hasEnded || !flow.response || m_agents[index].server != server) {
        return;
    }
    const std::uint32_t end = flow.response->sequence + flow.response->length;
    if (static_cast<std::int32_t>(end - flow.acknowledged) <= 0 || attempt > 8) {
        return;
    }
    sendFromServer(index, server, {*flow.response, flow.flow});
    after(Milliseconds(200) * (1 << std::min(attempt, 3)), [this, index, server, key, attempt] {
        retransmit(index, server, key, attempt + 1);
    });
}

void SteeringRandomRun::sendFromServer(std::size_t index, const std::shared_ptr<Server> &server, const Packet &packet)
{
    after(localDelay, [this, index, server, packet] {
        Agent &agent = m_agents[index];
        if (!agent.steering || agent.server != server) {
            return;
        }
        const AgentDecision decision = agent.steering->handleServerPacket(m_now, packet.segment, m_notices);
        Packet next = packet;
        next.segment.isRejected = false;
        execute(index, decision, next);
        sendNotices(index);
        releaseHeldRequests(index);
    });
}

}
