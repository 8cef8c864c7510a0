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

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

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

void logReset(Logger &logger, TimePoint now, const ResetCaller &decision, const ServerDirectory &directory)
{
    const ResetEvidence &evidence = decision.evidence;
    const bool isAgeKnown = evidence.learnedAt != TimePoint();
    logger.info({"flow-reset", steerCauseName(decision.cause)},
                {{"caller", toString(decision.tuple.caller)},
                 {"address", toString(decision.tuple.service)},
                 {"cause", steerCauseName(decision.cause)},
                 {"opening", decision.isOpening},
                 {"routes_version", directory.routes().version()},
                 {"servers_complete", directory.isRegistryComplete()},
                 {"owner_source", ownershipSourceName(evidence.source)},
                 {"owner", toString(evidence.owner)},
                 {"incarnation", evidence.incarnation.value},
                 {"owner_age_ms", isAgeKnown ? milliseconds(now - evidence.learnedAt) : 0},
                 {"end", evidence.end ? serverEndCauseName(evidence.end->cause) : "none"},
                 {"successor", evidence.end ? evidence.end->successor.value : 0},
                 {"end_age_ms", evidence.end ? milliseconds(now - evidence.end->learnedAt) : 0}});
}

void logEndedServers(Logger &logger, std::span<const EndedServer> servers, const RegistrySource &source)
{
    for (const EndedServer &server : servers) {
        logger.info("server-ended",
                    {{"agent", toString(server.agent)},
                     {"incarnation", server.incarnation.value},
                     {"cause", serverEndCauseName(server.end.cause)},
                     {"successor", server.end.successor.value},
                     {"control_host", toString(source.controlHost)},
                     {"registry_epoch", source.epoch},
                     {"registry_sequence", source.sequence}});
    }
}

void logDrop(Logger &logger, const DropPacket &decision, const Segment &segment, std::uint64_t routesVersion)
{
    logger.info({"packet-dropped", steerCauseName(decision.cause)},
                {{"source", toString(segment.source)},
                 {"destination", toString(segment.destination)},
                 {"opening", segment.isSyn},
                 {"cause", steerCauseName(decision.cause)},
                 {"routes_version", routesVersion}});
}

}
