#include "send_buffer.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Jujubequay;

class SendBufferTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SendBufferTest);
    CPPUNIT_TEST(sendsInOrderAndFreesOnAcknowledgement);
    CPPUNIT_TEST(endIsSentOnceAndOnlyAfterAllBytes);
    CPPUNIT_TEST(endWithoutBytesNeedsItsOwnAcknowledgement);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against bytes that are freed while ngtcp2 may still have to retransmit them.
    void sendsInOrderAndFreesOnAcknowledgement()
    {
        SendBuffer buffer;
        buffer.append(Bytes{1, 2, 3}, false);
        buffer.append(Bytes{4, 5}, false);
        buffer.markSent(4, false);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, buffer.unsent(8).size());
        CPPUNIT_ASSERT_EQUAL(std::uint8_t{5}, *buffer.unsent(8).front().base);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, buffer.acknowledge(0, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, buffer.acknowledge(2, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, buffer.size());
    }

    // Guards against an end of stream that is sent before chunks beyond the limit or that is sent repeatedly.
    void endIsSentOnceAndOnlyAfterAllBytes()
    {
        SendBuffer buffer;
        buffer.append(Bytes{1}, false);
        buffer.append(Bytes{2}, true);
        CPPUNIT_ASSERT(!buffer.endsWithin(1));
        CPPUNIT_ASSERT(buffer.endsWithin(2));
        buffer.markSent(2, true);
        CPPUNIT_ASSERT(!buffer.hasUnsent());
    }

    // Guards against a connection that is closed before the peer has received the end of an answer.
    void endWithoutBytesNeedsItsOwnAcknowledgement()
    {
        SendBuffer buffer;
        buffer.append(Bytes{1}, false);
        buffer.markSent(1, false);
        buffer.append({}, true);
        buffer.markSent(0, true);
        buffer.acknowledge(0, 1);
        CPPUNIT_ASSERT(!buffer.isAcknowledged());
        buffer.acknowledge(1, 0);
        CPPUNIT_ASSERT(buffer.isAcknowledged());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SendBufferTest);
