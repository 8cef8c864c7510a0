#include "jujubequay/net/net_test_support.h"

#include <jujubequay/daemon/backend_server.h>
#include <jujubequay/net/backend_client.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Jujubequay;
using namespace Jujubequay::Testing;
using namespace std::chrono_literals;

namespace {

/// Work time so long that the work never ends during a test.
constexpr auto endlessWorkTime = 1h;

BackendSettings settingsWith(std::uint32_t slots, std::uint32_t queue, std::chrono::milliseconds work)
{
    BackendSettings settings;
    settings.address = {0x7F000001, 0};
    settings.slots = slots;
    settings.queue = queue;
    settings.meanWork = work;
    settings.feedInterval = 1ms;
    settings.maxTrackedRequests = 100;
    return settings;
}

/// The answer to a request as the client received it.
struct Answer {
    int status = 0;
    std::vector<std::uint8_t> body;
    std::optional<BackendCallEnd> end;
    std::shared_ptr<BackendCall> call;

    std::string text() const
    {
        return {body.begin(), body.end()};
    }
};

struct Backend {
    explicit Backend(const BackendSettings &settings)
        : server(valueOf([&] {
            return BackendServer::listen(context, clock, logger, settings);
        }))
        , client(BackendClient::create(context, clock, server->address()))
    {
    }

    std::shared_ptr<Answer> start(const std::string &path, const HttpHeaders &headers = {}, const std::string &body = {})
    {
        auto answer = std::make_shared<Answer>();
        BackendCallHandlers handlers;
        handlers.headers = [answer](int status, const HttpHeaders &) {
            answer->status = status;
        };
        handlers.data = [answer](std::span<const std::uint8_t> data) {
            answer->body.insert(answer->body.end(), data.begin(), data.end());
            answer->call->consume(data.size());
        };
        handlers.closed = [answer](const BackendCallEnd &end) {
            answer->end = end;
        };
        answer->call = client->start("POST", path, headers, handlers);
        CPPUNIT_ASSERT(answer->call->send({reinterpret_cast<const std::uint8_t *>(body.data()), body.size()}));
        answer->call->end();
        return answer;
    }

    std::shared_ptr<Answer> finish(const std::shared_ptr<Answer> &answer)
    {
        runUntil(context, [&] {
            return answer->end.has_value();
        });
        return answer;
    }

    /// Waits until the work of a request has started.
    void awaitStart(const std::string &requestId)
    {
        runUntil(context, [&] {
            return server->executions(requestId) > 0;
        });
    }

    SteadyClock clock;
    QuietLogger logger{clock};
    asio::io_context context;
    std::shared_ptr<BackendServer> server;
    std::shared_ptr<BackendClient> client;
};

HttpHeaders idHeader(const std::string &id)
{
    return {{"jjq-request-id", id}};
}

}

class BackendTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BackendTest);
    CPPUNIT_TEST(answersWithExpectedBodies);
    CPPUNIT_TEST(downloadsAreDeterministic);
    CPPUNIT_TEST(fullServerRefusesWithoutExecuting);
    CPPUNIT_TEST(cancelledWorkFreesItsSlot);
    CPPUNIT_TEST(cancelledWaitingWorkIsNotExecuted);
    CPPUNIT_TEST(missedDeadlineBeforeStartMeansNotStarted);
    CPPUNIT_TEST(drainFinishesAcceptedWorkAndRefusesNewWork);
    CPPUNIT_TEST(feedContinuesAfterGivenPosition);
    CPPUNIT_TEST(executionsCountRepeatedRequests);
    CPPUNIT_TEST(unreachableServerMeansNotStarted);
    CPPUNIT_TEST(lostConnectionMeansMayHaveRun);
    CPPUNIT_TEST(truncatedAnswerIsNotComplete);
    CPPUNIT_TEST(reportedLoadIsOutdatedOrWrongByMode);
    CPPUNIT_TEST(workTimesDependOnSeedAndColdStart);
    CPPUNIT_TEST_SUITE_END();

public:
    void answersWithExpectedBodies()
    {
        Backend backend(settingsWith(1, 1, 0ms));
        const auto echo = backend.finish(backend.start("/echo", {}, std::string(300000, 'x')));
        CPPUNIT_ASSERT_EQUAL(200, echo->status);
        CPPUNIT_ASSERT_EQUAL(std::string(300000, 'x'), echo->text());
        CPPUNIT_ASSERT(echo->end->outcome == BackendOutcome::Completed);
        CPPUNIT_ASSERT_EQUAL(404, backend.finish(backend.start("/other"))->status);
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), backend.finish(backend.start("/health"))->text());
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"running":0,"waiting":0,"slots":1,"draining":false})"), backend.finish(backend.start("/load"))->text());
    }

    void downloadsAreDeterministic()
    {
        Backend backend(settingsWith(1, 1, 0ms));
        const auto answer = backend.finish(backend.start("/download?bytes=3000000"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3000000}, answer->body.size());
        for (std::size_t offset = 0; offset < answer->body.size(); ++offset) {
            CPPUNIT_ASSERT(answer->body[offset] == downloadByte(offset));
        }
    }

    // Guards against a request that is reported as not started although it was executed.
    void fullServerRefusesWithoutExecuting()
    {
        Backend backend(settingsWith(1, 0, endlessWorkTime));
        backend.start("/work", idHeader("a"));
        backend.awaitStart("a");
        const auto refused = backend.finish(backend.start("/work", idHeader("b")));
        CPPUNIT_ASSERT(refused->end->outcome == BackendOutcome::NotStarted);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, backend.server->executions("b"));
    }

    void cancelledWorkFreesItsSlot()
    {
        Backend backend(settingsWith(1, 1, endlessWorkTime));
        const auto first = backend.start("/work", idHeader("a"));
        backend.awaitStart("a");
        backend.start("/work", idHeader("b"));
        first->call->cancel();
        backend.finish(first);
        CPPUNIT_ASSERT(first->end->outcome == BackendOutcome::MayHaveRun);
        CPPUNIT_ASSERT(first->end->cause == ResultCode::Cancelled);
        backend.awaitStart("b");
    }

    void cancelledWaitingWorkIsNotExecuted()
    {
        Backend backend(settingsWith(1, 2, endlessWorkTime));
        const auto first = backend.start("/work", idHeader("a"));
        backend.awaitStart("a");
        const auto second = backend.start("/work", idHeader("b"));
        backend.start("/work", idHeader("c"));
        while (backend.finish(backend.start("/load"))->text().find("\"waiting\":2") == std::string::npos) { }
        second->call->cancel();
        while (backend.finish(backend.start("/load"))->text().find("\"waiting\":1") == std::string::npos) { }
        first->call->cancel();
        backend.awaitStart("c");
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, backend.server->executions("b"));
    }

    void missedDeadlineBeforeStartMeansNotStarted()
    {
        Backend backend(settingsWith(1, 1, endlessWorkTime));
        const auto running = backend.start("/work", idHeader("a"));
        backend.awaitStart("a");
        const auto waiting = backend.finish(backend.start("/work", {{"jjq-request-id", "b"}, {"jjq-deadline-ms", "1"}}));
        CPPUNIT_ASSERT(waiting->end->outcome == BackendOutcome::NotStarted);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, backend.server->executions("b"));
        running->call->cancel();
        backend.finish(running);
        const auto late = backend.finish(backend.start("/work", {{"jjq-request-id", "c"}, {"jjq-deadline-ms", "0"}}));
        CPPUNIT_ASSERT(late->end->outcome == BackendOutcome::NotStarted);
        const auto started = backend.finish(backend.start("/work", {{"jjq-request-id", "d"}, {"jjq-deadline-ms", "1"}}));
        CPPUNIT_ASSERT_EQUAL(504, started->status);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, backend.server->executions("d"));
    }

    // Guards against accepted work that a drain aborts, and against work that starts during a drain.
    void drainFinishesAcceptedWorkAndRefusesNewWork()
    {
        Backend backend(settingsWith(2, 0, 0ms));
        bool isDraining = false;
        backend.client->setDrainingHandler([&] {
            isDraining = true;
        });
        const auto feed = backend.start("/feed");
        runUntil(backend.context, [&] {
            return !feed->body.empty();
        });
        const auto download = backend.start("/download?bytes=2000000");
        runUntil(backend.context, [&] {
            return !download->body.empty();
        });
        backend.server->drain();
        runUntil(backend.context, [&] {
            return isDraining;
        });
        const auto later = backend.finish(backend.start("/work", idHeader("late")));
        CPPUNIT_ASSERT(later->end->outcome == BackendOutcome::NotStarted);
        CPPUNIT_ASSERT_EQUAL(503, backend.finish(backend.start("/health"))->status);
        CPPUNIT_ASSERT(backend.finish(download)->end->outcome == BackendOutcome::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2000000}, download->body.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, backend.server->executions("late"));
        CPPUNIT_ASSERT_MESSAGE("a drain must not end feeds", !feed->end);
        CPPUNIT_ASSERT(!backend.server->isDrained());
        feed->call->cancel();
        runUntil(backend.context, [&] {
            return backend.server->isDrained();
        });
    }

    void feedContinuesAfterGivenPosition()
    {
        Backend backend(settingsWith(1, 0, endlessWorkTime));
        const auto feed = backend.start("/feed", {{"jjq-position", "41"}});
        runUntil(backend.context, [&] {
            return feed->body.size() >= 9;
        });
        CPPUNIT_ASSERT_EQUAL(std::string("42\n43\n44\n"), feed->text().substr(0, 9));
    }

    void executionsCountRepeatedRequests()
    {
        Backend backend(settingsWith(1, 1, 0ms));
        for (const char *id : {"a", "b", "a"}) {
            backend.finish(backend.start("/work", idHeader(id)));
        }
        CPPUNIT_ASSERT_EQUAL(std::string("a 2\n"), backend.finish(backend.start("/executions?min=2"))->text());
    }

    void unreachableServerMeansNotStarted()
    {
        Backend backend(settingsWith(1, 0, 0ms));
        backend.server->stop();
        const auto answer = backend.finish(backend.start("/work", idHeader("a")));
        CPPUNIT_ASSERT(answer->end->outcome == BackendOutcome::NotStarted);
        CPPUNIT_ASSERT(answer->end->cause == ResultCode::ConnectionLost);
    }

    void lostConnectionMeansMayHaveRun()
    {
        Backend backend(settingsWith(1, 0, endlessWorkTime));
        const auto answer = backend.start("/work", idHeader("a"));
        backend.awaitStart("a");
        backend.server->stop();
        CPPUNIT_ASSERT(backend.finish(answer)->end->outcome == BackendOutcome::MayHaveRun);
        CPPUNIT_ASSERT(answer->end->cause == ResultCode::ConnectionLost);
    }

    // Guards against a truncated download that is reported as complete.
    void truncatedAnswerIsNotComplete()
    {
        Backend backend(settingsWith(1, 0, 0ms));
        const auto answer = backend.start("/download?bytes=100000000");
        runUntil(backend.context, [&] {
            return !answer->body.empty();
        });
        backend.server->stop();
        CPPUNIT_ASSERT(backend.finish(answer)->end->outcome == BackendOutcome::MayHaveRun);
        CPPUNIT_ASSERT_EQUAL(200, answer->status);
    }

    void reportedLoadIsOutdatedOrWrongByMode()
    {
        const TimePoint start{};
        LoadReporter lagging(ReportMode::Lagging, 5s);
        lagging.update(start, {false, 1, 0});
        lagging.update(start + 2s, {true, 2, 0});
        CPPUNIT_ASSERT(lagging.report(start + 4s) == ReportedLoad{});
        CPPUNIT_ASSERT(lagging.report(start + 5s) == (ReportedLoad{false, 1, 0}));
        CPPUNIT_ASSERT(lagging.report(start + 7s) == (ReportedLoad{true, 2, 0}));
        LoadReporter misleading(ReportMode::Misleading, 5s);
        misleading.update(start, {true, 3, 9});
        CPPUNIT_ASSERT(misleading.report(start + 1h) == ReportedLoad{});
    }

    void workTimesDependOnSeedAndColdStart()
    {
        const TimePoint start{};
        BackendSettings settings = settingsWith(1, 0, 20ms);
        settings.coldStart = 10s;
        settings.coldFactor = 5;
        for (const auto distribution : {WorkDistribution::Exponential, WorkDistribution::Lognormal}) {
            settings.distribution = distribution;
            std::mt19937_64 random(3);
            std::mt19937_64 sameRandom(3);
            WorkTimes times(settings, start, random);
            WorkTimes sameTimes(settings, start, sameRandom);
            Duration total{};
            constexpr int draws = 20000;
            for (int draw = 0; draw < draws; ++draw) {
                const Duration time = times.next(start + 10s);
                CPPUNIT_ASSERT(time == sameTimes.next(start + 10s));
                total += time;
            }
            CPPUNIT_ASSERT(total / draws > 19ms && total / draws < 21ms);
        }
        settings.distribution = WorkDistribution::Fixed;
        std::mt19937_64 random(3);
        WorkTimes times(settings, start, random);
        CPPUNIT_ASSERT(times.next(start) == 100ms);
        CPPUNIT_ASSERT(times.next(start + 5s) == 60ms);
        CPPUNIT_ASSERT(times.next(start + 10s) == 20ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendTest);
