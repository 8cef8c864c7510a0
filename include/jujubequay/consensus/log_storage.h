#pragma once

#include <jujubequay/core/error.h>
#include <jujubequay/wire/framing.h>

#include <consensus.pb.h>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace Jujubequay::Consensus {

/// Identifies one initialised disk. The replacement of a lost disk gets a new identity: the log and the votes of the old disk are lost, so the
/// replacement must not count as the same voter.
struct DiskIdentity {
    std::string id; ///< 32 random hexadecimal digits
    std::string host; ///< host on which the disk was initialised
};

/// Term, vote and commit index. Term and vote are durable before any message depends on them.
struct HardState {
    std::uint64_t term = 0;
    std::string votedFor; ///< disk identity; empty if no vote was given in this term
    std::uint64_t commit = 0; ///< commit index; written after the commit itself, so it may lag
    bool operator==(const HardState &) const = default;
};

/// Position of the last entry before the first entry of a log; all 0 if the log starts at entry 1.
struct LogBase {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::uint64_t digest = 0; ///< chained digest of all entries up to and including `index`
};

/// The applied state and the membership at an index.
struct Snapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::uint64_t digest = 0; ///< chained digest of all entries up to and including `index`
    jujubequay::pb::Membership membership;
    Bytes state; ///< serialized by the application, opaque to this module
};

/// Everything that is stored on a disk.
struct StoredState {
    DiskIdentity identity;
    HardState hardState;
    Snapshot snapshot;
    LogBase base;
    std::vector<jujubequay::pb::LogEntry> entries; ///< entries after `base`, without gaps
};

/// Durable storage of one replica. After an error from any function but `load`, it is unknown which data reached the disk: the storage must not be
/// used again and the process must stop.
class LogStorage
{
public:
    virtual ~LogStorage() = default;

    /// Reads the whole storage. Call once, before any other function. Fails with DiskDamaged, DiskIdentityMismatch or DiskFailed.
    virtual Result<StoredState> load() = 0;
    /// Appends entries and supersedes stored entries with the same or a higher index. Durable after `sync`.
    virtual Result<void> append(std::span<const jujubequay::pb::LogEntry> entries) = 0;
    /// Replaces term, vote and commit index. Durable after `sync`.
    virtual Result<void> saveHardState(const HardState &state) = 0;
    virtual Result<void> sync() = 0;
    /// Replaces the snapshot and the whole log. Durable on return; after a crash during the call, `load` returns the old or the new state.
    virtual Result<void> saveSnapshot(const Snapshot &snapshot, const HardState &state, const LogBase &base, std::span<const jujubequay::pb::LogEntry> entries)
        = 0;
};

}
