#include "jujubequay/net/net_test_support.h"

#include <jujubequay/daemon/metrics.h>
#include <jujubequay/daemon/metrics_http_server.h>
#include <jujubequay/daemon/metrics_service.h>
#include <jujubequay/net/http2_message_client.h>
#include <jujubequay/net/message_server.h>

#include <asio/read.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <metrics.pb.h>

#include <thread>

using namespace Jujubequay;
using namespace Jujubequay::Testing;
using namespace std::chrono_literals;

namespace {

std::shared_ptr<Metrics> sampleMetrics()
{
    auto metrics = std::make_shared<Metrics>();
    metrics->addRequest("mill \"a\"", WorkClass::Critical, {150us, 0us, 1000});
    metrics->addRequest("mill \"a\"", WorkClass::Critical, {250us, 50us, 3000});
    metrics->addRefusal("mill \"a\"", WorkClass::Critical, ResultCode::NotRunOverloaded);
    metrics->counter("dropped_datagrams", "wrong-service") += 7;
    metrics->setGauge("open_flows", 12);
    return metrics;
}

void assertLine(const std::string &text, const std::string &line)
{
    CPPUNIT_ASSERT_MESSAGE(text + "\ndoes not contain the line " + line, text.find("\n" + line + "\n") != std::string::npos);
}

}

class MetricsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MetricsTest);
    CPPUNIT_TEST(textContainsHistogramsAndCounters);
    CPPUNIT_TEST(numberOfCustomersIsLimited);
    CPPUNIT_TEST(snapshotsAreConsistentDuringConcurrentRecords);
    CPPUNIT_TEST(metricsAreServedOnControlStreams);
    CPPUNIT_TEST(metricsAreServedOverHttp);
    CPPUNIT_TEST_SUITE_END();

public:
    void textContainsHistogramsAndCounters()
    {
        const std::string text = prometheusText(sampleMetrics()->snapshot());
        const std::string labels = "customer=\"mill \\\"a\\\"\",class=\"critical\"";
        assertLine(text, "jujubequay_request_seconds_bucket{" + labels + ",le=\"0.0002\"} 1");
        assertLine(text, "jujubequay_request_seconds_bucket{" + labels + ",le=\"0.0004\"} 2");
        assertLine(text, "jujubequay_request_seconds_bucket{" + labels + ",le=\"+Inf\"} 2");
        assertLine(text, "jujubequay_queue_wait_seconds_bucket{" + labels + ",le=\"0.0002\"} 2");
        assertLine(text, "jujubequay_answer_bytes_sum{" + labels + "} 4000");
        assertLine(text, "jujubequay_refused_total{" + labels + ",cause=\"NotRunOverloaded\"} 1");
        assertLine(text, "jujubequay_dropped_datagrams_total{cause=\"wrong-service\"} 7");
        assertLine(text, "jujubequay_open_flows 12");
    }

    // Guards against memory use that grows without bound when callers send ever new customer names.
    void numberOfCustomersIsLimited()
    {
        Metrics metrics(2);
        for (int customer = 0; customer < 100; ++customer) {
            metrics.addRequest("customer-" + std::to_string(customer), WorkClass::Bulk, {1ms, 0ms, 1});
        }
        const auto snapshot = metrics.snapshot();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, snapshot.requests.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{98}, snapshot.requests.at({"other", WorkClass::Bulk}).seconds.count());
    }

    void snapshotsAreConsistentDuringConcurrentRecords()
    {
        constexpr int requests = 20000;
        Metrics metrics;
        std::thread recorder([&metrics] {
            for (int index = 0; index < requests; ++index) {
                metrics.addRequest("a", WorkClass::Feed, {1ms, 0ms, 1});
            }
        });
        std::uint64_t recordedRequests = 0;
        while (recordedRequests < requests) {
            for (const auto &[key, request] : metrics.snapshot().requests) {
                recordedRequests = request.seconds.count();
                CPPUNIT_ASSERT_EQUAL(recordedRequests, request.bytes.count());
            }
        }
        recorder.join();
    }

    void metricsAreServedOnControlStreams()
    {
        const TestAuthority authority;
        const SteadyClock clock;
        QuietLogger logger(clock);
        asio::io_context context;
        const MetricsService service(sampleMetrics());
        const auto server = valueOf([&] {
            const auto accept = [&](const std::string &path, const std::shared_ptr<MessageStream> &stream) {
                return path == "/metrics" ? service.accept(stream) : MessageStreamHandlers{};
            };
            return MessageServer::listen(context, clock, logger, authority.context({"host-a", "balancer"}), {0x7F000001, 0}, accept);
        });
        const auto client = Http2MessageClient::create(context, clock, logger, authority.context({"amina", "operator"}));
        std::string text;
        std::optional<ResultCode> closed;
        MessageStreamHandlers handlers;
        handlers.message = [&text](const Bytes &message) {
            jujubequay::pb::MetricsPart part;
            CPPUNIT_ASSERT(part.ParseFromArray(message.data(), static_cast<int>(message.size())));
            text += part.text();
        };
        handlers.closed = [&closed](ResultCode code) {
            closed = code;
        };
        client->open(server->address(), "/metrics", handlers);
        runUntil(context, [&] {
            return closed.has_value();
        });
        CPPUNIT_ASSERT(closed == ResultCode::Ok);
        CPPUNIT_ASSERT_EQUAL(prometheusText(sampleMetrics()->snapshot()), text);
    }

    void metricsAreServedOverHttp()
    {
        asio::io_context context;
        SteadyClock clock;
        QuietLogger logger(clock);
        const auto server = valueOf([&] {
            return listenForMetrics(context, logger, {0x7F000001, 0}, sampleMetrics());
        });
        assertLine(get(context, server->address(), "GET /metrics HTTP/1.1\r\nHost: test\r\n\r\n"), "jujubequay_open_flows 12");
        CPPUNIT_ASSERT(get(context, server->address(), "GET / HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 404"));
        CPPUNIT_ASSERT(get(context, server->address(), "POST /metrics HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 405"));
        CPPUNIT_ASSERT(codeOf([&] {
                           return listenForMetrics(context, logger, {0xC0000201, 80}, sampleMetrics());
                       })
                       == ResultCode::AddressUnavailable);
    }

private:
    static std::string get(asio::io_context &context, const HostAddress &address, const std::string &request)
    {
        asio::ip::tcp::socket socket(context);
        socket.connect(tcpEndpoint(address));
        asio::write(socket, asio::buffer(request));
        std::string answer;
        bool isClosed = false;
        asio::async_read(socket, asio::dynamic_buffer(answer), [&isClosed](const asio::error_code &, std::size_t) {
            isClosed = true;
        });
        runUntil(context, [&] {
            return isClosed;
        });
        return answer;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);
