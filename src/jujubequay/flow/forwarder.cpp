#include <jujubequay/core/name_table.h>
#include <jujubequay/flow/forwarder.h>
#include <jujubequay/flow/packet.h>

#include <xxhash.h>

namespace Jujubequay {

namespace {

constexpr NameTable<DropCause, 6> dropCauseNames{{{
    {DropCause::NotQuic, "not-quic"},
    {DropCause::WrongService, "wrong-service"},
    {DropCause::UnknownFlow, "unknown-flow"},
    {DropCause::UnknownService, "unknown-service"},
    {DropCause::NoServer, "no-server"},
    {DropCause::NoKeys, "no-keys"},
}}};

RelayHeader headerFor(const ForwardingTable &table, const Arrival &arrival, RelayKind kind)
{
    RelayHeader header;
    header.kind = kind;
    header.service = arrival.service;
    header.caller = arrival.caller;
    header.balancer = arrival.relay;
    header.entry = arrival.entry;
    const auto service = table.services.find(arrival.service);
    header.revision = service == table.services.end() ? 0 : service->second.revision;
    return header;
}

ForwardDecision forwardFlow(const ForwardingTable &table, const Arrival &arrival, const FlowTarget &target)
{
    if (target.service != arrival.service) {
        return Drop{DropCause::WrongService};
    }
    RelayHeader header = headerFor(table, arrival, RelayKind::Forward);
    header.incarnation = target.incarnation;
    return ForwardTo{target.server, header};
}

ForwardDecision placeInitial(const ForwardingTable &table, const Arrival &arrival, std::span<const std::uint8_t> destinationId)
{
    const auto service = table.services.find(arrival.service);
    if (service == table.services.end()) {
        return Drop{DropCause::UnknownService};
    }
    // The placement key excludes the caller's address, so that a caller whose address changes during the handshake keeps its server.
    const std::uint64_t key = XXH3_64bits_withSeed(destinationId.data(), destinationId.size(), arrival.service.value);
    const PlacementChoice choice = service->second.servers->choose(key);
    if (choice.first == nullptr) {
        return Drop{DropCause::NoServer};
    }
    RelayHeader header = headerFor(table, arrival, RelayKind::Initial);
    header.incarnation = choice.first->incarnation;
    if (choice.second != nullptr) {
        header.secondChoice = choice.second->address;
        header.secondChoiceIncarnation = choice.second->incarnation;
    }
    return ForwardTo{choice.first->address, header};
}

}

std::string_view dropCauseName(DropCause cause)
{
    return dropCauseNames.name(cause);
}

ForwardDecision decideForward(const ForwardingTable &table, const Arrival &arrival, std::span<const std::uint8_t> datagram)
{
    if (!table.keys.activeNumber()) {
        return Drop{DropCause::NoKeys};
    }
    const auto packet = readInvariants(datagram);
    if (!packet) {
        return Drop{DropCause::NotQuic};
    }
    if (const auto target = decodeFlowId(table.keys, packet->destinationId)) {
        return forwardFlow(table, arrival, *target);
    }
    const bool isInitial = packet->hasLongHeader && datagram.size() >= minInitialDatagramBytes && packet->destinationId.size() >= minInitialIdBytes;
    if (!isInitial) {
        return Drop{DropCause::UnknownFlow};
    }
    return placeInitial(table, arrival, packet->destinationId);
}

}
