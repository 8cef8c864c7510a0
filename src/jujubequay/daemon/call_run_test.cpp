#include "../client/fake_agents.h"

#include <jujubequay/daemon/call_run.h>

#include <asio/buffer.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <map>

using namespace Jujubequay;

namespace {

/// An agent on a UDP socket of the loopback interface. Callers send to it directly, without a balancer.
class UdpAgent
{
public:
    UdpAgent(asio::io_context &context, const SelfSignedCertificate &certificate)
        : m_socket(context, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_timer(context)
        , m_random(5)
        , m_now(m_clock.now())
        , m_agent(FlowTarget{ServiceId{3}, address(), Incarnation{1}},
                  TlsCredentials::server(certificate.certificatePem, certificate.keyPem).value(),
                  executions,
                  m_random,
                  m_now,
                  [this](const HostAddress &caller, std::span<const std::uint8_t> datagram) {
                      m_socket.send_to(asio::buffer(datagram.data(), datagram.size()), {asio::ip::address_v4(caller.ip), caller.port});
                  })
    {
        receive();
        scheduleRun();
    }

    HostAddress address() const
    {
        return {m_socket.local_endpoint().address().to_v4().to_uint(), m_socket.local_endpoint().port()};
    }

    std::map<std::string, int> executions;

private:
    void receive()
    {
        m_socket.async_receive_from(asio::buffer(m_buffer), m_sender, [this](const asio::error_code &error, std::size_t length) {
            if (error) {
                return;
            }
            m_now = m_clock.now();
            m_agent.receive({m_sender.address().to_v4().to_uint(), m_sender.port()}, std::span(m_buffer).first(length));
            m_agent.run();
            receive();
        });
    }

    void scheduleRun()
    {
        m_timer.expires_after(std::chrono::milliseconds(1));
        m_timer.async_wait([this](const asio::error_code &error) {
            if (error) {
                return;
            }
            m_now = m_clock.now();
            m_agent.run();
            scheduleRun();
        });
    }

    const SteadyClock m_clock;
    asio::ip::udp::socket m_socket;
    asio::steady_timer m_timer;
    std::mt19937_64 m_random;
    TimePoint m_now;
    asio::ip::udp::endpoint m_sender;
    std::array<std::uint8_t, 2048> m_buffer{};
    FakeAgent m_agent;
};

}

class CallRunTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallRunTest);
    CPPUNIT_TEST(answersRequestsOverLossyUdp);
    CPPUNIT_TEST_SUITE_END();

public:
    void answersRequestsOverLossyUdp()
    {
        asio::io_context context;
        const SelfSignedCertificate certificate = makeSelfSignedCertificate("slotboard").value();
        UdpAgent agent(context, certificate);
        CallSettings settings;
        settings.customer = "broker-7";
        settings.balancers = {agent.address(), agent.address()};
        settings.workClass = WorkClass::Interactive;
        settings.isIdempotent = true;
        settings.deadline = std::chrono::minutes(2);
        settings.retries = 50;
        CallPlan plan;
        plan.service = "slotboard";
        plan.callers = 3;
        plan.requests = 30;
        plan.feedsPerCaller = 1;
        plan.lossRate = 0.05;
        const SteadyClock clock;
        const auto run = CallRun::start(context, clock, settings, plan, TlsCredentials::client(certificate.certificatePem).value()).value();
        while (!run->isDone()) {
            context.run_one();
        }
        const auto fields = run->summary().fields();
        const std::map<std::string, double> values(fields.begin(), fields.end());
        CPPUNIT_ASSERT_EQUAL(30.0, values.at("requests"));
        CPPUNIT_ASSERT_EQUAL(30.0, values.at("answered"));
        CPPUNIT_ASSERT_EQUAL(0.0, values.at("incomplete") + values.at("unknown") + values.at("deadline_exceeded"));
        CPPUNIT_ASSERT(values.at("flows_opened") >= 3);
        CPPUNIT_ASSERT_EQUAL(0.0, values.at("feed_gaps") + values.at("feed_repeats") + values.at("flows_broken"));
    }
};

class CallSummaryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallSummaryTest);
    CPPUNIT_TEST(countsGapsAndRepeatsOfEachFeed);
    CPPUNIT_TEST(firstFailureIsTheResult);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a run that reports success although feed parts were lost or repeated.
    void countsGapsAndRepeatsOfEachFeed()
    {
        CallSummary summary;
        for (const std::uint64_t position : {1U, 2U, 2U, 3U, 9U, 10U}) {
            summary.addFeedPart(RequestTicket{1}, 0, {RequestTicket{1}, Bytes{'x', '\n'}, position});
        }
        summary.addFeedPart(RequestTicket{1}, 1, {RequestTicket{1}, Bytes{'x', '\n'}, 50});
        const auto fields = summary.fields();
        const std::map<std::string, double> values(fields.begin(), fields.end());
        CPPUNIT_ASSERT_EQUAL(1.0, values.at("feed_gaps"));
        CPPUNIT_ASSERT_EQUAL(1.0, values.at("feed_repeats"));
        CPPUNIT_ASSERT_EQUAL(7.0, values.at("feed_parts"));
    }

    void firstFailureIsTheResult()
    {
        CallSummary summary;
        summary.add(RequestFinished{.result = ResultCode::Ok});
        summary.add(RequestFinished{.result = ResultCode::OutcomeUnknown});
        summary.add(RequestFinished{.result = ResultCode::NotRunOverloaded});
        CPPUNIT_ASSERT(summary.result() == ResultCode::OutcomeUnknown);
        CPPUNIT_ASSERT(summary.jsonText().find("\"unknown\": 1") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallRunTest);
CPPUNIT_TEST_SUITE_REGISTRATION(CallSummaryTest);
