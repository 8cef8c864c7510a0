#pragma once

#include <jujubequay/consensus/file_system.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Jujubequay::Consensus {

/// A directory in memory that can lose data that was not synced.
///
///     FakeDisk disk(random);
///     disk.stopAfter(3); // the third write, sync or change of a file name fails, like all later ones
///     disk.crash(); // from now on, the disk has the state that a restarted process finds
class FakeDisk final : public FileSystem
{
public:
    explicit FakeDisk(std::mt19937_64 &random);

    Result<std::vector<std::string>> list() override;
    Result<Bytes> read(const std::string &name) override;
    Result<std::unique_ptr<AppendFile>> create(const std::string &name) override;
    Result<std::unique_ptr<AppendFile>> reopen(const std::string &name, std::size_t size) override;
    Result<void> rename(const std::string &from, const std::string &to) override;
    Result<void> remove(const std::string &name) override;
    Result<void> syncDirectory() override;

    /// Makes the given operation, counted from now, and all later ones fail; 0 for never. At random, the failing operation takes effect or not.
    void stopAfter(std::uint64_t operations);
    /// Simulates a power failure: a random part of the data that was not synced is lost. The disk works again afterwards.
    void crash();
    /// Replaces the content of a file, or creates it; the new content is synced.
    void setContent(const std::string &name, Bytes content);
    /// A disk that contains only the data that has been synced.
    std::unique_ptr<FakeDisk> durableCopy(std::mt19937_64 &random) const;
    /// Number of writes, syncs and changes of file names so far.
    std::uint64_t operations() const;
    std::uint64_t bytesRead() const;

private:
    friend class FakeAppendFile;

    struct File {
        Bytes durableContent; // content at the last sync
        Bytes content;
    };

    using Names = std::map<std::string, std::shared_ptr<File>>;

    /// Result of an operation; CompletedThenStopped took effect but reports an error.
    enum class Outcome : std::uint8_t { Completed, CompletedThenStopped, Stopped };

    Outcome nextOperation();
    Result<void> updateNames(const Names &names);
    Result<std::shared_ptr<File>> find(const std::string &name) const;
    void dropUnsynced(File &file);

    std::mt19937_64 &m_random;
    Names m_names;
    std::vector<Names> m_previousNames; // earlier directory states since the last directory sync, oldest first
    std::uint64_t m_operations = 0;
    std::uint64_t m_stopAtOperation = 0;
    bool m_isStopped = false;
    std::uint64_t m_bytesRead = 0;
};

}
