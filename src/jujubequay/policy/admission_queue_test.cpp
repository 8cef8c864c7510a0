#include <jujubequay/policy/admission_queue.h>

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace Jujubequay;
using namespace std::chrono_literals;

namespace {

AdmissionRequest makeRequest(std::uint64_t id, std::string customer, WorkClass workClass = WorkClass::Interactive)
{
    return {.id = id, .customer = std::move(customer), .workClass = workClass};
}

/// Runs an AdmissionQueue in simulated time with a given slot time for each request. Checks that each request gets at most one
/// outcome, and records the outcomes.
class SlotSimulation
{
public:
    explicit SlotSimulation(AdmissionOptions options)
        : queue(std::move(options))
    {
    }

    void apply(const AdmissionEffects &effects)
    {
        for (const AdmissionEffect &effect : effects) {
            if (const auto *start = std::get_if<StartRequest>(&effect)) {
                CPPUNIT_ASSERT_EQUAL(0, outcomes[start->id]++);
                running.emplace(now + slotTimes[start->id], start->id);
                ++startsOf[customerByRequest[start->id]];
                order.push_back(start->id);
            } else {
                const auto &refuse = std::get<RefuseRequest>(effect);
                CPPUNIT_ASSERT_EQUAL(0, outcomes[refuse.id]++);
                CPPUNIT_ASSERT(isNotRun(refuse.code));
                refused[refuse.id] = refuse;
            }
        }
    }

    void submit(const AdmissionRequest &request, Duration slotTime = 100ms)
    {
        customerByRequest[request.id] = request.customer;
        outcomes[request.id] = 0;
        slotTimes[request.id] = slotTime;
        apply(queue.submit(now, request));
    }

    void advance(Duration step)
    {
        const TimePoint end = now + step;
        while (!running.empty() && running.begin()->first <= end) {
            const auto [at, id] = *running.begin();
            running.erase(running.begin());
            now = std::max(now, at);
            apply(queue.finish(now, id));
        }
        now = end;
        apply(queue.tick(now));
    }

    AdmissionQueue queue;
    TimePoint now{};
    std::set<std::pair<TimePoint, std::uint64_t>> running;
    std::map<std::uint64_t, std::string> customerByRequest;
    std::map<std::uint64_t, Duration> slotTimes;
    std::map<std::uint64_t, int> outcomes;
    std::map<std::uint64_t, RefuseRequest> refused;
    std::map<std::string, int> startsOf;
    std::vector<std::uint64_t> order;
};

}

class AdmissionQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionQueueTest);
    CPPUNIT_TEST(smallCustomerKeepsItsShareDuringAFlood);
    CPPUNIT_TEST(criticalFloodLeavesTheShareOfOthers);
    CPPUNIT_TEST(weightsDivideSlots);
    CPPUNIT_TEST(criticalGoesFirstAndBulkIsNotStarved);
    CPPUNIT_TEST(unusedCapacityGivesNoCredit);
    CPPUNIT_TEST(feedsOccupyNoSlot);
    CPPUNIT_TEST(refusesRequestsThatCannotRunInTime);
    CPPUNIT_TEST(movesToTheServerWithLessWork);
    CPPUNIT_TEST(queueLimitOfZeroRefusesWaitingRequests);
    CPPUNIT_TEST(drainRefusesWaitingAndNewWork);
    CPPUNIT_TEST(newLimitsApplyToWaitingRequests);
    CPPUNIT_TEST(randomRunGivesEachRequestOneOutcome);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a flood of requests of one customer that displaces a small customer's requests from the queue.
    void smallCustomerKeepsItsShareDuringAFlood()
    {
        SlotSimulation slots({.queueLimit = 16});
        std::uint64_t id = 0;
        for (int step = 0; step < 1000; ++step) {
            for (int flood = 0; flood < 5; ++flood) {
                slots.submit(makeRequest(++id, "flood"));
            }
            if (step % 10 == 0) {
                slots.submit(makeRequest(++id, "small"));
            }
            slots.advance(10ms);
        }
        // The small customer sends 10 requests per second. The slots serve 30 per second, so its share would be 15.
        CPPUNIT_ASSERT(slots.startsOf["small"] >= 98);
    }

    // Guards against a customer that occupies all slots by declaring all its requests critical.
    void criticalFloodLeavesTheShareOfOthers()
    {
        SlotSimulation slots({.queueLimit = 16});
        std::uint64_t id = 0;
        for (int step = 0; step < 2000; ++step) {
            slots.submit(makeRequest(++id, "flood", WorkClass::Critical));
            if (step % 10 == 0) {
                slots.submit(makeRequest(++id, "small", WorkClass::Bulk));
            }
            slots.advance(10ms);
        }
        CPPUNIT_ASSERT(slots.startsOf["small"] >= 190);
    }

    void weightsDivideSlots()
    {
        SlotSimulation slots({.queueLimit = 100, .customerWeights = {{"heavy", 3}}});
        for (std::uint64_t id = 1; id <= 80; id += 2) {
            slots.submit(makeRequest(id, "heavy"));
            slots.submit(makeRequest(id + 1, "light"));
        }
        slots.advance(1s);
        CPPUNIT_ASSERT(slots.startsOf["heavy"] >= 23 && slots.startsOf["heavy"] <= 26);
    }

    // Guards against bulk requests that delay critical ones, and against bulk requests that never run.
    void criticalGoesFirstAndBulkIsNotStarved()
    {
        SlotSimulation slots({.slots = 1, .queueLimit = 100});
        slots.submit(makeRequest(1, "a"));
        slots.submit(makeRequest(2, "a", WorkClass::Bulk));
        slots.submit(makeRequest(3, "a", WorkClass::Interactive));
        slots.submit(makeRequest(4, "a", WorkClass::Critical));
        slots.advance(1s);
        CPPUNIT_ASSERT(slots.order == (std::vector<std::uint64_t>{1, 4, 3, 2}));

        for (std::uint64_t id = 100; id < 140; ++id) {
            slots.submit(makeRequest(id, "a", WorkClass::Critical));
        }
        slots.submit(makeRequest(140, "a", WorkClass::Bulk));
        slots.advance(1500ms);
        CPPUNIT_ASSERT_EQUAL(1, slots.outcomes[140]);
        CPPUNIT_ASSERT(slots.queue.load().queued > 0);
    }

    // Guards against a customer that gets no slots because it used idle capacity before the requests of others arrived.
    void unusedCapacityGivesNoCredit()
    {
        SlotSimulation slots({.queueLimit = 100});
        std::uint64_t id = 0;
        for (int step = 0; step < 300; ++step) {
            slots.submit(makeRequest(++id, "early"), 100ms);
            slots.advance(50ms);
        }
        const int before = slots.startsOf["early"];
        for (int count = 0; count < 45; ++count) {
            slots.submit(makeRequest(++id, "late"));
            slots.submit(makeRequest(++id, "early"));
        }
        slots.advance(1s);
        CPPUNIT_ASSERT(slots.startsOf["early"] - before >= 12);
    }

    void feedsOccupyNoSlot()
    {
        SlotSimulation slots({.slots = 1, .maxFeeds = 2});
        slots.submit(makeRequest(1, "a", WorkClass::Feed), 1h);
        slots.submit(makeRequest(2, "a", WorkClass::Feed), 1h);
        slots.submit(makeRequest(3, "a", WorkClass::Feed), 1h);
        slots.submit(makeRequest(4, "a"));
        CPPUNIT_ASSERT(slots.order == (std::vector<std::uint64_t>{1, 2, 4}));
        CPPUNIT_ASSERT(slots.refused.at(3).code == ResultCode::NotRunOverloaded);
    }

    void refusesRequestsThatCannotRunInTime()
    {
        SlotSimulation slots({.slots = 1, .queueLimit = 2, .queueTimeout = 150ms});
        slots.submit(makeRequest(1, "a"), 1s);
        AdmissionRequest request = makeRequest(2, "a");
        request.canMove = true;
        slots.submit(request);
        CPPUNIT_ASSERT(slots.refused.at(2).code == ResultCode::NotRunMoved);
        request = makeRequest(3, "a");
        request.deadline = slots.now + 20ms;
        slots.submit(request);
        CPPUNIT_ASSERT(slots.refused.at(3).code == ResultCode::NotRunDeadline);
        slots.submit(makeRequest(4, "a"));
        slots.submit(makeRequest(5, "a"));
        slots.submit(makeRequest(6, "a"));
        CPPUNIT_ASSERT(slots.refused.at(6).code == ResultCode::NotRunOverloaded);
        CPPUNIT_ASSERT(slots.refused.at(6).retryAfter > 0ms);
        slots.apply(slots.queue.cancel(slots.now, 4));
        CPPUNIT_ASSERT(slots.refused.at(4).code == ResultCode::NotRunCancelled);
        slots.apply(slots.queue.cancel(slots.now, 1));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, slots.queue.load().running);
        slots.advance(200ms);
        CPPUNIT_ASSERT(slots.refused.at(5).code == ResultCode::NotRunOverloaded);
    }

    // Guards against a request that waits although the caller's other server has less work, and against moves that gain nothing.
    void movesToTheServerWithLessWork()
    {
        SlotSimulation slots({.slots = 3});
        slots.submit(makeRequest(1, "a"));
        slots.submit(makeRequest(2, "a"));
        const auto isMoved = [&](std::uint64_t id, std::optional<double> otherServerWork) {
            AdmissionRequest request = makeRequest(id, "a");
            request.canMove = true;
            request.otherServerWork = otherServerWork;
            slots.submit(request);
            return slots.refused.contains(id);
        };
        CPPUNIT_ASSERT(isMoved(10, 1));
        CPPUNIT_ASSERT(!isMoved(11, 1.6));
        CPPUNIT_ASSERT(isMoved(12, std::nullopt));
        CPPUNIT_ASSERT(!isMoved(13, 6));
    }

    // Guards against undefined behaviour when a bundle sets a queue limit of zero.
    void queueLimitOfZeroRefusesWaitingRequests()
    {
        SlotSimulation slots({.slots = 1, .queueLimit = 0});
        slots.submit(makeRequest(1, "a"));
        slots.submit(makeRequest(2, "a"));
        CPPUNIT_ASSERT(slots.refused.at(2).code == ResultCode::NotRunOverloaded);
    }

    void drainRefusesWaitingAndNewWork()
    {
        SlotSimulation slots({.slots = 1});
        slots.submit(makeRequest(1, "a"));
        slots.submit(makeRequest(2, "a"));
        slots.apply(slots.queue.drain(slots.now));
        slots.submit(makeRequest(3, "a"));
        slots.submit(makeRequest(4, "a", WorkClass::Feed));
        slots.advance(1s);
        CPPUNIT_ASSERT(slots.order == (std::vector<std::uint64_t>{1}));
        for (const std::uint64_t id : {2U, 3U, 4U}) {
            CPPUNIT_ASSERT(slots.refused.at(id).code == ResultCode::NotRunMoved);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, slots.queue.load().running);
    }

    // Guards against limits and weights of a new bundle that take effect only after a restart of the server.
    void newLimitsApplyToWaitingRequests()
    {
        SlotSimulation slots({.slots = 1});
        for (std::uint64_t id = 1; id <= 40; ++id) {
            slots.submit(makeRequest(id, id % 2 == 0 ? "even" : "odd", WorkClass::Interactive));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, slots.running.size());
        slots.apply(slots.queue.configure(slots.now, {.slots = 4, .customerWeights = {{"even", 3}}}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, slots.running.size());
        slots.startsOf.clear();
        slots.advance(500ms);
        CPPUNIT_ASSERT(slots.startsOf["even"] >= 2 * slots.startsOf["odd"]);
        slots.apply(slots.queue.configure(slots.now, {.slots = 1}));
        slots.advance(100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, slots.running.size());
        slots.advance(10s);
        for (const auto &[id, outcome] : slots.outcomes) {
            CPPUNIT_ASSERT_EQUAL(1, outcome);
        }
    }

    // Guards against requests that are lost, started twice or refused after a start, under random input.
    void randomRunGivesEachRequestOneOutcome()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            std::mt19937_64 random(seed);
            SlotSimulation slots({.queueLimit = 8, .maxFeeds = 5, .queueTimeout = 300ms, .customerWeights = {{"c1", 1000}}, .maxIdleCustomers = 3});
            std::uint64_t id = 0;
            for (int step = 0; step < 2000; ++step) {
                AdmissionRequest request = makeRequest(++id, "c" + std::to_string(random() % 6), static_cast<WorkClass>(random() % 4));
                request.canMove = random() % 4 == 0;
                if (random() % 3 == 0) {
                    request.deadline = slots.now + std::chrono::milliseconds(random() % 200);
                }
                slots.submit(request, std::chrono::milliseconds(random() % 300));
                if (random() % 5 == 0) {
                    slots.apply(slots.queue.cancel(slots.now, 1 + random() % id));
                }
                if (step == 1900) {
                    slots.apply(slots.queue.drain(slots.now));
                }
                slots.advance(std::chrono::milliseconds(random() % 60));
            }
            slots.advance(1min);
            for (const auto &[request, outcomes] : slots.outcomes) {
                CPPUNIT_ASSERT_EQUAL(1, outcomes);
            }
            CPPUNIT_ASSERT(slots.queue.load() == LoadReport{});
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionQueueTest);
