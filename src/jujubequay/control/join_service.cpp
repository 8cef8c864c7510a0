#include <jujubequay/control/join_service.h>

#include <optional>
#include <utility>

namespace Jujubequay {

namespace pb = jujubequay::pb;

namespace {

// A request takes two round trips between availability zones. After a lost request the next one follows soon enough that a repair is
// hardly delayed.
constexpr auto requestInterval = std::chrono::milliseconds(300);

}

JoinService::JoinService(const Clock &clock, Logger &logger, MessageClient &client, pb::JoinRequest localRequest, Handlers handlers)
    : m_clock(clock)
    , m_logger(logger)
    , m_client(client)
    , m_localRequest(std::move(localRequest))
    , m_handlers(std::move(handlers))
    , m_leaderHint(std::make_shared<std::string>())
    , m_isLeaveAcknowledged(std::make_shared<bool>(false))
{
}

MessageStreamHandlers JoinService::accept(const std::shared_ptr<MessageStream> &stream)
{
    const std::uint64_t id = m_acceptedStreams.add(stream);
    MessageStreamHandlers handlers;
    handlers.message = [this, id](const Bytes &bytes) {
        receive(id, bytes);
    };
    handlers.closed = [this, id](ResultCode) {
        m_acceptedStreams.remove(id);
    };
    return handlers;
}

void JoinService::receive(std::uint64_t id, const Bytes &bytes)
{
    MessageStream *stream = m_acceptedStreams.find(id);
    pb::JoinRequest request;
    if (stream == nullptr || !request.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        m_logger.warning("join-request-unreadable", {{"bytes", bytes.size()}});
        return;
    }
    m_handlers.joinRequested(request);
    pb::JoinAnswer answer;
    answer.set_leader_address(m_handlers.leaderAddress());
    stream->send(answer);
    stream->close();
}

void JoinService::requestJoin(const std::vector<HostAddress> &hosts)
{
    const TimePoint now = m_clock.now();
    if (now - m_lastRequestAt < requestInterval || hosts.empty()) {
        return;
    }
    m_lastRequestAt = now;
    const auto leader = parseHostAddress(std::exchange(*m_leaderHint, {}));
    send(leader.value_or(hosts[m_nextHost++ % hosts.size()]), false);
}

void JoinService::announceLeave(const HostAddress &leader)
{
    const TimePoint now = m_clock.now();
    if (*m_isLeaveAcknowledged || now - m_lastLeaveAt < requestInterval) {
        return;
    }
    m_lastLeaveAt = now;
    send(leader, true);
}

bool JoinService::isLeaveAcknowledged() const
{
    return *m_isLeaveAcknowledged;
}

void JoinService::send(const HostAddress &host, bool isLeaving)
{
    MessageStreamHandlers handlers;
    handlers.message = [hint = m_leaderHint, isLeaveAcknowledged = m_isLeaveAcknowledged, isLeaving, host](const Bytes &bytes) {
        pb::JoinAnswer answer;
        if (!answer.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
            return;
        }
        *hint = answer.leader_address();
        // Only the leader keeps the announcement.
        *isLeaveAcknowledged = *isLeaveAcknowledged || (isLeaving && answer.leader_address() == toString(host));
    };
    handlers.closed = [](ResultCode) {};
    pb::JoinRequest request = m_localRequest;
    request.set_leaving(isLeaving);
    m_stream = m_client.open(host, "/join", std::move(handlers));
    m_stream->send(request);
}

}
