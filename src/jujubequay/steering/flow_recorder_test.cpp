#include <jujubequay/steering/flow_recorder.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "steering_test_support.h"

using namespace Jujubequay;
using namespace Jujubequay::SteeringTest;
using std::chrono::milliseconds;
using std::chrono::seconds;

class FlowRecorderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FlowRecorderTest);
    CPPUNIT_TEST(recordsAFlowOnce);
    CPPUNIT_TEST(recordsAnAdvancedAcknowledgement);
    CPPUNIT_TEST(recordsNoShortFlows);
    CPPUNIT_TEST(recordsABoundedNumberOfFlows);
    CPPUNIT_TEST_SUITE_END();

    TimePoint m_now{seconds(100)};
    FlowRecorder m_recorder{FlowRecorderOptions()};

public:
    /// Load: thousands of long flows with pauses between their requests. Guards against reports of flows that have not changed.
    void recordsAFlowOnce()
    {
        m_recorder.observe(m_now, flow(1), m_now - seconds(2), 5000);
        const auto opened = m_recorder.takeChanges();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, opened.size());
        CPPUNIT_ASSERT(opened[0].isOpen);
        CPPUNIT_ASSERT(opened[0].tuple == flow(1));
        CPPUNIT_ASSERT_EQUAL(5000U, opened[0].acknowledgement);
        m_recorder.observe(m_now, flow(1), m_now - seconds(2), 7000);
        CPPUNIT_ASSERT(m_recorder.takeChanges().empty());
        const auto closed = m_recorder.takeChanges();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, closed.size());
        CPPUNIT_ASSERT(!closed[0].isOpen);
        CPPUNIT_ASSERT(m_recorder.takeChanges().empty());
    }

    /// A caller ignores a reset whose sequence number is too far from its last acknowledgement.
    void recordsAnAdvancedAcknowledgement()
    {
        constexpr std::uint32_t first = 0xFFFFFF00U;
        m_recorder.observe(m_now, flow(1), m_now - seconds(2), first);
        m_recorder.takeChanges();
        m_recorder.observe(m_now, flow(1), m_now - seconds(2), first + 23999);
        CPPUNIT_ASSERT(m_recorder.takeChanges().empty());
        m_recorder.observe(m_now, flow(1), m_now - seconds(2), first + 24000);
        CPPUNIT_ASSERT_EQUAL(first + 24000, m_recorder.takeChanges().at(0).acknowledgement);
    }

    /// Load: a flow for each request.
    void recordsNoShortFlows()
    {
        for (std::uint16_t port = 1; port <= 1000; ++port) {
            m_recorder.observe(m_now, flow(port), m_now - milliseconds(100), 1);
        }
        CPPUNIT_ASSERT(m_recorder.takeChanges().empty());
    }

    void recordsABoundedNumberOfFlows()
    {
        for (std::uint16_t port = 1; port <= 1000; ++port) {
            m_recorder.observe(m_now, flow(port), m_now - seconds(5), 1);
        }
        CPPUNIT_ASSERT_EQUAL(FlowRecorderOptions().maxFlows, m_recorder.takeChanges().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowRecorderTest);
