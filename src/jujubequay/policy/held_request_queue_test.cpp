#include <jujubequay/policy/held_request_queue.h>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <vector>

using namespace Jujubequay;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using Packet = std::vector<std::uint8_t>;

Packet packet(std::uint16_t number)
{
    return {static_cast<std::uint8_t>(number >> 8U), static_cast<std::uint8_t>(number)};
}

std::uint16_t numberOf(const std::optional<Packet> &packet)
{
    CPPUNIT_ASSERT(packet.has_value());
    return static_cast<std::uint16_t>((*packet)[0] << 8U | (*packet)[1]);
}

constexpr auto noService = Duration::zero();

}

class HeldRequestQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HeldRequestQueueTest);
    CPPUNIT_TEST(takesTheEarliestGoalFirst);
    CPPUNIT_TEST(takesLateRequestsAfterOthers);
    CPPUNIT_TEST(doesNotStarveLateRequests);
    CPPUNIT_TEST(backlogDoesNotMakeLaterRequestsLate);
    CPPUNIT_TEST(dropsRequestsWhoseCallersHaveGivenUp);
    CPPUNIT_TEST(boundsItsSize);
    CPPUNIT_TEST(takesRequestsThatWaitedTooLong);
    CPPUNIT_TEST_SUITE_END();

    TimePoint m_now{seconds(100)};

    void push(HeldRequestQueue &queue, std::uint16_t number, Duration goal) const
    {
        queue.push(m_now, m_now + goal, packet(number));
    }

public:
    /// A download with a goal of half a second can wait for a reading with a goal of a tenth.
    void takesTheEarliestGoalFirst()
    {
        HeldRequestQueue queue({});
        push(queue, 1, milliseconds(500));
        push(queue, 2, milliseconds(150));
        push(queue, 3, milliseconds(120));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{3}, numberOf(queue.pop(m_now, noService)));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{2}, numberOf(queue.pop(m_now, noService)));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{1}, numberOf(queue.pop(m_now, noService)));
        CPPUNIT_ASSERT(!queue.pop(m_now, noService));
    }

    void takesLateRequestsAfterOthers()
    {
        HeldRequestQueue queue({});
        push(queue, 1, milliseconds(100));
        m_now += milliseconds(70);
        push(queue, 2, milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{2}, numberOf(queue.pop(m_now, milliseconds(40))));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{1}, numberOf(queue.pop(m_now, milliseconds(40))));
    }

    void doesNotStarveLateRequests()
    {
        HeldRequestQueue queue({.oldestEvery = 4});
        push(queue, 1, milliseconds(0));
        m_now += milliseconds(1);
        std::vector<std::uint16_t> taken;
        taken.reserve(4);
        for (std::uint16_t number = 2; number <= 6; ++number) {
            push(queue, number, seconds(1));
        }
        for (int count = 0; count < 4; ++count) {
            taken.push_back(numberOf(queue.pop(m_now, noService)));
        }
        CPPUNIT_ASSERT((std::vector<std::uint16_t>{2, 3, 4, 1}) == taken);
    }

    /// Load: requests of one second wait when the server comes back after an interruption, and new ones arrive at 80% of its speed. In order
    /// of arrival each new request waits for the backlog, and all of them miss their goal for seconds.
    void backlogDoesNotMakeLaterRequestsLate()
    {
        constexpr auto goal = milliseconds(120);
        constexpr auto serviceTime = milliseconds(8); // one request at a time
        constexpr auto arrivalInterval = milliseconds(10);
        constexpr std::uint16_t backlog = 100;
        constexpr std::uint16_t newRequests = 400;
        HeldRequestQueue queue({});
        std::map<std::uint16_t, TimePoint> arrivals;
        for (std::uint16_t number = 0; number < backlog; ++number) {
            push(queue, number, goal);
            arrivals[number] = m_now;
            m_now += arrivalInterval;
        }
        std::uint16_t next = backlog;
        int inTime = 0;
        int answered = 0;
        TimePoint nextArrival = m_now;
        while (next < backlog + newRequests) {
            while (nextArrival <= m_now && next < backlog + newRequests) {
                queue.push(nextArrival, nextArrival + goal, packet(next));
                arrivals[next++] = nextArrival;
                nextArrival += arrivalInterval;
            }
            const auto taken = queue.pop(m_now, serviceTime);
            m_now += serviceTime;
            if (taken) {
                const std::uint16_t number = numberOf(taken);
                answered += number >= backlog ? 1 : 0;
                inTime += number >= backlog && m_now <= arrivals[number] + goal ? 1 : 0;
            }
        }
        CPPUNIT_ASSERT(answered >= newRequests * 95 / 100);
        CPPUNIT_ASSERT(inTime >= newRequests * 90 / 100);
    }

    void dropsRequestsWhoseCallersHaveGivenUp()
    {
        HeldRequestQueue queue({.maxAge = milliseconds(900)});
        push(queue, 1, milliseconds(100));
        m_now += milliseconds(901);
        CPPUNIT_ASSERT(!queue.pop(m_now, noService));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, queue.droppedCount());
    }

    void boundsItsSize()
    {
        HeldRequestQueue queue({.maxBytes = 6});
        for (std::uint16_t number = 1; number <= 5; ++number) {
            push(queue, number, milliseconds(100));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, queue.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, queue.droppedCount());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{3}, numberOf(queue.pop(m_now, noService)));
    }

    void takesRequestsThatWaitedTooLong()
    {
        HeldRequestQueue queue({});
        push(queue, 1, milliseconds(100));
        CPPUNIT_ASSERT(!queue.popAddedBefore(m_now));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{1}, numberOf(queue.popAddedBefore(m_now + milliseconds(1))));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeldRequestQueueTest);
