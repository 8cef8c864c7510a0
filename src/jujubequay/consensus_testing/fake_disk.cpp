#include <jujubequay/consensus_testing/fake_disk.h>

#include <fmt/format.h>

#include <algorithm>

namespace Jujubequay::Consensus {

namespace {

boost::leaf::error_id diskStopped()
{
    return fail(ResultCode::DiskFailed, "the disk was stopped");
}

std::size_t randomUpTo(std::mt19937_64 &random, std::size_t most)
{
    return std::uniform_int_distribution<std::size_t>(0, most)(random);
}

}

class FakeAppendFile final : public AppendFile
{
public:
    FakeAppendFile(FakeDisk &disk, std::shared_ptr<FakeDisk::File> file)
        : m_disk(disk)
        , m_file(std::move(file))
    {
    }

    Result<void> append(std::span<const std::uint8_t> bytes) override
    {
        const auto outcome = m_disk.nextOperation();
        const bool isWritten = outcome == FakeDisk::Outcome::Stopped && !m_disk.m_isStopped;
        if (outcome == FakeDisk::Outcome::Stopped && !isWritten) {
            return diskStopped();
        }
        m_file->content.insert(m_file->content.end(), bytes.begin(), bytes.end());
        return outcome == FakeDisk::Outcome::Completed ? Result<void>() : Result<void>(diskStopped());
    }

    Result<void> sync() override
    {
        const auto outcome = m_disk.nextOperation();
        if (outcome != FakeDisk::Outcome::Stopped) {
            m_file->durableContent = m_file->content;
        }
        return outcome == FakeDisk::Outcome::Completed ? Result<void>() : Result<void>(diskStopped());
    }

private:
    FakeDisk &m_disk;
    const std::shared_ptr<FakeDisk::File> m_file;
};

FakeDisk::FakeDisk(std::mt19937_64 &random)
    : m_random(random)
{
}

Result<std::vector<std::string>> FakeDisk::list()
{
    std::vector<std::string> names;
    for (const auto &[name, file] : m_names) {
        names.push_back(name);
    }
    return names;
}

Result<Bytes> FakeDisk::read(const std::string &name)
{
    BOOST_LEAF_AUTO(file, find(name));
    m_bytesRead += file->content.size();
    return file->content;
}

Result<std::unique_ptr<AppendFile>> FakeDisk::create(const std::string &name)
{
    auto file = std::make_shared<File>();
    Names names = m_names;
    names[name] = file;
    BOOST_LEAF_CHECK(updateNames(names));
    return std::make_unique<FakeAppendFile>(*this, std::move(file));
}

Result<std::unique_ptr<AppendFile>> FakeDisk::reopen(const std::string &name, std::size_t size)
{
    BOOST_LEAF_AUTO(file, find(name));
    if (nextOperation() != Outcome::Completed) {
        return diskStopped();
    }
    file->content.resize(size);
    return std::make_unique<FakeAppendFile>(*this, file);
}

Result<void> FakeDisk::rename(const std::string &from, const std::string &to)
{
    BOOST_LEAF_AUTO(file, find(from));
    Names names = m_names;
    names.erase(from);
    names[to] = file;
    return updateNames(names);
}

Result<void> FakeDisk::remove(const std::string &name)
{
    BOOST_LEAF_CHECK(find(name));
    Names names = m_names;
    names.erase(name);
    return updateNames(names);
}

Result<void> FakeDisk::syncDirectory()
{
    const Outcome outcome = nextOperation();
    if (outcome != Outcome::Stopped) {
        m_previousNames.clear();
    }
    return outcome == Outcome::Completed ? Result<void>() : Result<void>(diskStopped());
}

void FakeDisk::stopAfter(std::uint64_t operations)
{
    m_stopAtOperation = operations == 0 ? 0 : m_operations + operations;
}

void FakeDisk::crash()
{
    m_isStopped = false;
    m_stopAtOperation = 0;
    const std::size_t state = randomUpTo(m_random, m_previousNames.size());
    if (state < m_previousNames.size()) {
        m_names = m_previousNames[state];
    }
    m_previousNames.clear();
    for (auto &[name, file] : m_names) {
        dropUnsynced(*file);
    }
}

void FakeDisk::setContent(const std::string &name, Bytes content)
{
    const auto found = m_names.find(name);
    const auto file = found == m_names.end() ? m_names.emplace(name, std::make_shared<File>()).first->second : found->second;
    file->durableContent = content;
    file->content = std::move(content);
}

std::unique_ptr<FakeDisk> FakeDisk::durableCopy(std::mt19937_64 &random) const
{
    auto copy = std::make_unique<FakeDisk>(random);
    for (const auto &[name, file] : m_previousNames.empty() ? m_names : m_previousNames.front()) {
        copy->setContent(name, file->durableContent);
    }
    return copy;
}

std::uint64_t FakeDisk::operations() const
{
    return m_operations;
}

std::uint64_t FakeDisk::bytesRead() const
{
    return m_bytesRead;
}

FakeDisk::Outcome FakeDisk::nextOperation()
{
    ++m_operations;
    if (m_isStopped) {
        return Outcome::Stopped;
    }
    if (m_stopAtOperation == 0 || m_operations < m_stopAtOperation) {
        return Outcome::Completed;
    }
    m_isStopped = true;
    return randomUpTo(m_random, 1) == 0 ? Outcome::Stopped : Outcome::CompletedThenStopped;
}

Result<void> FakeDisk::updateNames(const Names &names)
{
    const Outcome outcome = nextOperation();
    if (outcome != Outcome::Stopped) {
        m_previousNames.push_back(std::exchange(m_names, names));
    }
    return outcome == Outcome::Completed ? Result<void>() : Result<void>(diskStopped());
}

Result<std::shared_ptr<FakeDisk::File>> FakeDisk::find(const std::string &name) const
{
    const auto found = m_names.find(name);
    if (found == m_names.end()) {
        return fail(ResultCode::DiskFailed, fmt::format("{}: no such file", name));
    }
    return found->second;
}

void FakeDisk::dropUnsynced(File &file)
{
    const std::size_t syncedSize = file.durableContent.size();
    const bool onlyAppended = file.content.size() >= syncedSize && std::equal(file.durableContent.begin(), file.durableContent.end(), file.content.begin());
    if (onlyAppended) {
        const std::size_t fullSize = file.content.size();
        std::size_t keptSize = syncedSize + randomUpTo(m_random, fullSize - syncedSize);
        constexpr std::size_t sectorBytes = 512;
        const bool isExtended = randomUpTo(m_random, 3) == 0; // the file size reached the disk, but not the last sectors
        if (isExtended && keptSize < fullSize) {
            keptSize = std::max(syncedSize, keptSize / sectorBytes * sectorBytes);
        }
        file.content.resize(keptSize);
        // Sectors that were never written read as zero. A sector that already contains synced bytes is not one of them.
        if (isExtended && keptSize % sectorBytes == 0) {
            file.content.resize(fullSize);
        }
    } else if (randomUpTo(m_random, 1) == 0) {
        file.content = file.durableContent;
    }
    file.durableContent = file.content;
}

}
