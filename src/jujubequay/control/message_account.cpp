#include <jujubequay/control/message_account.h>

#include <consensus.pb.h>
#include <control.pb.h>

#include <fmt/format.h>

#include <numeric>

namespace Jujubequay {

namespace pb = jujubequay::pb;

namespace {

constexpr std::size_t frameHeaderLength = 4;
constexpr std::array<std::string_view, messageKindCount> kindNames{
    "announcement", "heartbeat",    "announcement-reply", "watch-request", "in-force-report", "flow-records", "config",
    "full-state",   "delta",        "completeness",       "control-hosts", "watch-heartbeat", "refusal",      "peer-full-state",
    "peer-delta",   "peer-reports", "log-entries",        "log-heartbeat", "log-reply",       "log-snapshot", "vote",
    "read",         "known-hosts",  "start-notice",       "ended-flows",
};

std::size_t indexOf(MessageKind kind)
{
    return static_cast<std::size_t>(kind);
}

MessageKind kindOfRegistry(const pb::RegistryDelta &delta)
{
    if (delta.full()) {
        return MessageKind::FullState;
    }
    return delta.servers().empty() && delta.watched().empty() ? MessageKind::Completeness : MessageKind::Delta;
}

template<class Count>
std::string describe(Count countOf)
{
    std::string text;
    for (std::size_t index = 0; index < messageKindCount; ++index) {
        const auto kind = static_cast<MessageKind>(index);
        const MessageCount &count = countOf(kind);
        if (count.messages > 0) {
            text += fmt::format("{}{}:{}:{}", text.empty() ? "" : ",", messageKindName(kind), count.messages, count.bytes);
        }
    }
    return text;
}

template<class Counts>
std::uint64_t totalBytes(const Counts &counts)
{
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0}, [](std::uint64_t sum, const MessageCount &count) {
        return sum + count.bytes;
    });
}

}

std::string_view messageKindName(MessageKind kind)
{
    return kindNames.at(indexOf(kind));
}

std::uint64_t framedBytes(const google::protobuf::MessageLite &message)
{
    return frameHeaderLength + message.ByteSizeLong();
}

MessageKind kindOf(const pb::WatchUp &message)
{
    if (message.has_flows()) {
        return MessageKind::FlowRecords;
    }
    return message.has_report() ? MessageKind::InForceReport : MessageKind::WatchRequest;
}

MessageKind kindOf(const pb::WatchDown &message)
{
    switch (message.kind_case()) {
    case pb::WatchDown::kConfig:
        return MessageKind::Config;
    case pb::WatchDown::kRegistry:
        return kindOfRegistry(message.registry());
    case pb::WatchDown::kControlHosts:
        return MessageKind::ControlHosts;
    case pb::WatchDown::kHeartbeat:
        return MessageKind::WatchHeartbeat;
    case pb::WatchDown::kRefused:
    case pb::WatchDown::KIND_NOT_SET:
        break;
    }
    return MessageKind::Refusal;
}

MessageKind kindOf(const pb::ReplicaMessage &message)
{
    switch (message.kind_case()) {
    case pb::ReplicaMessage::kAppendRequest:
        return message.append_request().entries().empty() ? MessageKind::LogHeartbeat : MessageKind::LogEntries;
    case pb::ReplicaMessage::kAppendReply:
        return MessageKind::LogReply;
    case pb::ReplicaMessage::kSnapshotChunk:
    case pb::ReplicaMessage::kSnapshotReply:
        return MessageKind::LogSnapshot;
    case pb::ReplicaMessage::kReadRequest:
    case pb::ReplicaMessage::kReadReply:
        return MessageKind::Read;
    case pb::ReplicaMessage::kVoteRequest:
    case pb::ReplicaMessage::kVoteReply:
    case pb::ReplicaMessage::KIND_NOT_SET:
        break;
    }
    return MessageKind::Vote;
}

void MessageAccount::addSent(MessageKind kind, std::uint64_t bytes)
{
    add(m_sent, kind, bytes);
}

void MessageAccount::addReceived(MessageKind kind, std::uint64_t bytes)
{
    add(m_received, kind, bytes);
}

void MessageAccount::addSent(const pb::RegistryDelta &delta)
{
    add(m_sent, delta);
}

void MessageAccount::addReceived(const pb::RegistryDelta &delta)
{
    add(m_received, delta);
}

void MessageAccount::add(Counts &counts, MessageKind kind, std::uint64_t bytes)
{
    MessageCount &count = counts.at(indexOf(kind));
    ++count.messages;
    count.bytes += bytes;
}

void MessageAccount::add(Counts &counts, const pb::RegistryDelta &delta)
{
    std::uint64_t reportBytes = 0;
    for (const pb::HostInForce &report : delta.reports()) {
        reportBytes += report.ByteSizeLong();
    }
    if (reportBytes > 0) {
        add(counts, MessageKind::PeerReports, reportBytes);
    }
    add(counts, delta.full() ? MessageKind::PeerFullState : MessageKind::PeerDelta, framedBytes(delta) - reportBytes);
}

MessageAccount &MessageAccount::operator+=(const MessageAccount &other)
{
    for (std::size_t index = 0; index < messageKindCount; ++index) {
        m_sent.at(index).messages += other.m_sent.at(index).messages;
        m_sent.at(index).bytes += other.m_sent.at(index).bytes;
        m_received.at(index).messages += other.m_received.at(index).messages;
        m_received.at(index).bytes += other.m_received.at(index).bytes;
    }
    return *this;
}

std::uint64_t MessageAccount::sentBytes() const
{
    return totalBytes(m_sent);
}

std::uint64_t MessageAccount::receivedBytes() const
{
    return totalBytes(m_received);
}

const MessageCount &MessageAccount::sent(MessageKind kind) const
{
    return m_sent.at(indexOf(kind));
}

const MessageCount &MessageAccount::received(MessageKind kind) const
{
    return m_received.at(indexOf(kind));
}

std::string describeSent(const MessageAccount &account)
{
    return describe([&account](MessageKind kind) -> const MessageCount & {
        return account.sent(kind);
    });
}

std::string describeReceived(const MessageAccount &account)
{
    return describe([&account](MessageKind kind) -> const MessageCount & {
        return account.received(kind);
    });
}

}
