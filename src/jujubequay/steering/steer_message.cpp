#include <jujubequay/steering/steer_message.h>

#include <jujubequay/wire/byte_order.h>

#include <algorithm>

namespace Jujubequay {

namespace {

constexpr std::uint8_t messageVersion = 0xA1;
constexpr std::uint8_t wantsOwnerNoticeFlag = 1;
constexpr std::uint8_t lookupPartialFlag = 2;
constexpr unsigned lookupPhaseShift = 2; // bits 2 and 3 of the flags
constexpr unsigned lookupPhaseMask = 3;
constexpr unsigned lookupRetriesShift = 4; // bits 4 and 5 of the flags
constexpr unsigned lookupRetriesMask = 3;
constexpr std::uint8_t acceptsIncarnationsFlag = 64;
constexpr std::uint8_t acceptsCallerSequencesFlag = 128;
/// In place of the service, which only a SYN has, in the phase KnownFlows. Valid only with `acceptsCallerSequencesFlag`: an
/// agent of a version without this phase may pass the packet on with it, but clears the flag.
constexpr std::uint32_t flowTablesComplete = 1;
static_assert(maxLookupRetries <= lookupRetriesMask);
constexpr std::size_t prefixLength = 2; // version and message kind
constexpr std::size_t endedFlowsHeadLength = prefixLength + sizeof(std::uint32_t);
constexpr std::size_t recordedFlowLength = 16;

enum class MessageKind : std::uint8_t {
    Packet = 1,
    OwnerNotice = 2,
    LoadNotice = 3,
    StartNotice = 4,
    OwnerAcknowledgement = 5,
    EndedFlows = 6,
    NewerRoutes = 7,
    OpeningPacket = 8 ///< a packet whose header is followed by the digest of its service
};

std::uint8_t *putPrefix(std::uint8_t *out, MessageKind kind)
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
    SteeredPacket steered;
    const std::uint8_t *in = datagram.data() + prefixLength;
    steered.header.hops = readBigEndian<std::uint8_t>(in);
    const auto flags = readBigEndian<std::uint8_t>(in);
    steered.header.wantsOwnerNotice = (flags & wantsOwnerNoticeFlag) != 0;
    steered.header.isLookupPartial = (flags & lookupPartialFlag) != 0;
    steered.header.lookupPhase = static_cast<LookupPhase>((flags >> lookupPhaseShift) & lookupPhaseMask);
    steered.header.lookupRetries = static_cast<std::uint8_t>((flags >> lookupRetriesShift) & lookupRetriesMask);
    steered.header.acceptsIncarnations = (flags & acceptsIncarnationsFlag) != 0;
    steered.header.acceptsCallerSequences = (flags & acceptsCallerSequencesFlag) != 0;
    steered.header.routeTableVersion = readBigEndian<std::uint64_t>(in);
    const auto service = readBigEndian<std::uint32_t>(in);
    if (steered.header.lookupPhase == LookupPhase::KnownFlows) {
        steered.header.areFlowTablesComplete = service == flowTablesComplete && steered.header.acceptsCallerSequences;
    } else {
        steered.header.service.shortKey = service;
    }
    steered.header.balancer = takeAddress(in);
    steered.packet = datagram.subspan(steerHeaderLength);
    return steered;
}

SteeredPacket decodeOpeningPacket(std::span<std::uint8_t> datagram)
{
    SteeredPacket steered = decodePacket(datagram);
    std::copy_n(steered.packet.begin(), ServiceKey::digestLength, steered.header.service.digest.begin());
    steered.packet = datagram.subspan(openingHeaderLength);
    return steered;
}

FlowTuple takeTuple(const std::uint8_t *&in)
{
    const HostAddress caller = takeAddress(in);
    return {caller, takeAddress(in)};
}

std::uint8_t *putTuple(std::uint8_t *out, const FlowTuple &tuple)
{
    return putAddress(putAddress(out, tuple.caller), tuple.service);
}

std::size_t lengthOf(const OwnerNotice &notice)
{
    if (notice.incarnation == Incarnation()) {
        return ownerNoticeLength;
    }
    return notice.callerSequence ? identifiedOwnerNoticeLength : confirmedOwnerNoticeLength;
}

bool isOwnerNoticeLength(std::size_t length)
{
    return length == ownerNoticeLength || length == confirmedOwnerNoticeLength || length == identifiedOwnerNoticeLength;
}

OwnerNotice decodeOwnerNotice(std::span<const std::uint8_t> datagram)
{
    const std::uint8_t *in = datagram.data() + prefixLength;
    OwnerNotice notice;
    notice.tuple = takeTuple(in);
    notice.owner = takeAddress(in);
    if (datagram.size() >= confirmedOwnerNoticeLength) {
        notice.incarnation = {readBigEndian<std::uint32_t>(in)};
    }
    if (datagram.size() == identifiedOwnerNoticeLength) {
        notice.callerSequence = readBigEndian<std::uint32_t>(in);
    }
    return notice;
}

OwnerAcknowledgement decodeOwnerAcknowledgement(std::span<const std::uint8_t> datagram)
{
    const std::uint8_t *in = datagram.data() + prefixLength;
    const FlowTuple tuple = takeTuple(in);
    return {tuple, takeAddress(in)};
}

LoadNotice decodeLoadNotice(std::span<const std::uint8_t> datagram)
{
    const std::uint8_t *in = datagram.data() + prefixLength;
    LoadNotice notice;
    notice.agent = takeAddress(in);
    notice.pendingRequests = readBigEndian<std::uint16_t>(in);
    notice.openFlows = readBigEndian<std::uint16_t>(in);
    notice.slots = readBigEndian<std::uint16_t>(in);
    notice.acceptsNewFlows = readBigEndian<std::uint8_t>(in) != 0;
    return notice;
}

std::optional<SteerMessage> decodeEndedFlows(std::span<const std::uint8_t> datagram)
{
    if (datagram.size() < endedFlowsHeadLength || (datagram.size() - endedFlowsHeadLength) % recordedFlowLength != 0) {
        return std::nullopt;
    }
    const std::size_t count = (datagram.size() - endedFlowsHeadLength) / recordedFlowLength;
    if (count > maxEndedFlows) {
        return std::nullopt;
    }
    const std::uint8_t *in = datagram.data() + prefixLength;
    EndedFlowsNotice notice;
    notice.incarnation = {readBigEndian<std::uint32_t>(in)};
    for (std::size_t index = 0; index < count; ++index) {
        const FlowTuple tuple = takeTuple(in);
        notice.flows.push_back({tuple, readBigEndian<std::uint32_t>(in)});
    }
    return notice;
}

NewerRoutesNotice decodeNewerRoutes(std::span<const std::uint8_t> datagram)
{
    const std::uint8_t *in = datagram.data() + prefixLength;
    const auto version = readBigEndian<std::uint64_t>(in);
    return {version, takeAddress(in)};
}

StartNotice decodeStartNotice(std::span<const std::uint8_t> datagram)
{
    const std::uint8_t *in = datagram.data() + prefixLength;
    return {takeAddress(in)};
}

}

namespace {

void putHeader(const SteerHeader &header, MessageKind kind, std::span<std::uint8_t, steerHeaderLength> out)
{
    std::uint8_t *position = putPrefix(out.data(), kind);
    position = writeBigEndian(position, header.hops);
    const int flags = (header.wantsOwnerNotice ? wantsOwnerNoticeFlag : 0) | (header.isLookupPartial ? lookupPartialFlag : 0)
        | (static_cast<int>(header.lookupPhase) << lookupPhaseShift) | (header.lookupRetries << lookupRetriesShift)
        | (header.acceptsIncarnations ? acceptsIncarnationsFlag : 0) | (header.acceptsCallerSequences ? acceptsCallerSequencesFlag : 0);
    position = writeBigEndian(position, static_cast<std::uint8_t>(flags));
    position = writeBigEndian(position, header.routeTableVersion);
    const std::uint32_t lookupState = header.areFlowTablesComplete ? flowTablesComplete : 0;
    position = writeBigEndian(position, header.lookupPhase == LookupPhase::KnownFlows ? lookupState : header.service.shortKey);
    putAddress(position, header.balancer);
}

}

void encodeSteerHeader(const SteerHeader &header, std::span<std::uint8_t, steerHeaderLength> out)
{
    putHeader(header, MessageKind::Packet, out);
}

std::vector<std::uint8_t> encodeOpeningPacket(const SteerHeader &header, std::span<const std::uint8_t> packet)
{
    std::vector<std::uint8_t> out(openingHeaderLength + packet.size());
    putHeader(header, MessageKind::OpeningPacket, std::span(out).first<steerHeaderLength>());
    const auto afterHeader = out.begin() + steerHeaderLength;
    std::copy(packet.begin(), packet.end(), std::copy(header.service.digest.begin(), header.service.digest.end(), afterHeader));
    return out;
}

std::vector<std::uint8_t> encode(const OwnerNotice &notice)
{
    std::vector<std::uint8_t> out(lengthOf(notice));
    std::uint8_t *position = putAddress(putTuple(putPrefix(out.data(), MessageKind::OwnerNotice), notice.tuple), notice.owner);
    if (out.size() >= confirmedOwnerNoticeLength) {
        position = writeBigEndian(position, notice.incarnation.value);
    }
    if (out.size() == identifiedOwnerNoticeLength) {
        writeBigEndian(position, *notice.callerSequence);
    }
    return out;
}

std::array<std::uint8_t, ownerAcknowledgementLength> encode(const OwnerAcknowledgement &acknowledgement)
{
    std::array<std::uint8_t, ownerAcknowledgementLength> out{};
    putAddress(putTuple(putPrefix(out.data(), MessageKind::OwnerAcknowledgement), acknowledgement.tuple), acknowledgement.registrar);
    return out;
}

std::array<std::uint8_t, loadNoticeLength> encode(const LoadNotice &notice)
{
    std::array<std::uint8_t, loadNoticeLength> out{};
    std::uint8_t *position = putPrefix(out.data(), MessageKind::LoadNotice);
    position = putAddress(position, notice.agent);
    position = writeBigEndian(position, notice.pendingRequests);
    position = writeBigEndian(position, notice.openFlows);
    position = writeBigEndian(position, notice.slots);
    writeBigEndian(position, static_cast<std::uint8_t>(notice.acceptsNewFlows ? 1 : 0));
    return out;
}

std::array<std::uint8_t, startNoticeLength> encode(const StartNotice &notice)
{
    std::array<std::uint8_t, startNoticeLength> out{};
    putAddress(putPrefix(out.data(), MessageKind::StartNotice), notice.controlHost);
    return out;
}

std::vector<std::uint8_t> encode(const EndedFlowsNotice &notice)
{
    std::vector<std::uint8_t> out(endedFlowsHeadLength + notice.flows.size() * recordedFlowLength);
    std::uint8_t *position = writeBigEndian(putPrefix(out.data(), MessageKind::EndedFlows), notice.incarnation.value);
    for (const RecordedFlow &flow : notice.flows) {
        position = writeBigEndian(putTuple(position, flow.tuple), flow.acknowledgement);
    }
    return out;
}

std::array<std::uint8_t, newerRoutesNoticeLength> encode(const NewerRoutesNotice &notice)
{
    std::array<std::uint8_t, newerRoutesNoticeLength> out{};
    putAddress(writeBigEndian(putPrefix(out.data(), MessageKind::NewerRoutes), notice.version), notice.balancer);
    return out;
}

std::optional<SteerMessage> decodeSteerMessage(std::span<std::uint8_t> datagram)
{
    if (datagram.size() < prefixLength || datagram[0] != messageVersion) {
        return std::nullopt;
    }
    switch (static_cast<MessageKind>(datagram[1])) {
    case MessageKind::Packet:
        return datagram.size() >= steerHeaderLength ? std::optional<SteerMessage>(decodePacket(datagram)) : std::nullopt;
    case MessageKind::OpeningPacket:
        return datagram.size() >= openingHeaderLength ? std::optional<SteerMessage>(decodeOpeningPacket(datagram)) : std::nullopt;
    case MessageKind::OwnerNotice:
        return isOwnerNoticeLength(datagram.size()) ? std::optional<SteerMessage>(decodeOwnerNotice(datagram)) : std::nullopt;
    case MessageKind::LoadNotice:
        return datagram.size() == loadNoticeLength ? std::optional<SteerMessage>(decodeLoadNotice(datagram)) : std::nullopt;
    case MessageKind::OwnerAcknowledgement:
        return datagram.size() == ownerAcknowledgementLength ? std::optional<SteerMessage>(decodeOwnerAcknowledgement(datagram)) : std::nullopt;
    case MessageKind::EndedFlows:
        return decodeEndedFlows(datagram);
    case MessageKind::NewerRoutes:
        return datagram.size() == newerRoutesNoticeLength ? std::optional<SteerMessage>(decodeNewerRoutes(datagram)) : std::nullopt;
    case MessageKind::StartNotice:
        return datagram.size() == startNoticeLength ? std::optional<SteerMessage>(decodeStartNotice(datagram)) : std::nullopt;
    }
    return std::nullopt;
}

}
