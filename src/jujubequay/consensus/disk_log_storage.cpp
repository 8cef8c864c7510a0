#include <jujubequay/consensus/disk_log_storage.h>

#include <jujubequay/consensus/log_record.h>
#include <jujubequay/core/invariant.h>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <random>

#include <sodium/randombytes.h>

namespace Jujubequay::Consensus {

namespace pb = jujubequay::pb;

namespace {

constexpr std::string_view identityName = "identity";
constexpr std::string_view logPrefix = "log-";
constexpr std::string_view snapshotPrefix = "snapshot-";
constexpr std::string_view temporarySuffix = ".new";

std::string logName(std::uint64_t number)
{
    return fmt::format("{}{}", logPrefix, number);
}

std::string snapshotName(std::uint64_t index)
{
    return fmt::format("{}{}", snapshotPrefix, index);
}

/// The number after the prefix in a file name such as "log-3"; no value for any other name.
std::optional<std::uint64_t> numberInName(std::string_view name, std::string_view prefix)
{
    if (!name.starts_with(prefix)) {
        return std::nullopt;
    }
    const std::string_view digits = name.substr(prefix.size());
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    const bool isNumber = error == std::errc() && end == digits.data() + digits.size();
    return isNumber ? std::optional(number) : std::nullopt;
}

std::optional<std::uint64_t> highestNumber(const std::vector<std::string> &names, std::string_view prefix)
{
    std::optional<std::uint64_t> highest;
    for (const std::string &name : names) {
        const auto number = numberInName(name, prefix);
        if (number && (!highest || *number > *highest)) {
            highest = number;
        }
    }
    return highest;
}

bool contains(const std::vector<std::string> &names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// Writes a file so that it is absent or complete after a crash.
Result<void> writeFile(FileSystem &files, const std::string &name, const Bytes &content)
{
    const std::string temporaryName = fmt::format("{}{}", name, temporarySuffix);
    BOOST_LEAF_AUTO(file, files.create(temporaryName));
    BOOST_LEAF_CHECK(file->append(content));
    BOOST_LEAF_CHECK(file->sync());
    BOOST_LEAF_CHECK(files.rename(temporaryName, name));
    return files.syncDirectory();
}

/// Parses a file that must contain exactly one complete record of the given type.
template<class Message>
Result<Message> parseSingleRecord(const Bytes &content, RecordType type, const std::string &name)
{
    BOOST_LEAF_AUTO(scan, scanRecords(content, name));
    if (scan.records.size() != 1 || scan.records.front().type != type || scan.validBytes != content.size()) {
        return fail(ResultCode::DiskDamaged, fmt::format("{}: the file is incomplete", name));
    }
    return parseMessage<Message>(scan.records.front().payload);
}

Bytes snapshotContent(const Snapshot &snapshot, const std::string &diskId)
{
    pb::SnapshotRecord record;
    record.set_disk_id(diskId);
    record.set_index(snapshot.index);
    record.set_term(snapshot.term);
    record.set_applied_digest(snapshot.digest);
    *record.mutable_membership() = snapshot.membership;
    record.set_state(snapshot.state.data(), snapshot.state.size());
    Bytes content;
    putRecord(content, 0, RecordType::Snapshot, record);
    return content;
}

void putHardState(Bytes &out, std::size_t offset, const HardState &state)
{
    pb::HardStateRecord record;
    record.set_term(state.term);
    record.set_voted_for(state.votedFor);
    record.set_commit(state.commit);
    putRecord(out, offset, RecordType::HardState, record);
}

Bytes logContent(const std::string &diskId, const HardState &state, const LogBase &base, std::span<const pb::LogEntry> entries)
{
    pb::LogFileHeader header;
    header.set_disk_id(diskId);
    header.set_base_index(base.index);
    header.set_base_term(base.term);
    header.set_base_digest(base.digest);
    Bytes content;
    putRecord(content, 0, RecordType::LogHeader, header);
    putHardState(content, content.size(), state);
    for (const pb::LogEntry &entry : entries) {
        putRecord(content, content.size(), RecordType::Entry, entry);
    }
    return content;
}

Result<void> addHardState(StoredState &state, const LogRecord &record, const std::string &name)
{
    BOOST_LEAF_AUTO(parsed, parseMessage<pb::HardStateRecord>(record.payload));
    if (parsed.term() < state.hardState.term) {
        return fail(ResultCode::DiskDamaged, fmt::format("{}: the term decreases", name));
    }
    state.hardState = {parsed.term(), parsed.voted_for(), parsed.commit()};
    return {};
}

Result<void> addEntry(StoredState &state, const LogRecord &record, const std::string &name)
{
    BOOST_LEAF_AUTO(entry, parseMessage<pb::LogEntry>(record.payload));
    const std::uint64_t nextIndex = state.base.index + state.entries.size() + 1;
    if (entry.index() <= state.base.index || entry.index() > nextIndex) {
        return fail(ResultCode::DiskDamaged, fmt::format("{}: found entry {} where entry {} was expected", name, entry.index(), nextIndex));
    }
    state.entries.resize(entry.index() - state.base.index - 1);
    state.entries.push_back(std::move(entry));
    return {};
}

Result<void> addRecords(StoredState &state, const RecordScan &scan, const std::string &name)
{
    if (scan.records.size() < 2 || scan.records.front().type != RecordType::LogHeader) {
        return fail(ResultCode::DiskDamaged, fmt::format("{}: the file is incomplete", name));
    }
    BOOST_LEAF_AUTO(header, parseMessage<pb::LogFileHeader>(scan.records.front().payload));
    if (header.disk_id() != state.identity.id) {
        return fail(ResultCode::DiskIdentityMismatch, fmt::format("{}: belongs to disk {}", name, header.disk_id()));
    }
    state.base = {header.base_index(), header.base_term(), header.base_digest()};
    for (std::size_t record = 1; record < scan.records.size(); ++record) {
        const bool isEntry = scan.records[record].type == RecordType::Entry;
        BOOST_LEAF_CHECK(isEntry ? addEntry(state, scan.records[record], name) : addHardState(state, scan.records[record], name));
    }
    return {};
}

/// False if the log does not contain the entry at the index of the snapshot, as after a crash in `saveSnapshot` between the write of the snapshot and
/// that of the log.
bool logMatchesSnapshot(const StoredState &state)
{
    const std::uint64_t index = state.snapshot.index;
    if (index == state.base.index) {
        return state.base.term == state.snapshot.term;
    }
    const std::size_t slot = index - state.base.index - 1;
    return slot < state.entries.size() && state.entries[slot].term() == state.snapshot.term;
}

}

std::string randomDiskIdentity()
{
    return fmt::format("{:08x}{:08x}{:08x}{:08x}", randombytes_random(), randombytes_random(), randombytes_random(), randombytes_random());
}

std::uint64_t randomClusterNumber()
{
    const std::uint64_t high = randombytes_random();
    return (high << 32U) | randombytes_random() | 1U;
}

Result<void> initialiseDisk(FileSystem &files, const InitialiseOptions &options)
{
    checkInvariant(!options.identity.id.empty(), "a disk identity is not empty");
    BOOST_LEAF_AUTO(names, files.list());
    // The identity is written last. Without it, the only files that may exist are those of an interrupted initialisation.
    const auto log = highestNumber(names, logPrefix);
    const auto snapshot = highestNumber(names, snapshotPrefix);
    if (contains(names, identityName) || log.value_or(0) > 0 || snapshot.value_or(0) > 0) {
        return fail(ResultCode::DiskIdentityMismatch, "the data directory already contains data of a replica");
    }
    if (log) {
        BOOST_LEAF_AUTO(content, files.read(logName(0)));
        BOOST_LEAF_AUTO(scan, scanRecords(content, logName(0)));
        if (scan.records.size() > 2) {
            return fail(ResultCode::DiskIdentityMismatch, "the data directory contains a log without an identity");
        }
    }
    Snapshot initialSnapshot;
    initialSnapshot.membership = options.initialMembership;
    BOOST_LEAF_CHECK(writeFile(files, snapshotName(0), snapshotContent(initialSnapshot, options.identity.id)));
    BOOST_LEAF_CHECK(writeFile(files, logName(0), logContent(options.identity.id, {}, {}, {})));
    pb::DiskIdentityRecord identity;
    identity.set_id(options.identity.id);
    identity.set_host(options.identity.host);
    Bytes content;
    putRecord(content, 0, RecordType::Identity, identity);
    return writeFile(files, std::string(identityName), content);
}

DiskLogStorage::DiskLogStorage(FileSystem &files, std::string host)
    : m_files(files)
    , m_host(std::move(host))
{
}

Result<StoredState> DiskLogStorage::load()
{
    StoredState state;
    BOOST_LEAF_ASSIGN(m_identity, loadIdentity());
    state.identity = m_identity;
    BOOST_LEAF_AUTO(names, m_files.list());
    BOOST_LEAF_ASSIGN(state.snapshot, loadSnapshot(names));
    BOOST_LEAF_CHECK(loadLog(names, state));
    BOOST_LEAF_CHECK(removeSupersededFiles());
    return state;
}

Result<void> DiskLogStorage::append(std::span<const pb::LogEntry> entries)
{
    Bytes bytes;
    for (const pb::LogEntry &entry : entries) {
        checkInvariant(entry.index() > m_baseIndex && entry.index() <= m_lastIndex + 1, "the log on disk has no gaps");
        putRecord(bytes, m_logBytes + bytes.size(), RecordType::Entry, entry);
        m_lastIndex = entry.index();
    }
    return appendBytes(bytes);
}

Result<void> DiskLogStorage::saveHardState(const HardState &state)
{
    Bytes bytes;
    putHardState(bytes, m_logBytes, state);
    return appendBytes(bytes);
}

Result<void> DiskLogStorage::sync()
{
    return m_log->sync();
}

Result<void> DiskLogStorage::saveSnapshot(const Snapshot &snapshot, const HardState &state, const LogBase &base, std::span<const pb::LogEntry> entries)
{
    BOOST_LEAF_CHECK(writeFile(m_files, snapshotName(snapshot.index), snapshotContent(snapshot, m_identity.id)));
    m_snapshotIndex = snapshot.index;
    BOOST_LEAF_CHECK(replaceLog(state, base, entries));
    return removeSupersededFiles();
}

Result<DiskIdentity> DiskLogStorage::loadIdentity()
{
    BOOST_LEAF_AUTO(names, m_files.list());
    const std::string name(identityName);
    if (!contains(names, name)) {
        return fail(ResultCode::DiskIdentityMismatch, "the data directory has not been initialised");
    }
    BOOST_LEAF_AUTO(content, m_files.read(name));
    BOOST_LEAF_AUTO(record, parseSingleRecord<pb::DiskIdentityRecord>(content, RecordType::Identity, name));
    if (record.host() != m_host) {
        return fail(ResultCode::DiskIdentityMismatch, fmt::format("the disk was initialised on host {}, not {}", record.host(), m_host));
    }
    return DiskIdentity{record.id(), record.host()};
}

Result<Snapshot> DiskLogStorage::loadSnapshot(const std::vector<std::string> &names)
{
    const auto index = highestNumber(names, snapshotPrefix);
    if (!index) {
        return fail(ResultCode::DiskDamaged, "the snapshot is missing");
    }
    const std::string name = snapshotName(*index);
    BOOST_LEAF_AUTO(content, m_files.read(name));
    BOOST_LEAF_AUTO(record, parseSingleRecord<pb::SnapshotRecord>(content, RecordType::Snapshot, name));
    if (record.disk_id() != m_identity.id) {
        return fail(ResultCode::DiskIdentityMismatch, fmt::format("{}: belongs to disk {}", name, record.disk_id()));
    }
    if (record.index() != *index) {
        return fail(ResultCode::DiskDamaged, fmt::format("{}: contains index {}", name, record.index()));
    }
    m_snapshotIndex = *index;
    return Snapshot{record.index(), record.term(), record.applied_digest(), record.membership(), Bytes(record.state().begin(), record.state().end())};
}

Result<void> DiskLogStorage::loadLog(const std::vector<std::string> &names, StoredState &state)
{
    const auto number = highestNumber(names, logPrefix);
    if (!number) {
        return fail(ResultCode::DiskDamaged, "the log is missing");
    }
    m_logNumber = *number;
    const std::string name = logName(m_logNumber);
    BOOST_LEAF_AUTO(content, m_files.read(name));
    BOOST_LEAF_AUTO(scan, scanRecords(content, name));
    BOOST_LEAF_CHECK(addRecords(state, scan, name));
    if (state.base.index > state.snapshot.index) {
        return fail(ResultCode::DiskDamaged, fmt::format("{}: the log starts after the snapshot", name));
    }
    if (!logMatchesSnapshot(state)) {
        state.base = {state.snapshot.index, state.snapshot.term, state.snapshot.digest};
        state.entries.clear();
        return replaceLog(state.hardState, state.base, {});
    }
    BOOST_LEAF_ASSIGN(m_log, m_files.reopen(name, scan.validBytes));
    m_logBytes = scan.validBytes;
    m_baseIndex = state.base.index;
    m_lastIndex = state.base.index + state.entries.size();
    return m_log->sync();
}

Result<void> DiskLogStorage::replaceLog(const HardState &state, const LogBase &base, std::span<const pb::LogEntry> entries)
{
    const Bytes content = logContent(m_identity.id, state, base, entries);
    const std::string name = logName(m_logNumber + 1);
    BOOST_LEAF_CHECK(writeFile(m_files, name, content));
    BOOST_LEAF_ASSIGN(m_log, m_files.reopen(name, content.size()));
    ++m_logNumber;
    m_logBytes = content.size();
    m_baseIndex = base.index;
    m_lastIndex = base.index + entries.size();
    return {};
}

Result<void> DiskLogStorage::removeSupersededFiles()
{
    BOOST_LEAF_AUTO(names, m_files.list());
    for (const std::string &name : names) {
        const auto log = numberInName(name, logPrefix);
        const auto snapshot = numberInName(name, snapshotPrefix);
        const bool isSuperseded = (log && *log != m_logNumber) || (snapshot && *snapshot != m_snapshotIndex);
        if (isSuperseded || name.ends_with(temporarySuffix)) {
            BOOST_LEAF_CHECK(m_files.remove(name));
        }
    }
    return {};
}

Result<void> DiskLogStorage::appendBytes(const Bytes &bytes)
{
    BOOST_LEAF_CHECK(m_log->append(bytes));
    m_logBytes += bytes.size();
    return {};
}

}
