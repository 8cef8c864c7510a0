#include "jujubequay/net/net_test_support.h"

#include <jujubequay/net/http2_message_client.h>
#include <jujubequay/net/message_server.h>

#include <cppunit/extensions/HelperMacros.h>

#include <request.pb.h>

using namespace Jujubequay;
using namespace Jujubequay::Testing;
using namespace std::chrono_literals;

namespace {

jujubequay::pb::BodyChunk chunkOf(const std::string &text)
{
    jujubequay::pb::BodyChunk chunk;
    chunk.set_data(text);
    return chunk;
}

std::string textOf(const Bytes &bytes)
{
    jujubequay::pb::BodyChunk chunk;
    CPPUNIT_ASSERT(chunk.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())));
    return chunk.data();
}

/// Records the messages that one end of a stream receives, and how the stream ended.
struct StreamRecord {
    std::vector<std::string> messages;
    std::optional<ResultCode> closed;

    MessageStreamHandlers handlers()
    {
        MessageStreamHandlers handlers;
        handlers.message = [this](const Bytes &message) {
            CPPUNIT_ASSERT(!closed);
            messages.push_back(textOf(message));
        };
        handlers.closed = [this](ResultCode code) {
            CPPUNIT_ASSERT(!closed);
            closed = code;
        };
        return handlers;
    }
};

/// A control host that accepts streams to all paths except "/refused".
struct TestServer {
    explicit TestServer(asio::io_context &context, std::shared_ptr<TlsContext> tls, MessageServerOptions options = {})
        : logger(clock)
    {
        const auto accept = [this](const std::string &path, const std::shared_ptr<MessageStream> &accepted) {
            stream = accepted;
            peer = accepted->peer();
            return path == "/refused" ? MessageStreamHandlers{} : record.handlers();
        };
        server = valueOf([&] {
            return MessageServer::listen(context, clock, logger, std::move(tls), {0x7F000001, 0}, accept, options);
        });
    }

    SteadyClock clock;
    QuietLogger logger;
    StreamRecord record;
    std::shared_ptr<MessageStream> stream;
    PeerIdentity peer;
    std::shared_ptr<MessageServer> server;
};

}

class MessageStreamTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MessageStreamTest);
    CPPUNIT_TEST(messagesPassBothWaysWithVerifiedIdentities);
    CPPUNIT_TEST(streamsShareAConnection);
    CPPUNIT_TEST(refusedPathIsReported);
    CPPUNIT_TEST(clientsWithoutValidCertificateAreRefused);
    CPPUNIT_TEST(serverOfAnotherRoleIsRefused);
    CPPUNIT_TEST(reloadAppliesToNewConnections);
    CPPUNIT_TEST(failedReloadKeepsCertificates);
    CPPUNIT_TEST(slowPeerIsDisconnected);
    CPPUNIT_TEST(oversizedMessageEndsTheStream);
    CPPUNIT_TEST(connectionAttemptsTimeOut);
    CPPUNIT_TEST(stopEndsStreamsAtBothEnds);
    CPPUNIT_TEST(plaintextStreamsCarryTheClientIdentity);
    CPPUNIT_TEST(tlsServersRefusePlainText);
    CPPUNIT_TEST_SUITE_END();

public:
    void messagesPassBothWaysWithVerifiedIdentities()
    {
        TestServer server(m_context, m_authority.context({"host-a", "control"}));
        const auto client = clientAs({"host-b", "agent"});
        StreamRecord record;
        const auto stream = client->open(server.server->address(), "/announce", record.handlers());
        stream->send(chunkOf("first"));
        stream->send(chunkOf(std::string(1U << 20U, 'x')));
        runUntil(m_context, [&] {
            return server.record.messages.size() == 2;
        });
        CPPUNIT_ASSERT_EQUAL(std::string("host-b"), server.peer.name);
        CPPUNIT_ASSERT_EQUAL(std::string("agent"), server.peer.role);
        CPPUNIT_ASSERT_EQUAL(std::string("host-a"), stream->peer().name);
        server.stream->send(chunkOf("answer"));
        server.stream->close();
        runUntil(m_context, [&] {
            return record.closed && server.record.closed;
        });
        CPPUNIT_ASSERT_EQUAL(std::string("answer"), record.messages.at(0));
        CPPUNIT_ASSERT(record.closed == ResultCode::Ok);
        CPPUNIT_ASSERT(server.record.closed == ResultCode::Ok);
        const auto sent = client->traffic().snapshot().at("/announce");
        const auto received = server.server->traffic().snapshot().at("/announce");
        CPPUNIT_ASSERT_EQUAL(sent.sentBytes, received.receivedBytes);
        CPPUNIT_ASSERT_EQUAL(sent.receivedBytes, received.sentBytes);
        CPPUNIT_ASSERT(sent.sentBytes > 1U << 20U);
    }

    void streamsShareAConnection()
    {
        TestServer server(m_context, m_authority.context({"host-a", "control"}));
        const auto client = clientAs({"host-b", "agent"});
        StreamRecord first;
        StreamRecord second;
        client->open(server.server->address(), "/watch", first.handlers())->send(chunkOf("1"));
        client->open(server.server->address(), "/announce", second.handlers())->send(chunkOf("2"));
        runUntil(m_context, [&] {
            return server.record.messages.size() == 2;
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.server->connectionCount());
    }

    void refusedPathIsReported()
    {
        TestServer server(m_context, m_authority.context({"host-a", "control"}));
        StreamRecord record;
        const auto client = clientAs({"host-b", "agent"});
        client->open(server.server->address(), "/refused", record.handlers());
        runUntil(m_context, [&] {
            return record.closed.has_value();
        });
        CPPUNIT_ASSERT(record.closed == ResultCode::NotAuthorized);
        CPPUNIT_ASSERT(server.server->traffic().snapshot().empty());
    }

    // Guards against access without a certificate or with a certificate of another authority.
    void clientsWithoutValidCertificateAreRefused()
    {
        TestServer server(m_context, m_authority.context({"host-a", "control"}));
        const TestAuthority other;
        StreamRecord record;
        // The client trusts the authority of the server, so it is the server that refuses.
        TlsFiles files = other.issue({"host-b", "agent"});
        files.authority = m_authority.files().certificate;
        const auto client = clientWith(valueOf([&] {
            return TlsContext::load(files);
        }));
        client->open(server.server->address(), "/watch", record.handlers());
        runUntil(m_context, [&] {
            return record.closed.has_value();
        });
        CPPUNIT_ASSERT(record.closed == ResultCode::NotAuthorized);

        asio::ssl::context contextWithoutCertificate(asio::ssl::context::tls_client);
        TlsStream stream(m_context, contextWithoutCertificate);
        stream.next_layer().connect(tcpEndpoint(server.server->address()));
        std::optional<asio::error_code> readError;
        std::array<char, 1> byte{};
        stream.async_handshake(asio::ssl::stream_base::client, [&](const asio::error_code &) {
            stream.async_read_some(asio::buffer(byte), [&](const asio::error_code &error, std::size_t) {
                readError = error;
            });
        });
        runUntil(m_context, [&] {
            return readError.has_value();
        });
        CPPUNIT_ASSERT(*readError);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.server->connectionCount());
        CPPUNIT_ASSERT(!server.stream);
    }

    // Guards against an agent that uses its certificate to impersonate a control host.
    void serverOfAnotherRoleIsRefused()
    {
        TestServer server(m_context, m_authority.context({"host-a", "agent"}));
        StreamRecord record;
        const auto client = clientAs({"host-b", "agent"});
        client->open(server.server->address(), "/watch", record.handlers())->send(chunkOf("secret"));
        runUntil(m_context, [&] {
            return record.closed.has_value();
        });
        CPPUNIT_ASSERT(record.closed == ResultCode::NotAuthorized);
        CPPUNIT_ASSERT(!server.stream);
    }

    void reloadAppliesToNewConnections()
    {
        const TlsFiles files = m_authority.issue({"host-a", "control"});
        const auto tls = valueOf([&] {
            return TlsContext::load(files);
        });
        TestServer server(m_context, tls);
        const auto client = clientAs({"host-b", "agent"});
        StreamRecord recordBefore;
        const auto first = client->open(server.server->address(), "/watch", recordBefore.handlers());
        first->send(chunkOf("1"));
        runUntil(m_context, [&] {
            return server.record.messages.size() == 1;
        });
        const TlsFiles renewed = m_authority.issue({"host-renewed", "control"});
        std::filesystem::rename(renewed.certificate, files.certificate);
        std::filesystem::rename(renewed.key, files.key);
        CPPUNIT_ASSERT(codeOf([&] {
                           return tls->reload();
                       })
                       == ResultCode::Ok);
        StreamRecord recordAfter;
        const auto otherClient = clientAs({"host-c", "agent"});
        const auto second = otherClient->open(server.server->address(), "/watch", recordAfter.handlers());
        second->send(chunkOf("2"));
        first->send(chunkOf("3"));
        runUntil(m_context, [&] {
            return server.record.messages.size() == 3;
        });
        CPPUNIT_ASSERT_EQUAL(std::string("host-a"), first->peer().name);
        CPPUNIT_ASSERT_EQUAL(std::string("host-renewed"), second->peer().name);
        CPPUNIT_ASSERT(!recordBefore.closed);
    }

    void failedReloadKeepsCertificates()
    {
        const TlsFiles files = m_authority.issue({"host-a", "control"});
        const auto tls = valueOf([&] {
            return TlsContext::load(files);
        });
        const auto contextBefore = tls->server();
        std::filesystem::permissions(files.key, std::filesystem::perms::owner_read | std::filesystem::perms::group_read);
        CPPUNIT_ASSERT(codeOf([&] {
                           return tls->reload();
                       })
                       == ResultCode::BadKeyFile);
        CPPUNIT_ASSERT(tls->server() == contextBefore);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, tls->generation());
    }

    // Guards against unbounded send queues when a peer stops reading.
    void slowPeerIsDisconnected()
    {
        MessageServerOptions options;
        options.http2.maxQueuedBytes = 1U << 20U;
        TestServer server(m_context, m_authority.context({"host-a", "control"}), options);
        asio::io_context clientContext;
        SteadyClock clock;
        const auto client = Http2MessageClient::create(clientContext, clock, m_logger, m_authority.context({"host-b", "agent"}));
        StreamRecord record;
        client->open(server.server->address(), "/watch", record.handlers())->send(chunkOf("hello"));
        while (server.record.messages.empty()) {
            clientContext.restart();
            clientContext.poll();
            m_context.restart();
            m_context.poll();
        }
        const auto message = chunkOf(std::string(100000, 'x'));
        while (!server.record.closed) {
            server.stream->send(message);
            CPPUNIT_ASSERT(server.stream->queuedBytes() <= options.http2.maxQueuedBytes);
            m_context.restart();
            m_context.poll();
        }
        CPPUNIT_ASSERT(server.record.closed == ResultCode::ConnectionLost);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.server->connectionCount());
    }

    void oversizedMessageEndsTheStream()
    {
        MessageServerOptions options;
        options.maxMessageBytes = 1000;
        TestServer server(m_context, m_authority.context({"host-a", "control"}), options);
        StreamRecord record;
        const auto client = clientAs({"host-b", "agent"});
        const auto stream = client->open(server.server->address(), "/watch", record.handlers());
        stream->send(chunkOf(std::string(2000, 'x')));
        runUntil(m_context, [&] {
            return record.closed && server.record.closed;
        });
        CPPUNIT_ASSERT(server.record.closed == ResultCode::MessageTooLarge);
        CPPUNIT_ASSERT(record.closed == ResultCode::ConnectionLost);
    }

    // Guards against a host that accepts TCP connections and never answers.
    void connectionAttemptsTimeOut()
    {
        asio::ip::tcp::acceptor silent(m_context, tcpEndpoint({0x7F000001, 0}));
        const auto client = Http2MessageClient::create(m_context, m_clock, m_logger, m_authority.context({"host-b", "agent"}), {.connectTimeout = 1ms});
        StreamRecord record;
        client->open(hostAddress(silent.local_endpoint()), "/watch", record.handlers());
        runUntil(m_context, [&] {
            return record.closed.has_value();
        });
        CPPUNIT_ASSERT(record.closed == ResultCode::Timeout);
    }

    void stopEndsStreamsAtBothEnds()
    {
        TestServer server(m_context, m_authority.context({"host-a", "control"}));
        StreamRecord record;
        const auto client = clientAs({"host-b", "agent"});
        client->open(server.server->address(), "/watch", record.handlers())->send(chunkOf("1"));
        runUntil(m_context, [&] {
            return server.record.messages.size() == 1;
        });
        server.server->stop();
        runUntil(m_context, [&] {
            return record.closed && server.record.closed;
        });
        CPPUNIT_ASSERT(record.closed == ResultCode::ConnectionLost);
        CPPUNIT_ASSERT(server.record.closed == ResultCode::ConnectionLost);
    }

    void plaintextStreamsCarryTheClientIdentity()
    {
        TestServer server(m_context, nullptr);
        QuietLogger logger(server.clock);
        MessageClientOptions options;
        options.plaintextIdentity = {"host-b", "agent"};
        const auto client = Http2MessageClient::create(m_context, server.clock, logger, nullptr, options);
        StreamRecord record;
        const auto stream = client->open(server.server->address(), "/announce", record.handlers());
        stream->send(chunkOf("first"));
        runUntil(m_context, [&] {
            return server.record.messages.size() == 1;
        });
        CPPUNIT_ASSERT_EQUAL(std::string("host-b"), server.peer.name);
        CPPUNIT_ASSERT_EQUAL(std::string("agent"), server.peer.role);
        client->stop();
        runUntil(m_context, [&] {
            return record.closed && server.record.closed;
        });
    }

    // Guards against a server that is configured for TLS but accepts plain text.
    void tlsServersRefusePlainText()
    {
        TestServer server(m_context, m_authority.context({"host-a", "control"}));
        QuietLogger logger(server.clock);
        const auto client = Http2MessageClient::create(m_context, server.clock, logger, nullptr, {});
        StreamRecord record;
        const auto stream = client->open(server.server->address(), "/announce", record.handlers());
        stream->send(chunkOf("first"));
        runUntil(m_context, [&] {
            return record.closed.has_value();
        });
        CPPUNIT_ASSERT(server.record.messages.empty());
    }

private:
    std::shared_ptr<Http2MessageClient> clientWith(std::shared_ptr<TlsContext> tls)
    {
        return Http2MessageClient::create(m_context, m_clock, m_logger, std::move(tls));
    }

    std::shared_ptr<Http2MessageClient> clientAs(const PeerIdentity &identity)
    {
        return clientWith(m_authority.context(identity));
    }

    SteadyClock m_clock;
    QuietLogger m_logger{m_clock};
    asio::io_context m_context;
    TestAuthority m_authority;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageStreamTest);
