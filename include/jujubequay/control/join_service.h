#pragma once

#include <jujubequay/control/control_services.h>
#include <jujubequay/core/clock.h>
#include <jujubequay/core/log.h>
#include <jujubequay/net/message_stream.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Jujubequay {

/// Brings a control host into the group: asks other control hosts on "/join" until the leader has added it, and passes on the
/// requests of others.
class JoinService
{
public:
    struct Handlers {
        /// Address of the leader, empty if unknown.
        std::function<std::string()> leaderAddress;
        /// Called at the leader.
        std::function<void(const jujubequay::pb::JoinRequest &)> requested;
    };

    JoinService(const Clock &clock, Logger &logger, MessageClient &client, jujubequay::pb::JoinRequest own, Handlers handlers);

    MessageStreamHandlers accept(const std::shared_ptr<MessageStream> &stream);
    /// Asks the next host if it is time to; call while this host is not a member.
    void ask(const std::vector<HostAddress> &hosts);
    /// Tells the leader that this process stops.
    void announceLeave(const HostAddress &leader);

private:
    void receive(std::uint64_t id, const Bytes &bytes);
    void send(const HostAddress &host, bool isLeaving);

    const Clock &m_clock;
    Logger &m_logger;
    MessageClient &m_client;
    const jujubequay::pb::JoinRequest m_own;
    const Handlers m_handlers;
    AcceptedStreams m_accepted;
    std::shared_ptr<MessageStream> m_stream;
    std::shared_ptr<std::string> m_leaderHint;
    std::size_t m_next = 0;
    TimePoint m_lastAsked{};
};

}
