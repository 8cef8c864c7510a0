#include <jujubequay/steering_program/flow_record_files.h>
#include <jujubequay/wire/byte_order.h>
#include <jujubequay/wire/digest.h>

#include <asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace Jujubequay {

namespace {

constexpr std::uint64_t fileCount = 2;
constexpr std::size_t numberLength = sizeof(std::uint64_t);
constexpr std::size_t headLength = numberLength + std::tuple_size_v<DigestBytes>;

std::string fileName(std::uint64_t number)
{
    return fmt::format("flow-records.{}", number % fileCount);
}

/// The number of the save, a digest of all that follows it, and the contents.
Bytes fileBytes(std::uint64_t number, const std::string &contents)
{
    Bytes bytes(headLength + contents.size());
    writeBigEndian(bytes.data(), number);
    std::copy(contents.begin(), contents.end(), bytes.begin() + headLength);
    const DigestBytes digest = digestOf(std::span(bytes).subspan(headLength));
    std::copy(digest.begin(), digest.end(), bytes.begin() + numberLength);
    return bytes;
}

}

FlowRecordFiles::FlowRecordFiles(std::filesystem::path directory, Logger &logger)
    : m_directory(std::move(directory))
    , m_logger(logger)
    , m_work(asio::make_work_guard(m_context))
    , m_thread([this] {
        m_context.run();
    })
{
}

FlowRecordFiles::~FlowRecordFiles()
{
    m_work.reset();
    m_thread.join();
}

Result<void> FlowRecordFiles::open()
{
    if (!m_files) {
        BOOST_LEAF_ASSIGN(m_files, Consensus::PosixFileSystem::open(m_directory, Consensus::DirectoryLock::None));
    }
    return {};
}

Result<std::string> FlowRecordFiles::load()
{
    BOOST_LEAF_CHECK(open());
    Saved newest;
    for (std::uint64_t file = 0; file < fileCount; ++file) {
        BOOST_LEAF_AUTO(saved, read(fileName(file)));
        if (saved.number > newest.number) {
            newest = std::move(saved);
        }
    }
    m_nextNumber = newest.number + 1;
    return std::move(newest.contents);
}

Result<FlowRecordFiles::Saved> FlowRecordFiles::read(const std::string &name)
{
    BOOST_LEAF_AUTO(names, m_files->list());
    if (std::find(names.begin(), names.end(), name) == names.end()) {
        return Saved();
    }
    BOOST_LEAF_AUTO(bytes, m_files->read(name));
    if (bytes.size() < headLength) {
        return Saved();
    }
    const std::uint8_t *in = bytes.data();
    const auto number = readBigEndian<std::uint64_t>(in);
    Saved saved{number, std::string(bytes.begin() + headLength, bytes.end())};
    if (fileBytes(number, saved.contents) != bytes) {
        m_logger.info("flow-records-torn", {{"file", name}, {"bytes", bytes.size()}});
        return Saved();
    }
    return saved;
}

void FlowRecordFiles::save(std::string contents)
{
    m_isSaving = true;
    asio::post(m_context, [this, contents = std::move(contents)] {
        handleFailure(
            [&]() -> Result<int> {
                BOOST_LEAF_CHECK(write(contents));
                return 0;
            },
            [&](const Failure &failure) {
                m_logger.warning("flow-records-not-saved", {{"cause", failure.detail}});
                return 0;
            });
        m_isSaving = false;
    });
}

bool FlowRecordFiles::isSaving() const
{
    return m_isSaving;
}

Result<void> FlowRecordFiles::write(const std::string &contents)
{
    BOOST_LEAF_CHECK(open());
    BOOST_LEAF_AUTO(file, m_files->create(fileName(m_nextNumber)));
    BOOST_LEAF_CHECK(file->append(fileBytes(m_nextNumber, contents)));
    BOOST_LEAF_CHECK(file->sync());
    ++m_nextNumber;
    return {};
}

}
