#include "soak/stand_in_server.h"

#include "soak/http_call.h"

#include <jujubequay/wire/byte_order.h>

#include <fmt/format.h>

#include <memory>

namespace Jujubequay::Soak {

namespace {

constexpr auto announceInterval = std::chrono::milliseconds(500);
constexpr auto callTimeout = std::chrono::seconds(1);
constexpr auto shortestWork = std::chrono::milliseconds(2);
constexpr unsigned workSpreadMs = 20;

std::uint64_t wallClockMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

template<class Socket>
void close(Socket &socket)
{
    asio::error_code ignored;
    socket.close(ignored);
}

}

StandInServer::StandInServer(
    asio::io_context &context, const Addresses &addresses, std::uint8_t number, std::string service, std::mt19937_64 &random, Ledger &ledger)
    : m_context(context)
    , m_addresses(addresses)
    , m_number(number)
    , m_service(std::move(service))
    , m_random(random)
    , m_ledger(ledger)
    , m_format(Addresses::callerPort)
    , m_socket(context)
    , m_acceptor(context)
    , m_announceTimer(context, announceInterval, [this] {
        announce();
    })
{
}

void StandInServer::start()
{
    const HostAddress address = m_addresses.server(m_number);
    const asio::ip::address_v4 ip(address.ip);
    m_socket.open(asio::ip::udp::v4());
    m_socket.bind({ip, address.port});
    m_acceptor.open(asio::ip::tcp::v4());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind({ip, address.port});
    m_acceptor.listen();
    ++m_starts;
    m_isRunning = true;
    m_hasLeft = false;
    m_announced = {fmt::format("server-{}-{}", m_number, m_starts), m_service, address, "zone-a", wallClockMs(), 0, 4, false};
    receive();
    acceptConnections();
    announce();
    if (m_starts == 1) {
        m_announceTimer.start();
    }
}

void StandInServer::drain()
{
    m_announced.isDraining = true;
    announce();
}

void StandInServer::leave()
{
    if (m_isRunning) {
        m_hasLeft = true;
        sendCall(m_context, m_addresses.agentAnnounce(m_number), Platform::deregisterRequest(m_announced.id), callTimeout, [](const HttpAnswer &) {});
    }
}

void StandInServer::end()
{
    m_isRunning = false;
    m_flows.clear();
    close(m_socket);
    close(m_acceptor);
}

bool StandInServer::isRunning() const
{
    return m_isRunning;
}

bool StandInServer::holds(const FlowTuple &ends) const
{
    const auto found = m_flows.find(ends);
    return found != m_flows.end() && found->second.isOpen;
}

void StandInServer::announce()
{
    if (m_isRunning && !m_hasLeft) {
        ++m_announced.sequence;
        sendCall(m_context, m_addresses.agentAnnounce(m_number), Platform::heartbeatRequest(m_announced), callTimeout, [](const HttpAnswer &) {});
    }
}

// An agent that starts looks whether something listens here.
void StandInServer::acceptConnections()
{
    m_acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket) {
        if (!error) {
            acceptConnections();
        }
    });
}

void StandInServer::receive()
{
    m_socket.async_receive(asio::buffer(m_buffer), [this, start = m_starts](const asio::error_code &error, std::size_t length) {
        if (start != m_starts || !m_isRunning) {
            return;
        }
        if (!error) {
            handle(std::span(m_buffer).first(length));
        }
        receive();
    });
}

void StandInServer::handle(std::span<std::uint8_t> packet)
{
    const auto segment = m_format.decode(packet);
    if (!segment) {
        return;
    }
    const FlowTuple ends = flowTupleFromCaller(*segment);
    if (segment->isSyn) {
        open(ends, *segment);
        return;
    }
    const auto found = m_flows.find(ends);
    const bool isAcknowledged = found != m_flows.end() && (found->second.isOpen || segment->acknowledgement == found->second.ownSequence);
    if (!isAcknowledged) {
        Platform::markRejected(packet);
        sendBytes(packet);
        return;
    }
    found->second.isOpen = true;
    handleData(ends, found->second, *segment, Platform::packetData(packet));
}

void StandInServer::open(const FlowTuple &ends, const Segment &segment)
{
    const auto [entry, isNew] = m_flows.try_emplace(ends);
    Flow &flow = entry->second;
    if (isNew) {
        flow.ownSequence = static_cast<std::uint32_t>(m_random());
        flow.callerSequence = segment.sequence + 1;
        ++flow.ownSequence;
    }
    Segment answer;
    answer.isSyn = true;
    answer.sequence = flow.ownSequence - 1;
    answer.acknowledgement = flow.callerSequence;
    send(ends, answer);
}

void StandInServer::handleData(const FlowTuple &ends, Flow &flow, const Segment &segment, std::span<const std::uint8_t> data)
{
    if (segment.isFin || segment.isRst) {
        Segment answer;
        answer.isFin = true;
        answer.sequence = flow.ownSequence;
        answer.acknowledgement = segment.sequence + 1;
        send(ends, answer);
        m_flows.erase(ends);
        return;
    }
    if (!flow.lastAnswer.empty() && segment.sequence == flow.lastRequest) {
        sendBytes(flow.lastAnswer);
        return;
    }
    if (segment.sequence != flow.callerSequence || data.size() < sizeof(std::uint64_t)) {
        return;
    }
    const std::uint8_t *in = data.data();
    const auto request = readBigEndian<std::uint64_t>(in);
    flow.callerSequence += segment.length;
    flow.lastRequest = segment.sequence;
    m_ledger.ran(request, m_service);
    const auto timer = std::make_shared<asio::steady_timer>(m_context, shortestWork + std::chrono::milliseconds(m_random() % workSpreadMs));
    timer->async_wait([this, timer, ends, request, start = m_starts](const asio::error_code &error) {
        const auto found = m_flows.find(ends);
        if (error || start != m_starts || !m_isRunning || found == m_flows.end()) {
            return;
        }
        Flow &answering = found->second;
        std::array<std::uint8_t, sizeof(request)> body{};
        writeBigEndian(body.data(), request);
        Segment answer;
        answer.sequence = answering.ownSequence;
        answer.acknowledgement = answering.callerSequence;
        answer.length = body.size();
        answering.ownSequence += answer.length;
        send(ends, answer, body);
    });
}

void StandInServer::send(const FlowTuple &ends, Segment segment, std::span<const std::uint8_t> data)
{
    segment.source = ends.service;
    segment.destination = ends.caller;
    segment.isAck = true;
    const auto packet = Platform::encodePacket(segment, data);
    if (!data.empty()) {
        m_flows.at(ends).lastAnswer = packet;
    }
    sendBytes(packet);
}

void StandInServer::sendBytes(std::span<const std::uint8_t> packet)
{
    const HostAddress output = m_addresses.agentServerOutput(m_number);
    asio::error_code ignored; // an agent that is down takes nothing; the ends repeat their packets
    m_socket.send_to(asio::buffer(packet.data(), packet.size()), {asio::ip::address_v4(output.ip), output.port}, 0, ignored);
}

}
