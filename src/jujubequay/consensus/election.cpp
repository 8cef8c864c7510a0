#include <jujubequay/consensus/replica.h>
#include <jujubequay/consensus/replica_log.h>

#include <jujubequay/core/invariant.h>

namespace Jujubequay::Consensus {

namespace pb = jujubequay::pb;

void Replica::startPreVote()
{
    resetElectionTimer();
    if (!isActiveVoter(m_identity.id) || m_pendingInstall) {
        return;
    }
    m_role = Role::PreCandidate;
    m_leader.clear();
    m_hasLeaderContact = false;
    m_grantedVotes = {m_identity.id};
    requestVotes(true);
    countVotes();
}

void Replica::startElection()
{
    resetElectionTimer();
    m_role = Role::Candidate;
    m_leader.clear();
    setHardState(m_hardState.term + 1, m_identity.id);
    m_termLeader.clear();
    m_termLostVoter = knownLostVoter();
    m_grantedVotes.clear(); // this replica's own vote counts once it is durable
    requestVotes(false);
}

void Replica::requestVotes(bool preVote)
{
    const pb::Membership active = activeMembers();
    for (const pb::Member &member : active.members()) {
        if (!member.voter() || member.id() == m_identity.id) {
            continue;
        }
        pb::ReplicaMessage message = messageTo(member.id());
        message.set_term(m_hardState.term + (preVote ? 1 : 0));
        pb::VoteRequest *request = message.mutable_vote_request();
        request->set_pre_vote(preVote);
        request->set_last_index(m_log->lastIndex());
        request->set_last_term(m_log->lastTerm());
        send(std::move(message));
    }
}

void Replica::countVotes()
{
    if (m_role == Role::Candidate && m_hardStateSequence <= m_durableSequence) {
        m_grantedVotes.insert(m_identity.id);
    }
    const std::string lostVoter = m_role == Role::PreCandidate ? knownLostVoter() : m_termLostVoter;
    const bool isElected = agreedValue(lostVoter,
                                       [this](const std::string &id) {
                                           return m_grantedVotes.contains(id) ? 1 : 0;
                                       })
        > 0;
    if (!isElected) {
        return;
    }
    if (m_role == Role::PreCandidate) {
        startElection();
    } else if (m_role == Role::Candidate) {
        becomeLeader();
    }
}

bool Replica::hasRecentLeader() const
{
    if (m_role == Role::Leader) {
        return true;
    }
    return m_hasLeaderContact && m_now - m_lastLeaderContact < m_options.electionTimeout;
}

bool Replica::isUpToDate(const pb::VoteRequest &request) const
{
    return std::pair(request.last_term(), request.last_index()) >= std::pair(m_log->lastTerm(), m_log->lastIndex());
}

void Replica::onVoteRequest(const pb::ReplicaMessage &message)
{
    const pb::VoteRequest &request = message.vote_request();
    const bool hasExpectedTerm = request.pre_vote() ? message.term() > m_hardState.term : message.term() == m_hardState.term;
    const bool hasVoteLeft = request.pre_vote() || m_hardState.votedFor.empty() || m_hardState.votedFor == message.from();
    const bool granted = hasExpectedTerm && hasVoteLeft && isUpToDate(request);
    pb::ReplicaMessage reply = messageTo(message.from());
    reply.mutable_vote_reply()->set_pre_vote(request.pre_vote());
    reply.mutable_vote_reply()->set_granted(granted);
    if (granted && request.pre_vote()) {
        reply.set_term(message.term());
    }
    if (granted && !request.pre_vote()) {
        setHardState(m_hardState.term, message.from());
        resetElectionTimer();
    }
    send(std::move(reply));
}

void Replica::onVoteReply(const pb::ReplicaMessage &message)
{
    const pb::VoteReply &reply = message.vote_reply();
    const Role expectedRole = reply.pre_vote() ? Role::PreCandidate : Role::Candidate;
    const std::uint64_t term = m_hardState.term + (reply.pre_vote() ? 1 : 0);
    if (m_role != expectedRole || message.term() != term || !reply.granted()) {
        return;
    }
    m_grantedVotes.insert(message.from());
    countVotes();
}

void Replica::becomeLeader()
{
    checkInvariant(m_hardState.votedFor == m_identity.id && m_hardStateSequence <= m_durableSequence, "a leader's own vote is durable");
    checkInvariant(m_termLeader.empty(), "a term has at most one leader");
    m_role = Role::Leader;
    m_leader = m_identity.id;
    m_hasObservedLeader = true;
    m_termLeader = m_identity.id;
    m_commitIndexAtHeartbeat = m_commitIndex;
    m_grantedVotes.clear();
    m_progress.clear();
    updateProgressMembers();
    pb::LogEntry barrier;
    barrier.set_barrier(true);
    m_termStartIndex = m_log->lastIndex() + 1;
    appendLocally(std::move(barrier));
    emit(LeadershipGained{m_hardState.term});
    broadcast(true);
}

void Replica::stepDown()
{
    checkInvariant(m_role == Role::Leader, "only a leader steps down");
    m_role = Role::Follower;
    m_leader.clear();
    m_hasLeaderContact = false;
    m_progress.clear();
    refuseReads(ResultCode::NoQuorum);
    for (const auto &[index, proposal] : std::exchange(m_pendingProposals, {})) {
        emit(ProposalFailed{proposal.id, ResultCode::OutcomeUnknown, "leadership was lost before the entry committed", {}});
    }
    m_toleratesVoterLoss = false;
    emit(LeadershipLost{m_hardState.term});
    resetElectionTimer();
}

bool Replica::hasQuorumContact() const
{
    return agreedValue(m_termLostVoter,
                       [this](const std::string &id) {
                           const auto progress = m_progress.find(id);
                           const bool isInContact = progress != m_progress.end() && m_now - progress->second.lastContact <= m_options.electionTimeout;
                           return id == m_identity.id || isInContact ? 1 : 0;
                       })
        > 0;
}

// A vote request for another disk of this host shows its sender that the disk no longer exists. The request was sent after that disk was a member, and a host
// has one disk at a time.
void Replica::answerForLostDisk(const pb::ReplicaMessage &message)
{
    const bool isSameCluster = m_clusterNumber == 0 || message.cluster() == m_clusterNumber;
    if (!message.has_vote_request() || !isSameCluster || message.to().empty() || message.to() == m_identity.id || message.from() == m_identity.id) {
        return;
    }
    pb::ReplicaMessage reply = messageTo(message.from());
    reply.set_cluster(message.cluster());
    reply.set_term(0); // the term of this disk says nothing about the cluster
    reply.mutable_disk_replaced()->set_lost_id(message.to());
    reply.mutable_disk_replaced()->set_host(m_identity.host);
    send(std::move(reply));
}

void Replica::onDiskReplaced(const pb::ReplicaMessage &message)
{
    const pb::DiskReplaced &replaced = message.disk_replaced();
    const pb::Membership active = activeMembers();
    const pb::Member *member = findMember(active, replaced.lost_id());
    const bool isProof = member != nullptr && member->voter() && member->host() == replaced.host() && member->id() != m_identity.id;
    if (!isProof || !m_lostVoters.insert(member->id()).second) {
        return;
    }
    emit(VoterDiskLost{member->id(), member->host()});
    if (m_role == Role::PreCandidate) {
        countVotes();
    }
}

std::string Replica::knownLostVoter() const
{
    for (const pb::Membership *membership : quorumMemberships()) {
        for (const pb::Member &member : membership->members()) {
            if (voterCount(*membership) % 2 == 0 && member.voter() && m_lostVoters.contains(member.id())) {
                return member.id();
            }
        }
    }
    return {};
}

}
