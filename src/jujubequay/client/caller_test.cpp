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

/// A caller and agents connected by lossy links in simulated time. Stubs the balancers: datagrams with a flow identifier go to the agent that
/// it encodes, Initial packets of new flows are spread over the agents that are not draining.
class TestNetwork final : public QuicClientSink
{
public:
    explicit TestNetwork(std::uint64_t seed, LossyLink::Options link = {}, std::size_t agentCount = 3, CallerOptions options = shortTimeouts())
        : random(seed)
        , m_toAgents(link, random)
        , m_toCaller(link, random)
        , m_credentials(TlsCredentials::server(testCertificate().certificatePem, testCertificate().keyPem).value())
        , caller(std::move(options), TlsCredentials::client(testCertificate().certificatePem).value(), {1, 2, 3}, *this, random)
    {
        for (std::size_t index = 0; index < agentCount; ++index) {
            agents.emplace_back();
            restart(index);
        }
        caller.flush(now);
    }

    static CallerOptions shortTimeouts()
    {
        CallerOptions options;
        options.serviceName = "slotboard";
        options.idleTimeout = 8s;
        options.handshakeTimeout = 4s;
        options.keepAlive = 2s;
        return options;
    }

    /// Replaces the agent by a new incarnation without the flows and requests of the old one.
    void restart(std::size_t index)
    {
        const FlowTarget target{ServiceId{3}, HostAddress{0x7f000001U, static_cast<std::uint16_t>(9000 + index)}, Incarnation{++m_incarnation}};
        agents[index]
            = std::make_unique<FakeAgent>(target, m_credentials, executions, random, now, [this](const HostAddress &, std::span<const std::uint8_t> datagram) {
                  m_toCaller.send(now, datagram);
              });
    }

    void sendDatagram(std::span<const std::uint8_t> datagram) override
    {
        m_toAgents.send(now, datagram);
    }

    void setPartitioned(bool isPartitioned)
    {
        m_toAgents.setDisconnected(isPartitioned);
        m_toCaller.setDisconnected(isPartitioned);
    }

    RequestTicket submit(WorkClass workClass, bool idempotent, std::optional<Duration> deadline = {})
    {
        Request request{
            .customer = "broker-7", .path = fmt::format("/item/{}", ++m_pathCount), .workClass = workClass, .idempotent = idempotent, .deadline = deadline};
        request.body = Bytes(random() % 3'000, 7);
        const std::string path = request.path;
        const RequestTicket ticket = caller.submit(now, std::move(request));
        paths[ticket] = path;
        nonIdempotent[ticket] = !idempotent && workClass != WorkClass::Feed;
        caller.flush(now);
        return ticket;
    }

    /// Runs until the condition holds, or until the time `until`. Returns whether the condition holds.
    bool run(
        TimePoint until, const std::function<bool()> &condition = [] {
            return false;
        })
    {
        while (!condition()) {
            TimePoint next = std::min({m_toAgents.nextArrival().value_or(TimePoint::max()),
                                       m_toCaller.nextArrival().value_or(TimePoint::max()),
                                       caller.nextTimeout().value_or(TimePoint::max())});
            for (const auto &agent : agents) {
                next = std::min(next, agent->nextTimeout());
            }
            if (next > until) {
                now = until;
                return condition();
            }
            now = std::max(now, next);
            while (const auto datagram = m_toAgents.receive(now)) {
                routeToAgent(*datagram);
            }
            for (const auto &agent : agents) {
                agent->run();
            }
            while (const auto datagram = m_toCaller.receive(now)) {
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
                [this](const auto &callerEvent) {
                    record(callerEvent);
                },
                event);
        }
    }

    /// Checks that answers are complete and that each request was executed only as often as its result allows.
    void checkGuarantees()
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
    std::map<RequestTicket, RequestFinished> answers;
    std::map<RequestTicket, std::uint64_t> feeds; ///< position after the last received part, by feed
    std::vector<std::unique_ptr<FakeAgent>> agents;

private:
    void routeToAgent(const Bytes &datagram)
    {
        const bool isLongHeader = (datagram[0] & 0x80U) != 0;
        const std::size_t start = isLongHeader ? 6 : 1;
        const std::size_t length = isLongHeader ? datagram[5] : flowIdLength;
        if (datagram.size() < start + length) {
            return;
        }
        const auto destinationId = std::span(datagram).subspan(start, length);
        const HostAddress address{0x7f000002U, 1000};
        if (const auto target = decodeFlowId(m_keys, destinationId)) {
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
            accepting[destinationId[0] % accepting.size()]->receive(address, datagram);
        }
    }

    void record(const RequestFinished &answered)
    {
        CPPUNIT_ASSERT(answers.emplace(answered.ticket, answered).second);
    }
    void record(const FeedPartReceived &part)
    {
        std::uint64_t &position = feeds[part.ticket];
        const std::string text = std::to_string(part.position);
        CPPUNIT_ASSERT(Bytes(text.begin(), text.end()) == part.data);
        CPPUNIT_ASSERT_EQUAL(position + 1, part.position);
        position = part.position;
    }
    void record(const FlowOpened &) { }
    void record(const FlowLost &) { }

    LossyLink m_toAgents;
    LossyLink m_toCaller;
    const std::shared_ptr<const TlsCredentials> m_credentials;
    const FlowKeySet m_keys = FakeAgent::testKeys();
    std::uint32_t m_incarnation = 0;
    int m_pathCount = 0;

public:
    Caller caller;
};

constexpr LossyLink::Options lossyLink{.loss = 0.05, .duplicates = 0.05, .minDelay = 1ms, .maxDelay = 12ms};

}

class CallerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallerTest);
    CPPUNIT_TEST(answersAreCompleteOnLossyLinks);
    CPPUNIT_TEST(lostFlowIsResumedAndRequestRepeated);
    CPPUNIT_TEST(requestSentDuringDrainIsRetriedAtOtherServerAtOnce);
    CPPUNIT_TEST(requestAtRestartedAgentHasUnknownOutcome);
    CPPUNIT_TEST(idempotentRequestIsRetriedAfterAgentRestart);
    CPPUNIT_TEST(drainMovesFeedsWithoutGapsOrDuplicates);
    CPPUNIT_TEST(cancelAndDeadlineFinishRequests);
    CPPUNIT_TEST(retriesStayWithinBudget);
    CPPUNIT_TEST(guaranteesHoldUnderRandomFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    void answersAreCompleteOnLossyLinks()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            TestNetwork network(seed, lossyLink);
            for (int index = 0; index < 40; ++index) {
                network.submit(index % 2 == 0 ? WorkClass::Critical : WorkClass::Interactive, index % 2 != 0);
            }
            CPPUNIT_ASSERT(network.run(network.now + 60s, [&] {
                return network.answers.size() == 40;
            }));
            network.checkGuarantees();
        }
    }

    // Guards against a non-idempotent request that is lost or executed twice when its flow ends while it runs.
    void lostFlowIsResumedAndRequestRepeated()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            TestNetwork network(seed, lossyLink, 1);
            CPPUNIT_ASSERT(network.run(network.now + 10s, [&] {
                return network.caller.readyFlows() == 2;
            }));
            const RequestTicket ticket = network.submit(WorkClass::Critical, false);
            CPPUNIT_ASSERT(network.run(network.now + 10s, [&] {
                return !network.executions.empty() || network.answers.contains(ticket);
            }));
            network.agents[0]->dropFlows();
            CPPUNIT_ASSERT(network.run(network.now + 30s, [&] {
                return network.answers.contains(ticket);
            }));
            network.checkGuarantees();
            CPPUNIT_ASSERT(network.answers.at(ticket).result == ResultCode::Ok);
        }
    }

    // The agent finishes draining before requests in transit reach it. Guards against a retry at this agent, which would wait for the
    // handshake timeout.
    void requestSentDuringDrainIsRetriedAtOtherServerAtOnce()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            TestNetwork network(seed, {}, 2);
            CPPUNIT_ASSERT(network.run(network.now + 10s, [&] {
                return network.caller.readyFlows() == 2;
            }));
            for (int index = 0; index < 6; ++index) {
                network.submit(WorkClass::Critical, false);
            }
            network.caller.flush(network.now);
            network.agents[0]->drain();
            network.agents[0]->dropFlows(flowDrainedCode);
            CPPUNIT_ASSERT(network.run(network.now + 5s, [&] {
                return network.answers.size() == 6;
            }));
            network.checkGuarantees();
            for (const auto &[ticket, answer] : network.answers) {
                CPPUNIT_ASSERT(answer.result == ResultCode::Ok);
            }
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, network.caller.statistics().flowsResumed);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, network.caller.statistics().flowsLost);
        }
    }

    // Guards against a retry of a non-idempotent request at an agent that has lost the record of whether it ran.
    void requestAtRestartedAgentHasUnknownOutcome()
    {
        TestNetwork network(1, {}, 1);
        CPPUNIT_ASSERT(network.run(network.now + 10s, [&] {
            return network.caller.readyFlows() == 2;
        }));
        const RequestTicket ticket = network.submit(WorkClass::Critical, false);
        CPPUNIT_ASSERT(network.run(network.now + 10s, [&] {
            return !network.executions.empty();
        }));
        network.restart(0);
        CPPUNIT_ASSERT(network.run(network.now + 30s, [&] {
            return network.answers.contains(ticket);
        }));
        CPPUNIT_ASSERT(network.answers.at(ticket).result == ResultCode::OutcomeUnknown);
        CPPUNIT_ASSERT_EQUAL(1, network.executions[network.paths[ticket]]);
    }

    void idempotentRequestIsRetriedAfterAgentRestart()
    {
        TestNetwork network(2, {}, 1);
        CPPUNIT_ASSERT(network.run(network.now + 10s, [&] {
            return network.caller.readyFlows() == 2;
        }));
        const RequestTicket ticket = network.submit(WorkClass::Interactive, true);
        CPPUNIT_ASSERT(network.run(network.now + 10s, [&] {
            return !network.executions.empty();
        }));
        network.restart(0);
        CPPUNIT_ASSERT(network.run(network.now + 30s, [&] {
            return network.answers.contains(ticket);
        }));
        CPPUNIT_ASSERT(network.answers.at(ticket).result == ResultCode::Ok);
        network.checkGuarantees();
    }

    // Guards against feed records that are lost or delivered twice when a server drains.
    void drainMovesFeedsWithoutGapsOrDuplicates()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            TestNetwork network(seed, lossyLink, 3);
            const RequestTicket feed = network.submit(WorkClass::Feed, true);
            for (std::size_t agent = 0; agent < 2; ++agent) {
                const std::uint64_t previousPosition = network.feeds[feed];
                CPPUNIT_ASSERT(network.run(network.now + 30s, [&] {
                    return network.feeds[feed] > previousPosition + 20;
                }));
                network.agents[agent]->drain();
            }
            const std::uint64_t previousPosition = network.feeds[feed];
            CPPUNIT_ASSERT(network.run(network.now + 30s, [&] {
                return network.feeds[feed] > previousPosition + 200;
            }));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, network.caller.statistics().flowsLost);
            CPPUNIT_ASSERT(network.answers.empty());
        }
    }

    void cancelAndDeadlineFinishRequests()
    {
        TestNetwork network(3);
        CPPUNIT_ASSERT(network.run(network.now + 10s, [&] {
            return network.caller.readyFlows() == 2;
        }));
        network.setPartitioned(true);
        const RequestTicket expiring = network.submit(WorkClass::Critical, false, 500ms);
        const RequestTicket cancelled = network.submit(WorkClass::Feed, true);
        network.caller.cancel(network.now, cancelled);
        CPPUNIT_ASSERT(network.run(network.now + 1s, [&] {
            return network.answers.size() == 2;
        }));
        CPPUNIT_ASSERT(network.answers.at(expiring).result == ResultCode::DeadlineExceeded);
        CPPUNIT_ASSERT(network.answers.at(cancelled).result == ResultCode::Cancelled);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, network.caller.openRequests());
    }

    // Guards against retries that amplify an overload.
    void retriesStayWithinBudget()
    {
        CallerOptions options = TestNetwork::shortTimeouts();
        options.retries = {.tokensPerRequest = 0, .maxTokens = 3};
        TestNetwork network(4, {}, 2, options);
        for (int index = 0; index < 200; ++index) {
            network.submit(WorkClass::Interactive, true);
        }
        CPPUNIT_ASSERT(network.run(network.now + 60s, [&] {
            return network.answers.size() == 200;
        }));
        CPPUNIT_ASSERT(network.caller.statistics().retriesDenied > 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, network.caller.statistics().retries);
    }

    // Combines loss, reordering, duplicates, lost flows, restarts, drains and partitions at random times.
    void guaranteesHoldUnderRandomFaults()
    {
        CallerStatistics total;
        std::map<ResultCode, int> results;
        for (std::uint64_t seed = 1; seed <= 25; ++seed) {
            TestNetwork network(seed, lossyLink, 3);
            std::size_t submitted = 0;
            const RequestTicket feed = network.submit(WorkClass::Feed, true);
            for (int step = 0; step < 60; ++step) {
                for (std::uint64_t count = network.random() % 4; count > 0; --count, ++submitted) {
                    const bool idempotent = network.random() % 2 == 0;
                    const bool hasDeadline = network.random() % 5 == 0;
                    const RequestTicket ticket = network.submit(
                        idempotent ? WorkClass::Interactive : WorkClass::Critical, idempotent, hasDeadline ? std::optional<Duration>(80ms) : std::nullopt);
                    if (network.random() % 15 == 0) {
                        network.caller.cancel(network.now, ticket);
                    }
                }
                injectFault(network);
                network.run(network.now + std::chrono::milliseconds(network.random() % 400));
            }
            const auto isAnswered = [&] {
                return network.answers.size() - network.answers.count(feed) == submitted;
            };
            const std::string context = fmt::format("seed {} answered {} of {}", seed, network.answers.size(), submitted);
            CPPUNIT_ASSERT_MESSAGE(context, network.run(network.now + 120s, isAnswered));
            network.checkGuarantees();
            total.flowsResumed += network.caller.statistics().flowsResumed;
            total.retries += network.caller.statistics().retries;
            for (const auto &[ticket, answer] : network.answers) {
                ++results[answer.result];
            }
        }
        // Checks that the faults caused the resumes, retries and results that this test is meant to cover.
        CPPUNIT_ASSERT(total.flowsResumed > 10 && total.retries > 10);
        CPPUNIT_ASSERT(results[ResultCode::Ok] > 500 && results[ResultCode::OutcomeUnknown] > 0);
        CPPUNIT_ASSERT(results[ResultCode::DeadlineExceeded] > 0 && results[ResultCode::NotRunCancelled] > 0);
    }

private:
    static void injectFault(TestNetwork &network)
    {
        const std::size_t agent = network.random() % network.agents.size();
        switch (network.random() % 12) {
        case 0:
            network.agents[agent]->dropFlows();
            break;
        case 1:
            network.restart(agent);
            break;
        case 2:
            network.agents[agent]->drain();
            break;
        case 3:
            network.setPartitioned(true);
            network.run(network.now + std::chrono::milliseconds(network.random() % 9'000));
            network.setPartitioned(false);
            break;
        default:
            break;
        }
        for (std::size_t index = 0; index < network.agents.size(); ++index) {
            if (network.agents[index]->isDraining && network.random() % 6 == 0) {
                network.restart(index);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerTest);
