#include <jujubequay/consensus_testing/fake_cluster.h>
#include <jujubequay/consensus_testing/run_label.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <array>
#include <cstdio>

using namespace Jujubequay;
using namespace Jujubequay::Consensus;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t spareHost = 3; // not a member of the initial cluster

/// A simulated cluster that periodically repairs its membership until exactly `wantedVoters` are members.
struct ClusterHarness {
    explicit ClusterHarness(std::uint64_t seed, std::size_t hosts = 4, std::size_t voters = 3)
        : cluster(options(seed, hosts, voters))
    {
        for (std::size_t host = 0; host < voters; ++host) {
            wantedVoters.push_back(host);
        }
        repairPeriodically();
    }

    static FakeClusterOptions options(std::uint64_t seed, std::size_t hosts, std::size_t voters)
    {
        FakeClusterOptions options;
        options.seed = seed;
        options.hosts = hosts;
        options.voters = voters;
        options.replica.snapshotInterval = 10;
        options.replica.retainedEntries = 2;
        options.replica.snapshotChunkBytes = 128;
        return options;
    }

    void repairPeriodically()
    {
        cluster.repair(wantedVoters);
        cluster.schedule(milliseconds(100), [this] {
            repairPeriodically();
        });
    }

    void proposeAtLeader(int count = 1)
    {
        for (int number = 0; number < count; ++number) {
            if (const auto leader = cluster.leader()) {
                cluster.propose(*leader);
            }
        }
    }

    void chooseLaggingHost()
    {
        laggingHost = cluster.leader() == std::optional<std::size_t>(0) ? 1 : 0;
    }

    bool hasConverged()
    {
        return cluster.isConverged(wantedVoters) && cluster.toleratesDiskLoss();
    }

    void waitUntilConverged(std::string_view when)
    {
        const bool converged = cluster.runUntil(
            [this] {
                return hasConverged();
            },
            seconds(60));
        CPPUNIT_ASSERT_MESSAGE(fmt::format("hosts converge {}", when), converged);
    }

    FakeCluster cluster;
    std::vector<std::size_t> wantedVoters;
    std::size_t laggingHost = 0; ///< follower that is down, or has lost its disk, at the start of some scenarios
};

struct Scenario {
    std::string_view name;
    void (*setUp)(ClusterHarness &);
    void (*run)(ClusterHarness &);
    milliseconds duration;
};

struct Fault {
    std::string_view name;
    void (*inject)(ClusterHarness &, std::size_t host);
};

void doNothing(ClusterHarness &) { }

void crashAndRestart(ClusterHarness &harness, std::size_t host)
{
    harness.cluster.crash(host);
    harness.cluster.schedule(milliseconds(300), [&harness, host] {
        harness.cluster.restart(host);
    });
}

void blockLinks(ClusterHarness &harness, std::size_t host, bool incoming, bool outgoing)
{
    for (std::size_t other = 0; other < harness.cluster.hostCount(); ++other) {
        if (incoming) {
            harness.cluster.network.blockedLinks.insert({other, host});
        }
        if (outgoing) {
            harness.cluster.network.blockedLinks.insert({host, other});
        }
    }
}

const std::array<Scenario, 6> scenarios{{
    {"propose and commit",
     doNothing,
     [](ClusterHarness &harness) {
         harness.proposeAtLeader();
     },
     milliseconds(60)},
    {"membership change",
     doNothing,
     [](ClusterHarness &harness) {
         harness.wantedVoters = {0, 1, spareHost};
     },
     milliseconds(450)},
    {"snapshot",
     doNothing,
     [](ClusterHarness &harness) {
         harness.proposeAtLeader(12);
     },
     milliseconds(60)},
    {"install",
     [](ClusterHarness &harness) {
         harness.chooseLaggingHost();
         harness.cluster.crash(harness.laggingHost);
         harness.proposeAtLeader(25);
         harness.cluster.run(milliseconds(100));
     },
     [](ClusterHarness &harness) {
         harness.cluster.restart(harness.laggingHost);
     },
     milliseconds(300)},
    {"repair",
     [](ClusterHarness &harness) {
         harness.chooseLaggingHost();
         harness.proposeAtLeader(25);
         harness.cluster.run(milliseconds(100));
         harness.cluster.loseDisk(harness.laggingHost);
     },
     [](ClusterHarness &harness) {
         harness.cluster.restart(harness.laggingHost);
     },
     milliseconds(900)},
    {"restart",
     [](ClusterHarness &harness) {
         harness.proposeAtLeader(5);
         harness.cluster.run(milliseconds(100));
         harness.cluster.crash(*harness.cluster.leader());
     },
     [](ClusterHarness &harness) {
         harness.cluster.heal();
     },
     milliseconds(2000)},
}};

const std::array<Fault, 11> faults{{
    {"crash", crashAndRestart},
    {"disk stops at the next operation",
     [](ClusterHarness &harness, std::size_t host) {
         harness.cluster.disk(host).stopAfter(1);
     }},
    {"disk stops at the operation after the next",
     [](ClusterHarness &harness, std::size_t host) {
         harness.cluster.disk(host).stopAfter(2);
     }},
    {"disk stops five operations later",
     [](ClusterHarness &harness, std::size_t host) {
         harness.cluster.disk(host).stopAfter(5);
     }},
    {"incoming messages are lost",
     [](ClusterHarness &harness, std::size_t host) {
         blockLinks(harness, host, true, false);
     }},
    {"outgoing messages are lost",
     [](ClusterHarness &harness, std::size_t host) {
         blockLinks(harness, host, false, true);
     }},
    {"partition",
     [](ClusterHarness &harness, std::size_t host) {
         blockLinks(harness, host, true, true);
     }},
    {"freeze",
     [](ClusterHarness &harness, std::size_t host) {
         harness.cluster.freeze(host);
     }},
    {"all messages are lost for 10 ms",
     [](ClusterHarness &harness, std::size_t) {
         harness.cluster.network.lossProbability = 1;
         harness.cluster.schedule(milliseconds(10), [&harness] {
             harness.cluster.network.lossProbability = 0;
         });
     }},
    {"late and repeated messages",
     [](ClusterHarness &harness, std::size_t) {
         harness.cluster.network.duplicateProbability = 1;
         harness.cluster.network.maxDelay = milliseconds(300);
     }},
    {"lost disk",
     [](ClusterHarness &harness, std::size_t host) {
         if (harness.cluster.toleratesDiskLoss()) {
             harness.cluster.loseDisk(host);
             harness.cluster.schedule(milliseconds(300), [&harness, host] {
                 harness.cluster.restart(host);
             });
         }
     }},
}};

/// Runs a scenario and injects a fault at step number `step`, counted from 1; 0 for no fault. Returns the number of steps.
std::uint64_t runScenario(const Scenario &scenario, const Fault &fault, std::uint64_t step, std::uint64_t seed)
{
    setRunLabel(fmt::format("scenario={} fault={} step={} seed={}", scenario.name, fault.name, step, seed));
    ClusterHarness harness(seed);
    harness.waitUntilConverged("before the fault");
    scenario.setUp(harness);
    std::uint64_t steps = 0;
    harness.cluster.onStep = [&](std::size_t host, std::string_view) {
        if (++steps == step) {
            fault.inject(harness, host);
        }
    };
    scenario.run(harness);
    harness.cluster.run(scenario.duration);
    harness.cluster.onStep = nullptr;
    harness.cluster.run(seconds(3)); // the fault lasts longer than an election
    harness.cluster.heal();
    harness.proposeAtLeader();
    harness.waitUntilConverged(fmt::format("after {} at step {} of {}", fault.name, step, scenario.name));
    return steps;
}

}

class FaultMatrixTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FaultMatrixTest);
    CPPUNIT_TEST(everyFaultAtEveryStep);
    CPPUNIT_TEST(disksLostInSuccessionRightAfterRepair);
    CPPUNIT_TEST_SUITE_END();

public:
    void everyFaultAtEveryStep()
    {
        for (const Scenario &scenario : scenarios) {
            for (std::uint64_t seed = 1; seed <= 3; ++seed) {
                everyFaultAtEveryStepOf(scenario, seed);
            }
        }
    }

    // Guards against the loss of acknowledged entries when a repair is reported as complete before the new member has all of them.
    void disksLostInSuccessionRightAfterRepair()
    {
        for (const std::size_t voters : {3U, 5U}) {
            for (std::uint64_t seed = 1; seed <= 40; ++seed) {
                loseDisksInSuccession(seed, voters);
            }
        }
    }

private:
    static void everyFaultAtEveryStepOf(const Scenario &scenario, std::uint64_t seed)
    {
        const std::uint64_t steps = runScenario(scenario, faults.front(), 0, seed);
        CPPUNIT_ASSERT(steps > 0);
        for (const Fault &fault : faults) {
            for (std::uint64_t step = 1; step <= steps; ++step) {
                runScenario(scenario, fault, step, seed);
            }
        }
        fmt::print("{}, seed {}: {} faults at {} steps\n", scenario.name, seed, faults.size(), steps);
    }

    static void loseDisksInSuccession(std::uint64_t seed, std::size_t voters)
    {
        setRunLabel(fmt::format("disks lost in succession seed={} voters={}", seed, voters));
        ClusterHarness harness(seed, voters + 1, voters);
        harness.waitUntilConverged("before the fault");
        for (std::size_t loss = 0; loss < 6; ++loss) {
            harness.proposeAtLeader(7);
            // Loses the next disk right after the event that completes the repair, when other messages and writes are still pending.
            const bool isRepaired = harness.cluster.runUntil(
                [&harness] {
                    return harness.cluster.toleratesDiskLoss();
                },
                seconds(60));
            CPPUNIT_ASSERT(isRepaired);
            const std::size_t host = std::uniform_int_distribution<std::size_t>(0, voters - 1)(harness.cluster.random);
            harness.cluster.loseDisk(host);
            harness.cluster.restart(host);
        }
        harness.waitUntilConverged("after six lost disks");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, harness.cluster.counts.lostDisks);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultMatrixTest);
