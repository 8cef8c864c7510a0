#include <jujubequay/net/message_server.h>
#include <jujubequay/steering_program/steering_agent_process.h>
#include <jujubequay/wire/framing.h>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <csignal>
#include <functional>
#include <list>
#include <thread>

using namespace Jujubequay;
namespace pb = jujubequay::pb;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t loopback = 0x7F000001;
/// Time in which the agent connects to its control host.
constexpr auto connectTime = milliseconds(400);

/// No packets are exchanged in these tests.
class NoPackets : public PacketCodec
{
public:
    std::optional<Segment> decode(std::span<const std::uint8_t>) const override
    {
        return std::nullopt;
    }
    void clearTransitFields(std::span<std::uint8_t>) const override { }
    std::vector<std::uint8_t> encodeReset(const ResetCaller &) const override
    {
        return {};
    }
    HostAddress callerEndpoint(const FlowTuple &) const override
    {
        return {};
    }
};

template<class Operation>
auto valueOf(Operation operation)
{
    using Value = std::decay_t<decltype(operation().value())>;
    return handleFailure(
        [&]() -> Result<Value> {
            return operation();
        },
        [](const Failure &failure) -> Value {
            CPPUNIT_FAIL(failure.detail);
            return {};
        });
}

}

class SteeringAgentProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SteeringAgentProcessTest);
    CPPUNIT_TEST(doesNotAnnounceTheEndOfAServerThatRunsWhenItStops);
    CPPUNIT_TEST(announcesTheEndOfAServerWhenItStops);
    CPPUNIT_TEST(announcesTheEndOfAServerThatLeavesWhileItStops);
    CPPUNIT_TEST(announcesTheEndOfAServerThatEndsWhileItStops);
    CPPUNIT_TEST(announcesTheEndOfAServerThatAcceptedNoConnection);
    CPPUNIT_TEST(doesNotEndAServerByACheckOfItsPredecessor);
    CPPUNIT_TEST(keepsItsServerWhenAnotherServiceIsAnnounced);
    CPPUNIT_TEST(acceptsAnotherServiceOnceTheSettingsNameIt);
    CPPUNIT_TEST(acceptsAnotherServiceOnceItsServerHasLeft);
    CPPUNIT_TEST(presentsAServerThatDoesNotAnnounceItselfAsDraining);
    CPPUNIT_TEST(announcesTheEndOfAServerThatLeavesBeforeItsFirstAnnouncement);
    CPPUNIT_TEST_SUITE_END();

    using Acceptor = asio::ip::tcp::acceptor;

    /// What happens on the agent's thread some time after the server's first announcement.
    struct Step {
        milliseconds time;
        std::function<void(SteeringAgentProcess &, Acceptor &server)> action;
    };

    static ServerAnnouncement announcement(const HostAddress &server, const std::string &id, std::uint64_t startedAtMs)
    {
        ServerAnnouncement announcement;
        announcement.id = id;
        announcement.startedAtMs = startedAtMs;
        announcement.sequence = 1;
        announcement.service = "feed";
        announcement.address = server;
        return announcement;
    }

    /// Returns false if the agent refuses the announcement.
    static bool announce(SteeringAgentProcess &agent, const ServerAnnouncement &announcement)
    {
        return handleFailure(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(agent.handleServerAnnouncement(announcement));
                return true;
            },
            [](const Failure &) {
                return false;
            });
    }

    static HostAddress addressOf(const Acceptor &server)
    {
        return {loopback, server.local_endpoint().port()};
    }

    static void listen(Acceptor &server, const asio::ip::tcp::endpoint &address)
    {
        server.open(address.protocol());
        server.set_option(Acceptor::reuse_address(true));
        server.bind(address);
        server.listen();
    }

    struct Options {
        /// Service of the settings file, which the agent reads again on SIGHUP.
        std::shared_ptr<std::string> service = std::make_shared<std::string>();
        bool isServerAnnounced = true;
    };

    /// Runs an agent whose server is `i-1` until it is stopped. Returns true if the agent has announced that the server has ended.
    static bool announcesEnd(const std::vector<Step> &steps)
    {
        const auto states = announcedStates(steps, {});
        return std::find(states.begin(), states.end(), pb::SERVER_STATE_LEFT) != states.end();
    }

    /// As announcesEnd, but returns the states that the agent has announced, in their order.
    static std::vector<pb::ServerState> announcedStates(const std::vector<Step> &steps, const Options &options)
    {
        const std::shared_ptr<std::string> service = options.service;
        asio::io_context serverContext;
        Acceptor server(serverContext, {asio::ip::address_v4::loopback(), 0});
        asio::io_context controlContext;
        const SteadyClock clock;
        Logger logger(clock, {}, {.level = LogLevel::Error});
        std::vector<pb::ServerState> states;
        std::shared_ptr<MessageServer> control;

        SteeringAgentSettings settings;
        settings.discovery.common.location = {"agent-a", "zone-a", "region"};
        settings.discovery.common.logLevel = LogLevel::Error;
        settings.discovery.common.connectTimeout = milliseconds(500);
        settings.discovery.retryLimit = milliseconds(100);
        settings.discovery.silenceLimit = milliseconds(2000);
        settings.relayAddress = {loopback, 0};
        settings.serverOutput = {loopback, 0};
        settings.serverInput = addressOf(server);
        settings.service = *service;
        settings.announceInterval = milliseconds(200);
        const auto accept = [&](const std::string &path, const std::shared_ptr<MessageStream> &stream) {
            MessageStreamHandlers handlers;
            handlers.message = [&states, path, stream](const Bytes &bytes) {
                const auto message = parseMessage<pb::AnnounceUp>(bytes);
                if (path == "/announce" && message) {
                    states.push_back(message->server().state());
                    stream->send(pb::AnnounceDown());
                }
            };
            handlers.closed = [](ResultCode) {};
            return handlers;
        };
        control = valueOf([&] {
            return MessageServer::listen(controlContext, clock, logger, nullptr, {loopback, 0}, accept);
        });
        settings.discovery.seeds = {control->address()};

        const NoPackets codec;
        SteeringAgentProcess agent(
            settings,
            {},
            [&]() -> Result<SteeringAgentSettings> {
                SteeringAgentSettings reloaded = settings;
                reloaded.service = *service;
                return reloaded;
            },
            codec);
        std::thread controlThread([&] {
            controlContext.run();
        });
        valueOf([&]() -> Result<int> {
            BOOST_LEAF_CHECK(agent.start());
            return 0;
        });
        std::list<asio::steady_timer> timers;
        const auto schedule = [&](milliseconds time, std::function<void()> action) {
            timers.emplace_back(agent.context(), connectTime + time).async_wait([action = std::move(action)](const asio::error_code &) {
                action();
            });
        };
        if (options.isServerAnnounced) {
            schedule(milliseconds(0), [&] {
                CPPUNIT_ASSERT(announce(agent, announcement(settings.serverInput, "i-1", 1000)));
            });
        }
        for (const Step &step : steps) {
            schedule(step.time, [&] {
                step.action(agent, server);
            });
        }
        agent.run();
        asio::post(controlContext, [&] {
            control->stop();
            controlContext.stop();
        });
        controlThread.join();
        return states;
    }

    static void leave(SteeringAgentProcess &agent, Acceptor & /*server*/)
    {
        agent.handleServerDeparture("i-1", std::nullopt);
    }

    static void end(SteeringAgentProcess & /*agent*/, Acceptor &server)
    {
        server.close();
    }

    static void stop(SteeringAgentProcess & /*agent*/, Acceptor & /*server*/)
    {
        std::raise(SIGTERM);
    }

public:
    /// All hosts reset the flows of a server whose end was announced. A server that has announced its departure may serve them for seconds.
    void doesNotAnnounceTheEndOfAServerThatRunsWhenItStops()
    {
        CPPUNIT_ASSERT(!announcesEnd({{milliseconds(300), leave}, {milliseconds(300), stop}}));
    }

    /// After the agent has stopped, nobody announces the end of the server, and its callers wait until they time out.
    void announcesTheEndOfAServerWhenItStops()
    {
        CPPUNIT_ASSERT(announcesEnd({{milliseconds(300), leave}, {milliseconds(300), end}, {milliseconds(300), stop}}));
    }

    /// Guards against an agent that ends at once, without its last packets, when its server leaves after the stop signal.
    void announcesTheEndOfAServerThatLeavesWhileItStops()
    {
        CPPUNIT_ASSERT(announcesEnd({{milliseconds(300), stop}, {milliseconds(340), end}, {milliseconds(350), leave}}));
    }

    /// Guards against a stopping agent that checks only once whether its departing server has ended.
    void announcesTheEndOfAServerThatEndsWhileItStops()
    {
        CPPUNIT_ASSERT(announcesEnd({{milliseconds(300), leave}, {milliseconds(300), stop}, {milliseconds(350), end}}));
    }

    /// Guards against a check that waits for the next connection attempt of the kernel while the server has long ended.
    void announcesTheEndOfAServerThatAcceptedNoConnection()
    {
        asio::io_context callers;
        std::list<asio::ip::tcp::socket> backlog;
        const auto fillBacklog = [&](SteeringAgentProcess &, Acceptor &server) {
            server.listen(0);
            for (int count = 0; count < 3; ++count) {
                backlog.emplace_back(callers).async_connect(server.local_endpoint(), [](const asio::error_code &) {});
            }
        };
        CPPUNIT_ASSERT(announcesEnd({{milliseconds(250), fillBacklog}, {milliseconds(300), leave}, {milliseconds(300), stop}, {milliseconds(350), end}}));
    }

    /// Guards against the reset of all flows of a running server after a pause in which it has replaced its predecessor.
    void doesNotEndAServerByACheckOfItsPredecessor()
    {
        asio::ip::tcp::endpoint address;
        const auto endAndLeave = [&](SteeringAgentProcess &agent, Acceptor &server) {
            address = server.local_endpoint();
            end(agent, server);
            leave(agent, server);
        };
        const auto pause = [](SteeringAgentProcess &, Acceptor &) {
            std::this_thread::sleep_for(milliseconds(200));
        };
        // Runs after the check was started and before its result is handled.
        const auto replace = [&](SteeringAgentProcess &agent, Acceptor &server) {
            listen(server, address);
            CPPUNIT_ASSERT(announce(agent, announcement(addressOf(server), "i-2", 2000)));
            agent.handleServerDeparture("i-2", std::nullopt);
        };
        CPPUNIT_ASSERT(!announcesEnd({{milliseconds(300), endAndLeave}, {milliseconds(350), pause}, {milliseconds(430), replace}, {milliseconds(800), stop}}));
    }

    /// Guards against an announcement of another writer that ends the running server and resets its flows.
    void keepsItsServerWhenAnotherServiceIsAnnounced()
    {
        std::vector<bool> accepted;
        const auto announceOthers = [&accepted](SteeringAgentProcess &agent, Acceptor &server) {
            ServerAnnouncement other = announcement(addressOf(server), "i-2", 2000);
            other.service = "vault";
            accepted.push_back(announce(agent, other));
            accepted.push_back(announce(agent, announcement({loopback, 1}, "i-2", 2000)));
            ServerAnnouncement next = announcement(addressOf(server), "i-1", 1000);
            next.sequence = 2;
            accepted.push_back(announce(agent, next));
        };
        announcedStates({{milliseconds(100), announceOthers}, {milliseconds(300), stop}}, {.service = std::make_shared<std::string>("feed")});
        CPPUNIT_ASSERT((std::vector<bool>{false, false, true}) == accepted);
    }

    /// A server of another service may be started at the address of an agent that runs on.
    void acceptsAnotherServiceOnceTheSettingsNameIt()
    {
        const auto service = std::make_shared<std::string>("feed");
        bool isAccepted = false;
        const auto reload = [service](SteeringAgentProcess &, Acceptor &) {
            *service = "vault";
            std::raise(SIGHUP);
        };
        const auto announceOther = [&isAccepted](SteeringAgentProcess &agent, Acceptor &server) {
            ServerAnnouncement other = announcement(addressOf(server), "i-2", 2000);
            other.service = "vault";
            isAccepted = announce(agent, other);
        };
        announcedStates({{milliseconds(100), reload}, {milliseconds(200), announceOther}, {milliseconds(300), stop}}, {.service = service});
        CPPUNIT_ASSERT(isAccepted);
    }

    /// The address may be used again at once. Guards against a server that waits for new flows until its predecessor counts as silent.
    void acceptsAnotherServiceOnceItsServerHasLeft()
    {
        std::vector<bool> accepted;
        const auto announceOther = [&accepted](SteeringAgentProcess &agent, Acceptor &server) {
            ServerAnnouncement other = announcement(addressOf(server), "i-2", 2000);
            other.service = "vault";
            accepted.push_back(announce(agent, other));
        };
        announcedStates({{milliseconds(50), announceOther}, {milliseconds(100), leave}, {milliseconds(150), announceOther}, {milliseconds(300), stop}}, {});
        CPPUNIT_ASSERT((std::vector<bool>{false, true}) == accepted);
    }

    /// Guards against new flows for a server that has deregistered while its agent was restarted: it runs, but announces nothing any more.
    void presentsAServerThatDoesNotAnnounceItselfAsDraining()
    {
        const auto states = announcedStates({{milliseconds(400), stop}}, {.service = std::make_shared<std::string>("feed"), .isServerAnnounced = false});
        CPPUNIT_ASSERT(!states.empty());
        CPPUNIT_ASSERT_EQUAL(pb::SERVER_STATE_SERVING, states.front());
        CPPUNIT_ASSERT_EQUAL(pb::SERVER_STATE_DRAINING, states.back());
    }

    /// Guards against a departure that a restarted agent acknowledges and forgets: nobody would announce the end of the server.
    void announcesTheEndOfAServerThatLeavesBeforeItsFirstAnnouncement()
    {
        const auto states = announcedStates({{milliseconds(0), leave}, {milliseconds(50), end}, {milliseconds(400), stop}},
                                            {.service = std::make_shared<std::string>("feed"), .isServerAnnounced = false});
        CPPUNIT_ASSERT(!states.empty());
        CPPUNIT_ASSERT_EQUAL(pb::SERVER_STATE_LEFT, states.back());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SteeringAgentProcessTest);
