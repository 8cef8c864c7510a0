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

class FeedRecordSplitterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FeedRecordSplitterTest);
    CPPUNIT_TEST(returnsOnlyCompleteRecords);
    CPPUNIT_TEST(rejectsRecordsThatCannotBeResumed);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a feed that is moved to another server within a record, which would repeat or lose a part of it.
    void returnsOnlyCompleteRecords()
    {
        FeedRecordSplitter records;
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

    // Guards against a backend server whose feed cannot be resumed: its records have no position, their positions do not
    // increase, or a record does not end.
    void rejectsRecordsThatCannotBeResumed()
    {
        for (const std::string_view text : {"5\n5\n", "5\n4\n", "x\n", "\n"}) {
            FeedRecordSplitter records;
            CPPUNIT_ASSERT_MESSAGE(std::string(text), !records.add(bytesOf(text)));
        }
        FeedRecordSplitter resumed(7);
        CPPUNIT_ASSERT(!resumed.add(bytesOf("7\n")));
        FeedRecordSplitter endless;
        CPPUNIT_ASSERT(!endless.add(bytesOf(std::string(100000, '1'))));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FeedRecordSplitterTest);
