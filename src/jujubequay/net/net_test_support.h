#pragma once

#include "jujubequay/net/endpoint.h"
#include "jujubequay/net/socket_transport.h"

#include <jujubequay/core/clock.h>
#include <jujubequay/core/log.h>
#include <jujubequay/net/certificate.h>
#include <jujubequay/net/http2_session.h>
#include <jujubequay/net/tls_context.h>

#include <cppunit/TestAssert.h>

#include <cstdlib>
#include <string>

namespace Jujubequay::Testing {

/// Returns the value of a result. A failure fails the test with its detail text.
template<class Operation>
auto valueOf(Operation &&operation)
{
    using Value = std::decay_t<decltype(operation().value())>;
    std::optional<Value> value;
    handleFailure(
        [&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(value, operation());
            return {};
        },
        [](const Failure &failure) {
            CPPUNIT_FAIL(failure.detail);
        });
    return std::move(*value);
}

/// Returns the code with which an operation fails, or Ok if it succeeds.
template<class Operation>
ResultCode codeOf(Operation &&operation)
{
    return handleFailure(
        [&]() -> Result<ResultCode> {
            BOOST_LEAF_CHECK(operation());
            return ResultCode::Ok;
        },
        [](const Failure &failure) {
            return failure.code;
        });
}

/// Creates a directory and removes it in the destructor.
class TemporaryDirectory
{
public:
    TemporaryDirectory()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "jujubequay-XXXXXX").string();
        m_path = mkdtemp(pattern.data());
    }
    ~TemporaryDirectory()
    {
        std::filesystem::remove_all(m_path);
    }
    TemporaryDirectory(const TemporaryDirectory &) = delete;
    TemporaryDirectory &operator=(const TemporaryDirectory &) = delete;

    const std::filesystem::path &path() const
    {
        return m_path;
    }

private:
    std::filesystem::path m_path;
};

/// A certificate authority and the certificates that it has issued, in a temporary directory.
class TestAuthority
{
public:
    TestAuthority()
        : m_authority(valueOf([this] {
            return createCertificateAuthority(m_directory.path(), "test-authority");
        }))
    {
    }

    TlsFiles issue(const PeerIdentity &identity) const
    {
        const CertificateFiles files = valueOf([&] {
            return issueCertificate(m_authority, identity, m_directory.path());
        });
        return {m_authority.certificate, files.certificate, files.key};
    }

    std::shared_ptr<TlsContext> context(const PeerIdentity &identity) const
    {
        const TlsFiles files = issue(identity);
        return valueOf([&] {
            return TlsContext::load(files);
        });
    }

    const CertificateFiles &files() const
    {
        return m_authority;
    }

private:
    TemporaryDirectory m_directory;
    CertificateFiles m_authority;
};

/// A logger that prints errors only, so that expected warnings do not clutter the output of tests.
class QuietLogger final : public Logger
{
public:
    explicit QuietLogger(const Clock &clock)
        : Logger(clock, {"test", "host-a", "zone-a"}, {.level = LogLevel::Error})
    {
    }
};

/// Runs handlers until the condition holds. If it never does, the time limit of the test program ends the test.
template<class Condition>
void runUntil(asio::io_context &context, Condition condition)
{
    while (!condition()) {
        context.restart();
        context.run_one();
    }
}

/// A client and a server session connected over loopback.
struct SessionPair {
    SessionPair(Http2Options options, Http2Acceptor accept)
    {
        asio::ip::tcp::acceptor acceptor(context, tcpEndpoint({0x7F000001, 0}));
        auto clientSocket = std::make_shared<asio::ip::tcp::socket>(context);
        clientSocket->connect(acceptor.local_endpoint());
        auto serverSocket = std::make_shared<asio::ip::tcp::socket>(acceptor.accept());
        Http2SessionHandlers clientHandlers;
        clientHandlers.draining = [this] {
            isClientDraining = true;
        };
        clientHandlers.closed = [this](ResultCode cause) {
            clientClosed = cause;
        };
        Http2SessionHandlers serverHandlers;
        serverHandlers.accept = std::move(accept);
        serverHandlers.closed = [this](ResultCode cause) {
            serverClosed = cause;
        };
        client = Http2Session::create(context, clock, Http2Session::Role::Client, options, std::move(clientHandlers));
        server = Http2Session::create(context, clock, Http2Session::Role::Server, options, std::move(serverHandlers));
        client->start(std::make_unique<SocketTransport<asio::ip::tcp::socket>>(clientSocket));
        server->start(std::make_unique<SocketTransport<asio::ip::tcp::socket>>(serverSocket));
    }

    SteadyClock clock;
    asio::io_context context;
    std::shared_ptr<Http2Session> client;
    std::shared_ptr<Http2Session> server;
    bool isClientDraining = false;
    std::optional<ResultCode> clientClosed;
    std::optional<ResultCode> serverClosed;
};

}
