#include <jujubequay/flow/initial_packet_table.h>

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

InitialPacketTable::InitialPacketTable(Options options)
    : m_options(options)
{
}

std::optional<AgentInstance> InitialPacketTable::find(TimePoint now, const HostAddress &caller, std::span<const std::uint8_t> destinationId)
{
    removeExpired(now);
    const auto found = m_agents.find(keyOf(caller, destinationId));
    return found == m_agents.end() ? std::nullopt : std::optional(found->second);
}

void InitialPacketTable::insert(TimePoint now, const HostAddress &caller, std::span<const std::uint8_t> destinationId, const AgentInstance &agent)
{
    removeExpired(now);
    const auto [entry, inserted] = m_agents.try_emplace(keyOf(caller, destinationId), agent);
    if (!inserted) {
        return;
    }
    m_expiries.push_back({now + m_options.lifetime, entry->first});
    if (m_expiries.size() > m_options.maxEntries) {
        m_agents.erase(m_expiries.front().key);
        m_expiries.pop_front();
    }
}

std::size_t InitialPacketTable::size() const
{
    return m_agents.size();
}

void InitialPacketTable::removeExpired(TimePoint now)
{
    while (!m_expiries.empty() && m_expiries.front().time <= now) {
        m_agents.erase(m_expiries.front().key);
        m_expiries.pop_front();
    }
}

}
