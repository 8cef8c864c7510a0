#include <jujubequay/policy/flow_choice.h>
#include <jujubequay/policy/load_estimate.h>
#include <jujubequay/policy/redirect.h>
#include <jujubequay/policy/retry.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Jujubequay;
using namespace std::chrono_literals;

class BalanceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BalanceTest);
    CPPUNIT_TEST(oldReportsLoseInfluence);
    CPPUNIT_TEST(reportOfNoLoadWithSlowAnswersIsIgnored);
    CPPUNIT_TEST(movesContradictReports);
    CPPUNIT_TEST(startedServerRampsUp);
    CPPUNIT_TEST(redirectsToTheServerWithFewerFlows);
    CPPUNIT_TEST(idleFlowsMoveToANewServer);
    CPPUNIT_TEST(retriesOnlyWhenSafe);
    CPPUNIT_TEST(retryBudgetBoundsRetriesAndDelays);
    CPPUNIT_TEST(leastLoadedUsableFlowIsChosen);
    CPPUNIT_TEST_SUITE_END();

public:
    void oldReportsLoseInfluence()
    {
        LoadEstimate estimate;
        estimate.recordReport(TimePoint{}, {.running = 3, .queued = 9, .flows = 100});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(12, estimate.work(TimePoint{}), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.1, estimate.work(TimePoint{} + 5s), 0.01);
        estimate.recordSent();
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3.1, estimate.work(TimePoint{} + 5s), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(101, *estimate.flows(TimePoint{} + 5s), 0.01);
        CPPUNIT_ASSERT(!estimate.flows(TimePoint{} + 1min));
    }

    // Guards against a server that attracts all requests by reporting no load while its answers become slower.
    void reportOfNoLoadWithSlowAnswersIsIgnored()
    {
        LoadEstimate estimate;
        for (int count = 0; count < 50; ++count) {
            estimate.recordAnswer(WorkClass::Interactive, 30ms);
            estimate.recordAnswer(WorkClass::Bulk, 600ms);
        }
        CPPUNIT_ASSERT(!estimate.isContradicted(TimePoint{}));
        for (int count = 0; count < 30; ++count) {
            estimate.recordAnswer(WorkClass::Interactive, 90ms);
        }
        estimate.recordReport(TimePoint{}, {});
        CPPUNIT_ASSERT(estimate.isContradicted(TimePoint{}));
        CPPUNIT_ASSERT(estimate.work(TimePoint{}) > 6);
    }

    // Guards against a server that attracts requests and Initial packets by load reports that its own moves contradict.
    void movesContradictReports()
    {
        CPPUNIT_ASSERT(contradictsMove(0, 0.5));
        CPPUNIT_ASSERT(!contradictsMove(2, 0.5));
        LoadEstimate estimate;
        estimate.recordReport(TimePoint{}, {});
        estimate.recordContradiction(TimePoint{});
        CPPUNIT_ASSERT(estimate.work(TimePoint{} + 1s) >= 6);
        CPPUNIT_ASSERT(!estimate.flows(TimePoint{} + 1s));
        CPPUNIT_ASSERT(!estimate.isContradicted(TimePoint{} + 10s));
    }

    void startedServerRampsUp()
    {
        LoadEstimate estimate;
        estimate.recordStart(TimePoint{});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, estimate.flows(TimePoint{}).value(), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3, estimate.work(TimePoint{}), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, estimate.rampProgress(TimePoint{} + 5s), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, estimate.rampProgress(TimePoint{} + 10s), 0.01);
    }

    void redirectsToTheServerWithFewerFlows()
    {
        const RedirectOptions options;
        const auto decide = [&](std::uint32_t localFlows, std::optional<double> secondFlows) {
            return shouldRedirect({.load = {.flows = localFlows}}, {.flows = secondFlows}, options);
        };
        CPPUNIT_ASSERT(!decide(100, 100));
        CPPUNIT_ASSERT(decide(103, 100));
        CPPUNIT_ASSERT(!decide(100, std::nullopt));
        CPPUNIT_ASSERT(decide(2000, std::nullopt));
        CPPUNIT_ASSERT(!decide(2000, 2000));
        CPPUNIT_ASSERT(shouldRedirect({.load = {.flows = 1}, .draining = true}, {.flows = 2000}, options));
        CPPUNIT_ASSERT(shouldRedirect({.load = {.running = 3, .queued = 3}}, {}, options));
        CPPUNIT_ASSERT(shouldRedirect({.load = {.flows = 100}, .weight = 50}, {.flows = 150}, options));
        CPPUNIT_ASSERT(!shouldRedirect({.load = {.flows = 100}}, {.flows = 50, .rampProgress = 0.3}, options));
        CPPUNIT_ASSERT(!shouldRedirect({.load = {.flows = 100}}, {.flows = 90, .work = 9}, options));
    }

    // Guards against a new server that stays nearly empty, and against flows that are relocated back and forth.
    void idleFlowsMoveToANewServer()
    {
        const RedirectOptions options;
        CPPUNIT_ASSERT(shouldRelocate({.load = {.flows = 100}}, {.flows = 10}, options));
        CPPUNIT_ASSERT(!shouldRelocate({.load = {.flows = 100}}, {.flows = 95}, options));
        CPPUNIT_ASSERT(!shouldRelocate({.load = {.flows = 100}}, {.flows = 50, .rampProgress = 0.2}, options));
        CPPUNIT_ASSERT(!shouldRelocate({.load = {.flows = 100}}, {}, options));
        CPPUNIT_ASSERT(!shouldRelocate({.load = {.flows = 2000}, .draining = true}, {.flows = 0}, options));
    }

    // Guards against a non-idempotent request that is executed twice because of a retry.
    void retriesOnlyWhenSafe()
    {
        for (int number = 0; number < 500; ++number) {
            const auto code = static_cast<ResultCode>(number);
            if (!isNotRun(code)) {
                CPPUNIT_ASSERT(retryRule(code, false) == RetryRule::Never);
            }
        }
        CPPUNIT_ASSERT(retryRule(ResultCode::NotRunMoved, false) == RetryRule::OtherServer);
        CPPUNIT_ASSERT(retryRule(ResultCode::NotRunOverloaded, false) == RetryRule::AfterDelay);
        CPPUNIT_ASSERT(retryRule(ResultCode::OutcomeUnknown, true) == RetryRule::AfterDelay);
        CPPUNIT_ASSERT(retryRule(ResultCode::RequestExpired, true) == RetryRule::Never);
    }

    void retryBudgetBoundsRetriesAndDelays()
    {
        RetryBudget budget;
        int taken = 0;
        for (int request = 0; request < 1000; ++request) {
            budget.recordRequest();
            taken += budget.tryTakeToken() ? 1 : 0;
        }
        CPPUNIT_ASSERT(taken <= 110);
        std::mt19937_64 random(1);
        for (std::uint32_t attempt = 0; attempt < 100; ++attempt) {
            const Duration delay = budget.delay(attempt, 1s, random);
            CPPUNIT_ASSERT(delay >= 1s && delay <= 6s);
        }
        CPPUNIT_ASSERT(budget.delay(1, 0s, random) <= 50ms);
    }

    void leastLoadedUsableFlowIsChosen()
    {
        std::mt19937_64 random(1);
        const std::array<FlowCandidate, 3> flows{{{.work = 0, .isUsable = false}, {.work = 3}, {.work = 2}}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, *chooseFlow(flows, random));
        CPPUNIT_ASSERT(!chooseFlow(std::span(flows).first(1), random));
        const std::array<FlowCandidate, 2> equal{{{.work = 2.1}, {.work = 2.1}}};
        int first = 0;
        for (int count = 0; count < 1000; ++count) {
            first += *chooseFlow(equal, random) == 0 ? 1 : 0;
        }
        CPPUNIT_ASSERT(first > 400 && first < 600);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BalanceTest);
