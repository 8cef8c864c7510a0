#include <jujubequay/steering_program/server_announcements.h>

#include <fmt/format.h>
#include <xxhash.h>

#include <tuple>

namespace Jujubequay {

namespace {

// Sets this bit, so that no start gets 0 or the number of a server that is not confirmed.
constexpr std::uint32_t reservedIncarnations = 2;

}

ServerAnnouncements::ServerAnnouncements(Duration silenceLimit)
    : m_silenceLimit(silenceLimit)
{
}

AnnouncementOutcome ServerAnnouncements::announced(TimePoint now, const ServerAnnouncement &announcement)
{
    const auto start = std::tie(announcement.startedAtMs, announcement.id);
    if (start <= std::tie(m_endedAtMs, m_endedId)) {
        return AnnouncementOutcome::Late;
    }
    if (!m_current || start > std::tie(m_current->startedAtMs, m_current->id)) {
        m_current = announcement;
        m_heardAt = now;
        m_hasLeft = false;
        return AnnouncementOutcome::NewServer;
    }
    const bool isOlder = start < std::tie(m_current->startedAtMs, m_current->id);
    if (isOlder || announcement.sequence <= m_current->sequence || m_hasLeft) {
        return AnnouncementOutcome::Late;
    }
    const bool isChanged = announcement.isDraining != m_current->isDraining || announcement.slots != m_current->slots
        || announcement.service != m_current->service || (announcement.warmupLeft.count() > 0) != (m_current->warmupLeft.count() > 0);
    const bool wasDraining = m_current->isDraining;
    m_current = announcement;
    // A drain is never taken back by the same start.
    m_current->isDraining = m_current->isDraining || wasDraining;
    m_heardAt = now;
    return isChanged ? AnnouncementOutcome::Changed : AnnouncementOutcome::Renewed;
}

bool ServerAnnouncements::left(const std::string &id)
{
    if (!m_current || m_current->id != id) {
        return false;
    }
    m_hasLeft = true;
    return true;
}

void ServerAnnouncements::lost()
{
    if (m_current) {
        m_endedAtMs = m_current->startedAtMs;
        m_endedId = m_current->id;
        m_current.reset();
    }
    m_hasLeft = false;
}

const std::optional<ServerAnnouncement> &ServerAnnouncements::current() const
{
    return m_current;
}

bool ServerAnnouncements::hasLeft() const
{
    return m_hasLeft;
}

bool ServerAnnouncements::takesNewFlows(TimePoint now) const
{
    return m_current && !m_hasLeft && !m_current->isDraining && !isSilent(now);
}

bool ServerAnnouncements::isSilent(TimePoint now) const
{
    return m_current && now - m_heardAt > m_silenceLimit;
}

std::uint32_t ServerAnnouncements::incarnation() const
{
    if (!m_current) {
        return 1;
    }
    const std::string start = fmt::format("{}@{}", m_current->id, m_current->startedAtMs);
    return static_cast<std::uint32_t>(XXH3_64bits(start.data(), start.size())) | reservedIncarnations;
}

}
