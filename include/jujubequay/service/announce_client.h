#pragma once

#include <jujubequay/core/log.h>
#include <jujubequay/net/message_stream.h>
#include <jujubequay/service/announcer.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <memory>

namespace Jujubequay {

/// Runs an Announcer on the control thread: opens its streams, sends its announcements and passes the answers to it.
class AnnounceClient : public std::enable_shared_from_this<AnnounceClient>
{
public:
    /// `clock`, `logger` and `client` must outlive this object.
    AnnounceClient(asio::io_context &context, const Clock &clock, Logger &logger, MessageClient &client, Announcer announcer);

    void start();
    void stop();
    void setState(jujubequay::pb::ServerState state);
    void setServer(jujubequay::pb::ServerEntry server);
    void handleReachableControlHost(const HostAddress &address);
    void preferControlHost(const HostAddress &address);
    void setControlHosts(std::vector<HostAddress> addresses);
    const Announcer &announcer() const;

private:
    void scheduleTick();
    void apply(const AnnouncerEffects &effects);
    void openStream(const OpenAnnounceStream &effect);

    const Clock &m_clock;
    Logger &m_logger;
    MessageClient &m_client;
    Announcer m_announcer;
    asio::steady_timer m_timer;
    std::shared_ptr<MessageStream> m_stream;
    std::uint64_t m_streamNumber = 0;
    bool m_isStopped = false;
};

}
