#pragma once

#include <jujubequay/core/log.h>
#include <jujubequay/net/http2_session.h>
#include <jujubequay/net/message_stream.h>
#include <jujubequay/net/tls_context.h>
#include <jujubequay/net/traffic.h>

#include <map>

namespace Jujubequay {

/// True if a server with this role serves the path: balancers serve "/peer", all processes serve "/metrics", and control hosts serve the other paths.
bool isExpectedServer(const PeerIdentity &server, const std::string &path);

struct MessageClientOptions {
    Http2Options http2{.maxQueuedBytes = 8U << 20U, .readBufferBytes = 4U << 10U};
    std::size_t maxMessageBytes = maxFrameLength;
    Duration connectTimeout = std::chrono::seconds(5); ///< TCP connection and TLS handshake together
    bool sharesConnections = true; ///< streams to one address use one connection
    /// Decides whether a server with this verified identity may serve the path. If not, the stream ends with NotAuthorized.
    std::function<bool(const PeerIdentity &server, const std::string &path)> isExpected = isExpectedServer;
    /// Identity sent with each stream of a client without TLS. The server does not verify it.
    PeerIdentity plaintextIdentity;
};

/// Opens control streams over HTTP/2 with mutual TLS, or in plain text if `tls` is null (docs/security.md). A stream ends with Ok when the server has ended
/// it, or with Timeout, ConnectionLost, ProtocolError, MessageTooLarge or NotAuthorized (either certificate or the path was refused). Destroying the client
/// ends its streams with ConnectionLost.
class Http2MessageClient final
    : public MessageClient
    , public std::enable_shared_from_this<Http2MessageClient>
{
public:
    static std::shared_ptr<Http2MessageClient> create(
        asio::io_context &context, const Clock &clock, Logger &logger, std::shared_ptr<TlsContext> tls, MessageClientOptions options = {});

    ~Http2MessageClient() override;
    Http2MessageClient(const Http2MessageClient &) = delete;
    Http2MessageClient &operator=(const Http2MessageClient &) = delete;

    std::shared_ptr<MessageStream> open(const HostAddress &address, const std::string &path, MessageStreamHandlers handlers) override;

    TrafficCounters &traffic();
    /// Closes all connections; their streams end with ConnectionLost.
    void stop();

private:
    struct Connection;

    Http2MessageClient(asio::io_context &context, const Clock &clock, Logger &logger, std::shared_ptr<TlsContext> tls, MessageClientOptions options);
    std::shared_ptr<Connection> connectionTo(const HostAddress &address);
    void connect(const std::shared_ptr<Connection> &connection);

    asio::io_context &m_context;
    const Clock &m_clock;
    Logger &m_logger;
    std::shared_ptr<TlsContext> m_tls;
    MessageClientOptions m_options;
    std::map<const Connection *, std::shared_ptr<Connection>> m_connections;
    TrafficCounters m_traffic;
};

}
