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

/// Adds this control host to the group: sends join requests on "/join" to the other control hosts until the leader has added it.
/// Also accepts the requests of other hosts.
class JoinService
{
public:
    struct Handlers {
        /// Returns the address of the leader; empty if unknown.
        std::function<std::string()> leaderAddress;
        /// Called for each request that is received, also on hosts that are not the leader.
        std::function<void(const jujubequay::pb::JoinRequest &)> joinRequested;
    };

    JoinService(const Clock &clock, Logger &logger, MessageClient &client, jujubequay::pb::JoinRequest localRequest, Handlers handlers);

    MessageStreamHandlers accept(const std::shared_ptr<MessageStream> &stream);
    /// Sends a join request to the leader, if its address is known, or to the next host, at most once per request interval. Call it
    /// while this host is not a member.
    void requestJoin(const std::vector<HostAddress> &hosts);
    /// Announces to the leader that this process stops, at most once per request interval and until the leader has acknowledged it.
    void announceLeave(const HostAddress &leader);
    bool isLeaveAcknowledged() const;

private:
    void receive(std::uint64_t id, const Bytes &bytes);
    void send(const HostAddress &host, bool isLeaving);

    const Clock &m_clock;
    Logger &m_logger;
    MessageClient &m_client;
    const jujubequay::pb::JoinRequest m_localRequest;
    const Handlers m_handlers;
    AcceptedStreams m_acceptedStreams;
    std::shared_ptr<MessageStream> m_stream;
    std::shared_ptr<std::string> m_leaderHint;
    std::shared_ptr<bool> m_isLeaveAcknowledged; // shared with the handlers of streams
    std::size_t m_nextHost = 0;
    TimePoint m_lastRequestAt{};
    TimePoint m_lastLeaveAt{};
};

}
