#pragma once

#include <jujubequay/wire/framing.h>

#include <consensus.pb.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Jujubequay::Consensus {

/// What all replicas of a run have done so far; stops the process when two of them contradict each other.
class SafetyChecker
{
public:
    /// An entry that some replica applies as its next one.
    void applied(const jujubequay::pb::LogEntry &entry);
    /// Digest of all entries up to an index that some replica has applied.
    std::uint64_t digestAt(std::uint64_t index) const;
    std::uint64_t lastIndex() const;
    void acknowledged(const std::string &command, std::uint64_t index);
    std::uint64_t lastAcknowledged() const;
    std::size_t acknowledgedCount() const;
    void leads(const std::string &id, std::uint64_t term);
    void diskLost(const std::string &id);
    bool isLost(const std::string &id) const;
    /// Checks votes, and that a lost disk is never heard again.
    void sent(const jujubequay::pb::ReplicaMessage &message);

private:
    std::vector<std::string> m_history; // serialized entries, from index 1
    std::vector<std::uint64_t> m_digests;
    std::map<std::uint64_t, std::string> m_leaders;
    std::map<std::pair<std::string, std::uint64_t>, std::string> m_votes;
    std::set<std::string> m_lost;
    std::uint64_t m_lastAcknowledged = 0;
    std::size_t m_acknowledgedCount = 0;
};

}
