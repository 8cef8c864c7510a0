#include <jujubequay/consensus_testing/random_run.h>

#include <jujubequay/consensus_testing/run_label.h>
#include <jujubequay/core/invariant.h>

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace Jujubequay::Consensus {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t hostCount = 8;
constexpr Duration recoveryLimit = seconds(120);

/// Small limits, so that snapshots, chunks and full windows occur in every run.
ReplicaOptions smallReplicaOptions()
{
    ReplicaOptions options;
    options.maxMessageBytes = 300;
    options.maxUnacknowledged = 16;
    options.snapshotChunkBytes = 100;
    options.snapshotInterval = 40;
    options.retainedEntries = 8;
    return options;
}

/// Starts faults and work at random times, until stopped.
class Chaos
{
public:
    Chaos(FakeCluster &cluster, std::size_t voters)
        : m_cluster(cluster)
    {
        wantVoters(voters);
        work();
        fault();
        repair();
    }

    void stop()
    {
        m_stopped = true;
        m_cluster.heal();
    }

    const std::vector<std::size_t> &wanted() const
    {
        return m_wanted;
    }

private:
    std::size_t pick(std::size_t most)
    {
        return std::uniform_int_distribution<std::size_t>(0, most)(m_cluster.random);
    }

    std::size_t pickHost()
    {
        return pick(m_cluster.hostCount() - 1);
    }

    Duration pickTime(milliseconds most)
    {
        return milliseconds(pick(static_cast<std::size_t>(most.count())));
    }

    void wantVoters(std::size_t count)
    {
        m_wanted.clear();
        for (std::size_t host = 0; host < count; ++host) {
            m_wanted.push_back(host);
        }
    }

    void work()
    {
        const auto leader = m_cluster.leader();
        const std::size_t host = leader && pick(9) != 0 ? *leader : pickHost();
        if (pick(3) == 0) {
            m_cluster.read(pickHost());
        } else {
            m_cluster.propose(host, pick(9) == 0 ? 400 : 8);
        }
        m_cluster.at(pickTime(milliseconds(60)), [this] {
            work();
        });
    }

    void repair()
    {
        m_cluster.repair(m_wanted);
        m_cluster.at(milliseconds(300), [this] {
            repair();
        });
    }

    void fault()
    {
        if (m_stopped) {
            return;
        }
        using Fault = void (Chaos::*)();
        static constexpr std::array<Fault, 12> faults{&Chaos::crashHost,
                                                      &Chaos::crashHost,
                                                      &Chaos::killAtDiskOperation,
                                                      &Chaos::killAtDiskOperation,
                                                      &Chaos::loseDisk,
                                                      &Chaos::flipBit,
                                                      &Chaos::cutLink,
                                                      &Chaos::partition,
                                                      &Chaos::joinNetwork,
                                                      &Chaos::freezeHost,
                                                      &Chaos::degradeNetwork,
                                                      &Chaos::resize};
        (this->*faults[pick(faults.size() - 1)])();
        m_cluster.at(pickTime(milliseconds(1500)), [this] {
            fault();
        });
    }

    void restartLater(std::size_t host)
    {
        m_cluster.at(pickTime(milliseconds(4000)), [this, host] {
            m_cluster.restart(host);
        });
    }

    void crashHost()
    {
        const auto leader = m_cluster.leader();
        const std::size_t host = leader && pick(1) == 0 ? *leader : pickHost();
        m_cluster.crash(host);
        restartLater(host);
    }

    void killAtDiskOperation()
    {
        m_cluster.disk(pickHost()).killAfter(1 + pick(12));
    }

    void loseDisk()
    {
        if (m_cluster.mayLoseDisk()) {
            const std::size_t host = pickHost();
            m_cluster.loseDisk(host);
            restartLater(host);
        }
    }

    void flipBit()
    {
        if (m_cluster.mayLoseDisk()) {
            const std::size_t host = pickHost();
            m_cluster.crash(host);
            m_cluster.flipBit(host);
            restartLater(host);
        }
    }

    void cutLink()
    {
        m_cluster.network.cuts.insert({pickHost(), pickHost()});
    }

    void partition()
    {
        const std::size_t host = pickHost();
        for (std::size_t other = 0; other < m_cluster.hostCount(); ++other) {
            m_cluster.network.cuts.insert({host, other});
            m_cluster.network.cuts.insert({other, host});
        }
    }

    void joinNetwork()
    {
        m_cluster.network = FakeNetwork();
    }

    void freezeHost()
    {
        const std::size_t host = pickHost();
        m_cluster.freeze(host);
        m_cluster.at(pickTime(milliseconds(4000)), [this, host] {
            m_cluster.thaw(host);
        });
    }

    void degradeNetwork()
    {
        m_cluster.network.loss = 0.1 * static_cast<double>(pick(3));
        m_cluster.network.duplicates = 0.1 * static_cast<double>(pick(3));
        m_cluster.network.maxDelay = milliseconds(6 + 100 * pick(3));
    }

    void resize()
    {
        wantVoters(3 + 2 * pick(2));
    }

    FakeCluster &m_cluster;
    std::vector<std::size_t> m_wanted;
    bool m_stopped = false;
};

}

RandomRunResult executeRandomRun(const RandomRunOptions &options)
{
    setRunLabel(fmt::format("seed={} events={}", options.seed, options.events));
    FakeClusterOptions clusterOptions;
    clusterOptions.seed = options.seed;
    clusterOptions.hosts = hostCount;
    clusterOptions.voters = 3 + 2 * (options.seed % 3);
    clusterOptions.replica = smallReplicaOptions();
    FakeCluster cluster(clusterOptions);
    Chaos chaos(cluster, clusterOptions.voters);
    while (cluster.counts.events < options.events) {
        cluster.step();
    }
    chaos.stop();

    RandomRunResult result;
    const Duration start = cluster.now();
    const std::uint64_t acknowledged = cluster.safetyChecker.lastAcknowledged();
    const bool agreed = cluster.runUntil(
        [&] {
            return cluster.safetyChecker.lastAcknowledged() > acknowledged && cluster.isConverged(chaos.wanted()) && cluster.mayLoseDisk();
        },
        recoveryLimit);
    checkInvariant(agreed, "random run: all hosts agree after the faults have ended");
    result.recovery = cluster.now() - start;
    result.counts = cluster.counts;
    result.entries = cluster.safetyChecker.lastIndex();
    result.acknowledged = cluster.safetyChecker.acknowledgedCount();
    result.digest = cluster.safetyChecker.digestAt(cluster.safetyChecker.lastIndex());
    return result;
}

std::string toString(const RandomRunResult &result)
{
    const FakeClusterCounts &counts = result.counts;
    return fmt::format("events={} entries={} acknowledged={} reads={} elections={} crashes={} lost-disks={} damaged-disks={} installs={} "
                       "membership-changes={} recovery-ms={} digest={:016x}",
                       counts.events,
                       result.entries,
                       result.acknowledged,
                       counts.reads,
                       counts.elections,
                       counts.crashes,
                       counts.lostDisks,
                       counts.damagedDisks,
                       counts.installs,
                       counts.membershipChanges,
                       std::chrono::duration_cast<milliseconds>(result.recovery).count(),
                       result.digest);
}

}
