#pragma once

#include <jujubequay/consensus/file_system.h>
#include <jujubequay/consensus/log_storage.h>

#include <cstdint>
#include <memory>
#include <string>

namespace Jujubequay::Consensus {

/// A random identity for a disk that will be initialised: 32 hexadecimal digits.
std::string randomDiskIdentity();
/// A random number for a new cluster, never 0.
std::uint64_t randomClusterNumber();

struct InitialiseOptions {
    DiskIdentity identity;
    /// The members of a new cluster; empty for a host that joins an existing cluster as a learner.
    jujubequay::pb::Membership initialMembership;
};

/// Writes the identity and an empty log into an empty data directory. Fails with DiskIdentityMismatch if the directory contains data of a replica,
/// and with DiskFailed if an operation on the disk fails.
Result<void> initialiseDisk(FileSystem &files, const InitialiseOptions &options);

/// Stores one replica in the files `identity`, one `snapshot-N` and one `log-N`. The log file contains records of entries, terms and votes with
/// checksums and is only appended to; a new snapshot replaces both files. A new file is written under a temporary name, synced and renamed, and
/// then the directory is synced.
class DiskLogStorage final : public LogStorage
{
public:
    /// `host` must be the host on which the disk was initialised. `files` must outlive the storage.
    DiskLogStorage(FileSystem &files, std::string host);

    /// Fails with DiskIdentityMismatch if the disk was not initialised or belongs to another host, and with DiskDamaged if data that may have been
    /// acknowledged is missing or altered.
    Result<StoredState> load() override;
    Result<void> append(std::span<const jujubequay::pb::LogEntry> entries) override;
    Result<void> saveHardState(const HardState &state) override;
    Result<void> sync() override;
    Result<void> saveSnapshot(const Snapshot &snapshot,
                              const HardState &state,
                              const LogBase &base,
                              std::span<const jujubequay::pb::LogEntry> entries) override;

private:
    Result<DiskIdentity> loadIdentity();
    Result<Snapshot> loadSnapshot(const std::vector<std::string> &names);
    Result<void> loadLog(const std::vector<std::string> &names, StoredState &state);
    Result<void> replaceLog(const HardState &state, const LogBase &base, std::span<const jujubequay::pb::LogEntry> entries);
    Result<void> removeSupersededFiles();
    Result<void> appendBytes(const Bytes &bytes);

    FileSystem &m_files;
    const std::string m_host;
    DiskIdentity m_identity;
    std::unique_ptr<AppendFile> m_log;
    std::uint64_t m_logNumber = 0;
    std::uint64_t m_snapshotIndex = 0;
    std::uint64_t m_baseIndex = 0;
    std::uint64_t m_lastIndex = 0;
    std::size_t m_logBytes = 0;
};

}
