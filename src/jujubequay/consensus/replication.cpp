#include <jujubequay/consensus/replica.h>
#include <jujubequay/consensus/replica_log.h>

#include <jujubequay/core/invariant.h>

#include <algorithm>
#include <functional>

namespace Jujubequay::Consensus {

namespace pb = jujubequay::pb;

void Replica::syncProgress()
{
    std::erase_if(m_progress, [this](const auto &entry) {
        return findMember(m_membership, entry.first) == nullptr;
    });
    for (const pb::Member &member : m_membership.members()) {
        if (member.id() == m_identity.id) {
            continue;
        }
        const auto [entry, added] = m_progress.try_emplace(member.id());
        if (added) {
            entry->second.next = m_log->lastIndex() + 1;
            entry->second.lastContact = m_now; // a new leader waits one election timeout before it steps down
        }
    }
}

void Replica::broadcast(bool heartbeat)
{
    if (heartbeat) {
        m_nextHeartbeat = m_now + m_options.heartbeatInterval;
    }
    for (auto &[id, progress] : m_progress) {
        replicateTo(id, progress, heartbeat);
    }
}

void Replica::replicateTo(const std::string &id, Progress &progress, bool heartbeat)
{
    if (progress.next <= m_log->base().index || progress.snapshotIndex != 0) {
        if (heartbeat || progress.snapshotIndex == 0) {
            sendSnapshotChunk(id, progress);
        }
        return;
    }
    const bool windowOpen = progress.next <= m_log->lastIndex() && progress.next - progress.match <= m_options.maxUnacknowledged;
    const bool mayPipeline = windowOpen && !progress.probing;
    if (!heartbeat && !mayPipeline) {
        return;
    }
    pb::ReplicaMessage message = messageTo(id);
    pb::AppendRequest *request = message.mutable_append_request();
    const LogBase prev = m_log->positionAt(progress.next - 1);
    request->set_prev_index(prev.index);
    request->set_prev_term(prev.term);
    if (windowOpen) {
        for (pb::LogEntry &entry : m_log->entriesFrom(progress.next, m_options.maxMessageBytes)) {
            *request->add_entries() = std::move(entry);
        }
    }
    request->set_commit(m_commit);
    request->set_round(m_round);
    if (m_log->covers(m_applied)) {
        request->set_applied_index(m_applied);
        request->set_applied_digest(m_log->positionAt(m_applied).digest);
    }
    if (!progress.probing) {
        progress.next += static_cast<std::uint64_t>(request->entries_size());
    }
    send(std::move(message));
}

void Replica::hearLeader(const pb::ReplicaMessage &message)
{
    checkInvariant(m_role != Role::Leader, "one leader per term");
    becomeFollower(message.term(), message.from());
    m_heardLeader = true;
    m_lastLeaderContact = m_now;
    resetElectionTimer();
}

void Replica::onAppendRequest(const pb::ReplicaMessage &message)
{
    if (message.term() < m_hardState.term) {
        return rejectAppend(message); // tells a former leader of the new term
    }
    hearLeader(message);
    const pb::AppendRequest &request = message.append_request();
    if (!isWellFormed(request)) {
        return;
    }
    const std::uint64_t last = request.prev_index() + static_cast<std::uint64_t>(request.entries_size());
    if (m_installing || last < m_commit) {
        // What lies below the commit index is known to match; entries before the base cannot be compared.
        return acknowledge(message.from(), std::min(m_durableIndex, m_commit), request.round(), 0);
    }
    const bool belowBase = request.prev_index() < m_log->base().index;
    const bool matches = belowBase || (m_log->covers(request.prev_index()) && m_log->termAt(request.prev_index()) == request.prev_term());
    if (!matches) {
        return rejectAppend(message);
    }
    acceptEntries(request);
    m_commit = std::max(m_commit, std::min(request.commit(), last));
    applyCommitted();
    checkAppliedDigest(request);
    const bool wrote = !m_unwritten.empty();
    acknowledge(message.from(), wrote ? last : std::min(last, m_durableIndex), request.round(), wrote ? m_sequence + 1 : 0);
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
            const pb::LogEntry &present = m_log->entryAt(entry.index());
            if (present.term() == entry.term()) {
                checkInvariant(present.SerializeAsString() == entry.SerializeAsString(), "entries with the same index and term are the same");
                continue;
            }
            truncateAfter(entry.index() - 1);
            changesMembership = true; // the truncated entries may have held one
        }
        changesMembership = changesMembership || entry.has_membership();
        m_unwritten.push_back(entry);
        m_log->append(entry);
    }
    if (changesMembership) {
        refreshMembership();
    }
}

void Replica::rejectAppend(const pb::ReplicaMessage &message)
{
    const pb::AppendRequest &request = message.append_request();
    std::uint64_t hint = std::min(request.prev_index(), m_log->lastIndex() + 1);
    hint = hint == 0 ? 0 : hint - 1;
    if (m_log->covers(request.prev_index())) {
        // Skips the whole term that conflicts.
        const std::uint64_t conflict = m_log->termAt(request.prev_index());
        while (hint > m_commit && m_log->covers(hint) && m_log->termAt(hint) == conflict) {
            --hint;
        }
    }
    pb::ReplicaMessage message2 = messageTo(message.from());
    pb::AppendReply *reply = message2.mutable_append_reply();
    reply->set_index(std::max(hint, std::min(m_commit, m_durableIndex)));
    reply->set_rejected(request.prev_index());
    reply->set_round(request.round());
    send(std::move(message2));
}

void Replica::acknowledge(const std::string &leader, std::uint64_t match, std::uint64_t round, std::uint64_t afterSequence)
{
    pb::ReplicaMessage message = messageTo(leader);
    pb::AppendReply *reply = message.mutable_append_reply();
    reply->set_accepted(true);
    reply->set_index(match);
    reply->set_round(round);
    send(std::move(message), afterSequence);
}

void Replica::checkAppliedDigest(const pb::AppendRequest &request)
{
    const bool comparable = request.applied_index() > 0 && request.applied_index() <= m_applied && m_log->covers(request.applied_index());
    if (comparable) {
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
    progress.ackedRound = std::max(progress.ackedRound, reply.round());
    confirmReads();
    if (reply.accepted()) {
        checkInvariant(reply.index() <= m_log->lastIndex(), "a follower acknowledges only entries of the leader");
        if (reply.index() >= progress.match) {
            progress.match = reply.index();
            progress.next = std::max(progress.next, progress.match + 1);
            progress.probing = false;
        }
        advanceCommit();
    } else if (reply.rejected() > progress.match && reply.rejected() < progress.next) {
        progress.next = std::max(progress.match, std::min(reply.index(), reply.rejected() - 1)) + 1;
        progress.probing = true;
        replicateTo(message.from(), progress, true);
    }
    // Advancing the commit index may have ended the leadership.
    const auto current = m_progress.find(message.from());
    if (m_role == Role::Leader && current != m_progress.end()) {
        replicateTo(message.from(), current->second, false);
    }
    updateRedundancy();
}

void Replica::advanceCommit()
{
    std::vector<std::uint64_t> matches;
    for (const pb::Member &member : m_membership.members()) {
        if (!member.voter()) {
            continue;
        }
        const auto progress = m_progress.find(member.id());
        matches.push_back(member.id() == m_identity.id ? m_durableIndex : progress->second.match);
    }
    const std::size_t majority = majorityOf(m_membership);
    if (matches.size() < majority) {
        return;
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const std::uint64_t candidate = matches[majority - 1];
    // An entry of an earlier term commits only together with one of this term.
    if (candidate <= m_commit || m_log->termAt(candidate) != m_hardState.term) {
        return;
    }
    const bool isFirstOfTerm = m_commit < m_termStartIndex;
    m_commit = candidate;
    applyCommitted();
    confirmReads();
    if (isFirstOfTerm) {
        // Followers that have started with this term can apply and serve what they hold only now.
        broadcast(true);
    }
    if (m_membershipIndex <= m_commit && !isVoter(m_membership, m_identity.id)) {
        broadcast(true); // tells the others that the removal has committed
        stepDown();
    }
}

bool Replica::isCaughtUp(TimePoint now, const std::string &id) const
{
    if (m_role != Role::Leader) {
        return false;
    }
    if (id == m_identity.id) {
        return m_durableIndex >= m_commitAtHeartbeat;
    }
    const auto progress = m_progress.find(id);
    return progress != m_progress.end() && progress->second.match >= m_commitAtHeartbeat && now - progress->second.lastContact <= m_options.electionTimeout
        && progress->second.match > 0;
}

std::optional<TimePoint> Replica::lastContact(const std::string &id) const
{
    const auto progress = m_progress.find(id);
    return progress == m_progress.end() ? std::nullopt : std::optional(progress->second.lastContact);
}

bool Replica::toleratesVoterLoss() const
{
    if (m_role != Role::Leader || m_membershipIndex > m_commit || m_termStartIndex > m_commit) {
        return false;
    }
    return caughtUpVoters(m_membership) > majorityOf(m_membership);
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
    if (m_role != Role::Leader || toleratesVoterLoss() == m_toleratesLoss) {
        return;
    }
    m_toleratesLoss = !m_toleratesLoss;
    emit(RedundancyChanged{m_toleratesLoss});
}

}
