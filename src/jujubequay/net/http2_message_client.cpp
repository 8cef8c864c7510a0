#include "jujubequay/net/endpoint.h"
#include "jujubequay/net/http2_message_stream.h"
#include "jujubequay/net/peer_identity.h"
#include "jujubequay/net/socket_transport.h"

#include <jujubequay/net/http2_message_client.h>

#include <asio/post.hpp>

namespace Jujubequay {

struct Http2MessageClient::Connection {
    Connection(asio::io_context &context, const HostAddress &address, const TlsContext *tls)
        : address(address)
        , generation(tls == nullptr ? 0 : tls->generation())
        , timer(context)
        , peer(std::make_shared<PeerIdentity>())
    {
        if (tls == nullptr) {
            plain = std::make_shared<asio::ip::tcp::socket>(context);
        } else {
            secure = std::make_shared<TlsStream>(context, *tls->client());
        }
    }

    asio::ip::tcp::socket::lowest_layer_type &socket()
    {
        return plain ? plain->lowest_layer() : secure->lowest_layer();
    }

    HostAddress address;
    std::uint64_t generation; ///< generation of the TlsContext when the connection was created
    std::shared_ptr<TlsStream> secure; ///< null without TLS
    std::shared_ptr<asio::ip::tcp::socket> plain; ///< null with TLS
    asio::steady_timer timer;
    std::shared_ptr<PeerIdentity> peer; ///< identity of the server; empty until the TLS handshake is complete
    std::shared_ptr<Http2Session> session;
    std::vector<std::string> uncheckedPaths; ///< paths of streams opened before the identity of the server is verified
    bool isReady = false; ///< connected, and the server is verified
};

bool isExpectedServer(const PeerIdentity &server, const std::string &path)
{
    if (path == "/metrics") {
        return true;
    }
    return server.role == (path == "/peer" ? "balancer" : "control");
}

std::shared_ptr<Http2MessageClient> Http2MessageClient::create(
    asio::io_context &context, const Clock &clock, Logger &logger, std::shared_ptr<TlsContext> tls, MessageClientOptions options)
{
    return std::shared_ptr<Http2MessageClient>(new Http2MessageClient(context, clock, logger, std::move(tls), std::move(options)));
}

Http2MessageClient::Http2MessageClient(
    asio::io_context &context, const Clock &clock, Logger &logger, std::shared_ptr<TlsContext> tls, MessageClientOptions options)
    : m_context(context)
    , m_clock(clock)
    , m_logger(logger)
    , m_tls(std::move(tls))
    , m_options(std::move(options))
{
}

Http2MessageClient::~Http2MessageClient()
{
    stop();
}

TrafficCounters &Http2MessageClient::traffic()
{
    return m_traffic;
}

void Http2MessageClient::stop()
{
    const auto connections = m_connections;
    for (const auto &[key, connection] : connections) {
        connection->session->abort(ResultCode::ConnectionLost);
    }
}

std::shared_ptr<MessageStream> Http2MessageClient::open(const HostAddress &address, const std::string &path, MessageStreamHandlers handlers)
{
    const auto connection = connectionTo(address);
    auto messageStream
        = std::make_shared<Http2MessageStream>(Http2MessageStream::Context{path, m_options.maxMessageBytes, connection->peer, m_traffic, m_logger});
    messageStream->setHandlers(std::move(handlers));
    messageStream->awaitAcceptance();
    const auto session = connection->session;
    Http2StreamHandlers http2 = messageStream->http2Handlers();
    http2.closed = [notifyClosed = std::move(http2.closed), weak = std::weak_ptr(connection)](const Http2StreamEnd &end) {
        notifyClosed(end);
        const auto owner = weak.lock();
        if (owner && owner->session->streamCount() == 0) {
            owner->isReady ? owner->session->drain() : owner->session->abort(ResultCode::Ok);
        }
    };
    HttpHeaders headers{{":method", "POST"}, {":scheme", m_tls ? "https" : "http"}, {":authority", toString(address)}, {":path", path}};
    if (!m_tls) {
        headers.push_back({std::string(plaintextNameHeader), m_options.plaintextIdentity.name});
        headers.push_back({std::string(plaintextRoleHeader), m_options.plaintextIdentity.role});
    }
    messageStream->attach(session->request(headers, std::move(http2)));
    m_traffic.addStream(path);
    if (!m_tls) {
        return messageStream;
    }
    if (!connection->isReady) {
        connection->uncheckedPaths.push_back(path);
    } else if (!m_options.isExpected(*connection->peer, path)) {
        messageStream->fail(ResultCode::NotAuthorized);
    }
    return messageStream;
}

std::shared_ptr<Http2MessageClient::Connection> Http2MessageClient::connectionTo(const HostAddress &address)
{
    if (m_options.sharesConnections) {
        const std::uint64_t generation = m_tls ? m_tls->generation() : 0;
        for (const auto &[key, connection] : m_connections) {
            if (connection->address == address && connection->generation == generation && connection->session->acceptsRequests()) {
                return connection;
            }
        }
    }
    auto connection = std::make_shared<Connection>(m_context, address, m_tls.get());
    Http2SessionHandlers handlers;
    handlers.closed = [weak = weak_from_this(), closed = connection.get()](ResultCode) {
        if (const auto self = weak.lock()) {
            closed->timer.cancel();
            asio::error_code ignored;
            closed->socket().close(ignored);
            self->m_connections.erase(closed);
        }
    };
    connection->session = Http2Session::create(m_context, m_clock, Http2Session::Role::Client, m_options.http2, std::move(handlers));
    m_connections.emplace(connection.get(), connection);
    connect(connection);
    return connection;
}

void Http2MessageClient::connect(const std::shared_ptr<Connection> &connection)
{
    connection->timer.expires_after(m_options.connectTimeout);
    connection->timer.async_wait([connection](const asio::error_code &error) {
        if (!error && !connection->isReady) {
            connection->session->abort(ResultCode::Timeout);
        }
    });
    const auto onHandshake = [weak = weak_from_this(), connection](const asio::error_code &error) {
        const auto self = weak.lock();
        if (error || !self) {
            connection->session->abort(error.category() == asio::error::get_ssl_category() ? ResultCode::NotAuthorized : ResultCode::ConnectionLost);
            return;
        }
        SSL *tls = connection->secure->native_handle();
        *connection->peer = peerIdentity(tls);
        bool isExpected = hasNegotiatedHttp2(tls);
        for (const std::string &path : connection->uncheckedPaths) {
            isExpected = isExpected && self->m_options.isExpected(*connection->peer, path);
        }
        connection->uncheckedPaths.clear();
        if (!isExpected) {
            self->m_logger.warning("server-refused", {{"address", toString(connection->address)}, {"role", connection->peer->role}});
            connection->session->abort(ResultCode::NotAuthorized);
            return;
        }
        connection->isReady = true;
        connection->timer.cancel();
        connection->session->start(std::make_unique<SocketTransport<TlsStream>>(connection->secure));
    };
    connection->socket().async_connect(tcpEndpoint(connection->address), [connection, onHandshake](const asio::error_code &error) {
        if (error) {
            connection->session->abort(ResultCode::ConnectionLost);
            return;
        }
        asio::error_code ignored;
        connection->socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        if (connection->plain) {
            connection->isReady = true;
            connection->timer.cancel();
            connection->session->start(std::make_unique<SocketTransport<asio::ip::tcp::socket>>(connection->plain));
            return;
        }
        connection->secure->async_handshake(asio::ssl::stream_base::client, onHandshake);
    });
}

}
