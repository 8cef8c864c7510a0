#include <jujubequay/consensus/replica.h>
#include <jujubequay/consensus/replica_log.h>

#include <jujubequay/core/invariant.h>

#include <algorithm>

namespace Jujubequay::Consensus {

namespace pb = jujubequay::pb;

void Replica::sendSnapshotChunk(const std::string &id, Progress &progress)
{
    if (progress.snapshotIndex != m_snapshot.index) {
        progress.snapshotIndex = m_snapshot.index;
        progress.snapshotOffset = 0;
    }
    const std::size_t size = std::min(m_options.snapshotChunkBytes, m_snapshot.state.size() - progress.snapshotOffset);
    pb::ReplicaMessage message = messageTo(id);
    pb::SnapshotChunk *chunk = message.mutable_snapshot_chunk();
    chunk->set_index(m_snapshot.index);
    chunk->set_term(m_snapshot.term);
    *chunk->mutable_membership() = m_snapshot.membership;
    chunk->set_applied_digest(m_snapshot.digest);
    chunk->set_size(m_snapshot.state.size());
    chunk->set_digest(m_snapshotStateDigest);
    chunk->set_offset(progress.snapshotOffset);
    chunk->set_data(m_snapshot.state.data() + progress.snapshotOffset, size);
    chunk->set_round(m_readRound);
    send(std::move(message));
}

void Replica::onSnapshotChunk(const pb::ReplicaMessage &message)
{
    const pb::SnapshotChunk &chunk = message.snapshot_chunk();
    if (message.term() < m_hardState.term) {
        return replySnapshot(message.from(), chunk.index(), 0, false, 0);
    }
    followLeader(message);
    if (chunk.size() > m_options.maxSnapshotBytes) {
        return;
    }
    const bool isInLog = m_log->covers(chunk.index()) && m_log->termAt(chunk.index()) == chunk.term();
    if (m_pendingInstall || chunk.index() <= m_commitIndex || isInLog) {
        if (!m_pendingInstall && chunk.index() > m_commitIndex) {
            m_commitIndex = chunk.index();
            applyCommitted();
        }
        const bool isDurable = !m_pendingInstall && chunk.index() <= m_durableIndex;
        return replySnapshot(message.from(), chunk.index(), chunk.size(), isDurable, chunk.round());
    }
    const bool isSameSnapshot
        = m_incomingSnapshot.index == chunk.index() && m_incomingSnapshot.term == chunk.term() && m_incomingSnapshot.digest == chunk.digest();
    if (!isSameSnapshot) {
        m_incomingSnapshot = {chunk.index(), chunk.term(), chunk.digest(), {}};
    }
    if (chunk.offset() == m_incomingSnapshot.state.size()) {
        m_incomingSnapshot.state.insert(m_incomingSnapshot.state.end(), chunk.data().begin(), chunk.data().end());
    }
    const bool isComplete = m_incomingSnapshot.state.size() == chunk.size();
    if (isComplete && digestOfState(m_incomingSnapshot.state) == chunk.digest()) {
        return installSnapshot(message);
    }
    if (isComplete || m_incomingSnapshot.state.size() > chunk.size()) {
        m_incomingSnapshot = {};
    }
    replySnapshot(message.from(), chunk.index(), m_incomingSnapshot.state.size(), false, chunk.round());
}

void Replica::installSnapshot(const pb::ReplicaMessage &message)
{
    const pb::SnapshotChunk &chunk = message.snapshot_chunk();
    Snapshot snapshot{chunk.index(), chunk.term(), chunk.applied_digest(), chunk.membership(), std::move(m_incomingSnapshot.state)};
    m_incomingSnapshot = {};
    emitPersist();
    m_pendingInstall = {++m_issuedSequence, snapshot};
    m_storageEffects.emplace_back(SaveSnapshot{m_issuedSequence, std::move(snapshot), m_hardState, {chunk.index(), chunk.term(), chunk.applied_digest()}, {}});
    replySnapshot(message.from(), chunk.index(), chunk.size(), true, chunk.round());
}

void Replica::finishInstall()
{
    if (!m_pendingInstall || m_pendingInstall->first > m_durableSequence) {
        return;
    }
    m_snapshot = std::move(m_pendingInstall->second);
    m_snapshotStateDigest = digestOfState(m_snapshot.state);
    m_pendingInstall.reset();
    checkInvariant(m_snapshot.index > m_commitIndex && m_snapshot.index > m_appliedIndex,
                   "an installed snapshot lies after the commit index and the applied index");
    m_log->reset({m_snapshot.index, m_snapshot.term, m_snapshot.digest});
    m_commitIndex = m_snapshot.index;
    m_appliedIndex = m_snapshot.index;
    m_durableIndex = m_snapshot.index;
    m_snapshotRequested = false;
    m_bytesSinceSnapshot = 0;
    refreshMembership();
    emit(RestoreState{m_snapshot.index, m_snapshot.state});
    emit(MembershipCommitted{m_snapshot.index, m_snapshot.membership});
    confirmForwardedReads();
}

void Replica::replySnapshot(const std::string &leader, std::uint64_t index, std::uint64_t offset, bool installed, std::uint64_t round)
{
    pb::ReplicaMessage message = messageTo(leader);
    pb::SnapshotReply *reply = message.mutable_snapshot_reply();
    reply->set_index(index);
    reply->set_next_offset(offset);
    reply->set_installed(installed);
    reply->set_round(round);
    send(std::move(message), installed && m_pendingInstall ? m_pendingInstall->first : 0);
}

void Replica::onSnapshotReply(const pb::ReplicaMessage &message)
{
    const auto found = m_progress.find(message.from());
    if (m_role != Role::Leader || message.term() != m_hardState.term || found == m_progress.end()) {
        return;
    }
    const pb::SnapshotReply &reply = message.snapshot_reply();
    Progress &progress = found->second;
    progress.lastContact = m_now;
    progress.lastMessageAt = m_now;
    progress.acknowledgedRound = std::max(progress.acknowledgedRound, reply.round());
    confirmReads();
    if (reply.installed()) {
        progress.matchIndex = std::max(progress.matchIndex, reply.index());
        progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
        progress.snapshotIndex = 0;
        progress.isProbing = true;
        replicateTo(message.from(), progress, true);
        advanceCommit();
    } else if (reply.index() == progress.snapshotIndex && reply.next_offset() != progress.snapshotOffset) {
        progress.snapshotOffset = std::min<std::uint64_t>(reply.next_offset(), m_snapshot.state.size());
        if (progress.snapshotIndex == m_snapshot.index && progress.snapshotOffset < m_snapshot.state.size()) {
            sendSnapshotChunk(message.from(), progress);
        }
    }
    updateRedundancy();
}

}
