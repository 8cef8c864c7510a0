#include <jujubequay/consensus/replica.h>

#include <jujubequay/consensus/quorum.h>
#include <jujubequay/consensus/replica_log.h>
#include <jujubequay/core/invariant.h>
#include <jujubequay/core/name_table.h>

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <limits>

namespace Jujubequay::Consensus {

namespace pb = jujubequay::pb;

namespace {

constexpr NameTable<Role, 4> roleNames{{{
    {Role::Follower, "follower"},
    {Role::PreCandidate, "pre-candidate"},
    {Role::Candidate, "candidate"},
    {Role::Leader, "leader"},
}}};

}

std::string_view roleName(Role role)
{
    return roleNames.name(role);
}

Replica::Replica(const ReplicaOptions &options, StoredState stored, std::mt19937_64 &random, TimePoint now)
    : m_options(options)
    , m_identity(std::move(stored.identity))
    , m_random(random)
    , m_now(now)
    , m_hardState(std::move(stored.hardState))
    , m_log(std::make_unique<ReplicaLog>(stored.base, std::move(stored.entries)))
    , m_snapshot(std::move(stored.snapshot))
    , m_durableIndex(m_log->lastIndex())
    , m_commitIndex(m_snapshot.index)
    , m_appliedIndex(m_snapshot.index)
{
    checkInvariant(!m_identity.id.empty(), "a replica has a disk identity");
    checkInvariant(m_log->covers(m_snapshot.index), "there is no gap between snapshot and log");
    checkInvariant(m_log->positionAt(m_snapshot.index).digest == m_snapshot.digest, "snapshot and log have the same digest at the index of the snapshot");
    m_snapshotStateDigest = digestOfState(m_snapshot.state);
    m_commitIndex = std::max(m_commitIndex, std::min(m_hardState.commit, m_log->lastIndex()));
    refreshMembership();
    m_clusterNumber = m_membership.cluster();
    resetElectionTimer();
}

Replica::~Replica() = default;

Effects Replica::start()
{
    if (m_snapshot.index > 0) {
        emit(RestoreState{m_snapshot.index, m_snapshot.state});
    }
    applyCommitted();
    return takeEffects();
}

Effects Replica::step(TimePoint now, const pb::ReplicaMessage &message)
{
    m_now = now;
    if (isAddressedToThisReplica(message)) {
        m_clusterNumber = message.cluster();
        dispatch(message);
    } else {
        answerForLostDisk(message);
    }
    return takeEffects();
}

Effects Replica::tick(TimePoint now)
{
    m_now = now;
    expireForwardedReads();
    scheduleCommitIndexWrite();
    if (m_role == Role::Leader) {
        if (!hasQuorumContact()) {
            stepDown();
        } else if (now >= m_nextHeartbeatTime) {
            startReadRound();
            broadcast(true);
            m_commitIndexAtHeartbeat = m_commitIndex;
        }
        updateRedundancy();
    } else if (now >= m_electionDeadline) {
        startPreVote();
    }
    return takeEffects();
}

void Replica::scheduleCommitIndexWrite()
{
    const bool isIdle = m_pendingWrites.empty() && m_unwrittenEntries.empty() && !m_pendingCompaction && !m_pendingInstall;
    // While a restarted replica does not know that its membership has committed, its elections also need a quorum of the one before.
    const bool isMembershipNew = m_hardState.commit < m_membershipIndex && m_membershipIndex <= m_commitIndex;
    if ((m_options.persistsCommitIndex || isMembershipNew) && isIdle && m_hardState.commit < m_commitIndex) {
        m_hardState.commit = m_commitIndex;
        m_hardStateDirty = true;
    }
}

Effects Replica::propose(TimePoint now, ProposalId id, const Bytes &command)
{
    m_now = now;
    if (m_role != Role::Leader) {
        emit(ProposalFailed{id, ResultCode::NotLeader, "this host is not the leader", m_leader});
    } else if (command.size() > m_options.maxCommandBytes) {
        emit(ProposalFailed{id, ResultCode::MessageTooLarge, "the command is too large", m_leader});
    } else if (m_pendingProposals.size() >= m_options.maxPendingProposals) {
        emit(ProposalFailed{id, ResultCode::NotRunOverloaded, "too many proposals are pending", m_leader});
    } else {
        pb::LogEntry entry;
        entry.set_command(command.data(), command.size());
        m_pendingProposals[m_log->lastIndex() + 1] = {id, m_hardState.term};
        appendLocally(std::move(entry));
        broadcast(false);
    }
    return takeEffects();
}

Effects Replica::changeMembership(TimePoint now, ProposalId id, const MembershipChange &change)
{
    m_now = now;
    const auto *promotion = std::get_if<PromoteLearner>(&change);
    if (m_role != Role::Leader) {
        emit(ProposalFailed{id, ResultCode::NotLeader, "this host is not the leader", m_leader});
    } else if (m_membershipIndex > m_commitIndex) {
        emit(ProposalFailed{id, ResultCode::MembershipBusy, "another membership change has not committed", m_leader});
    } else if (m_termStartIndex > m_commitIndex) {
        // Before an entry of its own term has committed, the commit index of a new leader may lie below a change that an earlier leader committed.
        emit(ProposalFailed{id, ResultCode::MembershipBusy, "the leader has not committed an entry in its term", m_leader});
    } else if (promotion != nullptr && findMember(m_membership, promotion->id) != nullptr && !isCaughtUp(now, promotion->id)) {
        emit(ProposalFailed{id, ResultCode::MembershipBusy, "the learner has not caught up", m_leader});
    } else {
        handleFailure(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(membership, Consensus::changeMembership(m_membership, change));
                BOOST_LEAF_CHECK(checkVoterRemoval(change, membership));
                pb::LogEntry entry;
                *entry.mutable_membership() = std::move(membership);
                m_pendingProposals[m_log->lastIndex() + 1] = {id, m_hardState.term};
                appendLocally(std::move(entry));
                broadcast(false);
                return {};
            },
            [&](const Failure &failure) {
                emit(ProposalFailed{id, failure.code, failure.detail, m_leader});
            });
    }
    return takeEffects();
}

Result<void> Replica::checkVoterRemoval(const MembershipChange &change, const pb::Membership &after) const
{
    const auto *removal = std::get_if<RemoveMember>(&change);
    if (removal == nullptr || !isVoter(m_membership, removal->id)) {
        return {};
    }
    // A voter that failed within the last election timeout still counts as caught up. The removal of a working voter therefore must leave one
    // voter more than a majority; otherwise the remaining voters might never have a majority again.
    const std::size_t neededVoters = majoritySize(after) + (isCaughtUp(m_now, removal->id) ? 1 : 0);
    if (caughtUpVoters(after) < neededVoters) {
        return fail(ResultCode::NoQuorum, fmt::format("fewer than {} of the remaining voters have caught up", neededVoters));
    }
    return {};
}

Effects Replica::onWritesDurable(TimePoint now, std::uint64_t sequence)
{
    m_now = now;
    checkInvariant(sequence <= m_issuedSequence, "only a write that was issued can become durable");
    m_durableSequence = std::max(m_durableSequence, sequence);
    while (!m_pendingWrites.empty() && m_pendingWrites.front().sequence <= m_durableSequence) {
        m_durableIndex = std::max(m_durableIndex, m_pendingWrites.front().lastIndex);
        m_pendingWrites.pop_front();
    }
    finishCompaction();
    finishInstall();
    releaseHeldMessages();
    if (m_role == Role::Candidate) {
        countVotes();
    }
    if (m_role == Role::Leader) {
        advanceCommit();
        updateRedundancy();
    }
    return takeEffects();
}

Effects Replica::compactLog(TimePoint now, std::uint64_t index, Bytes state)
{
    m_now = now;
    m_snapshotRequested = false;
    checkInvariant(index <= m_appliedIndex, "a snapshot covers applied entries only");
    const bool canCompact = index > m_snapshot.index && m_log->covers(index) && !m_pendingCompaction && !m_pendingInstall;
    if (canCompact) {
        const LogBase position = m_log->positionAt(index);
        Snapshot snapshot{index, position.term, position.digest, {}, std::move(state)};
        snapshot.membership = m_snapshot.membership;
        for (std::uint64_t at = m_log->firstIndex(); at <= index; ++at) {
            if (m_log->entryAt(at).has_membership()) {
                snapshot.membership = m_log->entryAt(at).membership();
            }
        }
        emitPersist();
        const LogBase base = m_log->positionAt(retentionStart(index));
        m_pendingCompaction = {++m_issuedSequence, snapshot};
        m_storageEffects.emplace_back(SaveSnapshot{m_issuedSequence, std::move(snapshot), m_hardState, base, m_log->entriesAfter(base.index)});
    }
    return takeEffects();
}

void Replica::finishCompaction()
{
    if (!m_pendingCompaction || m_pendingCompaction->first > m_durableSequence) {
        return;
    }
    Snapshot snapshot = std::move(m_pendingCompaction->second);
    m_pendingCompaction.reset();
    if (snapshot.index <= m_snapshot.index) {
        return;
    }
    m_snapshot = std::move(snapshot);
    m_snapshotStateDigest = digestOfState(m_snapshot.state);
    m_log->compactTo(retentionStart(m_snapshot.index));
}

std::uint64_t Replica::retentionStart(std::uint64_t index) const
{
    std::uint64_t start = index;
    std::size_t bytes = 0;
    while (start > m_log->base().index && index - start < m_options.retainedEntries) {
        bytes += m_log->entryAt(start).ByteSizeLong();
        if (bytes > m_options.retainedBytes) {
            break;
        }
        --start;
    }
    return start;
}

TimePoint Replica::nextTick() const
{
    TimePoint next = m_role == Role::Leader ? m_nextHeartbeatTime : m_electionDeadline;
    for (const auto &[id, read] : m_forwardedReads) {
        next = std::min(next, read.deadline);
    }
    return next;
}

Role Replica::role() const
{
    return m_role;
}

std::uint64_t Replica::term() const
{
    return m_hardState.term;
}

const std::string &Replica::id() const
{
    return m_identity.id;
}

const std::string &Replica::leader() const
{
    return m_leader;
}

bool Replica::hasObservedLeader() const
{
    return m_hasObservedLeader;
}

std::uint64_t Replica::commitIndex() const
{
    return m_commitIndex;
}

std::uint64_t Replica::appliedIndex() const
{
    return m_appliedIndex;
}

std::uint64_t Replica::lastIndex() const
{
    return m_log->lastIndex();
}

std::uint64_t Replica::snapshotIndex() const
{
    return m_snapshot.index;
}

const pb::Membership &Replica::membership() const
{
    return m_membership;
}

pb::Membership Replica::activeMembers() const
{
    pb::Membership active = m_membership;
    if (m_membershipIndex > m_commitIndex) {
        for (const pb::Member &member : m_previousMembership.members()) {
            if (member.voter() && findMember(m_membership, member.id()) == nullptr) {
                *active.add_members() = member;
            }
        }
    }
    return active;
}

bool Replica::isActiveVoter(const std::string &id) const
{
    return isVoter(m_membership, id) || (m_membershipIndex > m_commitIndex && isVoter(m_previousMembership, id));
}

std::vector<const pb::Membership *> Replica::quorumMemberships() const
{
    if (m_membershipIndex > m_commitIndex) {
        return {&m_membership, &m_previousMembership};
    }
    return {&m_membership};
}

std::uint64_t Replica::agreedValue(const std::string &lostVoter, const std::function<std::uint64_t(const std::string &)> &valueOf) const
{
    std::uint64_t agreed = std::numeric_limits<std::uint64_t>::max();
    for (const pb::Membership *membership : quorumMemberships()) {
        agreed = std::min(agreed, quorumValue(*membership, lostVoter, valueOf));
    }
    return agreed;
}

Effects Replica::takeEffects()
{
    emitPersist();
    Effects effects = std::exchange(m_storageEffects, {});
    std::move(m_sendEffects.begin(), m_sendEffects.end(), std::back_inserter(effects));
    m_sendEffects.clear();
    std::move(m_otherEffects.begin(), m_otherEffects.end(), std::back_inserter(effects));
    m_otherEffects.clear();
    return effects;
}

void Replica::emitPersist()
{
    if (!m_hardStateDirty && m_unwrittenEntries.empty()) {
        return;
    }
    ++m_issuedSequence;
    Persist persist{m_issuedSequence, std::nullopt, std::exchange(m_unwrittenEntries, {})};
    if (m_hardStateDirty) {
        persist.hardState = m_hardState;
        m_hardStateDirty = false;
    }
    if (!persist.entries.empty()) {
        m_pendingWrites.push_back({m_issuedSequence, persist.entries.back().index()});
    }
    m_storageEffects.emplace_back(std::move(persist));
}

void Replica::emit(Effect effect)
{
    m_otherEffects.push_back(std::move(effect));
}

void Replica::send(pb::ReplicaMessage message, std::uint64_t afterSequence)
{
    const std::uint64_t requiredSequence = std::max(afterSequence, m_hardStateSequence);
    if (requiredSequence > m_durableSequence) {
        m_heldMessages.push_back({requiredSequence, m_hardState.term, std::move(message)});
    } else {
        m_sendEffects.emplace_back(Send{std::move(message)});
    }
}

void Replica::releaseHeldMessages()
{
    std::vector<HeldMessage> messages = std::exchange(m_heldMessages, {});
    for (HeldMessage &held : messages) {
        // Drops messages of earlier terms: their votes or acknowledgements may contradict what has happened since.
        if (held.term != m_hardState.term) {
            continue;
        }
        if (held.afterSequence > m_durableSequence) {
            m_heldMessages.push_back(std::move(held));
        } else {
            m_sendEffects.emplace_back(Send{std::move(held.message)});
        }
    }
}

pb::ReplicaMessage Replica::messageTo(const std::string &id) const
{
    pb::ReplicaMessage message;
    message.set_from(m_identity.id);
    message.set_to(id);
    message.set_cluster(m_clusterNumber);
    message.set_term(m_hardState.term);
    return message;
}

bool Replica::isAddressedToThisReplica(const pb::ReplicaMessage &message) const
{
    // A new disk joins the cluster of the first leader that sends it a message.
    const bool fromLeader = message.has_append_request() || message.has_snapshot_chunk();
    const bool sameCluster = m_clusterNumber == 0 ? fromLeader : message.cluster() == m_clusterNumber;
    return sameCluster && message.to() == m_identity.id && message.from() != m_identity.id && !message.from().empty();
}

void Replica::dispatch(const pb::ReplicaMessage &message)
{
    if (message.from() == m_lastLeader) {
        m_lastLeaderMessageAt = m_now;
    }
    const bool isVoteRequest = message.has_vote_request();
    // Ignores the request: a member without contact with the leader must not force an election while others have contact with it.
    if (isVoteRequest && hasRecentLeader()) {
        return;
    }
    const bool preVote = (isVoteRequest && message.vote_request().pre_vote())
        || (message.has_vote_reply() && message.vote_reply().pre_vote() && message.vote_reply().granted());
    if (message.term() > m_hardState.term && !preVote) {
        becomeFollower(message.term(), {});
    }
    switch (message.kind_case()) {
    case pb::ReplicaMessage::kVoteRequest:
        return onVoteRequest(message);
    case pb::ReplicaMessage::kVoteReply:
        return onVoteReply(message);
    case pb::ReplicaMessage::kAppendRequest:
        return onAppendRequest(message);
    case pb::ReplicaMessage::kAppendReply:
        return onAppendReply(message);
    case pb::ReplicaMessage::kSnapshotChunk:
        return onSnapshotChunk(message);
    case pb::ReplicaMessage::kSnapshotReply:
        return onSnapshotReply(message);
    case pb::ReplicaMessage::kReadRequest:
        return onReadRequest(message);
    case pb::ReplicaMessage::kReadReply:
        return onReadReply(message);
    case pb::ReplicaMessage::kDiskReplaced:
        return onDiskReplaced(message);
    case pb::ReplicaMessage::KIND_NOT_SET:
        return;
    }
}

void Replica::setHardState(std::uint64_t term, const std::string &vote)
{
    checkInvariant(term >= m_hardState.term, "the term never decreases");
    checkInvariant(term > m_hardState.term || m_hardState.votedFor.empty() || m_hardState.votedFor == vote, "a replica votes at most once per term");
    const HardState state{term, vote, m_hardState.commit};
    if (state == m_hardState) {
        return;
    }
    m_hardState = state;
    m_hardStateDirty = true;
    m_hardStateSequence = m_issuedSequence + 1;
}

void Replica::becomeFollower(std::uint64_t term, const std::string &leader)
{
    if (m_role == Role::Leader) {
        stepDown();
    }
    if (term > m_hardState.term) {
        setHardState(term, {});
        m_leader.clear();
        m_termLeader.clear();
    }
    if (!leader.empty()) {
        checkInvariant(m_termLeader.empty() || m_termLeader == leader, "a term has at most one leader");
        m_termLeader = leader;
        m_leader = leader;
        m_hasObservedLeader = true;
    }
    m_role = Role::Follower;
    m_grantedVotes.clear();
}

void Replica::appendLocally(pb::LogEntry entry)
{
    entry.set_term(m_hardState.term);
    entry.set_index(m_log->lastIndex() + 1);
    const bool changesMembership = entry.has_membership();
    m_unwrittenEntries.push_back(entry);
    m_log->append(std::move(entry));
    if (changesMembership) {
        refreshMembership();
    }
}

void Replica::truncateAfter(std::uint64_t lastKept)
{
    checkInvariant(lastKept >= m_commitIndex, "committed entries are never truncated");
    m_log->truncateAfter(lastKept);
    std::erase_if(m_unwrittenEntries, [lastKept](const pb::LogEntry &entry) {
        return entry.index() > lastKept;
    });
    m_durableIndex = std::min(m_durableIndex, lastKept);
    for (PendingWrite &write : m_pendingWrites) {
        write.lastIndex = std::min(write.lastIndex, lastKept);
    }
}

void Replica::applyCommitted()
{
    if (m_pendingInstall || m_appliedIndex >= m_commitIndex) {
        return;
    }
    std::vector<pb::LogEntry> entries;
    for (std::uint64_t index = m_appliedIndex + 1; index <= m_commitIndex; ++index) {
        entries.push_back(m_log->entryAt(index));
    }
    checkInvariant(entries.front().index() == m_appliedIndex + 1, "entries are applied in order");
    for (const pb::LogEntry &entry : entries) {
        m_bytesSinceSnapshot += entry.ByteSizeLong();
    }
    m_appliedIndex = m_commitIndex;
    emit(Apply{entries});
    for (const pb::LogEntry &entry : entries) {
        reportCommitted(entry);
    }
    confirmForwardedReads();
    const bool isSnapshotDue = m_appliedIndex - m_snapshot.index >= m_options.snapshotInterval || m_bytesSinceSnapshot >= m_options.snapshotIntervalBytes;
    if (isSnapshotDue && !m_snapshotRequested && !m_pendingCompaction) {
        m_bytesSinceSnapshot = 0;
        m_snapshotRequested = true;
        emit(TakeSnapshot{m_appliedIndex});
    }
}

void Replica::reportCommitted(const pb::LogEntry &entry)
{
    if (entry.has_membership()) {
        emit(MembershipCommitted{entry.index(), entry.membership()});
    }
    const auto proposal = m_pendingProposals.find(entry.index());
    if (proposal != m_pendingProposals.end()) {
        checkInvariant(proposal->second.term == entry.term(), "a pending proposal has the term of the entry that committed at its index");
        emit(ProposalCommitted{proposal->second.id, entry.index()});
        m_pendingProposals.erase(proposal);
    }
}

void Replica::refreshMembership()
{
    m_membership = m_snapshot.membership;
    m_previousMembership = m_snapshot.membership;
    m_membershipIndex = m_snapshot.index;
    for (std::uint64_t index = std::max(m_snapshot.index, m_log->base().index) + 1; index <= m_log->lastIndex(); ++index) {
        if (m_log->entryAt(index).has_membership()) {
            m_previousMembership = std::move(m_membership);
            m_membership = m_log->entryAt(index).membership();
            m_membershipIndex = index;
        }
    }
    std::erase_if(m_lostVoters, [this](const std::string &id) {
        return !isVoter(m_membership, id) && !isVoter(m_previousMembership, id);
    });
    if (m_role == Role::Leader) {
        updateProgressMembers();
    }
}

void Replica::resetElectionTimer()
{
    Duration timeout = m_options.electionTimeout;
    if (!m_hasObservedLeader && m_options.firstElectionTimeout > Duration::zero()) {
        constexpr std::uint32_t maxDoublings = 2; // other members may start seconds later
        timeout = std::min(timeout, m_options.firstElectionTimeout * (1 << std::min(m_firstElectionAttempts, maxDoublings)));
        ++m_firstElectionAttempts;
    }
    std::uniform_int_distribution<Duration::rep> jitter(0, timeout.count());
    m_electionDeadline = m_now + timeout + Duration(jitter(m_random));
}

}
