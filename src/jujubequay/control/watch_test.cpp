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

/// Connects a watch server to one subscriber without a network.
class Connection
{
public:
    explicit Connection(WatchSubscriber &subscriber, std::uint64_t epoch = 1)
        : registry("control-a", epoch, LeaseOptions())
        , reports("control-a", {})
        , server(state, registry, reports, {})
        , m_subscriber(subscriber)
    {
        server.setRegistryFilled(true);
        if (state.apply(m_anna.setSigner("*")).result() != 0 || state.apply(m_anna.addFlowKey(0, true)).result() != 0) {
            CPPUNIT_FAIL("the control state refused the signer or the flow key");
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

    void executeEffects(TimePoint now, const WatchSubscriberEffects &effects)
    {
        for (const auto &effect : effects) {
            if (const auto *open = std::get_if<OpenWatchStream>(&effect)) {
                m_stream = open->stream;
                server.addWatcher(now, watcherId);
            } else if (const auto *send = std::get_if<SendToControl>(&effect)) {
                server.receive(now, watcherId, send->message);
            } else if (std::holds_alternative<CloseWatchStream>(effect)) {
                server.removeWatcher(now, watcherId);
            } else if (std::holds_alternative<RequestPeerState>(effect)) {
                ++peerStateRequests;
            } else if (const auto *refused = std::get_if<RefusedControlMessage>(&effect)) {
                refusals.push_back(refused->detail);
            } else if (std::holds_alternative<ConfirmServerList>(effect)) {
                ++confirmations;
            } else {
                ++publishedSnapshots;
            }
        }
    }

    /// Runs the subscriber and the server until neither sends anything more. `hasQuorum`: a majority confirms the state.
    void run(TimePoint now, bool hasQuorum = true)
    {
        executeEffects(now, m_subscriber.tick(now));
        for (int round = 0; round < 4; ++round) {
            for (const auto &effect : server.pump(now)) {
                if (const auto *confirm = std::get_if<ConfirmState>(&effect); confirm != nullptr && hasQuorum) {
                    server.stateConfirmed(now, confirm->number);
                } else if (const auto *sent = std::get_if<SendToWatcher>(&effect)) {
                    messages.push_back(*sent->message);
                    executeEffects(now, m_subscriber.receive(now, m_stream, *sent->message));
                } else if (std::holds_alternative<CloseWatcher>(effect)) {
                    executeEffects(now, m_subscriber.streamClosed(now, m_stream));
                }
            }
        }
    }

    std::uint64_t stream() const
    {
        return m_stream;
    }

    ControlState state;
    LeaseRegistry registry;
    ReportStore reports;
    WatchServer server;
    std::vector<pb::WatchDown> messages;
    std::vector<std::string> refusals;
    int peerStateRequests = 0;
    int publishedSnapshots = 0;
    int confirmations = 0; ///< of the server list

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
    CPPUNIT_TEST(drainReachesTheBalancer);
    CPPUNIT_TEST(controlHostWithoutConfirmationServesNoWatcher);
    CPPUNIT_TEST(startingControlHostServesWatchersWithoutState);
    CPPUNIT_TEST(notifiesWatchersOfACompleteRegistry);
    CPPUNIT_TEST(connectsToAControlHostAfterItsStartNotice);
    CPPUNIT_TEST(ignoresStartNoticesWhileItReceivesState);
    CPPUNIT_TEST(isolatedControlHostDisconnectsWatchers);
    CPPUNIT_TEST(laggingControlHostCannotReinstateAState);
    CPPUNIT_TEST(laggingControlHostCannotReinstateAServer);
    CPPUNIT_TEST(lateDeregistrationEndsOnlyItsOwnIncarnation);
    CPPUNIT_TEST(confirmsTheServerListThatTheStreamHasSent);
    CPPUNIT_TEST(slowWatcherSkipsStatesAndCatchesUp);
    CPPUNIT_TEST(restartedControlHostDoesNotEmptyTheServerList);
    CPPUNIT_TEST(largeRegistryIsReplacedAsAWhole);
    CPPUNIT_TEST(retriesAreSpreadOverTimeAndControlHosts);
    CPPUNIT_TEST(retryWaitGrowsOnlyAfterEachControlHostWasTried);
    CPPUNIT_TEST(peersProvideTheStateWithoutReachableControlHosts);
    CPPUNIT_TEST(flowKeysInUseAreCollected);
    CPPUNIT_TEST(refusesMessagesThatContradictTheStateInForce);
    CPPUNIT_TEST(refusesMalformedServers);
    CPPUNIT_TEST(watchersGetEachServerInAFewBytes);
    CPPUNIT_TEST(restartOfAllWatchersBuildsOneFullState);
    CPPUNIT_TEST(changesOfOwnershipAreNotSentToWatchers);
    CPPUNIT_TEST(movesToAControlHostOfItsZone);
    CPPUNIT_TEST(sendsAllFlowRecordsOnANewStream);
    CPPUNIT_TEST(passesItsRouteTableOn);
    CPPUNIT_TEST(watchersLearnWhichAgentsAcceptServiceKeys);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_now = TimePoint() + seconds(100);
        m_random.seed(5);
        m_subscriber = std::make_unique<WatchSubscriber>(balancerOptions(), m_random);
        m_connection = std::make_unique<Connection>(*m_subscriber);
    }

    void configurationTakesEffectAndIsReported()
    {
        m_connection->rollOut(1);
        m_connection->announce(m_now, "inspect-desk-1", pb::SERVER_STATE_SERVING, 1);
        step();
        const auto snapshot = m_subscriber->snapshot();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, snapshot->revision);
        CPPUNIT_ASSERT(snapshot->findService("inspect-desk") != nullptr);
        CPPUNIT_ASSERT(snapshot->flowKeys.activeNumber().has_value());
        CPPUNIT_ASSERT(snapshot->servers.at(0).acceptsNewWork());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{1}, snapshot->servers[0].serviceId.value);

        m_connection->rollOut(2);
        m_connection->messages.clear();
        step();
        CPPUNIT_ASSERT(!m_connection->messages.at(0).config().full());
        CPPUNIT_ASSERT_EQUAL(0, m_connection->messages[0].config().flow_keys_size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_subscriber->snapshot()->revision);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_connection->reports.reports(m_now).at(0).revision());
        CPPUNIT_ASSERT_EQUAL(m_connection->server.messages().sentBytes(), m_subscriber->receivedBytes());
        CPPUNIT_ASSERT_EQUAL(m_connection->server.messages().receivedBytes(), m_subscriber->sentBytes());
    }

    // Guards against a balancer that keeps using a draining server.
    void drainReachesTheBalancer()
    {
        m_connection->rollOut(1);
        m_connection->announce(m_now, "inspect-desk-1", pb::SERVER_STATE_SERVING, 1);
        step();
        m_connection->announce(m_now, "inspect-desk-1", pb::SERVER_STATE_DRAINING, 2);
        m_now += milliseconds(200);
        m_connection->run(m_now);
        CPPUNIT_ASSERT(!m_subscriber->snapshot()->servers.at(0).acceptsNewWork());
    }

    // Guards against a balancer that starts with the outdated state of a partitioned control host.
    void controlHostWithoutConfirmationServesNoWatcher()
    {
        m_connection->rollOut(1);
        m_connection->run(m_now, false);
        CPPUNIT_ASSERT(m_connection->messages.empty());
        m_now += seconds(9);
        m_connection->run(m_now, false);
        CPPUNIT_ASSERT_EQUAL(static_cast<std::uint32_t>(ResultCode::NoQuorum), m_connection->messages.back().refused());
        CPPUNIT_ASSERT(!m_subscriber->isConnected());
        CPPUNIT_ASSERT(m_subscriber->snapshot()->services.empty());
    }

    /// After a loss of power, balancers without a state should not have to wait for an election. A watcher that has a state still waits
    /// for the confirmation, and a control host that gets no confirmation disconnects its watchers.
    void startingControlHostServesWatchersWithoutState()
    {
        WatchSubscriber fresh(balancerOptions(), m_random);
        Connection connection(fresh);
        connection.rollOut(1);
        connection.server.setStarting(true);
        connection.run(TimePoint(seconds(1)), false);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fresh.snapshot()->revision);

        Connection later(fresh, 2);
        later.rollOut(1);
        later.rollOut(2);
        later.server.setStarting(true);
        fresh.streamClosed(TimePoint(seconds(2)), 1);
        later.run(TimePoint(seconds(4)), false);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fresh.snapshot()->revision);
        later.run(TimePoint(seconds(20)), false);
        CPPUNIT_ASSERT(!fresh.isConnected());
    }

    /// Guards against agents that treat flows as orphaned because the server list is not complete yet.
    void notifiesWatchersOfACompleteRegistry()
    {
        m_connection->rollOut(1);
        m_connection->server.setRegistryFilled(false);
        m_connection->server.setRegistryStable(true);
        m_connection->announce(m_now, "inspect-desk-1", pb::SERVER_STATE_SERVING, 1);
        step();
        CPPUNIT_ASSERT(m_subscriber->snapshot()->hasRegistry);
        CPPUNIT_ASSERT(!m_subscriber->snapshot()->isRegistryComplete);
        m_connection->server.setRegistryComplete(true);
        step();
        CPPUNIT_ASSERT(m_subscriber->snapshot()->isRegistryComplete);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_subscriber->snapshot()->servers.size());
    }

    /// Guards against hosts that wait for their next connection attempt although a control host is already running.
    void connectsToAControlHostAfterItsStartNotice()
    {
        const HostAddress started{0x7F000009, 1}; // not one of the configured control hosts
        m_subscriber->tick(m_now);
        const auto effects = m_subscriber->controlHostStarted(m_now + milliseconds(10), started);
        CPPUNIT_ASSERT(std::holds_alternative<CloseWatchStream>(effects.at(0)));
        CPPUNIT_ASSERT(std::get<OpenWatchStream>(effects.at(1)).address == started);
        CPPUNIT_ASSERT(m_subscriber->controlHost() == started);
        // Start notices of other control hosts follow within milliseconds. They must not interrupt an attempt in progress.
        CPPUNIT_ASSERT(m_subscriber->controlHostStarted(m_now + milliseconds(20), {0x7F000008, 1}).empty());
        CPPUNIT_ASSERT(!m_subscriber->controlHostStarted(m_now + milliseconds(300), {0x7F000008, 1}).empty());
    }

    /// Guards against a restarted control host that attracts the watchers of all others.
    void ignoresStartNoticesWhileItReceivesState()
    {
        m_connection->rollOut(1);
        step();
        CPPUNIT_ASSERT(m_subscriber->isConnected());
        CPPUNIT_ASSERT(m_subscriber->controlHostStarted(m_now, {0x7F000009, 1}).empty());
        // If the connected control host itself has restarted, its stream is broken.
        const HostAddress connected = m_subscriber->controlHost();
        CPPUNIT_ASSERT(m_subscriber->controlHostStarted(m_now, connected).empty());
        CPPUNIT_ASSERT(!m_subscriber->controlHostStarted(m_now + seconds(3), connected).empty());
    }

    void isolatedControlHostDisconnectsWatchers()
    {
        m_connection->rollOut(1);
        step();
        const HostAddress before = m_subscriber->controlHost();
        for (int second = 0; second < 10; ++second) {
            m_now += seconds(1);
            m_connection->run(m_now, false);
        }
        CPPUNIT_ASSERT(m_subscriber->controlHost() != before);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_subscriber->snapshot()->revision);
    }

    // Guards against a superseded state that is put in force again by a control host that lags.
    void laggingControlHostCannotReinstateAState()
    {
        m_connection->rollOut(1);
        m_connection->rollOut(2);
        step();
        Connection lagging(*m_subscriber, 2);
        lagging.rollOut(1);
        reconnect(lagging);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_subscriber->snapshot()->services.at(0).version);

        pb::WatchDown stale;
        *stale.mutable_config() = lagging.state.configAfter(0, 0, {});
        const int publishedSnapshots = lagging.publishedSnapshots;
        lagging.executeEffects(m_now, m_subscriber->receive(m_now, 2, stale));
        CPPUNIT_ASSERT_EQUAL(publishedSnapshots, lagging.publishedSnapshots);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_subscriber->staleConfigs());
    }

    // Guards against a control host that stores each change for a slow watcher.
    /// A full list of a control host that lags must not replace a server by its predecessor.
    void laggingControlHostCannotReinstateAServer()
    {
        const auto list = [](std::uint64_t order, std::uint32_t incarnation) {
            pb::WatchDown message;
            pb::RegistryDelta &delta = *message.mutable_registry();
            delta.set_epoch(5);
            delta.set_sequence(9);
            delta.set_full(true);
            pb::ServerEntry &entry = *delta.add_servers();
            entry.set_name("127.0.0.2:4500");
            entry.set_relay_address("127.0.0.2:4500");
            entry.set_state(pb::SERVER_STATE_SERVING);
            entry.set_order(order);
            entry.set_incarnation(incarnation);
            return message;
        };
        std::mt19937_64 random(1);
        WatchSubscriber subscriber(balancerOptions(), random);
        Connection connection(subscriber);
        const TimePoint now{seconds(10)};
        connection.run(now);
        subscriber.receive(now, connection.stream(), list(20, 102));
        subscriber.receive(now, connection.stream(), list(10, 101));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, subscriber.snapshot()->servers.size());
        CPPUNIT_ASSERT_EQUAL(102U, subscriber.snapshot()->servers[0].incarnation.value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{20}, subscriber.snapshot()->servers[0].order);
    }

    /// Guards against a running server that leaves the list, or counts as ended, when a control host that was paused sends the end of its predecessor.
    void lateDeregistrationEndsOnlyItsOwnIncarnation()
    {
        m_connection->rollOut(1);
        step();
        const auto receive = [&](bool isFull, std::uint64_t order, std::uint32_t incarnation, pb::ServerState state) {
            pb::WatchDown message;
            pb::RegistryDelta &delta = *message.mutable_registry();
            delta.set_epoch(5);
            delta.set_sequence(9);
            delta.set_full(isFull);
            pb::ServerEntry &entry = *delta.add_servers();
            entry.set_name("127.0.0.2:4500");
            entry.set_relay_address(entry.name());
            entry.set_order(order);
            entry.set_incarnation(incarnation);
            entry.set_state(state);
            m_subscriber->receive(m_now, m_connection->stream(), message);
        };
        receive(true, 20, 102, pb::SERVER_STATE_SERVING);
        for (const bool isFull : {false, true}) {
            receive(isFull, 10, 101, pb::SERVER_STATE_LEFT);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_subscriber->snapshot()->servers.size());
            CPPUNIT_ASSERT_EQUAL(102U, m_subscriber->snapshot()->servers[0].incarnation.value);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_subscriber->snapshot()->deregisteredServers.size());
            CPPUNIT_ASSERT_EQUAL(101U, m_subscriber->snapshot()->deregisteredServers[0].incarnation.value);
        }
    }

    /// Guards against heartbeats of a restarted control host, which come before its list, that make an old list count as current.
    void confirmsTheServerListThatTheStreamHasSent()
    {
        std::mt19937_64 random(1);
        WatchSubscriber subscriber(balancerOptions(), random);
        Connection connection(subscriber);
        const TimePoint now{seconds(10)};
        connection.executeEffects(now, subscriber.tick(now));
        const auto confirmationsAfter = [&](const pb::WatchDown &message) {
            connection.confirmations = 0;
            connection.executeEffects(now, subscriber.receive(now, connection.stream(), message));
            return connection.confirmations;
        };
        pb::WatchDown heartbeat;
        heartbeat.set_heartbeat(true);
        pb::WatchDown list;
        list.mutable_registry()->set_epoch(5);
        list.mutable_registry()->set_sequence(9);
        list.mutable_registry()->set_full(true);
        list.mutable_registry()->set_more(true);
        CPPUNIT_ASSERT_EQUAL(0, confirmationsAfter(heartbeat));
        CPPUNIT_ASSERT_EQUAL(0, confirmationsAfter(list));
        list.mutable_registry()->set_full(false);
        list.mutable_registry()->set_more(false);
        CPPUNIT_ASSERT_EQUAL(1, confirmationsAfter(list));
        CPPUNIT_ASSERT_EQUAL(1, confirmationsAfter(heartbeat));
        subscriber.streamClosed(now, connection.stream());
        connection.executeEffects(now + seconds(10), subscriber.tick(now + seconds(10)));
        CPPUNIT_ASSERT_EQUAL(0, confirmationsAfter(heartbeat));
    }

    void slowWatcherSkipsStatesAndCatchesUp()
    {
        m_connection->rollOut(1);
        step();
        m_connection->messages.clear();
        m_connection->server.setQueuedBytes(watcherId, 1U << 20U);
        for (std::uint64_t version = 2; version < 40; ++version) {
            m_connection->rollOut(version);
            m_now += milliseconds(200);
            m_connection->run(m_now);
        }
        CPPUNIT_ASSERT(m_connection->messages.empty());
        m_connection->server.setQueuedBytes(watcherId, 0);
        step();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_connection->messages.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{39}, m_subscriber->snapshot()->revision);

        m_connection->server.setQueuedBytes(watcherId, 1U << 20U);
        for (int second = 0; second < 32; ++second) {
            m_now += seconds(1);
            for (const auto &effect : m_connection->server.pump(m_now)) {
                if (const auto *confirm = std::get_if<ConfirmState>(&effect)) {
                    m_connection->server.stateConfirmed(m_now, confirm->number);
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_connection->server.watcherCount());
    }

    // Guards against balancers that drop all servers because the registry of a restarted control host is not filled yet.
    void restartedControlHostDoesNotEmptyTheServerList()
    {
        m_connection->rollOut(1);
        m_connection->announce(m_now, "inspect-desk-1", pb::SERVER_STATE_SERVING, 1);
        step();
        Connection restarted(*m_subscriber, 2);
        restarted.server.setRegistryFilled(false);
        reconnect(restarted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_subscriber->snapshot()->servers.size());
        restarted.server.setRegistryFilled(true);
        m_now += seconds(1);
        restarted.run(m_now);
        CPPUNIT_ASSERT(m_subscriber->snapshot()->servers.empty());
    }

    // Guards against a balancer that uses a partial server list because the stream ends between two messages.
    void largeRegistryIsReplacedAsAWhole()
    {
        m_connection->rollOut(1);
        for (int number = 0; number < 4500; ++number) {
            pb::ServerEntry entry;
            entry.set_name(fmt::format("inspect-desk-{}", number));
            entry.set_service("inspect-desk");
            entry.set_relay_address(fmt::format("127.0.1.1:{}", number + 1));
            entry.set_incarnation(1);
            entry.set_state(pb::SERVER_STATE_SERVING);
            m_connection->registry.announce(m_now, 1, 1, entry);
        }
        const auto deltas = m_connection->registry.changesAfter(0, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, deltas.size());
        m_connection->executeEffects(m_now, m_subscriber->tick(m_now));
        for (const auto &delta : deltas) {
            CPPUNIT_ASSERT(m_subscriber->snapshot()->servers.empty());
            pb::WatchDown message;
            *message.mutable_registry() = delta;
            m_subscriber->receive(m_now, 1, message);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4500}, m_subscriber->snapshot()->servers.size());
    }

    /// After a loss of power, the control hosts that are tried first may still be without power. Guards against growing waits that delay
    /// the connection to one that is already running.
    void retryWaitGrowsOnlyAfterEachControlHostWasTried()
    {
        WatchSubscriberOptions options = balancerOptions();
        options.initialRetryDelay = milliseconds(40);
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

    // Guards against watchers that all reconnect to one control host at the same time, and against unlimited waits.
    void retriesAreSpreadOverTimeAndControlHosts()
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

    void peersProvideTheStateWithoutReachableControlHosts()
    {
        m_connection->rollOut(1);
        m_connection->rollOut(2);
        m_connection->announce(m_now, "inspect-desk-1", pb::SERVER_STATE_SERVING, 1);
        step();
        const auto newest = m_subscriber->peerState({});

        WatchSubscriber restarted(balancerOptions(), m_random);
        Connection unreachable(restarted);
        for (std::uint64_t attempt = 1; attempt <= 3; ++attempt) {
            m_now += seconds(11);
            unreachable.executeEffects(m_now, restarted.tick(m_now));
            unreachable.executeEffects(m_now, restarted.streamClosed(m_now, attempt));
        }
        CPPUNIT_ASSERT_EQUAL(1, unreachable.peerStateRequests);
        restarted.applyPeerState(newest);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, restarted.snapshot()->revision);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, restarted.snapshot()->servers.size());

        auto older = newest;
        older.mutable_config()->set_revision(1);
        CPPUNIT_ASSERT(restarted.applyPeerState(older).empty());
    }

    // Guards against the retirement of a flow key that is or may be in use on an agent.
    void flowKeysInUseAreCollected()
    {
        m_connection->rollOut(1);
        step();
        m_connection->executeEffects(m_now, m_subscriber->setFlowKeysInUse({2}));
        using Numbers = std::vector<std::uint32_t>;
        CPPUNIT_ASSERT(Numbers{2} == m_connection->reports.flowKeysInUse({"balancer-a"}, {0, 2, 3}));
        CPPUNIT_ASSERT((Numbers{0, 2, 3}) == m_connection->reports.flowKeysInUse({"balancer-a", "agent-b"}, {0, 2, 3}));
        CPPUNIT_ASSERT(m_connection->reports.hostsLackingFlowKeys(1).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_connection->reports.hostsLackingFlowKeys(2).size());

        // The report of a disconnected host still counts, but does not prevent the activation of a new key.
        m_connection->server.removeWatcher(m_now, watcherId);
        CPPUNIT_ASSERT(Numbers{2} == m_connection->reports.flowKeysInUse({}, {0, 2, 3}));
        CPPUNIT_ASSERT(m_connection->reports.hostsLackingFlowKeys(2).empty());
    }

    /// Guards against a balancer that ends because of one wrong message of a control host.
    void refusesMessagesThatContradictTheStateInForce()
    {
        m_connection->rollOut(1);
        m_connection->rollOut(2);
        step();
        const pb::ConfigDelta inForce = m_connection->state.configAfter(0, 0, {});

        pb::WatchDown otherIdentifier;
        *otherIdentifier.mutable_config() = inForce;
        otherIdentifier.mutable_config()->set_revision(9);
        otherIdentifier.mutable_config()->mutable_services(0)->set_service_id(77);
        expectRefusal(otherIdentifier, "identifier 77 differs from 1");

        pb::WatchDown olderService;
        *olderService.mutable_config() = inForce;
        olderService.mutable_config()->set_revision(9);
        olderService.mutable_config()->mutable_services(0)->set_revision(1);
        expectRefusal(olderService, "revision 1 is lower than 2");

        pb::WatchDown routes;
        routes.mutable_config()->set_revision(9);
        routes.mutable_config()->mutable_routes()->set_version(5);
        reconnect(*m_connection);
        m_connection->executeEffects(m_now, m_subscriber->receive(m_now, m_connection->stream(), routes));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, m_subscriber->snapshot()->routes->version());
        routes.mutable_config()->set_revision(10);
        routes.mutable_config()->mutable_routes()->set_version(4);
        expectRefusal(routes, "route table version 4 of revision 10 is lower than 5");
    }

    /// Guards against indices and ports that are used without a check.
    void refusesMalformedServers()
    {
        m_connection->rollOut(1);
        step();
        pb::WatchDown message;
        message.mutable_registry()->add_names("inspect-desk");
        pb::WatchedServer &server = *message.mutable_registry()->add_watched();
        server.set_service(1);
        expectRefusal(message, "service 1 exceeds 0");
        server.set_service(0);
        server.set_zone(3);
        expectRefusal(message, "zone 3 exceeds 0");
        server.set_zone(0);
        server.set_port(65536);
        expectRefusal(message, "port 65536 exceeds 65535");
        server.set_port(1);
        server.set_state(static_cast<pb::ServerState>(9));
        expectRefusal(message, "state 9 exceeds 4");
        message.mutable_registry()->clear_names();
        expectRefusal(message, "service 0 exceeds 0");
    }

    /// Load: a large fleet, in which every watcher needs every server. Guards against messages that repeat names for each server.
    void watchersGetEachServerInAFewBytes()
    {
        constexpr int serverCount = 1000;
        constexpr std::size_t bytesPerServer = 45;
        for (int number = 0; number < serverCount; ++number) {
            announceServer(number, 1, "control-a");
        }
        step();
        CPPUNIT_ASSERT_EQUAL(std::size_t{serverCount}, m_subscriber->snapshot()->servers.size());
        const ServerSnapshot &server = m_subscriber->snapshot()->servers.front();
        CPPUNIT_ASSERT_EQUAL(std::string("inspect-desk"), server.service);
        CPPUNIT_ASSERT_EQUAL(std::string("dar-ubungo"), server.zone);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{100}, server.weight);
        CPPUNIT_ASSERT_EQUAL(server.name, toString(server.relayAddress));
        CPPUNIT_ASSERT(m_connection->server.messages().sentBytes() < serverCount * bytesPerServer);
    }

    /// Load: all watchers restart at the same moment and need the full state. Guards against building it once for each of them.
    void restartOfAllWatchersBuildsOneFullState()
    {
        constexpr WatcherId watcherCount = 200;
        for (int number = 0; number < 50; ++number) {
            announceServer(number, 1, "control-a");
        }
        for (WatcherId id = 1; id <= watcherCount; ++id) {
            pb::WatchUp up;
            up.mutable_request()->set_host(fmt::format("agent-{}", id));
            up.mutable_request()->set_accepts_compact_servers(true);
            m_connection->server.addWatcher(m_now, id);
            m_connection->server.receive(m_now, id, up);
        }
        m_connection->server.pump(m_now);
        m_connection->server.stateConfirmed(m_now, 1);
        std::set<const pb::WatchDown *> messages;
        std::set<WatcherId> served;
        for (const auto &effect : m_connection->server.pump(m_now)) {
            const auto *sent = std::get_if<SendToWatcher>(&effect);
            if (sent != nullptr && sent->message->has_registry()) {
                messages.insert(sent->message.get());
                served.insert(sent->watcher);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{watcherCount}, served.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, messages.size());
    }

    /// Load: many agents change their control host at the same moment. Guards against deltas to every watcher for each of them.
    void changesOfOwnershipAreNotSentToWatchers()
    {
        announceServer(1, 1, "control-a");
        step();
        const std::uint64_t visible = m_connection->registry.visibleSequence();
        pb::ServerEntry entry = *m_connection->registry.find("127.0.1.1:2");
        entry.set_owner("control-b");
        entry.set_observation(entry.observation() + 1);
        m_connection->registry.merge(m_now, entry);
        CPPUNIT_ASSERT_EQUAL(std::string("control-b"), m_connection->registry.find("127.0.1.1:2")->owner());
        CPPUNIT_ASSERT(m_connection->registry.sequence() > visible);
        CPPUNIT_ASSERT_EQUAL(visible, m_connection->registry.visibleSequence());
        m_connection->messages.clear();
        step();
        CPPUNIT_ASSERT(std::none_of(m_connection->messages.begin(), m_connection->messages.end(), [](const pb::WatchDown &message) {
            return message.has_registry();
        }));
        // A server that deregisters itself differs from one that a control host has removed: only the flows of the former are ended.
        announceServer(1, 2, "control-a", pb::SERVER_STATE_LEFT);
        CPPUNIT_ASSERT(m_connection->registry.visibleSequence() > visible);
    }

    /// Guards against watch traffic that crosses availability zones although the own zone has a control host.
    void movesToAControlHostOfItsZone()
    {
        m_connection->rollOut(1);
        step();
        const HostAddress first = m_subscriber->controlHost();
        const HostAddress local = first == HostAddress{0x7F000001, 1} ? HostAddress{0x7F000002, 1} : HostAddress{0x7F000001, 1};
        m_connection->server.setControlHosts({{toString(first), "dar-kurasini"}, {toString(local), "dar-ubungo"}});
        step();
        CPPUNIT_ASSERT(m_subscriber->controlHost() == first);
        m_now += seconds(10);
        const auto effects = m_subscriber->tick(m_now);
        CPPUNIT_ASSERT(std::holds_alternative<CloseWatchStream>(effects.at(0)));
        CPPUNIT_ASSERT(std::get<OpenWatchStream>(effects.at(1)).address == local);
        // The local control host does not answer: the watcher stays with another one for a while.
        m_subscriber->streamClosed(m_now, 2);
        m_now += seconds(1);
        m_connection->run(m_now);
        CPPUNIT_ASSERT(m_subscriber->controlHost() == first);
        m_now += seconds(3);
        m_connection->run(m_now);
        CPPUNIT_ASSERT(m_subscriber->controlHost() == first);
    }

    /// Each control host keeps only the records of the agents that watch it.
    void sendsAllFlowRecordsOnANewStream()
    {
        m_connection->rollOut(1);
        step();
        pb::FlowRecords first;
        first.set_incarnation(77);
        first.add_open()->set_caller_port(1);
        first.add_open()->set_caller_port(2);
        CPPUNIT_ASSERT_EQUAL(2, std::get<SendToControl>(m_subscriber->recordFlows(first).at(0)).message.flows().open_size());
        pb::FlowRecords second;
        second.set_incarnation(77);
        second.add_closed()->set_caller_port(1);
        m_subscriber->recordFlows(second);
        m_subscriber->streamClosed(m_now, m_connection->stream());
        CPPUNIT_ASSERT(m_subscriber->recordFlows(second).empty());
        m_now += seconds(11);
        const auto effects = m_subscriber->tick(m_now);
        const pb::FlowRecords &all = std::get<SendToControl>(effects.back()).message.flows();
        CPPUNIT_ASSERT(all.full());
        CPPUNIT_ASSERT_EQUAL(1, all.open_size());
        CPPUNIT_ASSERT_EQUAL(2U, all.open(0).caller_port());
    }

    /// A balancer without a reachable control host gets a newer route table from another balancer. The servers come from control hosts only.
    void passesItsRouteTableOn()
    {
        m_connection->rollOut(1);
        announceServer(1, 1, "control-a");
        step();
        pb::WatchDown routes;
        routes.mutable_config()->set_revision(9);
        routes.mutable_config()->mutable_routes()->set_version(5);
        routes.mutable_config()->mutable_routes()->add_routes()->set_name("gauge-feed");
        m_subscriber->receive(m_now, m_connection->stream(), routes);
        WatchSubscriber other(balancerOptions(), m_random);
        CPPUNIT_ASSERT_EQUAL(1, m_subscriber->peerState({}).servers_size());
        // The server list of a large fleet would fill the link of the balancer that all others ask.
        pb::PeerStateRequest request;
        request.set_revision(1);
        CPPUNIT_ASSERT_EQUAL(0, m_subscriber->peerState(request).servers_size());
        CPPUNIT_ASSERT(!other.applyPeerState(m_subscriber->peerState(request)).empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, other.snapshot()->routes->version());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, other.snapshot()->routes->routes().size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, other.snapshot()->revision);
        CPPUNIT_ASSERT(other.applyPeerState(m_subscriber->peerState(request)).empty());
    }

    // Guards against agents that never get the full key of a service, because the compact server list leaves out that they accept it.
    void watchersLearnWhichAgentsAcceptServiceKeys()
    {
        announceServer(1, 1, "control-a");
        step();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_subscriber->snapshot()->servers.size());
        CPPUNIT_ASSERT(!m_subscriber->snapshot()->servers[0].acceptsServiceKeys);
        announceServer(1, 2, "control-a", pb::SERVER_STATE_SERVING, true);
        step();
        CPPUNIT_ASSERT(m_subscriber->snapshot()->servers[0].acceptsServiceKeys);
    }

private:
    void announceServer(
        int number, std::uint64_t sequence, const std::string &owner, pb::ServerState state = pb::SERVER_STATE_SERVING, bool acceptsServiceKeys = false)
    {
        pb::ServerEntry entry;
        entry.set_accepts_service_keys(acceptsServiceKeys);
        entry.set_name(fmt::format("127.0.1.1:{}", number + 1));
        entry.set_relay_address(entry.name());
        entry.set_service("inspect-desk");
        entry.set_zone("dar-ubungo");
        entry.set_host(fmt::format("side-dar-ubungo-{}", number));
        entry.set_incarnation(0xC0000001U);
        entry.set_agent_epoch(0xF0000001U);
        entry.set_weight(100);
        entry.set_owner(owner);
        entry.set_sequence(sequence);
        entry.set_state(state);
        CPPUNIT_ASSERT_EQUAL(0U, m_connection->registry.announce(m_now, 1'790'000'000'000, 1, entry).result());
    }

    void expectRefusal(const pb::WatchDown &message, const std::string &detail)
    {
        if (!m_subscriber->isConnected()) {
            reconnect(*m_connection);
        }
        const ConfigSnapshotPointer before = m_subscriber->snapshot();
        m_connection->refusals.clear();
        m_connection->executeEffects(m_now, m_subscriber->receive(m_now, m_connection->stream(), message));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_connection->refusals.size());
        CPPUNIT_ASSERT_MESSAGE(m_connection->refusals[0], m_connection->refusals[0].find(detail) != std::string::npos);
        CPPUNIT_ASSERT(m_subscriber->snapshot() == before);
        CPPUNIT_ASSERT(!m_subscriber->isConnected());
    }

    void step()
    {
        m_now += seconds(1);
        m_connection->run(m_now);
    }

    void reconnect(Connection &connection)
    {
        m_subscriber->streamClosed(m_now, 1);
        m_now += seconds(11);
        connection.run(m_now);
    }

    TimePoint m_now;
    std::mt19937_64 m_random;
    std::unique_ptr<WatchSubscriber> m_subscriber;
    std::unique_ptr<Connection> m_connection;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WatchTest);
