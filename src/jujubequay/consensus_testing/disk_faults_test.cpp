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

/// What a restarted process reads, or the name of the error.
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

/// A life of a disk: each state that it syncs is noted.
Result<void> use(FakeDisk &disk, std::vector<std::string> &synced, std::vector<std::string> &pending)
{
    DiskLogStorage storage(disk, "host-a");
    BOOST_LEAF_AUTO(state, storage.load());
    const auto note = [&] {
        pending.push_back(describe(state));
    };
    const auto done = [&] {
        synced.push_back(pending.back());
        pending.clear();
    };
    note();
    done();
    state.hardState = {3, "disk-b"};
    note();
    BOOST_LEAF_CHECK(storage.saveHardState(state.hardState));
    state.entries = {entry(1, 3), entry(2, 3, std::string(600, '\0'))};
    note();
    BOOST_LEAF_CHECK(storage.append(state.entries));
    BOOST_LEAF_CHECK(storage.sync());
    done();
    state.entries = {entry(1, 3), entry(2, 4, "other")};
    note();
    BOOST_LEAF_CHECK(storage.append(std::span(state.entries).subspan(1)));
    BOOST_LEAF_CHECK(storage.sync());
    done();
    state.snapshot = {2, 4, 0, {}, Bytes(100, 1)};
    note(); // the snapshot without the shorter log is the same state
    state.base = {1, 3, 0};
    state.entries = {entry(2, 4, "other")};
    note();
    BOOST_LEAF_CHECK(storage.saveSnapshot(state.snapshot, state.hardState, state.base, state.entries));
    done();
    state.entries.push_back(entry(3, 4));
    note();
    BOOST_LEAF_CHECK(storage.append(std::span(state.entries).subspan(1)));
    BOOST_LEAF_CHECK(storage.sync());
    done();
    return {};
}

std::unique_ptr<FakeDisk> initialisedDisk(std::mt19937_64 &random, const std::string &id = "disk-a")
{
    auto disk = std::make_unique<FakeDisk>(random);
    CPPUNIT_ASSERT(initialiseDisk(*disk, {{id, "host-a"}, {}}));
    return disk;
}

std::unique_ptr<FakeDisk> usedDisk(std::mt19937_64 &random)
{
    auto disk = initialisedDisk(random);
    std::vector<std::string> synced;
    std::vector<std::string> pending;
    CPPUNIT_ASSERT(use(*disk, synced, pending));
    return disk;
}

}

class DiskFaultsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DiskFaultsTest);
    CPPUNIT_TEST(stopAtEveryOperationKeepsWhatWasSynced);
    CPPUNIT_TEST(stopWhileInitialisingLeavesNoHalfIdentity);
    CPPUNIT_TEST(everyFlippedBitIsFound);
    CPPUNIT_TEST(tornTailIsTruncated);
    CPPUNIT_TEST(missingFilesAreDamage);
    CPPUNIT_TEST(foreignDiskIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void stopAtEveryOperationKeepsWhatWasSynced()
    {
        std::uint64_t operation = 0;
        for (bool finished = false; !finished;) {
            ++operation;
            for (std::uint64_t seed = 1; seed <= 30; ++seed) {
                std::mt19937_64 random(seed);
                const auto disk = initialisedDisk(random);
                disk->killAfter(operation);
                std::vector<std::string> synced;
                std::vector<std::string> pending;
                finished = static_cast<bool>(use(*disk, synced, pending));
                disk->crash();
                pending.push_back(synced.empty() ? "disk-a term=0 vote= snapshot=0 base=0" : synced.back());
                const std::string found = reload(*disk);
                // A batch of several records may have reached the disk in part.
                const bool partial = found == "disk-a term=3 vote=disk-b snapshot=0 base=0 1:3:reading";
                const bool known = partial || std::find(pending.begin(), pending.end(), found) != pending.end();
                CPPUNIT_ASSERT_MESSAGE(fmt::format("operation {} seed {}: {}", operation, seed, found), known);
                CPPUNIT_ASSERT_EQUAL(found, reload(*disk));
            }
        }
        CPPUNIT_ASSERT(operation > 20);
    }

    void stopWhileInitialisingLeavesNoHalfIdentity()
    {
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            std::mt19937_64 random(seed);
            FakeDisk disk(random);
            disk.killAfter(1 + seed % 16);
            const bool initialised = static_cast<bool>(initialiseDisk(disk, {{"disk-a", "host-a"}, {}}));
            disk.crash();
            const std::string found = reload(disk);
            const bool refused = found == resultName(ResultCode::DiskIdentityMismatch);
            CPPUNIT_ASSERT(refused ? !initialised : found.starts_with("disk-a "));
            CPPUNIT_ASSERT_EQUAL(refused, static_cast<bool>(initialiseDisk(disk, {{"disk-a2", "host-a"}, {}})));
        }
    }

    // Guards against a voter that forgets what it has acknowledged: the last record is no exception.
    void everyFlippedBitIsFound()
    {
        std::mt19937_64 random(1);
        const auto names = *usedDisk(random)->list();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, names.size());
        for (const std::string &name : names) {
            const auto disk = usedDisk(random);
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
        const auto whole = usedDisk(random);
        const std::string expected = "disk-a term=3 vote=disk-b snapshot=2 base=1 2:4:other";
        CPPUNIT_ASSERT_EQUAL(expected + " 3:4:reading", reload(*whole));
        const Bytes content = *whole->read("log-1");
        for (std::size_t size = 0; size < content.size(); ++size) {
            const auto disk = usedDisk(random);
            disk->setContent("log-1", Bytes(content.begin(), content.begin() + static_cast<std::ptrdiff_t>(size)));
            const std::string found = reload(*disk);
            // Entry 2 is part of the snapshot, so the log may also begin after it. Without its first records, which were
            // synced before the file got its name, the log is damaged.
            const bool known = found == expected || found == "disk-a term=3 vote=disk-b snapshot=2 base=2" || found == "DiskDamaged";
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{} bytes: {}", size, found), known);
        }
    }

    void missingFilesAreDamage()
    {
        for (const std::string name : {"log-1", "snapshot-2"}) {
            std::mt19937_64 random(1);
            const auto disk = usedDisk(random);
            CPPUNIT_ASSERT(disk->remove(name));
            CPPUNIT_ASSERT_EQUAL(std::string("DiskDamaged"), reload(*disk));
        }
    }

    // Guards against a host that takes up the votes of another one, or its own after its disk was emptied.
    void foreignDiskIsRefused()
    {
        std::mt19937_64 random(1);
        const auto disk = usedDisk(random);
        CPPUNIT_ASSERT_EQUAL(std::string("DiskIdentityMismatch"), reload(*disk, "host-b"));
        CPPUNIT_ASSERT(!initialiseDisk(*disk, {{"disk-new", "host-a"}, {}}));

        const auto other = initialisedDisk(random, "disk-other");
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
