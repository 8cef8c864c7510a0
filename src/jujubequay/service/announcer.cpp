#include <jujubequay/core/result_code.h>
#include <jujubequay/service/announcer.h>

#include <xxhash.h>

#include <algorithm>

namespace Jujubequay {

namespace {

namespace pb = jujubequay::pb;

/// A stream to a reachable control host is not replaced by a new one to the same host for this time, which covers several
/// round trips.
constexpr auto minAttemptTime = std::chrono::milliseconds(200);

/// Sorts control hosts by rendezvous hashing with a server name, so that the servers are spread over them.
std::vector<HostAddress> rendezvousOrder(std::vector<HostAddress> hosts, const std::string &name)
{
    const auto rank = [&name](const HostAddress &host) {
        const std::string key = name + "@" + toString(host);
        return XXH3_64bits(key.data(), key.size());
    };
    std::sort(hosts.begin(), hosts.end(), [&rank](const HostAddress &left, const HostAddress &right) {
        return rank(left) < rank(right);
    });
    return hosts;
}

}

Announcer::Announcer(AnnouncerOptions options, pb::ServerEntry server, std::mt19937_64 &random)
    : m_options(std::move(options))
    , m_server(std::move(server))
    , m_random(random)
    , m_controlHosts(rendezvousOrder(m_options.controlHosts, m_server.name()))
    , m_heartbeatInterval(m_options.heartbeatInterval)
{
    m_server.set_state(pb::SERVER_STATE_STARTING);
    m_server.set_sequence(1);
}

AnnouncerEffects Announcer::tick(TimePoint now)
{
    AnnouncerEffects effects;
    if (!m_isStreamOpen) {
        if (now >= m_nextAttempt && !m_controlHosts.empty()) {
            openStream(now, effects);
        }
        return effects;
    }
    if (now - m_lastAnswerTime >= m_options.answerTimeout) {
        effects.emplace_back(CloseAnnounceStream{});
        scheduleRetry(now);
        return effects;
    }
    if (now >= m_nextHeartbeat) {
        sendAnnouncement(now, effects);
    }
    return effects;
}

AnnouncerEffects Announcer::receive(TimePoint now, std::uint64_t stream, const pb::AnnounceDown &message)
{
    AnnouncerEffects effects;
    if (!m_isStreamOpen || stream != m_streamNumber) {
        return effects;
    }
    const auto result = static_cast<ResultCode>(message.result());
    if (message.order() != 0) {
        const bool isNewOrder = message.order() != m_server.order();
        m_server.set_order(message.order());
        // The answer may be for the server before, which must not get the same order.
        if (m_server.agent_order() != 0 && message.order() > m_server.agent_order()) {
            m_highestAgentOrder = message.order() + 1;
            m_server.set_agent_order(m_highestAgentOrder);
        }
        // The control host has an entry of an earlier incarnation and returns the order with which this one can replace it.
        if (result == ResultCode::StaleIncarnation && isNewOrder) {
            m_lastAnswerTime = now;
            sendAnnouncement(now, effects);
            return effects;
        }
    }
    if (result != ResultCode::Ok) {
        effects.emplace_back(CloseAnnounceStream{});
        scheduleRetry(now);
        return effects;
    }
    m_lastAnswerTime = now;
    m_failedAttempts = 0;
    m_acceptedSequence = m_server.sequence();
    if (message.heartbeat_ms() > 0) {
        m_heartbeatInterval = std::chrono::milliseconds(message.heartbeat_ms());
    }
    return effects;
}

AnnouncerEffects Announcer::streamClosed(TimePoint now, std::uint64_t stream)
{
    AnnouncerEffects effects;
    if (m_isStreamOpen && stream == m_streamNumber) {
        scheduleRetry(now);
    }
    return effects;
}

AnnouncerEffects Announcer::setState(TimePoint now, pb::ServerState state)
{
    AnnouncerEffects effects;
    if (m_server.state() == state) {
        return effects;
    }
    m_server.set_state(state);
    m_server.set_sequence(m_server.sequence() + 1);
    if (m_isStreamOpen) {
        sendAnnouncement(now, effects);
    }
    return effects;
}

AnnouncerEffects Announcer::setServer(TimePoint now, pb::ServerEntry server)
{
    AnnouncerEffects effects;
    const bool isSameIncarnation = server.incarnation() == m_server.incarnation();
    server.set_order(isSameIncarnation ? m_server.order() : 0);
    if (isSameIncarnation) {
        server.set_agent_order(m_server.agent_order());
    } else if (server.agent_order() != 0) {
        server.set_agent_order(std::max(server.agent_order(), m_highestAgentOrder + 1));
    }
    m_highestAgentOrder = std::max(m_highestAgentOrder, server.agent_order());
    server.set_sequence(m_server.sequence() + 1);
    m_server = std::move(server);
    if (m_isStreamOpen) {
        sendAnnouncement(now, effects);
    }
    return effects;
}

AnnouncerEffects Announcer::handleReachableControlHost(TimePoint now, const HostAddress &address)
{
    AnnouncerEffects effects;
    const bool currentHostAnswers = isAccepted() && now - m_lastAnswerTime < 2 * m_heartbeatInterval;
    const bool isRecentAttempt = m_isStreamOpen && m_controlHosts[m_currentControlHost] == address && now - m_streamOpenTime < minAttemptTime;
    if (currentHostAnswers || isRecentAttempt) {
        return effects;
    }
    openStreamTo(now, address, effects);
    return effects;
}

AnnouncerEffects Announcer::preferControlHost(TimePoint now, const HostAddress &address)
{
    AnnouncerEffects effects;
    if (isAccepted() && m_controlHosts[m_currentControlHost] != address && now - m_streamOpenTime >= m_options.moveInterval) {
        openStreamTo(now, address, effects);
    }
    return effects;
}

void Announcer::setControlHosts(std::vector<HostAddress> addresses)
{
    if (addresses.empty()) {
        return;
    }
    const std::optional<HostAddress> current = m_controlHosts.empty() ? std::nullopt : std::optional(m_controlHosts[m_currentControlHost]);
    m_controlHosts = rendezvousOrder(std::move(addresses), m_server.name());
    const auto position = current ? std::find(m_controlHosts.begin(), m_controlHosts.end(), *current) : m_controlHosts.end();
    if (position != m_controlHosts.end()) {
        m_currentControlHost = static_cast<std::size_t>(position - m_controlHosts.begin());
    } else if (m_isStreamOpen) {
        // The control host of the stream was removed. The stream is used until it ends, and the other ones are tried after that.
        m_controlHosts.push_back(*current);
        m_currentControlHost = m_controlHosts.size() - 1;
    } else {
        m_currentControlHost = 0;
    }
}

bool Announcer::isAccepted() const
{
    return m_isStreamOpen && m_acceptedSequence == m_server.sequence();
}

pb::ServerState Announcer::state() const
{
    return m_server.state();
}

std::optional<TimePoint> Announcer::nextAttempt() const
{
    return m_isStreamOpen ? std::nullopt : std::optional(m_nextAttempt);
}

const pb::ServerEntry &Announcer::server() const
{
    return m_server;
}

void Announcer::openStreamTo(TimePoint now, const HostAddress &address, AnnouncerEffects &effects)
{
    if (m_isStreamOpen) {
        effects.emplace_back(CloseAnnounceStream{});
    }
    auto found = std::find(m_controlHosts.begin(), m_controlHosts.end(), address);
    if (found == m_controlHosts.end()) {
        found = m_controlHosts.insert(m_controlHosts.end(), address);
    }
    m_currentControlHost = static_cast<std::size_t>(found - m_controlHosts.begin());
    openStream(now, effects);
}

void Announcer::openStream(TimePoint now, AnnouncerEffects &effects)
{
    m_isStreamOpen = true;
    ++m_streamNumber;
    m_streamOpenTime = now;
    m_lastAnswerTime = now;
    m_acceptedSequence = 0;
    effects.emplace_back(OpenAnnounceStream{m_controlHosts[m_currentControlHost], m_streamNumber});
    sendAnnouncement(now, effects);
}

void Announcer::sendAnnouncement(TimePoint now, AnnouncerEffects &effects)
{
    SendAnnouncement announcement;
    *announcement.message.mutable_server() = m_server;
    effects.emplace_back(std::move(announcement));
    m_nextHeartbeat = now + m_heartbeatInterval;
}

void Announcer::scheduleRetry(TimePoint now)
{
    m_isStreamOpen = false;
    m_acceptedSequence = 0;
    m_currentControlHost = (m_currentControlHost + 1) % m_controlHosts.size();
    // The maximum delay doubles after each round over all control hosts instead of after each attempt, because a control
    // host that has not been tried yet may be reachable.
    constexpr std::uint32_t maxDoublings = 10;
    const auto failedRounds = static_cast<std::uint32_t>(m_failedAttempts / m_controlHosts.size());
    const Duration maxDelay = std::min(m_options.maxRetryDelay, m_options.initialRetryDelay * (std::int64_t{1} << std::min(failedRounds, maxDoublings)));
    ++m_failedAttempts;
    std::uniform_int_distribution<Duration::rep> delay(0, maxDelay.count());
    m_nextAttempt = now + Duration(delay(m_random));
}

}
