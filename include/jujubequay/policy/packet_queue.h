#pragma once

#include <jujubequay/core/clock.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace Jujubequay {

struct PacketQueueOptions {
    std::size_t maxBytes = 128U << 10U; ///< of packets that wait
    Duration maxAge = std::chrono::milliseconds(600); ///< older packets are not worth sending
};

/// Packets that wait for a moment, oldest first. Beyond its limits the oldest packets are dropped: their senders repeat them.
class PacketQueue
{
public:
    explicit PacketQueue(PacketQueueOptions options);

    void hold(TimePoint now, std::span<const std::uint8_t> packet);
    /// The oldest packet that is worth sending.
    std::optional<std::vector<std::uint8_t>> takeOldest(TimePoint now);
    /// When the oldest packet came; empty without packets.
    std::optional<TimePoint> oldest() const;
    std::size_t size() const;
    std::uint64_t dropped() const;

private:
    struct Held {
        TimePoint at;
        std::vector<std::uint8_t> packet;
    };

    std::vector<std::uint8_t> removeFront();

    const PacketQueueOptions m_options;
    std::deque<Held> m_held;
    std::size_t m_bytes = 0;
    std::uint64_t m_dropped = 0;
};

}
