#include <jujubequay/consensus/replica.h>
#include <jujubequay/consensus/replica_log.h>

#include <jujubequay/core/invariant.h>

#include <algorithm>

namespace Jujubequay::Consensus {

namespace pb = jujubequay::pb;

void Replica::startPreVote()
{
    resetElectionTimer();
    if (!isVoter(m_membership, m_identity.id) || m_installing) {
        return;
    }
    m_role = Role::PreCandidate;
    m_leader.clear();
    m_heardLeader = false;
    m_votes = {m_identity.id};
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
    m_votes.clear(); // the own vote counts once it is durable
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
    if (m_role == Role::Candidate && m_hardStateSequence <= m_storedSequence) {
        m_votes.insert(m_identity.id);
    }
    const auto granted = std::count_if(m_votes.begin(), m_votes.end(), [this](const std::string &id) {
        return isVoter(m_membership, id);
    });
    if (static_cast<std::size_t>(granted) < majorityOf(m_membership)) {
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
    return m_heardLeader && m_now - m_lastLeaderContact < m_options.electionTimeout;
}

bool Replica::isUpToDate(const pb::VoteRequest &request) const
{
    return std::pair(request.last_term(), request.last_index()) >= std::pair(m_log->lastTerm(), m_log->lastIndex());
}

void Replica::onVoteRequest(const pb::ReplicaMessage &message)
{
    const pb::VoteRequest &request = message.vote_request();
    const bool current = request.pre_vote() ? message.term() > m_hardState.term : message.term() == m_hardState.term;
    const bool free = request.pre_vote() || m_hardState.votedFor.empty() || m_hardState.votedFor == message.from();
    const bool granted = current && free && isUpToDate(request);
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
    const Role wanted = reply.pre_vote() ? Role::PreCandidate : Role::Candidate;
    const std::uint64_t term = m_hardState.term + (reply.pre_vote() ? 1 : 0);
    if (m_role != wanted || message.term() != term || !reply.granted()) {
        return;
    }
    m_votes.insert(message.from());
    countVotes();
}

void Replica::becomeLeader()
{
    checkInvariant(m_hardState.votedFor == m_identity.id && m_hardStateSequence <= m_storedSequence, "a leader's own vote is durable");
    checkInvariant(m_termLeader.empty(), "one leader per term");
    m_role = Role::Leader;
    m_leader = m_identity.id;
    m_hasHadLeader = true;
    m_termLeader = m_identity.id;
    m_commitAtHeartbeat = m_commit;
    m_votes.clear();
    m_progress.clear();
    syncProgress();
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
    m_heardLeader = false;
    m_progress.clear();
    refuseReads(ResultCode::NoQuorum);
    for (const auto &[index, proposal] : std::exchange(m_proposals, {})) {
        emit(ProposalFailed{proposal.id, ResultCode::OutcomeUnknown, "leadership was lost before the entry committed", {}});
    }
    m_toleratesLoss = false;
    emit(LeadershipLost{m_hardState.term});
    resetElectionTimer();
}

bool Replica::hasQuorumContact() const
{
    std::size_t reached = 0;
    for (const pb::Member &member : m_membership.members()) {
        if (!member.voter()) {
            continue;
        }
        const auto progress = m_progress.find(member.id());
        const bool self = member.id() == m_identity.id;
        reached += self || (progress != m_progress.end() && m_now - progress->second.lastContact <= m_options.electionTimeout) ? 1 : 0;
    }
    return reached >= majorityOf(m_membership);
}

}
