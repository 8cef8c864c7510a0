#include <jujubequay/client/caller.h>
#include <jujubequay/wire/flow_close.h>

#include <jujubequay/core/invariant.h>

#include <request.pb.h>

#include <algorithm>
#include <utility>

namespace Jujubequay {

namespace pb = jujubequay::pb;

namespace {

constexpr std::uint32_t prefixShift = 16;

bool isIdempotent(const Request &request)
{
    return request.idempotent || request.workClass == WorkClass::Feed;
}

bool isFeed(const Request &request)
{
    return request.workClass == WorkClass::Feed;
}

pb::RequestClass wireClass(WorkClass workClass)
{
    switch (workClass) {
    case WorkClass::Critical:
        return pb::REQUEST_CLASS_CRITICAL;
    case WorkClass::Interactive:
        return pb::REQUEST_CLASS_INTERACTIVE;
    case WorkClass::Bulk:
        return pb::REQUEST_CLASS_BULK;
    case WorkClass::Feed:
        return pb::REQUEST_CLASS_FEED;
    }
    return pb::REQUEST_CLASS_INTERACTIVE;
}

std::uint32_t wholeMilliseconds(Duration duration)
{
    const auto count = std::chrono::ceil<std::chrono::milliseconds>(duration).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 1, UINT32_MAX));
}

}

Caller::Caller(CallerOptions options,
               std::shared_ptr<const TlsCredentials> credentials,
               const std::array<std::uint8_t, 16> &identity,
               QuicClientSink &sink,
               std::mt19937_64 &random)
    : m_options(std::move(options))
    , m_credentials(std::move(credentials))
    , m_identity(identity)
    , m_sink(sink)
    , m_random(random)
    , m_budget(m_options.retries)
{
}

Caller::~Caller() = default;

RequestTicket Caller::submit(TimePoint now, Request request)
{
    const RequestTicket ticket{m_nextTicket++};
    Work &work = m_works[ticket];
    work.sequence = m_nextSequence++;
    work.submittedAt = now;
    work.notBefore = now;
    if (request.deadline) {
        work.deadline = now + *request.deadline;
    }
    if (request.resumePosition > 0) {
        work.position = request.resumePosition;
    }
    work.request = std::move(request);
    m_budget.recordRequest();
    return ticket;
}

void Caller::cancel(TimePoint now, RequestTicket ticket)
{
    if (const auto found = m_works.find(ticket); found != m_works.end()) {
        const bool mayHaveRun = found->second.first.has_value();
        finish(now, ticket, mayHaveRun ? ResultCode::Cancelled : ResultCode::NotRunCancelled, "cancelled by the caller", {});
    }
}

void Caller::receive(TimePoint now, std::span<const std::uint8_t> datagram)
{
    const std::optional<std::uint32_t> prefix = clientConnectionIdPrefix(datagram);
    if (!prefix || *prefix >> prefixShift != m_options.connectionIdPrefix) {
        return;
    }
    const std::uint32_t mask = (1U << prefixShift) - 1;
    const auto found = std::find_if(m_flows.begin(), m_flows.end(), [&](const auto &entry) {
        return (entry.first & mask) == (*prefix & mask);
    });
    if (found != m_flows.end()) {
        found->second.transport->receive(now, datagram);
        takeFlowEvents(now);
    }
}

void Caller::flush(TimePoint now)
{
    if (m_closed) {
        return;
    }
    expire(now);
    do {
        openMissingFlows(now);
        sendDue(now);
        for (auto &[number, flow] : m_flows) {
            flow.transport->flush(now);
        }
    } while (takeFlowEvents(now));
    closeIdleDrainedFlows(now);
}

std::optional<TimePoint> Caller::nextTimeout() const
{
    if (m_closed) {
        return std::nullopt;
    }
    TimePoint next = TimePoint::max();
    for (const auto &[number, flow] : m_flows) {
        next = std::min(next, flow.transport->nextTimeout().value_or(TimePoint::max()));
    }
    const auto isCounted = [](const auto &entry) {
        return !(entry.second.greeting && entry.second.greeting->draining);
    };
    if (static_cast<std::size_t>(std::count_if(m_flows.begin(), m_flows.end(), isCounted)) < m_options.flows) {
        next = std::min(next, m_openNotBefore);
    }
    for (const auto &[ticket, work] : m_works) {
        next = std::min(next, work.deadline.value_or(TimePoint::max()));
        // A request that is due and waits for a flow goes on with the flow's next event.
        const bool waitsForTime = !work.flow && work.notBefore > m_lastFlush;
        next = waitsForTime ? std::min(next, work.notBefore) : next;
    }
    return next == TimePoint::max() ? std::nullopt : std::optional(next);
}

void Caller::handleTimeout(TimePoint now)
{
    for (auto &[number, flow] : m_flows) {
        if (flow.transport->nextTimeout().value_or(TimePoint::max()) <= now) {
            flow.transport->handleTimeout(now);
        }
    }
    takeFlowEvents(now);
    flush(now);
}

CallerEvents Caller::takeEvents()
{
    return std::exchange(m_events, {});
}

void Caller::close(TimePoint now)
{
    for (auto &[number, flow] : m_flows) {
        flow.transport->close(now);
    }
    m_flows.clear();
    m_works.clear();
    m_closed = true;
}

std::size_t Caller::openRequests() const
{
    return m_works.size();
}

std::size_t Caller::readyFlows() const
{
    return static_cast<std::size_t>(std::count_if(m_flows.begin(), m_flows.end(), [](const auto &entry) {
        return entry.second.greeting.has_value();
    }));
}

const CallerStatistics &Caller::statistics() const
{
    return m_statistics;
}

void Caller::openFlow(TimePoint now, std::optional<Greeting> resumes)
{
    const std::uint64_t number = m_nextFlow++;
    QuicClientOptions options;
    options.serviceName = m_options.serviceName;
    options.idleTimeout = m_options.idleTimeout;
    options.handshakeTimeout = m_options.handshakeTimeout;
    options.keepAlive = m_options.keepAlive;
    options.connectionIdPrefix = (std::uint32_t{m_options.connectionIdPrefix} << prefixShift) | static_cast<std::uint32_t>(number & ((1U << prefixShift) - 1));
    const Bytes destination = resumes ? resumes->resumeIdentifier : Bytes();
    Flow &flow = m_flows[number];
    flow.transport = std::make_unique<CallerFlow>(std::move(options), m_credentials, destination, m_options.maxAnswerBytes, m_sink, m_random, now);
    flow.resumes = std::move(resumes);
}

void Caller::openMissingFlows(TimePoint now)
{
    const auto wanted = [this] {
        return static_cast<std::size_t>(std::count_if(m_flows.begin(),
                                                      m_flows.end(),
                                                      [](const auto &entry) {
                                                          return !(entry.second.greeting && entry.second.greeting->draining);
                                                      }))
            < m_options.flows;
    };
    while (now >= m_openNotBefore && wanted()) {
        openFlow(now, std::nullopt);
    }
}

bool Caller::takeFlowEvents(TimePoint now)
{
    bool hasEvents = false;
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, flow] : m_flows) {
        numbers.push_back(number);
    }
    for (const std::uint64_t number : numbers) {
        for (const CallerFlowEvent &event : m_flows.at(number).transport->takeEvents()) {
            hasEvents = true;
            std::visit(
                [this, now, number](const auto &happened) {
                    handle(now, number, happened);
                },
                event);
        }
    }
    return hasEvents;
}

void Caller::closeIdleDrainedFlows(TimePoint now)
{
    for (auto position = m_flows.begin(); position != m_flows.end();) {
        Flow &flow = position->second;
        const bool isNeeded = std::any_of(m_works.begin(), m_works.end(), [&flow](const auto &entry) {
            return entry.second.first && flow.greeting && entry.second.first->incarnation == flow.greeting->incarnation;
        });
        if (flow.greeting && flow.greeting->draining && flow.requests.empty() && !isNeeded) {
            flow.transport->close(now);
            position = m_flows.erase(position);
        } else {
            ++position;
        }
    }
}

void Caller::handle(TimePoint now, std::uint64_t number, const FlowGreeted &event)
{
    Flow &flow = m_flows.at(number);
    if (!flow.greeting) {
        m_openFailures = 0;
        const bool isResumed = flow.resumes && flow.resumes->incarnation == event.greeting.incarnation;
        ++(isResumed ? m_statistics.flowsResumed : m_statistics.flowsOpened);
        m_events.emplace_back(FlowOpened{event.greeting.incarnation});
    }
    flow.greeting = event.greeting;
    if (event.greeting.load) {
        flow.estimate.recordReport(now, *event.greeting.load);
    }
    flow.resumes.reset();
}

void Caller::handle(TimePoint now, std::uint64_t number, const AttemptFeedPart &event)
{
    Flow &flow = m_flows.at(number);
    const auto found = flow.requests.find(event.stream);
    if (found == flow.requests.end()) {
        return;
    }
    const RequestTicket ticket = found->second;
    Work &work = m_works.at(ticket);
    const std::uint64_t position = event.part.position;
    if (work.position && position <= *work.position) {
        ++m_statistics.feedRepeats;
        return;
    }
    // Whether positions count bytes or records, a part moves the position by at most its length.
    const bool isGap = work.position && position - *work.position > std::max<std::uint64_t>(1, event.part.data.size());
    if (isGap) {
        ++m_statistics.feedGaps;
        decide(now, ticket, work, {ResultCode::AnswerIncomplete, "feed skipped a part", {}, 0}, {});
        return;
    }
    work.position = position;
    m_events.emplace_back(FeedReceived{ticket, event.part.data, position});
}

void Caller::handle(TimePoint now, std::uint64_t number, const AttemptEnded &event)
{
    Flow &flow = m_flows.at(number);
    const auto found = flow.requests.find(event.stream);
    if (found == flow.requests.end()) {
        return;
    }
    const RequestTicket ticket = found->second;
    Work &work = m_works.at(ticket);
    flow.requests.erase(found);
    work.flow.reset();
    if (event.outcome.load) {
        flow.estimate.recordReport(now, *event.outcome.load);
    }
    if (event.outcome.result == ResultCode::Ok && !isFeed(work.request)) {
        flow.estimate.recordAnswer(work.request.workClass, now - work.sentAt);
    }
    decide(now, ticket, work, event.outcome, event.body);
}

void Caller::handle(TimePoint now, std::uint64_t number, const CallerFlowEnded &event)
{
    Flow lost = std::move(m_flows.at(number));
    m_flows.erase(number);
    const bool isDrained = event.end == FlowEndCause::ClosedByPeer && event.code == flowDrainedCode;
    const bool isPlanned = isDrained || (lost.greeting && lost.greeting->draining && lost.requests.empty());
    if (!lost.greeting) {
        ++m_statistics.openFailures;
        ++m_openFailures;
        m_openNotBefore = now + m_budget.delay(m_openFailures, {}, m_random);
    } else if (!isPlanned) {
        ++m_statistics.flowsLost;
        m_events.emplace_back(FlowLost{lost.greeting->incarnation, event.end, lost.requests.size()});
    }
    for (const auto &[stream, ticket] : lost.requests) {
        Work &work = m_works.at(ticket);
        work.flow.reset();
        work.notBefore = now;
        if (isDrained && !work.hasLostFlow) {
            // The agent never received this request. Asking it again would wait for a process that has ended.
            decide(now, ticket, work, {ResultCode::NotRunMoved, "the server has drained", {}, 0, std::nullopt}, {});
            continue;
        }
        work.hasLostFlow = true;
    }
    const bool mustResume = lost.greeting && std::any_of(m_works.begin(), m_works.end(), [&lost](const auto &entry) {
                                return entry.second.first && entry.second.first->incarnation == lost.greeting->incarnation;
                            });
    if (mustResume && !isReachable(lost.greeting->incarnation)) {
        openFlow(now, lost.greeting);
    }
}

bool Caller::isReachable(Incarnation server) const
{
    return std::any_of(m_flows.begin(), m_flows.end(), [server](const auto &entry) {
        const Flow &flow = entry.second;
        return (flow.greeting && flow.greeting->incarnation == server) || (flow.resumes && flow.resumes->incarnation == server);
    });
}

void Caller::expire(TimePoint now)
{
    std::vector<RequestTicket> expired;
    for (const auto &[ticket, work] : m_works) {
        if (work.deadline && *work.deadline <= now) {
            expired.push_back(ticket);
        }
    }
    for (const RequestTicket ticket : expired) {
        const bool mayHaveRun = m_works.at(ticket).first.has_value();
        finish(now, ticket, mayHaveRun ? ResultCode::DeadlineExceeded : ResultCode::NotRunDeadline, "deadline passed", {});
    }
}

void Caller::sendDue(TimePoint now)
{
    m_lastFlush = now;
    std::vector<RequestTicket> due;
    for (const auto &[ticket, work] : m_works) {
        if (!work.flow && work.notBefore <= now) {
            due.push_back(ticket);
        }
    }
    for (const RequestTicket ticket : due) {
        Work &work = m_works.at(ticket);
        if (!settleBeforeSending(now, ticket, work)) {
            continue;
        }
        if (const std::optional<std::uint64_t> flow = chooseFlowFor(now, work)) {
            send(now, *flow, ticket, work);
        }
    }
}

/// False if the request is no longer due.
bool Caller::settleBeforeSending(TimePoint now, RequestTicket ticket, Work &work)
{
    if (!work.first || isReachable(work.first->incarnation)) {
        return true;
    }
    // The agent that may have run the request is gone, and with it the record of the outcome.
    if (!isIdempotent(work.request)) {
        finish(now, ticket, ResultCode::OutcomeUnknown, "the agent that had the request is gone", {});
        return false;
    }
    decide(now, ticket, work, {ResultCode::ConnectionLost, "the agent that had the request is gone", {}, 0}, {});
    return false;
}

/// Requests on a flow without feeds, which hold no slot of the server.
std::uint32_t Caller::openRequests(const Flow &flow) const
{
    return static_cast<std::uint32_t>(std::count_if(flow.requests.begin(), flow.requests.end(), [this](const auto &entry) {
        return !isFeed(m_works.at(entry.second).request);
    }));
}

std::optional<std::uint64_t> Caller::chooseFlowFor(TimePoint now, const Work &work)
{
    std::vector<std::uint64_t> numbers;
    std::vector<FlowCandidate> candidates;
    bool allRefused = true;
    for (const auto &[number, flow] : m_flows) {
        if (!flow.greeting) {
            continue;
        }
        const bool isFirst = work.first && work.first->incarnation == flow.greeting->incarnation;
        const bool isOpen = work.first ? isFirst : !flow.greeting->draining;
        // A request that may have run goes back to its server even if that server refused an earlier attempt.
        const bool hasRefused = !work.first && work.refusedBy.contains(flow.greeting->incarnation.value);
        allRefused = allRefused && (!isOpen || hasRefused);
        numbers.push_back(number);
        candidates.push_back({flow.estimate.work(now), openRequests(flow), isOpen && !hasRefused});
    }
    if (allRefused && !work.first) {
        // Every server that is at hand has refused the request once: ask again where it may have room by now.
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            candidates[index].isUsable = !m_flows.at(numbers[index]).greeting->draining;
        }
    }
    const std::optional<std::size_t> chosen = chooseFlow(candidates, m_random);
    return chosen ? std::optional(numbers[*chosen]) : std::nullopt;
}

void Caller::send(TimePoint now, std::uint64_t number, RequestTicket ticket, Work &work)
{
    Flow &flow = m_flows.at(number);
    const Greeting &greeting = *flow.greeting;
    checkInvariant(isIdempotent(work.request) || !work.first || work.first->incarnation == greeting.incarnation,
                   "a non-idempotent request goes to a second server only after the first has not run it");
    const bool canMove = !work.wasMoved && std::any_of(m_flows.begin(), m_flows.end(), [&](const auto &entry) {
        const std::optional<Greeting> &other = entry.second.greeting;
        return other && !other->draining && other->incarnation != greeting.incarnation && !work.refusedBy.contains(other->incarnation.value);
    });
    const Greeting first = work.first.value_or(greeting);
    pb::RequestHeader header;
    header.set_caller(m_identity.data(), m_identity.size());
    header.set_sequence(work.sequence);
    header.set_customer(work.request.customer);
    header.set_work_class(wireClass(work.request.workClass));
    header.set_idempotent(isIdempotent(work.request));
    header.set_deadline_ms(work.deadline ? wholeMilliseconds(*work.deadline - now) : 0);
    header.set_incarnation(first.incarnation.value);
    header.set_window(first.window);
    header.set_path(work.request.path);
    header.set_resume_position(work.position.value_or(0));
    header.set_attempt(work.attempts + 1);
    header.set_can_move(canMove);
    const std::optional<StreamNumber> stream = flow.transport->send(header, work.request.body);
    if (!stream) {
        return; // all streams are in use; the end of one brings the next flush
    }
    work.first = first;
    work.flow = number;
    work.stream = *stream;
    work.sentAt = now;
    if (!isFeed(work.request)) {
        flow.estimate.recordSent();
    }
    ++work.attempts;
    ++m_statistics.attempts;
    flow.requests.emplace(*stream, ticket);
}

void Caller::decide(TimePoint now, RequestTicket ticket, Work &work, const AttemptOutcome &outcome, Bytes body)
{
    detach(work);
    const bool idempotent = isIdempotent(work.request);
    if (outcome.result == ResultCode::AnswerIncomplete && !idempotent) {
        repeatAtSameServer(now, ticket, work, outcome);
        return;
    }
    const RetryRule rule = retryRule(outcome.result, idempotent);
    if (rule == RetryRule::Never) {
        finish(now, ticket, outcome.result, outcome.detail, std::move(body));
        return;
    }
    // A server moves a request at most once, and a feed only when it drains, so these cost no token.
    const bool isMove = rule == RetryRule::OtherServer && (isFeed(work.request) || !work.wasMoved);
    const bool isDenied = !isMove && (work.retries >= m_options.maxRetries || !m_budget.tryTakeToken());
    if (isDenied) {
        ++m_statistics.retriesDenied;
        finish(now, ticket, outcome.result, outcome.detail, {});
        return;
    }
    ++m_statistics.retries;
    work.retries += isMove ? 0 : 1;
    work.wasMoved = work.wasMoved || rule == RetryRule::OtherServer;
    if (rule == RetryRule::OtherServer && work.first) {
        work.refusedBy.insert(work.first->incarnation.value);
    }
    if (isNotRun(outcome.result)) {
        // The server keeps the refusal under the old identity and would repeat it.
        work.sequence = m_nextSequence++;
    }
    work.first.reset();
    work.hasLostFlow = false;
    work.repeats = 0;
    work.notBefore = isMove ? now + outcome.retryAfter : now + m_budget.delay(std::max(work.retries, 1U), outcome.retryAfter, m_random);
}

void Caller::repeatAtSameServer(TimePoint now, RequestTicket ticket, Work &work, const AttemptOutcome &outcome)
{
    // The same identity attaches to the running request or brings the stored answer; it is not executed again.
    if (work.repeats >= m_options.maxRepeats) {
        finish(now, ticket, outcome.result, outcome.detail, {});
        return;
    }
    ++work.repeats;
    work.notBefore = now + m_budget.delay(work.repeats, {}, m_random);
}

void Caller::finish(TimePoint now, RequestTicket ticket, ResultCode result, std::string detail, Bytes body)
{
    Work &work = m_works.at(ticket);
    detach(work);
    m_events.emplace_back(Answered{ticket, result, std::move(detail), std::move(body), work.attempts, now - work.submittedAt});
    m_works.erase(ticket);
}

void Caller::detach(Work &work)
{
    if (!work.flow) {
        return;
    }
    Flow &flow = m_flows.at(*work.flow);
    flow.transport->cancel(work.stream);
    flow.requests.erase(work.stream);
    work.flow.reset();
}

}
