#include "jujubequay/net/net_test_support.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace Jujubequay;
using namespace Jujubequay::Testing;
using namespace std::chrono_literals;

namespace {

const HttpHeaders getRequest{{":method", "GET"}, {":scheme", "http"}, {":authority", "test"}, {":path", "/"}};

std::vector<std::uint8_t> randomBytes(std::size_t length)
{
    std::mt19937_64 random(7);
    std::vector<std::uint8_t> bytes(length);
    for (std::uint8_t &byte : bytes) {
        byte = static_cast<std::uint8_t>(random());
    }
    return bytes;
}

/// Echoes the request body and sends its number of bytes as a trailer.
Http2StreamHandlers echo(const HttpHeaders &, const std::shared_ptr<Http2Stream> &stream)
{
    stream->respond({{":status", "200"}});
    auto count = std::make_shared<std::size_t>(0);
    Http2StreamHandlers handlers;
    handlers.data = [weak = std::weak_ptr(stream), count](std::span<const std::uint8_t> data) {
        const auto open = weak.lock();
        *count += data.size();
        CPPUNIT_ASSERT(open->send(data));
        open->consume(data.size());
    };
    handlers.end = [weak = std::weak_ptr(stream), count](const HttpHeaders &) {
        weak.lock()->end({{"count", std::to_string(*count)}});
    };
    return handlers;
}

/// Accepts a request and never answers.
Http2StreamHandlers keepOpen(const HttpHeaders &, const std::shared_ptr<Http2Stream> &)
{
    Http2StreamHandlers handlers;
    handlers.closed = [](const Http2StreamEnd &) {};
    return handlers;
}

Http2StreamHandlers storeEnd(std::optional<Http2StreamEnd> &out)
{
    Http2StreamHandlers handlers;
    handlers.closed = [&out](const Http2StreamEnd &end) {
        out = end;
    };
    return handlers;
}

}

class Http2SessionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(Http2SessionTest);
    CPPUNIT_TEST(largeBodyIsEchoedUnchanged);
    CPPUNIT_TEST(unconsumedDataBlocksTheSender);
    CPPUNIT_TEST(refusedRequestIsNotStarted);
    CPPUNIT_TEST(cancelledRequestMayHaveRun);
    CPPUNIT_TEST(unsentRequestIsNotStarted);
    CPPUNIT_TEST(requestAboveTheStreamLimitIsNotStarted);
    CPPUNIT_TEST(drainFinishesOpenStreams);
    CPPUNIT_TEST(oversizedHeadersAreRefused);
    CPPUNIT_TEST(unresponsivePeerEndsTheSession);
    CPPUNIT_TEST(invalidPrefaceEndsTheSession);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against lost or reordered bytes and against flow control credit that is not returned. The body is much larger than the windows.
    void largeBodyIsEchoedUnchanged()
    {
        SessionPair pair({.streamWindowBytes = 70000, .connectionWindowBytes = 100000, .maxQueuedBytes = 4U << 20U}, echo);
        const auto body = randomBytes(3U << 20U);
        std::vector<std::uint8_t> received;
        std::string count;
        std::optional<Http2StreamEnd> end;
        std::shared_ptr<Http2Stream> stream;
        Http2StreamHandlers handlers = storeEnd(end);
        handlers.data = [&](std::span<const std::uint8_t> data) {
            received.insert(received.end(), data.begin(), data.end());
            stream->consume(data.size());
        };
        handlers.end = [&](const HttpHeaders &trailers) {
            count = headerValue(trailers, "count");
        };
        stream = pair.client->request(getRequest, handlers);
        CPPUNIT_ASSERT(stream->send(body));
        stream->end();
        runUntil(pair.context, [&] {
            return end.has_value();
        });
        CPPUNIT_ASSERT(end->isComplete);
        CPPUNIT_ASSERT(received == body);
        CPPUNIT_ASSERT_EQUAL(std::to_string(body.size()), count);
    }

    // Guards against unbounded buffers at the receiver and at the sender when the receiver does not consume data.
    void unconsumedDataBlocksTheSender()
    {
        constexpr std::size_t window = 70000;
        std::size_t received = 0;
        std::shared_ptr<Http2Stream> accepted;
        SessionPair pair({.streamWindowBytes = window, .maxQueuedBytes = 100000}, [&](const HttpHeaders &, const std::shared_ptr<Http2Stream> &stream) {
            accepted = stream;
            Http2StreamHandlers handlers;
            handlers.data = [&](std::span<const std::uint8_t> data) {
                received += data.size();
            };
            return handlers;
        });
        bool isWritable = false;
        Http2StreamHandlers handlers;
        handlers.writable = [&] {
            isWritable = true;
        };
        const auto stream = pair.client->request(getRequest, handlers);
        // The initial window before SETTINGS is 65,535 bytes, so wait until the request has arrived.
        runUntil(pair.context, [&] {
            return accepted != nullptr;
        });
        const std::vector<std::uint8_t> block(10000, 1);
        std::size_t acceptedBytes = 0;
        while (received < window) {
            acceptedBytes += stream->send(block) ? block.size() : 0;
            pair.context.restart();
            pair.context.run_one();
        }
        while (stream->send(block)) {
            acceptedBytes += block.size();
        }
        CPPUNIT_ASSERT_EQUAL(window, received);
        CPPUNIT_ASSERT_EQUAL(acceptedBytes, received + stream->queuedBytes());
        CPPUNIT_ASSERT(stream->queuedBytes() <= 100000);
        isWritable = false;
        accepted->consume(received);
        runUntil(pair.context, [&] {
            return isWritable && received > window;
        });
    }

    void refusedRequestIsNotStarted()
    {
        SessionPair pair({}, [](const HttpHeaders &, const std::shared_ptr<Http2Stream> &) {
            return Http2StreamHandlers{};
        });
        std::optional<Http2StreamEnd> end;
        pair.client->request(getRequest, storeEnd(end));
        runUntil(pair.context, [&] {
            return end.has_value();
        });
        CPPUNIT_ASSERT(end->isNotStarted);
        CPPUNIT_ASSERT(!end->isComplete);
    }

    // Guards against a request that is reported as not started although the server has received it.
    void cancelledRequestMayHaveRun()
    {
        bool isAccepted = false;
        std::optional<Http2StreamEnd> serverEnd;
        SessionPair pair({}, [&](const HttpHeaders &, const std::shared_ptr<Http2Stream> &) {
            isAccepted = true;
            return storeEnd(serverEnd);
        });
        std::optional<Http2StreamEnd> end;
        const auto stream = pair.client->request(getRequest, storeEnd(end));
        runUntil(pair.context, [&] {
            return isAccepted;
        });
        stream->reset(Http2Error::RefusedStream);
        CPPUNIT_ASSERT_MESSAGE("handlers are not called from within a call", !end);
        runUntil(pair.context, [&] {
            return end && serverEnd;
        });
        CPPUNIT_ASSERT(!end->isNotStarted);
        CPPUNIT_ASSERT(!serverEnd->isComplete);
    }

    void unsentRequestIsNotStarted()
    {
        SteadyClock clock;
        asio::io_context context;
        std::optional<Http2StreamEnd> end;
        const auto session = Http2Session::create(context, clock, Http2Session::Role::Client, {}, {});
        session->request(getRequest, storeEnd(end));
        session->abort(ResultCode::Timeout);
        runUntil(context, [&] {
            return end.has_value();
        });
        CPPUNIT_ASSERT(end->isNotStarted);
        CPPUNIT_ASSERT(end->cause == ResultCode::Timeout);
    }

    // Guards against requests that wait because of the stream limit and are neither sent nor reported as failed when the server drains.
    void requestAboveTheStreamLimitIsNotStarted()
    {
        std::vector<std::shared_ptr<Http2Stream>> accepted;
        SessionPair pair({.maxStreams = 1}, [&](const HttpHeaders &request, const std::shared_ptr<Http2Stream> &stream) {
            accepted.push_back(stream);
            return keepOpen(request, stream);
        });
        std::optional<Http2StreamEnd> firstEnd;
        const auto first = pair.client->request(getRequest, storeEnd(firstEnd));
        runUntil(pair.context, [&] {
            return accepted.size() == 1;
        });
        std::optional<Http2StreamEnd> end;
        pair.client->request(getRequest, storeEnd(end));
        pair.server->drain();
        runUntil(pair.context, [&] {
            return end.has_value();
        });
        CPPUNIT_ASSERT(end->isNotStarted);
        CPPUNIT_ASSERT(!firstEnd);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, accepted.size());
    }

    // Guards against downloads that a graceful shutdown truncates. One cause is a TCP reset: closing a socket with unread bytes, such as
    // WINDOW_UPDATE frames, discards data that the peer has not read yet.
    void drainFinishesOpenStreams()
    {
        std::shared_ptr<Http2Stream> accepted;
        SessionPair pair({}, [&](const HttpHeaders &request, const std::shared_ptr<Http2Stream> &stream) {
            accepted = stream;
            stream->respond({{":status", "200"}});
            return keepOpen(request, stream);
        });
        std::optional<Http2StreamEnd> end;
        std::size_t received = 0;
        Http2StreamHandlers handlers = storeEnd(end);
        std::shared_ptr<Http2Stream> stream;
        handlers.data = [&](std::span<const std::uint8_t> data) {
            received += data.size();
            stream->consume(data.size());
        };
        stream = pair.client->request(getRequest, handlers);
        stream->end();
        runUntil(pair.context, [&] {
            return accepted != nullptr;
        });
        pair.server->drain();
        runUntil(pair.context, [&] {
            return pair.isClientDraining;
        });
        CPPUNIT_ASSERT(!pair.client->acceptsRequests());
        CPPUNIT_ASSERT(!pair.client->request(getRequest, {}));
        CPPUNIT_ASSERT(accepted->send(std::vector<std::uint8_t>(200000, 1)));
        accepted->end();
        runUntil(pair.context, [&] {
            return pair.clientClosed && pair.serverClosed;
        });
        CPPUNIT_ASSERT(end && end->isComplete);
        CPPUNIT_ASSERT_EQUAL(std::size_t{200000}, received);
        CPPUNIT_ASSERT(pair.clientClosed == ResultCode::Ok);
        CPPUNIT_ASSERT(pair.serverClosed == ResultCode::Ok);
    }

    // Guards against unbounded memory for the request headers of a peer.
    void oversizedHeadersAreRefused()
    {
        bool isAccepted = false;
        SessionPair pair({.maxHeaderBytes = 1000}, [&](const HttpHeaders &request, const std::shared_ptr<Http2Stream> &stream) {
            isAccepted = true;
            return keepOpen(request, stream);
        });
        HttpHeaders request = getRequest;
        request.push_back({"filler", std::string(2000, 'x')});
        std::optional<Http2StreamEnd> end;
        pair.client->request(request, storeEnd(end));
        runUntil(pair.context, [&] {
            return end.has_value();
        });
        CPPUNIT_ASSERT(!isAccepted);
        CPPUNIT_ASSERT(!end->isComplete);
    }

    // Guards against streams that stay open after the host of the peer has become unresponsive.
    void unresponsivePeerEndsTheSession()
    {
        SteadyClock clock;
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor(context, tcpEndpoint({0x7F000001, 0}));
        auto socket = std::make_shared<asio::ip::tcp::socket>(context);
        socket->connect(acceptor.local_endpoint());
        std::optional<ResultCode> closed;
        Http2SessionHandlers sessionHandlers;
        sessionHandlers.closed = [&](ResultCode cause) {
            closed = cause;
        };
        const Http2Options options{.keepAlive = {.interval = 1ms, .timeout = 1ms}};
        const auto session = Http2Session::create(context, clock, Http2Session::Role::Client, options, sessionHandlers);
        std::optional<Http2StreamEnd> end;
        session->request(getRequest, storeEnd(end));
        session->start(std::make_unique<SocketTransport<asio::ip::tcp::socket>>(socket));
        runUntil(context, [&] {
            return closed.has_value();
        });
        CPPUNIT_ASSERT(closed == ResultCode::Timeout);
        CPPUNIT_ASSERT(end && end->cause == ResultCode::Timeout && !end->isNotStarted);
    }

    void invalidPrefaceEndsTheSession()
    {
        SteadyClock clock;
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor(context, tcpEndpoint({0x7F000001, 0}));
        asio::ip::tcp::socket client(context);
        client.connect(acceptor.local_endpoint());
        std::optional<ResultCode> closed;
        Http2SessionHandlers handlers;
        handlers.closed = [&](ResultCode cause) {
            closed = cause;
        };
        const auto session = Http2Session::create(context, clock, Http2Session::Role::Server, {}, handlers);
        session->start(std::make_unique<SocketTransport<asio::ip::tcp::socket>>(std::make_shared<asio::ip::tcp::socket>(acceptor.accept())));
        asio::write(client, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: test\r\n\r\n")));
        runUntil(context, [&] {
            return closed.has_value();
        });
        CPPUNIT_ASSERT(closed == ResultCode::ProtocolError);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(Http2SessionTest);
