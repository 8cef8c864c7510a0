#include <jujubequay/agent_program/backend_adapter.h>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace Jujubequay;

namespace {

std::span<const std::uint8_t> bytesOf(std::string_view text)
{
    return {reinterpret_cast<const std::uint8_t *>(text.data()), text.size()};
}

}

class FeedRecordsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FeedRecordsTest);
    CPPUNIT_TEST(cutsAtWholeRecords);
    CPPUNIT_TEST(refusesRecordsOutOfOrder);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a feed that is moved in the middle of a record, which would repeat or lose a part of it.
    void cutsAtWholeRecords()
    {
        FeedRecords records;
        std::string received;
        std::uint64_t position = 0;
        for (const char character : std::string("8 low\n9\n10 high\n11 unfinished")) {
            const auto part = records.add(bytesOf({&character, 1}));
            CPPUNIT_ASSERT(part);
            received.append(part->data.begin(), part->data.end());
            position = part->position;
        }
        CPPUNIT_ASSERT_EQUAL(std::string("8 low\n9\n10 high\n"), received);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, position);
    }

    // Guards against a backend server whose records cannot be resumed after a position.
    void refusesRecordsOutOfOrder()
    {
        for (const std::string_view text : {"5\n5\n", "5\n4\n", "x\n", "\n"}) {
            FeedRecords records;
            CPPUNIT_ASSERT_MESSAGE(std::string(text), !records.add(bytesOf(text)));
        }
        FeedRecords resumed(7);
        CPPUNIT_ASSERT(!resumed.add(bytesOf("7\n")));
        FeedRecords endless;
        CPPUNIT_ASSERT(!endless.add(bytesOf(std::string(100000, '1'))));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FeedRecordsTest);
