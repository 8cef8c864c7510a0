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

/// Outgoing streams to other control hosts on one path. A stream that ends is opened again, with full jitter.
class PeerLinks
{
public:
    struct Handlers {
        std::function<void(const std::string &host, const Bytes &message)> message;
        /// A stream was opened; what is sent now is the first message on it.
        std::function<void(const std::string &host)> opened;
    };

    PeerLinks(MessageClient &client, std::mt19937_64 &random, std::string path, Handlers handlers);

    /// Replaces the hosts; streams to those that are not named end.
    void setPeers(const std::map<std::string, HostAddress> &peers);
    /// The host has opened a stream to this one, so it is up: an attempt that hangs is made again at once.
    void hostAnswers(const std::string &host);
    void tick(TimePoint now);
    /// False if the host has not accepted a stream yet; what is sent to it may be lost.
    bool isEstablished(const std::string &host) const;
    /// False if no stream is open or too much waits on it; the message is then dropped.
    bool send(const std::string &host, const google::protobuf::MessageLite &message);

private:
    struct Link {
        HostAddress address;
        std::shared_ptr<MessageStream> stream;
        std::uint64_t number = 0; ///< tells apart the streams of one link
        std::uint32_t failures = 0;
        TimePoint openedAt{};
        TimePoint nextAttempt{};
    };

    void open(TimePoint now, const std::string &host, Link &link);
    void ended(const std::string &host, std::uint64_t number);

    MessageClient &m_client;
    std::mt19937_64 &m_random;
    const std::string m_path;
    const Handlers m_handlers;
    std::map<std::string, Link> m_links;
    std::uint64_t m_lastNumber = 0;
    TimePoint m_now{};
    std::shared_ptr<PeerLinks *> m_self; ///< expires with this object, for handlers of streams that outlive it
};

}
