#include <jujubequay/consensus_testing/fake_disk.h>

#include <fmt/format.h>

#include <algorithm>

namespace Jujubequay::Consensus {

namespace {

boost::leaf::error_id killed()
{
    return fail(ResultCode::DiskFailed, "the disk was stopped");
}

std::size_t pick(std::mt19937_64 &random, std::size_t most)
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
        const bool partial = outcome == FakeDisk::Outcome::Killed && !m_disk.m_dead;
        if (outcome == FakeDisk::Outcome::Killed && !partial) {
            return killed();
        }
        m_file->content.insert(m_file->content.end(), bytes.begin(), bytes.end());
        return outcome == FakeDisk::Outcome::Done ? Result<void>() : Result<void>(killed());
    }

    Result<void> sync() override
    {
        const auto outcome = m_disk.nextOperation();
        if (outcome != FakeDisk::Outcome::Killed) {
            m_file->durable = m_file->content;
        }
        return outcome == FakeDisk::Outcome::Done ? Result<void>() : Result<void>(killed());
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
    BOOST_LEAF_CHECK(changeNames(names));
    return std::make_unique<FakeAppendFile>(*this, std::move(file));
}

Result<std::unique_ptr<AppendFile>> FakeDisk::reopen(const std::string &name, std::size_t size)
{
    BOOST_LEAF_AUTO(file, find(name));
    if (nextOperation() != Outcome::Done) {
        return killed();
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
    return changeNames(names);
}

Result<void> FakeDisk::remove(const std::string &name)
{
    BOOST_LEAF_CHECK(find(name));
    Names names = m_names;
    names.erase(name);
    return changeNames(names);
}

Result<void> FakeDisk::syncDirectory()
{
    const Outcome outcome = nextOperation();
    if (outcome != Outcome::Killed) {
        m_nameHistory.clear();
    }
    return outcome == Outcome::Done ? Result<void>() : Result<void>(killed());
}

void FakeDisk::killAfter(std::uint64_t operations)
{
    m_killAt = operations == 0 ? 0 : m_operations + operations;
}

void FakeDisk::crash()
{
    m_dead = false;
    m_killAt = 0;
    const std::size_t state = pick(m_random, m_nameHistory.size());
    if (state < m_nameHistory.size()) {
        m_names = m_nameHistory[state];
    }
    m_nameHistory.clear();
    for (auto &[name, file] : m_names) {
        loseUnsynced(*file);
    }
}

void FakeDisk::setContent(const std::string &name, Bytes content)
{
    const auto found = m_names.find(name);
    const auto file = found == m_names.end() ? m_names.emplace(name, std::make_shared<File>()).first->second : found->second;
    file->durable = content;
    file->content = std::move(content);
}

std::unique_ptr<FakeDisk> FakeDisk::durableCopy(std::mt19937_64 &random) const
{
    auto copy = std::make_unique<FakeDisk>(random);
    for (const auto &[name, file] : m_nameHistory.empty() ? m_names : m_nameHistory.front()) {
        copy->setContent(name, file->durable);
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
    if (m_dead) {
        return Outcome::Killed;
    }
    if (m_killAt == 0 || m_operations < m_killAt) {
        return Outcome::Done;
    }
    m_dead = true;
    return pick(m_random, 1) == 0 ? Outcome::Killed : Outcome::DoneThenKilled;
}

Result<void> FakeDisk::changeNames(const Names &names)
{
    const Outcome outcome = nextOperation();
    if (outcome != Outcome::Killed) {
        m_nameHistory.push_back(std::exchange(m_names, names));
    }
    return outcome == Outcome::Done ? Result<void>() : Result<void>(killed());
}

Result<std::shared_ptr<FakeDisk::File>> FakeDisk::find(const std::string &name) const
{
    const auto found = m_names.find(name);
    if (found == m_names.end()) {
        return fail(ResultCode::DiskFailed, fmt::format("{}: no such file", name));
    }
    return found->second;
}

void FakeDisk::loseUnsynced(File &file)
{
    const std::size_t synced = file.durable.size();
    const bool grew = file.content.size() >= synced && std::equal(file.durable.begin(), file.durable.end(), file.content.begin());
    if (grew) {
        const std::size_t full = file.content.size();
        std::size_t kept = synced + pick(m_random, full - synced);
        constexpr std::size_t sectorBytes = 512;
        const bool allocated = pick(m_random, 3) == 0; // the size reached the disk and the last sectors did not
        if (allocated && kept < full) {
            kept = std::max(synced, kept / sectorBytes * sectorBytes);
        }
        file.content.resize(kept);
        // Bytes after the synced ones in a sector that was written before read as zero only from the next sector on.
        if (allocated && kept % sectorBytes == 0) {
            file.content.resize(full);
        }
    } else if (pick(m_random, 1) == 0) {
        file.content = file.durable;
    }
    file.durable = file.content;
}

}
