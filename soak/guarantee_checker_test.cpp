#include "soak/guarantee_checker.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Jujubequay;
using namespace Jujubequay::Soak;
using std::chrono::seconds;

/// Each check must report a violation when its guarantee is broken; otherwise a soak without violations would prove nothing.
class GuaranteeCheckerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GuaranteeCheckerTest);
    CPPUNIT_TEST(detectsSecondExecution);
    CPPUNIT_TEST(detectsExecutionAtWrongService);
    CPPUNIT_TEST(detectsAnswerToOtherRequest);
    CPPUNIT_TEST(detectsResetOfOpenFlow);
    CPPUNIT_TEST(detectsStaleVersion);
    CPPUNIT_TEST(detectsMissingRecovery);
    CPPUNIT_TEST_SUITE_END();

    static constexpr HostAddress route{0x7F000001, 443};
    ManualClock m_clock;

    GuaranteeChecker checker()
    {
        m_clock.advance(seconds(100));
        GuaranteeChecker checker(m_clock);
        checker.allowService(route, "desk");
        return checker;
    }

public:
    void detectsSecondExecution()
    {
        GuaranteeChecker checker = this->checker();
        const auto idempotent = checker.newRequest(route, true);
        const auto nonIdempotent = checker.newRequest(route, false);
        checker.recordExecution(idempotent, "desk");
        checker.recordExecution(idempotent, "desk");
        checker.recordExecution(nonIdempotent, "desk");
        CPPUNIT_ASSERT(checker.violations().empty());
        checker.recordExecution(nonIdempotent, "desk");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, checker.violations().size());
    }

    void detectsExecutionAtWrongService()
    {
        GuaranteeChecker checker = this->checker();
        checker.recordExecution(checker.newRequest(route, true), "vault");
        checker.recordExecution(77, "desk");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, checker.violations().size());
    }

    void detectsAnswerToOtherRequest()
    {
        GuaranteeChecker checker = this->checker();
        checker.recordAnswer(1, 1);
        CPPUNIT_ASSERT(checker.violations().empty());
        checker.recordAnswer(1, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, checker.violations().size());
    }

    void detectsResetOfOpenFlow()
    {
        GuaranteeChecker checker = this->checker();
        checker.recordReset("flow", false);
        checker.recordUnplannedFault();
        checker.recordReset("flow", true);
        CPPUNIT_ASSERT(checker.violations().empty());
        m_clock.advance(GuaranteeChecker::recoveryTime);
        checker.recordReset("flow", true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, checker.violations().size());
    }

    void detectsStaleVersion()
    {
        GuaranteeChecker checker = this->checker();
        checker.recordAcceptedVersion(5);
        const TimePoint acceptedAt = m_clock.now();
        checker.recordReadVersion(acceptedAt, 4);
        CPPUNIT_ASSERT(checker.violations().empty());
        checker.recordReadVersion(acceptedAt + GuaranteeChecker::applyTime, 5);
        CPPUNIT_ASSERT(checker.violations().empty());
        checker.recordReadVersion(acceptedAt + GuaranteeChecker::applyTime, 4);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, checker.violations().size());
    }

    void detectsMissingRecovery()
    {
        GuaranteeChecker checker = this->checker();
        checker.startFaultFreePeriod();
        checker.recordAnswer(1, 1);
        checker.endFaultFreePeriod();
        CPPUNIT_ASSERT(checker.violations().empty());
        checker.startFaultFreePeriod();
        checker.recordUnanswered(2);
        checker.endFaultFreePeriod();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, checker.violations().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GuaranteeCheckerTest);
