#include <jujubequay/consensus/file_system.h>

#include <fmt/format.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace Jujubequay::Consensus {

namespace {

boost::leaf::error_id failWithErrno(std::string_view message, const std::string &name)
{
    return fail(ResultCode::DiskFailed, fmt::format("{} {}: {}", message, name, std::strerror(errno)));
}

Result<void> syncDescriptor(int descriptor, const std::string &name)
{
    // A failed fsync is never retried: the kernel may have discarded the data and would report success for the second call.
    if (::fsync(descriptor) != 0) {
        return failWithErrno("cannot sync", name);
    }
    return {};
}

class PosixAppendFile final : public AppendFile
{
public:
    PosixAppendFile(int descriptor, std::string name)
        : m_descriptor(descriptor)
        , m_name(std::move(name))
    {
    }

    PosixAppendFile(const PosixAppendFile &) = delete;
    PosixAppendFile &operator=(const PosixAppendFile &) = delete;

    ~PosixAppendFile() override
    {
        ::close(m_descriptor);
    }

    Result<void> append(std::span<const std::uint8_t> bytes) override
    {
        while (!bytes.empty()) {
            const ssize_t written = ::write(m_descriptor, bytes.data(), bytes.size());
            if (written < 0 && errno == EINTR) {
                continue;
            }
            if (written <= 0) {
                return failWithErrno("cannot write", m_name);
            }
            bytes = bytes.subspan(static_cast<std::size_t>(written));
        }
        return {};
    }

    Result<void> sync() override
    {
        return syncDescriptor(m_descriptor, m_name);
    }

private:
    const int m_descriptor;
    const std::string m_name;
};

}

PosixFileSystem::PosixFileSystem(std::filesystem::path directory, int descriptor)
    : m_directory(std::move(directory))
    , m_descriptor(descriptor)
{
}

PosixFileSystem::~PosixFileSystem()
{
    ::close(m_descriptor);
}

Result<std::unique_ptr<PosixFileSystem>> PosixFileSystem::open(const std::filesystem::path &directory, DirectoryLock lock)
{
    const int descriptor = ::open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) {
        return failWithErrno("cannot open directory", directory.string());
    }
    if (lock == DirectoryLock::Exclusive && ::flock(descriptor, LOCK_EX | LOCK_NB) != 0) {
        const auto error = failWithErrno("cannot lock directory", directory.string());
        ::close(descriptor);
        return error;
    }
    return std::unique_ptr<PosixFileSystem>(new PosixFileSystem(directory, descriptor));
}

Result<std::vector<std::string>> PosixFileSystem::list()
{
    std::error_code error;
    std::vector<std::string> names;
    for (auto entry = std::filesystem::directory_iterator(m_directory, error); !error && entry != std::filesystem::directory_iterator();
         entry.increment(error)) {
        names.push_back(entry->path().filename().string());
    }
    if (error) {
        return fail(ResultCode::DiskFailed, fmt::format("cannot list {}: {}", m_directory.string(), error.message()));
    }
    return names;
}

Result<Bytes> PosixFileSystem::read(const std::string &name)
{
    const int descriptor = ::openat(m_descriptor, name.c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0) {
        return failWithErrno("cannot open", name);
    }
    Bytes content;
    constexpr std::size_t blockSize = 64U << 10U;
    ssize_t count = 1;
    while (count > 0) {
        const std::size_t size = content.size();
        content.resize(size + blockSize);
        do {
            count = ::read(descriptor, content.data() + size, blockSize);
        } while (count < 0 && errno == EINTR);
        content.resize(size + static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    }
    const bool failed = count < 0;
    const auto error = failed ? failWithErrno("cannot read", name) : boost::leaf::error_id();
    ::close(descriptor);
    if (failed) {
        return error;
    }
    return content;
}

Result<std::unique_ptr<AppendFile>> PosixFileSystem::create(const std::string &name)
{
    const int descriptor = ::openat(m_descriptor, name.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
    if (descriptor < 0) {
        return failWithErrno("cannot create", name);
    }
    return std::make_unique<PosixAppendFile>(descriptor, name);
}

Result<std::unique_ptr<AppendFile>> PosixFileSystem::reopen(const std::string &name, std::size_t size)
{
    const int descriptor = ::openat(m_descriptor, name.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
    if (descriptor < 0) {
        return failWithErrno("cannot open", name);
    }
    if (::ftruncate(descriptor, static_cast<off_t>(size)) != 0) {
        const auto error = failWithErrno("cannot truncate", name);
        ::close(descriptor);
        return error;
    }
    return std::make_unique<PosixAppendFile>(descriptor, name);
}

Result<void> PosixFileSystem::rename(const std::string &from, const std::string &to)
{
    if (::renameat(m_descriptor, from.c_str(), m_descriptor, to.c_str()) != 0) {
        return failWithErrno("cannot rename", from);
    }
    return {};
}

Result<void> PosixFileSystem::remove(const std::string &name)
{
    if (::unlinkat(m_descriptor, name.c_str(), 0) != 0) {
        return failWithErrno("cannot remove", name);
    }
    return {};
}

Result<void> PosixFileSystem::syncDirectory()
{
    return syncDescriptor(m_descriptor, m_directory.string());
}

}
