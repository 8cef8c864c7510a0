#include <jujubequay/consensus_testing/safety_checker.h>

#include <jujubequay/core/invariant.h>

#include <algorithm>

#include <xxhash.h>

namespace Jujubequay::Consensus {

void SafetyChecker::checkApplied(const jujubequay::pb::LogEntry &entry)
{
    const std::string bytes = entry.SerializeAsString();
    if (entry.index() <= m_entries.size()) {
        checkInvariant(m_entries[entry.index() - 1] == bytes, "safety checker: all replicas apply the same entry at an index");
        return;
    }
    checkInvariant(entry.index() == m_entries.size() + 1, "safety checker: entries are applied without gaps");
    m_entries.push_back(bytes);
    m_digests.push_back(XXH3_64bits_withSeed(bytes.data(), bytes.size(), m_digests.empty() ? 0 : m_digests.back()));
}

std::uint64_t SafetyChecker::digestAt(std::uint64_t index) const
{
    checkInvariant(index <= m_digests.size(), "safety checker: a digest exists only for an applied entry");
    return index == 0 ? 0 : m_digests[index - 1];
}

std::uint64_t SafetyChecker::lastIndex() const
{
    return m_entries.size();
}

void SafetyChecker::checkAcknowledged(const std::string &command, std::uint64_t index)
{
    jujubequay::pb::LogEntry entry;
    checkInvariant(index <= m_entries.size() && entry.ParseFromString(m_entries[index - 1]), "safety checker: an acknowledged proposal has been applied");
    checkInvariant(command.empty() || entry.command() == command, "safety checker: an acknowledged proposal is the entry at its index");
    m_lastAcknowledged = std::max(m_lastAcknowledged, index);
    ++m_acknowledgedCount;
}

std::uint64_t SafetyChecker::lastAcknowledged() const
{
    return m_lastAcknowledged;
}

std::size_t SafetyChecker::acknowledgedCount() const
{
    return m_acknowledgedCount;
}

void SafetyChecker::checkLeader(const std::string &id, std::uint64_t term)
{
    checkInvariant(m_leaderOfTerm.try_emplace(term, id).first->second == id, "safety checker: a term has at most one leader");
}

void SafetyChecker::recordLostDisk(const std::string &id)
{
    m_lostDisks.insert(id);
}

bool SafetyChecker::isDiskLost(const std::string &id) const
{
    return m_lostDisks.contains(id);
}

void SafetyChecker::checkSent(const jujubequay::pb::ReplicaMessage &message)
{
    checkInvariant(!isDiskLost(message.from()), "safety checker: no replica uses the identity of a lost disk");
    const bool isVote = message.has_vote_reply() && message.vote_reply().granted() && !message.vote_reply().pre_vote();
    if (isVote) {
        const auto key = std::pair(message.from(), message.term());
        checkInvariant(m_votes.try_emplace(key, message.to()).first->second == message.to(), "safety checker: a replica votes at most once per term");
    }
}

}
