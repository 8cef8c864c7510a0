#pragma once

#include <jujubequay/core/clock.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace Jujubequay {

struct PacketQueueOptions {
    std::size_t maxBytes = 128U << 10U; ///< largest total size of the queued packets
    Duration maxAge = std::chrono::milliseconds(600); ///< older packets are dropped
};

/// Queues packets that cannot be sent yet. Beyond the limits the oldest packets are dropped, because their senders retransmit them.
class PacketQueue
{
public:
    explicit PacketQueue(PacketQueueOptions options);

    /// Adds a packet, and drops the oldest ones if the queue exceeds `maxBytes`.
    void push(TimePoint now, std::span<const std::uint8_t> packet);
    /// Removes and returns the oldest packet, after dropping those that exceed `maxAge`. Empty if no packet is left.
    std::optional<std::vector<std::uint8_t>> popOldest(TimePoint now);
    std::size_t size() const;
    /// Number of packets that were dropped so far.
    std::uint64_t droppedCount() const;

private:
    struct QueuedPacket {
        TimePoint addedAt;
        std::vector<std::uint8_t> packet;
    };

    std::vector<std::uint8_t> removeFront();

    const PacketQueueOptions m_options;
    std::deque<QueuedPacket> m_packets;
    std::size_t m_bytes = 0;
    std::uint64_t m_dropped = 0;
};

}
