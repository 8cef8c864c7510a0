#include <jujubequay/core/invariant.h>
#include <jujubequay/core/name_table.h>
#include <jujubequay/wire/byte_order.h>
#include <jujubequay/wire/relay_header.h>

#include <sodium.h>

#include <algorithm>
#include <array>

namespace Jujubequay {

namespace {

constexpr std::uint8_t relayVersion = 1;
constexpr std::size_t tagLength = crypto_shorthash_BYTES;
constexpr std::size_t fieldsLength = relayHeaderLength - tagLength;

constexpr NameTable<RelayKind, 6> kindNames{{{
    {RelayKind::Forward, "forward"},
    {RelayKind::Initial, "open"},
    {RelayKind::Redirect, "handover"},
    {RelayKind::Reply, "reply"},
    {RelayKind::StaleConfig, "stale"},
    {RelayKind::Load, "load"},
}}};

constexpr NameTable<RelayError, 5> errorNames{{{
    {RelayError::Truncated, "truncated"},
    {RelayError::BadVersion, "bad-version"},
    {RelayError::BadKind, "bad-kind"},
    {RelayError::UnknownKey, "unknown-key"},
    {RelayError::BadTag, "bad-check"},
}}};

using Tag = std::array<std::uint8_t, tagLength>;

std::uint8_t *putAddress(std::uint8_t *out, const HostAddress &address)
{
    out = writeBigEndian(out, address.ip);
    return writeBigEndian(out, address.port);
}

HostAddress takeAddress(const std::uint8_t *&in)
{
    HostAddress address;
    address.ip = readBigEndian<std::uint32_t>(in);
    address.port = readBigEndian<std::uint16_t>(in);
    return address;
}

Tag computeTag(const FlowSecret &secret, const std::uint8_t *fields, std::span<const std::uint8_t> payload)
{
    // The leading byte separates this use of the key from flow identifiers. The tag also covers the payload length.
    std::array<std::uint8_t, 1 + fieldsLength + sizeof(std::uint16_t) + relayAuthenticatedPayloadLength> input{'r'};
    std::uint8_t *out = std::copy_n(fields, fieldsLength, input.begin() + 1);
    out = writeBigEndian(out, static_cast<std::uint16_t>(payload.size()));
    out = std::copy_n(payload.begin(), std::min(payload.size(), relayAuthenticatedPayloadLength), out);
    Tag tag;
    crypto_shorthash(tag.data(), input.data(), static_cast<std::size_t>(out - input.data()), secret.data());
    return tag;
}

}

std::string_view relayKindName(RelayKind kind)
{
    return kindNames.name(kind);
}

std::string_view relayErrorName(RelayError error)
{
    return errorNames.name(error);
}

void encodeRelayHeader(const FlowKeySet &keys, const RelayHeader &header, std::span<const std::uint8_t> payload, std::span<std::uint8_t> out)
{
    checkInvariant(out.size() >= relayHeaderLength, "a relay header fits its buffer");
    const auto number = keys.activeNumber();
    checkInvariant(number.has_value(), "relay headers are signed with the active key");

    std::uint8_t *position = out.data();
    position = writeBigEndian(position, relayVersion);
    position = writeBigEndian(position, static_cast<std::uint8_t>(header.kind));
    position = writeBigEndian(position, *number);
    position = writeBigEndian(position, std::uint8_t{0}); // reserved
    position = writeBigEndian(position, header.service.value);
    position = writeBigEndian(position, header.incarnation.value);
    position = writeBigEndian(position, header.revision);
    position = putAddress(position, header.caller);
    position = putAddress(position, header.balancer);
    position = putAddress(position, header.entry);
    position = putAddress(position, header.secondChoice);
    position = writeBigEndian(position, header.secondChoiceIncarnation.value);
    position = writeBigEndian(position, header.load.running);
    position = writeBigEndian(position, header.load.queued);
    position = writeBigEndian(position, header.load.flows);
    checkInvariant(position == out.data() + fieldsLength, "relay header fields fill their fixed length");
    const Tag tag = computeTag(*keys.find(*number), out.data(), payload);
    std::copy(tag.begin(), tag.end(), out.data() + fieldsLength);
}

std::optional<DecodedRelay> decodeRelay(const FlowKeySet &keys, std::span<const std::uint8_t> datagram, RelayError &error)
{
    if (datagram.size() < relayHeaderLength) {
        error = RelayError::Truncated;
        return std::nullopt;
    }
    const std::uint8_t *in = datagram.data();
    if (readBigEndian<std::uint8_t>(in) != relayVersion) {
        error = RelayError::BadVersion;
        return std::nullopt;
    }
    const auto kind = static_cast<RelayKind>(readBigEndian<std::uint8_t>(in));
    if (kind < RelayKind::Forward || kind > RelayKind::Load) {
        error = RelayError::BadKind;
        return std::nullopt;
    }
    const FlowSecret *secret = keys.find(readBigEndian<std::uint8_t>(in));
    if (secret == nullptr) {
        error = RelayError::UnknownKey;
        return std::nullopt;
    }
    const auto payload = datagram.subspan(relayHeaderLength);
    const Tag tag = computeTag(*secret, datagram.data(), payload);
    if (sodium_memcmp(tag.data(), datagram.data() + fieldsLength, tagLength) != 0) {
        error = RelayError::BadTag;
        return std::nullopt;
    }
    readBigEndian<std::uint8_t>(in); // reserved
    DecodedRelay relay;
    relay.payload = payload;
    relay.header.kind = kind;
    relay.header.service.value = readBigEndian<std::uint16_t>(in);
    relay.header.incarnation.value = readBigEndian<std::uint32_t>(in);
    relay.header.revision = readBigEndian<std::uint64_t>(in);
    relay.header.caller = takeAddress(in);
    relay.header.balancer = takeAddress(in);
    relay.header.entry = takeAddress(in);
    relay.header.secondChoice = takeAddress(in);
    relay.header.secondChoiceIncarnation.value = readBigEndian<std::uint32_t>(in);
    relay.header.load.running = readBigEndian<std::uint16_t>(in);
    relay.header.load.queued = readBigEndian<std::uint16_t>(in);
    relay.header.load.flows = readBigEndian<std::uint16_t>(in);
    return relay;
}

}
