#include <jujubequay/consensus/replica.h>

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
        // A random number, so that a late reply to a request from before a restart of this process matches no read.
        const std::uint64_t forwardedId = m_random();
        m_forwardedReads[forwardedId] = {id, now + 2 * m_options.electionTimeout, std::nullopt};
        pb::ReplicaMessage message = messageTo(m_leader);
        message.mutable_read_request()->set_id(forwardedId);
        send(std::move(message));
    }
    return takeEffects();
}

void Replica::addRead(PendingRead read)
{
    if (m_pendingReads.size() >= m_options.maxPendingReads) {
        return answerRead(read, ResultCode::NotRunOverloaded);
    }
    // Reads that arrive during a round wait for the next round and share it.
    const bool isRoundActive = !m_pendingReads.empty() && m_pendingReads.front().round != 0;
    m_pendingReads.push_back(std::move(read));
    if (!isRoundActive && startReadRound()) {
        broadcast(true);
        confirmReads();
    }
}

bool Replica::startReadRound()
{
    // Before an entry of its own term has committed, the commit index of a new leader may lie below that of its predecessors.
    const bool hasWaitingReads = !m_pendingReads.empty() && m_pendingReads.back().round == 0;
    if (!hasWaitingReads || m_termStartIndex > m_commitIndex) {
        return false;
    }
    ++m_readRound;
    for (PendingRead &read : m_pendingReads) {
        if (read.round == 0) {
            read.round = m_readRound;
            read.index = m_commitIndex;
        }
    }
    return true;
}

void Replica::confirmReads()
{
    do {
        const std::uint64_t confirmedRound = quorumReadRound();
        while (!m_pendingReads.empty() && m_pendingReads.front().round != 0 && m_pendingReads.front().round <= confirmedRound) {
            answerRead(m_pendingReads.front(), ResultCode::Ok);
            m_pendingReads.pop_front();
        }
        const bool isRoundActive = !m_pendingReads.empty() && m_pendingReads.front().round != 0;
        if (isRoundActive || !startReadRound()) {
            return;
        }
        broadcast(true);
    } while (true);
}

std::uint64_t Replica::quorumReadRound() const
{
    return agreedValue(m_termLostVoter, [this](const std::string &id) {
        const auto progress = m_progress.find(id);
        const std::uint64_t acknowledged = progress == m_progress.end() ? 0 : progress->second.acknowledgedRound;
        return id == m_identity.id ? m_readRound : acknowledged;
    });
}

void Replica::refuseReads(ResultCode code)
{
    for (const PendingRead &read : std::exchange(m_pendingReads, {})) {
        answerRead(read, code);
    }
}

void Replica::answerRead(const PendingRead &read, ResultCode code)
{
    if (!read.requester.empty()) {
        pb::ReplicaMessage message = messageTo(read.requester);
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
    confirmForwardedReads();
}

void Replica::confirmForwardedReads()
{
    std::erase_if(m_forwardedReads, [this](const auto &entry) {
        const ForwardedRead &read = entry.second;
        const bool isApplied = read.index && *read.index <= m_appliedIndex;
        if (isApplied) {
            emit(ReadConfirmed{read.id, *read.index});
        }
        return isApplied;
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
