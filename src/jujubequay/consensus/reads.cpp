#include <jujubequay/consensus/replica.h>

#include <algorithm>
#include <functional>

namespace Jujubequay::Consensus {

namespace pb = jujubequay::pb;

Effects Replica::confirmRead(TimePoint now, ReadId id)
{
    m_now = now;
    if (m_role == Role::Leader) {
        addRead({id, {}, 0, 0, 0});
    } else if (m_leader.empty()) {
        emit(ReadRefused{id, ResultCode::NoQuorum});
    } else if (m_forwardedReads.size() >= m_options.maxPendingReads) {
        emit(ReadRefused{id, ResultCode::NotRunOverloaded});
    } else {
        // Random, so that an answer to a request of an earlier start of this process matches nothing.
        const std::uint64_t forwardedId = m_random();
        m_forwardedReads[forwardedId] = {id, now + 2 * m_options.electionTimeout, std::nullopt};
        pb::ReplicaMessage message = messageTo(m_leader);
        message.mutable_read_request()->set_id(forwardedId);
        send(std::move(message));
    }
    return finish();
}

void Replica::addRead(PendingRead read)
{
    if (m_reads.size() >= m_options.maxPendingReads) {
        return answerRead(read, ResultCode::NotRunOverloaded);
    }
    // Reads that arrive while a round is under way wait for the next one and share it.
    const bool roundUnderWay = !m_reads.empty() && m_reads.front().round != 0;
    m_reads.push_back(std::move(read));
    if (!roundUnderWay && startReadRound()) {
        broadcast(true);
        confirmReads();
    }
}

bool Replica::startReadRound()
{
    // Until an entry of its own term has committed, a leader does not know how far its predecessors committed.
    const bool waiting = !m_reads.empty() && m_reads.back().round == 0;
    if (!waiting || m_termStartIndex > m_commit) {
        return false;
    }
    ++m_round;
    for (PendingRead &read : m_reads) {
        if (read.round == 0) {
            read.round = m_round;
            read.index = m_commit;
        }
    }
    return true;
}

void Replica::confirmReads()
{
    do {
        const std::uint64_t confirmed = quorumRound();
        while (!m_reads.empty() && m_reads.front().round != 0 && m_reads.front().round <= confirmed) {
            answerRead(m_reads.front(), ResultCode::Ok);
            m_reads.pop_front();
        }
        const bool roundUnderWay = !m_reads.empty() && m_reads.front().round != 0;
        if (roundUnderWay || !startReadRound()) {
            return;
        }
        broadcast(true);
    } while (true);
}

std::uint64_t Replica::quorumRound() const
{
    std::vector<std::uint64_t> rounds;
    for (const pb::Member &member : m_membership.members()) {
        if (member.voter()) {
            const auto progress = m_progress.find(member.id());
            rounds.push_back(progress == m_progress.end() ? 0 : progress->second.ackedRound);
            rounds.back() = member.id() == m_identity.id ? m_round : rounds.back();
        }
    }
    const std::size_t majority = majorityOf(m_membership);
    if (rounds.size() < majority) {
        return 0;
    }
    std::sort(rounds.begin(), rounds.end(), std::greater<>());
    return rounds[majority - 1];
}

void Replica::refuseReads(ResultCode code)
{
    for (const PendingRead &read : std::exchange(m_reads, {})) {
        answerRead(read, code);
    }
}

void Replica::answerRead(const PendingRead &read, ResultCode code)
{
    if (!read.from.empty()) {
        pb::ReplicaMessage message = messageTo(read.from);
        message.mutable_read_reply()->set_id(read.forwardedId);
        message.mutable_read_reply()->set_result(static_cast<std::uint32_t>(code));
        message.mutable_read_reply()->set_index(read.index);
        send(std::move(message));
    } else if (code == ResultCode::Ok) {
        emit(ReadConfirmed{read.id, read.index});
    } else {
        emit(ReadRefused{read.id, code});
    }
}

void Replica::onReadRequest(const pb::ReplicaMessage &message)
{
    const PendingRead read{{}, message.from(), message.read_request().id(), 0, 0};
    if (m_role == Role::Leader) {
        addRead(read);
    } else {
        answerRead(read, ResultCode::NotLeader);
    }
}

void Replica::onReadReply(const pb::ReplicaMessage &message)
{
    const pb::ReadReply &reply = message.read_reply();
    const auto found = m_forwardedReads.find(reply.id());
    if (found == m_forwardedReads.end()) {
        return;
    }
    const auto code = static_cast<ResultCode>(reply.result());
    if (code != ResultCode::Ok) {
        emit(ReadRefused{found->second.id, code});
        m_forwardedReads.erase(found);
        return;
    }
    found->second.index = reply.index();
    releaseForwardedReads();
}

void Replica::releaseForwardedReads()
{
    std::erase_if(m_forwardedReads, [this](const auto &entry) {
        const ForwardedRead &read = entry.second;
        const bool ready = read.index && *read.index <= m_applied;
        if (ready) {
            emit(ReadConfirmed{read.id, *read.index});
        }
        return ready;
    });
}

void Replica::expireForwardedReads()
{
    std::erase_if(m_forwardedReads, [this](const auto &entry) {
        const bool expired = entry.second.deadline <= m_now;
        if (expired) {
            emit(ReadRefused{entry.second.id, ResultCode::NoQuorum});
        }
        return expired;
    });
}

}
