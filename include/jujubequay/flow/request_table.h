#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/core/identifiers.h>
#include <jujubequay/core/result_code.h>
#include <jujubequay/wire/framing.h>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <variant>

namespace Jujubequay {

/// The final answer to a non-idempotent request.
struct StoredAnswer {
    ResultCode result = ResultCode::Ok;
    std::string detail;
    Bytes body;
};

/// Agent incarnation and window of a request's first attempt. Every later attempt carries the same values.
struct FirstAttempt {
    Incarnation incarnation;
    std::uint64_t window = 0;
};

/// The request is new and may be started once.
struct RequestAdmitted {
};
/// The request is queued or running. This attempt receives the same answer as the earlier one.
struct RequestAttached {
};
/// The request has finished, and this attempt receives the stored answer. The pointer is valid until the next call.
struct RequestReplayed {
    const StoredAnswer *answer = nullptr;
};
/// The request must not be started.
struct RequestRejected {
    ResultCode result = ResultCode::BadRequest;
};
using RequestAdmission = std::variant<RequestAdmitted, RequestAttached, RequestReplayed, RequestRejected>;

/// Keeps a record of each non-idempotent request, so that it is executed at most once.
///
/// Time is counted in numbered windows that the agent sends to its callers, so callers need no synchronised clocks. A request
/// carries the incarnation and window of its first attempt. Records are removed one window at a time. A request whose window
/// was removed is rejected with RequestExpired, because without its record it is unknown whether the request was executed.
///
///     RequestTable table(localIncarnation, {}, now);
///     if (std::holds_alternative<RequestAdmitted>(table.admit(id, first))) { table.markStarted(id); ... }
class RequestTable
{
public:
    struct Options {
        Duration windowLength = std::chrono::seconds(30);
        std::uint32_t windowsKept = 20; ///< number of closed windows whose records are kept
        std::size_t maxRecords = 50000; ///< the oldest windows are removed before a further request is admitted
        std::size_t maxStoredBytes = 16U << 20U; ///< total size of the bodies of all stored answers
        std::size_t maxAnswerBytes = 64U << 10U; ///< a longer body is not stored, and its replay has the result AnswerIncomplete
    };

    RequestTable(Incarnation local, Options options, TimePoint now);

    /// Opens a new window when the current one has ended, and removes the windows beyond `windowsKept`.
    void tick(TimePoint now);

    /// Decides on an attempt of a request. Rejects it with OutcomeUnknown if its first attempt went to another incarnation, with
    /// BadRequest if its window differs from that of an earlier attempt or is later than the current one, with RequestExpired if
    /// its window was removed, and with the earlier code if the request was refused.
    RequestAdmission admit(const RequestId &id, const FirstAttempt &first);

    /// Records that the request is sent to the backend server. Called at most once for each admitted request.
    void markStarted(const RequestId &id);
    /// Stores the final answer of a request that was executed or whose outcome is unknown.
    void finish(const RequestId &id, StoredAnswer answer);
    /// Records that the request provably did not run. Every later attempt is rejected with the same code.
    void refuse(const RequestId &id, ResultCode notRun);

    /// The current window, which new requests carry.
    std::uint64_t window() const;
    std::size_t recordCount() const;
    std::size_t storedBytes() const;

private:
    enum class State : std::uint8_t { Admitted, Started, Finished, Refused };

    struct Record {
        State state = State::Admitted;
        std::uint64_t window = 0;
        StoredAnswer answer;
    };

    void openWindow(TimePoint now);
    void removeOldestWindow();
    void evictOldWindows();
    Record &pendingRecord(const RequestId &id);

    const Incarnation m_localIncarnation;
    const Options m_options;
    std::uint64_t m_window = 1;
    std::uint64_t m_oldestWindow = 1; ///< records of older windows have been removed
    TimePoint m_lastTick;
    TimePoint m_windowEnd;
    std::unordered_map<RequestId, Record> m_records;
    std::map<std::uint64_t, std::vector<RequestId>> m_requestsByWindow;
    std::size_t m_storedBytes = 0;
};

}
