#include <jujubequay/daemon/call_run.h>

#include <jujubequay/wire/byte_order.h>

#include <algorithm>
#include <utility>

namespace Jujubequay {

namespace {

/// Shares the 4-byte prefix of client identifiers: 2 bytes for the caller, 2 for its flow.
constexpr std::uint32_t callerShift = 16;

/// Two processes must not draw the same caller identities: an agent would take their requests for attempts of one request.
std::uint64_t randomSeed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

std::array<std::uint8_t, 16> drawIdentity(std::mt19937_64 &random)
{
    std::array<std::uint8_t, 16> identity{};
    std::uint8_t *next = writeBigEndian(identity.data(), random());
    writeBigEndian(next, random());
    return identity;
}

}

struct CallRun::Member {
    std::unique_ptr<Caller> caller;
    std::set<RequestTicket> feeds;
    TimePoint timeout = TimePoint::max(); ///< as entered in m_timeouts
};

Result<std::unique_ptr<CallRun>> CallRun::start(
    asio::io_context &context, const Clock &clock, const CallSettings &settings, CallPlan plan, const std::shared_ptr<const TlsCredentials> &credentials)
{
    auto run = std::make_unique<CallRun>(context, clock, settings, std::move(plan));
    BOOST_LEAF_CHECK(run->open(credentials));
    return run;
}

CallRun::CallRun(asio::io_context &context, const Clock &clock, const CallSettings &settings, CallPlan plan)
    : m_context(context)
    , m_clock(clock)
    , m_settings(settings)
    , m_plan(std::move(plan))
    , m_random(settings.seed == 0 ? randomSeed() : settings.seed)
    , m_timer(context)
{
}

CallRun::~CallRun()
{
    if (m_socket) {
        m_socket->close();
    }
}

Result<void> CallRun::open(const std::shared_ptr<const TlsCredentials> &credentials)
{
    SprayingSocketOptions socketOptions{m_plan.local, m_settings.balancers, m_plan.loss};
    BOOST_LEAF_AUTO(socket, SprayingSocket::open(m_context, std::move(socketOptions), m_random, [this](std::span<const std::uint8_t> datagram) {
                        receive(datagram);
                    }));
    m_socket = std::move(socket);
    m_started = m_clock.now();
    for (std::uint32_t index = 0; index < m_plan.callers; ++index) {
        CallerOptions options;
        options.serviceName = m_plan.service;
        options.flows = m_plan.flowsPerCaller;
        options.maxRetries = m_settings.retries;
        options.connectionIdPrefix = static_cast<std::uint16_t>(index);
        auto member = std::make_unique<Member>();
        member->caller = std::make_unique<Caller>(std::move(options), credentials, drawIdentity(m_random), *m_socket, m_random);
        m_members.push_back(std::move(member));
        for (std::uint32_t feed = 0; feed < m_plan.feedsPerCaller; ++feed) {
            submit(index, WorkClass::Feed, m_plan.feedPath);
        }
        advance(index);
    }
    submitDue();
    wait();
    return {};
}

void CallRun::receive(std::span<const std::uint8_t> datagram)
{
    const std::optional<std::uint32_t> prefix = clientConnectionIdPrefix(datagram);
    if (m_done || !prefix || *prefix >> callerShift >= m_members.size()) {
        return;
    }
    const std::uint32_t index = *prefix >> callerShift;
    m_members[index]->caller->receive(m_clock.now(), datagram);
    advance(index);
    wait();
}

void CallRun::advance(std::uint32_t index)
{
    Member &member = *m_members[index];
    member.caller->flush(m_clock.now());
    for (const CallerEvent &event : member.caller->takeEvents()) {
        if (const auto *part = std::get_if<FeedReceived>(&event)) {
            m_summary.addFeedPart(part->ticket, index, *part);
        } else if (const auto *answered = std::get_if<Answered>(&event)) {
            m_summary.add(*answered);
            m_answered += member.feeds.erase(answered->ticket) > 0 ? 0 : 1;
        }
    }
    const TimePoint timeout = member.caller->nextTimeout().value_or(TimePoint::max());
    if (timeout != member.timeout) {
        m_timeouts.erase({member.timeout, index});
        member.timeout = timeout;
        m_timeouts.emplace(timeout, index);
    }
    checkDone();
}

void CallRun::wait()
{
    if (m_done) {
        m_timer.cancel();
        return;
    }
    TimePoint next = m_timeouts.empty() ? TimePoint::max() : m_timeouts.begin()->first;
    next = std::min(next, nextSubmission());
    if (m_plan.duration > Duration::zero()) {
        next = std::min(next, m_started + m_plan.duration);
    }
    if (next == m_timer.expiry() && next > m_clock.now()) {
        return;
    }
    m_timer.expires_at(next);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            handleTime();
        }
    });
}

void CallRun::handleTime()
{
    const TimePoint now = m_clock.now();
    std::vector<std::uint32_t> due;
    for (auto entry = m_timeouts.begin(); entry != m_timeouts.end() && entry->first <= now; ++entry) {
        due.push_back(entry->second);
    }
    for (const std::uint32_t index : due) {
        m_members[index]->caller->handleTimeout(now);
        advance(index);
    }
    submitDue();
    checkDone();
    wait();
}

TimePoint CallRun::nextSubmission() const
{
    if (m_plan.requests > 0 && m_submitted >= m_plan.requests) {
        return TimePoint::max();
    }
    if (m_plan.ratePerSecond <= 0) {
        return m_plan.requests > 0 ? m_started : TimePoint::max();
    }
    const std::chrono::duration<double> offset(static_cast<double>(m_submitted) / m_plan.ratePerSecond);
    return m_started + std::chrono::duration_cast<Duration>(offset);
}

void CallRun::submitDue()
{
    while (!m_done && nextSubmission() <= m_clock.now()) {
        const auto index = static_cast<std::uint32_t>(m_submitted % m_members.size());
        ++m_submitted;
        submit(index, m_settings.workClass, m_plan.path);
        advance(index);
    }
}

void CallRun::submit(std::uint32_t index, WorkClass workClass, const std::string &path)
{
    Request request;
    request.customer = m_settings.customer;
    request.path = path;
    request.workClass = workClass;
    request.idempotent = m_settings.isIdempotent;
    request.body = Bytes(m_plan.bodyBytes);
    const bool isFeed = workClass == WorkClass::Feed;
    if (!isFeed) {
        request.deadline = m_settings.deadline;
        m_summary.addSubmitted();
    }
    Member &member = *m_members[index];
    const RequestTicket ticket = member.caller->submit(m_clock.now(), std::move(request));
    if (isFeed) {
        member.feeds.insert(ticket);
    }
}

void CallRun::checkDone()
{
    const bool isOver = m_plan.duration > Duration::zero() && m_clock.now() >= m_started + m_plan.duration;
    const bool isAnswered = m_plan.duration == Duration::zero() && m_plan.requests > 0 && m_answered >= m_plan.requests;
    if (!m_done && (isOver || isAnswered)) {
        stop();
    }
}

void CallRun::stop()
{
    if (std::exchange(m_done, true)) {
        return;
    }
    for (const std::unique_ptr<Member> &member : m_members) {
        m_summary.add(member->caller->statistics());
        member->caller->close(m_clock.now());
    }
    m_timer.cancel();
    m_socket->close();
}

bool CallRun::isDone() const
{
    return m_done;
}

const CallSummary &CallRun::summary() const
{
    return m_summary;
}

}
