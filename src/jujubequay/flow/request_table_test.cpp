#include <jujubequay/flow/request_table.h>

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <set>

using namespace Jujubequay;

namespace {

constexpr Incarnation local{7};
constexpr TimePoint start{};

RequestId requestOf(std::uint64_t sequence)
{
    RequestId id;
    id.sequence = sequence;
    return id;
}

template<class Kind>
bool is(const RequestAdmission &admission)
{
    return std::holds_alternative<Kind>(admission);
}

ResultCode rejection(const RequestAdmission &admission)
{
    const auto *rejected = std::get_if<RequestRejected>(&admission);
    return rejected ? rejected->result : ResultCode::Ok;
}

}

class RequestTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestTableTest);
    CPPUNIT_TEST(repeatedAttemptGetsTheStoredAnswer);
    CPPUNIT_TEST(refusedRequestIsRefusedAgain);
    CPPUNIT_TEST(otherIncarnationHasUnknownOutcome);
    CPPUNIT_TEST(expiredWindowIsNeverRun);
    CPPUNIT_TEST(recordLimitClosesTheWindowEarly);
    CPPUNIT_TEST(longAnswersAreNotStored);
    CPPUNIT_TEST(randomAttemptsRunAtMostOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a non-idempotent request that runs twice because the caller sent it again.
    void repeatedAttemptGetsTheStoredAnswer()
    {
        RequestTable table(local, {}, start);
        const FirstAttempt first{local, table.window()};
        CPPUNIT_ASSERT(is<RequestAdmitted>(table.admit(requestOf(1), first)));
        CPPUNIT_ASSERT(is<RequestAttached>(table.admit(requestOf(1), first)));
        table.markStarted(requestOf(1));
        CPPUNIT_ASSERT(is<RequestAttached>(table.admit(requestOf(1), first)));
        table.finish(requestOf(1), {ResultCode::Ok, "", {1, 2, 3}});
        const auto replay = table.admit(requestOf(1), first);
        CPPUNIT_ASSERT(is<RequestReplayed>(replay));
        CPPUNIT_ASSERT((std::get<RequestReplayed>(replay).answer->body == Bytes{1, 2, 3}));
    }

    // Guards against a delayed attempt that runs after the caller received the result that the request did not run.
    void refusedRequestIsRefusedAgain()
    {
        RequestTable table(local, {}, start);
        const FirstAttempt first{local, table.window()};
        table.admit(requestOf(1), first);
        table.refuse(requestOf(1), ResultCode::NotRunOverloaded);
        CPPUNIT_ASSERT_EQUAL(ResultCode::NotRunOverloaded, rejection(table.admit(requestOf(1), first)));
    }

    // Guards against a restarted agent that runs a request again that its previous incarnation may have run.
    void otherIncarnationHasUnknownOutcome()
    {
        RequestTable table(local, {}, start);
        CPPUNIT_ASSERT_EQUAL(ResultCode::OutcomeUnknown, rejection(table.admit(requestOf(1), {Incarnation{6}, 1})));
    }

    // Guards against a request that runs again after its record was removed.
    void expiredWindowIsNeverRun()
    {
        RequestTable::Options options;
        options.windowsKept = 2;
        RequestTable table(local, options, start);
        const FirstAttempt first{local, table.window()};
        table.admit(requestOf(1), first);
        table.markStarted(requestOf(1));
        table.finish(requestOf(1), {ResultCode::Ok, "", {}});
        TimePoint now = start;
        for (int window = 0; window < 4; ++window) {
            now += options.windowLength;
            table.tick(now);
        }
        CPPUNIT_ASSERT_EQUAL(ResultCode::RequestExpired, rejection(table.admit(requestOf(1), first)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.recordCount());
        CPPUNIT_ASSERT_EQUAL(ResultCode::BadRequest, rejection(table.admit(requestOf(2), {local, table.window() + 1})));
    }

    // Guards against memory use that grows with the request rate, and against removing a record while its window is open.
    void recordLimitClosesTheWindowEarly()
    {
        RequestTable::Options options;
        options.maxRecords = 10;
        RequestTable table(local, options, start);
        const FirstAttempt early{local, table.window()};
        for (std::uint64_t sequence = 0; sequence < 10; ++sequence) {
            table.admit(requestOf(sequence), early);
            table.refuse(requestOf(sequence), ResultCode::NotRunOverloaded);
        }
        CPPUNIT_ASSERT_EQUAL(ResultCode::RequestExpired, rejection(table.admit(requestOf(10), early)));
        CPPUNIT_ASSERT_EQUAL(ResultCode::RequestExpired, rejection(table.admit(requestOf(0), early)));
        CPPUNIT_ASSERT(is<RequestAdmitted>(table.admit(requestOf(10), {local, table.window()})));
    }

    // Guards against large answers that fill the memory of the agent.
    void longAnswersAreNotStored()
    {
        RequestTable::Options options;
        options.maxAnswerBytes = 4;
        RequestTable table(local, options, start);
        const FirstAttempt first{local, table.window()};
        table.admit(requestOf(1), first);
        table.markStarted(requestOf(1));
        table.finish(requestOf(1), {ResultCode::Ok, "", Bytes(5)});
        const auto replay = table.admit(requestOf(1), first);
        CPPUNIT_ASSERT_EQUAL(ResultCode::AnswerIncomplete, std::get<RequestReplayed>(replay).answer->result);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.storedBytes());
    }

    // Guards against a request that runs twice, or runs after it was refused, in some interleaving of attempts, outcomes, window
    // changes and a full table.
    void randomAttemptsRunAtMostOnce()
    {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            runRandomAttempts(seed);
        }
    }

private:
    static void runRandomAttempts(std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        RequestTable::Options options;
        options.maxRecords = 40;
        options.maxStoredBytes = 200;
        options.windowsKept = 3;
        RequestTable table(local, options, start);
        TimePoint now = start;
        std::map<std::uint64_t, FirstAttempt> firstAttempts;
        std::set<std::uint64_t> pending;
        std::set<std::uint64_t> ended;
        for (int step = 0; step < 3000; ++step) {
            const std::uint64_t sequence = random() % 200;
            const auto first = firstAttempts.try_emplace(sequence, FirstAttempt{local, table.window()}).first->second;
            if (is<RequestAdmitted>(table.admit(requestOf(sequence), first))) {
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), !pending.count(sequence) && !ended.count(sequence));
                pending.insert(sequence);
            }
            if (!pending.empty() && random() % 3 == 0) {
                const std::uint64_t ending = *pending.begin();
                pending.erase(pending.begin());
                ended.insert(ending);
                if (random() % 2 == 0) {
                    table.refuse(requestOf(ending), ResultCode::NotRunDeadline);
                } else {
                    table.markStarted(requestOf(ending));
                    table.finish(requestOf(ending), {ResultCode::Ok, "", Bytes(random() % 30)});
                }
            }
            if (random() % 50 == 0) {
                now += options.windowLength;
                table.tick(now);
            }
            const std::size_t limit = options.maxRecords + pending.size();
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), table.recordCount() <= limit);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestTableTest);
