#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/core/identifiers.h>
#include <jujubequay/core/result_code.h>

#include <control.pb.h>

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace Jujubequay {

/// Effect: end the open stream, if any, open one to "/operator" and send the message on it.
struct SendOperatorRequest {
    HostAddress address;
    std::uint64_t stream = 0; ///< number to pass to `receive` and `streamClosed` for this stream
    jujubequay::pb::OperatorUp message;
};
/// Effect: the request has ended; `result` is Ok if `answer` was received.
struct FinishRequest {
    ResultCode result = ResultCode::Ok;
    std::string detail;
    jujubequay::pb::OperatorDown answer;
};
using OperatorRequestEffect = std::variant<SendOperatorRequest, FinishRequest>;
using OperatorRequestEffects = std::vector<OperatorRequestEffect>;

struct OperatorRequestOptions {
    std::vector<HostAddress> controlHosts; ///< control hosts in the order in which they are tried
    Duration timeout = std::chrono::seconds(15); ///< time limit of the whole request, with all attempts
    Duration attemptTimeout = std::chrono::seconds(4);
    Duration retryBase = std::chrono::milliseconds(100); ///< upper bound of the random delay before the first retry
    Duration retryLimit = std::chrono::seconds(2); ///< upper bound of the random delay before any retry
};

/// One request of an operator. Sends the same bytes to one control host after another until one answers. A command whose answer is
/// lost therefore runs only once, and its first answer is returned.
///
/// Ends with Timeout if no control host answered a status request, and with OutcomeUnknown if a command was sent but not answered;
/// the same command may be sent again.
class OperatorRequest
{
public:
    OperatorRequest(OperatorRequestOptions options, jujubequay::pb::OperatorUp message, std::mt19937_64 &random);

    OperatorRequestEffects start(TimePoint now);
    /// Call every 50 ms.
    OperatorRequestEffects tick(TimePoint now);
    OperatorRequestEffects receive(TimePoint now, std::uint64_t stream, const jujubequay::pb::OperatorDown &message);
    OperatorRequestEffects streamClosed(TimePoint now, std::uint64_t stream, ResultCode code);

private:
    OperatorRequestEffects attempt(TimePoint now);
    OperatorRequestEffects attemptAt(TimePoint now, const HostAddress &address);
    OperatorRequestEffects retryLater(TimePoint now, std::string cause);
    OperatorRequestEffects finish(ResultCode code, std::string detail, const jujubequay::pb::OperatorDown &answer);
    bool isFinal(const jujubequay::pb::OperatorDown &message) const;

    const OperatorRequestOptions m_options;
    const jujubequay::pb::OperatorUp m_message;
    std::mt19937_64 &m_random;
    TimePoint m_deadline{};
    TimePoint m_attemptDeadline{};
    std::optional<TimePoint> m_nextAttempt; // empty while an attempt is in progress
    std::size_t m_nextHost = 0;
    std::uint32_t m_failures = 0;
    std::uint64_t m_stream = 0;
    bool m_isFinished = false;
    std::string m_lastCause;
    std::optional<jujubequay::pb::OperatorDown> m_unconfirmedStatus; // last status that was not confirmed by a majority
};

}
