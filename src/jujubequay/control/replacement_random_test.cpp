#include <jujubequay/consensus_testing/fake_cluster.h>
#include <jujubequay/consensus_testing/run_label.h>
#include <jujubequay/control/membership_reconciler.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>

using namespace Jujubequay;
using namespace Jujubequay::Consensus;
namespace pb = jujubequay::pb;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time after the last fault in which the group has to accept proposals again.
constexpr Duration recoveryTime = seconds(12);
constexpr Duration repairTime = seconds(60);

/// A group of control hosts in which one host after the other is replaced. Each time the removed host ends for good at a random moment after its successor has
/// become a voter, and as many disks as tolerated are lost before, in or after that moment, while the network fails and processes pause. The membership is
/// reconciled as on real control hosts.
class ReplacementRun
{
public:
    explicit ReplacementRun(std::uint64_t seed)
        : m_seed(seed)
        , m_tolerated(1 + seed % 2)
        , m_cluster(options(seed, m_tolerated))
        , m_spareHost(desiredVoters())
    {
        setRunLabel(fmt::format("replacement seed={}", seed));
        runWorkload();
        reconcile();
    }

    void run()
    {
        waitFor(desiredVoters(), seconds(10), "the group starts");
        for (int round = 0; round < 3; ++round) {
            replaceOneHost();
        }
    }

private:
    static FakeClusterOptions options(std::uint64_t seed, std::size_t tolerated)
    {
        FakeClusterOptions options;
        options.seed = seed;
        options.voters = 2 * tolerated + 1;
        options.hosts = options.voters + 1;
        options.replica.snapshotInterval = 40;
        options.replica.retainedEntries = 8;
        options.replica.persistsCommitIndex = seed % 4 < 2;
        return options;
    }

    std::size_t desiredVoters() const
    {
        return 2 * m_tolerated + 1;
    }

    std::size_t below(std::size_t limit)
    {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(m_cluster.random);
    }

    Duration randomTime(milliseconds most)
    {
        return milliseconds(below(static_cast<std::size_t>(most.count()) + 1));
    }

    void replaceOneHost()
    {
        // The spare host starts as an empty machine and becomes one voter more than desired.
        const std::size_t successor = *m_spareHost;
        m_cluster.loseDisk(successor);
        m_spareHost.reset();
        m_cluster.restart(successor);
        waitFor(desiredVoters() + 1, repairTime, "the successor becomes a voter");
        m_cluster.run(randomTime(seconds(3)));

        const auto leader = m_cluster.leader();
        std::size_t removed = leader && below(2) == 0 ? *leader : below(m_cluster.hostCount());
        removed = removed == successor ? (successor + 1) % m_cluster.hostCount() : removed;
        std::vector<std::size_t> lost;
        while (lost.size() < m_tolerated) {
            const std::size_t host = below(m_cluster.hostCount());
            if (host != removed && std::find(lost.begin(), lost.end(), host) == lost.end()) {
                lost.push_back(host);
            }
        }
        schedule(removed, lost);
        m_cluster.run(seconds(6));
        m_cluster.network = FakeNetwork();
        const std::uint64_t acknowledged = m_cluster.safetyChecker.lastAcknowledged();
        const bool accepts = m_cluster.runUntil(
            [&] {
                return m_cluster.safetyChecker.lastAcknowledged() > acknowledged;
            },
            recoveryTime);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}: proposals are acknowledged after the loss of {} disks", m_seed, lost.size()), accepts);
        m_cluster.crash(removed); // if it has returned
        waitFor(desiredVoters(), repairTime, "the removed host is no voter and all others are");
    }

    /// Schedules the end of one host, the loss of disks and other faults within the next seconds.
    void schedule(std::size_t removed, const std::vector<std::size_t> &lost)
    {
        const Duration removalAt = randomTime(milliseconds(1500));
        // In some runs the removed host is only cut off for some time, and returns without knowing that it was removed.
        const bool returns = below(4) == 0;
        m_spareHost = removed;
        m_cluster.schedule(removalAt, [this, removed, returns] {
            if (returns) {
                cutOff(removed);
            } else {
                m_cluster.crash(removed);
            }
        });
        const Duration lossAt = below(2) == 0 ? removalAt : randomTime(milliseconds(3000));
        for (const std::size_t host : lost) {
            const Duration at = lossAt + (below(2) == 0 ? Duration() : randomTime(milliseconds(300)));
            m_cluster.schedule(at, [this, host] {
                m_cluster.loseDisk(host);
            });
            m_cluster.schedule(at + randomTime(milliseconds(1500)), [this, host] {
                m_cluster.restart(host);
            });
        }
        for (std::size_t count = below(4); count > 0; --count) {
            m_cluster.schedule(randomTime(milliseconds(4000)), [this] {
                disturb();
            });
        }
    }

    void cutOff(std::size_t host)
    {
        for (std::size_t other = 0; other < m_cluster.hostCount(); ++other) {
            m_cluster.network.blockedLinks.insert({host, other});
            m_cluster.network.blockedLinks.insert({other, host});
        }
    }

    void disturb()
    {
        const std::size_t host = below(m_cluster.hostCount());
        switch (below(4)) {
        case 0:
            m_cluster.freeze(host);
            m_cluster.schedule(randomTime(milliseconds(1500)), [this, host] {
                m_cluster.thaw(host);
            });
            break;
        case 1:
            m_cluster.network.blockedLinks.insert({host, below(m_cluster.hostCount())});
            break;
        case 2:
            m_cluster.network.lossProbability = 0.2;
            m_cluster.network.duplicateProbability = 0.2;
            m_cluster.network.maxDelay = milliseconds(150);
            break;
        default:
            for (std::size_t other = 0; other < m_cluster.hostCount(); ++other) {
                for (std::size_t peer = 0; peer < m_cluster.hostCount(); ++peer) {
                    if (other % 2 != peer % 2) {
                        m_cluster.network.blockedLinks.insert({other, peer});
                    }
                }
            }
        }
    }

    void runWorkload()
    {
        const auto leader = m_cluster.leader();
        if (below(4) == 0) {
            m_cluster.read(below(m_cluster.hostCount()));
        } else if (leader) {
            m_cluster.propose(*leader);
        }
        m_cluster.schedule(milliseconds(5) + randomTime(milliseconds(60)), [this] {
            runWorkload();
        });
    }

    /// Does on the leader what its MembershipReconciler decides.
    void reconcile()
    {
        const auto leader = m_cluster.leader();
        if (leader) {
            MembershipReconciler reconciler({.voters = desiredVoters()});
            const TimePoint now(m_cluster.now());
            for (std::size_t host = 0; host < m_cluster.hostCount(); ++host) {
                if (host != m_spareHost && m_cluster.replica(host) != nullptr) {
                    reconciler.joinRequested(now, AddLearner{m_cluster.identityOf(host), fmt::format("host-{}", host), {}});
                }
            }
            if (const auto change = reconciler.nextChange(now, memberStatus(*leader))) {
                m_cluster.changeMembership(*leader, *change);
            }
        }
        m_cluster.schedule(milliseconds(100), [this] {
            reconcile();
        });
    }

    std::vector<MemberStatus> memberStatus(std::size_t leader)
    {
        const Replica &replica = *m_cluster.replica(leader);
        const TimePoint now = m_cluster.hostTime(leader);
        std::vector<MemberStatus> members;
        for (const pb::Member &member : replica.membership().members()) {
            const bool isSelf = member.id() == replica.id();
            const TimePoint lastMessageAt = isSelf ? now : replica.lastMessageAt(member.id()).value_or(now);
            members.push_back({member.id(), member.host(), member.voter(), isSelf, replica.isCaughtUp(now, member.id()), now - lastMessageAt});
        }
        return members;
    }

    void waitFor(std::size_t voters, Duration time, std::string_view what)
    {
        const bool isReached = m_cluster.runUntil(
            [&] {
                const auto leader = m_cluster.leader();
                return leader && hasVoters(*m_cluster.replica(*leader), voters);
            },
            time);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}: {}", m_seed, what), isReached);
    }

    /// True if `count` voters are the only members, with the present disks of their hosts, and none is the spare host.
    bool hasVoters(const Replica &leader, std::size_t count)
    {
        const pb::Membership &membership = leader.membership();
        std::size_t present = 0;
        for (std::size_t host = 0; host < m_cluster.hostCount(); ++host) {
            present += host != m_spareHost && isVoter(membership, m_cluster.identityOf(host)) ? 1 : 0;
        }
        return present == count && static_cast<std::size_t>(membership.members_size()) == count && leader.toleratesVoterLoss();
    }

    const std::uint64_t m_seed;
    const std::size_t m_tolerated;
    FakeCluster m_cluster;
    std::optional<std::size_t> m_spareHost; // the host that is no part of the group; none during a replacement
};

/// Number from the environment, for runs by hand.
std::uint64_t environmentNumber(const char *name, std::uint64_t defaultValue)
{
    const char *text = std::getenv(name);
    return text == nullptr ? defaultValue : std::stoull(text);
}

}

class ReplacementRandomTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReplacementRandomTest);
    CPPUNIT_TEST(groupsSurviveTheToleratedLossesDuringReplacements);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a group without a leader, two leaders in one term and lost entries when disks are lost around a replacement.
    void groupsSurviveTheToleratedLossesDuringReplacements()
    {
        const std::uint64_t first = environmentNumber("REPLACEMENT_FIRST_SEED", 1);
        const std::uint64_t count = environmentNumber("REPLACEMENT_SEEDS", 60);
        for (std::uint64_t seed = first; seed < first + count; ++seed) {
            ReplacementRun(seed).run();
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplacementRandomTest);
