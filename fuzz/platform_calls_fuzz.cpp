// Feeds arbitrary bytes to the packet and message decoders and to the parsers of the platform's HTTP calls.

#include <platform/calls.h>
#include <platform/packet_format.h>

#include <jujubequay/control/route_table.h>
#include <jujubequay/core/invariant.h>
#include <jujubequay/steering/steer_message.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace Jujubequay;

namespace {

void fuzzPacket(std::span<const std::uint8_t> data)
{
    const Platform::PacketFormat format(8172);
    std::vector<std::uint8_t> packet(data.begin(), data.end());
    if (const auto segment = format.decode(packet)) {
        checkInvariant(segment->length + Platform::packetHeaderLength == packet.size(), "header and segment add up to the length of the packet");
        format.clearTransitFields(packet);
        checkInvariant(!format.decode(packet)->isRejected, "clearing the transit fields removes the rejection mark");
    }
    if (const auto message = decodeSteerMessage(packet)) {
        const auto *steered = std::get_if<SteeredPacket>(&*message);
        const std::size_t headerLength = steered == nullptr ? 0 : packet.size() - steered->packet.size();
        checkInvariant(steered == nullptr || headerLength == steerHeaderLength || headerLength == openingHeaderLength,
                       "a steered packet contains all bytes after the header");
        const auto *owner = std::get_if<OwnerNotice>(&*message);
        checkInvariant(owner == nullptr || owner->incarnation == Incarnation() || encode(*owner) == packet, "an owner notice is encoded as it was received");
    }
}

void fuzzCallBodies(const std::string &body)
{
    const auto ignore = [](const Failure &) {};
    handleFailure(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(configuration, Platform::decodeConfiguration(body));
            BOOST_LEAF_CHECK(checkRouteTable(configuration.change.table(), configuration.services));
            const RouteTable table(configuration.change.table());
            checkInvariant(table.routes().size() == static_cast<std::size_t>(configuration.change.table().routes_size()),
                           "the route table contains every route of the configuration");
            return {};
        },
        ignore);
    handleFailure(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(announcement, Platform::decodeAnnouncement("id", body));
            checkInvariant(!announcement.service.empty() && !announcement.zone.empty() && !announcement.version.empty(),
                           "an announcement names its service, its availability zone and its version");
            checkInvariant(parseHostAddress(toString(announcement.address)) == announcement.address, "an announcement states the server's address");
            return {};
        },
        ignore);
    Platform::departureStartTime(body);
}

/// Repeats one byte of the body many times, for example an opening bracket, and another one as often after it. The fuzzer itself creates only short inputs.
void fuzzRepeatedBytes(std::span<const std::uint8_t> data)
{
    constexpr std::size_t controlBytes = 4;
    constexpr std::size_t countStep = 600; // up to 153,000 repetitions
    if (data.size() < controlBytes) {
        return;
    }
    const std::size_t count = data[0] * countStep;
    std::string body(data.begin() + controlBytes, data.end());
    if (body.empty()) {
        return;
    }
    const std::size_t opening = data[1] % body.size();
    const std::size_t closing = std::max<std::size_t>(opening, data[2] % body.size());
    body.insert(closing, count, body[closing]);
    body.insert(opening, count, body[opening]);
    fuzzCallBodies(body);
}

}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    fuzzPacket({data, size});
    fuzzCallBodies(std::string(data, data + size));
    // The first byte selects the number of repetitions; most inputs have none, because long bodies are slow.
    if (size > 0 && data[0] % 8 == 7) {
        fuzzRepeatedBytes({data, size});
    }
    return 0;
}
