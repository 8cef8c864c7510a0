#include "request_broker_state.h"

#include <jujubequay/core/invariant.h>

#include <fmt/format.h>

#include <algorithm>

namespace Jujubequay {

namespace {

/// Application error code of streams that the agent resets or stops.
constexpr std::uint64_t streamRejectedCode = 1;

constexpr std::size_t maxCustomerLength = 64;
constexpr std::size_t maxPathLength = 1024;

bool isClientRequestStream(StreamNumber stream)
{
    // RFC 9000, 2.1: the two lowest bits of a bidirectional stream opened by the client are zero.
    return (stream & 3) == 0;
}

WorkClass workClassOf(pb::RequestClass value)
{
    switch (value) {
    case pb::REQUEST_CLASS_CRITICAL:
        return WorkClass::Critical;
    case pb::REQUEST_CLASS_BULK:
        return WorkClass::Bulk;
    case pb::REQUEST_CLASS_FEED:
        return WorkClass::Feed;
    default:
        return WorkClass::Interactive;
    }
}

/// Describes the first error in a request header; empty if the header is valid.
std::string headerError(const pb::RequestHeader &header)
{
    if (header.caller().size() != RequestId().caller.size()) {
        return "caller must have 16 bytes";
    }
    if (header.customer().empty() || header.customer().size() > maxCustomerLength) {
        return fmt::format("customer must have 1 to {} bytes", maxCustomerLength);
    }
    if (header.path().empty() || header.path().front() != '/' || header.path().size() > maxPathLength) {
        return fmt::format("path must start with '/' and have at most {} bytes", maxPathLength);
    }
    return {};
}

RequestId requestIdOf(const pb::RequestHeader &header)
{
    RequestId id;
    std::copy(header.caller().begin(), header.caller().end(), id.caller.begin());
    id.sequence = header.sequence();
    return id;
}

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

}

RequestBroker::RequestBroker(Incarnation local,
                             RequestBrokerOptions options,
                             FlowPort &flows,
                             BackendPort &backend,
                             ResumeIdentifierFactory makeResumeIdentifier,
                             Reporter reporter,
                             std::mt19937_64 &random,
                             TimePoint now)
    : m_localIncarnation(local)
    , m_options(std::move(options))
    , m_flows(flows)
    , m_backend(backend)
    , m_makeResumeIdentifier(std::move(makeResumeIdentifier))
    , m_reporter(std::move(reporter))
    , m_random(random)
    , m_table(local, m_options.requests, now)
    , m_admission(m_options.admission)
    , m_announcedWindow(m_table.window())
{
}

RequestBroker::~RequestBroker() = default;

void RequestBroker::handleFlowEvent(TimePoint now, const QuicEvent &event)
{
    struct Visitor {
        RequestBroker &broker;
        TimePoint now;

        void operator()(const FlowEstablished &established) const
        {
            broker.m_openFlows.emplace(established.flow, Flow{broker.m_makeResumeIdentifier(), std::nullopt});
            broker.sendGreeting(established.flow);
        }
        void operator()(const FlowEnded &ended) const
        {
            broker.abandonFlow(now, ended.flow);
        }
        void operator()(const StreamDataReceived &received) const
        {
            broker.receive(now, received);
        }
        void operator()(const StreamReset &reset) const
        {
            broker.abandonStream(now, {reset.flow, reset.stream});
        }
        void operator()(const StreamStopped &stopped) const
        {
            broker.abandonStream(now, {stopped.flow, stopped.stream});
        }
        void operator()(const StreamWritable &writable) const
        {
            broker.flushPending({writable.flow, writable.stream});
        }
        void operator()(const StreamEnded &ended) const
        {
            broker.removeStream(now, {ended.flow, ended.stream});
        }
    };
    std::visit(Visitor{*this, now}, event);
}

void RequestBroker::handleBackendEvent(TimePoint now, const BackendEvent &event)
{
    std::visit(
        [this, now](const auto &backendEvent) {
            handle(now, backendEvent);
        },
        event);
}

void RequestBroker::tick(TimePoint now)
{
    m_table.tick(now);
    apply(now, m_admission.tick(now));
    endTimedOutJobs(now);
    if (m_announcedWindow != m_table.window()) {
        m_announcedWindow = m_table.window();
        sendGreetings();
    }
}

void RequestBroker::beginDrain(TimePoint now)
{
    if (m_draining) {
        return;
    }
    m_draining = true;
    apply(now, m_admission.drain(now));
    std::uniform_int_distribution<Duration::rep> delay(0, m_options.feedMoveSpread.count());
    for (const auto &[call, job] : m_jobs) {
        if (job->request.workClass == WorkClass::Feed) {
            scheduleTimeout(*job, now + Duration(delay(m_random)));
        }
    }
    sendGreetings();
}

void RequestBroker::configureAdmission(TimePoint now, AdmissionOptions options)
{
    apply(now, m_admission.configure(now, std::move(options)));
}

void RequestBroker::renewResumeIdentifiers()
{
    for (auto &[flow, state] : m_openFlows) {
        state.resumeIdentifier = m_makeResumeIdentifier();
    }
    sendGreetings();
}

std::optional<TimePoint> RequestBroker::nextTimeout() const
{
    const std::optional<TimePoint> admission = m_admission.nextTimeout();
    if (m_jobTimeouts.empty()) {
        return admission;
    }
    const TimePoint jobTimeout = m_jobTimeouts.begin()->first;
    return admission ? std::min(*admission, jobTimeout) : jobTimeout;
}

LoadReport RequestBroker::load() const
{
    LoadReport load = m_admission.load();
    load.flows = static_cast<std::uint32_t>(m_openFlows.size());
    return load;
}

bool RequestBroker::isIdle() const
{
    return m_jobs.empty() && std::all_of(m_streams.begin(), m_streams.end(), [](const auto &stream) {
               return stream.second->pending.empty();
           });
}

const RequestBrokerStatistics &RequestBroker::statistics() const
{
    return m_statistics;
}

// Streams

void RequestBroker::receive(TimePoint now, const StreamDataReceived &received)
{
    const StreamKey key{received.flow, received.stream};
    m_flows.consume(received.flow, received.stream, received.data.size());
    if (!isClientRequestStream(received.stream)) {
        return;
    }
    auto &stream = m_streams[key];
    if (!stream) {
        stream = std::make_unique<Stream>();
    }
    if (stream->isSubmitted) {
        return;
    }
    stream->receivedBytes += received.data.size();
    if (stream->receivedBytes > m_options.maxRequestBytes) {
        rejectStream(key);
        return;
    }
    stream->reader.add(received.data);
    readMessages(now, key);
    const auto current = m_streams.find(key);
    const bool isTruncated = received.end && current != m_streams.end() && !current->second->isSubmitted;
    if (isTruncated) {
        // The stream has ended without the end message, so a part of the request may be missing.
        rejectStream(key);
    }
}

void RequestBroker::readMessages(TimePoint now, const StreamKey &key)
{
    Stream &stream = *m_streams.at(key);
    while (const auto frame = stream.reader.nextFrame()) {
        pb::CallerMessage message;
        const bool isParsed = message.ParseFromArray(frame->data(), static_cast<int>(frame->size()));
        const bool isExpected = isParsed && message.has_header() != stream.header.has_value();
        if (!isExpected) {
            rejectStream(key);
            return;
        }
        if (message.has_header()) {
            stream.header = message.header();
        } else if (message.has_body()) {
            stream.body.insert(stream.body.end(), message.body().data().begin(), message.body().data().end());
        } else {
            submit(now, key);
            return;
        }
    }
    if (stream.reader.isBroken()) {
        rejectStream(key);
    }
}

void RequestBroker::rejectStream(const StreamKey &key)
{
    ++m_statistics.malformed;
    m_streams.at(key)->isSubmitted = true;
    m_flows.stopSending(key.first, key.second, streamRejectedCode);
    answer(key, ResultCode::BadRequest, "malformed request", {}, {});
}

void RequestBroker::abandonStream(TimePoint now, const StreamKey &key)
{
    if (!m_streams.contains(key)) {
        return;
    }
    removeStream(now, key);
    m_flows.resetStream(key.first, key.second, streamRejectedCode);
}

void RequestBroker::removeStream(TimePoint now, const StreamKey &key)
{
    if (!m_streams.contains(key)) {
        return;
    }
    detach(now, key, true);
    m_streams.erase(key);
}

void RequestBroker::abandonFlow(TimePoint now, FlowHandle flow)
{
    m_openFlows.erase(flow);
    auto stream = m_streams.lower_bound({flow, 0});
    while (stream != m_streams.end() && stream->first.first == flow) {
        detach(now, stream->first, false);
        stream = m_streams.erase(stream);
    }
}

void RequestBroker::detach(TimePoint now, const StreamKey &key, bool isCancelled)
{
    const std::uint64_t call = m_streams.at(key)->call;
    const auto found = m_jobs.find(call);
    if (found == m_jobs.end()) {
        return;
    }
    Job &job = *found->second;
    job.attempts.erase(key);
    // A caller whose flow has ended may send a non-idempotent request again on another flow, and needs its result.
    const bool isNeeded = !job.attempts.empty() || (!job.isIdempotent && !isCancelled);
    if (isNeeded || job.state == Job::State::Closing) {
        return;
    }
    job.isCancelled = true;
    if (job.state == Job::State::Queued) {
        apply(now, m_admission.cancel(now, call));
        return;
    }
    m_backend.cancel(call);
}

// Admission

void RequestBroker::submit(TimePoint now, const StreamKey &key)
{
    Stream &stream = *m_streams.at(key);
    stream.isSubmitted = true;
    ++m_statistics.received;
    const pb::RequestHeader &header = *stream.header;
    const std::string error = headerError(header);
    if (!error.empty()) {
        ++m_statistics.malformed;
        answer(key, ResultCode::BadRequest, error, {}, {});
        return;
    }

    auto job = std::make_unique<Job>();
    job->call = m_nextCall++;
    job->isIdempotent = header.idempotent() || header.work_class() == pb::REQUEST_CLASS_FEED;
    job->submittedAt = now;
    if (header.deadline_ms() > 0) {
        job->deadline = now + std::chrono::milliseconds(header.deadline_ms());
    }
    job->position = header.resume_position();
    job->request = {job->call, requestIdOf(header), header.path(), header.customer(), workClassOf(header.work_class()), {}, header.resume_position(), {}};
    job->request.body = std::move(stream.body);
    if (!job->isIdempotent && !admitNonIdempotent(key, *job)) {
        return;
    }

    stream.call = job->call;
    job->attempts.insert(key);
    AdmissionRequest request;
    request.id = job->call;
    request.customer = job->request.customer;
    request.workClass = job->request.workClass;
    request.deadline = job->deadline;
    request.canMove = header.can_move();
    m_jobs.emplace(job->call, std::move(job));
    apply(now, m_admission.submit(now, request));
}

bool RequestBroker::admitNonIdempotent(const StreamKey &key, Job &job)
{
    const pb::RequestHeader &header = *m_streams.at(key)->header;
    const FirstAttempt first{Incarnation{header.incarnation()}, header.window()};
    const RequestAdmission admission = m_table.admit(job.request.id, first);
    if (std::holds_alternative<RequestAdmitted>(admission)) {
        m_callByRequest.emplace(job.request.id, job.call);
        return true;
    }
    if (std::holds_alternative<RequestAttached>(admission)) {
        ++m_statistics.attached;
        const std::uint64_t call = m_callByRequest.at(job.request.id);
        m_streams.at(key)->call = call;
        m_jobs.at(call)->attempts.insert(key);
        return false;
    }
    if (const RequestReplayed *replayed = std::get_if<RequestReplayed>(&admission)) {
        ++m_statistics.replayed;
        answer(key, replayed->answer->result, replayed->answer->detail, replayed->answer->body, {});
        return false;
    }
    answer(key, std::get<RequestRejected>(admission).result, "this attempt was not started", {}, {});
    return false;
}

void RequestBroker::apply(TimePoint now, const AdmissionEffects &effects)
{
    struct Visitor {
        RequestBroker &broker;
        TimePoint now;

        void operator()(const StartRequest &effect) const
        {
            broker.start(now, effect.id);
        }
        void operator()(const RefuseRequest &effect) const
        {
            broker.refuse(now, effect.id, effect.code, effect.retryAfter);
        }
    };
    for (const AdmissionEffect &effect : effects) {
        std::visit(Visitor{*this, now}, effect);
    }
}

void RequestBroker::start(TimePoint now, std::uint64_t call)
{
    Job &job = *m_jobs.at(call);
    checkInvariant(job.state == Job::State::Queued, "a request is started once");
    checkInvariant(!m_draining, "a draining agent starts no request");
    if (!job.isIdempotent) {
        m_table.markStarted(job.request.id);
    }
    job.state = Job::State::Running;
    job.startedAt = now;
    ++m_statistics.started;
    BackendRequest request = std::move(job.request);
    job.request = {request.call, request.id, request.path, request.customer, request.workClass, {}, request.resumePosition, {}};
    if (job.deadline) {
        request.timeLeft = std::max(*job.deadline - now, Duration::zero());
        // A non-idempotent request is not cancelled at its deadline, so that its outcome becomes known.
        if (job.isIdempotent) {
            scheduleTimeout(job, *job.deadline);
        }
    }
    m_backend.start(std::move(request));
}

void RequestBroker::refuse(TimePoint now, std::uint64_t call, ResultCode code, Duration retryAfter)
{
    const auto found = m_jobs.find(call);
    Job &job = *found->second;
    checkInvariant(job.state == Job::State::Queued, "a started request is not refused as not run");
    if (!job.isIdempotent) {
        m_table.refuse(job.request.id, code);
        m_callByRequest.erase(job.request.id);
    }
    for (const StreamKey &key : job.attempts) {
        answer(key, code, "not run", {}, retryAfter);
    }
    report(now, job, code);
    m_jobs.erase(found);
}

// Backend server

void RequestBroker::handle(TimePoint, const BackendResponseStarted &event)
{
    const auto found = m_jobs.find(event.call);
    if (found == m_jobs.end() || found->second->state != Job::State::Running) {
        return;
    }
    Job &job = *found->second;
    job.status = event.status;
    // Only answers to idempotent requests are streamed. Others are buffered, so that they can be replayed.
    const bool isStreamed = job.isIdempotent && isSuccess(event.status);
    if (!isStreamed) {
        return;
    }
    for (const StreamKey &key : job.attempts) {
        sendHeader(key, ResultCode::Ok, {}, {});
    }
}

void RequestBroker::handle(TimePoint, const BackendData &event)
{
    const auto found = m_jobs.find(event.call);
    if (found == m_jobs.end()) {
        return;
    }
    Job &job = *found->second;
    const bool isIgnored = job.state != Job::State::Running || !isSuccess(job.status);
    if (isIgnored) {
        m_backend.consume(event.call, event.data.size());
        return;
    }
    job.position = event.position;
    job.answerLength += event.data.size();
    if (job.isIdempotent) {
        relayData(job, event);
        return;
    }
    m_backend.consume(event.call, event.data.size());
    job.isAnswerTooLong = job.isAnswerTooLong || job.bufferedAnswer.size() + event.data.size() > m_options.maxBufferedAnswerBytes;
    if (!job.isAnswerTooLong) {
        job.bufferedAnswer.insert(job.bufferedAnswer.end(), event.data.begin(), event.data.end());
    }
}

void RequestBroker::relayData(Job &job, const BackendData &event)
{
    job.digest.add(event.data);
    job.uncreditedBytes += event.data.size();
    pb::AgentMessage message;
    message.mutable_body()->set_data(event.data.data(), event.data.size());
    message.mutable_body()->set_position(event.position);
    for (const StreamKey &key : job.attempts) {
        send(key, message, false);
    }
    returnCredit(job);
}

void RequestBroker::handle(TimePoint now, const BackendEnded &event)
{
    const auto found = m_jobs.find(event.call);
    if (found == m_jobs.end()) {
        return;
    }
    Job &job = *found->second;
    if (job.state == Job::State::Running) {
        if (job.isAnswerTooLong) {
            complete(now,
                     job,
                     ResultCode::AnswerIncomplete,
                     fmt::format("the answer of {} bytes exceeds the buffer of {} bytes", job.answerLength, m_options.maxBufferedAnswerBytes));
        } else if (!isSuccess(job.status)) {
            complete(now, job, ResultCode::BackendFailed, fmt::format("backend server answered with status {}", job.status));
        } else {
            complete(now, job, ResultCode::Ok, "");
        }
    }
    m_jobs.erase(found);
    apply(now, m_admission.finish(now, event.call));
}

void RequestBroker::handle(TimePoint now, const BackendFailed &event)
{
    const auto found = m_jobs.find(event.call);
    if (found == m_jobs.end()) {
        return;
    }
    Job &job = *found->second;
    if (job.state == Job::State::Running) {
        if (event.isNotStarted) {
            complete(now, job, job.isCancelled ? ResultCode::NotRunCancelled : ResultCode::NotRunOverloaded, event.detail);
        } else if (job.isCancelled) {
            complete(now, job, ResultCode::Cancelled, event.detail);
        } else {
            complete(now, job, job.isIdempotent ? ResultCode::BackendFailed : ResultCode::OutcomeUnknown, event.detail);
        }
    }
    m_jobs.erase(found);
    apply(now, m_admission.finish(now, event.call));
}

void RequestBroker::complete(TimePoint now, Job &job, ResultCode result, const std::string &detail)
{
    checkInvariant(job.state == Job::State::Running, "a request gets one final answer");
    job.state = Job::State::Closing;
    cancelTimeout(job);
    report(now, job, result);
    if (job.isIdempotent) {
        const bool hasHeader = isSuccess(job.status);
        const DigestBytes digest = job.digest.finish();
        for (const StreamKey &key : job.attempts) {
            if (!hasHeader) {
                sendHeader(key, result, detail, {});
            }
            sendTrailer(key, result, job.answerLength, digest, job.position);
            m_streams.at(key)->call = 0;
        }
        job.attempts.clear();
        return;
    }
    m_callByRequest.erase(job.request.id);
    const std::set<StreamKey> attempts = std::exchange(job.attempts, {});
    for (const StreamKey &key : attempts) {
        m_streams.at(key)->call = 0;
        answer(key, result, detail, job.bufferedAnswer, {});
    }
    if (isNotRun(result)) {
        m_table.refuse(job.request.id, result);
        return;
    }
    m_table.finish(job.request.id, {result, detail, std::move(job.bufferedAnswer)});
}

void RequestBroker::scheduleTimeout(Job &job, TimePoint time)
{
    cancelTimeout(job);
    job.timeoutAt = time;
    m_jobTimeouts.emplace(time, job.call);
}

void RequestBroker::cancelTimeout(Job &job)
{
    if (job.timeoutAt) {
        m_jobTimeouts.erase({*job.timeoutAt, job.call});
        job.timeoutAt.reset();
    }
}

void RequestBroker::endTimedOutJobs(TimePoint now)
{
    while (!m_jobTimeouts.empty() && m_jobTimeouts.begin()->first <= now) {
        Job &job = *m_jobs.at(m_jobTimeouts.begin()->second);
        const bool isMoved = m_draining && job.request.workClass == WorkClass::Feed;
        if (isMoved) {
            ++m_statistics.feedsMoved;
            complete(now, job, ResultCode::Moved, "backend server is draining");
        } else {
            complete(now, job, ResultCode::DeadlineExceeded, "deadline passed while running");
        }
        m_backend.cancel(job.call);
    }
}

}
