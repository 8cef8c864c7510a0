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

/// When and where a caller first sent a request; repeated in every later attempt.
struct FirstAttempt {
    Incarnation incarnation;
    std::uint64_t window = 0;
};

/// The request is new and may be started once.
struct RequestAdmitted {
};
/// The request is queued or running; its answer serves this attempt as well.
struct RequestAttached {
};
/// The request has finished. The pointer is valid until the next call.
struct RequestReplayed {
    const StoredAnswer *answer = nullptr;
};
/// The request must not be started.
struct RequestRejected {
    ResultCode result = ResultCode::BadRequest;
};
using RequestAdmission = std::variant<RequestAdmitted, RequestAttached, RequestReplayed, RequestRejected>;

/// Remembers non-idempotent requests so that each is executed at most once.
///
/// Time is counted in numbered windows that callers learn from the agent, so no caller clock matters. A request names the
/// incarnation and window of its first attempt. Records are dropped a window at a time; a request from a dropped window
/// is rejected with RequestExpired, because whether it was executed is no longer known.
///
///     RequestTable table(own, {}, now);
///     if (std::holds_alternative<RequestAdmitted>(table.admit(id, first))) { table.markStarted(id); ... }
class RequestTable
{
public:
    struct Options {
        Duration windowLength = std::chrono::seconds(30);
        std::uint32_t windowsKept = 20; ///< closed windows whose records are kept
        std::size_t maxRecords = 50000;
        std::size_t maxStoredBytes = 16U << 20U; ///< of all stored answers together
        std::size_t maxAnswerBytes = 64U << 10U; ///< a longer body is not stored; its replay is AnswerIncomplete
    };

    RequestTable(Incarnation own, Options options, TimePoint now);

    /// Opens a new window when the current one is over, and drops the windows that are too old.
    void tick(TimePoint now);

    RequestAdmission admit(const RequestId &id, const FirstAttempt &first);

    /// The request is handed to the backend server. Called at most once for each admitted request.
    void markStarted(const RequestId &id);
    /// The request was executed, or its outcome is unknown: the answer is final.
    void finish(const RequestId &id, StoredAnswer answer);
    /// The request provably did not run; every later attempt is rejected with the same code.
    void refuse(const RequestId &id, ResultCode notRun);

    /// The window that new requests should name.
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
    void dropOldestWindow();
    void makeRoom();
    Record &pendingRecord(const RequestId &id);

    const Incarnation m_own;
    const Options m_options;
    std::uint64_t m_window = 1;
    std::uint64_t m_oldestWindow = 1; ///< records of older windows are dropped
    TimePoint m_now;
    TimePoint m_windowEnd;
    std::unordered_map<RequestId, Record> m_records;
    std::map<std::uint64_t, std::vector<RequestId>> m_byWindow;
    std::size_t m_storedBytes = 0;
};

}
