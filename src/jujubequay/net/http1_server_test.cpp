#include "jujubequay/net/net_test_support.h"

#include <jujubequay/net/http1_server.h>

#include <asio/read.hpp>
#include <asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace Jujubequay;
using namespace Jujubequay::Testing;

class Http1ServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(Http1ServerTest);
    CPPUNIT_TEST(answersPipelinedRequestsInOrder);
    CPPUNIT_TEST(readsBodyInSeveralPieces);
    CPPUNIT_TEST(sendsRedirect);
    CPPUNIT_TEST(refusesMalformedRequest);
    CPPUNIT_TEST(refusesTooLargeBody);
    CPPUNIT_TEST_SUITE_END();

    asio::io_context m_context;
    SteadyClock m_clock;
    QuietLogger m_logger{m_clock};
    Http1Response m_response;
    std::vector<Http1Request> m_requests;

    /// Sends the pieces one after the other. Returns the bytes that the server sends until it closes the connection or has sent `length` bytes.
    std::string exchange(const std::vector<std::string> &pieces, std::size_t length)
    {
        const auto handler = [this](Http1Request request, const Http1Server::Respond &respond) {
            m_requests.push_back(std::move(request));
            respond(m_response);
        };
        const auto server = valueOf([&] {
            return Http1Server::listen(m_context, m_logger, {0x7F000001, 0}, handler, {.maxBodyBytes = 100});
        });
        asio::ip::tcp::socket client(m_context);
        client.connect(tcpEndpoint(server->address()));
        for (const std::string &piece : pieces) {
            asio::write(client, asio::buffer(piece));
            m_context.restart();
            m_context.poll();
        }
        std::string response(length, ' ');
        std::optional<std::size_t> received;
        asio::async_read(client, asio::buffer(response), [&received](const asio::error_code &, std::size_t bytes) {
            received = bytes;
        });
        runUntil(m_context, [&received] {
            return received.has_value();
        });
        server->stop();
        m_context.restart();
        m_context.poll();
        return response.substr(0, *received);
    }

public:
    void answersPipelinedRequestsInOrder()
    {
        m_response.body = "{}";
        const std::string oneResponse = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";
        CPPUNIT_ASSERT_EQUAL(oneResponse + oneResponse, exchange({"GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n"}, 2 * oneResponse.size()));
        CPPUNIT_ASSERT_EQUAL(std::string("/b"), m_requests.at(1).target);
    }

    void readsBodyInSeveralPieces()
    {
        exchange({"POST /a HT", "TP/1.1\r\nContent-Length: 6\r\n\r\nabc", "def"}, 20);
        CPPUNIT_ASSERT_EQUAL(std::string("abcdef"), m_requests.at(0).body);
        CPPUNIT_ASSERT_EQUAL(std::string("POST"), m_requests.at(0).method);
    }

    void sendsRedirect()
    {
        m_response.status = 307;
        m_response.location = "http://10.0.0.4:8080/path";
        const std::string response = exchange({"POST /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n"}, 80);
        CPPUNIT_ASSERT(response.find("307 Temporary Redirect\r\nLocation: http://10.0.0.4:8080/path\r\n") != std::string::npos);
    }

    void refusesMalformedRequest()
    {
        CPPUNIT_ASSERT(exchange({"\x16\x03\x01 hello\r\n\r\n"}, 1000).starts_with("HTTP/1.1 400 "));
        CPPUNIT_ASSERT(m_requests.empty());
    }

    void refusesTooLargeBody()
    {
        CPPUNIT_ASSERT(exchange({"POST /a HTTP/1.1\r\nContent-Length: 200\r\n\r\n" + std::string(200, 'x')}, 1000).starts_with("HTTP/1.1 413 "));
        CPPUNIT_ASSERT(m_requests.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(Http1ServerTest);
