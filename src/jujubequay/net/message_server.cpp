#include "jujubequay/net/endpoint.h"
#include "jujubequay/net/http2_message_stream.h"
#include "jujubequay/net/peer_identity.h"
#include "jujubequay/net/socket_transport.h"

#include <jujubequay/net/message_server.h>

namespace Jujubequay {

struct MessageServer::Handshake {
    std::shared_ptr<TlsStream> stream;
    asio::steady_timer timer;
};

Result<std::shared_ptr<MessageServer>> MessageServer::listen(asio::io_context &context,
                                                             const Clock &clock,
                                                             Logger &logger,
                                                             std::shared_ptr<TlsContext> tls,
                                                             const HostAddress &address,
                                                             MessageStreamAcceptor accept,
                                                             MessageServerOptions options)
{
    std::shared_ptr<MessageServer> server(new MessageServer(context, clock, logger, std::move(tls), std::move(accept), options));
    const auto onAccept = [weak = server->weak_from_this()](asio::ip::tcp::socket socket) {
        if (const auto self = weak.lock()) {
            self->acceptConnection(std::move(socket));
        }
    };
    BOOST_LEAF_ASSIGN(server->m_acceptLoop, AcceptLoop::listen(context, logger, address, onAccept));
    return server;
}

MessageServer::MessageServer(
    asio::io_context &context, const Clock &clock, Logger &logger, std::shared_ptr<TlsContext> tls, MessageStreamAcceptor accept, MessageServerOptions options)
    : m_context(context)
    , m_clock(clock)
    , m_logger(logger)
    , m_tls(std::move(tls))
    , m_accept(std::move(accept))
    , m_options(options)
{
}

HostAddress MessageServer::address() const
{
    return m_acceptLoop->address();
}

std::size_t MessageServer::connectionCount() const
{
    return m_sessions.size();
}

TrafficCounters &MessageServer::traffic()
{
    return m_traffic;
}

void MessageServer::stop()
{
    m_isStopped = true;
    asio::error_code ignored;
    m_acceptLoop->stop();
    for (const auto &handshake : m_handshakes) {
        handshake->timer.cancel();
        handshake->stream->lowest_layer().close(ignored);
    }
    closeConnections();
}

void MessageServer::closeConnections()
{
    for (const auto &session : m_sessions) {
        session->abort(ResultCode::ConnectionLost);
    }
}

void MessageServer::acceptConnection(asio::ip::tcp::socket socket)
{
    if (m_sessions.size() + m_handshakes.size() >= m_options.maxConnections) {
        m_logger.warning("connection-limit-reached", {{"limit", m_options.maxConnections}});
        return;
    }
    if (!m_tls) {
        startSession(std::nullopt, std::make_unique<SocketTransport<asio::ip::tcp::socket>>(std::make_shared<asio::ip::tcp::socket>(std::move(socket))));
        return;
    }
    const auto tls = m_tls->server();
    auto handshake = std::make_shared<Handshake>(Handshake{std::make_shared<TlsStream>(std::move(socket), *tls), asio::steady_timer(m_context)});
    m_handshakes.insert(handshake);
    handshake->timer.expires_after(m_options.handshakeTimeout);
    handshake->timer.async_wait([handshake](const asio::error_code &error) {
        if (!error) {
            asio::error_code closeError;
            handshake->stream->lowest_layer().close(closeError);
        }
    });
    handshake->stream->async_handshake(asio::ssl::stream_base::server, [weak = weak_from_this(), handshake](const asio::error_code &error) {
        handshake->timer.cancel();
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        self->m_handshakes.erase(handshake);
        if (error) {
            self->m_logger.warning("handshake-failed", {{"error", error.message()}});
        } else if (!self->m_isStopped) {
            self->startSecureSession(handshake);
        }
    });
}

void MessageServer::startSecureSession(const std::shared_ptr<Handshake> &handshake)
{
    const PeerIdentity peer = peerIdentity(handshake->stream->native_handle());
    if (peer.role.empty() || !hasNegotiatedHttp2(handshake->stream->native_handle())) {
        m_logger.warning("peer-refused", {{"name", peer.name}, {"role", peer.role}});
        return;
    }
    startSession(peer, std::make_unique<SocketTransport<TlsStream>>(handshake->stream));
}

void MessageServer::startSession(const std::optional<PeerIdentity> &peer, std::unique_ptr<ByteTransport> transport)
{
    auto weakSession = std::make_shared<std::weak_ptr<Http2Session>>();
    Http2SessionHandlers handlers;
    handlers.accept = [weak = weak_from_this(), peer](const HttpHeaders &request, const std::shared_ptr<Http2Stream> &stream) {
        const auto self = weak.lock();
        if (!self) {
            return Http2StreamHandlers{};
        }
        const auto identity
            = peer.value_or(PeerIdentity{std::string(headerValue(request, plaintextNameHeader)), std::string(headerValue(request, plaintextRoleHeader))});
        return self->acceptStream(identity, request, stream);
    };
    handlers.closed = [weak = weak_from_this(), weakSession](ResultCode) {
        const auto self = weak.lock();
        if (self) {
            self->m_sessions.erase(weakSession->lock());
        }
    };
    const auto session = Http2Session::create(m_context, m_clock, Http2Session::Role::Server, m_options.http2, std::move(handlers));
    *weakSession = session;
    m_sessions.insert(session);
    session->start(std::move(transport));
}

Http2StreamHandlers MessageServer::acceptStream(const PeerIdentity &peer, const HttpHeaders &request, const std::shared_ptr<Http2Stream> &stream)
{
    const std::string path(headerValue(request, ":path"));
    auto messageStream = std::make_shared<Http2MessageStream>(
        Http2MessageStream::Context{path, m_options.maxMessageBytes, std::make_shared<PeerIdentity>(peer), m_traffic, m_logger});
    messageStream->attach(stream);
    MessageStreamHandlers handlers = m_accept(path, messageStream);
    if (!handlers.message) {
        m_logger.warning("stream-refused", {{"path", path}, {"peer", peer.name}, {"role", peer.role}});
        stream->respond({{":status", "403"}});
        messageStream->close();
        return messageStream->http2Handlers();
    }
    m_traffic.addStream(path);
    messageStream->setHandlers(std::move(handlers));
    stream->respond({{":status", "200"}});
    return messageStream->http2Handlers();
}

}
