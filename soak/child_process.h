#pragma once

#include <jujubequay/core/error.h>

#include <filesystem>
#include <string>
#include <vector>

#include <sys/types.h>

namespace Jujubequay::Soak {

/// A program as a child process. The destructor kills it.
class ChildProcess
{
public:
    /// Starts the program. Its output is appended to the given file. Fails with BadCommandLine if the program cannot be started.
    static Result<ChildProcess> start(const std::vector<std::string> &arguments, const std::filesystem::path &output);

    ~ChildProcess();
    ChildProcess(ChildProcess &&other) noexcept;
    ChildProcess &operator=(ChildProcess &&other) noexcept;

    /// Sends a signal. Has no effect after the process has been reaped.
    void signal(int number);
    /// Returns true if the process has ended, and reaps it.
    bool hasEnded();
    /// True if the process has ended by itself with exit status 0, and was reaped by `hasEnded`.
    bool hasSucceeded() const;
    /// Sends SIGKILL and waits for the end of the process.
    void kill();

private:
    explicit ChildProcess(pid_t pid);

    pid_t m_pid = 0; ///< 0 after the process has been reaped
    bool m_hasSucceeded = false;
};

}
