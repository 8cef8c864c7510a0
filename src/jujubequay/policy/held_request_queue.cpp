#include <jujubequay/policy/held_request_queue.h>

#include <utility>

namespace Jujubequay {

HeldRequestQueue::HeldRequestQueue(HeldRequestQueueOptions options)
    : m_options(options)
{
}

void HeldRequestQueue::push(TimePoint now, TimePoint goalAt, std::span<const std::uint8_t> packet)
{
    m_requests.push_back({now, goalAt, {packet.begin(), packet.end()}});
    m_bytes += packet.size();
    while (m_bytes > m_options.maxBytes) {
        remove(m_requests.begin());
        ++m_dropped;
    }
}

void HeldRequestQueue::dropOld(TimePoint now)
{
    while (!m_requests.empty() && now - m_requests.front().addedAt > m_options.maxAge) {
        remove(m_requests.begin());
        ++m_dropped;
    }
}

std::optional<std::vector<std::uint8_t>> HeldRequestQueue::pop(TimePoint now, Duration serviceTime)
{
    dropOld(now);
    if (m_requests.empty()) {
        return std::nullopt;
    }
    auto next = m_requests.end();
    if (m_takenSinceOldest + 1 < m_options.oldestEvery) {
        for (auto request = m_requests.begin(); request != m_requests.end(); ++request) {
            const bool canMeetGoal = now + serviceTime <= request->goalAt;
            if (canMeetGoal && (next == m_requests.end() || request->goalAt < next->goalAt)) {
                next = request;
            }
        }
    }
    const bool isOldest = next == m_requests.end() || next == m_requests.begin();
    m_takenSinceOldest = isOldest ? 0 : m_takenSinceOldest + 1;
    return remove(isOldest ? m_requests.begin() : next);
}

std::optional<std::vector<std::uint8_t>> HeldRequestQueue::popAddedBefore(TimePoint time)
{
    if (m_requests.empty() || m_requests.front().addedAt >= time) {
        return std::nullopt;
    }
    return remove(m_requests.begin());
}

std::vector<std::uint8_t> HeldRequestQueue::remove(Requests::iterator request)
{
    std::vector<std::uint8_t> packet = std::move(request->packet);
    m_bytes -= packet.size();
    m_requests.erase(request);
    return packet;
}

std::size_t HeldRequestQueue::size() const
{
    return m_requests.size();
}

std::uint64_t HeldRequestQueue::droppedCount() const
{
    return m_dropped;
}

}
