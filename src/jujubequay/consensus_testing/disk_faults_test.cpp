#include <jujubequay/consensus/disk_log_storage.h>
#include <jujubequay/consensus_testing/fake_disk.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace Jujubequay;
using namespace Jujubequay::Consensus;

namespace {

jujubequay::pb::LogEntry entry(std::uint64_t index, std::uint64_t term, const std::string &command = "reading")
{
    jujubequay::pb::LogEntry entry;
    entry.set_index(index);
    entry.set_term(term);
    entry.set_command(command);
    return entry;
}

std::string describe(const StoredState &state)
{
    std::string text = fmt::format(
        "{} term={} vote={} snapshot={} base={}", state.identity.id, state.hardState.term, state.hardState.votedFor, state.snapshot.index, state.base.index);
    for (const auto &found : state.entries) {
        text += fmt::format(" {}:{}:{}", found.index(), found.term(), found.command());
    }
    return text;
}

/// Description of the state that a restarted process loads, or the name of the error.
std::string reload(FakeDisk &disk, const std::string &host = "host-a")
{
    return handleFailure(
        [&]() -> Result<std::string> {
            DiskLogStorage storage(disk, host);
            BOOST_LEAF_AUTO(state, storage.load());
            return describe(state);
        },
        [](const Failure &failure) {
            return std::string(resultName(failure.code));
        });
}

/// Writes a sequence of states to a disk. On return, `synced` contains the descriptions of the states that were synced, and `pending` those of the states
/// that were written, or being written, after the last sync.
Result<void> writeSequence(FakeDisk &disk, std::vector<std::string> &synced, std::vector<std::string> &pending)
{
    DiskLogStorage storage(disk, "host-a");
    BOOST_LEAF_AUTO(state, storage.load());
    const auto addPending = [&] {
        pending.push_back(describe(state));
    };
    const auto markSynced = [&] {
        synced.push_back(pending.back());
        pending.clear();
    };
    addPending();
    markSynced();
    state.hardState = {3, "disk-b"};
    addPending();
    BOOST_LEAF_CHECK(storage.saveHardState(state.hardState));
    state.entries = {entry(1, 3), entry(2, 3, std::string(600, '\0'))};
    addPending();
    BOOST_LEAF_CHECK(storage.append(state.entries));
    BOOST_LEAF_CHECK(storage.sync());
    markSynced();
    state.entries = {entry(1, 3), entry(2, 4, "other")};
    addPending();
    BOOST_LEAF_CHECK(storage.append(std::span(state.entries).subspan(1)));
    BOOST_LEAF_CHECK(storage.sync());
    markSynced();
    state.snapshot = {2, 4, 0, {}, Bytes(100, 1)};
    addPending(); // a crash between the writes of snapshot and log leaves the new snapshot and the old log
    state.base = {1, 3, 0};
    state.entries = {entry(2, 4, "other")};
    addPending();
    BOOST_LEAF_CHECK(storage.saveSnapshot(state.snapshot, state.hardState, state.base, state.entries));
    markSynced();
    state.entries.push_back(entry(3, 4));
    addPending();
    BOOST_LEAF_CHECK(storage.append(std::span(state.entries).subspan(1)));
    BOOST_LEAF_CHECK(storage.sync());
    markSynced();
    return {};
}

std::unique_ptr<FakeDisk> emptyInitialisedDisk(std::mt19937_64 &random, const std::string &id = "disk-a")
{
    auto disk = std::make_unique<FakeDisk>(random);
    CPPUNIT_ASSERT(initialiseDisk(*disk, {{id, "host-a"}, {}}));
    return disk;
}

std::unique_ptr<FakeDisk> diskWithData(std::mt19937_64 &random)
{
    auto disk = emptyInitialisedDisk(random);
    std::vector<std::string> synced;
    std::vector<std::string> pending;
    CPPUNIT_ASSERT(writeSequence(*disk, synced, pending));
    return disk;
}

}

class DiskFaultsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DiskFaultsTest);
    CPPUNIT_TEST(failureOfAnyOperationKeepsSyncedState);
    CPPUNIT_TEST(interruptedInitialisationCanBeRepeated);
    CPPUNIT_TEST(everyFlippedBitIsDetected);
    CPPUNIT_TEST(tornTailIsTruncated);
    CPPUNIT_TEST(missingFilesAreReportedAsDamage);
    CPPUNIT_TEST(foreignDiskIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void failureOfAnyOperationKeepsSyncedState()
    {
        std::uint64_t operation = 0;
        for (bool finished = false; !finished;) {
            ++operation;
            for (std::uint64_t seed = 1; seed <= 30; ++seed) {
                std::mt19937_64 random(seed);
                const auto disk = emptyInitialisedDisk(random);
                disk->stopAfter(operation);
                std::vector<std::string> synced;
                std::vector<std::string> pending;
                finished = static_cast<bool>(writeSequence(*disk, synced, pending));
                disk->crash();
                pending.push_back(synced.empty() ? "disk-a term=0 vote= snapshot=0 base=0" : synced.back());
                const std::string found = reload(*disk);
                // Of an append of several records, only the first ones may have reached the disk.
                const bool isPartialAppend = found == "disk-a term=3 vote=disk-b snapshot=0 base=0 1:3:reading";
                const bool isExpected = isPartialAppend || std::find(pending.begin(), pending.end(), found) != pending.end();
                CPPUNIT_ASSERT_MESSAGE(fmt::format("operation {} seed {}: {}", operation, seed, found), isExpected);
                CPPUNIT_ASSERT_EQUAL(found, reload(*disk));
            }
        }
        CPPUNIT_ASSERT(operation > 20);
    }

    void interruptedInitialisationCanBeRepeated()
    {
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            std::mt19937_64 random(seed);
            FakeDisk disk(random);
            disk.stopAfter(1 + seed % 16);
            const bool initialised = static_cast<bool>(initialiseDisk(disk, {{"disk-a", "host-a"}, {}}));
            disk.crash();
            const std::string found = reload(disk);
            const bool isRefused = found == resultName(ResultCode::DiskIdentityMismatch);
            CPPUNIT_ASSERT(isRefused ? !initialised : found.starts_with("disk-a "));
            CPPUNIT_ASSERT_EQUAL(isRefused, static_cast<bool>(initialiseDisk(disk, {{"disk-a2", "host-a"}, {}})));
        }
    }

    // Guards against the loss of acknowledged entries or votes: damage must not be taken for a torn tail, not even in the last record.
    void everyFlippedBitIsDetected()
    {
        std::mt19937_64 random(1);
        const auto names = *diskWithData(random)->list();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, names.size());
        for (const std::string &name : names) {
            const auto disk = diskWithData(random);
            const Bytes content = *disk->read(name);
            for (std::size_t bit = 0; bit < content.size() * 8; ++bit) {
                Bytes flipped = content;
                flipped[bit / 8] ^= static_cast<std::uint8_t>(1U << (bit % 8));
                disk->setContent(name, flipped);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("{} bit {}", name, bit), std::string("DiskDamaged"), reload(*disk));
            }
        }
    }

    void tornTailIsTruncated()
    {
        std::mt19937_64 random(1);
        const auto intactDisk = diskWithData(random);
        const std::string expected = "disk-a term=3 vote=disk-b snapshot=2 base=1 2:4:other";
        CPPUNIT_ASSERT_EQUAL(expected + " 3:4:reading", reload(*intactDisk));
        const Bytes content = *intactDisk->read("log-1");
        for (std::size_t size = 0; size < content.size(); ++size) {
            const auto disk = diskWithData(random);
            disk->setContent("log-1", Bytes(content.begin(), content.begin() + static_cast<std::ptrdiff_t>(size)));
            const std::string found = reload(*disk);
            // Entry 2 is part of the snapshot, so a log without it is replaced by an empty log after the snapshot. If the first records are missing, the
            // log is damaged, because they were synced before the file was renamed to its final name.
            const bool isExpected = found == expected || found == "disk-a term=3 vote=disk-b snapshot=2 base=2" || found == "DiskDamaged";
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{} bytes: {}", size, found), isExpected);
        }
    }

    void missingFilesAreReportedAsDamage()
    {
        for (const std::string name : {"log-1", "snapshot-2"}) {
            std::mt19937_64 random(1);
            const auto disk = diskWithData(random);
            CPPUNIT_ASSERT(disk->remove(name));
            CPPUNIT_ASSERT_EQUAL(std::string("DiskDamaged"), reload(*disk));
        }
    }

    // Guards against a second vote in one term: a host must not use the disk of another host or disk, and must not initialise a disk again that has lost
    // its identity.
    void foreignDiskIsRefused()
    {
        std::mt19937_64 random(1);
        const auto disk = diskWithData(random);
        CPPUNIT_ASSERT_EQUAL(std::string("DiskIdentityMismatch"), reload(*disk, "host-b"));
        CPPUNIT_ASSERT(!initialiseDisk(*disk, {{"disk-new", "host-a"}, {}}));

        const auto other = emptyInitialisedDisk(random, "disk-other");
        other->setContent("log-1", *disk->read("log-1"));
        other->setContent("snapshot-2", *disk->read("snapshot-2"));
        CPPUNIT_ASSERT_EQUAL(std::string("DiskIdentityMismatch"), reload(*other));

        CPPUNIT_ASSERT(disk->remove("identity"));
        CPPUNIT_ASSERT_EQUAL(std::string("DiskIdentityMismatch"), reload(*disk));
        CPPUNIT_ASSERT(!initialiseDisk(*disk, {{"disk-new", "host-a"}, {}}));
        FakeDisk empty(random);
        CPPUNIT_ASSERT_EQUAL(std::string("DiskIdentityMismatch"), reload(empty));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DiskFaultsTest);
