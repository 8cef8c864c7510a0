#include <jujubequay/control/config_snapshot.h>
#include <jujubequay/control/lease_registry.h>
#include <jujubequay/core/result_code.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <random>

using namespace Jujubequay;
namespace pb = jujubequay::pb;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t wallStart = 1'700'000'000'000;

pb::ServerEntry server(int number, std::uint32_t incarnation = 1, pb::ServerState state = pb::SERVER_STATE_SERVING, std::uint64_t sequence = 1)
{
    pb::ServerEntry entry;
    entry.set_name(fmt::format("inspect-desk-{}", number));
    entry.set_service("inspect-desk");
    entry.set_zone(number < 100 ? "dar-ubungo" : "dar-kurasini");
    entry.set_host(fmt::format("host-{}", number));
    entry.set_relay_address(fmt::format("127.0.0.{}:4500", number % 250 + 1));
    entry.set_incarnation(incarnation);
    entry.set_sequence(sequence);
    entry.set_state(state);
    entry.set_weight(100);
    return entry;
}

pb::ServerEntry serverOfAgent(std::uint32_t incarnation, std::uint32_t agentEpoch, std::uint64_t agentOrder, std::uint64_t sequence = 1)
{
    pb::ServerEntry entry = server(0, incarnation, pb::SERVER_STATE_SERVING, sequence);
    entry.set_agent_epoch(agentEpoch);
    entry.set_agent_order(agentOrder);
    return entry;
}

std::string contents(const LeaseRegistry &registry)
{
    std::string text;
    for (const auto &delta : registry.localChangesAfter(0)) {
        std::vector<std::string> entries;
        for (const auto &entry : delta.servers()) {
            entries.push_back(entry.SerializeAsString());
        }
        std::sort(entries.begin(), entries.end());
        for (const auto &entry : entries) {
            text += entry + "\n";
        }
    }
    return text;
}

}

class LeaseRegistryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeaseRegistryTest);
    CPPUNIT_TEST(unresponsiveServerIsRemovedAndReturns);
    CPPUNIT_TEST(unresponsiveZoneStaysSuspect);
    CPPUNIT_TEST(zoneUnresponsiveOnSeveralControlHostsStaysSuspect);
    CPPUNIT_TEST(serversThatDoNotReturnWithTheirZoneAreRemoved);
    CPPUNIT_TEST(drainIsPublishedAtOnceAndNeverUndone);
    CPPUNIT_TEST(lateAnnouncementOfOldIncarnationIsRefused);
    CPPUNIT_TEST(runningIncarnationReturnsAfterItsSuccessorLeft);
    CPPUNIT_TEST(laterServerOfAnAgentReplacesTheEarlierOne);
    CPPUNIT_TEST(orderOfAnAgentHoldsWhateverTheClocks);
    CPPUNIT_TEST(restartedAgentChoosesAHigherOrder);
    CPPUNIT_TEST(lateAnnouncementAtARestartedAgentReplacesNothing);
    CPPUNIT_TEST(unannouncedServerTakesNoNewFlowsAfterADrain);
    CPPUNIT_TEST(implausibleOrderOfAnAgentIsIgnored);
    CPPUNIT_TEST(serverOfARestartedAgentStaysListed);
    CPPUNIT_TEST(wallClockStepDoesNotReorderIncarnations);
    CPPUNIT_TEST(reusedAddressRemovesTheOldServer);
    CPPUNIT_TEST(pausedControlHostDoesNotExpireLeases);
    CPPUNIT_TEST(serversOfADisconnectedControlHostAreAdopted);
    CPPUNIT_TEST(isolatedControlHostRemovesNothing);
    CPPUNIT_TEST(droppedTombstonesRequireAFullState);
    CPPUNIT_TEST(mergeDoesNotDependOnOrderGroupingOrRepetition);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_now = TimePoint() + seconds(100);
        m_registry = std::make_unique<LeaseRegistry>("control-a", 1, LeaseOptions());
    }

    void unresponsiveServerIsRemovedAndReturns()
    {
        announceServers(0, 6);
        keepAlive(1, 6, seconds(5));
        CPPUNIT_ASSERT_EQUAL(pb::SERVER_STATE_SUSPECT, stateOf(0));
        keepAlive(1, 6, seconds(2));
        CPPUNIT_ASSERT_EQUAL(pb::SERVER_STATE_LEFT, stateOf(0));
        announce(server(0));
        CPPUNIT_ASSERT_EQUAL(pb::SERVER_STATE_SERVING, stateOf(0));
    }

    // Guards against a failed link to an availability zone that removes all of its servers.
    void unresponsiveZoneStaysSuspect()
    {
        announceServers(0, 4);
        announceServers(100, 106);
        keepAlive(100, 106, seconds(600));
        CPPUNIT_ASSERT_EQUAL(pb::SERVER_STATE_SUSPECT, stateOf(0));
        CPPUNIT_ASSERT_EQUAL(pb::SERVER_STATE_SUSPECT, stateOf(3));
        CPPUNIT_ASSERT_EQUAL(pb::SERVER_STATE_SERVING, stateOf(100));
        announce(server(3));
        CPPUNIT_ASSERT_EQUAL(pb::SERVER_STATE_SERVING, stateOf(3));
    }

    // Guards against a mass loss that no control host detects because each of them owns too few servers of the zone.
    void zoneUnresponsiveOnSeveralControlHostsStaysSuspect()
    {
        LeaseRegistry other("control-b", 2, LeaseOptions());
        announceServers(0, 2);
        for (int number = 2; number < 4; ++number) {
            other.announce(m_now, wallStart, 1, server(number));
        }
        for (int round = 0; round < 100; ++round) {
            m_now += milliseconds(200);
            m_registry->tick(m_now);
            other.tick(m_now);
            exchange(*m_registry, other);
        }
        for (int number = 0; number < 4; ++number) {
            CPPUNIT_ASSERT_EQUAL(pb::SERVER_STATE_SUSPECT, stateOf(number));
        }
        CPPUNIT_ASSERT_EQUAL(contents(*m_registry), contents(other));
    }

    void serversThatDoNotReturnWithTheirZoneAreRemoved()
    {
        announceServers(0, 6);
        keepAlive(0, 0, seconds(60));
        CPPUNIT_ASSERT_EQUAL(pb::SERVER_STATE_SUSPECT, stateOf(5));
        announceServers(0, 5);
        keepAlive(0, 5, seconds(1));
        CPPUNIT_ASSERT_EQUAL(pb::SERVER_STATE_LEFT, stateOf(5));
    }

    // Guards against a draining server that gets new work because its heartbeats stop or a late announcement arrives.
    void drainIsPublishedAtOnceAndNeverUndone()
    {
        announceServers(0, 4);
        const std::uint64_t position = m_registry->sequence();
        announce(server(0, 1, pb::SERVER_STATE_DRAINING, 2));
        const auto deltas = m_registry->changesAfter(position, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, deltas.size());
        CPPUNIT_ASSERT_EQUAL(pb::SERVER_STATE_DRAINING, deltas[0].servers(0).state());
        announce(server(0, 1, pb::SERVER_STATE_SERVING, 1));
        CPPUNIT_ASSERT_EQUAL(pb::SERVER_STATE_DRAINING, stateOf(0));
        keepAlive(0, 0, seconds(60));
        CPPUNIT_ASSERT_EQUAL(pb::SERVER_STATE_DRAINING, stateOf(0));
        CPPUNIT_ASSERT_EQUAL(pb::SERVER_STATE_SUSPECT, stateOf(1));
    }

    void lateAnnouncementOfOldIncarnationIsRefused()
    {
        const auto first = announce(server(0, 7));
        announce(server(0, 8));
        announceRefused(server(0, 7));
        auto late = server(0, 7);
        late.set_order(first.order());
        announceRefused(late);
        announce(server(0, 8, pb::SERVER_STATE_LEFT, 2));
        const auto offer = announceRefused(late);
        // The offered order is valid only on the stream on which it was offered.
        late.set_order(offer.order());
        CPPUNIT_ASSERT_EQUAL(ResultCode::StaleIncarnation, resultOf(m_registry->announce(m_now, wallStart, 99, late)));
        CPPUNIT_ASSERT_EQUAL(pb::SERVER_STATE_LEFT, stateOf(0));
    }

    /// An agent announces two incarnations of a server, one after the other, to two control hosts, and the entry of the first one gets
    /// the higher order. Guards against the second one being refused until the lease ends.
    void laterServerOfAnAgentReplacesTheEarlierOne()
    {
        auto first = server(0, 1);
        first.set_agent_epoch(5);
        first.set_order(wallStart + 500);
        m_registry->merge(m_now, first);
        auto second = server(0, 8, pb::SERVER_STATE_SERVING, 2);
        second.set_agent_epoch(5);
        second.set_order(wallStart + 100);
        CPPUNIT_ASSERT(announce(second).order() > first.order());
        CPPUNIT_ASSERT_EQUAL(8U, m_registry->find(second.name())->incarnation());
        // An earlier announcement of the same agent that arrives late is refused.
        first.set_order(0);
        announceRefused(first);
        // Announcements from another epoch of the agent follow the general rules.
        auto other = server(0, 1, pb::SERVER_STATE_SERVING, 3);
        other.set_agent_epoch(6);
        announceRefused(other);
    }

    /// Guards against a running server that counts as replaced by its predecessor, because the control host of the latter has a clock that is ahead.
    void orderOfAnAgentHoldsWhateverTheClocks()
    {
        LeaseRegistry other("control-b", 2, LeaseOptions());
        announce(serverOfAgent(6, 4, wallStart));
        exchange(*m_registry, other);
        other.announce(m_now, wallStart + 5000, 1, serverOfAgent(7, 5, wallStart + 100));
        announce(serverOfAgent(8, 5, wallStart + 900, 2));
        exchange(*m_registry, other);
        CPPUNIT_ASSERT_EQUAL(8U, m_registry->find("inspect-desk-0")->incarnation());
        CPPUNIT_ASSERT_EQUAL(8U, other.find("inspect-desk-0")->incarnation());
    }

    /// Guards against an entry of the earlier run of an agent that other control hosts keep, or that its late announcement restores.
    void restartedAgentChoosesAHigherOrder()
    {
        announce(serverOfAgent(7, 5, wallStart, 9));
        const auto offer = announceRefused(serverOfAgent(7, 6, wallStart));
        announce(serverOfAgent(7, 6, offer.order()));
        announceRefused(serverOfAgent(7, 5, wallStart, 9));
        CPPUNIT_ASSERT_EQUAL(6U, m_registry->find("inspect-desk-0")->agent_epoch());
    }

    /// Guards against an earlier server that is listed again, because its late announcement has reached an agent that has just restarted.
    void lateAnnouncementAtARestartedAgentReplacesNothing()
    {
        announce(serverOfAgent(8, 5, wallStart + 900));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, announceRefused(serverOfAgent(7, 6, wallStart + 100)).order());
        CPPUNIT_ASSERT_EQUAL(8U, m_registry->find("inspect-desk-0")->incarnation());
    }

    /// Guards against new flows for a server that drains or has left: its agent has restarted, knows only that a server runs, and the entry of the
    /// drain has expired.
    void unannouncedServerTakesNoNewFlowsAfterADrain()
    {
        for (const pb::ServerState end : {pb::SERVER_STATE_DRAINING, pb::SERVER_STATE_LEFT}) {
            setUp();
            pb::ServerEntry entry = serverOfAgent(7, 5, wallStart, 9);
            entry.set_state(end);
            announce(entry);
            keepAlive(0, 0, seconds(30));
            CPPUNIT_ASSERT_EQUAL(pb::SERVER_STATE_LEFT, stateOf(0));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, announceRefused(serverOfAgent(unconfirmedIncarnation.value, 6, 1)).order());
            // It may still have flows.
            pb::ServerEntry draining = serverOfAgent(unconfirmedIncarnation.value, 6, 1, 2);
            draining.set_state(pb::SERVER_STATE_DRAINING);
            draining.set_agent_order(announceRefused(draining).order());
            draining.set_order(draining.agent_order());
            announce(draining);
            CPPUNIT_ASSERT_EQUAL(pb::SERVER_STATE_DRAINING, stateOf(0));
        }
    }

    /// Guards against a server that is never listed because the clock of its machine is wrong.
    void implausibleOrderOfAnAgentIsIgnored()
    {
        CPPUNIT_ASSERT_EQUAL(wallStart, announce(serverOfAgent(7, 5, 2 * wallStart)).order());
    }

    /// A restarted agent announces the same server with a lower sequence number than before. Guards against an Ok answer that does not
    /// renew the lease, so that the server is removed when the lease ends.
    void serverOfARestartedAgentStaysListed()
    {
        auto before = server(0, 7, pb::SERVER_STATE_SERVING, 5);
        before.set_agent_epoch(1);
        announce(before);
        auto after = server(0, 7, pb::SERVER_STATE_SERVING, 2);
        after.set_agent_epoch(2);
        after.set_order(announce(after).order());
        CPPUNIT_ASSERT_EQUAL(2U, m_registry->find(after.name())->agent_epoch());
        for (int second = 0; second < 20; ++second) {
            m_now += seconds(1);
            announce(after);
            m_registry->tick(m_now);
        }
        CPPUNIT_ASSERT_EQUAL(pb::SERVER_STATE_SERVING, stateOf(0));
    }

    void runningIncarnationReturnsAfterItsSuccessorLeft()
    {
        announce(server(0, 7));
        announce(server(0, 8));
        announce(server(0, 8, pb::SERVER_STATE_LEFT, 2));
        auto running = server(0, 7);
        running.set_order(announceRefused(running).order());
        announce(running);
        CPPUNIT_ASSERT_EQUAL(pb::SERVER_STATE_SERVING, stateOf(0));
    }

    void wallClockStepDoesNotReorderIncarnations()
    {
        announce(server(0, 7));
        m_wallMs -= 3'600'000;
        announce(server(0, 8));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{8}, m_registry->find("inspect-desk-0")->incarnation());
        auto faulty = server(1);
        faulty.set_order(~0ULL);
        CPPUNIT_ASSERT_EQUAL(ResultCode::BadRequest, resultOf(m_registry->announce(m_now, m_wallMs, 1, faulty)));
    }

    void reusedAddressRemovesTheOldServer()
    {
        announce(server(0));
        auto replacement = server(1);
        replacement.set_relay_address(server(0).relay_address());
        announce(replacement);
        CPPUNIT_ASSERT_EQUAL(pb::SERVER_STATE_LEFT, stateOf(0));
        announceRefused(server(0));
        CPPUNIT_ASSERT_EQUAL(pb::SERVER_STATE_SERVING, stateOf(1));
    }

    // Guards against a control host that was suspended and removes servers whose heartbeats it could not receive.
    void pausedControlHostDoesNotExpireLeases()
    {
        announceServers(0, 1);
        keepAlive(0, 1, seconds(1));
        m_now += seconds(3600);
        m_registry->tick(m_now);
        CPPUNIT_ASSERT_EQUAL(pb::SERVER_STATE_SERVING, stateOf(0));
    }

    void serversOfADisconnectedControlHostAreAdopted()
    {
        LeaseRegistry other("control-b", 2, LeaseOptions());
        other.announce(m_now, wallStart, 1, server(0));
        other.announce(m_now, wallStart, 1, server(1));
        exchange(*m_registry, other);
        m_registry->peerDisconnected(m_now, "control-b");
        keepAlive(1, 2, seconds(20));
        CPPUNIT_ASSERT_EQUAL(pb::SERVER_STATE_LEFT, stateOf(0));
        CPPUNIT_ASSERT_EQUAL(pb::SERVER_STATE_SERVING, stateOf(1));
    }

    void isolatedControlHostRemovesNothing()
    {
        announceServers(0, 1);
        m_registry->setIsolated(true);
        keepAlive(0, 0, seconds(60));
        CPPUNIT_ASSERT_EQUAL(pb::SERVER_STATE_SUSPECT, stateOf(0));
        m_registry->setIsolated(false);
        keepAlive(0, 0, seconds(1));
        CPPUNIT_ASSERT_EQUAL(pb::SERVER_STATE_LEFT, stateOf(0));
    }

    // Guards against a watcher that keeps a server because the tombstone of the server was dropped before it was sent.
    void droppedTombstonesRequireAFullState()
    {
        announceServers(0, 2);
        const std::uint64_t position = m_registry->sequence();
        announce(server(0, 1, pb::SERVER_STATE_LEFT, 2));
        CPPUNIT_ASSERT(!m_registry->changesAfter(position, {}).front().full());
        keepAlive(1, 2, std::chrono::hours(1) + seconds(2), seconds(1));
        const auto deltas = m_registry->changesAfter(position, {});
        CPPUNIT_ASSERT(deltas.front().full());
        CPPUNIT_ASSERT_EQUAL(1, deltas.front().servers_size());
    }

    // Guards against control hosts whose registries stay different after deltas were repeated, reordered or regrouped.
    void mergeDoesNotDependOnOrderGroupingOrRepetition()
    {
        for (unsigned seed = 1; seed <= 200; ++seed) {
            std::mt19937_64 random(seed);
            std::vector<pb::ServerEntry> entries;
            for (int count = 0; count < 40; ++count) {
                auto entry = server(static_cast<int>(random() % 4), 1 + random() % 3, static_cast<pb::ServerState>(random() % 5), random() % 3);
                entry.set_order(random() % 4);
                entry.set_observation(random() % 3);
                entry.set_owner(random() % 2 == 0 ? "control-a" : "control-b");
                entries.push_back(entry);
            }
            const std::string direct = mergeAll(entries);
            std::shuffle(entries.begin(), entries.end(), random);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("seed {}", seed), direct, mergeAll(entries));

            // Grouping: merge both halves separately, then exchange the results twice.
            LeaseRegistry left("control-c", 1, LeaseOptions());
            LeaseRegistry right("control-d", 2, LeaseOptions());
            for (std::size_t index = 0; index < entries.size(); ++index) {
                (index < entries.size() / 2 ? left : right).merge(m_now, entries[index]);
            }
            exchange(left, right);
            exchange(left, right);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("seed {}", seed), direct, contents(left));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("seed {}", seed), direct, contents(right));
        }
    }

private:
    static ResultCode resultOf(const pb::AnnounceDown &answer)
    {
        return static_cast<ResultCode>(answer.result());
    }

    pb::AnnounceDown announce(const pb::ServerEntry &entry)
    {
        auto answer = m_registry->announce(m_now, m_wallMs, 1, entry);
        CPPUNIT_ASSERT_EQUAL(resultName(ResultCode::Ok), resultName(resultOf(answer)));
        return answer;
    }

    pb::AnnounceDown announceRefused(const pb::ServerEntry &entry)
    {
        auto answer = m_registry->announce(m_now, m_wallMs, 1, entry);
        CPPUNIT_ASSERT_EQUAL(resultName(ResultCode::StaleIncarnation), resultName(resultOf(answer)));
        return answer;
    }

    void announceServers(int first, int end)
    {
        for (int number = first; number < end; ++number) {
            announce(server(number));
        }
    }

    void keepAlive(int first, int end, Duration time, Duration step = milliseconds(500))
    {
        for (const TimePoint until = m_now + time; m_now < until;) {
            m_now += step;
            announceServers(first, end);
            m_registry->tick(m_now);
        }
    }

    pb::ServerState stateOf(int number) const
    {
        return m_registry->find(server(number).name())->state();
    }

    void exchange(LeaseRegistry &left, LeaseRegistry &right) const
    {
        for (const auto &delta : left.localChangesAfter(0)) {
            for (const auto &entry : delta.servers()) {
                right.merge(m_now, entry);
            }
        }
        for (const auto &delta : right.localChangesAfter(0)) {
            for (const auto &entry : delta.servers()) {
                left.merge(m_now, entry);
            }
        }
    }

    std::string mergeAll(const std::vector<pb::ServerEntry> &entries) const
    {
        LeaseRegistry registry("control-c", 1, LeaseOptions());
        for (const auto &entry : entries) {
            registry.merge(m_now, entry);
        }
        return contents(registry);
    }

    TimePoint m_now;
    std::uint64_t m_wallMs = wallStart;
    std::unique_ptr<LeaseRegistry> m_registry;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseRegistryTest);
