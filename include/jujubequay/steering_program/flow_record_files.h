#pragma once

#include <jujubequay/consensus/file_system.h>
#include <jujubequay/core/log.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>

namespace Jujubequay {

/// Saves flow records to two files in turn, so that one of them is whole after a loss of power. Writes on a thread of its own, since a disk
/// may be slow. Failures are logged; the records are then missing after a restart.
class FlowRecordFiles
{
public:
    FlowRecordFiles(std::filesystem::path directory, Logger &logger);
    ~FlowRecordFiles();
    FlowRecordFiles(const FlowRecordFiles &) = delete;
    FlowRecordFiles &operator=(const FlowRecordFiles &) = delete;

    /// Contents of the newest file that is whole; empty if there is none. Call it before the first `save`. Fails with DiskFailed.
    Result<std::string> load();
    /// Starts to write. Call it only while `isSaving` is false.
    void save(std::string contents);
    bool isSaving() const;

private:
    Result<void> open();
    /// Saved contents with their number; number 0 if the file does not exist or is not whole.
    struct Saved {
        std::uint64_t number = 0;
        std::string contents;
    };
    Result<Saved> read(const std::string &name);
    Result<void> write(const std::string &contents);

    const std::filesystem::path m_directory;
    Logger &m_logger;
    std::unique_ptr<Consensus::FileSystem> m_files;
    std::uint64_t m_nextNumber = 1; ///< number of the next save
    std::atomic<bool> m_isSaving = false;
    asio::io_context m_context{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

}
