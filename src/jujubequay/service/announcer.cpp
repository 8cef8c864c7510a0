#include <jujubequay/core/result_code.h>
#include <jujubequay/service/announcer.h>

#include <xxhash.h>

#include <algorithm>

namespace Jujubequay {

namespace {

namespace pb = jujubequay::pb;

/// An attempt at a control host that is up gets several round trips.
constexpr auto promptedAttemptTime = std::chrono::milliseconds(200);

/// Control hosts in rendezvous order for one server name, so that servers spread over them.
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
    , m_choices(rendezvousOrder(m_options.controlHosts, m_server.name()))
    , m_heartbeat(m_options.heartbeat)
{
    m_server.set_state(pb::SERVER_STATE_STARTING);
    m_server.set_sequence(1);
}

AnnouncerEffects Announcer::tick(TimePoint now)
{
    AnnouncerEffects effects;
    if (!m_isOpen) {
        if (now >= m_nextAttempt && !m_choices.empty()) {
            open(now, effects);
        }
        return effects;
    }
    if (now - m_lastAnswer >= m_options.answerLimit) {
        effects.emplace_back(CloseAnnounceStream{});
        giveUp(now);
        return effects;
    }
    if (now >= m_nextHeartbeat) {
        send(now, effects);
    }
    return effects;
}

AnnouncerEffects Announcer::receive(TimePoint now, std::uint64_t stream, const pb::AnnounceDown &message)
{
    AnnouncerEffects effects;
    if (!m_isOpen || stream != m_stream) {
        return effects;
    }
    const auto result = static_cast<ResultCode>(message.result());
    if (message.order() != 0) {
        const bool isNewOrder = message.order() != m_server.order();
        m_server.set_order(message.order());
        // The control host knows an entry of an earlier start and offers the order under which this one follows it.
        if (result == ResultCode::StaleIncarnation && isNewOrder) {
            m_lastAnswer = now;
            send(now, effects);
            return effects;
        }
    }
    if (result != ResultCode::Ok) {
        effects.emplace_back(CloseAnnounceStream{});
        giveUp(now);
        return effects;
    }
    m_lastAnswer = now;
    m_failures = 0;
    m_acceptedSequence = m_server.sequence();
    if (message.heartbeat_ms() > 0) {
        m_heartbeat = std::chrono::milliseconds(message.heartbeat_ms());
    }
    return effects;
}

AnnouncerEffects Announcer::closed(TimePoint now, std::uint64_t stream)
{
    AnnouncerEffects effects;
    if (m_isOpen && stream == m_stream) {
        giveUp(now);
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
    if (m_isOpen) {
        send(now, effects);
    }
    return effects;
}

AnnouncerEffects Announcer::setServer(TimePoint now, pb::ServerEntry server)
{
    AnnouncerEffects effects;
    const bool isSameIncarnation = server.incarnation() == m_server.incarnation();
    server.set_order(isSameIncarnation ? m_server.order() : 0);
    server.set_sequence(m_server.sequence() + 1);
    m_server = std::move(server);
    if (m_isOpen) {
        send(now, effects);
    }
    return effects;
}

AnnouncerEffects Announcer::controlHostAnswers(TimePoint now, const HostAddress &address)
{
    AnnouncerEffects effects;
    const bool isAnswered = isAccepted() && now - m_lastAnswer < 2 * m_heartbeat;
    const bool isAttemptNew = m_isOpen && m_choices[m_choice] == address && now - m_openedAt < promptedAttemptTime;
    if (isAnswered || isAttemptNew) {
        return effects;
    }
    if (m_isOpen) {
        effects.emplace_back(CloseAnnounceStream{});
    }
    auto position = std::find(m_choices.begin(), m_choices.end(), address);
    if (position == m_choices.end()) {
        position = m_choices.insert(m_choices.end(), address);
    }
    m_choice = static_cast<std::size_t>(position - m_choices.begin());
    open(now, effects);
    return effects;
}

void Announcer::setControlHosts(std::vector<HostAddress> addresses)
{
    if (!addresses.empty()) {
        m_choices = rendezvousOrder(std::move(addresses), m_server.name());
        m_choice %= m_choices.size();
    }
}

bool Announcer::isAccepted() const
{
    return m_isOpen && m_acceptedSequence == m_server.sequence();
}

pb::ServerState Announcer::state() const
{
    return m_server.state();
}

std::optional<TimePoint> Announcer::nextAttempt() const
{
    return m_isOpen ? std::nullopt : std::optional(m_nextAttempt);
}

const pb::ServerEntry &Announcer::server() const
{
    return m_server;
}

void Announcer::open(TimePoint now, AnnouncerEffects &effects)
{
    m_isOpen = true;
    ++m_stream;
    m_openedAt = now;
    m_lastAnswer = now;
    m_acceptedSequence = 0;
    effects.emplace_back(OpenAnnounceStream{m_choices[m_choice], m_stream});
    send(now, effects);
}

void Announcer::send(TimePoint now, AnnouncerEffects &effects)
{
    SendAnnouncement announcement;
    *announcement.message.mutable_server() = m_server;
    effects.emplace_back(std::move(announcement));
    m_nextHeartbeat = now + m_heartbeat;
}

void Announcer::giveUp(TimePoint now)
{
    m_isOpen = false;
    m_acceptedSequence = 0;
    m_choice = (m_choice + 1) % m_choices.size();
    // The wait grows with each round: as long as a host has not been tried, it may well be there.
    constexpr std::uint32_t maxDoublings = 10;
    const auto rounds = static_cast<std::uint32_t>(m_failures / m_choices.size());
    const Duration longest = std::min(m_options.retryLimit, m_options.retryBase * (std::int64_t{1} << std::min(rounds, maxDoublings)));
    ++m_failures;
    std::uniform_int_distribution<Duration::rep> wait(0, longest.count());
    m_nextAttempt = now + Duration(wait(m_random));
}

}
