#include "soak/stand_in_caller.h"

#include <jujubequay/wire/byte_order.h>

#include <algorithm>

namespace Jujubequay::Soak {

namespace {

using std::chrono::milliseconds;

constexpr auto tickInterval = milliseconds(10);
constexpr auto firstRepeat = milliseconds(200);
constexpr auto longestRepeat = milliseconds(1600);
constexpr unsigned openingCopies = 3;
/// An opening is given up this long after its last copy.
constexpr auto openingPatience = milliseconds(800);
constexpr auto requestDeadline = std::chrono::seconds(4);
constexpr auto closePatience = milliseconds(200);
constexpr unsigned longestPauseMs = 150;
constexpr unsigned mostRequests = 40;

}

StandInCaller::StandInCaller(asio::io_context &context,
                             CallerPlan plan,
                             const Clock &clock,
                             const Fabric &fabric,
                             Ledger &ledger,
                             std::mt19937_64 &random,
                             std::function<bool(const FlowTuple &)> isHeld)
    : m_plan(std::move(plan))
    , m_clock(clock)
    , m_fabric(fabric)
    , m_ledger(ledger)
    , m_random(random)
    , m_isHeld(std::move(isHeld))
    , m_format(Addresses::callerPort)
    , m_socket(context, {asio::ip::address_v4(m_plan.address.ip), m_plan.address.port})
    , m_timer(context,
              tickInterval,
              [this] {
                  tick();
              })
    , m_flows(m_plan.flows)
{
}

void StandInCaller::start()
{
    for (Flow &flow : m_flows) {
        pause(m_clock.now(), flow);
    }
    receive();
    m_timer.start();
}

void StandInCaller::tick()
{
    const TimePoint now = m_clock.now();
    for (Flow &flow : m_flows) {
        if (now >= flow.nextAction) {
            act(now, flow);
        }
    }
}

void StandInCaller::act(TimePoint now, Flow &flow)
{
    switch (flow.state) {
    case State::Pausing:
        flow.isOpen ? request(now, flow) : open(now, flow);
        return;
    case State::Opening:
        if (++flow.repeats >= openingCopies) {
            fail(now, flow);
            return;
        }
        {
            Segment segment = segmentOf(flow);
            segment.sequence = flow.ownSequence - 1;
            segment.isSyn = true;
            segment.retransmissionCount = flow.repeats;
            flow.packet = Platform::encodePacket(segment);
        }
        transmit(flow);
        flow.nextAction = now + (flow.repeats + 1 < openingCopies ? 2 * firstRepeat : openingPatience);
        return;
    case State::Waiting:
        if (now >= flow.deadline) {
            fail(now, flow);
            return;
        }
        ++flow.repeats;
        transmit(flow);
        flow.nextAction = now + std::min<Duration>(firstRepeat * (1U << flow.repeats), longestRepeat);
        return;
    case State::Closing:
        flow.isOpen = false;
        pause(now, flow);
        return;
    }
}

Segment StandInCaller::segmentOf(const Flow &flow) const
{
    Segment segment;
    segment.source = flow.ends.caller;
    segment.destination = flow.ends.service;
    segment.sequence = flow.ownSequence;
    segment.acknowledgement = flow.serverSequence;
    return segment;
}

void StandInCaller::open(TimePoint now, Flow &flow)
{
    const Platform::StubRoute &route = m_plan.routes[m_random() % m_plan.routes.size()];
    flow.ends = {{m_plan.address.ip, m_nextPort++}, route.address};
    flow.isIdempotent = route.isIdempotent;
    flow.ownSequence = static_cast<std::uint32_t>(m_random());
    flow.serverSequence = 0;
    flow.requestsLeft = 1 + static_cast<unsigned>(m_random() % mostRequests);
    flow.request = 0;
    flow.repeats = 0;
    flow.state = State::Opening;
    Segment segment = segmentOf(flow);
    segment.isSyn = true;
    flow.packet = Platform::encodePacket(segment);
    ++flow.ownSequence;
    transmit(flow);
    flow.nextAction = now + firstRepeat;
    flow.request = m_ledger.newRequest(flow.ends.service, flow.isIdempotent);
}

void StandInCaller::request(TimePoint now, Flow &flow)
{
    flow.request = m_ledger.newRequest(flow.ends.service, flow.isIdempotent);
    sendRequest(now, flow);
}

void StandInCaller::sendRequest(TimePoint now, Flow &flow)
{
    std::array<std::uint8_t, sizeof(flow.request)> body{};
    writeBigEndian(body.data(), flow.request);
    Segment segment = segmentOf(flow);
    segment.isAck = true;
    segment.length = body.size();
    flow.packet = Platform::encodePacket(segment, body);
    flow.state = State::Waiting;
    flow.repeats = 0;
    flow.deadline = now + requestDeadline;
    flow.nextAction = now + firstRepeat;
    transmit(flow);
}

void StandInCaller::close(TimePoint now, Flow &flow)
{
    Segment segment = segmentOf(flow);
    segment.isAck = true;
    segment.isFin = true;
    flow.packet = Platform::encodePacket(segment);
    transmit(flow);
    flow.state = State::Closing;
    flow.nextAction = now + closePatience;
}

void StandInCaller::pause(TimePoint now, Flow &flow)
{
    flow.state = State::Pausing;
    flow.nextAction = now + milliseconds(m_random() % longestPauseMs);
}

void StandInCaller::fail(TimePoint now, Flow &flow)
{
    m_ledger.unanswered(flow.request);
    flow.isOpen = false;
    pause(now, flow);
}

void StandInCaller::transmit(const Flow &flow)
{
    const HostAddress balancer = m_fabric.balancerFor(flow.ends);
    asio::error_code ignored; // a balancer that is down takes nothing; the packet is repeated
    m_socket.send_to(asio::buffer(flow.packet), {asio::ip::address_v4(balancer.ip), balancer.port}, 0, ignored);
}

void StandInCaller::receive()
{
    m_socket.async_receive(asio::buffer(m_buffer), [this](const asio::error_code &error, std::size_t length) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            handle(std::span(m_buffer).first(length));
        }
        receive();
    });
}

void StandInCaller::handle(std::span<const std::uint8_t> packet)
{
    const auto segment = m_format.decode(packet);
    if (!segment) {
        return;
    }
    const FlowTuple ends = flowTupleFromServer(*segment);
    const auto found = std::find_if(m_flows.begin(), m_flows.end(), [&ends](const Flow &flow) {
        return flow.ends == ends;
    });
    if (found == m_flows.end()) {
        return;
    }
    Flow &flow = *found;
    const TimePoint now = m_clock.now();
    const bool isBusy = flow.state == State::Opening || flow.state == State::Waiting;
    if (segment->isRst) {
        if (flow.isOpen) {
            m_ledger.reset(toString(ends.caller) + " to " + toString(ends.service), m_isHeld(ends));
        }
        if (isBusy) {
            fail(now, flow);
        }
        flow.isOpen = false;
    } else if (segment->isSyn && flow.state == State::Opening) {
        flow.serverSequence = segment->sequence + 1;
        flow.isOpen = true;
        m_ledger.flowOpened();
        sendRequest(now, flow);
    } else if (flow.state == State::Waiting && segment->length > 0 && segment->sequence == flow.serverSequence) {
        const std::uint8_t *in = Platform::packetData(packet).data();
        m_ledger.answered(flow.request, readBigEndian<std::uint64_t>(in));
        flow.serverSequence += segment->length;
        flow.ownSequence += sizeof(flow.request);
        --flow.requestsLeft;
        flow.requestsLeft == 0 ? close(now, flow) : pause(now, flow);
    }
}

}
