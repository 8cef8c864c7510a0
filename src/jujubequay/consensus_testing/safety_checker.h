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

/// Checks the safety invariants of the replicated log over all replicas of a run, and aborts the process if one is violated.
class SafetyChecker
{
public:
    /// Call for each entry that a replica applies. Checks that all replicas apply the same entries.
    void checkApplied(const jujubequay::pb::LogEntry &entry);
    /// Chained digest of all entries up to and including `index`, which must be an applied index.
    std::uint64_t digestAt(std::uint64_t index) const;
    /// Highest index that a replica has applied.
    std::uint64_t lastIndex() const;
    /// Call for each acknowledged proposal. Checks that its command, if not empty, is the applied entry at `index`.
    void checkAcknowledged(const std::string &command, std::uint64_t index);
    /// Highest index of an acknowledged proposal.
    std::uint64_t lastAcknowledged() const;
    std::size_t acknowledgedCount() const;
    /// Call for each replica that becomes leader. Checks that a term has at most one leader.
    void checkLeader(const std::string &id, std::uint64_t term);
    /// Call when a disk is lost or damaged.
    void recordLostDisk(const std::string &id);
    bool isDiskLost(const std::string &id) const;
    /// Call for each message that a replica sends. Checks that it votes once per term and that no replica uses the identity of a lost disk.
    void checkSent(const jujubequay::pb::ReplicaMessage &message);

private:
    std::vector<std::string> m_entries; // serialized applied entries, starting with index 1
    std::vector<std::uint64_t> m_digests; // chained digest at each entry
    std::map<std::uint64_t, std::string> m_leaderOfTerm;
    std::map<std::pair<std::string, std::uint64_t>, std::string> m_votes; // by voter and term: disk identity of the candidate
    std::set<std::string> m_lostDisks;
    std::uint64_t m_lastAcknowledged = 0;
    std::size_t m_acknowledgedCount = 0;
};

}
