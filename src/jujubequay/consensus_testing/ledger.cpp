#include <jujubequay/consensus_testing/ledger.h>

#include <jujubequay/core/invariant.h>

#include <algorithm>

#include <xxhash.h>

namespace Jujubequay::Consensus {

void Ledger::applied(const jujubequay::pb::LogEntry &entry)
{
    const std::string bytes = entry.SerializeAsString();
    if (entry.index() <= m_history.size()) {
        checkInvariant(m_history[entry.index() - 1] == bytes, "ledger: the same entries are applied everywhere");
        return;
    }
    checkInvariant(entry.index() == m_history.size() + 1, "ledger: entries are applied without gaps");
    m_history.push_back(bytes);
    m_digests.push_back(XXH3_64bits_withSeed(bytes.data(), bytes.size(), m_digests.empty() ? 0 : m_digests.back()));
}

std::uint64_t Ledger::digestAt(std::uint64_t index) const
{
    checkInvariant(index <= m_digests.size(), "ledger: a snapshot holds applied entries only");
    return index == 0 ? 0 : m_digests[index - 1];
}

std::uint64_t Ledger::lastIndex() const
{
    return m_history.size();
}

void Ledger::acknowledged(const std::string &command, std::uint64_t index)
{
    jujubequay::pb::LogEntry entry;
    checkInvariant(index <= m_history.size() && entry.ParseFromString(m_history[index - 1]), "ledger: an acknowledged proposal is applied");
    checkInvariant(command.empty() || entry.command() == command, "ledger: an acknowledged proposal is the entry at its index");
    m_lastAcknowledged = std::max(m_lastAcknowledged, index);
    ++m_acknowledgedCount;
}

std::uint64_t Ledger::lastAcknowledged() const
{
    return m_lastAcknowledged;
}

std::size_t Ledger::acknowledgedCount() const
{
    return m_acknowledgedCount;
}

void Ledger::leads(const std::string &id, std::uint64_t term)
{
    checkInvariant(m_leaders.try_emplace(term, id).first->second == id, "ledger: one leader per term");
}

void Ledger::diskLost(const std::string &id)
{
    m_lost.insert(id);
}

bool Ledger::isLost(const std::string &id) const
{
    return m_lost.contains(id);
}

void Ledger::sent(const jujubequay::pb::ReplicaMessage &message)
{
    checkInvariant(!isLost(message.from()), "ledger: a lost disk never speaks under its old identity");
    const bool vote = message.has_vote_reply() && message.vote_reply().granted() && !message.vote_reply().pre_vote();
    if (vote) {
        const auto key = std::pair(message.from(), message.term());
        checkInvariant(m_votes.try_emplace(key, message.to()).first->second == message.to(), "ledger: one vote per term");
    }
}

}
