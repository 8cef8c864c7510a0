#include "jujubequay/net/net_test_support.h"

#include <jujubequay/net/backend_client.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Jujubequay;
using namespace Jujubequay::Testing;

namespace {

const Bytes half(5, 'a');
const HttpHeaders answerOfTwoHalves{{":status", "200"}, {"content-length", "10"}};

using Script = std::function<void(const std::shared_ptr<Http2Stream> &)>;

/// A client and a backend server that answers each request as the script says.
struct ScriptedBackend {
    struct Answer {
        std::shared_ptr<BackendCall> call;
        Bytes body;
        std::optional<BackendCallEnd> end;
    };

    explicit ScriptedBackend(Script answer)
        : script(std::move(answer))
    {
        acceptor.async_accept([this](const asio::error_code &, asio::ip::tcp::socket socket) {
            Http2SessionHandlers handlers;
            handlers.accept = [this](const HttpHeaders &, const std::shared_ptr<Http2Stream> &stream) {
                streams.push_back(stream);
                script(stream);
                Http2StreamHandlers streamHandlers;
                streamHandlers.closed = [](const Http2StreamEnd &) {};
                return streamHandlers;
            };
            server = Http2Session::create(context, clock, Http2Session::Role::Server, {}, std::move(handlers));
            server->start(std::make_unique<SocketTransport<asio::ip::tcp::socket>>(std::make_shared<asio::ip::tcp::socket>(std::move(socket))));
        });
    }

    /// Starts a request. `onData` is called after each part of the answer.
    std::shared_ptr<Answer> start(std::function<void(Answer &)> onData)
    {
        auto answer = std::make_shared<Answer>();
        BackendCallHandlers handlers;
        handlers.data = [answer, onData = std::move(onData)](std::span<const std::uint8_t> data) {
            answer->body.insert(answer->body.end(), data.begin(), data.end());
            answer->call->consume(data.size());
            onData(*answer);
        };
        handlers.closed = [answer](const BackendCallEnd &end) {
            answer->end = end;
        };
        answer->call = client->start("GET", "/", {}, std::move(handlers));
        answer->call->end();
        return answer;
    }

    BackendCallEnd endOf(const std::shared_ptr<Answer> &answer)
    {
        runUntil(context, [&] {
            return answer->end.has_value();
        });
        return *answer->end;
    }

    const Script script;
    SteadyClock clock;
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor{context, tcpEndpoint({0x7F000001, 0})};
    std::vector<std::shared_ptr<Http2Stream>> streams;
    std::shared_ptr<Http2Session> server;
    std::shared_ptr<BackendClient> client = BackendClient::create(context, clock, {0x7F000001, acceptor.local_endpoint().port()}, {});
};

void ignoreData(ScriptedBackend::Answer & /*answer*/) { }

BackendOutcome outcomeOf(Script script)
{
    ScriptedBackend backend(std::move(script));
    return backend.endOf(backend.start(ignoreData)).outcome;
}

}

class BackendClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BackendClientTest);
    CPPUNIT_TEST(incompleteAnswersAreNotCompleted);
    CPPUNIT_TEST(answerIsNotCompletedAfterItWasCancelled);
    CPPUNIT_TEST(lateAnswerReachesNoOtherRequest);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an answer that breaks off and reaches the caller as a success.
    void incompleteAnswersAreNotCompleted()
    {
        const auto endsEarly = [](const std::shared_ptr<Http2Stream> &stream) {
            stream->respond(answerOfTwoHalves);
            stream->send(half);
            stream->end();
        };
        CPPUNIT_ASSERT(outcomeOf(endsEarly) == BackendOutcome::MayHaveRun);
        for (const Http2Error error : {Http2Error::NoError, Http2Error::Cancel}) {
            ScriptedBackend backend([](const std::shared_ptr<Http2Stream> &stream) {
                stream->respond(answerOfTwoHalves);
                stream->send(half);
            });
            const auto answer = backend.start([&](ScriptedBackend::Answer &) {
                backend.streams.front()->reset(error);
            });
            CPPUNIT_ASSERT(backend.endOf(answer).outcome == BackendOutcome::MayHaveRun);
        }
    }

    // Guards against an answer that is given up while its last bytes arrive, and is then taken for complete without them.
    void answerIsNotCompletedAfterItWasCancelled()
    {
        ScriptedBackend backend([](const std::shared_ptr<Http2Stream> &stream) {
            stream->respond({{":status", "200"}});
            stream->send(half);
            stream->send(half);
            stream->end();
        });
        const auto answer = backend.start([](ScriptedBackend::Answer &received) {
            received.call->cancel();
        });
        CPPUNIT_ASSERT(backend.endOf(answer).outcome == BackendOutcome::MayHaveRun);
        CPPUNIT_ASSERT(answer->end->cause == ResultCode::Cancelled);
    }

    // Guards against the late answer to a request that was given up, on a connection in use again.
    void lateAnswerReachesNoOtherRequest()
    {
        ScriptedBackend backend([](const std::shared_ptr<Http2Stream> &) {});
        const auto first = backend.start(ignoreData);
        runUntil(backend.context, [&] {
            return backend.streams.size() == 1;
        });
        first->call->cancel();
        const auto second = backend.start(ignoreData);
        const auto answer = [&](std::size_t number, const Bytes &body) {
            backend.streams[number]->respond({{":status", "200"}});
            backend.streams[number]->send(body);
            backend.streams[number]->end();
        };
        answer(0, half); // crosses the cancellation
        runUntil(backend.context, [&] {
            return backend.streams.size() == 2;
        });
        answer(1, {'b'});
        CPPUNIT_ASSERT(backend.endOf(second).outcome == BackendOutcome::Completed);
        CPPUNIT_ASSERT(second->body == Bytes{'b'});
        CPPUNIT_ASSERT(backend.endOf(first).outcome == BackendOutcome::MayHaveRun);
        CPPUNIT_ASSERT(first->body.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendClientTest);
