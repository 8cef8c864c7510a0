#pragma once

#include <jujubequay/consensus/log_storage.h>
#include <jujubequay/core/result_code.h>

#include <consensus.pb.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Jujubequay::Consensus {

/// Chosen by the caller of `Replica::propose`; unique within the process.
struct ProposalId {
    std::uint64_t value = 0;
    auto operator<=>(const ProposalId &) const = default;
};

/// Chosen by the caller of `Replica::confirmRead`; unique within the process.
struct ReadId {
    std::uint64_t value = 0;
    auto operator<=>(const ReadId &) const = default;
};

/// Send the message to the member whose disk identity is `message.to()`. May be lost, repeated or reordered.
struct Send {
    jujubequay::pb::ReplicaMessage message;
};

/// Write to storage and sync, then call `Replica::onWritesDurable(sequence)`. Writes are done in the order of their sequence.
struct Persist {
    std::uint64_t sequence = 0;
    std::optional<HardState> hardState;
    std::vector<jujubequay::pb::LogEntry> entries;
};

/// Replace snapshot and log in storage, then call `Replica::onWritesDurable(sequence)`. Ordered with Persist.
struct SaveSnapshot {
    std::uint64_t sequence = 0;
    Snapshot snapshot;
    HardState hardState;
    LogBase base;
    std::vector<jujubequay::pb::LogEntry> entries;
};

/// Apply these committed entries, in order. Entries without a command change no state but count as applied.
struct Apply {
    std::vector<jujubequay::pb::LogEntry> entries;
};

/// Replace the applied state by this one.
struct RestoreState {
    std::uint64_t index = 0;
    Bytes state;
};

/// Serialize the state as applied up to `index` (all Apply effects so far) and pass it to `Replica::compactLog`.
struct TakeSnapshot {
    std::uint64_t index = 0;
};

/// The entry is durable on a majority and has been passed on by Apply.
struct ProposalCommitted {
    ProposalId id;
    std::uint64_t index = 0;
};

/// NotLeader, MembershipBusy, NoQuorum, NotRunOverloaded, MessageTooLarge and BadRequest: the entry was not written. OutcomeUnknown:
/// leadership was lost; the entry may still commit.
struct ProposalFailed {
    ProposalId id;
    ResultCode code = ResultCode::NotLeader;
    std::string detail;
    std::string leader; ///< disk identity of the leader, if known
};

/// A majority confirmed the leader after the read was requested, and the state applied so far is recent enough.
struct ReadConfirmed {
    ReadId id;
    std::uint64_t index = 0;
};

struct ReadRefused {
    ReadId id;
    ResultCode code = ResultCode::NoQuorum;
};

struct LeadershipGained {
    std::uint64_t term = 0;
};

struct LeadershipLost {
    std::uint64_t term = 0;
};

/// A membership in the log has committed.
struct MembershipCommitted {
    std::uint64_t index = 0;
    jujubequay::pb::Membership membership;
};

/// Reported by the leader. While true, the cluster continues after the loss of any one voter; a repair is complete only then.
struct RedundancyChanged {
    bool toleratesVoterLoss = false;
};

using Effect = std::variant<Send,
                            Persist,
                            SaveSnapshot,
                            Apply,
                            RestoreState,
                            TakeSnapshot,
                            ProposalCommitted,
                            ProposalFailed,
                            ReadConfirmed,
                            ReadRefused,
                            LeadershipGained,
                            LeadershipLost,
                            MembershipCommitted,
                            RedundancyChanged>;
using Effects = std::vector<Effect>;

}
