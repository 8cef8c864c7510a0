#include "fake_agents.h"

#include <jujubequay/client/caller.h>
#include <jujubequay/quic/lossy_link.h>

#include <jujubequay/wire/flow_close.h>

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

using namespace Jujubequay;
using namespace std::chrono_literals;

namespace {

const SelfSignedCertificate &testCertificate()
{
    static const SelfSignedCertificate certificate = makeSelfSignedCertificate("slotboard").value();
    return certificate;
}

/// One caller, agents and a stand-in for the balancers: flow identifiers name the agent, other openings are spread.
class World final : public QuicClientSink
{
public:
    explicit World(std::uint64_t seed, LossyLink::Options link = {}, std::size_t agentCount = 3, CallerOptions options = fastOptions())
        : random(seed)
        , m_up(link, random)
        , m_down(link, random)
        , m_credentials(TlsCredentials::server(testCertificate().certificatePem, testCertificate().keyPem).value())
        , caller(std::move(options), TlsCredentials::client(testCertificate().certificatePem).value(), {1, 2, 3}, *this, random)
    {
        for (std::size_t index = 0; index < agentCount; ++index) {
            agents.emplace_back();
            restart(index);
        }
        caller.flush(now);
    }

    static CallerOptions fastOptions()
    {
        CallerOptions options;
        options.serviceName = "slotboard";
        options.idleTimeout = 8s;
        options.handshakeTimeout = 4s;
        options.keepAlive = 2s;
        return options;
    }

    /// Starts the agent anew: another incarnation that knows nothing of the old one's flows and requests.
    void restart(std::size_t index)
    {
        const FlowTarget target{ServiceId{3}, HostAddress{0x7f000001U, static_cast<std::uint16_t>(9000 + index)}, Incarnation{++m_incarnation}};
        agents[index]
            = std::make_unique<FakeAgent>(target, m_credentials, executions, random, now, [this](const HostAddress &, std::span<const std::uint8_t> datagram) {
                  m_down.send(now, datagram);
              });
    }

    void sendDatagram(std::span<const std::uint8_t> datagram) override
    {
        m_up.send(now, datagram);
    }

    void cut(bool isCut)
    {
        m_up.setDisconnected(isCut);
        m_down.setDisconnected(isCut);
    }

    RequestTicket submit(WorkClass workClass, bool idempotent, std::optional<Duration> deadline = {})
    {
        Request request{
            .customer = "broker-7", .path = fmt::format("/item/{}", ++m_paths), .workClass = workClass, .idempotent = idempotent, .deadline = deadline};
        request.body = Bytes(random() % 3'000, 7);
        const std::string path = request.path;
        const RequestTicket ticket = caller.submit(now, std::move(request));
        paths[ticket] = path;
        nonIdempotent[ticket] = !idempotent && workClass != WorkClass::Feed;
        caller.flush(now);
        return ticket;
    }

    /// Runs until `until` at the latest, or until the condition holds.
    bool run(
        TimePoint until, const std::function<bool()> &condition = [] {
            return false;
        })
    {
        while (!condition()) {
            TimePoint next = std::min({m_up.nextArrival().value_or(TimePoint::max()),
                                       m_down.nextArrival().value_or(TimePoint::max()),
                                       caller.nextTimeout().value_or(TimePoint::max())});
            for (const auto &agent : agents) {
                next = std::min(next, agent->next());
            }
            if (next > until) {
                now = until;
                return condition();
            }
            now = std::max(now, next);
            while (const auto datagram = m_up.receive(now)) {
                route(*datagram);
            }
            for (const auto &agent : agents) {
                agent->run();
            }
            while (const auto datagram = m_down.receive(now)) {
                caller.receive(now, *datagram);
            }
            caller.handleTimeout(now);
            takeEvents();
        }
        return true;
    }

    void takeEvents()
    {
        for (const CallerEvent &event : caller.takeEvents()) {
            std::visit(
                [this](const auto &happened) {
                    record(happened);
                },
                event);
        }
    }

    /// Each request is answered once and completely, and ran as often as its result allows.
    void checkAnswers()
    {
        for (const auto &[ticket, answer] : answers) {
            const int executed = executions[paths.at(ticket)];
            const std::string context = fmt::format("{} result {} executed {}", paths.at(ticket), resultName(answer.result), executed);
            CPPUNIT_ASSERT_MESSAGE(context, !nonIdempotent.at(ticket) || executed <= 1);
            CPPUNIT_ASSERT_MESSAGE(context, !nonIdempotent.at(ticket) || !isNotRun(answer.result) || executed == 0);
            CPPUNIT_ASSERT_MESSAGE(context, answer.result != ResultCode::Ok || answer.body == expectedBody(paths.at(ticket)));
            CPPUNIT_ASSERT_MESSAGE(context, answer.result != ResultCode::Ok || executed >= 1);
        }
    }

    TimePoint now{1s};
    std::mt19937_64 random;
    std::map<std::string, int> executions;
    std::map<RequestTicket, std::string> paths;
    std::map<RequestTicket, bool> nonIdempotent;
    std::map<RequestTicket, Answered> answers;
    std::map<RequestTicket, std::uint64_t> feeds; ///< position after the last part
    std::vector<std::unique_ptr<FakeAgent>> agents;

private:
    void route(const Bytes &datagram)
    {
        const bool isLong = (datagram[0] & 0x80U) != 0;
        const std::size_t start = isLong ? 6 : 1;
        const std::size_t length = isLong ? datagram[5] : flowIdLength;
        if (datagram.size() < start + length) {
            return;
        }
        const auto identifier = std::span(datagram).subspan(start, length);
        const HostAddress address{0x7f000002U, 1000};
        if (const auto target = decodeFlowId(m_keys, identifier)) {
            agents.at(target->server.port - 9000U)->receive(address, datagram);
            return;
        }
        std::vector<FakeAgent *> accepting;
        for (const auto &agent : agents) {
            if (!agent->isDraining) {
                accepting.push_back(agent.get());
            }
        }
        if (!accepting.empty()) {
            accepting[identifier[0] % accepting.size()]->receive(address, datagram);
        }
    }

    void record(const Answered &answered)
    {
        CPPUNIT_ASSERT(answers.emplace(answered.ticket, answered).second);
    }
    void record(const FeedReceived &part)
    {
        std::uint64_t &position = feeds[part.ticket];
        const std::string text = std::to_string(part.position);
        CPPUNIT_ASSERT(Bytes(text.begin(), text.end()) == part.data);
        CPPUNIT_ASSERT_EQUAL(position + 1, part.position);
        position = part.position;
    }
    void record(const FlowOpened &) { }
    void record(const FlowLost &) { }

    LossyLink m_up;
    LossyLink m_down;
    const std::shared_ptr<const TlsCredentials> m_credentials;
    const FlowKeySet m_keys = FakeAgent::testKeys();
    std::uint32_t m_incarnation = 0;
    int m_paths = 0;

public:
    Caller caller;
};

constexpr LossyLink::Options badLink{.loss = 0.05, .duplicates = 0.05, .minDelay = 1ms, .maxDelay = 12ms};

}

class CallerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallerTest);
    CPPUNIT_TEST(answersAreCompleteOnBadLinks);
    CPPUNIT_TEST(lostFlowIsResumedAndAskedAgain);
    CPPUNIT_TEST(requestCrossingADrainGoesElsewhereAtOnce);
    CPPUNIT_TEST(restartedAgentLeavesOutcomeUnknown);
    CPPUNIT_TEST(idempotentRequestIsResentElsewhere);
    CPPUNIT_TEST(drainingMovesFeedsWithoutGapOrRepeat);
    CPPUNIT_TEST(cancelAndDeadlineEndRequests);
    CPPUNIT_TEST(retriesStayWithinTheBudget);
    CPPUNIT_TEST(randomFaultsKeepThePromises);
    CPPUNIT_TEST_SUITE_END();

public:
    void answersAreCompleteOnBadLinks()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            World world(seed, badLink);
            for (int index = 0; index < 40; ++index) {
                world.submit(index % 2 == 0 ? WorkClass::Critical : WorkClass::Interactive, index % 2 != 0);
            }
            CPPUNIT_ASSERT(world.run(world.now + 60s, [&] {
                return world.answers.size() == 40;
            }));
            world.checkAnswers();
        }
    }

    // Guards against a bid that is lost or executed twice because its flow broke under it.
    void lostFlowIsResumedAndAskedAgain()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            World world(seed, badLink, 1);
            CPPUNIT_ASSERT(world.run(world.now + 10s, [&] {
                return world.caller.readyFlows() == 2;
            }));
            const RequestTicket ticket = world.submit(WorkClass::Critical, false);
            CPPUNIT_ASSERT(world.run(world.now + 10s, [&] {
                return !world.executions.empty() || world.answers.contains(ticket);
            }));
            world.agents[0]->dropFlows();
            CPPUNIT_ASSERT(world.run(world.now + 30s, [&] {
                return world.answers.contains(ticket);
            }));
            world.checkAnswers();
            CPPUNIT_ASSERT(world.answers.at(ticket).result == ResultCode::Ok);
        }
    }

    // Guards against a bid that waits for the handshake timeout of an agent that had drained before the bid arrived.
    void requestCrossingADrainGoesElsewhereAtOnce()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            World world(seed, {}, 2);
            CPPUNIT_ASSERT(world.run(world.now + 10s, [&] {
                return world.caller.readyFlows() == 2;
            }));
            for (int index = 0; index < 6; ++index) {
                world.submit(WorkClass::Critical, false);
            }
            world.caller.flush(world.now);
            world.agents[0]->drain();
            world.agents[0]->dropFlows(flowDrainedCode);
            CPPUNIT_ASSERT(world.run(world.now + 5s, [&] {
                return world.answers.size() == 6;
            }));
            world.checkAnswers();
            for (const auto &[ticket, answer] : world.answers) {
                CPPUNIT_ASSERT(answer.result == ResultCode::Ok);
            }
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.caller.statistics().flowsResumed);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.caller.statistics().flowsLost);
        }
    }

    // Guards against a bid that is sent again to an agent that cannot know whether it ran.
    void restartedAgentLeavesOutcomeUnknown()
    {
        World world(1, {}, 1);
        CPPUNIT_ASSERT(world.run(world.now + 10s, [&] {
            return world.caller.readyFlows() == 2;
        }));
        const RequestTicket ticket = world.submit(WorkClass::Critical, false);
        CPPUNIT_ASSERT(world.run(world.now + 10s, [&] {
            return !world.executions.empty();
        }));
        world.restart(0);
        CPPUNIT_ASSERT(world.run(world.now + 30s, [&] {
            return world.answers.contains(ticket);
        }));
        CPPUNIT_ASSERT(world.answers.at(ticket).result == ResultCode::OutcomeUnknown);
        CPPUNIT_ASSERT_EQUAL(1, world.executions[world.paths[ticket]]);
    }

    void idempotentRequestIsResentElsewhere()
    {
        World world(2, {}, 1);
        CPPUNIT_ASSERT(world.run(world.now + 10s, [&] {
            return world.caller.readyFlows() == 2;
        }));
        const RequestTicket ticket = world.submit(WorkClass::Interactive, true);
        CPPUNIT_ASSERT(world.run(world.now + 10s, [&] {
            return !world.executions.empty();
        }));
        world.restart(0);
        CPPUNIT_ASSERT(world.run(world.now + 30s, [&] {
            return world.answers.contains(ticket);
        }));
        CPPUNIT_ASSERT(world.answers.at(ticket).result == ResultCode::Ok);
        world.checkAnswers();
    }

    // Guards against readings that are lost or shown twice when a server drains.
    void drainingMovesFeedsWithoutGapOrRepeat()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            World world(seed, badLink, 3);
            const RequestTicket feed = world.submit(WorkClass::Feed, true);
            for (std::size_t agent = 0; agent < 2; ++agent) {
                const std::uint64_t before = world.feeds[feed];
                CPPUNIT_ASSERT(world.run(world.now + 30s, [&] {
                    return world.feeds[feed] > before + 20;
                }));
                world.agents[agent]->drain();
            }
            const std::uint64_t before = world.feeds[feed];
            CPPUNIT_ASSERT(world.run(world.now + 30s, [&] {
                return world.feeds[feed] > before + 200;
            }));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.caller.statistics().flowsLost);
            CPPUNIT_ASSERT(world.answers.empty());
        }
    }

    void cancelAndDeadlineEndRequests()
    {
        World world(3);
        CPPUNIT_ASSERT(world.run(world.now + 10s, [&] {
            return world.caller.readyFlows() == 2;
        }));
        world.cut(true);
        const RequestTicket late = world.submit(WorkClass::Critical, false, 500ms);
        const RequestTicket cancelled = world.submit(WorkClass::Feed, true);
        world.caller.cancel(world.now, cancelled);
        CPPUNIT_ASSERT(world.run(world.now + 1s, [&] {
            return world.answers.size() == 2;
        }));
        CPPUNIT_ASSERT(world.answers.at(late).result == ResultCode::DeadlineExceeded);
        CPPUNIT_ASSERT(world.answers.at(cancelled).result == ResultCode::Cancelled);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.caller.openRequests());
    }

    // Guards against retries that multiply an overload.
    void retriesStayWithinTheBudget()
    {
        CallerOptions options = World::fastOptions();
        options.retries = {.tokensPerRequest = 0, .maxTokens = 3};
        World world(4, {}, 2, options);
        for (int index = 0; index < 200; ++index) {
            world.submit(WorkClass::Interactive, true);
        }
        CPPUNIT_ASSERT(world.run(world.now + 60s, [&] {
            return world.answers.size() == 200;
        }));
        CPPUNIT_ASSERT(world.caller.statistics().retriesDenied > 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, world.caller.statistics().retries);
    }

    // Loss, reordering, duplicates, lost flows, restarts, drains and cuts at random times, together.
    void randomFaultsKeepThePromises()
    {
        CallerStatistics total;
        std::map<ResultCode, int> results;
        for (std::uint64_t seed = 1; seed <= 25; ++seed) {
            World world(seed, badLink, 3);
            std::size_t submitted = 0;
            const RequestTicket feed = world.submit(WorkClass::Feed, true);
            for (int step = 0; step < 60; ++step) {
                for (std::uint64_t count = world.random() % 4; count > 0; --count, ++submitted) {
                    const bool idempotent = world.random() % 2 == 0;
                    const bool hasDeadline = world.random() % 5 == 0;
                    const RequestTicket ticket = world.submit(
                        idempotent ? WorkClass::Interactive : WorkClass::Critical, idempotent, hasDeadline ? std::optional<Duration>(80ms) : std::nullopt);
                    if (world.random() % 15 == 0) {
                        world.caller.cancel(world.now, ticket);
                    }
                }
                injectFault(world);
                world.run(world.now + std::chrono::milliseconds(world.random() % 400));
            }
            const auto isAnswered = [&] {
                return world.answers.size() - world.answers.count(feed) == submitted;
            };
            const std::string context = fmt::format("seed {} answered {} of {}", seed, world.answers.size(), submitted);
            CPPUNIT_ASSERT_MESSAGE(context, world.run(world.now + 120s, isAnswered));
            world.checkAnswers();
            total.flowsResumed += world.caller.statistics().flowsResumed;
            total.retries += world.caller.statistics().retries;
            for (const auto &[ticket, answer] : world.answers) {
                ++results[answer.result];
            }
        }
        // The faults must really reach what they are meant to test.
        CPPUNIT_ASSERT(total.flowsResumed > 10 && total.retries > 10);
        CPPUNIT_ASSERT(results[ResultCode::Ok] > 500 && results[ResultCode::OutcomeUnknown] > 0);
        CPPUNIT_ASSERT(results[ResultCode::DeadlineExceeded] > 0 && results[ResultCode::NotRunCancelled] > 0);
    }

private:
    static void injectFault(World &world)
    {
        const std::size_t agent = world.random() % world.agents.size();
        switch (world.random() % 12) {
        case 0:
            world.agents[agent]->dropFlows();
            break;
        case 1:
            world.restart(agent);
            break;
        case 2:
            world.agents[agent]->drain();
            break;
        case 3:
            world.cut(true);
            world.run(world.now + std::chrono::milliseconds(world.random() % 9'000));
            world.cut(false);
            break;
        default:
            break;
        }
        for (std::size_t index = 0; index < world.agents.size(); ++index) {
            if (world.agents[index]->isDraining && world.random() % 6 == 0) {
                world.restart(index);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerTest);
