#include "soak/child_process.h"

#include <fmt/format.h>

#include <cerrno>
#include <csignal>
#include <system_error>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace Jujubequay::Soak {

Result<ChildProcess> ChildProcess::start(const std::vector<std::string> &arguments, const std::filesystem::path &output)
{
    std::vector<char *> pointers;
    pointers.reserve(arguments.size() + 1);
    for (const std::string &argument : arguments) {
        pointers.push_back(const_cast<char *>(argument.c_str()));
    }
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // The child must not inherit sockets of the soak: they would keep addresses bound that the soak binds again.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    pid_t pid = 0;
    const int error = posix_spawn(&pid, pointers[0], &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        return fail(ResultCode::BadCommandLine, fmt::format("{}: {}", arguments.front(), std::generic_category().message(error)));
    }
    return ChildProcess(pid);
}

ChildProcess::ChildProcess(pid_t pid)
    : m_pid(pid)
{
}

ChildProcess::~ChildProcess()
{
    kill();
}

ChildProcess::ChildProcess(ChildProcess &&other) noexcept
    : m_pid(std::exchange(other.m_pid, 0))
    , m_hasSucceeded(other.m_hasSucceeded)
{
}

ChildProcess &ChildProcess::operator=(ChildProcess &&other) noexcept
{
    if (this != &other) {
        kill();
        m_pid = std::exchange(other.m_pid, 0);
        m_hasSucceeded = other.m_hasSucceeded;
    }
    return *this;
}

void ChildProcess::signal(int number)
{
    if (m_pid != 0) {
        ::kill(m_pid, number);
    }
}

bool ChildProcess::hasEnded()
{
    int status = 0;
    if (m_pid != 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_pid = 0;
        m_hasSucceeded = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    }
    return m_pid == 0;
}

bool ChildProcess::hasSucceeded() const
{
    return m_hasSucceeded;
}

void ChildProcess::kill()
{
    if (m_pid != 0) {
        ::kill(m_pid, SIGKILL);
        while (waitpid(m_pid, nullptr, 0) == -1 && errno == EINTR) { }
        m_pid = 0;
    }
}

}
