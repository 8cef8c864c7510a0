#include "request_broker_state.h"

#include <algorithm>

namespace Jujubequay {

namespace {

/// With more pending bytes than this on the stream of an attempt, the backend server gets no further flow control credit.
constexpr std::size_t maxPendingBytes = 64U << 10U;

void setLoadFigures(pb::LoadFigures &figures, const LoadReport &load)
{
    figures.set_running(load.running);
    figures.set_queued(load.queued);
    figures.set_flows(load.flows);
}

}

void RequestBroker::sendGreetings()
{
    for (const auto &[flow, state] : m_openFlows) {
        sendGreeting(flow);
    }
}

void RequestBroker::sendGreeting(FlowHandle flow)
{
    Flow &state = m_openFlows.at(flow);
    if (!state.greetingStream) {
        state.greetingStream = m_flows.openUnidirectionalStream(flow);
        if (!state.greetingStream) {
            return;
        }
        m_streams.emplace(StreamKey{flow, *state.greetingStream}, std::make_unique<Stream>());
    }
    pb::AgentMessage message;
    pb::FlowGreeting *greeting = message.mutable_greeting();
    greeting->set_incarnation(m_localIncarnation.value);
    greeting->set_window(m_table.window());
    greeting->set_resume_id(state.resumeIdentifier.data(), state.resumeIdentifier.size());
    greeting->set_draining(m_draining);
    setLoadFigures(*greeting->mutable_load(), load());
    send({flow, *state.greetingStream}, message, false);
}

void RequestBroker::sendHeader(const StreamKey &key, ResultCode result, const std::string &detail, Duration retryAfter)
{
    pb::AgentMessage message;
    pb::AnswerHeader *header = message.mutable_header();
    header->set_result(static_cast<std::uint32_t>(result));
    header->set_detail(detail);
    header->set_retry_after_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(retryAfter).count()));
    header->set_window(m_table.window());
    send(key, message, false);
}

void RequestBroker::sendTrailer(const StreamKey &key, ResultCode result, std::uint64_t length, const DigestBytes &digest, std::uint64_t position)
{
    pb::AgentMessage message;
    pb::AnswerTrailer *trailer = message.mutable_trailer();
    trailer->set_length(length);
    trailer->set_digest(digest.data(), digest.size());
    trailer->set_result(static_cast<std::uint32_t>(result));
    trailer->set_position(position);
    setLoadFigures(*trailer->mutable_load(), load());
    send(key, message, true);
}

void RequestBroker::answer(const StreamKey &key, ResultCode result, const std::string &detail, const Bytes &body, Duration retryAfter)
{
    sendHeader(key, result, detail, retryAfter);
    if (!body.empty()) {
        pb::AgentMessage message;
        message.mutable_body()->set_data(body.data(), body.size());
        send(key, message, false);
    }
    sendTrailer(key, result, body.size(), digestOf(body), 0);
}

void RequestBroker::send(const StreamKey &key, const pb::AgentMessage &message, bool end)
{
    Stream &stream = *m_streams.at(key);
    const Bytes frame = encodeFrame(message);
    stream.pending.insert(stream.pending.end(), frame.begin(), frame.end());
    stream.endsAfterPending = end;
    flushPending(key);
}

void RequestBroker::flushPending(const StreamKey &key)
{
    const auto found = m_streams.find(key);
    if (found == m_streams.end()) {
        return;
    }
    Stream &stream = *found->second;
    if (stream.pending.empty()) {
        return;
    }
    const std::size_t accepted = m_flows.write(key.first, key.second, stream.pending, stream.endsAfterPending);
    stream.pending.erase(stream.pending.begin(), stream.pending.begin() + static_cast<std::ptrdiff_t>(accepted));
    const auto job = m_jobs.find(stream.call);
    if (job != m_jobs.end()) {
        returnCredit(*job->second);
    }
}

void RequestBroker::returnCredit(Job &job)
{
    const bool isSlow = std::any_of(job.attempts.begin(), job.attempts.end(), [this](const StreamKey &key) {
        return m_streams.at(key)->pending.size() > maxPendingBytes;
    });
    if (isSlow || job.uncreditedBytes == 0) {
        return;
    }
    m_backend.consume(job.call, std::exchange(job.uncreditedBytes, 0));
}

void RequestBroker::report(TimePoint now, const Job &job, ResultCode result)
{
    ++m_statistics.answered[result];
    const bool wasStarted = job.startedAt != TimePoint{};
    RequestReport report;
    report.customer = job.request.customer;
    report.workClass = job.request.workClass;
    report.result = result;
    report.queued = (wasStarted ? job.startedAt : now) - job.submittedAt;
    report.total = now - job.submittedAt;
    report.answerBytes = job.answerLength;
    m_reporter(report);
}

}
