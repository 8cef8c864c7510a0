#include "soak/caller_stub.h"

#include <jujubequay/wire/byte_order.h>

#include <algorithm>

namespace Jujubequay::Soak {

namespace {

using std::chrono::milliseconds;

constexpr auto timeoutCheckInterval = milliseconds(10);
constexpr auto initialRetransmissionTimeout = milliseconds(200);
constexpr auto maxRetransmissionTimeout = milliseconds(1600);
constexpr unsigned maxSynTransmissions = 3;
/// A flow is abandoned if its last SYN is not answered within this time.
constexpr auto lastSynTimeout = milliseconds(800);
constexpr auto requestTimeout = std::chrono::seconds(4);
constexpr auto closeTimeout = milliseconds(200);
constexpr unsigned maxPauseMs = 150;
constexpr unsigned maxRequestsPerFlow = 40;

}

CallerStub::CallerStub(asio::io_context &context,
                       CallerOptions options,
                       const Clock &clock,
                       const EcmpRouterStub &router,
                       GuaranteeChecker &checker,
                       std::mt19937_64 &random,
                       std::function<bool(const FlowTuple &)> isOpenAtServer)
    : m_options(std::move(options))
    , m_clock(clock)
    , m_router(router)
    , m_checker(checker)
    , m_random(random)
    , m_isOpenAtServer(std::move(isOpenAtServer))
    , m_format(Addresses::callerPort)
    , m_socket(context, {asio::ip::address_v4(m_options.address.ip), m_options.address.port})
    , m_timeoutTimer(context,
                     timeoutCheckInterval,
                     [this] {
                         handleDueTimeouts();
                     })
    , m_flows(m_options.flows)
{
}

void CallerStub::start()
{
    for (Flow &flow : m_flows) {
        pause(m_clock.now(), flow);
    }
    receive();
    m_timeoutTimer.start();
}

void CallerStub::handleDueTimeouts()
{
    const TimePoint now = m_clock.now();
    for (Flow &flow : m_flows) {
        if (now >= flow.nextTimeout) {
            handleTimeout(now, flow);
        }
    }
}

void CallerStub::handleTimeout(TimePoint now, Flow &flow)
{
    switch (flow.state) {
    case State::Pausing:
        flow.isEstablished ? startRequest(now, flow) : open(now, flow);
        return;
    case State::Opening:
        if (++flow.retransmissions >= maxSynTransmissions) {
            abandon(now, flow);
            return;
        }
        {
            Segment segment = nextSegment(flow);
            segment.sequence = flow.callerSequence - 1;
            segment.isSyn = true;
            segment.retransmissionCount = flow.retransmissions;
            flow.packet = Platform::encodePacket(segment);
        }
        transmit(flow);
        flow.nextTimeout = now + (flow.retransmissions + 1 < maxSynTransmissions ? 2 * initialRetransmissionTimeout : lastSynTimeout);
        return;
    case State::AwaitingAnswer:
        if (now >= flow.deadline) {
            abandon(now, flow);
            return;
        }
        ++flow.retransmissions;
        transmit(flow);
        flow.nextTimeout = now + std::min<Duration>(initialRetransmissionTimeout * (1U << flow.retransmissions), maxRetransmissionTimeout);
        return;
    case State::Closing:
        flow.isEstablished = false;
        pause(now, flow);
        return;
    }
}

Segment CallerStub::nextSegment(const Flow &flow) const
{
    Segment segment;
    segment.source = flow.tuple.caller;
    segment.destination = flow.tuple.service;
    segment.sequence = flow.callerSequence;
    segment.acknowledgement = flow.serverSequence;
    return segment;
}

void CallerStub::open(TimePoint now, Flow &flow)
{
    const Platform::StubRoute &route = m_options.routes[m_random() % m_options.routes.size()];
    flow.tuple = {{m_options.address.ip, m_nextPort++}, route.address};
    flow.isIdempotent = route.isIdempotent;
    flow.callerSequence = static_cast<std::uint32_t>(m_random());
    flow.serverSequence = 0;
    flow.requestsLeft = 1 + static_cast<unsigned>(m_random() % maxRequestsPerFlow);
    flow.request = 0;
    flow.retransmissions = 0;
    flow.state = State::Opening;
    Segment segment = nextSegment(flow);
    segment.isSyn = true;
    flow.packet = Platform::encodePacket(segment);
    ++flow.callerSequence;
    transmit(flow);
    flow.nextTimeout = now + initialRetransmissionTimeout;
    flow.request = m_checker.newRequest(flow.tuple.service, flow.isIdempotent);
}

void CallerStub::startRequest(TimePoint now, Flow &flow)
{
    flow.request = m_checker.newRequest(flow.tuple.service, flow.isIdempotent);
    sendRequest(now, flow);
}

void CallerStub::sendRequest(TimePoint now, Flow &flow)
{
    std::array<std::uint8_t, sizeof(flow.request)> body{};
    writeBigEndian(body.data(), flow.request);
    Segment segment = nextSegment(flow);
    segment.isAck = true;
    segment.length = body.size();
    flow.packet = Platform::encodePacket(segment, body);
    flow.state = State::AwaitingAnswer;
    flow.retransmissions = 0;
    flow.deadline = now + requestTimeout;
    flow.nextTimeout = now + initialRetransmissionTimeout;
    transmit(flow);
}

void CallerStub::close(TimePoint now, Flow &flow)
{
    Segment segment = nextSegment(flow);
    segment.isAck = true;
    segment.isFin = true;
    flow.packet = Platform::encodePacket(segment);
    transmit(flow);
    flow.state = State::Closing;
    flow.nextTimeout = now + closeTimeout;
}

void CallerStub::pause(TimePoint now, Flow &flow)
{
    flow.state = State::Pausing;
    flow.nextTimeout = now + milliseconds(m_random() % maxPauseMs);
}

void CallerStub::abandon(TimePoint now, Flow &flow)
{
    m_checker.recordUnanswered(flow.request);
    flow.isEstablished = false;
    pause(now, flow);
}

void CallerStub::transmit(const Flow &flow)
{
    const HostAddress balancer = m_router.balancerFor(flow.tuple);
    asio::error_code ignored; // if the balancer is down, the packet is retransmitted later
    m_socket.send_to(asio::buffer(flow.packet), {asio::ip::address_v4(balancer.ip), balancer.port}, 0, ignored);
}

void CallerStub::receive()
{
    m_socket.async_receive(asio::buffer(m_buffer), [this](const asio::error_code &error, std::size_t length) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            handlePacket(std::span(m_buffer).first(length));
        }
        receive();
    });
}

void CallerStub::handlePacket(std::span<const std::uint8_t> packet)
{
    const auto segment = m_format.decode(packet);
    if (!segment) {
        return;
    }
    const FlowTuple tuple = flowTupleFromServer(*segment);
    const auto found = std::find_if(m_flows.begin(), m_flows.end(), [&tuple](const Flow &flow) {
        return flow.tuple == tuple;
    });
    if (found == m_flows.end()) {
        return;
    }
    Flow &flow = *found;
    const TimePoint now = m_clock.now();
    const bool isRequestPending = flow.state == State::Opening || flow.state == State::AwaitingAnswer;
    if (segment->isRst) {
        if (flow.isEstablished) {
            m_checker.recordReset(toString(tuple.caller) + " to " + toString(tuple.service), m_isOpenAtServer(tuple));
        }
        if (isRequestPending) {
            abandon(now, flow);
        }
        flow.isEstablished = false;
    } else if (segment->isSyn && flow.state == State::Opening) {
        flow.serverSequence = segment->sequence + 1;
        flow.isEstablished = true;
        m_checker.recordFlowOpened();
        sendRequest(now, flow);
    } else if (flow.state == State::AwaitingAnswer && segment->length > 0 && segment->sequence == flow.serverSequence) {
        const std::uint8_t *in = Platform::packetData(packet).data();
        m_checker.recordAnswer(flow.request, readBigEndian<std::uint64_t>(in));
        flow.serverSequence += segment->length;
        flow.callerSequence += sizeof(flow.request);
        --flow.requestsLeft;
        flow.requestsLeft == 0 ? close(now, flow) : pause(now, flow);
    }
}

}
