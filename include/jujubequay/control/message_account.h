#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace google::protobuf {
class MessageLite;
}
namespace jujubequay::pb {
class RegistryDelta;
class ReplicaMessage;
class WatchDown;
class WatchUp;
}

namespace Jujubequay {

/// What a message of a control host is about. The names are those of the metrics.
enum class MessageKind : std::uint8_t {
    Announcement,
    Heartbeat,
    AnnouncementReply,
    WatchRequest,
    InForceReport,
    FlowRecords,
    Config,
    FullState,
    Delta,
    Completeness,
    ControlHosts,
    WatchHeartbeat,
    Refusal,
    PeerFullState,
    PeerDelta,
    PeerReports,
    LogEntries,
    LogHeartbeat,
    LogReply,
    LogSnapshot,
    Vote,
    Read,
    KnownHosts,
    StartNotice,
    EndedFlows,
};
constexpr std::size_t messageKindCount = static_cast<std::size_t>(MessageKind::EndedFlows) + 1;

std::string_view messageKindName(MessageKind kind);

/// Length of a message on a stream, with its frame header.
std::uint64_t framedBytes(const google::protobuf::MessageLite &message);

MessageKind kindOf(const jujubequay::pb::WatchUp &message);
MessageKind kindOf(const jujubequay::pb::WatchDown &message);
MessageKind kindOf(const jujubequay::pb::ReplicaMessage &message);

struct MessageCount {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// Counts messages of a control host and their bytes by kind, without HTTP/2 and TCP overhead.
class MessageAccount
{
public:
    void addSent(MessageKind kind, std::uint64_t bytes);
    void addReceived(MessageKind kind, std::uint64_t bytes);
    /// Counts a message between control hosts. The reports in it are counted as `PeerReports`.
    void addSent(const jujubequay::pb::RegistryDelta &delta);
    void addReceived(const jujubequay::pb::RegistryDelta &delta);
    MessageAccount &operator+=(const MessageAccount &other);

    std::uint64_t sentBytes() const;
    std::uint64_t receivedBytes() const;
    const MessageCount &sent(MessageKind kind) const;
    const MessageCount &received(MessageKind kind) const;

private:
    using Counts = std::array<MessageCount, messageKindCount>;

    static void add(Counts &counts, MessageKind kind, std::uint64_t bytes);
    static void add(Counts &counts, const jujubequay::pb::RegistryDelta &delta);

    Counts m_sent{};
    Counts m_received{};
};

/// The kinds of one direction that occurred, as "kind:messages:bytes" separated by commas.
std::string describeSent(const MessageAccount &account);
std::string describeReceived(const MessageAccount &account);

}
