#include <jujubequay/steering_program/packet_report.h>

#include <jujubequay/core/name_table.h>

namespace Jujubequay {

namespace {

constexpr NameTable<PacketEvent, 11> packetEventNames{{{
    {PacketEvent::Relayed, "relayed"},
    {PacketEvent::Placed, "placed"},
    {PacketEvent::SentToRegistrar, "asked-home"},
    {PacketEvent::Delivered, "delivered"},
    {PacketEvent::SentToCaller, "answered"},
    {PacketEvent::Forwarded, "passed-on"},
    {PacketEvent::Held, "held"},
    {PacketEvent::Reset, "reset"},
    {PacketEvent::Dropped, "dropped"},
    {PacketEvent::Unreadable, "unreadable"},
    {PacketEvent::NotSent, "not-sent"},
}}};

}

std::string_view packetEventName(PacketEvent event)
{
    return packetEventNames.name(event);
}

PacketCounters::PacketCounters(std::span<const PacketEvent> events)
    : m_events(events)
{
}

void PacketCounters::add(PacketEvent event, std::uint64_t packets)
{
    m_counts[static_cast<std::size_t>(event)].fetch_add(packets, std::memory_order_relaxed);
}

void PacketCounters::publish(Metrics &metrics) const
{
    for (const PacketEvent event : m_events) {
        const std::uint64_t packets = m_counts[static_cast<std::size_t>(event)].load(std::memory_order_relaxed);
        metrics.counter("packets", packetEventName(event)).store(packets, std::memory_order_relaxed);
    }
}

void logReset(Logger &logger, const ResetCaller &decision, std::uint64_t routesVersion)
{
    logger.info("flow-reset",
                {{"caller", toString(decision.tuple.caller)},
                 {"address", toString(decision.tuple.service)},
                 {"cause", steerCauseName(decision.cause)},
                 {"routes_version", routesVersion}});
}

void logDrop(Logger &logger, const DropPacket &decision, const Segment &segment, std::uint64_t routesVersion)
{
    logger.info("packet-dropped",
                {{"source", toString(segment.source)},
                 {"destination", toString(segment.destination)},
                 {"opening", segment.isSyn},
                 {"cause", steerCauseName(decision.cause)},
                 {"routes_version", routesVersion}});
}

}
