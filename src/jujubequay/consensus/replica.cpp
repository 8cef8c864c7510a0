#include <jujubequay/consensus/replica.h>

#include <jujubequay/consensus/replica_log.h>
#include <jujubequay/core/invariant.h>
#include <jujubequay/core/name_table.h>

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

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
    , m_commit(m_snapshot.index)
    , m_applied(m_snapshot.index)
{
    checkInvariant(!m_identity.id.empty(), "a replica has a disk identity");
    checkInvariant(m_log->covers(m_snapshot.index), "snapshot and log leave no gap");
    checkInvariant(m_log->positionAt(m_snapshot.index).digest == m_snapshot.digest, "snapshot and log hold the same history");
    m_stateDigest = digestOfState(m_snapshot.state);
    m_commit = std::max(m_commit, std::min(m_hardState.commit, m_log->lastIndex()));
    refreshMembership();
    m_cluster = m_membership.cluster();
    resetElectionTimer();
}

Replica::~Replica() = default;

Effects Replica::start()
{
    if (m_snapshot.index > 0) {
        emit(RestoreState{m_snapshot.index, m_snapshot.state});
    }
    applyCommitted();
    return finish();
}

Effects Replica::step(TimePoint now, const pb::ReplicaMessage &message)
{
    m_now = now;
    if (isAddressedHere(message)) {
        m_cluster = message.cluster();
        dispatch(message);
    }
    return finish();
}

Effects Replica::tick(TimePoint now)
{
    m_now = now;
    expireForwardedReads();
    recordCommit();
    if (m_role == Role::Leader) {
        if (!hasQuorumContact()) {
            stepDown();
        } else if (now >= m_nextHeartbeat) {
            startReadRound();
            broadcast(true);
            m_commitAtHeartbeat = m_commit;
        }
        updateRedundancy();
    } else if (now >= m_electionDeadline) {
        startPreVote();
    }
    return finish();
}

void Replica::recordCommit()
{
    const bool isIdle = m_writes.empty() && m_unwritten.empty() && !m_compacting && !m_installing;
    if (m_options.persistsCommitIndex && isIdle && m_hardState.commit < m_commit) {
        m_hardState.commit = m_commit;
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
    } else if (m_proposals.size() >= m_options.maxPendingProposals) {
        emit(ProposalFailed{id, ResultCode::NotRunOverloaded, "too many proposals are pending", m_leader});
    } else {
        pb::LogEntry entry;
        entry.set_command(command.data(), command.size());
        m_proposals[m_log->lastIndex() + 1] = {id, m_hardState.term};
        appendLocally(std::move(entry));
        broadcast(false);
    }
    return finish();
}

Effects Replica::changeMembership(TimePoint now, ProposalId id, const MembershipChange &change)
{
    m_now = now;
    const auto *promotion = std::get_if<PromoteLearner>(&change);
    if (m_role != Role::Leader) {
        emit(ProposalFailed{id, ResultCode::NotLeader, "this host is not the leader", m_leader});
    } else if (m_membershipIndex > m_commit) {
        emit(ProposalFailed{id, ResultCode::MembershipBusy, "another membership change has not committed", m_leader});
    } else if (m_termStartIndex > m_commit) {
        // Without a committed entry of its own term, a leader may not know of a change that an earlier leader committed.
        emit(ProposalFailed{id, ResultCode::MembershipBusy, "the leader has not committed an entry in its term", m_leader});
    } else if (promotion != nullptr && findMember(m_membership, promotion->id) != nullptr && !isCaughtUp(now, promotion->id)) {
        emit(ProposalFailed{id, ResultCode::MembershipBusy, "the learner has not caught up", m_leader});
    } else {
        handleFailure(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(membership, Consensus::changeMembership(m_membership, change));
                BOOST_LEAF_CHECK(checkRemoval(change, membership));
                pb::LogEntry entry;
                *entry.mutable_membership() = std::move(membership);
                m_proposals[m_log->lastIndex() + 1] = {id, m_hardState.term};
                appendLocally(std::move(entry));
                broadcast(false);
                return {};
            },
            [&](const Failure &failure) {
                emit(ProposalFailed{id, failure.code, failure.detail, m_leader});
            });
    }
    return finish();
}

Result<void> Replica::checkRemoval(const MembershipChange &change, const pb::Membership &after) const
{
    const auto *removal = std::get_if<RemoveMember>(&change);
    if (removal == nullptr || !isVoter(m_membership, removal->id)) {
        return {};
    }
    // A voter that was lost within the last election timeout still counts as caught up. Unless one more than a majority is
    // left, the removal of a working voter could turn that loss into a permanent standstill.
    const std::size_t needed = majorityOf(after) + (isCaughtUp(m_now, removal->id) ? 1 : 0);
    if (caughtUpVoters(after) < needed) {
        return fail(ResultCode::NoQuorum, fmt::format("fewer than {} of the remaining voters have caught up", needed));
    }
    return {};
}

Effects Replica::onWritesDurable(TimePoint now, std::uint64_t sequence)
{
    m_now = now;
    checkInvariant(sequence <= m_sequence, "only issued writes complete");
    m_storedSequence = std::max(m_storedSequence, sequence);
    while (!m_writes.empty() && m_writes.front().sequence <= m_storedSequence) {
        m_durableIndex = std::max(m_durableIndex, m_writes.front().lastIndex);
        m_writes.pop_front();
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
    return finish();
}

Effects Replica::compactLog(TimePoint now, std::uint64_t index, Bytes state)
{
    m_now = now;
    m_snapshotWanted = false;
    checkInvariant(index <= m_applied, "a snapshot covers applied entries only");
    const bool useful = index > m_snapshot.index && m_log->covers(index) && !m_compacting && !m_installing;
    if (useful) {
        const LogBase position = m_log->positionAt(index);
        Snapshot snapshot{index, position.term, position.digest, {}, std::move(state)};
        snapshot.membership = m_snapshot.membership;
        for (std::uint64_t at = m_log->firstIndex(); at <= index; ++at) {
            if (m_log->entryAt(at).has_membership()) {
                snapshot.membership = m_log->entryAt(at).membership();
            }
        }
        flushPersist();
        const LogBase base = m_log->positionAt(retentionStart(index));
        m_compacting = {++m_sequence, snapshot};
        m_storageEffects.emplace_back(SaveSnapshot{m_sequence, std::move(snapshot), m_hardState, base, m_log->entriesAfter(base.index)});
    }
    return finish();
}

void Replica::finishCompaction()
{
    if (!m_compacting || m_compacting->first > m_storedSequence) {
        return;
    }
    Snapshot snapshot = std::move(m_compacting->second);
    m_compacting.reset();
    if (snapshot.index <= m_snapshot.index) {
        return;
    }
    m_snapshot = std::move(snapshot);
    m_stateDigest = digestOfState(m_snapshot.state);
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
    TimePoint next = m_role == Role::Leader ? m_nextHeartbeat : m_electionDeadline;
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
    return m_hasHadLeader;
}

std::uint64_t Replica::commitIndex() const
{
    return m_commit;
}

std::uint64_t Replica::appliedIndex() const
{
    return m_applied;
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

Effects Replica::finish()
{
    flushPersist();
    Effects effects = std::exchange(m_storageEffects, {});
    std::move(m_sends.begin(), m_sends.end(), std::back_inserter(effects));
    m_sends.clear();
    std::move(m_effects.begin(), m_effects.end(), std::back_inserter(effects));
    m_effects.clear();
    return effects;
}

void Replica::flushPersist()
{
    if (!m_hardStateDirty && m_unwritten.empty()) {
        return;
    }
    ++m_sequence;
    Persist persist{m_sequence, std::nullopt, std::exchange(m_unwritten, {})};
    if (m_hardStateDirty) {
        persist.hardState = m_hardState;
        m_hardStateDirty = false;
    }
    if (!persist.entries.empty()) {
        m_writes.push_back({m_sequence, persist.entries.back().index()});
    }
    m_storageEffects.emplace_back(std::move(persist));
}

void Replica::emit(Effect effect)
{
    m_effects.push_back(std::move(effect));
}

void Replica::send(pb::ReplicaMessage message, std::uint64_t afterSequence)
{
    const std::uint64_t after = std::max(afterSequence, m_hardStateSequence);
    if (after > m_storedSequence) {
        m_held.push_back({after, m_hardState.term, std::move(message)});
    } else {
        m_sends.emplace_back(Send{std::move(message)});
    }
}

void Replica::releaseHeldMessages()
{
    std::vector<HeldMessage> held = std::exchange(m_held, {});
    for (HeldMessage &entry : held) {
        // A message of an earlier term is void: its vote or acknowledgement may contradict what has happened since.
        if (entry.term != m_hardState.term) {
            continue;
        }
        if (entry.afterSequence > m_storedSequence) {
            m_held.push_back(std::move(entry));
        } else {
            m_sends.emplace_back(Send{std::move(entry.message)});
        }
    }
}

pb::ReplicaMessage Replica::messageTo(const std::string &id) const
{
    pb::ReplicaMessage message;
    message.set_from(m_identity.id);
    message.set_to(id);
    message.set_cluster(m_cluster);
    message.set_term(m_hardState.term);
    return message;
}

bool Replica::isAddressedHere(const pb::ReplicaMessage &message) const
{
    // A new disk belongs to no cluster until a leader addresses it.
    const bool fromLeader = message.has_append_request() || message.has_snapshot_chunk();
    const bool sameCluster = m_cluster == 0 ? fromLeader : message.cluster() == m_cluster;
    return sameCluster && message.to() == m_identity.id && message.from() != m_identity.id && !message.from().empty();
}

void Replica::dispatch(const pb::ReplicaMessage &message)
{
    const bool isVoteRequest = message.has_vote_request();
    // A member that cannot reach the leader must not depose it as long as others can.
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
    case pb::ReplicaMessage::KIND_NOT_SET:
        return;
    }
}

void Replica::setHardState(std::uint64_t term, const std::string &vote)
{
    checkInvariant(term >= m_hardState.term, "the term never falls");
    checkInvariant(term > m_hardState.term || m_hardState.votedFor.empty() || m_hardState.votedFor == vote, "one vote per term");
    const HardState state{term, vote, m_hardState.commit};
    if (state == m_hardState) {
        return;
    }
    m_hardState = state;
    m_hardStateDirty = true;
    m_hardStateSequence = m_sequence + 1;
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
        checkInvariant(m_termLeader.empty() || m_termLeader == leader, "one leader per term");
        m_termLeader = leader;
        m_leader = leader;
        m_hasHadLeader = true;
    }
    m_role = Role::Follower;
    m_votes.clear();
}

void Replica::appendLocally(pb::LogEntry entry)
{
    entry.set_term(m_hardState.term);
    entry.set_index(m_log->lastIndex() + 1);
    const bool changesMembership = entry.has_membership();
    m_unwritten.push_back(entry);
    m_log->append(std::move(entry));
    if (changesMembership) {
        refreshMembership();
    }
}

void Replica::truncateAfter(std::uint64_t lastKept)
{
    checkInvariant(lastKept >= m_commit, "committed entries are never truncated");
    m_log->truncateAfter(lastKept);
    std::erase_if(m_unwritten, [lastKept](const pb::LogEntry &entry) {
        return entry.index() > lastKept;
    });
    m_durableIndex = std::min(m_durableIndex, lastKept);
    for (Write &write : m_writes) {
        write.lastIndex = std::min(write.lastIndex, lastKept);
    }
}

void Replica::applyCommitted()
{
    if (m_installing || m_applied >= m_commit) {
        return;
    }
    std::vector<pb::LogEntry> entries;
    for (std::uint64_t index = m_applied + 1; index <= m_commit; ++index) {
        entries.push_back(m_log->entryAt(index));
    }
    checkInvariant(entries.front().index() == m_applied + 1, "entries are applied in order");
    for (const pb::LogEntry &entry : entries) {
        m_bytesSinceSnapshot += entry.ByteSizeLong();
    }
    m_applied = m_commit;
    emit(Apply{entries});
    for (const pb::LogEntry &entry : entries) {
        reportCommitted(entry);
    }
    releaseForwardedReads();
    const bool due = m_applied - m_snapshot.index >= m_options.snapshotInterval || m_bytesSinceSnapshot >= m_options.snapshotIntervalBytes;
    if (due && !m_snapshotWanted && !m_compacting) {
        m_bytesSinceSnapshot = 0;
        m_snapshotWanted = true;
        emit(TakeSnapshot{m_applied});
    }
}

void Replica::reportCommitted(const pb::LogEntry &entry)
{
    if (entry.has_membership()) {
        emit(MembershipCommitted{entry.index(), entry.membership()});
    }
    const auto proposal = m_proposals.find(entry.index());
    if (proposal != m_proposals.end()) {
        checkInvariant(proposal->second.term == entry.term(), "an acknowledged proposal is the entry that committed");
        emit(ProposalCommitted{proposal->second.id, entry.index()});
        m_proposals.erase(proposal);
    }
}

void Replica::refreshMembership()
{
    m_membership = m_snapshot.membership;
    m_membershipIndex = m_snapshot.index;
    for (std::uint64_t index = m_log->lastIndex(); index > std::max(m_snapshot.index, m_log->base().index); --index) {
        if (m_log->entryAt(index).has_membership()) {
            m_membership = m_log->entryAt(index).membership();
            m_membershipIndex = index;
            break;
        }
    }
    if (m_role == Role::Leader) {
        syncProgress();
    }
}

void Replica::resetElectionTimer()
{
    Duration timeout = m_options.electionTimeout;
    if (!m_hasHadLeader && m_options.firstElectionTimeout > Duration::zero()) {
        constexpr std::uint32_t maxDoublings = 2; // the others may start seconds later
        timeout = std::min(timeout, m_options.firstElectionTimeout * (1 << std::min(m_firstElections, maxDoublings)));
        ++m_firstElections;
    }
    std::uniform_int_distribution<Duration::rep> jitter(0, timeout.count());
    m_electionDeadline = m_now + timeout + Duration(jitter(m_random));
}

}
