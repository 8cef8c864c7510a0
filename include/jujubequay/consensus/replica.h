#pragma once

#include <jujubequay/consensus/effects.h>
#include <jujubequay/consensus/membership.h>
#include <jujubequay/core/clock.h>

#include <consensus.pb.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Jujubequay::Consensus {

class ReplicaLog;

enum class Role : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

std::string_view roleName(Role role);

/// Limits and times of one replica; the same on all members.
struct ReplicaOptions {
    /// A follower that hears no leader for this time to twice this time starts an election; a leader that reaches no
    /// majority for this time steps down.
    Duration electionTimeout = std::chrono::milliseconds(1000);
    /// The same for the first election after a start; zero for `electionTimeout`. It may be short: a pre-vote fails while there is a
    /// leader, and a group that has started as a whole has none.
    Duration firstElectionTimeout{};
    Duration heartbeatInterval = std::chrono::milliseconds(200);
    /// Writes the commit index, so that the state is known at a restart before there is a leader. Costs a sync after each commit,
    /// or after several that follow each other.
    bool persistsCommitIndex = false;
    std::size_t maxMessageBytes = 512U << 10U; ///< entries in one message; a single entry may exceed it
    std::size_t maxCommandBytes = 1U << 20U;
    std::uint64_t maxUnacknowledged = 1024; ///< entries sent ahead of a follower's acknowledgement
    std::size_t maxPendingProposals = 1024;
    std::size_t maxPendingReads = 4096;
    std::size_t snapshotChunkBytes = 256U << 10U;
    std::size_t maxSnapshotBytes = 64U << 20U; ///< largest state that is accepted from a leader
    /// Applied entries, and their bytes, after which a snapshot is wanted.
    std::uint64_t snapshotInterval = 1000;
    std::size_t snapshotIntervalBytes = 8U << 20U;
    /// Entries, and their bytes, kept before a snapshot for followers that lag.
    std::uint64_t retainedEntries = 200;
    std::size_t retainedBytes = 1U << 20U;
};

/// One replica of the log: a state machine without I/O. Every function returns the effects to carry out in order.
///
///     Replica replica(options, storage.load(), random, clock.now());
///     for (const Effect &effect : replica.step(clock.now(), message)) { ... }
///
/// Messages are sent only after the term and vote that they state are durable, and entries are acknowledged only after
/// `onWritesDurable` has been called for them.
class Replica
{
public:
    /// `random` must outlive the replica.
    Replica(const ReplicaOptions &options, StoredState stored, std::mt19937_64 &random, TimePoint now);
    ~Replica();
    Replica(const Replica &) = delete;
    Replica &operator=(const Replica &) = delete;

    /// Effects of starting: the state from the stored snapshot. Call once, before anything else.
    Effects start();
    Effects step(TimePoint now, const jujubequay::pb::ReplicaMessage &message);
    /// Call at least once per `nextTick`.
    Effects tick(TimePoint now);
    Effects propose(TimePoint now, ProposalId id, const Bytes &command);
    /// One change at a time; refused with MembershipBusy while another one has not committed, or while a learner to be
    /// promoted lags. A removal is refused with NoQuorum if it leaves too few voters that have caught up; a working voter
    /// of three can therefore be removed only after its replacement has been promoted.
    Effects changeMembership(TimePoint now, ProposalId id, const MembershipChange &change);
    /// On a follower the read is forwarded to the leader.
    Effects confirmRead(TimePoint now, ReadId id);
    /// All writes up to this sequence are durable.
    Effects onWritesDurable(TimePoint now, std::uint64_t sequence);
    /// The state as serialized after the entry `index` was applied.
    Effects compactLog(TimePoint now, std::uint64_t index, Bytes state);

    /// The time at which `tick` has work to do.
    TimePoint nextTick() const;
    Role role() const;
    std::uint64_t term() const;
    const std::string &id() const;
    /// Disk identity of the leader in this term; empty if unknown. A new learner may hear a leader that is not in its
    /// membership yet; answers go back the way that the message came.
    const std::string &leader() const;
    /// True once a leader, maybe this replica itself, has been known since the start.
    bool hasObservedLeader() const;
    std::uint64_t commitIndex() const;
    std::uint64_t appliedIndex() const;
    std::uint64_t lastIndex() const;
    std::uint64_t snapshotIndex() const;
    /// The last membership in the log; it may not have committed yet.
    const jujubequay::pb::Membership &membership() const;
    /// Leader only: the cluster continues after the loss of any one voter.
    bool toleratesVoterLoss() const;
    /// Leader only: a member is in contact and holds every entry that had committed at the last heartbeat.
    bool isCaughtUp(TimePoint now, const std::string &id) const;
    /// Leader only: when a member was heard last, in this term; nothing for other identities.
    std::optional<TimePoint> lastContact(const std::string &id) const;

private:
    struct Progress {
        std::uint64_t match = 0; // durable at the member
        std::uint64_t next = 1;
        bool probing = true; // `next` is a guess; one message at a time
        TimePoint lastContact{};
        std::uint64_t ackedRound = 0;
        std::uint64_t snapshotIndex = 0; // snapshot being sent; 0 for none
        std::uint64_t snapshotOffset = 0;
    };

    struct HeldMessage {
        std::uint64_t afterSequence;
        std::uint64_t term;
        jujubequay::pb::ReplicaMessage message;
    };

    struct Write {
        std::uint64_t sequence;
        std::uint64_t lastIndex;
    };

    struct PendingProposal {
        ProposalId id;
        std::uint64_t term;
    };

    struct PendingRead {
        ReadId id; // own read
        std::string from; // forwarded read: where the answer goes
        std::uint64_t forwardedId = 0;
        std::uint64_t index = 0;
        std::uint64_t round = 0; // 0 until a round for it has started
    };

    struct ForwardedRead {
        ReadId id;
        TimePoint deadline;
        std::optional<std::uint64_t> index; // known, but not applied yet
    };

    struct IncomingSnapshot {
        std::uint64_t index = 0;
        std::uint64_t term = 0;
        std::uint64_t digest = 0;
        Bytes state;
    };

    // replica.cpp: effects, terms, storage
    void recordCommit();
    Result<void> checkRemoval(const MembershipChange &change, const jujubequay::pb::Membership &after) const;
    Effects finish();
    void flushPersist();
    void emit(Effect effect);
    void send(jujubequay::pb::ReplicaMessage message, std::uint64_t afterSequence = 0);
    jujubequay::pb::ReplicaMessage messageTo(const std::string &id) const;
    bool isAddressedHere(const jujubequay::pb::ReplicaMessage &message) const;
    void dispatch(const jujubequay::pb::ReplicaMessage &message);
    void setHardState(std::uint64_t term, const std::string &vote);
    void becomeFollower(std::uint64_t term, const std::string &leader);
    void appendLocally(jujubequay::pb::LogEntry entry);
    void truncateAfter(std::uint64_t lastKept);
    void releaseHeldMessages();
    void applyCommitted();
    void reportCommitted(const jujubequay::pb::LogEntry &entry);
    void refreshMembership();
    void resetElectionTimer();

    // election.cpp
    void startPreVote();
    void startElection();
    void requestVotes(bool preVote);
    void countVotes();
    bool hasRecentLeader() const;
    bool isUpToDate(const jujubequay::pb::VoteRequest &request) const;
    void onVoteRequest(const jujubequay::pb::ReplicaMessage &message);
    void onVoteReply(const jujubequay::pb::ReplicaMessage &message);
    void becomeLeader();
    void stepDown();
    bool hasQuorumContact() const;

    // replication.cpp
    void syncProgress();
    void broadcast(bool heartbeat);
    void replicateTo(const std::string &id, Progress &progress, bool heartbeat);
    void hearLeader(const jujubequay::pb::ReplicaMessage &message);
    void onAppendRequest(const jujubequay::pb::ReplicaMessage &message);
    static bool isWellFormed(const jujubequay::pb::AppendRequest &request);
    void acceptEntries(const jujubequay::pb::AppendRequest &request);
    void rejectAppend(const jujubequay::pb::ReplicaMessage &message);
    void onAppendReply(const jujubequay::pb::ReplicaMessage &message);
    void acknowledge(const std::string &leader, std::uint64_t match, std::uint64_t round, std::uint64_t afterSequence);
    void checkAppliedDigest(const jujubequay::pb::AppendRequest &request);
    void advanceCommit();
    void updateRedundancy();
    std::size_t caughtUpVoters(const jujubequay::pb::Membership &membership) const;

    // snapshot_transfer.cpp
    void sendSnapshotChunk(const std::string &id, Progress &progress);
    void onSnapshotChunk(const jujubequay::pb::ReplicaMessage &message);
    void onSnapshotReply(const jujubequay::pb::ReplicaMessage &message);
    void replySnapshot(const std::string &leader, std::uint64_t index, std::uint64_t offset, bool installed, std::uint64_t round);
    void installSnapshot(const jujubequay::pb::ReplicaMessage &message);
    void finishInstall();
    void finishCompaction();
    std::uint64_t retentionStart(std::uint64_t index) const;

    // reads.cpp
    void addRead(PendingRead read);
    bool startReadRound();
    void confirmReads();
    void refuseReads(ResultCode code);
    void answerRead(const PendingRead &read, ResultCode code);
    void onReadRequest(const jujubequay::pb::ReplicaMessage &message);
    void onReadReply(const jujubequay::pb::ReplicaMessage &message);
    void releaseForwardedReads();
    void expireForwardedReads();
    std::uint64_t quorumRound() const;

    const ReplicaOptions m_options;
    const DiskIdentity m_identity;
    std::mt19937_64 &m_random;
    TimePoint m_now;

    // Durable state, as it will be once all writes issued so far are done.
    HardState m_hardState;
    std::unique_ptr<ReplicaLog> m_log;
    Snapshot m_snapshot;
    std::uint64_t m_stateDigest = 0; // of m_snapshot.state
    jujubequay::pb::Membership m_membership;
    std::uint64_t m_membershipIndex = 0;

    // Writes.
    std::uint64_t m_sequence = 0; // last issued
    std::uint64_t m_storedSequence = 0;
    std::uint64_t m_hardStateSequence = 0; // write that holds the current term and vote
    bool m_hardStateDirty = false;
    std::vector<jujubequay::pb::LogEntry> m_unwritten;
    std::uint64_t m_durableIndex = 0;
    std::deque<Write> m_writes;
    std::vector<HeldMessage> m_held;
    std::optional<std::pair<std::uint64_t, Snapshot>> m_compacting; // sequence and snapshot
    std::optional<std::pair<std::uint64_t, Snapshot>> m_installing;

    // Volatile state.
    Role m_role = Role::Follower;
    std::string m_leader; // empty while an election is under way
    std::string m_termLeader; // once known, never changes within a term
    std::uint64_t m_cluster = 0;
    std::uint64_t m_commit = 0;
    std::uint64_t m_applied = 0;
    bool m_snapshotWanted = false;
    std::size_t m_bytesSinceSnapshot = 0;
    TimePoint m_electionDeadline{};
    TimePoint m_lastLeaderContact{};
    bool m_heardLeader = false;
    bool m_hasHadLeader = false; // since the start
    std::uint32_t m_firstElections = 0;
    std::set<std::string> m_votes;
    IncomingSnapshot m_incoming;
    std::map<std::uint64_t, ForwardedRead> m_forwardedReads;

    // Leader state.
    std::map<std::string, Progress> m_progress;
    TimePoint m_nextHeartbeat{};
    std::uint64_t m_termStartIndex = 0; // barrier entry of this term
    std::uint64_t m_commitAtHeartbeat = 0;
    std::map<std::uint64_t, PendingProposal> m_proposals; // by log index
    std::deque<PendingRead> m_reads;
    std::uint64_t m_round = 0;
    bool m_toleratesLoss = false;

    // Returned in this order. Writes come first, so that a call made while an effect is carried out cannot overtake them.
    Effects m_storageEffects;
    Effects m_sends;
    Effects m_effects;
};

}
