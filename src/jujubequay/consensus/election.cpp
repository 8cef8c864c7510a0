#include <jujubequay/consensus/replica.h>
#include <jujubequay/consensus/replica_log.h>

#include <jujubequay/core/invariant.h>

#include <algorithm>

namespace Jujubequay::Consensus {

namespace pb = jujubequay::pb;

void Replica::startPreVote()
{
    resetElectionTimer();
    if (!isVoter(m_membership, m_identity.id) || m_pendingInstall) {
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
    m_grantedVotes.clear(); // this replica's own vote counts once it is durable
    requestVotes(false);
}

void Replica::requestVotes(bool preVote)
{
    for (const pb::Member &member : m_membership.members()) {
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
    const auto granted = std::count_if(m_grantedVotes.begin(), m_grantedVotes.end(), [this](const std::string &id) {
        return isVoter(m_membership, id);
    });
    if (static_cast<std::size_t>(granted) < majoritySize(m_membership)) {
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
    std::size_t votersInContact = 0;
    for (const pb::Member &member : m_membership.members()) {
        if (!member.voter()) {
            continue;
        }
        const auto progress = m_progress.find(member.id());
        const bool isSelf = member.id() == m_identity.id;
        votersInContact += isSelf || (progress != m_progress.end() && m_now - progress->second.lastContact <= m_options.electionTimeout) ? 1 : 0;
    }
    return votersInContact >= majoritySize(m_membership);
}

}
