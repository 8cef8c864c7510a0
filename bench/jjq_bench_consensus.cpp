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

/// Ends the program with a message if a storage operation fails.
template<class Operation>
auto orExit(Operation &&operation)
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

/// A new directory with the disk of host-a, removed at the end.
class DataDirectory
{
public:
    explicit DataDirectory(const std::filesystem::path &parent)
        : m_path(parent / "jjq-bench-consensus")
    {
        std::filesystem::remove_all(m_path);
        std::filesystem::create_directories(m_path);
        const auto disk = files();
        orExit([&]() -> Result<int> {
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
        return orExit([this] {
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

void store(LogStorage &storage, std::span<const jujubequay::pb::LogEntry> entries)
{
    orExit([&]() -> Result<int> {
        BOOST_LEAF_CHECK(storage.append(entries));
        BOOST_LEAF_CHECK(storage.sync());
        return 0;
    });
}

/// Time from opening the directory until a replica can take part. `load` reads each file once, so the bytes read are the
/// bytes of the files.
void measureRecovery(const std::filesystem::path &parent, std::uint64_t count)
{
    const DataDirectory directory(parent);
    {
        const auto files = directory.files();
        DiskLogStorage storage(*files, "host-a");
        orExit([&] {
            return storage.load();
        });
        std::vector<jujubequay::pb::LogEntry> entries;
        for (std::uint64_t index = 1; index <= count; ++index) {
            entries.push_back(entry(index));
        }
        store(storage, entries);
    }
    std::vector<microseconds> times;
    for (int repeat = 0; repeat < 11; ++repeat) {
        const auto start = SteadyTime::now();
        const auto files = directory.files();
        DiskLogStorage storage(*files, "host-a");
        StoredState state = orExit([&] {
            return storage.load();
        });
        std::mt19937_64 random(1);
        const Replica replica({}, std::move(state), random, start);
        times.push_back(std::chrono::duration_cast<microseconds>(SteadyTime::now() - start));
    }
    std::sort(times.begin(), times.end());
    fmt::print("recovery entries={} bytes-read={} median-us={} max-us={}\n", count, directory.bytes(), times[5].count(), times.back().count());
}

/// Time of one append and sync, which a commit waits for once on the leader and in parallel on a follower.
void measureAppend(const std::filesystem::path &parent)
{
    const DataDirectory directory(parent);
    const auto files = directory.files();
    DiskLogStorage storage(*files, "host-a");
    orExit([&] {
        return storage.load();
    });
    std::vector<microseconds> times;
    for (std::uint64_t index = 1; index <= 1000; ++index) {
        const std::vector<jujubequay::pb::LogEntry> entries{entry(index)};
        const auto start = SteadyTime::now();
        store(storage, entries);
        times.push_back(std::chrono::duration_cast<microseconds>(SteadyTime::now() - start));
    }
    std::sort(times.begin(), times.end());
    fmt::print("append-and-sync count=1000 command-bytes={} p50-us={} p99-us={} max-us={}\n",
               commandBytes,
               times[500].count(),
               times[990].count(),
               times.back().count());
}

struct Peer {
    std::unique_ptr<PosixFileSystem> files;
    std::unique_ptr<DiskLogStorage> storage;
    std::unique_ptr<Replica> replica;
};

/// Replicas in one process with a real disk each. Messages are passed on at once, one after the other, so the writes of
/// the leader and the followers do not overlap: an upper bound without a network.
class DiskCluster
{
public:
    DiskCluster(const std::filesystem::path &parent, std::size_t members)
    {
        jujubequay::pb::Membership founders;
        founders.set_cluster(1);
        for (std::size_t number = 0; number < members; ++number) {
            jujubequay::pb::Member *member = founders.add_members();
            member->set_id(fmt::format("disk-{}", number));
            member->set_voter(true);
        }
        for (std::size_t number = 0; number < members; ++number) {
            add(parent / fmt::format("jjq-bench-consensus-{}", number), founders, number);
        }
    }
    DiskCluster(const DiskCluster &) = delete;
    DiskCluster &operator=(const DiskCluster &) = delete;
    ~DiskCluster()
    {
        m_peers.clear();
        for (const auto &path : m_paths) {
            std::filesystem::remove_all(path);
        }
    }

    void elect()
    {
        while (m_peers[0].replica->role() != Role::Leader) {
            carryOut(0, m_peers[0].replica->tick(m_peers[0].replica->nextTick()));
        }
    }

    void commitOne(std::uint64_t number)
    {
        m_committed = false;
        const auto now = SteadyTime::now();
        carryOut(0, m_peers[0].replica->propose(now, {number}, Bytes(commandBytes, 'x')));
        if (!m_committed) {
            fmt::print(stderr, "proposal {} did not commit\n", number);
            std::exit(1);
        }
    }

private:
    void add(const std::filesystem::path &path, const jujubequay::pb::Membership &founders, std::size_t number)
    {
        std::filesystem::remove_all(path);
        std::filesystem::create_directories(path);
        m_paths.push_back(path);
        Peer peer;
        peer.files = orExit([&] {
            return PosixFileSystem::open(path);
        });
        const std::string host = fmt::format("host-{}", number);
        peer.storage = std::make_unique<DiskLogStorage>(*peer.files, host);
        StoredState state = orExit([&]() -> Result<StoredState> {
            BOOST_LEAF_CHECK(initialiseDisk(*peer.files, {{fmt::format("disk-{}", number), host}, founders}));
            return peer.storage->load();
        });
        peer.replica = std::make_unique<Replica>(ReplicaOptions(), std::move(state), m_random, SteadyTime::now());
        m_peers.push_back(std::move(peer));
    }

    void carryOut(std::size_t host, const Effects &effects)
    {
        for (const Effect &effect : effects) {
            m_committed = m_committed || std::holds_alternative<ProposalCommitted>(effect);
            if (std::holds_alternative<TakeSnapshot>(effect)) {
                carryOut(host, m_peers[host].replica->compactLog(SteadyTime::now(), m_peers[host].replica->appliedIndex(), Bytes(1)));
            }
            if (const auto *send = std::get_if<Send>(&effect)) {
                const std::size_t target = std::strtoul(send->message.to().c_str() + std::string_view("disk-").size(), nullptr, 10);
                carryOut(target, m_peers[target].replica->step(SteadyTime::now(), send->message));
            }
            const auto sequence = orExit([&] {
                return writeEffect(*m_peers[host].storage, effect);
            });
            if (sequence) {
                carryOut(host, m_peers[host].replica->onWritesDurable(SteadyTime::now(), *sequence));
            }
        }
    }

    std::mt19937_64 m_random{1};
    std::vector<std::filesystem::path> m_paths;
    std::vector<Peer> m_peers;
    bool m_committed = false;
};

void measureCommit(const std::filesystem::path &parent, std::size_t members)
{
    DiskCluster cluster(parent, members);
    cluster.elect();
    std::vector<microseconds> times;
    for (std::uint64_t number = 1; number <= 1000; ++number) {
        const auto start = SteadyTime::now();
        cluster.commitOne(number);
        times.push_back(std::chrono::duration_cast<microseconds>(SteadyTime::now() - start));
    }
    std::sort(times.begin(), times.end());
    fmt::print("commit members={} count=1000 p50-us={} p99-us={} max-us={}\n", members, times[500].count(), times[990].count(), times.back().count());
}

/// Messages and bytes over fakes without faults; framed protobuf, without HTTP/2 and TLS.
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
    FakeClusterCounts before = cluster.counts;
    cluster.run(seconds(idleSeconds));
    const std::uint64_t idleMessages = cluster.counts.messages - before.messages;
    const std::uint64_t idleBytes = cluster.counts.bytes - before.bytes;

    // One proposal every second, so that none shares a message; the idle traffic of the same time is subtracted.
    constexpr std::uint64_t commits = 100;
    before = cluster.counts;
    for (std::uint64_t number = 0; number < commits; ++number) {
        cluster.propose(*cluster.leader(), commandBytes);
        cluster.run(seconds(1));
    }
    const std::uint64_t commitMessages = cluster.counts.messages - before.messages;
    const std::uint64_t commitBytes = cluster.counts.bytes - before.bytes;
    const auto perSecond = [](std::uint64_t count, std::uint64_t over) {
        return static_cast<double>(count) / static_cast<double>(over);
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
    TCLAP::ValueArg<std::string> directory("", "directory", "existing directory on the disk to measure", true, "", "path", command);
    command.parse(argc, argv);
    const std::filesystem::path parent = directory.getValue();
    for (const std::uint64_t count : {10U, 100U, 1000U, 10000U}) {
        measureRecovery(parent, count);
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
