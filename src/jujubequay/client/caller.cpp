#include <jujubequay/client/caller.h>
#include <jujubequay/wire/flow_close.h>

#include <jujubequay/core/invariant.h>

#include <request.pb.h>

#include <algorithm>
#include <utility>

namespace Jujubequay {

namespace pb = jujubequay::pb;

namespace {

// The upper 16 bits of the 4-byte identifier prefix identify the caller, the lower 16 bits its flow.
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
    PendingRequest &pending = m_requests[ticket];
    pending.sequence = m_nextSequence++;
    pending.submittedAt = now;
    pending.notBefore = now;
    if (request.deadline) {
        pending.deadline = now + *request.deadline;
    }
    if (request.resumePosition > 0) {
        pending.position = request.resumePosition;
    }
    pending.request = std::move(request);
    m_budget.recordRequest();
    return ticket;
}

void Caller::cancel(TimePoint now, RequestTicket ticket)
{
    if (const auto found = m_requests.find(ticket); found != m_requests.end()) {
        const bool mayHaveRun = found->second.assigned.has_value();
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
    if (m_isClosed) {
        return;
    }
    expireDeadlines(now);
    do {
        openMissingFlows(now);
        sendDueRequests(now);
        for (auto &[number, flow] : m_flows) {
            flow.transport->flush(now);
        }
    } while (takeFlowEvents(now));
    closeIdleDrainingFlows(now);
}

std::optional<TimePoint> Caller::nextTimeout() const
{
    if (m_isClosed) {
        return std::nullopt;
    }
    TimePoint next = TimePoint::max();
    for (const auto &[number, flow] : m_flows) {
        next = std::min(next, flow.transport->nextTimeout().value_or(TimePoint::max()));
    }
    const auto isNotDraining = [](const auto &entry) {
        return !(entry.second.greeting && entry.second.greeting->draining);
    };
    if (static_cast<std::size_t>(std::count_if(m_flows.begin(), m_flows.end(), isNotDraining)) < m_options.flows) {
        next = std::min(next, m_nextOpenTime);
    }
    for (const auto &[ticket, pending] : m_requests) {
        next = std::min(next, pending.deadline.value_or(TimePoint::max()));
        // A request that is due but has no usable flow needs no timer: the next event of a flow triggers the next attempt.
        const bool waitsForTime = !pending.flow && pending.notBefore > m_lastSendTime;
        next = waitsForTime ? std::min(next, pending.notBefore) : next;
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
    m_requests.clear();
    m_isClosed = true;
}

std::size_t Caller::openRequests() const
{
    return m_requests.size();
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

void Caller::openFlow(TimePoint now, std::optional<Greeting> replacedFlow)
{
    const std::uint64_t number = m_nextFlow++;
    QuicClientOptions options;
    options.serviceName = m_options.serviceName;
    options.idleTimeout = m_options.idleTimeout;
    options.handshakeTimeout = m_options.handshakeTimeout;
    options.keepAlive = m_options.keepAlive;
    options.connectionIdPrefix = (std::uint32_t{m_options.connectionIdPrefix} << prefixShift) | static_cast<std::uint32_t>(number & ((1U << prefixShift) - 1));
    const Bytes destination = replacedFlow ? replacedFlow->resumeIdentifier : Bytes();
    Flow &flow = m_flows[number];
    flow.transport = std::make_unique<CallerFlow>(std::move(options), m_credentials, destination, m_options.maxAnswerBytes, m_sink, m_random, now);
    flow.replacedFlow = std::move(replacedFlow);
}

void Caller::openMissingFlows(TimePoint now)
{
    const auto needsFlow = [this] {
        return static_cast<std::size_t>(std::count_if(m_flows.begin(),
                                                      m_flows.end(),
                                                      [](const auto &entry) {
                                                          return !(entry.second.greeting && entry.second.greeting->draining);
                                                      }))
            < m_options.flows;
    };
    while (now >= m_nextOpenTime && needsFlow()) {
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
                [this, now, number](const auto &flowEvent) {
                    handle(now, number, flowEvent);
                },
                event);
        }
    }
    return hasEvents;
}

void Caller::closeIdleDrainingFlows(TimePoint now)
{
    for (auto position = m_flows.begin(); position != m_flows.end();) {
        Flow &flow = position->second;
        const bool isNeeded = std::any_of(m_requests.begin(), m_requests.end(), [&flow](const auto &entry) {
            return entry.second.assigned && flow.greeting && entry.second.assigned->incarnation == flow.greeting->incarnation;
        });
        if (flow.greeting && flow.greeting->draining && flow.requests.empty() && !isNeeded) {
            flow.transport->close(now);
            position = m_flows.erase(position);
        } else {
            ++position;
        }
    }
}

void Caller::handle(TimePoint now, std::uint64_t number, const GreetingReceived &event)
{
    Flow &flow = m_flows.at(number);
    if (!flow.greeting) {
        m_consecutiveOpenFailures = 0;
        const bool isSameAgent = flow.replacedFlow && flow.replacedFlow->incarnation == event.greeting.incarnation;
        ++(isSameAgent ? m_statistics.flowsResumed : m_statistics.flowsOpened);
        m_events.emplace_back(FlowOpened{event.greeting.incarnation});
    }
    flow.greeting = event.greeting;
    if (event.greeting.load) {
        flow.estimate.recordReport(now, *event.greeting.load);
    }
    flow.replacedFlow.reset();
}

void Caller::handle(TimePoint now, std::uint64_t number, const AttemptFeedPart &event)
{
    Flow &flow = m_flows.at(number);
    const auto found = flow.requests.find(event.stream);
    if (found == flow.requests.end()) {
        return;
    }
    const RequestTicket ticket = found->second;
    PendingRequest &pending = m_requests.at(ticket);
    const std::uint64_t position = event.part.position;
    if (pending.position && position <= *pending.position) {
        ++m_statistics.feedRepeats;
        return;
    }
    // Whether positions count bytes or records, a part moves the position by at most its length.
    const bool isGap = pending.position && position - *pending.position > std::max<std::uint64_t>(1, event.part.data.size());
    if (isGap) {
        ++m_statistics.feedGaps;
        finishOrRetry(now, ticket, pending, {ResultCode::AnswerIncomplete, "the feed skipped a part", {}, 0}, {});
        return;
    }
    pending.position = position;
    m_events.emplace_back(FeedPartReceived{ticket, event.part.data, position});
}

void Caller::handle(TimePoint now, std::uint64_t number, const AttemptEnded &event)
{
    Flow &flow = m_flows.at(number);
    const auto found = flow.requests.find(event.stream);
    if (found == flow.requests.end()) {
        return;
    }
    const RequestTicket ticket = found->second;
    PendingRequest &pending = m_requests.at(ticket);
    flow.requests.erase(found);
    pending.flow.reset();
    if (event.outcome.load) {
        flow.estimate.recordReport(now, *event.outcome.load);
    }
    if (event.outcome.result == ResultCode::Ok && !isFeed(pending.request)) {
        flow.estimate.recordAnswer(pending.request.workClass, now - pending.sentAt);
    }
    finishOrRetry(now, ticket, pending, event.outcome, event.body);
}

void Caller::handle(TimePoint now, std::uint64_t number, const CallerFlowEnded &event)
{
    Flow endedFlow = std::move(m_flows.at(number));
    m_flows.erase(number);
    const bool isDrained = event.end == FlowEndCause::ClosedByPeer && event.code == flowDrainedCode;
    const bool isPlanned = isDrained || (endedFlow.greeting && endedFlow.greeting->draining && endedFlow.requests.empty());
    if (!endedFlow.greeting) {
        ++m_statistics.openFailures;
        ++m_consecutiveOpenFailures;
        m_nextOpenTime = now + m_budget.delay(m_consecutiveOpenFailures, {}, m_random);
    } else if (!isPlanned) {
        ++m_statistics.flowsLost;
        m_events.emplace_back(FlowLost{endedFlow.greeting->incarnation, event.end, endedFlow.requests.size()});
    }
    for (const auto &[stream, ticket] : endedFlow.requests) {
        PendingRequest &pending = m_requests.at(ticket);
        pending.flow.reset();
        pending.notBefore = now;
        if (isDrained && !pending.wasFlowLost) {
            // The agent closed the flow without having received this request, and its process has ended: retrying there would run into the timeout.
            finishOrRetry(now, ticket, pending, {ResultCode::NotRunMoved, "the server has drained", {}, 0, std::nullopt}, {});
            continue;
        }
        pending.wasFlowLost = true;
    }
    const bool isResumeNeeded = endedFlow.greeting && std::any_of(m_requests.begin(), m_requests.end(), [&endedFlow](const auto &entry) {
                                    return entry.second.assigned && entry.second.assigned->incarnation == endedFlow.greeting->incarnation;
                                });
    if (isResumeNeeded && !hasFlowTo(endedFlow.greeting->incarnation)) {
        openFlow(now, endedFlow.greeting);
    }
}

bool Caller::hasFlowTo(Incarnation server) const
{
    return std::any_of(m_flows.begin(), m_flows.end(), [server](const auto &entry) {
        const Flow &flow = entry.second;
        return (flow.greeting && flow.greeting->incarnation == server) || (flow.replacedFlow && flow.replacedFlow->incarnation == server);
    });
}

void Caller::expireDeadlines(TimePoint now)
{
    std::vector<RequestTicket> expired;
    for (const auto &[ticket, pending] : m_requests) {
        if (pending.deadline && *pending.deadline <= now) {
            expired.push_back(ticket);
        }
    }
    for (const RequestTicket ticket : expired) {
        const bool mayHaveRun = m_requests.at(ticket).assigned.has_value();
        finish(now, ticket, mayHaveRun ? ResultCode::DeadlineExceeded : ResultCode::NotRunDeadline, "the deadline has passed", {});
    }
}

void Caller::sendDueRequests(TimePoint now)
{
    m_lastSendTime = now;
    std::vector<RequestTicket> dueRequests;
    for (const auto &[ticket, pending] : m_requests) {
        if (!pending.flow && pending.notBefore <= now) {
            dueRequests.push_back(ticket);
        }
    }
    for (const RequestTicket ticket : dueRequests) {
        PendingRequest &pending = m_requests.at(ticket);
        if (!ensureAgentReachable(now, ticket, pending)) {
            continue;
        }
        if (const std::optional<std::uint64_t> flow = chooseFlowFor(now, pending)) {
            send(now, *flow, ticket, pending);
        }
    }
}

/// Returns true if the request can be sent. If it may have run on an agent without a flow, finishes or reschedules it and returns false.
bool Caller::ensureAgentReachable(TimePoint now, RequestTicket ticket, PendingRequest &pending)
{
    if (!pending.assigned || hasFlowTo(pending.assigned->incarnation)) {
        return true;
    }
    // Only the unreachable agent had a record of whether the request ran.
    if (!isIdempotent(pending.request)) {
        finish(now, ticket, ResultCode::OutcomeUnknown, "the agent that received the request is unreachable", {});
        return false;
    }
    finishOrRetry(now, ticket, pending, {ResultCode::ConnectionLost, "the agent that received the request is unreachable", {}, 0}, {});
    return false;
}

/// Number of requests on a flow that occupy a slot of the backend server. Feeds occupy none.
std::uint32_t Caller::slotRequests(const Flow &flow) const
{
    return static_cast<std::uint32_t>(std::count_if(flow.requests.begin(), flow.requests.end(), [this](const auto &entry) {
        return !isFeed(m_requests.at(entry.second).request);
    }));
}

std::optional<std::uint64_t> Caller::chooseFlowFor(TimePoint now, const PendingRequest &pending)
{
    std::vector<std::uint64_t> numbers;
    std::vector<FlowCandidate> candidates;
    bool allRefused = true;
    for (const auto &[number, flow] : m_flows) {
        if (!flow.greeting) {
            continue;
        }
        const bool isAssigned = pending.assigned && pending.assigned->incarnation == flow.greeting->incarnation;
        const bool isEligible = pending.assigned ? isAssigned : !flow.greeting->draining;
        // A request that may have run returns to its server even if that server refused an earlier attempt.
        const bool hasRefused = !pending.assigned && pending.refusedBy.contains(flow.greeting->incarnation.value);
        allRefused = allRefused && (!isEligible || hasRefused);
        numbers.push_back(number);
        candidates.push_back({flow.estimate.work(now), slotRequests(flow), isEligible && !hasRefused});
    }
    if (allRefused && !pending.assigned) {
        // Every server with a ready flow has refused the request once. Any of them may have a free slot by now, so all are tried again.
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            candidates[index].isUsable = !m_flows.at(numbers[index]).greeting->draining;
        }
    }
    const std::optional<std::size_t> chosen = chooseFlow(candidates, m_random);
    return chosen ? std::optional(numbers[*chosen]) : std::nullopt;
}

void Caller::send(TimePoint now, std::uint64_t number, RequestTicket ticket, PendingRequest &pending)
{
    Flow &flow = m_flows.at(number);
    const Greeting &greeting = *flow.greeting;
    checkInvariant(isIdempotent(pending.request) || !pending.assigned || pending.assigned->incarnation == greeting.incarnation,
                   "a non-idempotent request is sent to a second server only after the first server has not run it");
    const bool canMove = !pending.wasMoved && std::any_of(m_flows.begin(), m_flows.end(), [&](const auto &entry) {
        const std::optional<Greeting> &other = entry.second.greeting;
        return other && !other->draining && other->incarnation != greeting.incarnation && !pending.refusedBy.contains(other->incarnation.value);
    });
    const Greeting assigned = pending.assigned.value_or(greeting);
    pb::RequestHeader header;
    header.set_caller(m_identity.data(), m_identity.size());
    header.set_sequence(pending.sequence);
    header.set_customer(pending.request.customer);
    header.set_work_class(wireClass(pending.request.workClass));
    header.set_idempotent(isIdempotent(pending.request));
    header.set_deadline_ms(pending.deadline ? wholeMilliseconds(*pending.deadline - now) : 0);
    header.set_incarnation(assigned.incarnation.value);
    header.set_window(assigned.window);
    header.set_path(pending.request.path);
    header.set_resume_position(pending.position.value_or(0));
    header.set_attempt(pending.attempts + 1);
    header.set_can_move(canMove);
    const std::optional<StreamNumber> stream = flow.transport->send(header, pending.request.body);
    if (!stream) {
        return; // The stream limit is reached. The request is sent in the flush after a stream has ended.
    }
    pending.assigned = assigned;
    pending.flow = number;
    pending.stream = *stream;
    pending.sentAt = now;
    if (!isFeed(pending.request)) {
        flow.estimate.recordSent();
    }
    ++pending.attempts;
    ++m_statistics.attempts;
    flow.requests.emplace(*stream, ticket);
}

void Caller::finishOrRetry(TimePoint now, RequestTicket ticket, PendingRequest &pending, const AttemptOutcome &outcome, Bytes body)
{
    detachFromFlow(pending);
    const bool idempotent = isIdempotent(pending.request);
    if (outcome.result == ResultCode::AnswerIncomplete && !idempotent) {
        repeatAtSameAgent(now, ticket, pending, outcome);
        return;
    }
    const RetryRule rule = retryRule(outcome.result, idempotent);
    if (rule == RetryRule::Never) {
        finish(now, ticket, outcome.result, outcome.detail, std::move(body));
        return;
    }
    // A server moves a request at most once, and a feed only when it drains, so moves take no token from the retry budget.
    const bool isMove = rule == RetryRule::OtherServer && (isFeed(pending.request) || !pending.wasMoved);
    const bool isDenied = !isMove && (pending.retries >= m_options.maxRetries || !m_budget.tryTakeToken());
    if (isDenied) {
        ++m_statistics.retriesDenied;
        finish(now, ticket, outcome.result, outcome.detail, {});
        return;
    }
    ++m_statistics.retries;
    pending.retries += isMove ? 0 : 1;
    pending.wasMoved = pending.wasMoved || rule == RetryRule::OtherServer;
    if (rule == RetryRule::OtherServer && pending.assigned) {
        pending.refusedBy.insert(pending.assigned->incarnation.value);
    }
    if (isNotRun(outcome.result)) {
        // The agent stores the refusal under the old sequence number and would return it again.
        pending.sequence = m_nextSequence++;
    }
    pending.assigned.reset();
    pending.wasFlowLost = false;
    pending.repeats = 0;
    pending.notBefore = isMove ? now + outcome.retryAfter : now + m_budget.delay(std::max(pending.retries, 1U), outcome.retryAfter, m_random);
}

void Caller::repeatAtSameAgent(TimePoint now, RequestTicket ticket, PendingRequest &pending, const AttemptOutcome &outcome)
{
    // An attempt with the same sequence number attaches to the running request or returns the stored answer; the request is not executed again.
    if (pending.repeats >= m_options.maxRepeats) {
        finish(now, ticket, outcome.result, outcome.detail, {});
        return;
    }
    ++pending.repeats;
    pending.notBefore = now + m_budget.delay(pending.repeats, {}, m_random);
}

void Caller::finish(TimePoint now, RequestTicket ticket, ResultCode result, std::string detail, Bytes body)
{
    PendingRequest &pending = m_requests.at(ticket);
    detachFromFlow(pending);
    m_events.emplace_back(RequestFinished{ticket, result, std::move(detail), std::move(body), pending.attempts, now - pending.submittedAt});
    m_requests.erase(ticket);
}

void Caller::detachFromFlow(PendingRequest &pending)
{
    if (!pending.flow) {
        return;
    }
    Flow &flow = m_flows.at(*pending.flow);
    flow.transport->cancel(pending.stream);
    flow.requests.erase(pending.stream);
    pending.flow.reset();
}

}
