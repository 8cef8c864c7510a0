#include <jujubequay/steering/server_directory.h>

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace Jujubequay {

namespace {

std::uint64_t scoreOf(std::uint64_t flowHash, const HostAddress &agent)
{
    const std::uint64_t key = (std::uint64_t{agent.ip} << 16U) | agent.port;
    return XXH3_64bits_withSeed(&key, sizeof(key), flowHash);
}

/// Listed servers first, then by availability zone, so that a search crosses zones as rarely as possible, then by server.
using Rank = std::tuple<bool, std::uint64_t, std::uint64_t>;

Rank rankOf(std::uint64_t flowHash, const SteerServer &server, bool isListed)
{
    const std::uint64_t zoneScore = XXH3_64bits_withSeed(server.zone.data(), server.zone.size(), flowHash);
    return {isListed, zoneScore, scoreOf(flowHash, server.agent)};
}

/// Agents that are told where a flow is: with two, in different availability zones, the loss of one hides no flow.
constexpr std::size_t homeCount = 2;

SteerServer steerServerOf(const ServerSnapshot &server)
{
    return {server.relayAddress, serviceKey(server.service), server.zone, server.incarnation, server.takesNewWork(), std::nullopt};
}

}

ServerDirectory::ServerDirectory(ServerDirectoryOptions options)
    : m_options(options)
{
}

bool ServerDirectory::update(TimePoint now, const ConfigSnapshot &snapshot)
{
    m_routes = snapshot.routes;
    if (snapshot.isRegistryKnown) {
        m_isRegistryKnown = true;
        m_isComplete = snapshot.isRegistryComplete;
        m_departed.clear();
        for (const DepartedServer &server : snapshot.departed) {
            m_departed.emplace(server.relayAddress, server.incarnation);
        }
        return updateServers(now, snapshot);
    }
    return false;
}

bool ServerDirectory::updateServers(TimePoint now, const ConfigSnapshot &snapshot)
{
    std::map<HostAddress, SteerServer> listed;
    for (const ServerSnapshot &server : snapshot.servers) {
        listed[server.relayAddress] = steerServerOf(server);
    }
    std::map<ServiceKey, std::vector<SteerServer>> servers;
    for (const auto &[agent, server] : listed) {
        servers[server.service].push_back(server);
    }
    for (const auto &[service, known] : m_servers) {
        for (SteerServer server : known) {
            if (listed.contains(server.agent) || hasDeparted(server.agent, server.incarnation)) {
                continue;
            }
            server.takesNewFlows = false;
            server.goneSince = server.goneSince.value_or(now);
            if (now - *server.goneSince < m_options.memory) {
                servers[service].push_back(std::move(server));
            }
        }
    }
    const auto isSameServer = [](const SteerServer &left, const SteerServer &right) {
        return left.agent == right.agent && left.goneSince.has_value() == right.goneSince.has_value();
    };
    const bool isSame = std::equal(m_servers.begin(), m_servers.end(), servers.begin(), servers.end(), [&](const auto &left, const auto &right) {
        return left.first == right.first && std::equal(left.second.begin(), left.second.end(), right.second.begin(), right.second.end(), isSameServer);
    });
    m_servers = std::move(servers);
    indexServers();
    return !isSame;
}

void ServerDirectory::indexServers()
{
    m_positions.clear();
    for (const auto &[service, servers] : m_servers) {
        for (std::size_t index = 0; index < servers.size(); ++index) {
            m_positions[servers[index].agent] = {service, index};
        }
    }
}

const RouteTable &ServerDirectory::routes() const
{
    return *m_routes;
}

bool ServerDirectory::isReady() const
{
    return m_isRegistryKnown && m_routes->version() != 0;
}

bool ServerDirectory::isComplete() const
{
    return m_isComplete;
}

const SteerServer *ServerDirectory::find(const HostAddress &agent) const
{
    const auto found = m_positions.find(agent);
    return found == m_positions.end() ? nullptr : &m_servers.at(found->second.service)[found->second.index];
}

std::span<const SteerServer> ServerDirectory::servers(ServiceKey service) const
{
    const auto found = m_servers.find(service);
    return found == m_servers.end() ? std::span<const SteerServer>() : std::span<const SteerServer>(found->second);
}

bool ServerDirectory::hasDeparted(const HostAddress &agent, Incarnation incarnation) const
{
    return m_departed.contains({agent, incarnation});
}

std::vector<HostAddress> ServerDirectory::order(const FlowEnds &ends, std::size_t limit, std::optional<HostAddress> after) const
{
    const std::uint64_t hash = hashOf(ends);
    // A host that is in no list itself starts with the first one.
    const SteerServer *last = after ? find(*after) : nullptr;
    const std::optional<Rank> bound = last == nullptr ? std::nullopt : std::optional(rankOf(hash, *last, true));
    std::vector<std::pair<Rank, HostAddress>> ranked;
    for (const auto &entry : m_servers) {
        for (const SteerServer &server : entry.second) {
            const Rank rank = rankOf(hash, server, !server.goneSince);
            if (server.agent != after && (!bound || rank < *bound)) {
                ranked.emplace_back(rank, server.agent);
            }
        }
    }
    const std::size_t count = std::min(limit, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(), std::greater<>());
    std::vector<HostAddress> agents;
    for (std::size_t index = 0; index < count; ++index) {
        agents.push_back(ranked[index].second);
    }
    return agents;
}

std::vector<HostAddress> ServerDirectory::homes(const FlowEnds &ends) const
{
    const std::uint64_t hash = hashOf(ends);
    std::map<std::uint64_t, std::pair<Rank, HostAddress>> firstOfZone; // by the zone's score
    for (const auto &entry : m_servers) {
        for (const SteerServer &server : entry.second) {
            const Rank rank = rankOf(hash, server, !server.goneSince);
            auto &first = firstOfZone.try_emplace(std::get<1>(rank), rank, server.agent).first->second;
            first = std::max(first, std::pair(rank, server.agent));
        }
    }
    std::vector<std::pair<Rank, HostAddress>> firsts;
    firsts.reserve(firstOfZone.size());
    for (const auto &entry : firstOfZone) {
        firsts.push_back(entry.second);
    }
    std::sort(firsts.begin(), firsts.end(), std::greater<>());
    std::vector<HostAddress> homes;
    for (std::size_t index = 0; index < std::min(homeCount, firsts.size()); ++index) {
        homes.push_back(firsts[index].second);
    }
    return homes;
}

std::optional<HostAddress> ServerDirectory::home(const FlowEnds &ends) const
{
    const auto first = order(ends, 1);
    return first.empty() ? std::nullopt : std::optional(first.front());
}

std::optional<HostAddress> ServerDirectory::next(const FlowEnds &ends, const HostAddress &after) const
{
    const auto following = order(ends, 1, after);
    return following.empty() ? std::nullopt : std::optional(following.front());
}

}
