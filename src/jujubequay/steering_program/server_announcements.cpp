#include <jujubequay/steering_program/server_announcements.h>

#include <fmt/format.h>
#include <xxhash.h>

#include <tuple>

namespace Jujubequay {

namespace {

/// This bit is set in each incarnation, so that none is 0 or unconfirmedIncarnation.
constexpr std::uint32_t confirmedIncarnationBit = 2;

}

bool hasStartedAfterAgent(const ServerAnnouncement &announcement,
                          std::chrono::system_clock::time_point agentStartedAt,
                          std::chrono::system_clock::time_point wallTime)
{
    const std::chrono::system_clock::time_point startedAt{std::chrono::milliseconds(announcement.startedAtMs)};
    return announcement.warmupLeft.count() > 0 && startedAt > agentStartedAt && startedAt <= wallTime;
}

ServerAnnouncements::ServerAnnouncements(Duration silenceLimit)
    : m_silenceLimit(silenceLimit)
{
}

void ServerAnnouncements::serverFound(TimePoint acceptsUntil)
{
    m_isUnannounced = !m_current;
    m_unannouncedUntil = acceptsUntil;
}

AnnouncementOutcome ServerAnnouncements::handleAnnouncement(TimePoint now, const ServerAnnouncement &announcement)
{
    const auto incarnationKey = std::tie(announcement.startedAtMs, announcement.id);
    if (incarnationKey <= std::tie(m_removedStartedAtMs, m_removedId)) {
        return AnnouncementOutcome::Late;
    }
    if (!m_current || incarnationKey > std::tie(m_current->startedAtMs, m_current->id)) {
        m_current = announcement;
        m_lastAnnouncedAt = now;
        m_hasAnnouncedDeparture = false;
        m_isUnannounced = false;
        return AnnouncementOutcome::NewServer;
    }
    const bool isEarlierIncarnation = incarnationKey < std::tie(m_current->startedAtMs, m_current->id);
    if (isEarlierIncarnation || announcement.sequence <= m_current->sequence || m_hasAnnouncedDeparture) {
        return AnnouncementOutcome::Late;
    }
    const bool isChanged = announcement.isDraining != m_current->isDraining || announcement.slots != m_current->slots
        || announcement.service != m_current->service || (announcement.warmupLeft.count() > 0) != (m_current->warmupLeft.count() > 0);
    const bool wasDraining = m_current->isDraining;
    m_current = announcement;
    // A drain is permanent for an incarnation.
    m_current->isDraining = m_current->isDraining || wasDraining;
    m_lastAnnouncedAt = now;
    return isChanged ? AnnouncementOutcome::Changed : AnnouncementOutcome::Renewed;
}

bool ServerAnnouncements::handleDeparture(const std::string &id, std::optional<std::uint64_t> startedAtMs)
{
    if (!m_current) {
        const bool isRemoved = m_removedId == id && startedAtMs.value_or(m_removedStartedAtMs) == m_removedStartedAtMs;
        if (!isRemoved && startedAtMs && std::tie(*startedAtMs, id) > std::tie(m_removedStartedAtMs, m_removedId)) {
            // Its late announcements are not those of a running server.
            m_removedStartedAtMs = *startedAtMs;
            m_removedId = id;
        }
        m_hasAnnouncedDeparture = m_hasAnnouncedDeparture || !isRemoved;
        return !isRemoved;
    }
    if (m_current->id != id || startedAtMs.value_or(m_current->startedAtMs) != m_current->startedAtMs) {
        return false;
    }
    m_hasAnnouncedDeparture = true;
    return true;
}

void ServerAnnouncements::removeServer()
{
    if (m_current) {
        m_removedStartedAtMs = m_current->startedAtMs;
        m_removedId = m_current->id;
        m_current.reset();
    }
    m_hasAnnouncedDeparture = false;
    m_isUnannounced = false;
}

const std::optional<ServerAnnouncement> &ServerAnnouncements::current() const
{
    return m_current;
}

bool ServerAnnouncements::hasAnnouncedDeparture() const
{
    return m_hasAnnouncedDeparture;
}

bool ServerAnnouncements::isUnannounced() const
{
    return m_isUnannounced;
}

bool ServerAnnouncements::acceptsNewFlows(TimePoint now) const
{
    if (m_isUnannounced) {
        return !m_hasAnnouncedDeparture && now < m_unannouncedUntil;
    }
    return m_current && !m_hasAnnouncedDeparture && !m_current->isDraining && !isUnresponsive(now);
}

bool ServerAnnouncements::mayHaveEnded(TimePoint now) const
{
    return m_hasAnnouncedDeparture || (m_isUnannounced && !acceptsNewFlows(now));
}

bool ServerAnnouncements::isUnresponsive(TimePoint now) const
{
    return m_current && timeSinceAnnouncement(now) > m_silenceLimit;
}

Duration ServerAnnouncements::timeSinceAnnouncement(TimePoint now) const
{
    return now - m_lastAnnouncedAt;
}

std::uint32_t ServerAnnouncements::incarnation() const
{
    if (!m_current) {
        return 1;
    }
    const std::string key = fmt::format("{}@{}", m_current->id, m_current->startedAtMs);
    return static_cast<std::uint32_t>(XXH3_64bits(key.data(), key.size())) | confirmedIncarnationBit;
}

}
