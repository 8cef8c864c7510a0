#include <jujubequay/daemon/work_queue.h>

#include <algorithm>

namespace Jujubequay {

WorkQueue::WorkQueue(std::size_t slots, std::size_t maxWaiting)
    : m_slots(slots)
    , m_maxWaiting(maxWaiting)
{
}

WorkQueue::Admission WorkQueue::add(WorkId id)
{
    if (m_running.size() < m_slots) {
        m_running.insert(id);
        return Admission::Run;
    }
    if (m_waiting.size() < m_maxWaiting) {
        m_waiting.push_back(id);
        return Admission::Wait;
    }
    return Admission::Refuse;
}

std::optional<WorkQueue::WorkId> WorkQueue::remove(WorkId id)
{
    if (m_running.erase(id) == 0) {
        std::erase(m_waiting, id);
        return std::nullopt;
    }
    if (m_waiting.empty()) {
        return std::nullopt;
    }
    const WorkId next = m_waiting.front();
    m_waiting.pop_front();
    m_running.insert(next);
    return next;
}

std::size_t WorkQueue::running() const
{
    return m_running.size();
}

std::size_t WorkQueue::waiting() const
{
    return m_waiting.size();
}

}
