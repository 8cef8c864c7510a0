#pragma once

#include <jujubequay/core/clock.h>

#include <functional>
#include <queue>
#include <vector>

namespace Jujubequay::Bench {

/// Event queue of a discrete-event simulation. Runs actions in order of simulated time; actions with equal times run in the
/// order in which they were scheduled.
class EventQueue
{
public:
    TimePoint now() const
    {
        return m_now;
    }

    /// Schedules an action for the current simulated time plus a delay.
    void after(Duration delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, m_sequence++, std::move(action)});
    }

    /// Runs all actions that are due up to `end`, and sets the simulated time to `end`.
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
