#include <jujubequay/net/key_file.h>

#include <fmt/format.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace Jujubequay {

namespace {

boost::leaf::error_id errnoFailure(const std::filesystem::path &path)
{
    return fail(ResultCode::BadKeyFile, fmt::format("{}: {}", path.string(), std::strerror(errno)));
}

bool writeAll(int file, std::string_view content)
{
    while (!content.empty()) {
        const ssize_t written = ::write(file, content.data(), content.size());
        if (written < 0) {
            return false;
        }
        content.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

}

Result<void> checkKeyFile(const std::filesystem::path &path)
{
    struct stat status {
    };
    if (::stat(path.c_str(), &status) != 0) {
        return errnoFailure(path);
    }
    if (!S_ISREG(status.st_mode)) {
        return fail(ResultCode::BadKeyFile, fmt::format("{}: not a regular file", path.string()));
    }
    constexpr mode_t forbiddenModeBits = 0177;
    if ((status.st_mode & forbiddenModeBits) != 0) {
        return fail(ResultCode::BadKeyFile, fmt::format("{}: mode is {:04o}, expected 0600", path.string(), status.st_mode & 07777U));
    }
    return {};
}

Result<std::string> readKeyFile(const std::filesystem::path &path)
{
    BOOST_LEAF_CHECK(checkKeyFile(path));
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    content << file.rdbuf();
    if (!file) {
        return errnoFailure(path);
    }
    return content.str();
}

Result<void> writeKeyFile(const std::filesystem::path &path, std::string_view content)
{
    // O_EXCL: an existing key is never overwritten, and the mode of an existing file is never used.
    const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, S_IRUSR | S_IWUSR);
    if (file < 0) {
        return errnoFailure(path);
    }
    const bool isWritten = writeAll(file, content) && ::fsync(file) == 0;
    const int error = errno;
    ::close(file);
    if (!isWritten) {
        errno = error;
        return errnoFailure(path);
    }
    return {};
}

}
