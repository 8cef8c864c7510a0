#include <jujubequay/flow/opening_table.h>

namespace Jujubequay {

namespace {

std::string keyOf(const HostAddress &caller, std::span<const std::uint8_t> destinationId)
{
    std::string key(reinterpret_cast<const char *>(&caller.ip), sizeof(caller.ip));
    key.append(reinterpret_cast<const char *>(&caller.port), sizeof(caller.port));
    key.append(reinterpret_cast<const char *>(destinationId.data()), destinationId.size());
    return key;
}

}

OpeningTable::OpeningTable(Options options)
    : m_options(options)
{
}

std::optional<OpeningServer> OpeningTable::find(TimePoint now, const HostAddress &caller, std::span<const std::uint8_t> destinationId)
{
    dropExpired(now);
    const auto found = m_servers.find(keyOf(caller, destinationId));
    return found == m_servers.end() ? std::nullopt : std::optional(found->second);
}

void OpeningTable::remember(TimePoint now, const HostAddress &caller, std::span<const std::uint8_t> destinationId, const OpeningServer &server)
{
    dropExpired(now);
    const auto [entry, inserted] = m_servers.try_emplace(keyOf(caller, destinationId), server);
    if (!inserted) {
        return;
    }
    m_ages.push_back({now + m_options.lifetime, entry->first});
    if (m_ages.size() > m_options.maxEntries) {
        m_servers.erase(m_ages.front().key);
        m_ages.pop_front();
    }
}

std::size_t OpeningTable::size() const
{
    return m_servers.size();
}

void OpeningTable::dropExpired(TimePoint now)
{
    while (!m_ages.empty() && m_ages.front().expires <= now) {
        m_servers.erase(m_ages.front().key);
        m_ages.pop_front();
    }
}

}
