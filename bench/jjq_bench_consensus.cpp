#include <jujubequay/consensus/disk_log_storage.h>
#include <jujubequay/consensus/replica.h>
#include <jujubequay/consensus/storage_writes.h>
#include <jujubequay/consensus_testing/fake_cluster.h>

#include <fmt/core.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <random>

using namespace Jujubequay;
using namespace Jujubequay::Consensus;

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
using SteadyTime = std::chrono::steady_clock;

constexpr std::size_t commandBytes = 256;

/// Returns the value of a storage operation. If it fails, prints the failure and exits the program.
template<class Operation>
auto valueOrExit(Operation &&operation)
{
    return handleFailure(std::forward<Operation>(operation), [](const Failure &failure) -> std::decay_t<decltype(*operation())> {
        fmt::print(stderr, "{}: {}\n", resultName(failure.code), failure.detail);
        std::exit(1);
    });
}

jujubequay::pb::LogEntry entry(std::uint64_t index)
{
    jujubequay::pb::LogEntry entry;
    entry.set_index(index);
    entry.set_term(1);
    entry.set_command(std::string(commandBytes, 'x'));
    return entry;
}

/// A new data directory that is initialised as the disk of host-a, and deleted with this object.
class DataDirectory
{
public:
    explicit DataDirectory(const std::filesystem::path &parent)
        : m_path(parent / "jjq-bench-consensus")
    {
        std::filesystem::remove_all(m_path);
        std::filesystem::create_directories(m_path);
        const auto disk = files();
        valueOrExit([&]() -> Result<int> {
            BOOST_LEAF_CHECK(initialiseDisk(*disk, {{"disk-a", "host-a"}, {}}));
            return 0;
        });
    }
    DataDirectory(const DataDirectory &) = delete;
    DataDirectory &operator=(const DataDirectory &) = delete;
    ~DataDirectory()
    {
        std::filesystem::remove_all(m_path);
    }

    std::unique_ptr<PosixFileSystem> files() const
    {
        return valueOrExit([this] {
            return PosixFileSystem::open(m_path);
        });
    }

    std::uint64_t bytes() const
    {
        std::uint64_t total = 0;
        for (const auto &file : std::filesystem::directory_iterator(m_path)) {
            total += file.file_size();
        }
        return total;
    }

private:
    const std::filesystem::path m_path;
};

void appendAndSync(LogStorage &storage, std::span<const jujubequay::pb::LogEntry> entries)
{
    valueOrExit([&]() -> Result<int> {
        BOOST_LEAF_CHECK(storage.append(entries));
        BOOST_LEAF_CHECK(storage.sync());
        return 0;
    });
}

/// Measures the time from opening the data directory until the replica is ready. `load` reads each file once, so the number of
/// bytes read is the size of the files.
void measureRecovery(const std::filesystem::path &parent, std::uint64_t entryCount)
{
    const DataDirectory directory(parent);
    {
        const auto files = directory.files();
        DiskLogStorage storage(*files, "host-a");
        valueOrExit([&] {
            return storage.load();
        });
        std::vector<jujubequay::pb::LogEntry> entries;
        for (std::uint64_t index = 1; index <= entryCount; ++index) {
            entries.push_back(entry(index));
        }
        appendAndSync(storage, entries);
    }
    std::vector<microseconds> times;
    for (int repeat = 0; repeat < 11; ++repeat) {
        const auto start = SteadyTime::now();
        const auto files = directory.files();
        DiskLogStorage storage(*files, "host-a");
        StoredState state = valueOrExit([&] {
            return storage.load();
        });
        std::mt19937_64 random(1);
        const Replica replica({}, std::move(state), random, start);
        times.push_back(std::chrono::duration_cast<microseconds>(SteadyTime::now() - start));
    }
    std::sort(times.begin(), times.end());
    fmt::print("recovery entries={} bytes-read={} median-us={} max-us={}\n", entryCount, directory.bytes(), times[5].count(), times.back().count());
}

/// Measures one append with sync. Each commit waits for one on the leader and, in parallel, for one on the followers.
void measureAppend(const std::filesystem::path &parent)
{
    const DataDirectory directory(parent);
    const auto files = directory.files();
    DiskLogStorage storage(*files, "host-a");
    valueOrExit([&] {
        return storage.load();
    });
    std::vector<microseconds> times;
    for (std::uint64_t index = 1; index <= 1000; ++index) {
        const std::vector<jujubequay::pb::LogEntry> entries{entry(index)};
        const auto start = SteadyTime::now();
        appendAndSync(storage, entries);
        times.push_back(std::chrono::duration_cast<microseconds>(SteadyTime::now() - start));
    }
    std::sort(times.begin(), times.end());
    fmt::print("append-and-sync count=1000 command-bytes={} p50-us={} p99-us={} max-us={}\n",
               commandBytes,
               times[500].count(),
               times[990].count(),
               times.back().count());
}

struct DiskReplica {
    std::unique_ptr<PosixFileSystem> files;
    std::unique_ptr<DiskLogStorage> storage;
    std::unique_ptr<Replica> replica;
};

/// Replicas in one process, each with its own directory on the real disk. Messages are delivered immediately and one after the
/// other, so the writes of the leader and the followers do not overlap. The commit time is therefore an upper bound for the
/// case without network delay.
class DiskCluster
{
public:
    DiskCluster(const std::filesystem::path &parent, std::size_t members)
    {
        jujubequay::pb::Membership initialMembership;
        initialMembership.set_cluster(1);
        for (std::size_t number = 0; number < members; ++number) {
            jujubequay::pb::Member *member = initialMembership.add_members();
            member->set_id(fmt::format("disk-{}", number));
            member->set_voter(true);
        }
        for (std::size_t number = 0; number < members; ++number) {
            addReplica(parent / fmt::format("jjq-bench-consensus-{}", number), initialMembership, number);
        }
    }
    DiskCluster(const DiskCluster &) = delete;
    DiskCluster &operator=(const DiskCluster &) = delete;
    ~DiskCluster()
    {
        m_replicas.clear();
        for (const auto &path : m_paths) {
            std::filesystem::remove_all(path);
        }
    }

    void electLeader()
    {
        while (m_replicas[0].replica->role() != Role::Leader) {
            applyEffects(0, m_replicas[0].replica->tick(m_replicas[0].replica->nextTick()));
        }
    }

    void commitOne(std::uint64_t number)
    {
        m_committed = false;
        const auto now = SteadyTime::now();
        applyEffects(0, m_replicas[0].replica->propose(now, {number}, Bytes(commandBytes, 'x')));
        if (!m_committed) {
            fmt::print(stderr, "proposal {} did not commit\n", number);
            std::exit(1);
        }
    }

private:
    void addReplica(const std::filesystem::path &path, const jujubequay::pb::Membership &initialMembership, std::size_t number)
    {
        std::filesystem::remove_all(path);
        std::filesystem::create_directories(path);
        m_paths.push_back(path);
        DiskReplica diskReplica;
        diskReplica.files = valueOrExit([&] {
            return PosixFileSystem::open(path);
        });
        const std::string host = fmt::format("host-{}", number);
        diskReplica.storage = std::make_unique<DiskLogStorage>(*diskReplica.files, host);
        StoredState state = valueOrExit([&]() -> Result<StoredState> {
            BOOST_LEAF_CHECK(initialiseDisk(*diskReplica.files, {{fmt::format("disk-{}", number), host}, initialMembership}));
            return diskReplica.storage->load();
        });
        diskReplica.replica = std::make_unique<Replica>(ReplicaOptions(), std::move(state), m_random, SteadyTime::now());
        m_replicas.push_back(std::move(diskReplica));
    }

    void applyEffects(std::size_t host, const Effects &effects)
    {
        for (const Effect &effect : effects) {
            m_committed = m_committed || std::holds_alternative<ProposalCommitted>(effect);
            if (std::holds_alternative<TakeSnapshot>(effect)) {
                applyEffects(host, m_replicas[host].replica->compactLog(SteadyTime::now(), m_replicas[host].replica->appliedIndex(), Bytes(1)));
            }
            if (const auto *send = std::get_if<Send>(&effect)) {
                const std::size_t target = std::strtoul(send->message.to().c_str() + std::string_view("disk-").size(), nullptr, 10);
                applyEffects(target, m_replicas[target].replica->step(SteadyTime::now(), send->message));
            }
            const auto sequence = valueOrExit([&] {
                return writeEffect(*m_replicas[host].storage, effect);
            });
            if (sequence) {
                applyEffects(host, m_replicas[host].replica->onWritesDurable(SteadyTime::now(), *sequence));
            }
        }
    }

    std::mt19937_64 m_random{1};
    std::vector<std::filesystem::path> m_paths;
    std::vector<DiskReplica> m_replicas;
    bool m_committed = false;
};

void measureCommit(const std::filesystem::path &parent, std::size_t members)
{
    DiskCluster cluster(parent, members);
    cluster.electLeader();
    std::vector<microseconds> times;
    for (std::uint64_t number = 1; number <= 1000; ++number) {
        const auto start = SteadyTime::now();
        cluster.commitOne(number);
        times.push_back(std::chrono::duration_cast<microseconds>(SteadyTime::now() - start));
    }
    std::sort(times.begin(), times.end());
    fmt::print("commit members={} count=1000 p50-us={} p99-us={} max-us={}\n", members, times[500].count(), times[990].count(), times.back().count());
}

/// Counts messages and bytes in a simulated cluster without faults. The bytes are framed protobuf, without HTTP/2 and TLS.
void measureMessages(std::size_t members)
{
    FakeClusterOptions options;
    options.hosts = members;
    options.voters = members;
    options.verifyCommits = false;
    options.clockSkew = 0;
    FakeCluster cluster(options);
    cluster.run(seconds(5));

    constexpr std::uint64_t idleSeconds = 100;
    FakeClusterCounts countsBefore = cluster.counts;
    cluster.run(seconds(idleSeconds));
    const std::uint64_t idleMessages = cluster.counts.messages - countsBefore.messages;
    const std::uint64_t idleBytes = cluster.counts.bytes - countsBefore.bytes;

    // Proposals are one second apart so that no two share a message. The idle traffic of the same period is subtracted.
    constexpr std::uint64_t commits = 100;
    countsBefore = cluster.counts;
    for (std::uint64_t number = 0; number < commits; ++number) {
        cluster.propose(*cluster.leader(), commandBytes);
        cluster.run(seconds(1));
    }
    const std::uint64_t commitMessages = cluster.counts.messages - countsBefore.messages;
    const std::uint64_t commitBytes = cluster.counts.bytes - countsBefore.bytes;
    const auto perSecond = [](std::uint64_t total, std::uint64_t durationSeconds) {
        return static_cast<double>(total) / static_cast<double>(durationSeconds);
    };
    fmt::print("messages members={} idle-messages-per-s={:.1f} idle-bytes-per-s={:.0f} messages-per-commit={:.1f} bytes-per-commit={:.0f} "
               "command-bytes={}\n",
               members,
               perSecond(idleMessages, idleSeconds),
               perSecond(idleBytes, idleSeconds),
               perSecond(commitMessages, commits) - perSecond(idleMessages, idleSeconds),
               perSecond(commitBytes, commits) - perSecond(idleBytes, idleSeconds),
               commandBytes);
}

}

int main(int argc, char **argv)
{
    TCLAP::CmdLine command("Measures the replicated log: recovery, commit latency on a real disk, messages and bytes.");
    TCLAP::ValueArg<std::string> directory("", "directory", "existing directory on the disk to be measured", true, "", "path", command);
    command.parse(argc, argv);
    const std::filesystem::path parent = directory.getValue();
    for (const std::uint64_t entryCount : {10U, 100U, 1000U, 10000U}) {
        measureRecovery(parent, entryCount);
    }
    measureAppend(parent);
    for (const std::size_t members : {3U, 5U, 7U}) {
        measureCommit(parent, members);
    }
    for (const std::size_t members : {3U, 5U, 7U}) {
        measureMessages(members);
    }
    return 0;
}
