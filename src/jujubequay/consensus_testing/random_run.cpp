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
constexpr Duration maxRecoveryTime = seconds(120);

/// Small limits, so that every run has snapshots, several chunks per snapshot, and followers that reach the limit of unacknowledged entries.
ReplicaOptions smallReplicaOptions()
{
    ReplicaOptions options;
    options.maxMessageBytes = 300;
    options.maxUnacknowledgedEntries = 16;
    options.snapshotChunkBytes = 100;
    options.snapshotInterval = 40;
    options.retainedEntries = 8;
    return options;
}

/// Sends proposals and reads and injects faults at random times. `stop` ends the faults but not the requests.
class ChaosGenerator
{
public:
    ChaosGenerator(FakeCluster &cluster, std::size_t voters)
        : m_cluster(cluster)
    {
        setWantedVoters(voters);
        runWorkload();
        injectFault();
        repair();
    }

    void stop()
    {
        m_isStopped = true;
        m_cluster.heal();
    }

    const std::vector<std::size_t> &wantedVoters() const
    {
        return m_wantedVoters;
    }

private:
    std::size_t randomUpTo(std::size_t most)
    {
        return std::uniform_int_distribution<std::size_t>(0, most)(m_cluster.random);
    }

    std::size_t randomHost()
    {
        return randomUpTo(m_cluster.hostCount() - 1);
    }

    Duration randomTime(milliseconds most)
    {
        return milliseconds(randomUpTo(static_cast<std::size_t>(most.count())));
    }

    void setWantedVoters(std::size_t count)
    {
        m_wantedVoters.clear();
        for (std::size_t host = 0; host < count; ++host) {
            m_wantedVoters.push_back(host);
        }
    }

    void runWorkload()
    {
        const auto leader = m_cluster.leader();
        const std::size_t host = leader && randomUpTo(9) != 0 ? *leader : randomHost();
        if (randomUpTo(3) == 0) {
            m_cluster.read(randomHost());
        } else {
            m_cluster.propose(host, randomUpTo(9) == 0 ? 400 : 8);
        }
        m_cluster.schedule(randomTime(milliseconds(60)), [this] {
            runWorkload();
        });
    }

    void repair()
    {
        m_cluster.repair(m_wantedVoters);
        m_cluster.schedule(milliseconds(300), [this] {
            repair();
        });
    }

    void injectFault()
    {
        if (m_isStopped) {
            return;
        }
        using Fault = void (ChaosGenerator::*)();
        static constexpr std::array<Fault, 12> faults{&ChaosGenerator::crashHost,
                                                      &ChaosGenerator::crashHost,
                                                      &ChaosGenerator::stopDiskAtOperation,
                                                      &ChaosGenerator::stopDiskAtOperation,
                                                      &ChaosGenerator::loseDisk,
                                                      &ChaosGenerator::flipBit,
                                                      &ChaosGenerator::cutLink,
                                                      &ChaosGenerator::partition,
                                                      &ChaosGenerator::healNetwork,
                                                      &ChaosGenerator::freezeHost,
                                                      &ChaosGenerator::degradeNetwork,
                                                      &ChaosGenerator::changeVoterCount};
        (this->*faults[randomUpTo(faults.size() - 1)])();
        m_cluster.schedule(randomTime(milliseconds(1500)), [this] {
            injectFault();
        });
    }

    void restartLater(std::size_t host)
    {
        m_cluster.schedule(randomTime(milliseconds(4000)), [this, host] {
            m_cluster.restart(host);
        });
    }

    void crashHost()
    {
        const auto leader = m_cluster.leader();
        const std::size_t host = leader && randomUpTo(1) == 0 ? *leader : randomHost();
        m_cluster.crash(host);
        restartLater(host);
    }

    void stopDiskAtOperation()
    {
        m_cluster.disk(randomHost()).stopAfter(1 + randomUpTo(12));
    }

    void loseDisk()
    {
        if (m_cluster.toleratesDiskLoss()) {
            const std::size_t host = randomHost();
            m_cluster.loseDisk(host);
            restartLater(host);
        }
    }

    void flipBit()
    {
        if (m_cluster.toleratesDiskLoss()) {
            const std::size_t host = randomHost();
            m_cluster.crash(host);
            m_cluster.flipBit(host);
            restartLater(host);
        }
    }

    void cutLink()
    {
        m_cluster.network.blockedLinks.insert({randomHost(), randomHost()});
    }

    void partition()
    {
        const std::size_t host = randomHost();
        for (std::size_t other = 0; other < m_cluster.hostCount(); ++other) {
            m_cluster.network.blockedLinks.insert({host, other});
            m_cluster.network.blockedLinks.insert({other, host});
        }
    }

    void healNetwork()
    {
        m_cluster.network = FakeNetwork();
    }

    void freezeHost()
    {
        const std::size_t host = randomHost();
        m_cluster.freeze(host);
        m_cluster.schedule(randomTime(milliseconds(4000)), [this, host] {
            m_cluster.thaw(host);
        });
    }

    void degradeNetwork()
    {
        m_cluster.network.lossProbability = 0.1 * static_cast<double>(randomUpTo(3));
        m_cluster.network.duplicateProbability = 0.1 * static_cast<double>(randomUpTo(3));
        m_cluster.network.maxDelay = milliseconds(6 + 100 * randomUpTo(3));
    }

    void changeVoterCount()
    {
        setWantedVoters(3 + 2 * randomUpTo(2));
    }

    FakeCluster &m_cluster;
    std::vector<std::size_t> m_wantedVoters;
    bool m_isStopped = false;
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
    ChaosGenerator chaos(cluster, clusterOptions.voters);
    while (cluster.counts.events < options.events) {
        cluster.step();
    }
    chaos.stop();

    RandomRunResult result;
    const Duration endOfFaults = cluster.now();
    const std::uint64_t lastAcknowledged = cluster.safetyChecker.lastAcknowledged();
    const bool haveConverged = cluster.runUntil(
        [&] {
            return cluster.safetyChecker.lastAcknowledged() > lastAcknowledged && cluster.isConverged(chaos.wantedVoters()) && cluster.toleratesDiskLoss();
        },
        maxRecoveryTime);
    checkInvariant(haveConverged, "random run: all hosts converge after the faults have ended");
    result.recovery = cluster.now() - endOfFaults;
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
                       counts.confirmedReads,
                       counts.elections,
                       counts.crashes,
                       counts.lostDisks,
                       counts.damagedDisks,
                       counts.installedSnapshots,
                       counts.membershipChanges,
                       std::chrono::duration_cast<milliseconds>(result.recovery).count(),
                       result.digest);
}

}
