#pragma once

#include <jujubequay/core/error.h>
#include <jujubequay/wire/framing.h>

#include <cstdint>
#include <filesystem>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace Jujubequay::Consensus {

/// A file that is open for appending. All functions fail with DiskFailed.
class AppendFile
{
public:
    virtual ~AppendFile() = default;
    virtual Result<void> append(std::span<const std::uint8_t> bytes) = 0;
    /// On return, everything appended so far is durable.
    virtual Result<void> sync() = 0;
};

/// The files of one data directory. All functions fail with DiskFailed.
class FileSystem
{
public:
    virtual ~FileSystem() = default;
    virtual Result<std::vector<std::string>> list() = 0;
    virtual Result<Bytes> read(const std::string &name) = 0;
    /// Creates an empty file, or truncates an existing one to zero bytes.
    virtual Result<std::unique_ptr<AppendFile>> create(const std::string &name) = 0;
    /// Opens an existing file for appending, after truncating it to `size` bytes.
    virtual Result<std::unique_ptr<AppendFile>> reopen(const std::string &name, std::size_t size) = 0;
    virtual Result<void> rename(const std::string &from, const std::string &to) = 0;
    virtual Result<void> remove(const std::string &name) = 0;
    /// On return, all creations, renames and removals of files so far are durable.
    virtual Result<void> syncDirectory() = 0;
};

/// Whether a directory is locked against use by a second process.
enum class DirectoryLock : std::uint8_t { Exclusive, None };

/// An existing directory of the operating system's file system.
class PosixFileSystem final : public FileSystem
{
public:
    /// Fails with DiskFailed if the directory cannot be opened or is locked by another process.
    static Result<std::unique_ptr<PosixFileSystem>> open(const std::filesystem::path &directory, DirectoryLock lock = DirectoryLock::Exclusive);
    ~PosixFileSystem() override;
    PosixFileSystem(const PosixFileSystem &) = delete;
    PosixFileSystem &operator=(const PosixFileSystem &) = delete;

    Result<std::vector<std::string>> list() override;
    Result<Bytes> read(const std::string &name) override;
    Result<std::unique_ptr<AppendFile>> create(const std::string &name) override;
    Result<std::unique_ptr<AppendFile>> reopen(const std::string &name, std::size_t size) override;
    Result<void> rename(const std::string &from, const std::string &to) override;
    Result<void> remove(const std::string &name) override;
    Result<void> syncDirectory() override;

private:
    PosixFileSystem(std::filesystem::path directory, int descriptor);

    const std::filesystem::path m_directory;
    const int m_descriptor;
};

}
