#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/net/message_stream.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace Jujubequay {

/// Outgoing streams to the other control hosts on one path. A stream that ends is reopened after a random delay (full jitter).
class PeerLinks
{
public:
    struct Handlers {
        std::function<void(const std::string &host, const Bytes &message)> message;
        /// Called when a stream was opened, before anything is sent on it.
        std::function<void(const std::string &host)> streamOpened;
    };

    PeerLinks(MessageClient &client, std::mt19937_64 &random, std::string path, Handlers handlers);

    /// Replaces the set of hosts. Streams to hosts that are not in `peers` are closed.
    void setPeers(const std::map<std::string, HostAddress> &peers);
    /// Call when the host has opened a stream to this one. It is reachable, so a connection attempt that hangs is repeated at once.
    void hostConnected(const std::string &host);
    void tick(TimePoint now);
    /// False if the host has not accepted a stream yet; messages that are sent before may be lost.
    bool isEstablished(const std::string &host) const;
    /// Returns false and drops the message if no stream is open or the queue of the stream is too long.
    bool send(const std::string &host, const google::protobuf::MessageLite &message);

private:
    struct Link {
        HostAddress address;
        std::shared_ptr<MessageStream> stream;
        std::uint64_t streamNumber = 0; ///< distinguishes successive streams of one link
        std::uint32_t failures = 0;
        TimePoint openedAt{};
        TimePoint nextAttempt{};
    };

    void open(TimePoint now, const std::string &host, Link &link);
    void streamEnded(const std::string &host, std::uint64_t streamNumber);

    MessageClient &m_client;
    std::mt19937_64 &m_random;
    const std::string m_path;
    const Handlers m_handlers;
    std::map<std::string, Link> m_links;
    std::uint64_t m_lastStreamNumber = 0;
    TimePoint m_now{};
    std::shared_ptr<PeerLinks *> m_self; ///< expires with this object, so that handlers of streams that outlive it do nothing
};

}
