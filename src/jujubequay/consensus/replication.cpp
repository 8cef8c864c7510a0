#include <jujubequay/consensus/replica.h>
#include <jujubequay/consensus/replica_log.h>

#include <jujubequay/core/invariant.h>

#include <algorithm>

namespace Jujubequay::Consensus {

namespace pb = jujubequay::pb;

void Replica::updateProgressMembers()
{
    const pb::Membership active = activeMembers();
    std::erase_if(m_progress, [&active](const auto &entry) {
        return findMember(active, entry.first) == nullptr;
    });
    for (const pb::Member &member : active.members()) {
        if (member.id() == m_identity.id) {
            continue;
        }
        const auto [entry, added] = m_progress.try_emplace(member.id());
        if (added) {
            entry->second.nextIndex = m_log->lastIndex() + 1;
            entry->second.lastContact = m_now; // gives the member one election timeout to reply before this leader steps down
            const bool wasLeader = member.id() == m_lastLeader;
            entry->second.lastMessageAt = wasLeader ? m_lastLeaderMessageAt : m_now;
        }
    }
}

void Replica::broadcast(bool heartbeat)
{
    if (heartbeat) {
        m_nextHeartbeatTime = m_now + m_options.heartbeatInterval;
    }
    for (auto &[id, progress] : m_progress) {
        replicateTo(id, progress, heartbeat);
    }
}

void Replica::replicateTo(const std::string &id, Progress &progress, bool heartbeat)
{
    if (progress.nextIndex <= m_log->base().index || progress.snapshotIndex != 0) {
        if (heartbeat || progress.snapshotIndex == 0) {
            sendSnapshotChunk(id, progress);
        }
        return;
    }
    const bool hasEntriesToSend = progress.nextIndex <= m_log->lastIndex() && progress.nextIndex - progress.matchIndex <= m_options.maxUnacknowledgedEntries;
    const bool mayPipeline = hasEntriesToSend && !progress.isProbing;
    if (!heartbeat && !mayPipeline) {
        return;
    }
    pb::ReplicaMessage message = messageTo(id);
    pb::AppendRequest *request = message.mutable_append_request();
    const LogBase prev = m_log->positionAt(progress.nextIndex - 1);
    request->set_prev_index(prev.index);
    request->set_prev_term(prev.term);
    if (hasEntriesToSend) {
        for (pb::LogEntry &entry : m_log->entriesFrom(progress.nextIndex, m_options.maxMessageBytes)) {
            *request->add_entries() = std::move(entry);
        }
    }
    request->set_commit(m_commitIndex);
    request->set_round(m_readRound);
    if (m_log->covers(m_appliedIndex)) {
        request->set_applied_index(m_appliedIndex);
        request->set_applied_digest(m_log->positionAt(m_appliedIndex).digest);
    }
    if (!progress.isProbing) {
        progress.nextIndex += static_cast<std::uint64_t>(request->entries_size());
    }
    send(std::move(message));
}

void Replica::followLeader(const pb::ReplicaMessage &message)
{
    checkInvariant(m_role != Role::Leader, "a term has at most one leader");
    becomeFollower(message.term(), message.from());
    m_hasLeaderContact = true;
    m_lastLeaderContact = m_now;
    m_lastLeader = message.from();
    m_lastLeaderMessageAt = m_now;
    resetElectionTimer();
}

void Replica::onAppendRequest(const pb::ReplicaMessage &message)
{
    if (message.term() < m_hardState.term) {
        return rejectAppend(message); // the reply carries the new term, so that the former leader steps down
    }
    followLeader(message);
    const pb::AppendRequest &request = message.append_request();
    if (!isWellFormed(request)) {
        return;
    }
    const std::uint64_t last = request.prev_index() + static_cast<std::uint64_t>(request.entries_size());
    if (m_pendingInstall || last < m_commitIndex) {
        // Entries up to the commit index match those of every leader. They need no comparison, and those before the base cannot be compared.
        return acknowledge(message.from(), std::min(m_durableIndex, m_commitIndex), request.round(), 0);
    }
    const bool belowBase = request.prev_index() < m_log->base().index;
    const bool matches = belowBase || (m_log->covers(request.prev_index()) && m_log->termAt(request.prev_index()) == request.prev_term());
    if (!matches) {
        return rejectAppend(message);
    }
    acceptEntries(request);
    m_commitIndex = std::max(m_commitIndex, std::min(request.commit(), last));
    applyCommitted();
    checkAppliedDigest(request);
    const bool hasNewEntries = !m_unwrittenEntries.empty();
    acknowledge(message.from(), hasNewEntries ? last : std::min(last, m_durableIndex), request.round(), hasNewEntries ? m_issuedSequence + 1 : 0);
}

bool Replica::isWellFormed(const pb::AppendRequest &request)
{
    std::uint64_t index = request.prev_index();
    std::uint64_t term = request.prev_term();
    for (const pb::LogEntry &entry : request.entries()) {
        if (entry.index() != ++index || entry.term() < term) {
            return false;
        }
        term = entry.term();
    }
    return true;
}

void Replica::acceptEntries(const pb::AppendRequest &request)
{
    bool changesMembership = false;
    for (const pb::LogEntry &entry : request.entries()) {
        if (entry.index() <= m_log->base().index) {
            continue;
        }
        if (m_log->covers(entry.index())) {
            const pb::LogEntry &existing = m_log->entryAt(entry.index());
            if (existing.term() == entry.term()) {
                checkInvariant(existing.SerializeAsString() == entry.SerializeAsString(), "entries with the same index and term are identical");
                continue;
            }
            truncateAfter(entry.index() - 1);
            changesMembership = true; // a truncated entry may have contained a membership
        }
        changesMembership = changesMembership || entry.has_membership();
        m_unwrittenEntries.push_back(entry);
        m_log->append(entry);
    }
    if (changesMembership) {
        refreshMembership();
    }
}

void Replica::rejectAppend(const pb::ReplicaMessage &message)
{
    const pb::AppendRequest &request = message.append_request();
    // The last index at which the leader's log may match this one.
    std::uint64_t lastPossibleMatch = std::min(request.prev_index(), m_log->lastIndex() + 1);
    lastPossibleMatch = lastPossibleMatch == 0 ? 0 : lastPossibleMatch - 1;
    if (m_log->covers(request.prev_index())) {
        // Skips all entries of the conflicting term.
        const std::uint64_t conflictingTerm = m_log->termAt(request.prev_index());
        while (lastPossibleMatch > m_commitIndex && m_log->covers(lastPossibleMatch) && m_log->termAt(lastPossibleMatch) == conflictingTerm) {
            --lastPossibleMatch;
        }
    }
    pb::ReplicaMessage replyMessage = messageTo(message.from());
    pb::AppendReply *reply = replyMessage.mutable_append_reply();
    reply->set_index(std::max(lastPossibleMatch, std::min(m_commitIndex, m_durableIndex)));
    reply->set_rejected(request.prev_index());
    reply->set_round(request.round());
    send(std::move(replyMessage));
}

void Replica::acknowledge(const std::string &leader, std::uint64_t matchIndex, std::uint64_t round, std::uint64_t afterSequence)
{
    pb::ReplicaMessage message = messageTo(leader);
    pb::AppendReply *reply = message.mutable_append_reply();
    reply->set_accepted(true);
    reply->set_index(matchIndex);
    reply->set_round(round);
    send(std::move(message), afterSequence);
}

void Replica::checkAppliedDigest(const pb::AppendRequest &request)
{
    const bool isComparable = request.applied_index() > 0 && request.applied_index() <= m_appliedIndex && m_log->covers(request.applied_index());
    if (isComparable) {
        checkInvariant(m_log->positionAt(request.applied_index()).digest == request.applied_digest(), "all replicas apply the same entries in the same order");
    }
}

void Replica::onAppendReply(const pb::ReplicaMessage &message)
{
    const auto found = m_progress.find(message.from());
    if (m_role != Role::Leader || message.term() != m_hardState.term || found == m_progress.end()) {
        return;
    }
    const pb::AppendReply &reply = message.append_reply();
    Progress &progress = found->second;
    progress.lastContact = m_now;
    progress.lastMessageAt = m_now;
    progress.acknowledgedRound = std::max(progress.acknowledgedRound, reply.round());
    confirmReads();
    if (reply.accepted()) {
        checkInvariant(reply.index() <= m_log->lastIndex(), "a follower acknowledges only entries that are in the leader's log");
        if (reply.index() >= progress.matchIndex) {
            progress.matchIndex = reply.index();
            progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
            progress.isProbing = false;
        }
        advanceCommit();
    } else if (reply.rejected() > progress.matchIndex && reply.rejected() < progress.nextIndex) {
        progress.nextIndex = std::max(progress.matchIndex, std::min(reply.index(), reply.rejected() - 1)) + 1;
        progress.isProbing = true;
        replicateTo(message.from(), progress, true);
    }
    // advanceCommit may have made this leader step down.
    const auto current = m_progress.find(message.from());
    if (m_role == Role::Leader && current != m_progress.end()) {
        replicateTo(message.from(), current->second, false);
    }
    updateRedundancy();
}

void Replica::advanceCommit()
{
    const std::uint64_t candidate = agreedValue(m_termLostVoter, [this](const std::string &id) {
        const auto progress = m_progress.find(id);
        const std::uint64_t matchIndex = progress == m_progress.end() ? 0 : progress->second.matchIndex;
        return id == m_identity.id ? m_durableIndex : matchIndex;
    });
    // An entry of an earlier term commits only together with an entry of the current term (Raft, section 5.4.2).
    if (candidate <= m_commitIndex || m_log->termAt(candidate) != m_hardState.term) {
        return;
    }
    const bool isFirstOfTerm = m_commitIndex < m_termStartIndex;
    const bool isMembershipCommitted = m_commitIndex < m_membershipIndex && m_membershipIndex <= candidate;
    m_commitIndex = candidate;
    applyCommitted();
    confirmReads();
    if (isFirstOfTerm || isMembershipCommitted) {
        // Sends the commit index at once: after a restart, followers cannot apply the entries in their logs before they have received it, and until then an
        // election needs a quorum of the membership before as well.
        broadcast(true);
    }
    if (isMembershipCommitted) {
        updateProgressMembers();
    }
    if (m_membershipIndex <= m_commitIndex && !isVoter(m_membership, m_identity.id)) {
        stepDown();
    }
}

bool Replica::isCaughtUp(TimePoint now, const std::string &id) const
{
    if (m_role != Role::Leader) {
        return false;
    }
    if (id == m_identity.id) {
        return m_durableIndex >= m_commitIndexAtHeartbeat;
    }
    const auto progress = m_progress.find(id);
    return progress != m_progress.end() && progress->second.matchIndex >= m_commitIndexAtHeartbeat
        && now - progress->second.lastContact <= m_options.electionTimeout && progress->second.matchIndex > 0;
}

std::optional<TimePoint> Replica::lastMessageAt(const std::string &id) const
{
    const auto progress = m_progress.find(id);
    return progress == m_progress.end() ? std::nullopt : std::optional(progress->second.lastMessageAt);
}

bool Replica::toleratesVoterLoss() const
{
    if (m_role != Role::Leader || m_membershipIndex > m_commitIndex || m_termStartIndex > m_commitIndex) {
        return false;
    }
    return caughtUpVoters(m_membership) > majoritySize(m_membership);
}

std::size_t Replica::caughtUpVoters(const pb::Membership &membership) const
{
    std::size_t caughtUp = 0;
    for (const pb::Member &member : membership.members()) {
        caughtUp += member.voter() && isCaughtUp(m_now, member.id()) ? 1 : 0;
    }
    return caughtUp;
}

void Replica::updateRedundancy()
{
    if (m_role != Role::Leader || toleratesVoterLoss() == m_toleratesVoterLoss) {
        return;
    }
    m_toleratesVoterLoss = !m_toleratesVoterLoss;
    emit(RedundancyChanged{m_toleratesVoterLoss});
}

}
