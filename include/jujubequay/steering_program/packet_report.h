#pragma once

#include <jujubequay/core/log.h>
#include <jujubequay/daemon/metrics.h>
#include <jujubequay/steering/balancer_steering.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <span>

namespace Jujubequay {

/// What a balancer or an agent has done with a packet.
enum class PacketEvent : std::uint8_t {
    Relayed, ///< sent by a balancer to an agent
    Placed, ///< relayed to a server that was chosen for a new flow
    SentToRegistrar, ///< relayed to a registrar, since the balancer has no entry for the flow
    Delivered, ///< sent to the local server
    SentToCaller,
    Forwarded, ///< sent by an agent to another agent
    Held, ///< queued by an agent until the server has room or the server list is stable
    Reset, ///< the caller was reset
    Dropped,
    Unreadable, ///< not a valid packet or message
    NotSent, ///< the socket did not accept the datagram
};

std::string_view packetEventName(PacketEvent event);

/// Packet counts. Updated on the traffic thread, published on the control thread.
class PacketCounters
{
public:
    /// `events`: the events that the process publishes. The span must stay valid.
    explicit PacketCounters(std::span<const PacketEvent> events);

    void add(PacketEvent event, std::uint64_t packets = 1);
    /// Publishes the counts as the metric "packets" with the event as its label.
    void publish(Metrics &metrics) const;

private:
    static constexpr std::size_t eventCount = static_cast<std::size_t>(PacketEvent::NotSent) + 1;

    const std::span<const PacketEvent> m_events;
    std::array<std::atomic<std::uint64_t>, eventCount> m_counts{};
};

/// Logs that a flow of a caller was reset, and what was known about its owner.
void logReset(Logger &logger, TimePoint now, const ResetCaller &decision, const ServerDirectory &directory);
/// Logs that servers have ended, and which control host has said so.
void logEndedServers(Logger &logger, std::span<const EndedServer> servers, const RegistrySource &source);
/// Logs that a packet was dropped.
void logDrop(Logger &logger, const DropPacket &decision, const Segment &segment, std::uint64_t routesVersion);

}
