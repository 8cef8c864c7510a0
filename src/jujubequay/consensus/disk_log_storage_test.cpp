#include <jujubequay/consensus/disk_log_storage.h>
#include <jujubequay/consensus/replica.h>
#include <jujubequay/consensus/storage_writes.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <unistd.h>

using namespace Jujubequay;
using namespace Jujubequay::Consensus;

namespace {

class TemporaryDirectory
{
public:
    TemporaryDirectory()
        : path(std::filesystem::temp_directory_path() / fmt::format("consensus-test-{}-{}", ::getpid(), ++count))
    {
        std::filesystem::create_directories(path);
    }
    TemporaryDirectory(const TemporaryDirectory &) = delete;
    TemporaryDirectory &operator=(const TemporaryDirectory &) = delete;
    ~TemporaryDirectory()
    {
        std::filesystem::remove_all(path);
    }

    static inline int count = 0;
    const std::filesystem::path path;
};

jujubequay::pb::Membership singleVoter(const std::string &id)
{
    jujubequay::pb::Membership membership;
    membership.set_cluster(7);
    membership.add_members()->set_id(id);
    membership.mutable_members(0)->set_voter(true);
    return membership;
}

/// Carries out the effects of a replica that is the only member of its cluster. Returns the commands that it applies.
std::vector<std::string> carryOut(Replica &replica, LogStorage &storage, Effects effects)
{
    std::vector<std::string> commands;
    while (!effects.empty()) {
        Effects nextEffects;
        for (const Effect &effect : effects) {
            if (const auto *apply = std::get_if<Apply>(&effect)) {
                for (const auto &entry : apply->entries) {
                    commands.push_back(entry.command());
                }
            }
            const auto sequence = writeEffect(storage, effect);
            CPPUNIT_ASSERT(sequence);
            if (*sequence) {
                Effects more = replica.onWritesDurable({}, **sequence);
                std::move(more.begin(), more.end(), std::back_inserter(nextEffects));
            }
        }
        effects = std::move(nextEffects);
    }
    return commands;
}

}

class DiskLogStorageTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DiskLogStorageTest);
    CPPUNIT_TEST(committedEntriesSurviveARestart);
    CPPUNIT_TEST_SUITE_END();

public:
    void committedEntriesSurviveARestart()
    {
        const TemporaryDirectory directory;
        std::mt19937_64 random(1);
        for (int restarts = 0; restarts < 2; ++restarts) {
            auto files = PosixFileSystem::open(directory.path);
            CPPUNIT_ASSERT(files);
            if (restarts == 0) {
                CPPUNIT_ASSERT(initialiseDisk(**files, {{"disk-a", "host-a"}, singleVoter("disk-a")}));
            }
            DiskLogStorage storage(**files, "host-a");
            auto state = storage.load();
            CPPUNIT_ASSERT(state);
            Replica replica({}, std::move(*state), random, {});
            CPPUNIT_ASSERT(carryOut(replica, storage, replica.start()).empty());
            const auto recovered = carryOut(replica, storage, replica.tick(replica.nextTick()));
            CPPUNIT_ASSERT(replica.role() == Role::Leader);
            const std::vector<std::string> expected = restarts == 0 ? std::vector<std::string>{""} : std::vector<std::string>{"", "A", ""};
            CPPUNIT_ASSERT(recovered == expected);
            if (restarts == 0) {
                CPPUNIT_ASSERT(carryOut(replica, storage, replica.propose({}, {1}, {'A'})) == std::vector<std::string>{"A"});
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DiskLogStorageTest);
