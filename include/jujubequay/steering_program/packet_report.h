#pragma once

#include <jujubequay/core/log.h>
#include <jujubequay/daemon/metrics.h>
#include <jujubequay/steering/balancer_steering.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <span>

namespace Jujubequay {

/// What became of packets.
enum class PacketEvent : std::uint8_t { Relayed, Placed, AskedHome, Delivered, Answered, PassedOn, Held, Reset, Dropped, Unreadable, NotSent };

std::string_view packetEventName(PacketEvent event);

/// Counts packets on the traffic thread; the control thread reads and publishes the counts.
class PacketCounters
{
public:
    /// `events`: those that the process has; it outlives the counters.
    explicit PacketCounters(std::span<const PacketEvent> events);

    void add(PacketEvent event, std::uint64_t packets = 1);
    /// As "packets", by cause.
    void publish(Metrics &metrics) const;

private:
    static constexpr std::size_t eventCount = static_cast<std::size_t>(PacketEvent::NotSent) + 1;

    const std::span<const PacketEvent> m_events;
    std::array<std::atomic<std::uint64_t>, eventCount> m_counts{};
};

/// Logs that a caller was told that its flow does not exist.
void logReset(Logger &logger, const ResetCaller &decision, std::uint64_t routesVersion);
/// Logs that a packet was dropped.
void logDrop(Logger &logger, const DropPacket &decision, const Segment &segment, std::uint64_t routesVersion);

}
