#include <jujubequay/control/operator_request.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Jujubequay;
namespace pb = jujubequay::pb;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

pb::OperatorDown answerOf(ResultCode code, const std::string &leader = {})
{
    pb::OperatorDown message;
    message.mutable_answer()->set_result(static_cast<std::uint32_t>(code));
    message.mutable_answer()->set_leader_address(leader);
    return message;
}

}

class OperatorRequestTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OperatorRequestTest);
    CPPUNIT_TEST(sendsTheSameCommandToEachHostUntilOneAnswers);
    CPPUNIT_TEST(followsOnlyTheFirstLeaderHintWithoutAWait);
    CPPUNIT_TEST(endsWithOutcomeUnknownAfterTheTimeout);
    CPPUNIT_TEST(returnsAnUnconfirmedStatusAfterTheTimeout);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_now = TimePoint() + seconds(100);
        m_random.seed(3);
        pb::OperatorUp message;
        message.set_command("command with one identity");
        m_request = std::make_unique<OperatorRequest>(options(), message, m_random);
    }

    // Guards against a resend with another operation identity, which could run a command twice.
    void sendsTheSameCommandToEachHostUntilOneAnswers()
    {
        auto sent = std::get<SendOperatorRequest>(m_request->start(m_now).at(0));
        const std::string bytes = sent.message.SerializeAsString();
        for (const ResultCode code : {ResultCode::OutcomeUnknown, ResultCode::NoQuorum, ResultCode::NotLeader}) {
            CPPUNIT_ASSERT(m_request->receive(m_now, sent.stream, answerOf(code)).empty());
            const HostAddress before = sent.address;
            sent = nextAttempt();
            CPPUNIT_ASSERT(sent.address != before);
            CPPUNIT_ASSERT_EQUAL(bytes, sent.message.SerializeAsString());
        }
        CPPUNIT_ASSERT(m_request->receive(m_now, sent.stream - 1, answerOf(ResultCode::Ok)).empty());
        const auto finished = std::get<FinishRequest>(m_request->receive(m_now, sent.stream, answerOf(ResultCode::VersionConflict)).at(0));
        CPPUNIT_ASSERT_EQUAL(static_cast<std::uint32_t>(ResultCode::VersionConflict), finished.answer.answer().result());
    }

    void followsOnlyTheFirstLeaderHintWithoutAWait()
    {
        const auto sent = std::get<SendOperatorRequest>(m_request->start(m_now).at(0));
        const auto leader = std::get<SendOperatorRequest>(m_request->receive(m_now, sent.stream, answerOf(ResultCode::NotLeader, "127.0.0.9:1")).at(0));
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.9:1"), toString(leader.address));
        CPPUNIT_ASSERT(m_request->receive(m_now, leader.stream, answerOf(ResultCode::NotLeader, "127.0.0.9:1")).empty());
    }

    void endsWithOutcomeUnknownAfterTheTimeout()
    {
        const auto sent = std::get<SendOperatorRequest>(m_request->start(m_now).at(0));
        m_request->streamClosed(m_now, sent.stream, ResultCode::ConnectionLost);
        m_now += options().timeout;
        const auto finished = std::get<FinishRequest>(m_request->tick(m_now).at(0));
        CPPUNIT_ASSERT_EQUAL(resultName(ResultCode::OutcomeUnknown), resultName(finished.result));
        CPPUNIT_ASSERT(m_request->tick(m_now).empty());
    }

    // Guards against operators who get no status at all while there is no majority.
    void returnsAnUnconfirmedStatusAfterTheTimeout()
    {
        pb::OperatorUp message;
        message.mutable_status();
        OperatorRequest request(options(), message, m_random);
        const auto sent = std::get<SendOperatorRequest>(request.start(m_now).at(0));
        pb::OperatorDown unconfirmed;
        unconfirmed.mutable_status()->set_result(static_cast<std::uint32_t>(ResultCode::NoQuorum));
        CPPUNIT_ASSERT(request.receive(m_now, sent.stream, unconfirmed).empty());
        const auto finished = std::get<FinishRequest>(request.tick(m_now + options().timeout).at(0));
        CPPUNIT_ASSERT_EQUAL(unconfirmed.SerializeAsString(), finished.answer.SerializeAsString());
    }

private:
    static OperatorRequestOptions options()
    {
        OperatorRequestOptions options;
        options.controlHosts = {{0x7F000001, 1}, {0x7F000002, 1}, {0x7F000003, 1}};
        return options;
    }

    SendOperatorRequest nextAttempt()
    {
        for (int step = 0; step < 50; ++step) {
            m_now += milliseconds(50);
            const auto effects = m_request->tick(m_now);
            if (!effects.empty()) {
                return std::get<SendOperatorRequest>(effects[0]);
            }
        }
        CPPUNIT_FAIL("no further attempt was made");
        return {};
    }

    TimePoint m_now;
    std::mt19937_64 m_random;
    std::unique_ptr<OperatorRequest> m_request;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorRequestTest);
