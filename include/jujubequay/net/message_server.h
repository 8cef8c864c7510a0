#pragma once

#include <jujubequay/core/error.h>
#include <jujubequay/core/log.h>
#include <jujubequay/net/accept_loop.h>
#include <jujubequay/net/http2_session.h>
#include <jujubequay/net/message_stream.h>
#include <jujubequay/net/tls_context.h>
#include <jujubequay/net/traffic.h>

#include <asio/ip/tcp.hpp>

#include <optional>
#include <set>

namespace Jujubequay {

struct MessageServerOptions {
    Http2Options http2{.maxQueuedBytes = 8U << 20U, .readBufferBytes = 4U << 10U};
    std::size_t maxMessageBytes = maxFrameLength;
    std::size_t maxConnections = 8192; ///< including TLS handshakes in progress; further connections are closed immediately
    Duration handshakeTimeout = std::chrono::seconds(5);
};

/// Accepts control streams over HTTP/2 with mutual TLS. Refuses peers without a certificate issued by the authority. If `tls` is null, streams are
/// plain text and the identity that a peer sends is not verified (docs/security.md).
///
///     auto server = MessageServer::listen(context, clock, logger, tls, address, accept);
class MessageServer : public std::enable_shared_from_this<MessageServer>
{
public:
    /// Fails with AddressUnavailable if the address cannot be bound. Port 0 selects a free port.
    static Result<std::shared_ptr<MessageServer>> listen(asio::io_context &context,
                                                         const Clock &clock,
                                                         Logger &logger,
                                                         std::shared_ptr<TlsContext> tls,
                                                         const HostAddress &address,
                                                         MessageStreamAcceptor accept,
                                                         MessageServerOptions options = {});

    HostAddress address() const;
    std::size_t connectionCount() const;
    TrafficCounters &traffic();
    /// Closes all connections but continues to accept new ones. The streams of the closed connections end with ConnectionLost.
    void closeConnections();
    /// Stops accepting and closes all connections. Their streams end with ConnectionLost.
    void stop();

private:
    struct Handshake;

    MessageServer(asio::io_context &context,
                  const Clock &clock,
                  Logger &logger,
                  std::shared_ptr<TlsContext> tls,
                  MessageStreamAcceptor accept,
                  MessageServerOptions options);
    void acceptConnection(asio::ip::tcp::socket socket);
    void startSecureSession(const std::shared_ptr<Handshake> &handshake);
    /// `peer` is empty without TLS; the request headers of each stream then contain the identity of the peer.
    void startSession(const std::optional<PeerIdentity> &peer, std::unique_ptr<ByteTransport> transport);
    Http2StreamHandlers acceptStream(const PeerIdentity &peer, const HttpHeaders &request, const std::shared_ptr<Http2Stream> &stream);

    asio::io_context &m_context;
    const Clock &m_clock;
    Logger &m_logger;
    std::shared_ptr<TlsContext> m_tls;
    MessageStreamAcceptor m_accept;
    MessageServerOptions m_options;
    std::shared_ptr<AcceptLoop> m_acceptLoop;
    std::set<std::shared_ptr<Handshake>> m_handshakes;
    std::set<std::shared_ptr<Http2Session>> m_sessions;
    TrafficCounters m_traffic;
    bool m_isStopped = false;
};

}
