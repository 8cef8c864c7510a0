#pragma once

#include <jujubequay/core/error.h>

#include <filesystem>
#include <string>
#include <vector>

#include <sys/types.h>

namespace Jujubequay::Soak {

/// One real program as a child process. It is killed when this object is destroyed.
class ChildProcess
{
public:
    /// Output is appended to the given file. Fails with BadCommandLine if the program cannot be started.
    static Result<ChildProcess> start(const std::vector<std::string> &arguments, const std::filesystem::path &output);

    ~ChildProcess();
    ChildProcess(ChildProcess &&other) noexcept;
    ChildProcess &operator=(ChildProcess &&other) noexcept;

    /// No effect once the process has ended.
    void signal(int number);
    /// True once the process has ended; its status is then reaped.
    bool hasEnded();
    /// Ends the process at once and waits for it.
    void kill();

private:
    explicit ChildProcess(pid_t pid);

    pid_t m_pid = 0; ///< 0 once it is reaped
};

}
