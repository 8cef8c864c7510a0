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

/// Send the message to the member whose disk identity is `message.to()`. Messages may be lost, repeated or reordered.
struct Send {
    jujubequay::pb::ReplicaMessage message;
};

/// Write hard state and entries to storage and sync, then call `Replica::onWritesDurable(sequence)`. Persist and SaveSnapshot effects must be carried out in
/// the order of their sequence.
struct Persist {
    std::uint64_t sequence = 0;
    std::optional<HardState> hardState;
    std::vector<jujubequay::pb::LogEntry> entries;
};

/// Replace snapshot and log in storage, then call `Replica::onWritesDurable(sequence)`.
struct SaveSnapshot {
    std::uint64_t sequence = 0;
    Snapshot snapshot;
    HardState hardState;
    LogBase base;
    std::vector<jujubequay::pb::LogEntry> entries;
};

/// Apply these committed entries in order. An entry without a command changes no state but counts as applied.
struct Apply {
    std::vector<jujubequay::pb::LogEntry> entries;
};

/// Replace the applied state by this one.
struct RestoreState {
    std::uint64_t index = 0; ///< last entry that `state` includes
    Bytes state;
};

/// Serialize the state after all Apply effects so far, which is the state at `index`, and pass it to `Replica::compactLog`.
struct TakeSnapshot {
    std::uint64_t index = 0;
};

/// The proposed entry is durable on a majority of the voters; its Apply effect came before this one.
struct ProposalCommitted {
    ProposalId id;
    std::uint64_t index = 0;
};

/// NotLeader, MembershipBusy, NoQuorum, NotRunOverloaded, MessageTooLarge and BadRequest: the entry was not written. OutcomeUnknown: this replica lost
/// the leadership; the entry may still commit.
struct ProposalFailed {
    ProposalId id;
    ResultCode code = ResultCode::NotLeader;
    std::string detail;
    std::string leader; ///< disk identity of the leader, if known
};

/// After the read was requested, a majority of the voters confirmed the leader, and all entries up to `index` have been applied.
struct ReadConfirmed {
    ReadId id;
    std::uint64_t index = 0;
};

/// The read was not confirmed. NoQuorum: there is no leader, or it did not answer or was not confirmed in time. NotLeader: the request was forwarded to
/// a replica that is not the leader any more. NotRunOverloaded: too many reads are pending.
struct ReadRefused {
    ReadId id;
    ResultCode code = ResultCode::NoQuorum;
};

/// This replica has become the leader of the term.
struct LeadershipGained {
    std::uint64_t term = 0;
};

/// This replica, which was the leader of the term, has become a follower.
struct LeadershipLost {
    std::uint64_t term = 0;
};

/// The membership at this log index has committed.
struct MembershipCommitted {
    std::uint64_t index = 0;
    jujubequay::pb::Membership membership;
};

/// Reported by the leader. While `toleratesVoterLoss` is true, the cluster can still commit entries after the loss of any one voter. A repair is complete only
/// when it is true again.
struct RedundancyChanged {
    bool toleratesVoterLoss = false;
};

/// The host of this voter has answered with another disk: the voter can neither vote nor acknowledge any more.
struct VoterDiskLost {
    std::string id; ///< disk identity of the voter
    std::string host;
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
                            RedundancyChanged,
                            VoterDiskLost>;
using Effects = std::vector<Effect>;

}
