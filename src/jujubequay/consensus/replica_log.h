#pragma once

#include <jujubequay/consensus/log_storage.h>

#include <consensus.pb.h>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace Jujubequay::Consensus {

/// Digest chain: covers the entry and, through the previous digest, everything before it.
std::uint64_t chainDigest(std::uint64_t previous, const jujubequay::pb::LogEntry &entry);

/// Digest of a snapshot's state.
std::uint64_t digestOfState(const Bytes &state);

/// The entries of one replica in memory, with the digest chain at each of them.
class ReplicaLog
{
public:
    ReplicaLog(const LogBase &base, std::vector<jujubequay::pb::LogEntry> entries);

    std::uint64_t firstIndex() const;
    std::uint64_t lastIndex() const;
    std::uint64_t lastTerm() const;
    const LogBase &base() const;
    /// True for the base and every entry after it.
    bool covers(std::uint64_t index) const;
    /// Term and digest chain at an index that is covered.
    LogBase positionAt(std::uint64_t index) const;
    std::uint64_t termAt(std::uint64_t index) const;
    const jujubequay::pb::LogEntry &entryAt(std::uint64_t index) const;
    /// Entries from `first` up to the last that fits into `maxBytes`; at least one if there is any.
    std::vector<jujubequay::pb::LogEntry> entriesFrom(std::uint64_t first, std::size_t maxBytes) const;
    std::vector<jujubequay::pb::LogEntry> entriesAfter(std::uint64_t index) const;

    /// The entry's index follows the last one.
    void append(jujubequay::pb::LogEntry entry);
    /// Drops all entries after `lastKept`.
    void truncateAfter(std::uint64_t lastKept);
    /// Drops all entries up to `index`, which becomes the base.
    void compactTo(std::uint64_t index);
    /// Drops everything.
    void reset(const LogBase &base);

private:
    LogBase m_base;
    std::vector<jujubequay::pb::LogEntry> m_entries;
    std::vector<std::uint64_t> m_digests;
};

}
