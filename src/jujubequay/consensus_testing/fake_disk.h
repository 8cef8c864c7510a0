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

/// A directory in memory that can lose what was not synced.
///
///     FakeDisk disk(random);
///     disk.killAfter(3); // the third write, sync or change of a name fails halfway, and every one after it
///     disk.crash(); // what a restarted process finds
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

    /// Stops the disk in the middle of the given operation, counted from now; 0 for never.
    void killAfter(std::uint64_t operations);
    /// The process ends and the power fails: a random part of what was not synced is lost.
    void crash();
    /// Replaces the content of one file; synced.
    void setContent(const std::string &name, Bytes content);
    /// Only what has been synced.
    std::unique_ptr<FakeDisk> durableCopy(std::mt19937_64 &random) const;
    std::uint64_t operations() const;
    std::uint64_t bytesRead() const;

private:
    friend class FakeAppendFile;

    struct File {
        Bytes durable;
        Bytes content;
    };

    using Names = std::map<std::string, std::shared_ptr<File>>;

    enum class Outcome : std::uint8_t { Done, DoneThenKilled, Killed };

    Outcome nextOperation();
    Result<void> changeNames(const Names &names);
    Result<std::shared_ptr<File>> find(const std::string &name) const;
    void loseUnsynced(File &file);

    std::mt19937_64 &m_random;
    Names m_names;
    std::vector<Names> m_nameHistory; // directory states since the last sync, oldest first
    std::uint64_t m_operations = 0;
    std::uint64_t m_killAt = 0;
    bool m_dead = false;
    std::uint64_t m_bytesRead = 0;
};

}
