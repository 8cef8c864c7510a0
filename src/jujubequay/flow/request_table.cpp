#include <jujubequay/core/invariant.h>
#include <jujubequay/flow/request_table.h>

namespace Jujubequay {

RequestTable::RequestTable(Incarnation own, Options options, TimePoint now)
    : m_own(own)
    , m_options(options)
    , m_now(now)
    , m_windowEnd(now + options.windowLength)
{
}

void RequestTable::tick(TimePoint now)
{
    m_now = now;
    if (now >= m_windowEnd) {
        openWindow(now);
    }
    while (m_window - m_oldestWindow > m_options.windowsKept) {
        dropOldestWindow();
    }
}

RequestAdmission RequestTable::admit(const RequestId &id, const FirstAttempt &first)
{
    if (first.incarnation != m_own) {
        return RequestRejected{ResultCode::OutcomeUnknown};
    }
    const auto known = m_records.find(id);
    if (known != m_records.end()) {
        const Record &record = known->second;
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
    makeRoom();
    if (first.window < m_oldestWindow) {
        return RequestRejected{ResultCode::RequestExpired};
    }
    m_records.emplace(id, Record{State::Admitted, first.window, {}});
    m_byWindow[first.window].push_back(id);
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
        record.answer.detail = "executed; the answer was too long to keep";
    }
    m_storedBytes += record.answer.body.size();
    makeRoom();
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

void RequestTable::dropOldestWindow()
{
    const auto oldest = m_byWindow.find(m_oldestWindow);
    ++m_oldestWindow;
    if (oldest == m_byWindow.end()) {
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
    m_byWindow.erase(oldest);
    // Requests in progress outlive their window; they are dropped with the window after it once they have ended.
    if (!pending.empty()) {
        auto &next = m_byWindow[m_oldestWindow];
        next.insert(next.end(), pending.begin(), pending.end());
    }
}

void RequestTable::makeRoom()
{
    while (m_records.size() >= m_options.maxRecords || m_storedBytes > m_options.maxStoredBytes) {
        // Requests in progress are never dropped; the admission queue bounds their number.
        const std::size_t before = m_records.size();
        if (m_oldestWindow == m_window) {
            openWindow(m_now);
        }
        dropOldestWindow();
        const bool lastWindow = m_oldestWindow == m_window;
        if (lastWindow && m_records.size() == before) {
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
