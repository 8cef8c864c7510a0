#include "soak/ledger.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Jujubequay;
using namespace Jujubequay::Soak;
using std::chrono::seconds;

/// A soak whose checks find nothing proves nothing, so each of them is seen to fail.
class LedgerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LedgerTest);
    CPPUNIT_TEST(findsASecondRun);
    CPPUNIT_TEST(findsARunAtAnotherService);
    CPPUNIT_TEST(findsAnAnswerToAnotherRequest);
    CPPUNIT_TEST(findsAResetOfALivingFlow);
    CPPUNIT_TEST(findsAnOlderVersion);
    CPPUNIT_TEST(findsServiceThatDoesNotRecover);
    CPPUNIT_TEST_SUITE_END();

    static constexpr HostAddress route{0x7F000001, 443};
    ManualClock m_clock;

    Ledger ledger()
    {
        m_clock.advance(seconds(100));
        Ledger ledger(m_clock);
        ledger.allow(route, "desk");
        return ledger;
    }

public:
    void findsASecondRun()
    {
        Ledger ledger = this->ledger();
        const auto idempotent = ledger.newRequest(route, true);
        const auto once = ledger.newRequest(route, false);
        ledger.ran(idempotent, "desk");
        ledger.ran(idempotent, "desk");
        ledger.ran(once, "desk");
        CPPUNIT_ASSERT(ledger.violations().empty());
        ledger.ran(once, "desk");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ledger.violations().size());
    }

    void findsARunAtAnotherService()
    {
        Ledger ledger = this->ledger();
        ledger.ran(ledger.newRequest(route, true), "vault");
        ledger.ran(77, "desk");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ledger.violations().size());
    }

    void findsAnAnswerToAnotherRequest()
    {
        Ledger ledger = this->ledger();
        ledger.answered(1, 1);
        CPPUNIT_ASSERT(ledger.violations().empty());
        ledger.answered(1, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ledger.violations().size());
    }

    void findsAResetOfALivingFlow()
    {
        Ledger ledger = this->ledger();
        ledger.reset("flow", false);
        ledger.unplannedFault();
        ledger.reset("flow", true);
        CPPUNIT_ASSERT(ledger.violations().empty());
        m_clock.advance(Ledger::recoveryTime);
        ledger.reset("flow", true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ledger.violations().size());
    }

    void findsAnOlderVersion()
    {
        Ledger ledger = this->ledger();
        ledger.accepted(5);
        const TimePoint acceptedAt = m_clock.now();
        ledger.readBack(acceptedAt, 4);
        CPPUNIT_ASSERT(ledger.violations().empty());
        ledger.readBack(acceptedAt + Ledger::applyTime, 5);
        CPPUNIT_ASSERT(ledger.violations().empty());
        ledger.readBack(acceptedAt + Ledger::applyTime, 4);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ledger.violations().size());
    }

    void findsServiceThatDoesNotRecover()
    {
        Ledger ledger = this->ledger();
        ledger.startQuietTime();
        ledger.answered(1, 1);
        ledger.endQuietTime();
        CPPUNIT_ASSERT(ledger.violations().empty());
        ledger.startQuietTime();
        ledger.unanswered(2);
        ledger.endQuietTime();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ledger.violations().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LedgerTest);
