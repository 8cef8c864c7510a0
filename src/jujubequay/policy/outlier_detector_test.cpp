#include <jujubequay/policy/outlier_detector.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Jujubequay;
using std::chrono::milliseconds;
using std::chrono::seconds;

class OutlierDetectorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OutlierDetectorTest);
    CPPUNIT_TEST(toleratesSingleFailures);
    CPPUNIT_TEST(ejectsAServerThatFailsAtOnce);
    CPPUNIT_TEST(ejectsAServerThatFailsAThirdOfItsWork);
    CPPUNIT_TEST(triesOnceAtATime);
    CPPUNIT_TEST(ejectsLongerEachTime);
    CPPUNIT_TEST(costsAFlappingServerFewRequests);
    CPPUNIT_TEST_SUITE_END();

    TimePoint m_now{seconds(100)};
    OutlierDetector m_detector{{}};

public:
    void toleratesSingleFailures()
    {
        for (int round = 0; round < 20; ++round) {
            m_detector.failed(m_now);
            for (int success = 0; success < 9; ++success) {
                m_detector.succeeded(m_now);
            }
            CPPUNIT_ASSERT(m_detector.isTrusted());
        }
    }

    void ejectsAServerThatFailsAtOnce()
    {
        m_detector.failed(m_now);
        CPPUNIT_ASSERT(m_detector.admit(m_now));
        m_detector.failed(m_now);
        CPPUNIT_ASSERT(!m_detector.admit(m_now));
        CPPUNIT_ASSERT(!m_detector.isTrusted());
    }

    void ejectsAServerThatFailsAThirdOfItsWork()
    {
        for (int outcome = 0; outcome < 30; ++outcome) {
            outcome % 3 == 0 ? m_detector.failed(m_now) : m_detector.succeeded(m_now);
        }
        CPPUNIT_ASSERT(!m_detector.isTrusted());
    }

    void triesOnceAtATime()
    {
        m_detector.failed(m_now);
        m_detector.failed(m_now);
        m_now += seconds(1);
        CPPUNIT_ASSERT(m_detector.admit(m_now));
        CPPUNIT_ASSERT(!m_detector.admit(m_now));
        m_detector.succeeded(m_now);
        CPPUNIT_ASSERT(m_detector.admit(m_now));
        CPPUNIT_ASSERT(m_detector.admit(m_now));
    }

    void ejectsLongerEachTime()
    {
        Duration last{};
        for (int ejection = 0; ejection < 3; ++ejection) {
            m_detector.failed(m_now);
            m_detector.failed(m_now);
            const TimePoint since = m_now;
            while (!m_detector.admit(m_now)) {
                m_now += milliseconds(10);
            }
            CPPUNIT_ASSERT(m_now - since > last);
            last = m_now - since;
        }
    }

    /// A server that is down for 1.3 s and up for 1.3 s by turns, with a new flow every 10 ms: without the detector half of the
    /// flows fail, with it fewer than one in forty of those offered.
    void costsAFlappingServerFewRequests()
    {
        int failures = 0;
        int offered = 0;
        for (int step = 0; step < 1300; ++step, m_now += milliseconds(10)) {
            const bool isDown = step / 130 % 2 == 0;
            ++offered;
            if (!m_detector.admit(m_now)) {
                continue;
            }
            failures += isDown ? 1 : 0;
            isDown ? m_detector.failed(m_now) : m_detector.succeeded(m_now);
        }
        CPPUNIT_ASSERT(failures * 40 < offered);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutlierDetectorTest);
