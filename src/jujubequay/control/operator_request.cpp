#include <jujubequay/control/operator_request.h>
#include <jujubequay/core/invariant.h>

#include <fmt/format.h>

#include <algorithm>

namespace Jujubequay {

namespace pb = jujubequay::pb;

namespace {

constexpr std::uint32_t maxDoublings = 8;

ResultCode resultOf(const pb::OperatorDown &message)
{
    return static_cast<ResultCode>(message.has_status() ? message.status().result() : message.answer().result());
}

}

OperatorRequest::OperatorRequest(OperatorRequestOptions options, pb::OperatorUp message, std::mt19937_64 &random)
    : m_options(std::move(options))
    , m_message(std::move(message))
    , m_random(random)
{
    checkInvariant(!m_options.controlHosts.empty(), "an operator request has at least one control host");
}

OperatorRequestEffects OperatorRequest::start(TimePoint now)
{
    m_deadline = now + m_options.timeout;
    return attempt(now);
}

OperatorRequestEffects OperatorRequest::attempt(TimePoint now)
{
    const HostAddress address = m_options.controlHosts[m_nextHost];
    m_nextHost = (m_nextHost + 1) % m_options.controlHosts.size();
    return attemptAt(now, address);
}

OperatorRequestEffects OperatorRequest::attemptAt(TimePoint now, const HostAddress &address)
{
    m_nextAttempt.reset();
    m_attemptDeadline = now + m_options.attemptTimeout;
    return {SendOperatorRequest{address, ++m_stream, m_message}};
}

OperatorRequestEffects OperatorRequest::tick(TimePoint now)
{
    if (m_isFinished) {
        return {};
    }
    if (now >= m_deadline) {
        if (m_unconfirmedStatus) {
            return finish(ResultCode::Ok, {}, *m_unconfirmedStatus);
        }
        const bool isCommand = m_message.has_command();
        return finish(isCommand ? ResultCode::OutcomeUnknown : ResultCode::Timeout, fmt::format("no control host answered: {}", m_lastCause), {});
    }
    if (m_nextAttempt) {
        return now >= *m_nextAttempt ? attempt(now) : OperatorRequestEffects();
    }
    return now >= m_attemptDeadline ? retryLater(now, "no answer within the attempt timeout") : OperatorRequestEffects();
}

OperatorRequestEffects OperatorRequest::receive(TimePoint now, std::uint64_t stream, const pb::OperatorDown &message)
{
    if (m_isFinished || stream != m_stream || m_nextAttempt) {
        return {};
    }
    if (isFinal(message)) {
        return finish(ResultCode::Ok, {}, message);
    }
    if (message.has_status()) {
        m_unconfirmedStatus = message;
    }
    const auto leader = parseHostAddress(message.answer().leader_address());
    const ResultCode code = resultOf(message);
    // Only the first leader hint is followed at once. Further hints wait, so that wrong hints do not cause a busy loop.
    if (code == ResultCode::NotLeader && leader && m_failures == 0) {
        ++m_failures;
        return attemptAt(now, *leader);
    }
    return retryLater(now, fmt::format("{} {}", resultName(code), message.answer().detail()));
}

OperatorRequestEffects OperatorRequest::streamClosed(TimePoint now, std::uint64_t stream, ResultCode code)
{
    if (m_isFinished || stream != m_stream || m_nextAttempt) {
        return {};
    }
    if (code == ResultCode::NotAuthorized) {
        return finish(code, "the control host does not authorize this certificate", {});
    }
    return retryLater(now, std::string(resultName(code)));
}

// True if another control host could not give a different answer; only such answers end the request.
bool OperatorRequest::isFinal(const pb::OperatorDown &message) const
{
    switch (resultOf(message)) {
    case ResultCode::NotLeader:
    case ResultCode::NoQuorum:
    case ResultCode::OutcomeUnknown:
    case ResultCode::NotRunOverloaded:
    case ResultCode::MembershipBusy:
    case ResultCode::Timeout:
        return false;
    default:
        return true;
    }
}

OperatorRequestEffects OperatorRequest::retryLater(TimePoint now, std::string cause)
{
    m_lastCause = std::move(cause);
    const Duration maxDelay = std::min(m_options.retryLimit, m_options.retryBase * (1U << std::min(m_failures, maxDoublings)));
    ++m_failures;
    m_nextAttempt = now + Duration(std::uniform_int_distribution<Duration::rep>(0, maxDelay.count())(m_random));
    return {};
}

OperatorRequestEffects OperatorRequest::finish(ResultCode code, std::string detail, const pb::OperatorDown &answer)
{
    m_isFinished = true;
    return {FinishRequest{code, std::move(detail), answer}};
}

}
