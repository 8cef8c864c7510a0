#include <jujubequay/policy/outlier_detector.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Jujubequay;
using std::chrono::milliseconds;
using std::chrono::seconds;

class OutlierDetectorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OutlierDetectorTest);
    CPPUNIT_TEST(toleratesIsolatedFailures);
    CPPUNIT_TEST(ejectsAServerThatFailsImmediately);
    CPPUNIT_TEST(ejectsAServerThatFailsAThirdOfItsWork);
    CPPUNIT_TEST(allowsOneProbeAtATime);
    CPPUNIT_TEST(ejectsLongerEachTime);
    CPPUNIT_TEST(fewRequestsFailAtAFlappingServer);
    CPPUNIT_TEST_SUITE_END();

    TimePoint m_now{seconds(100)};
    OutlierDetector m_detector{{}};

public:
    void toleratesIsolatedFailures()
    {
        for (int round = 0; round < 20; ++round) {
            m_detector.recordFailure(m_now);
            for (int success = 0; success < 9; ++success) {
                m_detector.recordSuccess(m_now);
            }
            CPPUNIT_ASSERT(m_detector.isHealthy());
        }
    }

    void ejectsAServerThatFailsImmediately()
    {
        m_detector.recordFailure(m_now);
        CPPUNIT_ASSERT(m_detector.tryAdmitFlow(m_now));
        m_detector.recordFailure(m_now);
        CPPUNIT_ASSERT(!m_detector.tryAdmitFlow(m_now));
        CPPUNIT_ASSERT(!m_detector.isHealthy());
    }

    void ejectsAServerThatFailsAThirdOfItsWork()
    {
        for (int outcome = 0; outcome < 30; ++outcome) {
            outcome % 3 == 0 ? m_detector.recordFailure(m_now) : m_detector.recordSuccess(m_now);
        }
        CPPUNIT_ASSERT(!m_detector.isHealthy());
    }

    void allowsOneProbeAtATime()
    {
        m_detector.recordFailure(m_now);
        m_detector.recordFailure(m_now);
        m_now += seconds(1);
        CPPUNIT_ASSERT(m_detector.tryAdmitFlow(m_now));
        CPPUNIT_ASSERT(!m_detector.tryAdmitFlow(m_now));
        m_detector.recordSuccess(m_now);
        CPPUNIT_ASSERT(m_detector.tryAdmitFlow(m_now));
        CPPUNIT_ASSERT(m_detector.tryAdmitFlow(m_now));
    }

    void ejectsLongerEachTime()
    {
        Duration last{};
        for (int ejection = 0; ejection < 3; ++ejection) {
            m_detector.recordFailure(m_now);
            m_detector.recordFailure(m_now);
            const TimePoint since = m_now;
            while (!m_detector.tryAdmitFlow(m_now)) {
                m_now += milliseconds(10);
            }
            CPPUNIT_ASSERT(m_now - since > last);
            last = m_now - since;
        }
    }

    /// Guards against a server that alternates between 1.3 s down and 1.3 s up, while a new flow is offered every 10 ms. Without
    /// ejection half of the flows would fail; with it fewer than one in forty do.
    void fewRequestsFailAtAFlappingServer()
    {
        int failures = 0;
        int offered = 0;
        for (int step = 0; step < 1300; ++step, m_now += milliseconds(10)) {
            const bool isDown = step / 130 % 2 == 0;
            ++offered;
            if (!m_detector.tryAdmitFlow(m_now)) {
                continue;
            }
            failures += isDown ? 1 : 0;
            isDown ? m_detector.recordFailure(m_now) : m_detector.recordSuccess(m_now);
        }
        CPPUNIT_ASSERT(failures * 40 < offered);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutlierDetectorTest);
