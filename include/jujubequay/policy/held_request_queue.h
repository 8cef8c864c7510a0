#pragma once

#include <jujubequay/core/clock.h>

#include <cstdint>
#include <list>
#include <optional>
#include <span>
#include <vector>

namespace Jujubequay {

struct HeldRequestQueueOptions {
    std::size_t maxBytes = 128U << 10U; ///< largest total size of the queued packets; beyond it the oldest ones are dropped
    Duration maxAge = std::chrono::milliseconds(1800); ///< older packets are dropped, because their callers have given up
    /// Every request of this number that is taken is the oldest one, also if it misses its goal: it is not starved by newer ones.
    unsigned oldestEvery = 4;
};

/// Requests that wait for a server which is full.
///
/// In order of arrival, each request of a backlog waits for all earlier ones, so that after an interruption all of them miss their latency
/// goal, including those that arrive when the server has recovered. Requests that can still meet their goal are therefore taken first, in the
/// order of the times at which it passes; the others follow in order of arrival.
class HeldRequestQueue
{
public:
    explicit HeldRequestQueue(HeldRequestQueueOptions options);

    /// `goalAt`: when the latency goal of the request passes.
    void push(TimePoint now, TimePoint goalAt, std::span<const std::uint8_t> packet);
    /// Removes and returns the next packet. `serviceTime`: time from a request to its answer. Empty if no packet is left.
    std::optional<std::vector<std::uint8_t>> pop(TimePoint now, Duration serviceTime);
    /// Removes and returns the oldest packet if it was added before `time`.
    std::optional<std::vector<std::uint8_t>> popAddedBefore(TimePoint time);
    std::size_t size() const;
    /// Number of packets that were dropped so far.
    std::uint64_t droppedCount() const;

private:
    struct Request {
        TimePoint addedAt;
        TimePoint goalAt;
        std::vector<std::uint8_t> packet;
    };
    using Requests = std::list<Request>; // in order of arrival

    void dropOld(TimePoint now);
    std::vector<std::uint8_t> remove(Requests::iterator request);

    const HeldRequestQueueOptions m_options;
    Requests m_requests;
    std::size_t m_bytes = 0;
    unsigned m_takenSinceOldest = 0;
    std::uint64_t m_dropped = 0;
};

}
