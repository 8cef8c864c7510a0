#include <jujubequay/consensus/replica_log.h>

#include <jujubequay/core/invariant.h>

#include <xxhash.h>

namespace Jujubequay::Consensus {

namespace pb = jujubequay::pb;

std::uint64_t chainDigest(std::uint64_t previous, const pb::LogEntry &entry)
{
    const std::string bytes = entry.SerializeAsString();
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), previous);
}

std::uint64_t digestOfState(const Bytes &state)
{
    return XXH3_64bits(state.data(), state.size());
}

ReplicaLog::ReplicaLog(const LogBase &base, std::vector<pb::LogEntry> entries)
    : m_base(base)
{
    for (pb::LogEntry &entry : entries) {
        append(std::move(entry));
    }
}

std::uint64_t ReplicaLog::firstIndex() const
{
    return m_base.index + 1;
}

std::uint64_t ReplicaLog::lastIndex() const
{
    return m_base.index + m_entries.size();
}

std::uint64_t ReplicaLog::lastTerm() const
{
    return m_entries.empty() ? m_base.term : m_entries.back().term();
}

const LogBase &ReplicaLog::base() const
{
    return m_base;
}

bool ReplicaLog::covers(std::uint64_t index) const
{
    return index >= m_base.index && index <= lastIndex();
}

LogBase ReplicaLog::positionAt(std::uint64_t index) const
{
    checkInvariant(covers(index), "a log position lies between the base and the last entry");
    if (index == m_base.index) {
        return m_base;
    }
    const std::size_t slot = index - firstIndex();
    return {index, m_entries[slot].term(), m_digests[slot]};
}

std::uint64_t ReplicaLog::termAt(std::uint64_t index) const
{
    return positionAt(index).term;
}

const pb::LogEntry &ReplicaLog::entryAt(std::uint64_t index) const
{
    checkInvariant(covers(index) && index != m_base.index, "a log entry lies after the base, up to the last entry");
    return m_entries[index - firstIndex()];
}

std::vector<pb::LogEntry> ReplicaLog::entriesFrom(std::uint64_t first, std::size_t maxBytes) const
{
    std::vector<pb::LogEntry> entries;
    std::size_t bytes = 0;
    for (std::uint64_t index = first; index <= lastIndex(); ++index) {
        const pb::LogEntry &entry = entryAt(index);
        bytes += entry.ByteSizeLong();
        if (!entries.empty() && bytes > maxBytes) {
            break;
        }
        entries.push_back(entry);
    }
    return entries;
}

std::vector<pb::LogEntry> ReplicaLog::entriesAfter(std::uint64_t index) const
{
    return {m_entries.begin() + static_cast<std::ptrdiff_t>(index - m_base.index), m_entries.end()};
}

void ReplicaLog::append(pb::LogEntry entry)
{
    checkInvariant(entry.index() == lastIndex() + 1, "there are no gaps between log entries");
    checkInvariant(entry.term() >= lastTerm(), "terms do not decrease along the log");
    const std::uint64_t previous = m_digests.empty() ? m_base.digest : m_digests.back();
    m_digests.push_back(chainDigest(previous, entry));
    m_entries.push_back(std::move(entry));
}

void ReplicaLog::truncateAfter(std::uint64_t lastKept)
{
    checkInvariant(covers(lastKept), "a log is truncated after its base or one of its entries");
    const std::size_t keptCount = lastKept - m_base.index;
    m_entries.resize(keptCount);
    m_digests.resize(keptCount);
}

void ReplicaLog::compactTo(std::uint64_t index)
{
    const LogBase base = positionAt(index);
    const auto removedCount = static_cast<std::ptrdiff_t>(index - m_base.index);
    m_entries.erase(m_entries.begin(), m_entries.begin() + removedCount);
    m_digests.erase(m_digests.begin(), m_digests.begin() + removedCount);
    m_base = base;
}

void ReplicaLog::reset(const LogBase &base)
{
    m_base = base;
    m_entries.clear();
    m_digests.clear();
}

}
