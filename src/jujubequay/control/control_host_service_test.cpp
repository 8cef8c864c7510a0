#include <jujubequay/control/control_host_service.h>
#include <jujubequay/control/watch_subscriber.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "control_test_support.h"
#include "fake_network.h"

using namespace Jujubequay;
namespace pb = jujubequay::pb;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// In-memory log storage. Its content survives the restart of a control host.
class MemoryStorage final : public Consensus::LogStorage
{
public:
    Result<Consensus::StoredState> load() override
    {
        return stored;
    }
    Result<void> append(std::span<const pb::LogEntry> entries) override
    {
        for (const pb::LogEntry &entry : entries) {
            stored.entries.resize(entry.index() - stored.base.index - 1);
            stored.entries.push_back(entry);
        }
        return {};
    }
    Result<void> saveHardState(const Consensus::HardState &state) override
    {
        stored.hardState = state;
        return {};
    }
    Result<void> sync() override
    {
        return {};
    }
    Result<void> saveSnapshot(const Consensus::Snapshot &snapshot,
                              const Consensus::HardState &state,
                              const Consensus::LogBase &base,
                              std::span<const pb::LogEntry> entries) override
    {
        stored.snapshot = snapshot;
        stored.hardState = state;
        stored.base = base;
        stored.entries.assign(entries.begin(), entries.end());
        return {};
    }

    Consensus::StoredState stored;
};

/// Keeps the lines of its log.
class RecordingLogger final : public Logger
{
public:
    using Logger::Logger;

    void clear()
    {
        m_lines.clear();
    }

    bool contains(const std::string &text) const
    {
        return std::any_of(m_lines.begin(), m_lines.end(), [&text](const std::string &line) {
            return line.find(text) != std::string::npos;
        });
    }

protected:
    void write(const std::string &line) override
    {
        m_lines.push_back(line);
    }

private:
    std::vector<std::string> m_lines;
};

struct Host {
    std::string name;
    HostAddress address;
    std::unique_ptr<MessageClient> client;
    MemoryStorage storage;
    std::unique_ptr<ControlHostService> control;
};

/// Stream of an operator to one host, with the answers received on it.
struct OperatorStream {
    std::shared_ptr<MessageStream> stream;
    std::vector<pb::OperatorDown> answers;
};

}

class ControlHostTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ControlHostTest);
    CPPUNIT_TEST(commandsReachTheWatchersOfEachHost);
    CPPUNIT_TEST(resendAfterLeaderFailureGetsTheFirstAnswer);
    CPPUNIT_TEST(restartedHostsKeepTheState);
    CPPUNIT_TEST(partitionedHostServesNoNewWatcher);
    CPPUNIT_TEST(announcementReachesTheRegistryOfEachHost);
    CPPUNIT_TEST(restartedControlHostsNotifyKnownHosts);
    CPPUNIT_TEST(rolesMayUseOnlyTheirPaths);
    CPPUNIT_TEST(replacedLeaderHasNoVoteAfterItsPlannedStop);
    CPPUNIT_TEST(replacedLeaderThatWasKilledLosesItsVoteByItsOwnSilence);
    CPPUNIT_TEST(stoppedHostsKeepTheirVotesWithoutAReplacement);
    CPPUNIT_TEST(diskLostRightAfterAReplacementLeavesALeader);
    CPPUNIT_TEST(hostsReportThatThereIsNoLeader);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_network = std::make_unique<FakeNetwork>();
        m_random.seed(11);
        m_logger = std::make_unique<RecordingLogger>(m_clock, LogOrigin{"test", "test", "test"}, Logger::Options());
        m_hosts.clear();
        for (int number = 0; number < 3; ++number) {
            addHost();
        }
        // The first host creates the cluster; the others join it with an operator command.
        auto &membership = m_hosts[0]->storage.stored.snapshot.membership;
        pb::Member &firstMember = *membership.add_members();
        firstMember.set_id("control-a-disk");
        firstMember.set_host("control-a");
        firstMember.set_address(toString(m_hosts[0]->address));
        firstMember.set_voter(true);
        membership.set_cluster(77);
        for (auto &host : m_hosts) {
            startHost(*host);
        }
        run(seconds(3));
        for (int number = 1; number < 3; ++number) {
            pb::Command command;
            command.set_operation_id(fmt::format("join-{}", number));
            pb::ChangeMembership &change = *command.mutable_membership();
            change.set_host(m_hosts[number]->name);
            change.set_address(toString(m_hosts[number]->address));
            change.set_disk_id(m_hosts[number]->storage.stored.identity.id);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("the change of membership is accepted", 0U, send(0, command.SerializeAsString()).result());
            run(seconds(4));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Consensus::voterCount(m_hosts[2]->control->driver().replica().membership()));
        sendAccepted(m_operator.setSigner("*"));
    }

    // Guards against a bundle that takes effect only on the control host that accepted the roll.
    void commandsReachTheWatchersOfEachHost()
    {
        rollOut(1);
        WatchSubscriber subscriber(subscriberOptions(otherThanLeader()), m_random);
        watch(subscriber, seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, subscriber.snapshot()->revision);
        rollOut(2);
        watch(subscriber, seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, subscriber.snapshot()->revision);

        const auto status = statusOf(leader());
        CPPUNIT_ASSERT_EQUAL(0U, status.result());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, status.hosts(0).revision());
        CPPUNIT_ASSERT(std::all_of(status.control_hosts().begin(), status.control_hosts().end(), [](const auto &host) {
            return host.repair() == "none";
        }));
        const auto refused = send(otherThanLeader(), commandOf(m_operator.roll("inspect-desk", 1, true)));
        CPPUNIT_ASSERT_EQUAL(resultName(ResultCode::NotLeader), resultName(resultOf(refused)));
        CPPUNIT_ASSERT_EQUAL(toString(m_hosts[leader()]->address), refused.leader_address());
    }

    // Guards against an operation that runs twice because the leader fails before it answers.
    void resendAfterLeaderFailureGetsTheFirstAnswer()
    {
        const std::string command = commandOf(m_operator.propose(content(1)));
        const std::size_t failedLeader = leader();
        const auto stream = openOperator(failedLeader, "anna");
        sendOn(*stream, command);
        run(milliseconds(150));
        stopHost(*m_hosts[failedLeader]);
        run(seconds(5));
        const auto first = send(leader(), command);
        CPPUNIT_ASSERT_EQUAL(0U, first.result());
        CPPUNIT_ASSERT_EQUAL(first.SerializeAsString(), send(leader(), command).SerializeAsString());
    }

    void restartedHostsKeepTheState()
    {
        rollOut(1);
        restartAll();
        run(seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, statusOf(leader()).revision());
        rollOut(2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, statusOf(otherThanLeader()).revision());
    }

    // Guards against a partitioned control host that sends an outdated state to watchers.
    void partitionedHostServesNoNewWatcher()
    {
        rollOut(1);
        const std::size_t partitioned = otherThanLeader();
        m_network->partition({m_hosts[partitioned]->name, "balancer-a"});
        run(seconds(2));
        rollOut(2);
        WatchSubscriber subscriber(subscriberOptions(partitioned), m_random);
        watch(subscriber, seconds(30));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, subscriber.snapshot()->revision);
        CPPUNIT_ASSERT_EQUAL(resultName(ResultCode::NoQuorum), resultName(static_cast<ResultCode>(statusOf(partitioned, "balancer-a").result())));
        m_network->partition({});
        watch(subscriber, seconds(15));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, subscriber.snapshot()->revision);
    }

    void announcementReachesTheRegistryOfEachHost()
    {
        rollOut(1);
        const auto client = m_network->client({"host-1", "agent"});
        std::vector<std::uint32_t> results;
        MessageStreamHandlers handlers;
        handlers.message = [&results](const Bytes &bytes) {
            pb::AnnounceDown answer;
            answer.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
            results.push_back(answer.result());
        };
        const auto stream = client->open(m_hosts[0]->address, "/announce", handlers);
        pb::AnnounceUp message;
        pb::ServerEntry &server = *message.mutable_server();
        server.set_name("inspect-desk-1");
        server.set_service("inspect-desk");
        server.set_host("host-1/inspect-desk-1");
        server.set_relay_address("127.0.0.1:4500");
        server.set_incarnation(1);
        server.set_state(pb::SERVER_STATE_SERVING);
        stream->send(message);
        run(seconds(1));
        server.set_host("host-2");
        stream->send(message);
        server.set_host("host-1");
        server.set_name("cert-vault-1");
        stream->send(message);
        run(seconds(1));
        const auto notAuthorized = static_cast<std::uint32_t>(ResultCode::NotAuthorized);
        CPPUNIT_ASSERT((std::vector<std::uint32_t>{0, notAuthorized, notAuthorized}) == results);
        for (const auto &host : m_hosts) {
            CPPUNIT_ASSERT(host->control->registry().find("inspect-desk-1") != nullptr);
        }
    }

    // Guards against a long outage after a loss of power, because balancers and agents wait between attempts to connect to control hosts,
    // and against a server list that is marked complete before all agents have announced themselves again.
    void restartedControlHostsNotifyKnownHosts()
    {
        rollOut(1);
        m_reconcilesKnownHosts = true;
        restartAll();
        // Known hosts are proposed only after the fill timeout of the registry.
        run(seconds(11));
        const auto agent = announce(0, "127.0.0.1:4500");
        WatchSubscriberOptions options = subscriberOptions(leader());
        options.noticeAddress = "127.0.0.1:7720";
        WatchSubscriber subscriber(options, m_random);
        watch(subscriber, seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_hosts[leader()]->control->driver().state().knownHosts().size());

        m_notifiedHosts.clear();
        restartAll();
        run(milliseconds(200));
        CPPUNIT_ASSERT(m_notifiedHosts == (std::set<std::string>{"127.0.0.1:4500", "127.0.0.1:7720"}));
        CPPUNIT_ASSERT(!m_hosts[0]->control->isRegistryComplete());
        const auto returned = announce(0, "127.0.0.1:4500");
        run(milliseconds(500));
        for (const auto &host : m_hosts) {
            CPPUNIT_ASSERT(host->control->isRegistryComplete());
        }
    }

    // Guards against a process that acts in another role than that of its certificate.
    void rolesMayUseOnlyTheirPaths()
    {
        for (const auto &[role, path] : std::map<std::string, std::string>{{"agent", "/operator"}, {"balancer", "/raft"}, {"operator", "/registry"}}) {
            ResultCode closeCode = ResultCode::Ok;
            MessageStreamHandlers handlers;
            handlers.message = [](const Bytes &) {};
            handlers.closed = [&closeCode](ResultCode code) {
                closeCode = code;
            };
            const auto stream = m_network->client({"somebody", role})->open(m_hosts[0]->address, path, handlers);
            m_network->deliver();
            CPPUNIT_ASSERT_EQUAL(resultName(ResultCode::NotAuthorized), resultName(closeCode));
        }
    }

    // Guards against a group that never elects a leader again: the replaced host still counts as a voter when another disk is lost.
    void replacedLeaderHasNoVoteAfterItsPlannedStop()
    {
        Host &stopped = leaderWithSuccessor();
        Host &other = *m_hosts[otherThanLeader()];
        stopped.control->announceLeave();
        run(milliseconds(100));
        stopHost(stopped);
        run(seconds(2));
        loseDisk(other);
        run(seconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, voters());
    }

    // Guards against the same after a kill: the next leader must not count the silence of the former one from its own election.
    void replacedLeaderThatWasKilledLosesItsVoteByItsOwnSilence()
    {
        stopHost(leaderWithSuccessor());
        run(MembershipReconcilerOptions().surplusVoterTimeout + milliseconds(400));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, voters());
    }

    // Guards against a group that shrinks because control hosts are restarted.
    void stoppedHostsKeepTheirVotesWithoutAReplacement()
    {
        m_reconcilesKnownHosts = true;
        restartAll();
        run(seconds(5));
        const std::vector<Host *> stopped{m_hosts[leader()].get(), m_hosts[otherThanLeader()].get()};
        for (Host *host : stopped) {
            host->control->announceLeave();
        }
        run(milliseconds(100));
        for (Host *host : stopped) {
            CPPUNIT_ASSERT(!host->control->isLeaving());
            stopHost(*host);
        }
        for (Host *host : stopped) {
            startHost(*host);
        }
        run(seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, voters());
    }

    // Guards against a group that never elects a leader again: the removed host still counts as a voter when the tolerated number of disks is lost.
    void diskLostRightAfterAReplacementLeavesALeader()
    {
        for (const Duration delay : {milliseconds(0), milliseconds(200), milliseconds(1000)}) {
            for (const bool isLeaderRemoved : {false, true}) {
                for (std::size_t lost = 0; lost < 3; ++lost) {
                    m_reconcilesKnownHosts = false;
                    setUp();
                    Host &leaderHost = leaderWithSuccessor();
                    rollOut(1);
                    Host &removed = isLeaderRemoved ? leaderHost : *m_hosts[otherThanLeader()];
                    const std::string where
                        = fmt::format("{} ms after the removal of {}", std::chrono::duration_cast<milliseconds>(delay).count(), removed.name);
                    // The hosts that stay, the successor last.
                    std::vector<Host *> kept;
                    for (const auto &host : m_hosts) {
                        if (host.get() != &removed) {
                            kept.push_back(host.get());
                        }
                    }
                    stopHost(removed);
                    run(delay);
                    loseDisk(*kept[lost]);
                    run(seconds(12));
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(where + ", lost " + kept[lost]->name, std::size_t{3}, voters());
                    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, statusOf(leader()).revision());
                }
            }
        }
    }

    // Guards against a group without a leader whose logs do not tell which hosts are missing.
    void hostsReportThatThereIsNoLeader()
    {
        m_logger->clear(); // hosts that had not joined the group yet had no leader
        run(seconds(8));
        CPPUNIT_ASSERT(!m_logger->contains("event=no-leader"));
        stopHost(*m_hosts[0]);
        stopHost(*m_hosts[1]);
        run(seconds(8));
        CPPUNIT_ASSERT(m_logger->contains("event=no-leader for_ms="));
        CPPUNIT_ASSERT(m_logger->contains("member=true voters=3 unreachable=control-a,control-b"));
    }

private:
    Host &addHost()
    {
        auto host = std::make_unique<Host>();
        const std::size_t number = m_hosts.size();
        host->name = std::string("control-") + static_cast<char>('a' + number);
        host->address = HostAddress{0x7F000001, static_cast<std::uint16_t>(7000 + number)};
        host->client = m_network->client({host->name, "control"});
        host->storage.stored.identity = {host->name + "-disk", host->name};
        m_hosts.push_back(std::move(host));
        return *m_hosts.back();
    }

    /// Adds a host that becomes the fourth of three desired voters. Returns the leader.
    Host &leaderWithSuccessor()
    {
        m_reconcilesKnownHosts = true;
        restartAll();
        run(seconds(5));
        startEmptyHost(addHost());
        run(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, voters());
        return *m_hosts[leader()];
    }

    void startEmptyHost(Host &host)
    {
        startHost(host);
        std::vector<HostAddress> seeds;
        for (const auto &seed : m_hosts) {
            seeds.push_back(seed->address);
        }
        host.control->setSeeds(seeds);
    }

    void loseDisk(Host &host)
    {
        stopHost(host);
        host.storage = MemoryStorage();
        host.storage.stored.identity = {host.name + "-empty-disk", host.name};
        startEmptyHost(host);
    }

    std::size_t voters() const
    {
        return Consensus::voterCount(m_hosts[leader()]->control->driver().replica().membership());
    }

    void startHost(Host &host)
    {
        ControlHostOptions options;
        options.host = host.name;
        options.epoch = m_random() | 1U;
        if (m_reconcilesKnownHosts) {
            options.membershipReconciler = MembershipReconcilerOptions();
            options.acceptsAnyService = true;
            options.startupGrace = seconds(2);
            options.replica.persistsCommitIndex = true;
            options.address = toString(host.address);
        }
        ControlHostService::Environment environment{
            .clock = m_clock,
            .wallClock =
                [] {
                    return std::uint64_t{1'700'000'000'000};
                },
            .logger = *m_logger,
            .client = *host.client,
            .storage = host.storage,
            .random = m_random,
            .storageFailed =
                [](const Failure &failure) {
                    CPPUNIT_FAIL(failure.detail);
                },
            .sendStartNotice =
                [this](const HostAddress &address) {
                    m_notifiedHosts.insert(toString(address));
                },
        };
        host.control = std::make_unique<ControlHostService>(options, environment, host.storage.stored);
        host.control->start();
        m_network->listen(host.address, host.name, [control = host.control.get()](const std::string &path, const std::shared_ptr<MessageStream> &stream) {
            return control->accept(path, stream);
        });
    }

    void stopHost(Host &host)
    {
        m_network->stop(host.name);
        m_network->deliver();
        host.control.reset();
    }

    void restartAll()
    {
        for (auto &host : m_hosts) {
            stopHost(*host);
        }
        for (auto &host : m_hosts) {
            startHost(*host);
        }
    }

    /// Announces a server of "inspect-desk" to a control host. The agent is connected as long as the returned stream exists.
    std::shared_ptr<MessageStream> announce(std::size_t host, const std::string &relayAddress)
    {
        MessageStreamHandlers handlers;
        handlers.message = [](const Bytes &) {};
        handlers.closed = [](ResultCode) {};
        auto stream = m_network->client({"host-1", "agent"})->open(m_hosts[host]->address, "/announce", handlers);
        pb::AnnounceUp message;
        pb::ServerEntry &server = *message.mutable_server();
        server.set_name(relayAddress);
        server.set_service("inspect-desk");
        server.set_host("host-1");
        server.set_relay_address(relayAddress);
        server.set_incarnation(7);
        server.set_state(pb::SERVER_STATE_SERVING);
        stream->send(message);
        run(seconds(1));
        return stream;
    }

    void run(Duration time)
    {
        for (Duration passed{}; passed < time; passed += milliseconds(50)) {
            m_clock.advance(milliseconds(50));
            for (auto &host : m_hosts) {
                if (host->control) {
                    host->control->tick();
                }
            }
            m_network->deliver();
        }
    }

    std::size_t leader() const
    {
        for (std::size_t number = 0; number < m_hosts.size(); ++number) {
            const auto &control = m_hosts[number]->control;
            if (control && control->driver().replica().role() == Consensus::Role::Leader) {
                return number;
            }
        }
        CPPUNIT_FAIL("no control host is the leader");
        return 0;
    }

    std::size_t otherThanLeader() const
    {
        return (leader() + 1) % m_hosts.size();
    }

    std::shared_ptr<OperatorStream> openOperator(std::size_t host, const std::string &name)
    {
        auto operatorStream = std::make_shared<OperatorStream>();
        MessageStreamHandlers handlers;
        handlers.message = [operatorStream](const Bytes &bytes) {
            operatorStream->answers.emplace_back().ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
        };
        operatorStream->stream = m_network->client({name, "operator"})->open(m_hosts[host]->address, "/operator", handlers);
        return operatorStream;
    }

    static void sendOn(OperatorStream &operatorStream, const std::string &command)
    {
        pb::OperatorUp message;
        message.set_command(command);
        operatorStream.stream->send(message);
    }

    pb::CommandAnswer send(std::size_t host, const std::string &command)
    {
        const auto operatorStream = openOperator(host, "anna");
        sendOn(*operatorStream, command);
        run(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, operatorStream->answers.size());
        return operatorStream->answers[0].answer();
    }

    pb::StatusAnswer statusOf(std::size_t host, const std::string &name = "anna")
    {
        const auto operatorStream = openOperator(host, name);
        pb::OperatorUp message;
        message.mutable_status();
        operatorStream->stream->send(message);
        run(seconds(4));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, operatorStream->answers.size());
        return operatorStream->answers[0].status();
    }

    static std::string commandOf(const Bytes &loggedCommand)
    {
        pb::LoggedCommand logged;
        logged.ParseFromArray(loggedCommand.data(), static_cast<int>(loggedCommand.size()));
        return logged.command();
    }

    void sendAccepted(const Bytes &loggedCommand)
    {
        const auto answer = send(leader(), commandOf(loggedCommand));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.detail(), resultName(ResultCode::Ok), resultName(resultOf(answer)));
    }

    static std::string content(std::uint64_t version)
    {
        return CommandBuilder::content("inspect-desk", version, "127.0.0.1:4433");
    }

    void rollOut(std::uint64_t version)
    {
        sendAccepted(m_operator.propose(content(version)));
        sendAccepted(m_operator.sign("inspect-desk", version, content(version)));
        sendAccepted(m_operator.roll("inspect-desk", version));
    }

    WatchSubscriberOptions subscriberOptions(std::size_t host) const
    {
        WatchSubscriberOptions options;
        options.host = "balancer-a";
        options.zone = "dar-ubungo";
        options.role = "balancer";
        options.controlHosts = {m_hosts[host]->address};
        return options;
    }

    void executeEffects(WatchSubscriber &subscriber, const WatchSubscriberEffects &effects)
    {
        for (const auto &effect : effects) {
            if (const auto *open = std::get_if<OpenWatchStream>(&effect)) {
                MessageStreamHandlers handlers;
                handlers.message = [this, &subscriber, number = open->stream](const Bytes &bytes) {
                    pb::WatchDown message;
                    message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
                    executeEffects(subscriber, subscriber.receive(m_clock.now(), number, message));
                };
                handlers.closed = [this, &subscriber, number = open->stream](ResultCode) {
                    executeEffects(subscriber, subscriber.streamClosed(m_clock.now(), number));
                };
                m_watchStream = m_network->client({"balancer-a", "balancer"})->open(open->address, "/watch", handlers);
            } else if (const auto *sent = std::get_if<SendToControl>(&effect)) {
                m_watchStream->send(sent->message);
            } else if (std::holds_alternative<CloseWatchStream>(effect)) {
                m_watchStream->close();
            }
        }
    }

    void watch(WatchSubscriber &subscriber, Duration time)
    {
        for (Duration passed{}; passed < time; passed += milliseconds(100)) {
            executeEffects(subscriber, subscriber.tick(m_clock.now()));
            run(milliseconds(100));
        }
    }

    ManualClock m_clock;
    std::mt19937_64 m_random;
    std::unique_ptr<RecordingLogger> m_logger;
    std::unique_ptr<FakeNetwork> m_network;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::shared_ptr<MessageStream> m_watchStream;
    CommandBuilder m_operator{"anna"};
    bool m_reconcilesKnownHosts = false;
    std::set<std::string> m_notifiedHosts;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlHostTest);
