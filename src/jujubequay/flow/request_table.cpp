#include <jujubequay/core/invariant.h>
#include <jujubequay/flow/request_table.h>

namespace Jujubequay {

RequestTable::RequestTable(Incarnation local, Options options, TimePoint now)
    : m_localIncarnation(local)
    , m_options(options)
    , m_lastTick(now)
    , m_windowEnd(now + options.windowLength)
{
}

void RequestTable::tick(TimePoint now)
{
    m_lastTick = now;
    if (now >= m_windowEnd) {
        openWindow(now);
    }
    while (m_window - m_oldestWindow > m_options.windowsKept) {
        removeOldestWindow();
    }
}

RequestAdmission RequestTable::admit(const RequestId &id, const FirstAttempt &first)
{
    if (first.incarnation != m_localIncarnation) {
        return RequestRejected{ResultCode::OutcomeUnknown};
    }
    const auto found = m_records.find(id);
    if (found != m_records.end()) {
        const Record &record = found->second;
        if (record.window != first.window) {
            return RequestRejected{ResultCode::BadRequest};
        }
        switch (record.state) {
        case State::Admitted:
        case State::Started:
            return RequestAttached{};
        case State::Finished:
            return RequestReplayed{&record.answer};
        case State::Refused:
            return RequestRejected{record.answer.result};
        }
    }
    if (first.window > m_window) {
        return RequestRejected{ResultCode::BadRequest};
    }
    evictOldWindows();
    if (first.window < m_oldestWindow) {
        return RequestRejected{ResultCode::RequestExpired};
    }
    m_records.emplace(id, Record{State::Admitted, first.window, {}});
    m_requestsByWindow[first.window].push_back(id);
    return RequestAdmitted{};
}

void RequestTable::markStarted(const RequestId &id)
{
    Record &record = pendingRecord(id);
    checkInvariant(record.state == State::Admitted, "a non-idempotent request is started at most once");
    record.state = State::Started;
}

void RequestTable::finish(const RequestId &id, StoredAnswer answer)
{
    Record &record = pendingRecord(id);
    checkInvariant(!isNotRun(answer.result), "a request that did not run is refused, not finished");
    record.state = State::Finished;
    record.answer = std::move(answer);
    if (record.answer.body.size() > m_options.maxAnswerBytes) {
        record.answer.body.clear();
        record.answer.body.shrink_to_fit();
        record.answer.result = ResultCode::AnswerIncomplete;
        record.answer.detail = "the request was executed, but its answer was too long to store";
    }
    m_storedBytes += record.answer.body.size();
    evictOldWindows();
}

void RequestTable::refuse(const RequestId &id, ResultCode notRun)
{
    Record &record = pendingRecord(id);
    checkInvariant(isNotRun(notRun), "only a not-run code refuses a request");
    record.state = State::Refused;
    record.answer.result = notRun;
}

std::uint64_t RequestTable::window() const
{
    return m_window;
}

std::size_t RequestTable::recordCount() const
{
    return m_records.size();
}

std::size_t RequestTable::storedBytes() const
{
    return m_storedBytes;
}

void RequestTable::openWindow(TimePoint now)
{
    ++m_window;
    m_windowEnd = now + m_options.windowLength;
}

void RequestTable::removeOldestWindow()
{
    const auto oldest = m_requestsByWindow.find(m_oldestWindow);
    ++m_oldestWindow;
    if (oldest == m_requestsByWindow.end()) {
        return;
    }
    std::vector<RequestId> pending;
    for (const RequestId &id : oldest->second) {
        const auto found = m_records.find(id);
        const bool isPending = found->second.state == State::Admitted || found->second.state == State::Started;
        if (isPending) {
            pending.push_back(id);
            continue;
        }
        m_storedBytes -= found->second.answer.body.size();
        m_records.erase(found);
    }
    m_requestsByWindow.erase(oldest);
    // Records of requests in progress move to the following window, and are removed with it if the requests have ended by then.
    if (!pending.empty()) {
        auto &following = m_requestsByWindow[m_oldestWindow];
        following.insert(following.end(), pending.begin(), pending.end());
    }
}

void RequestTable::evictOldWindows()
{
    while (m_records.size() >= m_options.maxRecords || m_storedBytes > m_options.maxStoredBytes) {
        // Records of requests in progress are never removed; the admission queue bounds their number.
        const std::size_t countBefore = m_records.size();
        if (m_oldestWindow == m_window) {
            openWindow(m_lastTick);
        }
        removeOldestWindow();
        const bool isLastWindow = m_oldestWindow == m_window;
        if (isLastWindow && m_records.size() == countBefore) {
            return;
        }
    }
}

RequestTable::Record &RequestTable::pendingRecord(const RequestId &id)
{
    const auto found = m_records.find(id);
    checkInvariant(found != m_records.end(), "a request in progress has a record");
    const bool isPending = found->second.state == State::Admitted || found->second.state == State::Started;
    checkInvariant(isPending, "a request gets one outcome");
    return found->second;
}

}
