#pragma once

#include <jujubequay/core/identifiers.h>
#include <jujubequay/core/result_code.h>
#include <jujubequay/wire/framing.h>

#include <functional>
#include <memory>
#include <string>

namespace Jujubequay {

/// Identity of the peer of a stream. Taken from its verified TLS certificate; without TLS it is what the peer sent, unverified.
struct PeerIdentity {
    std::string name; ///< common name of the certificate, for example "host-a"
    std::string role; ///< organisational unit of the certificate: "control", "balancer", "agent" or "operator"
};

/// A bidirectional stream of framed protobuf messages. Used on the control thread only.
class MessageStream
{
public:
    virtual ~MessageStream() = default;

    /// Queues a message. If the queue exceeds its limit because the peer reads too slowly, the peer is disconnected.
    virtual void send(const google::protobuf::MessageLite &message) = 0;
    /// Ends the stream after the queued messages are sent.
    virtual void close() = 0;
    /// False until the peer has accepted the stream. Messages may be passed to `send` earlier.
    virtual bool isEstablished() const
    {
        return true;
    }
    /// Bytes in the send queue.
    virtual std::size_t queuedBytes() const = 0;
    virtual PeerIdentity peer() const = 0;
};

/// Callbacks of a stream, called on the control thread. Neither is called after `closed`.
struct MessageStreamHandlers {
    std::function<void(Bytes)> message;
    std::function<void(ResultCode)> closed;
};

/// Opens streams to other processes.
class MessageClient
{
public:
    virtual ~MessageClient() = default;

    /// Opens a stream, for example to path "/watch". Messages may be sent immediately. A failure to connect is reported by `closed`.
    virtual std::shared_ptr<MessageStream> open(const HostAddress &address, const std::string &path, MessageStreamHandlers handlers) = 0;
};

/// Returns the handlers for a new incoming stream. If `message` is empty, the stream is refused.
using MessageStreamAcceptor = std::function<MessageStreamHandlers(const std::string &path, const std::shared_ptr<MessageStream> &stream)>;

}
