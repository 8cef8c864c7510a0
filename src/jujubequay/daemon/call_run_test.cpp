#include <jujubequay/daemon/call_summary.h>

#include <cppunit/extensions/HelperMacros.h>

#include <map>

using namespace Jujubequay;

class CallSummaryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallSummaryTest);
    CPPUNIT_TEST(countsGapsAndRepeatsOfEachFeed);
    CPPUNIT_TEST(firstFailureIsTheResult);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a demonstration that passes because a lost or repeated reading is not seen.
    void countsGapsAndRepeatsOfEachFeed()
    {
        CallSummary summary;
        for (const std::uint64_t position : {1U, 2U, 2U, 3U, 9U, 10U}) {
            summary.addFeedPart(RequestTicket{1}, 0, {RequestTicket{1}, Bytes{'x', '\n'}, position});
        }
        summary.addFeedPart(RequestTicket{1}, 1, {RequestTicket{1}, Bytes{'x', '\n'}, 50});
        const auto fields = summary.fields();
        const std::map<std::string, double> values(fields.begin(), fields.end());
        CPPUNIT_ASSERT_EQUAL(1.0, values.at("feed_gaps"));
        CPPUNIT_ASSERT_EQUAL(1.0, values.at("feed_repeats"));
        CPPUNIT_ASSERT_EQUAL(7.0, values.at("feed_parts"));
    }

    void firstFailureIsTheResult()
    {
        CallSummary summary;
        summary.add(Answered{.result = ResultCode::Ok});
        summary.add(Answered{.result = ResultCode::OutcomeUnknown});
        summary.add(Answered{.result = ResultCode::NotRunOverloaded});
        CPPUNIT_ASSERT(summary.result() == ResultCode::OutcomeUnknown);
        CPPUNIT_ASSERT(summary.jsonText().find("\"unknown\": 1") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallSummaryTest);
