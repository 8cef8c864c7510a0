#include <jujubequay/agent/request_broker.h>

#include <cppunit/extensions/HelperMacros.h>

#include <request.pb.h>

#include <algorithm>

using namespace Jujubequay;
namespace pb = jujubequay::pb;

namespace {

constexpr Incarnation local{7};
constexpr FlowHandle flowA{1};
constexpr FlowHandle flowB{2};

/// Records the messages that the broker writes, and accepts at most `writeLimit` bytes of each write.
class FakeFlowPort final : public FlowPort
{
public:
    std::size_t write(FlowHandle flow, StreamNumber stream, std::span<const std::uint8_t> bytes, bool end) override
    {
        const std::size_t accepted = std::min(bytes.size(), writeLimit);
        const auto part = bytes.first(accepted);
        readers[{flow, stream}].add(part);
        if (end && accepted == bytes.size()) {
            ended.insert({flow, stream});
        }
        return accepted;
    }
    std::optional<StreamNumber> openUnidirectionalStream(FlowHandle) override
    {
        return 3;
    }
    void consume(FlowHandle, StreamNumber, std::size_t) override { }
    void resetStream(FlowHandle flow, StreamNumber stream, std::uint64_t) override
    {
        reset.insert({flow, stream});
    }
    void stopSending(FlowHandle, StreamNumber, std::uint64_t) override { }

    std::vector<pb::AgentMessage> messages(FlowHandle flow, StreamNumber stream)
    {
        std::vector<pb::AgentMessage> result;
        while (const auto frame = readers[{flow, stream}].nextFrame()) {
            pb::AgentMessage message;
            CPPUNIT_ASSERT(message.ParseFromArray(frame->data(), static_cast<int>(frame->size())));
            result.push_back(message);
        }
        return result;
    }

    std::size_t writeLimit = 1U << 20U;
    std::map<std::pair<FlowHandle, StreamNumber>, FrameReader> readers;
    std::set<std::pair<FlowHandle, StreamNumber>> ended;
    std::set<std::pair<FlowHandle, StreamNumber>> reset;
};

/// Records the calls that the broker starts and cancels. The test sends their events.
class FakeBackendPort final : public BackendPort
{
public:
    void start(BackendRequest request) override
    {
        ++executions[request.id];
        openCalls.insert(request.call);
        lastCall = request.call;
    }
    void cancel(std::uint64_t call) override
    {
        if (openCalls.contains(call)) {
            cancelled.insert(call);
        }
    }
    void consume(std::uint64_t, std::size_t bytes) override
    {
        consumed += bytes;
    }

    std::map<RequestId, int> executions;
    std::set<std::uint64_t> openCalls;
    std::set<std::uint64_t> cancelled;
    std::uint64_t lastCall = 0;
    std::size_t consumed = 0;
};

/// The fields of a request header that differ between tests.
struct Call {
    std::uint64_t sequence = 1;
    bool isIdempotent = false;
    pb::RequestClass workClass = pb::REQUEST_CLASS_CRITICAL;
    std::uint32_t incarnation = local.value;
    std::uint64_t window = 1;
    std::uint32_t deadlineMs = 0;
};

Bytes requestBytes(const Call &call)
{
    pb::CallerMessage header;
    header.mutable_header()->set_caller(std::string(16, 'c'));
    header.mutable_header()->set_sequence(call.sequence);
    header.mutable_header()->set_customer("mill");
    header.mutable_header()->set_path("/findings");
    header.mutable_header()->set_idempotent(call.isIdempotent);
    header.mutable_header()->set_work_class(call.workClass);
    header.mutable_header()->set_incarnation(call.incarnation);
    header.mutable_header()->set_window(call.window);
    header.mutable_header()->set_deadline_ms(call.deadlineMs);
    Bytes bytes = encodeFrame(header);
    pb::CallerMessage end;
    end.set_end(true);
    const Bytes endBytes = encodeFrame(end);
    bytes.insert(bytes.end(), endBytes.begin(), endBytes.end());
    return bytes;
}

RequestId idOf(std::uint64_t sequence)
{
    RequestId id;
    id.caller.fill('c');
    id.sequence = sequence;
    return id;
}

/// The answer that was assembled from the messages on one stream.
struct Answer {
    int headers = 0;
    int trailers = 0;
    std::string detail;
    ResultCode result = ResultCode::Ok;
    std::uint64_t position = 0;
    Bytes body;
    bool isWhole = false; ///< the trailer's length and digest match the body
};

Answer answerOf(const std::vector<pb::AgentMessage> &messages)
{
    Answer answer;
    for (const pb::AgentMessage &message : messages) {
        if (message.has_header()) {
            ++answer.headers;
            answer.detail = message.header().detail();
        } else if (message.has_body()) {
            answer.body.insert(answer.body.end(), message.body().data().begin(), message.body().data().end());
        } else if (message.has_trailer()) {
            ++answer.trailers;
            answer.result = static_cast<ResultCode>(message.trailer().result());
            answer.position = message.trailer().position();
            const DigestBytes digest = digestOf(answer.body);
            answer.isWhole = message.trailer().length() == answer.body.size() && message.trailer().digest() == std::string(digest.begin(), digest.end());
        }
    }
    return answer;
}

}

class RequestBrokerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestBrokerTest);
    CPPUNIT_TEST(answersARequest);
    CPPUNIT_TEST(greetingAnnouncesDrain);
    CPPUNIT_TEST(closedFlowsAnswerIsReplayed);
    CPPUNIT_TEST(newFlowAttachesToRunningRequest);
    CPPUNIT_TEST(cancelledRequestStopsTheBackend);
    CPPUNIT_TEST(requestRefusedByBackendIsNotRun);
    CPPUNIT_TEST(crashedBackendHasUnknownOutcome);
    CPPUNIT_TEST(answerThatBreaksOffIsNoSuccess);
    CPPUNIT_TEST(lateAnswerReachesNoOtherRequest);
    CPPUNIT_TEST(answerBeyondTheBufferIsNoSuccess);
    CPPUNIT_TEST(drainRefusesNewWorkAndCompletesRunningWork);
    CPPUNIT_TEST(drainMovesFeedsWithTheirPosition);
    CPPUNIT_TEST(slowCallerAppliesBackpressure);
    CPPUNIT_TEST(requestPastItsDeadlineIsCancelled);
    CPPUNIT_TEST(malformedRequestsAreRejected);
    CPPUNIT_TEST(randomRunsKeepInvariants);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_now = TimePoint{} + std::chrono::hours(1);
        m_flows = std::make_unique<FakeFlowPort>();
        m_backend = std::make_unique<FakeBackendPort>();
        m_random.seed(1);
        RequestBrokerOptions options;
        m_broker = makeBroker(options);
        establish(flowA);
    }

    void answersARequest()
    {
        request(flowA, 0, {});
        respond(m_backend->lastCall, {1, 2, 3});
        const Answer answer = answerOf(m_flows->messages(flowA, 0));
        CPPUNIT_ASSERT_EQUAL(ResultCode::Ok, answer.result);
        CPPUNIT_ASSERT(answer.isWhole);
        CPPUNIT_ASSERT((answer.body == Bytes{1, 2, 3}));
        CPPUNIT_ASSERT((m_flows->ended.contains({flowA, 0})));
        CPPUNIT_ASSERT(m_broker->isIdle());
    }

    // Guards against callers that keep sending new requests to a draining server.
    void greetingAnnouncesDrain()
    {
        auto greetings = m_flows->messages(flowA, 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, greetings.size());
        CPPUNIT_ASSERT(!greetings[0].greeting().draining());
        CPPUNIT_ASSERT_EQUAL(local.value, greetings[0].greeting().incarnation());
        CPPUNIT_ASSERT_EQUAL(flowIdLength, greetings[0].greeting().resume_id().size());
        m_broker->beginDrain(m_now);
        greetings = m_flows->messages(flowA, 3);
        CPPUNIT_ASSERT(greetings.at(0).greeting().draining());
    }

    // Guards against a non-idempotent request that runs twice because its flow ended before the answer arrived.
    void closedFlowsAnswerIsReplayed()
    {
        request(flowA, 0, {});
        m_broker->handleFlowEvent(m_now, FlowEnded{flowA});
        CPPUNIT_ASSERT(m_backend->cancelled.empty());
        respond(m_backend->lastCall, {9});
        establish(flowB);
        request(flowB, 0, {});
        const Answer answer = answerOf(m_flows->messages(flowB, 0));
        CPPUNIT_ASSERT_EQUAL(ResultCode::Ok, answer.result);
        CPPUNIT_ASSERT((answer.body == Bytes{9}));
        CPPUNIT_ASSERT_EQUAL(1, m_backend->executions[idOf(1)]);
    }

    void newFlowAttachesToRunningRequest()
    {
        request(flowA, 0, {});
        m_broker->handleFlowEvent(m_now, FlowEnded{flowA});
        establish(flowB);
        request(flowB, 0, {});
        respond(m_backend->lastCall, {9});
        CPPUNIT_ASSERT(answerOf(m_flows->messages(flowB, 0)).isWhole);
        CPPUNIT_ASSERT_EQUAL(1, m_backend->executions[idOf(1)]);
    }

    // Guards against slots that stay occupied by requests whose callers have cancelled them.
    void cancelledRequestStopsTheBackend()
    {
        Call call;
        call.isIdempotent = true;
        request(flowA, 0, call);
        m_broker->handleFlowEvent(m_now, StreamReset{flowA, 0, 0});
        CPPUNIT_ASSERT(m_backend->cancelled.contains(m_backend->lastCall));
        m_broker->handleBackendEvent(m_now, BackendFailed{m_backend->lastCall, false, "cancelled"});
        CPPUNIT_ASSERT(m_broker->isIdle());
    }

    // Guards against a request that runs on a delayed attempt after it was reported as not run.
    void requestRefusedByBackendIsNotRun()
    {
        request(flowA, 0, {});
        m_broker->handleBackendEvent(m_now, BackendFailed{m_backend->lastCall, true, "refused stream"});
        CPPUNIT_ASSERT(isNotRun(answerOf(m_flows->messages(flowA, 0)).result));
        request(flowA, 4, {});
        CPPUNIT_ASSERT(isNotRun(answerOf(m_flows->messages(flowA, 4)).result));
        CPPUNIT_ASSERT_EQUAL(1, m_backend->executions[idOf(1)]);
    }

    // Guards against reporting a request as not run that a crashed backend server may have run.
    void crashedBackendHasUnknownOutcome()
    {
        request(flowA, 0, {});
        m_broker->handleBackendEvent(m_now, BackendFailed{m_backend->lastCall, false, "connection lost"});
        CPPUNIT_ASSERT_EQUAL(ResultCode::OutcomeUnknown, answerOf(m_flows->messages(flowA, 0)).result);
        request(flowA, 4, {});
        CPPUNIT_ASSERT_EQUAL(ResultCode::OutcomeUnknown, answerOf(m_flows->messages(flowA, 4)).result);
        CPPUNIT_ASSERT_EQUAL(1, m_backend->executions[idOf(1)]);
    }

    // Guards against the half of an answer that reaches the caller as a success, streamed or buffered.
    void answerThatBreaksOffIsNoSuccess()
    {
        for (const bool isIdempotent : {true, false}) {
            setUp();
            Call call;
            call.isIdempotent = isIdempotent;
            request(flowA, 0, call);
            m_broker->handleBackendEvent(m_now, BackendResponseStarted{m_backend->lastCall, 200});
            m_broker->handleBackendEvent(m_now, BackendData{m_backend->lastCall, {1, 2}, 0});
            m_broker->handleBackendEvent(m_now, BackendFailed{m_backend->lastCall, false, "reset"});
            const Answer answer = answerOf(m_flows->messages(flowA, 0));
            CPPUNIT_ASSERT_EQUAL(1, answer.trailers);
            CPPUNIT_ASSERT_EQUAL(isIdempotent ? ResultCode::BackendFailed : ResultCode::OutcomeUnknown, answer.result);
        }
    }

    // Guards against a second copy of an answer that counts as the answer to the next request.
    void lateAnswerReachesNoOtherRequest()
    {
        const auto answerCall = [&](std::uint64_t call, std::uint8_t byte) {
            m_broker->handleBackendEvent(m_now, BackendResponseStarted{call, 200});
            m_broker->handleBackendEvent(m_now, BackendData{call, {byte}, 0});
            m_broker->handleBackendEvent(m_now, BackendEnded{call});
        };
        request(flowA, 0, {});
        const std::uint64_t first = m_backend->lastCall;
        answerCall(first, 1);
        Call next;
        next.sequence = 2;
        request(flowA, 4, next);
        answerCall(first, 1);
        CPPUNIT_ASSERT_EQUAL(0, answerOf(m_flows->messages(flowA, 4)).trailers);
        answerCall(m_backend->lastCall, 2);
        CPPUNIT_ASSERT(answerOf(m_flows->messages(flowA, 0)).body == Bytes{1});
        CPPUNIT_ASSERT(answerOf(m_flows->messages(flowA, 4)).body == Bytes{2});
    }

    /// Guards against an incomplete answer that reaches the caller as a success, and against an error that names the wrong cause.
    void answerBeyondTheBufferIsNoSuccess()
    {
        RequestBrokerOptions options;
        options.maxBufferedAnswerBytes = 4;
        m_broker = makeBroker(options);
        establish(flowA);
        request(flowA, 0, {});
        respond(m_backend->lastCall, {1, 2, 3, 4, 5});
        const Answer answer = answerOf(m_flows->messages(flowA, 0));
        CPPUNIT_ASSERT_EQUAL(ResultCode::AnswerIncomplete, answer.result);
        CPPUNIT_ASSERT_EQUAL(std::string("the answer of 5 bytes exceeds the buffer of 4 bytes"), answer.detail);
    }

    // Guards against new requests at a draining server, and against a drain that interrupts requests in progress.
    void drainRefusesNewWorkAndCompletesRunningWork()
    {
        request(flowA, 0, {});
        const std::uint64_t running = m_backend->lastCall;
        m_broker->beginDrain(m_now);
        Call second;
        second.sequence = 2;
        request(flowA, 4, second);
        CPPUNIT_ASSERT_EQUAL(ResultCode::NotRunMoved, answerOf(m_flows->messages(flowA, 4)).result);
        CPPUNIT_ASSERT(!m_broker->isIdle());
        respond(running, {1});
        CPPUNIT_ASSERT(answerOf(m_flows->messages(flowA, 0)).isWhole);
        CPPUNIT_ASSERT(m_broker->isIdle());
    }

    // Guards against a drain that ends a feed without its position, from which the caller must resume it.
    void drainMovesFeedsWithTheirPosition()
    {
        Call feed;
        feed.workClass = pb::REQUEST_CLASS_FEED;
        request(flowA, 0, feed);
        const std::uint64_t call = m_backend->lastCall;
        m_broker->handleBackendEvent(m_now, BackendResponseStarted{call, 200});
        m_broker->handleBackendEvent(m_now, BackendData{call, {1}, 41});
        m_broker->handleBackendEvent(m_now, BackendData{call, {2}, 42});
        m_broker->beginDrain(m_now);
        m_now += RequestBrokerOptions().feedMoveSpread;
        m_broker->tick(m_now);
        const Answer answer = answerOf(m_flows->messages(flowA, 0));
        CPPUNIT_ASSERT_EQUAL(ResultCode::Moved, answer.result);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{42}, answer.position);
        CPPUNIT_ASSERT(answer.isWhole);
        CPPUNIT_ASSERT(m_backend->cancelled.contains(call));
    }

    // Guards against memory use that grows when a caller reads more slowly than the backend server sends.
    void slowCallerAppliesBackpressure()
    {
        Call call;
        call.isIdempotent = true;
        request(flowA, 0, call);
        m_broker->handleBackendEvent(m_now, BackendResponseStarted{m_backend->lastCall, 200});
        m_flows->writeLimit = 0;
        const std::size_t chunk = 100U << 10U;
        m_broker->handleBackendEvent(m_now, BackendData{m_backend->lastCall, Bytes(chunk), 0});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_backend->consumed);
        m_flows->writeLimit = 1U << 20U;
        m_broker->handleFlowEvent(m_now, StreamWritable{flowA, 0});
        CPPUNIT_ASSERT_EQUAL(chunk, m_backend->consumed);
    }

    void requestPastItsDeadlineIsCancelled()
    {
        Call call;
        call.isIdempotent = true;
        call.deadlineMs = 50;
        request(flowA, 0, call);
        m_now += std::chrono::milliseconds(50);
        CPPUNIT_ASSERT(m_broker->nextTimeout() <= m_now);
        m_broker->tick(m_now);
        CPPUNIT_ASSERT_EQUAL(ResultCode::DeadlineExceeded, answerOf(m_flows->messages(flowA, 0)).result);
        CPPUNIT_ASSERT(m_backend->cancelled.contains(m_backend->lastCall));
    }

    // Guards against a truncated or malformed request that runs.
    void malformedRequestsAreRejected()
    {
        const Bytes whole = requestBytes({});
        Bytes cut(whole.begin(), whole.end() - 2);
        m_broker->handleFlowEvent(m_now, StreamDataReceived{flowA, 0, cut, true});
        m_broker->handleFlowEvent(m_now, StreamDataReceived{flowA, 4, {0, 0, 0, 2, 0xFF, 0xFF}, false});
        m_broker->handleFlowEvent(m_now, StreamDataReceived{flowA, 8, Bytes(300U << 10U), false});
        for (const StreamNumber stream : {0, 4, 8}) {
            CPPUNIT_ASSERT_EQUAL(ResultCode::BadRequest, answerOf(m_flows->messages(flowA, stream)).result);
        }
        CPPUNIT_ASSERT(m_backend->executions.empty());
    }

    // Guards against a request that runs twice or after it was refused as not run, and against an attempt that does not get exactly
    // one answer, in some order of attempts, ended flows, cancellations, backend failures and a drain.
    void randomRunsKeepInvariants()
    {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            runRandom(seed);
        }
    }

private:
    std::unique_ptr<RequestBroker> makeBroker(const RequestBrokerOptions &options)
    {
        return std::make_unique<RequestBroker>(
            local,
            options,
            *m_flows,
            *m_backend,
            [] {
                return FlowIdBytes{};
            },
            [](const RequestReport &) {},
            m_random,
            m_now);
    }

    void establish(FlowHandle flow)
    {
        m_broker->handleFlowEvent(m_now, FlowEstablished{flow, {}});
    }

    void request(FlowHandle flow, StreamNumber stream, const Call &call)
    {
        m_broker->handleFlowEvent(m_now, StreamDataReceived{flow, stream, requestBytes(call), true});
    }

    void respond(std::uint64_t call, const Bytes &body)
    {
        m_backend->openCalls.erase(call);
        m_broker->handleBackendEvent(m_now, BackendResponseStarted{call, 200});
        m_broker->handleBackendEvent(m_now, BackendData{call, body, 0});
        m_broker->handleBackendEvent(m_now, BackendEnded{call});
    }

    void endRandomCall()
    {
        if (m_backend->openCalls.empty()) {
            return;
        }
        const auto picked = std::next(m_backend->openCalls.begin(), static_cast<std::ptrdiff_t>(m_random() % m_backend->openCalls.size()));
        const std::uint64_t call = *picked;
        if (m_random() % 3 != 0) {
            respond(call, Bytes(m_random() % 50, 5));
            return;
        }
        m_backend->openCalls.erase(call);
        m_broker->handleBackendEvent(m_now, BackendFailed{call, false, "connection lost"});
    }

    void runRandom(std::uint64_t seed)
    {
        setUp();
        m_random.seed(seed);
        RequestBrokerOptions options;
        options.admission.queueLimit = 4;
        m_broker = makeBroker(options);
        std::map<std::uint64_t, Call> calls;
        std::map<std::pair<FlowHandle, StreamNumber>, std::uint64_t> attempts;
        std::uint64_t flowNumber = 10;
        StreamNumber nextStream = 0;
        establish({flowNumber});
        const std::string label = "seed " + std::to_string(seed);
        for (int step = 0; step < 400; ++step) {
            m_now += std::chrono::milliseconds(m_random() % 20);
            const std::uint64_t action = m_random() % 20;
            if (action < 9) {
                Call call;
                call.sequence = 1 + m_random() % 60;
                call.isIdempotent = call.sequence % 3 == 0;
                call.deadlineMs = m_random() % 4 == 0 ? 100 : 0;
                call = calls.try_emplace(call.sequence, call).first->second;
                const std::pair<FlowHandle, StreamNumber> key{{flowNumber}, nextStream};
                attempts.emplace(key, call.sequence);
                request(key.first, key.second, call);
                nextStream += 4;
            } else if (action < 16) {
                endRandomCall();
            } else if (action == 16) {
                m_broker->handleFlowEvent(m_now, FlowEnded{{flowNumber}});
                ++flowNumber;
                nextStream = 0;
                establish({flowNumber});
            } else if (action == 17 && nextStream > 0) {
                m_broker->handleFlowEvent(m_now, StreamReset{{flowNumber}, nextStream - 4, 0});
                attempts.erase({{flowNumber}, nextStream - 4});
            } else if (step > 300 && action == 18) {
                m_broker->beginDrain(m_now);
            }
            m_broker->tick(m_now);
        }
        while (!m_backend->openCalls.empty()) {
            endRandomCall();
        }
        m_now += std::chrono::seconds(30);
        m_broker->tick(m_now);
        CPPUNIT_ASSERT_MESSAGE(label, m_broker->isIdle());

        std::map<std::uint64_t, std::set<ResultCode>> results;
        for (const auto &[key, sequence] : attempts) {
            const Answer answer = answerOf(m_flows->messages(key.first, key.second));
            const bool isLiveFlow = key.first.value == flowNumber;
            CPPUNIT_ASSERT_MESSAGE(label, answer.headers <= 1 && answer.trailers <= 1);
            CPPUNIT_ASSERT_MESSAGE(label, !isLiveFlow || answer.trailers == 1);
            CPPUNIT_ASSERT_MESSAGE(label, answer.trailers == 0 || answer.isWhole);
            if (answer.trailers == 1) {
                results[sequence].insert(answer.result);
            }
        }
        for (const auto &[sequence, call] : calls) {
            if (call.isIdempotent) {
                continue;
            }
            const int executions = m_backend->executions[idOf(sequence)];
            CPPUNIT_ASSERT_MESSAGE(label, executions <= 1);
            const bool wasNotRun = std::any_of(results[sequence].begin(), results[sequence].end(), isNotRun);
            CPPUNIT_ASSERT_MESSAGE(label, !wasNotRun || executions == 0);
            CPPUNIT_ASSERT_MESSAGE(label, results[sequence].size() <= 1);
        }
    }

    TimePoint m_now{};
    std::mt19937_64 m_random;
    std::unique_ptr<FakeFlowPort> m_flows;
    std::unique_ptr<FakeBackendPort> m_backend;
    std::unique_ptr<RequestBroker> m_broker;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestBrokerTest);
