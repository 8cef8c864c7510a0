#include <jujubequay/net/message_server.h>
#include <jujubequay/steering_program/steering_agent_process.h>
#include <jujubequay/wire/framing.h>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <thread>

using namespace Jujubequay;
namespace pb = jujubequay::pb;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t loopback = 0x7F000001;

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
    CPPUNIT_TEST_SUITE_END();

    /// Stops an agent just after its server has announced its departure. Returns true if the agent has announced the server's end.
    static bool announcesEndWhenStopped(bool doesServerRun)
    {
        asio::io_context serverContext;
        asio::ip::tcp::acceptor server(serverContext, {asio::ip::address_v4::loopback(), 0});
        asio::io_context controlContext;
        const SteadyClock clock;
        Logger logger(clock, {}, {.level = LogLevel::Error});
        bool hasAnnouncedEnd = false;
        std::shared_ptr<MessageServer> control;

        SteeringAgentSettings settings;
        settings.discovery.common.location = {"agent-a", "zone-a", "region"};
        settings.discovery.common.logLevel = LogLevel::Error;
        settings.discovery.common.connectTimeout = milliseconds(500);
        settings.discovery.retryLimit = milliseconds(100);
        settings.discovery.silenceLimit = milliseconds(2000);
        settings.relayAddress = {loopback, 0};
        settings.serverOutput = {loopback, 0};
        settings.serverInput = {loopback, server.local_endpoint().port()};
        settings.announceInterval = milliseconds(200);
        const auto accept = [&](const std::string &path, const std::shared_ptr<MessageStream> &stream) {
            MessageStreamHandlers handlers;
            handlers.message = [&hasAnnouncedEnd, path, stream](const Bytes &bytes) {
                const auto message = parseMessage<pb::AnnounceUp>(bytes);
                if (path == "/announce" && message) {
                    hasAnnouncedEnd = hasAnnouncedEnd || message->server().state() == pb::SERVER_STATE_LEFT;
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
            [&]() -> Result<std::vector<HostAddress>> {
                return settings.discovery.seeds;
            },
            codec);
        std::thread controlThread([&] {
            controlContext.run();
        });
        valueOf([&]() -> Result<int> {
            BOOST_LEAF_CHECK(agent.start());
            return 0;
        });
        asio::steady_timer timer(agent.context(), milliseconds(400));
        timer.async_wait([&](const asio::error_code &) {
            ServerAnnouncement announcement;
            announcement.id = "i-1";
            announcement.startedAtMs = 1000;
            announcement.sequence = 1;
            announcement.service = "feed";
            agent.handleServerAnnouncement(announcement);
            timer.expires_after(milliseconds(300));
            timer.async_wait([&](const asio::error_code &) {
                agent.handleServerDeparture("i-1", std::nullopt);
                if (!doesServerRun) {
                    server.close();
                }
                std::raise(SIGTERM);
            });
        });
        agent.run();
        asio::post(controlContext, [&] {
            control->stop();
            controlContext.stop();
        });
        controlThread.join();
        return hasAnnouncedEnd;
    }

public:
    /// All hosts reset the flows of a server whose end was announced. A server that has announced its departure may serve them for seconds.
    void doesNotAnnounceTheEndOfAServerThatRunsWhenItStops()
    {
        CPPUNIT_ASSERT(!announcesEndWhenStopped(true));
    }

    /// After the agent has stopped, nobody announces the end of the server, and its callers wait until they time out.
    void announcesTheEndOfAServerWhenItStops()
    {
        CPPUNIT_ASSERT(announcesEndWhenStopped(false));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SteeringAgentProcessTest);
