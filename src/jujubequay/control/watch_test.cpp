#include <jujubequay/control/watch_server.h>
#include <jujubequay/control/watch_subscriber.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>

#include "control_test_support.h"

using namespace Jujubequay;
namespace pb = jujubequay::pb;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr WatcherId watcherId = 7;

/// One control host with one watcher, joined without a network.
class Link
{
public:
    explicit Link(WatchSubscriber &subscriber, std::uint64_t epoch = 1)
        : registry("control-a", epoch, LeaseOptions())
        , reports("control-a", {})
        , server(state, registry, reports, {})
        , m_subscriber(subscriber)
    {
        server.setRegistryFilled(true);
        if (state.apply(m_anna.setSigner("*")).result() != 0 || state.apply(m_anna.addFlowKey(0, true)).result() != 0) {
            CPPUNIT_FAIL("the control state refused its first commands");
        }
    }

    void rollOut(std::uint64_t version)
    {
        const std::string content = CommandBuilder::content("inspect-desk", version, "127.0.0.1:4433");
        for (const Bytes &command : {m_anna.propose(content), m_anna.sign("inspect-desk", version, content), m_anna.roll("inspect-desk", version)}) {
            CPPUNIT_ASSERT_EQUAL(0U, state.apply(command).result());
        }
    }

    void announce(TimePoint now, const std::string &name, pb::ServerState serverState, std::uint64_t sequence)
    {
        pb::ServerEntry entry;
        entry.set_name(name);
        entry.set_service("inspect-desk");
        entry.set_zone("dar-ubungo");
        entry.set_relay_address("127.0.0.2:4500");
        entry.set_incarnation(1);
        entry.set_sequence(sequence);
        entry.set_state(serverState);
        CPPUNIT_ASSERT_EQUAL(0U, registry.announce(now, 1, 1, entry).result());
    }

    void fromSubscriber(TimePoint now, const WatchSubscriberEffects &effects)
    {
        for (const auto &effect : effects) {
            if (const auto *opened = std::get_if<OpenWatchStream>(&effect)) {
                m_stream = opened->stream;
                server.addWatcher(now, watcherId);
            } else if (const auto *sent = std::get_if<SendToControl>(&effect)) {
                server.receive(now, watcherId, sent->message);
            } else if (std::holds_alternative<CloseWatchStream>(effect)) {
                server.closed(now, watcherId);
            } else if (std::holds_alternative<RequestPeerState>(effect)) {
                ++askedPeers;
            } else {
                ++published;
            }
        }
    }

    /// Runs both sides until nothing more is sent. `isQuorum`: a majority confirms the state.
    void run(TimePoint now, bool isQuorum = true)
    {
        fromSubscriber(now, m_subscriber.tick(now));
        for (int round = 0; round < 4; ++round) {
            for (const auto &effect : server.pump(now)) {
                if (const auto *ask = std::get_if<ConfirmState>(&effect); ask != nullptr && isQuorum) {
                    server.stateConfirmed(now, ask->number);
                } else if (const auto *sent = std::get_if<SendToWatcher>(&effect)) {
                    messages.push_back(sent->message);
                    fromSubscriber(now, m_subscriber.receive(now, m_stream, sent->message));
                } else if (std::holds_alternative<CloseWatcher>(effect)) {
                    fromSubscriber(now, m_subscriber.streamClosed(now, m_stream));
                }
            }
        }
    }

    ControlState state;
    LeaseRegistry registry;
    ReportStore reports;
    WatchServer server;
    std::vector<pb::WatchDown> messages;
    int askedPeers = 0;
    int published = 0;

private:
    WatchSubscriber &m_subscriber;
    CommandBuilder m_anna{"anna"};
    std::uint64_t m_stream = 0;
};

WatchSubscriberOptions balancerOptions()
{
    WatchSubscriberOptions options;
    options.host = "balancer-a";
    options.zone = "dar-ubungo";
    options.role = "balancer";
    options.controlHosts = {{0x7F000001, 1}, {0x7F000002, 1}, {0x7F000003, 1}};
    return options;
}

}

class WatchTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WatchTest);
    CPPUNIT_TEST(configurationTakesEffectAndIsReported);
    CPPUNIT_TEST(drainReachesTheBalancerWithinFiveSeconds);
    CPPUNIT_TEST(unconfirmedControlHostServesNoWatcher);
    CPPUNIT_TEST(startingControlHostServesWatchersThatHoldNothing);
    CPPUNIT_TEST(tellsWhenAllServersHaveReturned);
    CPPUNIT_TEST(goesToAControlHostThatHasStarted);
    CPPUNIT_TEST(staysWithAControlHostThatServesIt);
    CPPUNIT_TEST(isolatedControlHostSendsWatchersElsewhere);
    CPPUNIT_TEST(olderControlHostCannotReinstateAState);
    CPPUNIT_TEST(slowWatcherHoldsNothingBackAndCatchesUp);
    CPPUNIT_TEST(restartedControlHostDoesNotEmptyTheServerList);
    CPPUNIT_TEST(largeRegistryIsReplacedAsAWhole);
    CPPUNIT_TEST(retriesSpreadAndVisitEveryControlHost);
    CPPUNIT_TEST(triesEachControlHostBeforeItWaitsLonger);
    CPPUNIT_TEST(peersProvideTheStateWhileNoControlHostIsReachable);
    CPPUNIT_TEST(flowKeyUseIsCollected);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_now = TimePoint() + seconds(100);
        m_random.seed(5);
        m_subscriber = std::make_unique<WatchSubscriber>(balancerOptions(), m_random);
        m_link = std::make_unique<Link>(*m_subscriber);
    }

    void configurationTakesEffectAndIsReported()
    {
        m_link->rollOut(1);
        m_link->announce(m_now, "inspect-desk-1", pb::SERVER_STATE_SERVING, 1);
        step();
        const auto snapshot = m_subscriber->snapshot();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, snapshot->revision);
        CPPUNIT_ASSERT(snapshot->findService("inspect-desk") != nullptr);
        CPPUNIT_ASSERT(snapshot->flowKeys.activeNumber().has_value());
        CPPUNIT_ASSERT(snapshot->servers.at(0).acceptsNewWork());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{1}, snapshot->servers[0].serviceId.value);

        m_link->rollOut(2);
        m_link->messages.clear();
        step();
        CPPUNIT_ASSERT(!m_link->messages.at(0).config().full());
        CPPUNIT_ASSERT_EQUAL(0, m_link->messages[0].config().flow_keys_size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_subscriber->snapshot()->revision);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_link->reports.reports(m_now).at(0).revision());
        CPPUNIT_ASSERT_EQUAL(m_link->server.sentBytes(), m_subscriber->receivedBytes());
        CPPUNIT_ASSERT_EQUAL(m_link->server.receivedBytes(), m_subscriber->sentBytes());
    }

    // Guards against a draining server that a balancer keeps in use.
    void drainReachesTheBalancerWithinFiveSeconds()
    {
        m_link->rollOut(1);
        m_link->announce(m_now, "inspect-desk-1", pb::SERVER_STATE_SERVING, 1);
        step();
        m_link->announce(m_now, "inspect-desk-1", pb::SERVER_STATE_DRAINING, 2);
        m_now += milliseconds(200);
        m_link->run(m_now);
        CPPUNIT_ASSERT(!m_subscriber->snapshot()->servers.at(0).acceptsNewWork());
    }

    // Guards against a balancer that starts with the old state of a control host that is cut off.
    void unconfirmedControlHostServesNoWatcher()
    {
        m_link->rollOut(1);
        m_link->run(m_now, false);
        CPPUNIT_ASSERT(m_link->messages.empty());
        m_now += seconds(9);
        m_link->run(m_now, false);
        CPPUNIT_ASSERT_EQUAL(static_cast<std::uint32_t>(ResultCode::NoQuorum), m_link->messages.back().refused());
        CPPUNIT_ASSERT(!m_subscriber->isConnected());
        CPPUNIT_ASSERT(m_subscriber->snapshot()->services.empty());
    }

    /// After a loss of power balancers should not wait for an election. A watcher that holds a state waits for the confirmation, and
    /// none stays with a host that cannot confirm.
    void startingControlHostServesWatchersThatHoldNothing()
    {
        WatchSubscriber fresh(balancerOptions(), m_random);
        Link link(fresh);
        link.rollOut(1);
        link.server.setStarting(true);
        link.run(TimePoint(seconds(1)), false);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fresh.snapshot()->revision);

        Link later(fresh, 2);
        later.rollOut(1);
        later.rollOut(2);
        later.server.setStarting(true);
        fresh.streamClosed(TimePoint(seconds(2)), 1);
        later.run(TimePoint(seconds(4)), false);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fresh.snapshot()->revision);
        later.run(TimePoint(seconds(20)), false);
        CPPUNIT_ASSERT(!fresh.isConnected());
    }

    /// Agents may not conclude from a list that is still filling that a flow has no server.
    void tellsWhenAllServersHaveReturned()
    {
        m_link->rollOut(1);
        m_link->server.setRegistryFilled(false);
        m_link->server.setRegistrySettled(true);
        m_link->announce(m_now, "inspect-desk-1", pb::SERVER_STATE_SERVING, 1);
        step();
        CPPUNIT_ASSERT(m_subscriber->snapshot()->hasRegistry);
        CPPUNIT_ASSERT(!m_subscriber->snapshot()->isRegistryComplete);
        m_link->server.setRegistryComplete(true);
        step();
        CPPUNIT_ASSERT(m_subscriber->snapshot()->isRegistryComplete);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_subscriber->snapshot()->servers.size());
    }

    /// Guards against hosts that wait for their next attempt while a control host is up already.
    void goesToAControlHostThatHasStarted()
    {
        const HostAddress started{0x7F000009, 1}; // not one of the seeds
        m_subscriber->tick(m_now);
        const auto effects = m_subscriber->controlHostStarted(m_now + milliseconds(10), started);
        CPPUNIT_ASSERT(std::holds_alternative<CloseWatchStream>(effects.at(0)));
        CPPUNIT_ASSERT(std::get<OpenWatchStream>(effects.at(1)).address == started);
        CPPUNIT_ASSERT(m_subscriber->controlHost() == started);
        // Notices of others follow within milliseconds; they must not interrupt an attempt that is under way.
        CPPUNIT_ASSERT(m_subscriber->controlHostStarted(m_now + milliseconds(20), {0x7F000008, 1}).empty());
        CPPUNIT_ASSERT(!m_subscriber->controlHostStarted(m_now + milliseconds(300), {0x7F000008, 1}).empty());
    }

    /// The restart of one control host must not move the watchers of the others to it.
    void staysWithAControlHostThatServesIt()
    {
        m_link->rollOut(1);
        step();
        CPPUNIT_ASSERT(m_subscriber->isConnected());
        CPPUNIT_ASSERT(m_subscriber->controlHostStarted(m_now, {0x7F000009, 1}).empty());
        // Its own control host has started again, so the stream leads nowhere.
        const HostAddress own = m_subscriber->controlHost();
        CPPUNIT_ASSERT(m_subscriber->controlHostStarted(m_now, own).empty());
        CPPUNIT_ASSERT(!m_subscriber->controlHostStarted(m_now + seconds(3), own).empty());
    }

    void isolatedControlHostSendsWatchersElsewhere()
    {
        m_link->rollOut(1);
        step();
        const HostAddress before = m_subscriber->controlHost();
        for (int second = 0; second < 10; ++second) {
            m_now += seconds(1);
            m_link->run(m_now, false);
        }
        CPPUNIT_ASSERT(m_subscriber->controlHost() != before);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_subscriber->snapshot()->revision);
    }

    // Guards against a superseded state that comes back from a control host that is behind.
    void olderControlHostCannotReinstateAState()
    {
        m_link->rollOut(1);
        m_link->rollOut(2);
        step();
        Link behind(*m_subscriber, 2);
        behind.rollOut(1);
        reconnect(behind);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_subscriber->snapshot()->services.at(0).version);

        pb::WatchDown stale;
        *stale.mutable_config() = behind.state.configAfter(0, 0, {});
        const int published = behind.published;
        behind.fromSubscriber(m_now, m_subscriber->receive(m_now, 2, stale));
        CPPUNIT_ASSERT_EQUAL(published, behind.published);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_subscriber->staleConfigs());
    }

    // Guards against a slow watcher that makes the control host keep every change for it.
    void slowWatcherHoldsNothingBackAndCatchesUp()
    {
        m_link->rollOut(1);
        step();
        m_link->messages.clear();
        m_link->server.setQueued(watcherId, 1U << 20U);
        for (std::uint64_t version = 2; version < 40; ++version) {
            m_link->rollOut(version);
            m_now += milliseconds(200);
            m_link->run(m_now);
        }
        CPPUNIT_ASSERT(m_link->messages.empty());
        m_link->server.setQueued(watcherId, 0);
        step();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_link->messages.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{39}, m_subscriber->snapshot()->revision);

        m_link->server.setQueued(watcherId, 1U << 20U);
        for (int second = 0; second < 32; ++second) {
            m_now += seconds(1);
            for (const auto &effect : m_link->server.pump(m_now)) {
                if (const auto *ask = std::get_if<ConfirmState>(&effect)) {
                    m_link->server.stateConfirmed(m_now, ask->number);
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_link->server.watcherCount());
    }

    // Guards against balancers that drop all servers because a control host has not heard of them yet.
    void restartedControlHostDoesNotEmptyTheServerList()
    {
        m_link->rollOut(1);
        m_link->announce(m_now, "inspect-desk-1", pb::SERVER_STATE_SERVING, 1);
        step();
        Link restarted(*m_subscriber, 2);
        restarted.server.setRegistryFilled(false);
        reconnect(restarted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_subscriber->snapshot()->servers.size());
        restarted.server.setRegistryFilled(true);
        m_now += seconds(1);
        restarted.run(m_now);
        CPPUNIT_ASSERT(m_subscriber->snapshot()->servers.empty());
    }

    // Guards against a balancer that uses half a server list when the stream ends between two messages.
    void largeRegistryIsReplacedAsAWhole()
    {
        m_link->rollOut(1);
        for (int number = 0; number < 4500; ++number) {
            pb::ServerEntry entry;
            entry.set_name(fmt::format("inspect-desk-{}", number));
            entry.set_service("inspect-desk");
            entry.set_relay_address(fmt::format("127.0.1.1:{}", number + 1));
            entry.set_incarnation(1);
            entry.set_state(pb::SERVER_STATE_SERVING);
            m_link->registry.announce(m_now, 1, 1, entry);
        }
        const auto deltas = m_link->registry.changesAfter(0, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, deltas.size());
        m_link->fromSubscriber(m_now, m_subscriber->tick(m_now));
        for (const auto &delta : deltas) {
            CPPUNIT_ASSERT(m_subscriber->snapshot()->servers.empty());
            pb::WatchDown message;
            *message.mutable_registry() = delta;
            m_subscriber->receive(m_now, 1, message);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4500}, m_subscriber->snapshot()->servers.size());
    }

    /// docs/incidents: after a loss of power the hosts that were tried first had no power yet, and waits of 40, 80 and 160 ms kept
    /// watchers from the one that had.
    void triesEachControlHostBeforeItWaitsLonger()
    {
        WatchSubscriberOptions options = balancerOptions();
        options.retryBase = milliseconds(40);
        for (unsigned seed = 0; seed < 200; ++seed) {
            m_random.seed(seed);
            WatchSubscriber subscriber(options, m_random);
            TimePoint now(seconds(1));
            subscriber.tick(now);
            for (std::uint64_t stream = 1; stream <= 2; ++stream) {
                subscriber.streamClosed(now, stream);
                CPPUNIT_ASSERT(subscriber.nextAttempt() <= now + milliseconds(40));
                now += milliseconds(40);
                subscriber.tick(now);
            }
        }
    }

    // Guards against watchers that return to one control host all at once, and against waits without a limit.
    void retriesSpreadAndVisitEveryControlHost()
    {
        std::set<std::string> visited;
        std::set<Duration> waits;
        for (int attempt = 0; attempt < 60; ++attempt) {
            const TimePoint start = m_now;
            WatchSubscriberEffects effects;
            while ((effects = m_subscriber->tick(m_now)).empty()) {
                m_now += milliseconds(10);
                CPPUNIT_ASSERT(m_now - start <= seconds(10) + milliseconds(10));
            }
            const auto &opened = std::get<OpenWatchStream>(effects.at(0));
            visited.insert(toString(opened.address));
            waits.insert(m_now - start);
            m_subscriber->streamClosed(m_now, opened.stream);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, visited.size());
        CPPUNIT_ASSERT(waits.size() > 30);
    }

    void peersProvideTheStateWhileNoControlHostIsReachable()
    {
        m_link->rollOut(1);
        m_link->rollOut(2);
        m_link->announce(m_now, "inspect-desk-1", pb::SERVER_STATE_SERVING, 1);
        step();
        const auto newest = m_subscriber->peerState();

        WatchSubscriber restarted(balancerOptions(), m_random);
        Link unreachable(restarted);
        for (std::uint64_t attempt = 1; attempt <= 3; ++attempt) {
            m_now += seconds(11);
            unreachable.fromSubscriber(m_now, restarted.tick(m_now));
            unreachable.fromSubscriber(m_now, restarted.streamClosed(m_now, attempt));
        }
        CPPUNIT_ASSERT_EQUAL(1, unreachable.askedPeers);
        restarted.applyPeerState(newest);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, restarted.snapshot()->revision);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, restarted.snapshot()->servers.size());

        auto older = newest;
        older.mutable_config()->set_revision(1);
        CPPUNIT_ASSERT(restarted.applyPeerState(older).empty());
    }

    // Guards against the retirement of a flow key that an agent uses or may use.
    void flowKeyUseIsCollected()
    {
        m_link->rollOut(1);
        step();
        m_link->fromSubscriber(m_now, m_subscriber->setFlowKeysInUse({2}));
        using Numbers = std::vector<std::uint32_t>;
        CPPUNIT_ASSERT(Numbers{2} == m_link->reports.flowKeysInUse({"balancer-a"}, {0, 2, 3}));
        CPPUNIT_ASSERT((Numbers{0, 2, 3}) == m_link->reports.flowKeysInUse({"balancer-a", "agent-b"}, {0, 2, 3}));
        CPPUNIT_ASSERT(m_link->reports.flowKeysLagging(1).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_link->reports.flowKeysLagging(2).size());

        // The report of a host that is cut off still counts, but does not hold up a new key.
        m_link->server.closed(m_now, watcherId);
        CPPUNIT_ASSERT(Numbers{2} == m_link->reports.flowKeysInUse({}, {0, 2, 3}));
        CPPUNIT_ASSERT(m_link->reports.flowKeysLagging(2).empty());
    }

private:
    void step()
    {
        m_now += seconds(1);
        m_link->run(m_now);
    }

    void reconnect(Link &link)
    {
        m_subscriber->streamClosed(m_now, 1);
        m_now += seconds(11);
        link.run(m_now);
    }

    TimePoint m_now;
    std::mt19937_64 m_random;
    std::unique_ptr<WatchSubscriber> m_subscriber;
    std::unique_ptr<Link> m_link;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WatchTest);
