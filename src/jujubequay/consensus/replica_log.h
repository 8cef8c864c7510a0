#pragma once

#include <jujubequay/consensus/log_storage.h>

#include <consensus.pb.h>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace Jujubequay::Consensus {

/// Chained digest: covers the entry and, through the digest of the previous entry, all entries before it.
std::uint64_t chainDigest(std::uint64_t previous, const jujubequay::pb::LogEntry &entry);

/// Digest of a snapshot's state.
std::uint64_t digestOfState(const Bytes &state);

/// The log entries of one replica in memory, with the chained digest at each entry.
class ReplicaLog
{
public:
    ReplicaLog(const LogBase &base, std::vector<jujubequay::pb::LogEntry> entries);

    std::uint64_t firstIndex() const;
    std::uint64_t lastIndex() const;
    std::uint64_t lastTerm() const;
    const LogBase &base() const;
    /// True if `index` is the base or one of the entries after it.
    bool covers(std::uint64_t index) const;
    /// Index, term and chained digest at an index for which `covers` is true.
    LogBase positionAt(std::uint64_t index) const;
    std::uint64_t termAt(std::uint64_t index) const;
    const jujubequay::pb::LogEntry &entryAt(std::uint64_t index) const;
    /// Entries from `first` on, as many as fit into `maxBytes`; at least one if there is an entry at `first`.
    std::vector<jujubequay::pb::LogEntry> entriesFrom(std::uint64_t first, std::size_t maxBytes) const;
    std::vector<jujubequay::pb::LogEntry> entriesAfter(std::uint64_t index) const;

    /// Appends an entry; its index must be `lastIndex() + 1`.
    void append(jujubequay::pb::LogEntry entry);
    /// Removes all entries after `lastKept`.
    void truncateAfter(std::uint64_t lastKept);
    /// Removes all entries up to and including `index`, which becomes the base.
    void compactTo(std::uint64_t index);
    /// Removes all entries and starts again after `base`.
    void reset(const LogBase &base);

private:
    LogBase m_base;
    std::vector<jujubequay::pb::LogEntry> m_entries;
    std::vector<std::uint64_t> m_digests; // chained digest at each entry of m_entries
};

}
