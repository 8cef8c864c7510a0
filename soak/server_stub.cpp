#include "soak/server_stub.h"

#include "soak/http_client.h"

#include <jujubequay/wire/byte_order.h>

#include <fmt/format.h>

#include <memory>

namespace Jujubequay::Soak {

namespace {

constexpr auto announceInterval = std::chrono::milliseconds(500);
constexpr auto httpTimeout = std::chrono::seconds(1);
/// Heartbeats of the server for each heartbeat that is not its own.
constexpr std::uint64_t foreignHeartbeatInterval = 4;
constexpr auto minWorkTime = std::chrono::milliseconds(2);
constexpr unsigned workTimeSpreadMs = 20;

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

ServerStub::ServerStub(
    asio::io_context &context, const Addresses &addresses, std::uint8_t number, std::string service, std::mt19937_64 &random, GuaranteeChecker &checker)
    : m_context(context)
    , m_addresses(addresses)
    , m_number(number)
    , m_service(std::move(service))
    , m_random(random)
    , m_checker(checker)
    , m_format(Addresses::callerPort)
    , m_socket(context)
    , m_acceptor(context)
    , m_announceTimer(context, announceInterval, [this] {
        announce();
    })
{
}

void ServerStub::start()
{
    const HostAddress address = m_addresses.server(m_number);
    const asio::ip::address_v4 ip(address.ip);
    m_socket.open(asio::ip::udp::v4());
    m_socket.bind({ip, address.port});
    m_acceptor.open(asio::ip::tcp::v4());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind({ip, address.port});
    m_acceptor.listen();
    ++m_incarnation;
    m_isRunning = true;
    m_isDeregistered = false;
    m_announcement = {fmt::format("server-{}-{}", m_number, m_incarnation), m_service, address, "zone-a", wallClockMs(), 0, 4, false};
    receive();
    acceptConnections();
    announce();
    if (m_incarnation == 1) {
        m_announceTimer.start();
    }
}

void ServerStub::drain()
{
    m_announcement.isDraining = true;
    announce();
}

void ServerStub::deregister()
{
    if (m_isRunning) {
        m_isDeregistered = true;
        sendHttpRequest(
            m_context, m_addresses.agentAnnounce(m_number), Platform::deregisterRequest(m_announcement.id), httpTimeout, [](const HttpResponse &) {});
    }
}

void ServerStub::stop()
{
    m_isRunning = false;
    m_flows.clear();
    close(m_socket);
    close(m_acceptor);
}

bool ServerStub::isRunning() const
{
    return m_isRunning;
}

bool ServerStub::hasOpenFlow(const FlowTuple &tuple) const
{
    const auto found = m_flows.find(tuple);
    return found != m_flows.end() && found->second.isEstablished;
}

void ServerStub::announce()
{
    if (m_isRunning && !m_isDeregistered) {
        ++m_announcement.sequence;
        sendHttpRequest(m_context, m_addresses.agentAnnounce(m_number), Platform::heartbeatRequest(m_announcement), httpTimeout, [](const HttpResponse &) {});
        sendForeignHeartbeat();
    }
}

// Another process may send heartbeats to the agent. They must neither end this server nor turn the agent to another one.
void ServerStub::sendForeignHeartbeat()
{
    if (m_announcement.sequence % foreignHeartbeatInterval != 0) {
        return;
    }
    const std::vector<Platform::HttpRequest> requests = Platform::foreignHeartbeatRequests(m_announcement);
    const Platform::HttpRequest &request = requests[(m_announcement.sequence / foreignHeartbeatInterval + m_number) % requests.size()];
    sendHttpRequest(m_context, m_addresses.agentAnnounce(m_number), request, httpTimeout, [](const HttpResponse &) {});
}

// A starting agent connects to this port to find out whether a server is running.
void ServerStub::acceptConnections()
{
    m_acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket) {
        if (!error) {
            acceptConnections();
        }
    });
}

void ServerStub::receive()
{
    m_socket.async_receive(asio::buffer(m_buffer), [this, incarnation = m_incarnation](const asio::error_code &error, std::size_t length) {
        if (incarnation != m_incarnation || !m_isRunning) {
            return;
        }
        if (!error) {
            handlePacket(std::span(m_buffer).first(length));
        }
        receive();
    });
}

void ServerStub::handlePacket(std::span<std::uint8_t> packet)
{
    const auto segment = m_format.decode(packet);
    if (!segment) {
        return;
    }
    const FlowTuple tuple = flowTupleFromCaller(*segment);
    if (segment->isSyn) {
        acceptFlow(tuple, *segment);
        return;
    }
    const auto found = m_flows.find(tuple);
    const bool isAccepted = found != m_flows.end() && (found->second.isEstablished || segment->acknowledgement == found->second.serverSequence);
    if (!isAccepted) {
        Platform::markRejected(packet);
        sendBytes(packet);
        return;
    }
    found->second.isEstablished = true;
    handleData(tuple, found->second, *segment, Platform::packetData(packet));
}

void ServerStub::acceptFlow(const FlowTuple &tuple, const Segment &segment)
{
    const auto [entry, isNew] = m_flows.try_emplace(tuple);
    Flow &flow = entry->second;
    if (isNew) {
        flow.serverSequence = static_cast<std::uint32_t>(m_random());
        flow.callerSequence = segment.sequence + 1;
        ++flow.serverSequence;
    }
    Segment answer;
    answer.isSyn = true;
    answer.sequence = flow.serverSequence - 1;
    answer.acknowledgement = flow.callerSequence;
    send(tuple, answer);
}

void ServerStub::handleData(const FlowTuple &tuple, Flow &flow, const Segment &segment, std::span<const std::uint8_t> data)
{
    if (segment.isFin || segment.isRst) {
        Segment answer;
        answer.isFin = true;
        answer.sequence = flow.serverSequence;
        answer.acknowledgement = segment.sequence + 1;
        send(tuple, answer);
        m_flows.erase(tuple);
        return;
    }
    if (!flow.lastAnswer.empty() && segment.sequence == flow.lastRequestSequence) {
        sendBytes(flow.lastAnswer);
        return;
    }
    if (segment.sequence != flow.callerSequence || data.size() < sizeof(std::uint64_t)) {
        return;
    }
    const std::uint8_t *in = data.data();
    const auto request = readBigEndian<std::uint64_t>(in);
    flow.callerSequence += segment.length;
    flow.lastRequestSequence = segment.sequence;
    m_checker.recordExecution(request, m_service);
    const auto timer = std::make_shared<asio::steady_timer>(m_context, minWorkTime + std::chrono::milliseconds(m_random() % workTimeSpreadMs));
    timer->async_wait([this, timer, tuple, request, incarnation = m_incarnation](const asio::error_code &error) {
        const auto found = m_flows.find(tuple);
        if (error || incarnation != m_incarnation || !m_isRunning || found == m_flows.end()) {
            return;
        }
        Flow &answeredFlow = found->second;
        std::array<std::uint8_t, sizeof(request)> body{};
        writeBigEndian(body.data(), request);
        Segment answer;
        answer.sequence = answeredFlow.serverSequence;
        answer.acknowledgement = answeredFlow.callerSequence;
        answer.length = body.size();
        answeredFlow.serverSequence += answer.length;
        send(tuple, answer, body);
    });
}

void ServerStub::send(const FlowTuple &tuple, Segment segment, std::span<const std::uint8_t> data)
{
    segment.source = tuple.service;
    segment.destination = tuple.caller;
    segment.isAck = true;
    const auto packet = Platform::encodePacket(segment, data);
    if (!data.empty()) {
        m_flows.at(tuple).lastAnswer = packet;
    }
    sendBytes(packet);
}

void ServerStub::sendBytes(std::span<const std::uint8_t> packet)
{
    const HostAddress output = m_addresses.agentServerOutput(m_number);
    asio::error_code ignored; // if the agent is down, the packet is lost and the caller retransmits its request
    m_socket.send_to(asio::buffer(packet.data(), packet.size()), {asio::ip::address_v4(output.ip), output.port}, 0, ignored);
}

}
