#pragma once

#include <jujubequay/core/error.h>
#include <jujubequay/wire/framing.h>

#include <consensus.pb.h>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace Jujubequay::Consensus {

/// Names one initialised disk. A disk that was lost or replaced gets a new one, so the voter that it was never returns.
struct DiskIdentity {
    std::string id; ///< 32 hexadecimal digits, random
    std::string host; ///< host that the disk was initialised on
};

/// Term, vote and commit index. Term and vote are durable before any message depends on them.
struct HardState {
    std::uint64_t term = 0;
    std::string votedFor; ///< disk identity; empty if no vote was given in this term
    std::uint64_t commit = 0; ///< entries up to here are known to be committed; written some time after they are
    bool operator==(const HardState &) const = default;
};

/// The position before the first entry of a log.
struct LogBase {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::uint64_t digest = 0; ///< digest chain up to and including index
};

/// Applied state up to an index, with the membership at that index.
struct Snapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::uint64_t digest = 0; ///< digest chain up to and including index
    jujubequay::pb::Membership membership;
    Bytes state; ///< opaque to this module
};

/// Everything that a disk holds.
struct StoredState {
    DiskIdentity identity;
    HardState hardState;
    Snapshot snapshot;
    LogBase base;
    std::vector<jujubequay::pb::LogEntry> entries; ///< entries after base, without gaps
};

/// Durable storage of one replica. After an error other than from `load`, the storage must not be used again and the
/// process must stop: what reached the disk is unknown.
class LogStorage
{
public:
    virtual ~LogStorage() = default;

    /// Reads everything; call once, before any other function. Fails with DiskDamaged, DiskIdentityMismatch or DiskFailed.
    virtual Result<StoredState> load() = 0;
    /// Adds entries; stored entries with the same or a higher index are superseded. Durable after `sync`.
    virtual Result<void> append(std::span<const jujubequay::pb::LogEntry> entries) = 0;
    /// Replaces term and vote. Durable after `sync`.
    virtual Result<void> saveHardState(const HardState &state) = 0;
    virtual Result<void> sync() = 0;
    /// Replaces the snapshot and the whole log. Durable on return; a crash in between leaves the old or the new state.
    virtual Result<void> saveSnapshot(const Snapshot &snapshot, const HardState &state, const LogBase &base, std::span<const jujubequay::pb::LogEntry> entries)
        = 0;
};

}
