#include <jujubequay/steering/steer_message.h>

#include <jujubequay/wire/byte_order.h>

namespace Jujubequay {

namespace {

constexpr std::uint8_t messageVersion = 0xA1;
constexpr std::uint8_t wantsOwnerFlag = 1;
constexpr std::uint8_t searchPartialFlag = 2;
constexpr unsigned phaseShift = 2; // two bits
constexpr unsigned phaseMask = 3;
constexpr unsigned repeatsShift = 4; // two bits
constexpr unsigned repeatsMask = 3;
static_assert(maxSearchRepeats <= repeatsMask);
constexpr std::size_t startLength = 2; // version and kind

enum class MessageKind : std::uint8_t { Packet = 1, Owner = 2, Load = 3, Start = 4, OwnerAcknowledged = 5 };

std::uint8_t *putStart(std::uint8_t *out, MessageKind kind)
{
    return writeBigEndian(writeBigEndian(out, messageVersion), static_cast<std::uint8_t>(kind));
}

std::uint8_t *putAddress(std::uint8_t *out, const HostAddress &address)
{
    return writeBigEndian(writeBigEndian(out, address.ip), address.port);
}

HostAddress takeAddress(const std::uint8_t *&in)
{
    const auto ip = readBigEndian<std::uint32_t>(in);
    return {ip, readBigEndian<std::uint16_t>(in)};
}

SteeredPacket decodePacket(std::span<std::uint8_t> datagram)
{
    SteeredPacket message;
    const std::uint8_t *in = datagram.data() + startLength;
    message.header.hops = readBigEndian<std::uint8_t>(in);
    const auto flags = readBigEndian<std::uint8_t>(in);
    message.header.wantsOwner = (flags & wantsOwnerFlag) != 0;
    message.header.isSearchPartial = (flags & searchPartialFlag) != 0;
    message.header.phase = static_cast<SearchPhase>((flags >> phaseShift) & phaseMask);
    message.header.repeats = static_cast<std::uint8_t>((flags >> repeatsShift) & repeatsMask);
    message.header.tableVersion = readBigEndian<std::uint64_t>(in);
    message.header.service = {readBigEndian<std::uint32_t>(in)};
    message.header.balancer = takeAddress(in);
    message.packet = datagram.subspan(steerHeaderLength);
    return message;
}

FlowTuple takeEnds(const std::uint8_t *&in)
{
    const HostAddress caller = takeAddress(in);
    return {caller, takeAddress(in)};
}

std::uint8_t *putEnds(std::uint8_t *out, const FlowTuple &tuple)
{
    return putAddress(putAddress(out, tuple.caller), tuple.service);
}

OwnerNotice decodeOwner(std::span<const std::uint8_t> datagram)
{
    const std::uint8_t *in = datagram.data() + startLength;
    const FlowTuple tuple = takeEnds(in);
    return {tuple, takeAddress(in)};
}

OwnerAcknowledgement decodeOwnerAcknowledgement(std::span<const std::uint8_t> datagram)
{
    const std::uint8_t *in = datagram.data() + startLength;
    const FlowTuple tuple = takeEnds(in);
    return {tuple, takeAddress(in)};
}

LoadNotice decodeLoad(std::span<const std::uint8_t> datagram)
{
    const std::uint8_t *in = datagram.data() + startLength;
    LoadNotice notice;
    notice.agent = takeAddress(in);
    notice.waiting = readBigEndian<std::uint16_t>(in);
    notice.openFlows = readBigEndian<std::uint16_t>(in);
    notice.slots = readBigEndian<std::uint16_t>(in);
    notice.takesNewFlows = readBigEndian<std::uint8_t>(in) != 0;
    return notice;
}

StartNotice decodeStart(std::span<const std::uint8_t> datagram)
{
    const std::uint8_t *in = datagram.data() + startLength;
    return {takeAddress(in)};
}

}

void encodeSteerHeader(const SteerHeader &header, std::span<std::uint8_t, steerHeaderLength> out)
{
    std::uint8_t *at = putStart(out.data(), MessageKind::Packet);
    at = writeBigEndian(at, header.hops);
    const int flags = (header.wantsOwner ? wantsOwnerFlag : 0) | (header.isSearchPartial ? searchPartialFlag : 0)
        | (static_cast<int>(header.phase) << phaseShift) | (header.repeats << repeatsShift);
    at = writeBigEndian(at, static_cast<std::uint8_t>(flags));
    at = writeBigEndian(at, header.tableVersion);
    at = writeBigEndian(at, header.service.value);
    putAddress(at, header.balancer);
}

std::array<std::uint8_t, ownerNoticeLength> encode(const OwnerNotice &notice)
{
    std::array<std::uint8_t, ownerNoticeLength> out{};
    putAddress(putEnds(putStart(out.data(), MessageKind::Owner), notice.tuple), notice.owner);
    return out;
}

std::array<std::uint8_t, ownerAcknowledgementLength> encode(const OwnerAcknowledgement &acknowledgement)
{
    std::array<std::uint8_t, ownerAcknowledgementLength> out{};
    putAddress(putEnds(putStart(out.data(), MessageKind::OwnerAcknowledged), acknowledgement.tuple), acknowledgement.home);
    return out;
}

std::array<std::uint8_t, loadNoticeLength> encode(const LoadNotice &notice)
{
    std::array<std::uint8_t, loadNoticeLength> out{};
    std::uint8_t *at = putStart(out.data(), MessageKind::Load);
    at = putAddress(at, notice.agent);
    at = writeBigEndian(at, notice.waiting);
    at = writeBigEndian(at, notice.openFlows);
    at = writeBigEndian(at, notice.slots);
    writeBigEndian(at, static_cast<std::uint8_t>(notice.takesNewFlows ? 1 : 0));
    return out;
}

std::array<std::uint8_t, startNoticeLength> encode(const StartNotice &notice)
{
    std::array<std::uint8_t, startNoticeLength> out{};
    putAddress(putStart(out.data(), MessageKind::Start), notice.controlHost);
    return out;
}

std::optional<SteerMessage> decodeSteerMessage(std::span<std::uint8_t> datagram)
{
    if (datagram.size() < startLength || datagram[0] != messageVersion) {
        return std::nullopt;
    }
    switch (static_cast<MessageKind>(datagram[1])) {
    case MessageKind::Packet:
        return datagram.size() >= steerHeaderLength ? std::optional<SteerMessage>(decodePacket(datagram)) : std::nullopt;
    case MessageKind::Owner:
        return datagram.size() == ownerNoticeLength ? std::optional<SteerMessage>(decodeOwner(datagram)) : std::nullopt;
    case MessageKind::Load:
        return datagram.size() == loadNoticeLength ? std::optional<SteerMessage>(decodeLoad(datagram)) : std::nullopt;
    case MessageKind::OwnerAcknowledged:
        return datagram.size() == ownerAcknowledgementLength ? std::optional<SteerMessage>(decodeOwnerAcknowledgement(datagram)) : std::nullopt;
    case MessageKind::Start:
        return datagram.size() == startNoticeLength ? std::optional<SteerMessage>(decodeStart(datagram)) : std::nullopt;
    }
    return std::nullopt;
}

}
