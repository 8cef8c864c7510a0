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

constexpr std::size_t spare = 3; // host that is no member at first

/// A cluster whose membership is kept at the wanted hosts.
struct Subject {
    explicit Subject(std::uint64_t seed, std::size_t hosts = 4, std::size_t voters = 3)
        : cluster(options(seed, hosts, voters))
    {
        for (std::size_t host = 0; host < voters; ++host) {
            wanted.push_back(host);
        }
        keepRepairing();
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

    void keepRepairing()
    {
        cluster.repair(wanted);
        cluster.at(milliseconds(100), [this] {
            keepRepairing();
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

    void chooseLagging()
    {
        lagging = cluster.leader() == std::optional<std::size_t>(0) ? 1 : 0;
    }

    bool isSettled()
    {
        return cluster.isConverged(wanted) && cluster.mayLoseDisk();
    }

    void settle(std::string_view when)
    {
        const bool settled = cluster.runUntil(
            [this] {
                return isSettled();
            },
            seconds(60));
        CPPUNIT_ASSERT_MESSAGE(fmt::format("hosts agree {}", when), settled);
    }

    FakeCluster cluster;
    std::vector<std::size_t> wanted;
    std::size_t lagging = 0; ///< the follower that is absent at the start of some scenarios
};

struct Scenario {
    std::string_view name;
    void (*prepare)(Subject &);
    void (*act)(Subject &);
    milliseconds duration;
};

struct Fault {
    std::string_view name;
    void (*strike)(Subject &, std::size_t host);
};

void nothing(Subject &) { }

void crashAndRestart(Subject &subject, std::size_t host)
{
    subject.cluster.crash(host);
    subject.cluster.at(milliseconds(300), [&subject, host] {
        subject.cluster.restart(host);
    });
}

void cut(Subject &subject, std::size_t host, bool incoming, bool outgoing)
{
    for (std::size_t other = 0; other < subject.cluster.hostCount(); ++other) {
        if (incoming) {
            subject.cluster.network.cuts.insert({other, host});
        }
        if (outgoing) {
            subject.cluster.network.cuts.insert({host, other});
        }
    }
}

const std::array<Scenario, 6> scenarios{{
    {"propose and commit",
     nothing,
     [](Subject &subject) {
         subject.proposeAtLeader();
     },
     milliseconds(60)},
    {"membership change",
     nothing,
     [](Subject &subject) {
         subject.wanted = {0, 1, spare};
     },
     milliseconds(450)},
    {"snapshot",
     nothing,
     [](Subject &subject) {
         subject.proposeAtLeader(12);
     },
     milliseconds(60)},
    {"install",
     [](Subject &subject) {
         subject.chooseLagging();
         subject.cluster.crash(subject.lagging);
         subject.proposeAtLeader(25);
         subject.cluster.run(milliseconds(100));
     },
     [](Subject &subject) {
         subject.cluster.restart(subject.lagging);
     },
     milliseconds(300)},
    {"repair",
     [](Subject &subject) {
         subject.chooseLagging();
         subject.proposeAtLeader(25);
         subject.cluster.run(milliseconds(100));
         subject.cluster.loseDisk(subject.lagging);
     },
     [](Subject &subject) {
         subject.cluster.restart(subject.lagging);
     },
     milliseconds(900)},
    {"restart",
     [](Subject &subject) {
         subject.proposeAtLeader(5);
         subject.cluster.run(milliseconds(100));
         subject.cluster.crash(*subject.cluster.leader());
     },
     [](Subject &subject) {
         subject.cluster.heal();
     },
     milliseconds(2000)},
}};

const std::array<Fault, 11> faults{{
    {"crash", crashAndRestart},
    {"disk stops at the next operation",
     [](Subject &subject, std::size_t host) {
         subject.cluster.disk(host).killAfter(1);
     }},
    {"disk stops at the operation after the next",
     [](Subject &subject, std::size_t host) {
         subject.cluster.disk(host).killAfter(2);
     }},
    {"disk stops five operations later",
     [](Subject &subject, std::size_t host) {
         subject.cluster.disk(host).killAfter(5);
     }},
    {"incoming messages are lost",
     [](Subject &subject, std::size_t host) {
         cut(subject, host, true, false);
     }},
    {"outgoing messages are lost",
     [](Subject &subject, std::size_t host) {
         cut(subject, host, false, true);
     }},
    {"partition",
     [](Subject &subject, std::size_t host) {
         cut(subject, host, true, true);
     }},
    {"freeze",
     [](Subject &subject, std::size_t host) {
         subject.cluster.freeze(host);
     }},
    {"all messages are lost for 10 ms",
     [](Subject &subject, std::size_t) {
         subject.cluster.network.loss = 1;
         subject.cluster.at(milliseconds(10), [&subject] {
             subject.cluster.network.loss = 0;
         });
     }},
    {"late and repeated messages",
     [](Subject &subject, std::size_t) {
         subject.cluster.network.duplicates = 1;
         subject.cluster.network.maxDelay = milliseconds(300);
     }},
    {"lost disk",
     [](Subject &subject, std::size_t host) {
         if (subject.cluster.mayLoseDisk()) {
             subject.cluster.loseDisk(host);
             subject.cluster.at(milliseconds(300), [&subject, host] {
                 subject.cluster.restart(host);
             });
         }
     }},
}};

/// Runs a scenario with a fault at its step number `step`, from 1 on; 0 for none. Returns the number of steps.
std::uint64_t run(const Scenario &scenario, const Fault &fault, std::uint64_t step, std::uint64_t seed)
{
    setRunLabel(fmt::format("scenario={} fault={} step={} seed={}", scenario.name, fault.name, step, seed));
    Subject subject(seed);
    subject.settle("at first");
    scenario.prepare(subject);
    std::uint64_t steps = 0;
    subject.cluster.onStep = [&](std::size_t host, std::string_view) {
        if (++steps == step) {
            fault.strike(subject, host);
        }
    };
    scenario.act(subject);
    subject.cluster.run(scenario.duration);
    subject.cluster.onStep = nullptr;
    subject.cluster.run(seconds(3)); // the fault lasts longer than an election
    subject.cluster.heal();
    subject.proposeAtLeader();
    subject.settle(fmt::format("after {} at step {} of {}", fault.name, step, scenario.name));
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

    // Guards against a repair that is reported as complete while the new member does not hold everything.
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
        const std::uint64_t steps = run(scenario, faults.front(), 0, seed);
        CPPUNIT_ASSERT(steps > 0);
        for (const Fault &fault : faults) {
            for (std::uint64_t step = 1; step <= steps; ++step) {
                run(scenario, fault, step, seed);
            }
        }
        fmt::print("{}, seed {}: {} faults at {} steps\n", scenario.name, seed, faults.size(), steps);
    }

    static void loseDisksInSuccession(std::uint64_t seed, std::size_t voters)
    {
        setRunLabel(fmt::format("disks lost in succession seed={} voters={}", seed, voters));
        Subject subject(seed, voters + 1, voters);
        subject.settle("at first");
        for (std::size_t loss = 0; loss < 6; ++loss) {
            subject.proposeAtLeader(7);
            // The loss comes with the very event that reports the repair as complete, whatever else is under way.
            const bool repaired = subject.cluster.runUntil(
                [&subject] {
                    return subject.cluster.mayLoseDisk();
                },
                seconds(60));
            CPPUNIT_ASSERT(repaired);
            const std::size_t host = std::uniform_int_distribution<std::size_t>(0, voters - 1)(subject.cluster.random);
            subject.cluster.loseDisk(host);
            subject.cluster.restart(host);
        }
        subject.settle("after six lost disks");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, subject.cluster.counts.lostDisks);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultMatrixTest);
