#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>

namespace Jujubequay {

/// Slots of the stub backend server and the queue of requests that wait for a slot.
class WorkQueue
{
public:
    using WorkId = std::uint64_t;
    enum class Admission : std::uint8_t { Run, Wait, Refuse };

    WorkQueue(std::size_t slots, std::size_t maxWaiting);

    Admission add(WorkId id);
    /// Removes work that has ended or was cancelled. Returns the waiting work that gets the freed slot, if any.
    std::optional<WorkId> remove(WorkId id);
    std::size_t running() const;
    std::size_t waiting() const;

private:
    std::size_t m_slots;
    std::size_t m_maxWaiting;
    std::set<WorkId> m_running;
    std::deque<WorkId> m_waiting;
};

}
