#pragma once

#include <jujubequay/consensus/effects.h>
#include <jujubequay/consensus/membership.h>
#include <jujubequay/core/clock.h>

#include <consensus.pb.h>

#include <cstdint>
#include <deque>
#include <functional>
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

/// Timeouts and limits of one replica. All members of a cluster use the same values.
struct ReplicaOptions {
    /// A follower without contact with a leader starts an election after a random time between one and two of these timeouts. A leader without
    /// contact with a majority of the voters steps down after one.
    Duration electionTimeout = std::chrono::milliseconds(1000);
    /// Replaces `electionTimeout` until the replica has observed its first leader after a restart; zero to use `electionTimeout` from the start.
    /// Doubles with each election up to four times the value, but not above `electionTimeout`. It may be short, because a pre-vote fails while there is a
    /// leader, and a cluster that was restarted as a whole has none.
    Duration firstElectionTimeout{};
    Duration heartbeatInterval = std::chrono::milliseconds(200);
    /// Writes the commit index to storage, so that a restarted replica can apply the committed entries before there is a leader. Costs one more
    /// sync after a commit, or after several commits in a row. Without it the commit index is written only after a membership change.
    bool persistsCommitIndex = false;
    std::size_t maxMessageBytes = 512U << 10U; ///< size of all entries in one message; a single larger entry is still sent
    std::size_t maxCommandBytes = 1U << 20U;
    std::uint64_t maxUnacknowledgedEntries = 1024; ///< entries sent to a follower before it has acknowledged them
    std::size_t maxPendingProposals = 1024;
    std::size_t maxPendingReads = 4096;
    std::size_t snapshotChunkBytes = 256U << 10U;
    std::size_t maxSnapshotBytes = 64U << 20U; ///< largest snapshot state that is accepted from a leader
    /// A snapshot is taken when either limit is reached: entries applied since the last snapshot, or their size in bytes.
    std::uint64_t snapshotInterval = 1000;
    std::size_t snapshotIntervalBytes = 8U << 20U;
    /// Entries before a snapshot that stay in the log for followers that lag, limited by number and by size in bytes.
    std::uint64_t retainedEntries = 200;
    std::size_t retainedBytes = 1U << 20U;
};

/// One replica of a replicated log (Raft): a state machine without I/O. Every function returns the effects that the caller must carry out, in order.
///
///     Replica replica(options, storage.load(), random, clock.now());
///     for (const Effect &effect : replica.step(clock.now(), message)) { ... }
///
/// A message is sent only after the term and the vote in it are durable. Entries are acknowledged only after `onWritesDurable` has been called for their
/// write.
class Replica
{
public:
    /// `random` must outlive the replica.
    Replica(const ReplicaOptions &options, StoredState stored, std::mt19937_64 &random, TimePoint now);
    ~Replica();
    Replica(const Replica &) = delete;
    Replica &operator=(const Replica &) = delete;

    /// Restores the stored snapshot and applies the entries that are known to be committed. Call once, before any other function.
    Effects start();
    /// Handles a message from another replica.
    Effects step(TimePoint now, const jujubequay::pb::ReplicaMessage &message);
    /// Handles timeouts. Call at the time that `nextTick` returns, or earlier.
    Effects tick(TimePoint now);
    /// Appends a command to the log. Ends with ProposalCommitted or ProposalFailed for `id`.
    Effects propose(TimePoint now, ProposalId id, const Bytes &command);
    /// Appends a membership change to the log; ends like `propose`. Fails with MembershipBusy while another change is not committed, or while the
    /// learner to be promoted lags. Fails with NoQuorum if a removal leaves too few voters that have caught up: of three voters, a working one can
    /// be removed only after its replacement has been promoted.
    Effects changeMembership(TimePoint now, ProposalId id, const MembershipChange &change);
    /// Confirms that the applied state is current (linearizable read); ends with ReadConfirmed or ReadRefused for `id`. A follower forwards the
    /// request to the leader.
    Effects confirmRead(TimePoint now, ReadId id);
    /// Reports that all writes up to and including `sequence` are durable.
    Effects onWritesDurable(TimePoint now, std::uint64_t sequence);
    /// Takes `state`, serialized after the entry at `index` was applied, as the new snapshot and removes log entries that it covers.
    Effects compactLog(TimePoint now, std::uint64_t index, Bytes state);

    /// The next time at which `tick` must be called.
    TimePoint nextTick() const;
    Role role() const;
    std::uint64_t term() const;
    /// Disk identity of this replica.
    const std::string &id() const;
    /// Disk identity of the leader of this term; empty if unknown. A new learner may follow a leader that is not in its membership yet; its
    /// replies must go back over the connection that the message came from.
    const std::string &leader() const;
    /// True if there has been a leader, which may be this replica, since this replica was created.
    bool hasObservedLeader() const;
    std::uint64_t commitIndex() const;
    std::uint64_t appliedIndex() const;
    std::uint64_t lastIndex() const;
    std::uint64_t snapshotIndex() const;
    /// The latest membership in the log, whether or not it has committed.
    const jujubequay::pb::Membership &membership() const;
    /// The members of `membership` and, until it is known to have committed, the voters of the one before: the receivers of this replica's messages.
    jujubequay::pb::Membership activeMembers() const;
    /// Leader only: true if the cluster can still commit entries after the loss of any one voter.
    bool toleratesVoterLoss() const;
    /// Leader only: true if the member was in contact within the election timeout and holds every entry that had committed at the last heartbeat.
    bool isCaughtUp(TimePoint now, const std::string &id) const;
    /// Leader only: time of the last message from a member, or of the election if there was none since. For the leader before, messages
    /// before the election count too. No value for an identity that is not a member.
    std::optional<TimePoint> lastMessageAt(const std::string &id) const;

private:
    /// Replication state that a leader keeps for another member.
    struct Progress {
        std::uint64_t matchIndex = 0; // last entry that is durable at the member
        std::uint64_t nextIndex = 1; // next entry to send
        bool isProbing = true; // `nextIndex` is a guess; one request is sent per heartbeat or rejection
        TimePoint lastContact{}; // time of the last reply in this term, or of the election
        TimePoint lastMessageAt{}; // see Replica::lastMessageAt
        std::uint64_t acknowledgedRound = 0; // last read round that the member has acknowledged
        std::uint64_t snapshotIndex = 0; // index of the snapshot being sent; 0 for none
        std::uint64_t snapshotOffset = 0; // bytes of this snapshot that the member has received
    };

    /// A message that must not be sent before the write `afterSequence` is durable.
    struct HeldMessage {
        std::uint64_t afterSequence;
        std::uint64_t term; // term in which the message was created
        jujubequay::pb::ReplicaMessage message;
    };

    /// A Persist effect with entries that is not durable yet.
    struct PendingWrite {
        std::uint64_t sequence;
        std::uint64_t lastIndex; // last entry that is durable once the write is done
    };

    struct PendingProposal {
        ProposalId id;
        std::uint64_t term;
    };

    /// A read that the leader has not confirmed yet.
    struct PendingRead {
        ReadId id; // for a read that was requested at this replica
        std::string requester; // for a read that a follower forwarded: disk identity of the follower
        std::uint64_t forwardedId = 0; // for a read that a follower forwarded: number that the follower assigned to it
        std::uint64_t index = 0; // commit index when its round started
        std::uint64_t round = 0; // the read is confirmed when a majority has acknowledged this heartbeat round; 0 until the round has started
    };

    /// A read that this follower has forwarded to the leader.
    struct ForwardedRead {
        ReadId id;
        TimePoint deadline;
        std::optional<std::uint64_t> index; // set once the leader has confirmed the read; it completes when this index has been applied
    };

    /// The part of a snapshot that has been received so far.
    struct IncomingSnapshot {
        std::uint64_t index = 0;
        std::uint64_t term = 0;
        std::uint64_t digest = 0;
        Bytes state;
    };

    // replica.cpp: effects, terms and storage
    void scheduleCommitIndexWrite();
    Result<void> checkVoterRemoval(const MembershipChange &change, const jujubequay::pb::Membership &after) const;
    Effects takeEffects();
    void emitPersist();
    void emit(Effect effect);
    void send(jujubequay::pb::ReplicaMessage message, std::uint64_t afterSequence = 0);
    jujubequay::pb::ReplicaMessage messageTo(const std::string &id) const;
    bool isAddressedToThisReplica(const jujubequay::pb::ReplicaMessage &message) const;
    void dispatch(const jujubequay::pb::ReplicaMessage &message);
    void setHardState(std::uint64_t term, const std::string &vote);
    void becomeFollower(std::uint64_t term, const std::string &leader);
    void appendLocally(jujubequay::pb::LogEntry entry);
    void truncateAfter(std::uint64_t lastKept);
    void releaseHeldMessages();
    void applyCommitted();
    void reportCommitted(const jujubequay::pb::LogEntry &entry);
    void refreshMembership();
    bool isActiveVoter(const std::string &id) const;
    /// The memberships of which a quorum is needed: the latest one and, until it is known to have committed, the one before. Otherwise a term that leaves out
    /// a lost voter of the one before could miss what was committed with the latest one.
    std::vector<const jujubequay::pb::Membership *> quorumMemberships() const;
    /// The highest value that quorums of all these memberships have reached.
    std::uint64_t agreedValue(const std::string &lostVoter, const std::function<std::uint64_t(const std::string &id)> &valueOf) const;
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
    void answerForLostDisk(const jujubequay::pb::ReplicaMessage &message);
    void onDiskReplaced(const jujubequay::pb::ReplicaMessage &message);
    /// A voter whose disk is known to be lost and that can be left out of a quorum; empty if there is none.
    std::string knownLostVoter() const;

    // replication.cpp
    void updateProgressMembers();
    void broadcast(bool heartbeat);
    void replicateTo(const std::string &id, Progress &progress, bool heartbeat);
    void followLeader(const jujubequay::pb::ReplicaMessage &message);
    void onAppendRequest(const jujubequay::pb::ReplicaMessage &message);
    static bool isWellFormed(const jujubequay::pb::AppendRequest &request);
    void acceptEntries(const jujubequay::pb::AppendRequest &request);
    void rejectAppend(const jujubequay::pb::ReplicaMessage &message);
    void onAppendReply(const jujubequay::pb::ReplicaMessage &message);
    void acknowledge(const std::string &leader, std::uint64_t matchIndex, std::uint64_t round, std::uint64_t afterSequence);
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
    void confirmForwardedReads();
    void expireForwardedReads();
    std::uint64_t quorumReadRound() const;

    const ReplicaOptions m_options;
    const DiskIdentity m_identity;
    std::mt19937_64 &m_random;
    TimePoint m_now;

    // State as it will be in storage once all writes issued so far are done.
    HardState m_hardState;
    std::unique_ptr<ReplicaLog> m_log;
    Snapshot m_snapshot;
    std::uint64_t m_snapshotStateDigest = 0;
    jujubequay::pb::Membership m_membership;
    std::uint64_t m_membershipIndex = 0; // log index of m_membership
    jujubequay::pb::Membership m_previousMembership; // the membership before m_membership

    // Writes to storage
    std::uint64_t m_issuedSequence = 0; // sequence of the last write that was issued
    std::uint64_t m_durableSequence = 0; // all writes up to this one are durable
    std::uint64_t m_hardStateSequence = 0; // write that contains the current term and vote
    bool m_hardStateDirty = false; // m_hardState has changed since the last write was issued
    std::vector<jujubequay::pb::LogEntry> m_unwrittenEntries;
    std::uint64_t m_durableIndex = 0;
    std::deque<PendingWrite> m_pendingWrites;
    std::vector<HeldMessage> m_heldMessages;
    std::optional<std::pair<std::uint64_t, Snapshot>> m_pendingCompaction; // local snapshot that is being written, with the sequence of its write
    std::optional<std::pair<std::uint64_t, Snapshot>> m_pendingInstall; // leader's snapshot that is being written, with the sequence of its write

    // Volatile state
    Role m_role = Role::Follower;
    std::string m_leader; // empty during an election
    std::string m_termLeader; // leader of the current term, kept during an election to check that a term has only one leader
    std::uint64_t m_clusterNumber = 0; // 0 until a leader has sent the first message to a new disk
    std::uint64_t m_commitIndex = 0;
    std::uint64_t m_appliedIndex = 0;
    bool m_snapshotRequested = false;
    std::size_t m_bytesSinceSnapshot = 0;
    TimePoint m_electionDeadline{};
    TimePoint m_lastLeaderContact{};
    std::string m_lastLeader; // the last leader that this replica has followed; empty if none
    TimePoint m_lastLeaderMessageAt{}; // time of the last message of any kind from m_lastLeader
    bool m_hasLeaderContact = false; // m_lastLeaderContact is valid; cleared when this replica starts a pre-vote or steps down
    bool m_hasObservedLeader = false;
    std::uint32_t m_firstElectionAttempts = 0; // election timeouts set before the first leader was observed
    std::set<std::string> m_grantedVotes;
    std::set<std::string> m_lostVoters; // voters whose hosts have answered with another disk
    std::string m_termLostVoter; // as candidate or leader: voter that is left out of quorums in this term, fixed before the term started; empty if none
    IncomingSnapshot m_incomingSnapshot;
    std::map<std::uint64_t, ForwardedRead> m_forwardedReads; // by the number that the read request carries

    // Leader state
    std::map<std::string, Progress> m_progress; // by disk identity, without this replica
    TimePoint m_nextHeartbeatTime{};
    std::uint64_t m_termStartIndex = 0; // index of the barrier entry with which this leader's term started
    std::uint64_t m_commitIndexAtHeartbeat = 0; // commit index at the last heartbeat
    std::map<std::uint64_t, PendingProposal> m_pendingProposals; // by log index
    std::deque<PendingRead> m_pendingReads;
    std::uint64_t m_readRound = 0; // last heartbeat round that was started to confirm reads
    bool m_toleratesVoterLoss = false; // last value that was reported by RedundancyChanged

    // Effects of the current call, returned in this order. Writes come first: if the caller calls the replica again while it carries out an
    // effect, the writes of that call must not precede these.
    Effects m_storageEffects;
    Effects m_sendEffects;
    Effects m_otherEffects;
};

}
