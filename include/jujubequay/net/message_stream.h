#pragma once

#include <jujubequay/core/identifiers.h>
#include <jujubequay/core/result_code.h>
#include <jujubequay/wire/framing.h>

#include <functional>
#include <memory>
#include <string>

namespace Jujubequay {

/// Who is at the other end of a stream, taken from its verified TLS certificate.
struct PeerIdentity {
    std::string name; ///< common name of the certificate, for example "host-a"
    std::string role; ///< organisational unit: "control", "balancer", "agent" or "operator"
};

/// A bidirectional stream of framed protobuf messages. Used on the control thread only.
class MessageStream
{
public:
    virtual ~MessageStream() = default;

    /// Queues a message. A peer that reads too slowly, so that more than the limit waits, is disconnected.
    virtual void send(const google::protobuf::MessageLite &message) = 0;
    /// Sends what is queued and ends the stream.
    virtual void close() = 0;
    /// False until the other end has accepted the stream; what is sent earlier waits.
    virtual bool isEstablished() const
    {
        return true;
    }
    /// Bytes that wait to be sent.
    virtual std::size_t queuedBytes() const = 0;
    virtual PeerIdentity peer() const = 0;
};

/// Called on the control thread. After `closed` neither is called again.
struct MessageStreamHandlers {
    std::function<void(Bytes)> message;
    std::function<void(ResultCode)> closed;
};

/// Opens streams to other processes.
class MessageClient
{
public:
    virtual ~MessageClient() = default;

    /// Opens a stream, for example to path "/watch". Messages may be sent at once; failure to connect is reported by
    /// `closed`.
    virtual std::shared_ptr<MessageStream> open(const HostAddress &address, const std::string &path, MessageStreamHandlers handlers) = 0;
};

/// Decides what to do with an accepted stream, by its path. Handlers without `message` refuse the stream.
using MessageStreamAcceptor = std::function<MessageStreamHandlers(const std::string &path, const std::shared_ptr<MessageStream> &stream)>;

}
