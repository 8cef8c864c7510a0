#include <jujubequay/consensus_testing/safety_checker.h>

#include <jujubequay/core/invariant.h>

#include <algorithm>

#include <xxhash.h>

namespace Jujubequay::Consensus {

void SafetyChecker::applied(const jujubequay::pb::LogEntry &entry)
{
    const std::string bytes = entry.SerializeAsString();
    if (entry.index() <= m_history.size()) {
        checkInvariant(m_history[entry.index() - 1] == bytes, "safety checker: the same entries are applied everywhere");
        return;
    }
    checkInvariant(entry.index() == m_history.size() + 1, "safety checker: entries are applied without gaps");
    m_history.push_back(bytes);
    m_digests.push_back(XXH3_64bits_withSeed(bytes.data(), bytes.size(), m_digests.empty() ? 0 : m_digests.back()));
}

std::uint64_t SafetyChecker::digestAt(std::uint64_t index) const
{
    checkInvariant(index <= m_digests.size(), "safety checker: a snapshot holds applied entries only");
    return index == 0 ? 0 : m_digests[index - 1];
}

std::uint64_t SafetyChecker::lastIndex() const
{
    return m_history.size();
}

void SafetyChecker::acknowledged(const std::string &command, std::uint64_t index)
{
    jujubequay::pb::LogEntry entry;
    checkInvariant(index <= m_history.size() && entry.ParseFromString(m_history[index - 1]), "safety checker: an acknowledged proposal is applied");
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

void SafetyChecker::leads(const std::string &id, std::uint64_t term)
{
    checkInvariant(m_leaders.try_emplace(term, id).first->second == id, "safety checker: one leader per term");
}

void SafetyChecker::diskLost(const std::string &id)
{
    m_lost.insert(id);
}

bool SafetyChecker::isLost(const std::string &id) const
{
    return m_lost.contains(id);
}

void SafetyChecker::sent(const jujubequay::pb::ReplicaMessage &message)
{
    checkInvariant(!isLost(message.from()), "safety checker: a lost disk never speaks under its old identity");
    const bool vote = message.has_vote_reply() && message.vote_reply().granted() && !message.vote_reply().pre_vote();
    if (vote) {
        const auto key = std::pair(message.from(), message.term());
        checkInvariant(m_votes.try_emplace(key, message.to()).first->second == message.to(), "safety checker: one vote per term");
    }
}

}
