#include <jujubequay/daemon/call_run.h>

#include <jujubequay/wire/byte_order.h>

#include <algorithm>
#include <utility>

namespace Jujubequay {

namespace {

/// The upper 2 bytes of the 4-byte prefix of client identifiers identify the caller, the lower 2 bytes its flow.
constexpr std::uint32_t callerShift = 16;

/// Returns a seed that differs between processes. If two processes drew the same caller identities, an agent would treat their requests as
/// attempts of one request.
std::uint64_t randomSeed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

std::array<std::uint8_t, 16> drawCallerIdentity(std::mt19937_64 &random)
{
    std::array<std::uint8_t, 16> identity{};
    std::uint8_t *next = writeBigEndian(identity.data(), random());
    writeBigEndian(next, random());
    return identity;
}

}

/// A caller with its feeds and its next timeout.
struct CallRun::CallerState {
    std::unique_ptr<Caller> caller;
    std::set<RequestTicket> feeds;
    TimePoint timeout = TimePoint::max(); ///< key of the entry in m_callerTimeouts
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
    SprayingSocketOptions socketOptions{m_plan.local, m_settings.balancers, m_plan.lossRate};
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
        auto state = std::make_unique<CallerState>();
        state->caller = std::make_unique<Caller>(std::move(options), credentials, drawCallerIdentity(m_random), *m_socket, m_random);
        m_callers.push_back(std::move(state));
        for (std::uint32_t feed = 0; feed < m_plan.feedsPerCaller; ++feed) {
            submit(index, WorkClass::Feed, m_plan.feedPath);
        }
        processCaller(index);
    }
    submitDueRequests();
    armTimer();
    return {};
}

void CallRun::receive(std::span<const std::uint8_t> datagram)
{
    const std::optional<std::uint32_t> prefix = clientConnectionIdPrefix(datagram);
    if (m_isDone || !prefix || *prefix >> callerShift >= m_callers.size()) {
        return;
    }
    const std::uint32_t index = *prefix >> callerShift;
    m_callers[index]->caller->receive(m_clock.now(), datagram);
    processCaller(index);
    armTimer();
}

void CallRun::processCaller(std::uint32_t index)
{
    CallerState &state = *m_callers[index];
    state.caller->flush(m_clock.now());
    for (const CallerEvent &event : state.caller->takeEvents()) {
        if (const auto *part = std::get_if<FeedPartReceived>(&event)) {
            m_summary.addFeedPart(part->ticket, index, *part);
        } else if (const auto *answered = std::get_if<RequestFinished>(&event)) {
            m_summary.add(*answered);
            m_answered += state.feeds.erase(answered->ticket) > 0 ? 0 : 1;
        }
    }
    const TimePoint timeout = state.caller->nextTimeout().value_or(TimePoint::max());
    if (timeout != state.timeout) {
        m_callerTimeouts.erase({state.timeout, index});
        state.timeout = timeout;
        m_callerTimeouts.emplace(timeout, index);
    }
    stopIfDone();
}

void CallRun::armTimer()
{
    if (m_isDone) {
        m_timer.cancel();
        return;
    }
    TimePoint next = m_callerTimeouts.empty() ? TimePoint::max() : m_callerTimeouts.begin()->first;
    next = std::min(next, nextSubmissionTime());
    if (m_plan.duration > Duration::zero()) {
        next = std::min(next, m_started + m_plan.duration);
    }
    if (next == m_timer.expiry() && next > m_clock.now()) {
        return;
    }
    m_timer.expires_at(next);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            handleTimer();
        }
    });
}

void CallRun::handleTimer()
{
    const TimePoint now = m_clock.now();
    std::vector<std::uint32_t> dueCallers;
    for (auto entry = m_callerTimeouts.begin(); entry != m_callerTimeouts.end() && entry->first <= now; ++entry) {
        dueCallers.push_back(entry->second);
    }
    for (const std::uint32_t index : dueCallers) {
        m_callers[index]->caller->handleTimeout(now);
        processCaller(index);
    }
    submitDueRequests();
    stopIfDone();
    armTimer();
}

TimePoint CallRun::nextSubmissionTime() const
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

void CallRun::submitDueRequests()
{
    while (!m_isDone && nextSubmissionTime() <= m_clock.now()) {
        const auto index = static_cast<std::uint32_t>(m_submitted % m_callers.size());
        ++m_submitted;
        submit(index, m_settings.workClass, m_plan.path);
        processCaller(index);
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
    CallerState &state = *m_callers[index];
    const RequestTicket ticket = state.caller->submit(m_clock.now(), std::move(request));
    if (isFeed) {
        state.feeds.insert(ticket);
    }
}

void CallRun::stopIfDone()
{
    const bool isDurationOver = m_plan.duration > Duration::zero() && m_clock.now() >= m_started + m_plan.duration;
    const bool areAllAnswered = m_plan.duration == Duration::zero() && m_plan.requests > 0 && m_answered >= m_plan.requests;
    if (!m_isDone && (isDurationOver || areAllAnswered)) {
        stop();
    }
}

void CallRun::stop()
{
    if (std::exchange(m_isDone, true)) {
        return;
    }
    for (const std::unique_ptr<CallerState> &state : m_callers) {
        m_summary.add(state->caller->statistics());
        state->caller->close(m_clock.now());
    }
    m_timer.cancel();
    m_socket->close();
}

bool CallRun::isDone() const
{
    return m_isDone;
}

const CallSummary &CallRun::summary() const
{
    return m_summary;
}

}
