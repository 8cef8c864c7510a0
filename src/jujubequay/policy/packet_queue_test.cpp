#include <jujubequay/policy/packet_queue.h>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

using namespace Jujubequay;
using std::chrono::milliseconds;
using std::chrono::seconds;

class PacketQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PacketQueueTest);
    CPPUNIT_TEST(returnsPacketsInOrder);
    CPPUNIT_TEST(dropsOldPackets);
    CPPUNIT_TEST(staysWithinItsByteLimit);
    CPPUNIT_TEST(shortensTheWaitDuringARestart);
    CPPUNIT_TEST_SUITE_END();

    TimePoint m_now{seconds(100)};

public:
    void returnsPacketsInOrder()
    {
        PacketQueue queue({});
        queue.push(m_now, std::vector<std::uint8_t>{1, 2});
        queue.push(m_now, std::vector<std::uint8_t>{3});
        CPPUNIT_ASSERT_EQUAL(std::uint8_t{1}, queue.popOldest(m_now)->at(0));
        CPPUNIT_ASSERT_EQUAL(std::uint8_t{3}, queue.popOldest(m_now)->at(0));
        CPPUNIT_ASSERT(!queue.popOldest(m_now));
    }

    void dropsOldPackets()
    {
        PacketQueue queue({});
        queue.push(m_now, std::vector<std::uint8_t>{1});
        queue.push(m_now + milliseconds(500), std::vector<std::uint8_t>{2});
        CPPUNIT_ASSERT_EQUAL(std::uint8_t{2}, queue.popOldest(m_now + milliseconds(700))->at(0));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, queue.droppedCount());
    }

    /// Guards against unbounded memory use in a process that never gets its configuration.
    void staysWithinItsByteLimit()
    {
        PacketQueue queue({.maxBytes = 1000});
        for (int packet = 0; packet < 100; ++packet) {
            queue.push(m_now, std::vector<std::uint8_t>(100, static_cast<std::uint8_t>(packet)));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, queue.size());
        CPPUNIT_ASSERT_EQUAL(std::uint8_t{90}, queue.popOldest(m_now)->at(0));
    }

    /// Guards against long delays after a balancer restart. The restart takes 400 ms, and callers retransmit after 200 ms and
    /// 600 ms. With the queue, each caller's packet is sent at the end of the restart; without it, most callers wait for a later
    /// retransmission.
    void shortensTheWaitDuringARestart()
    {
        const TimePoint ready = m_now + milliseconds(400);
        PacketQueue queue({});
        Duration withoutQueue{};
        Duration withQueue{};
        for (int caller = 0; caller < 400; ++caller) {
            const TimePoint sent = m_now + milliseconds(caller);
            queue.push(sent, std::vector<std::uint8_t>{1});
            for (const auto retransmission : {milliseconds(200), milliseconds(600)}) {
                if (sent + retransmission >= ready) {
                    withoutQueue += retransmission;
                    break;
                }
            }
            withQueue += ready - sent;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{400}, queue.size());
        CPPUNIT_ASSERT(queue.popOldest(ready).has_value());
        CPPUNIT_ASSERT(withQueue * 3 / 2 < withoutQueue);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PacketQueueTest);
