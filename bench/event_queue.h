#pragma once

#include <jujubequay/core/clock.h>

#include <functional>
#include <queue>
#include <vector>

namespace Jujubequay::Bench {

/// Simulated time: runs actions in order of time, and of scheduling for equal times.
class EventQueue
{
public:
    TimePoint now() const
    {
        return m_now;
    }

    void after(Duration delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, m_sequence++, std::move(action)});
    }

    void runUntil(TimePoint end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        m_now = end;
    }

private:
    struct Event {
        TimePoint at;
        std::uint64_t sequence = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    std::priority_queue<Event> m_events;
    TimePoint m_now{};
    std::uint64_t m_sequence = 0;
};

}
