#include <jujubequay/steering/server_directory.h>

#include <xxhash.h>

#include <algorithm>

namespace Jujubequay {

namespace {

std::uint64_t scoreOf(std::uint64_t flowHash, const HostAddress &agent)
{
    const std::uint64_t key = (std::uint64_t{agent.ip} << 16U) | agent.port;
    return XXH3_64bits_withSeed(&key, sizeof(key), flowHash);
}

SteerServer steerServerOf(const ServerSnapshot &server)
{
    return {server.relayAddress, serviceKey(server.service), server.zone, server.incarnation, server.takesNewWork(), server.state == ServerAvailability::Starting, std::nullopt};
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
        m_departed = snapshot.departed;
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
        return left.first == right.first
            && std::equal(left.second.begin(), left.second.end(), right.second.begin(), right.second.end(), isSameServer);
    });
    m_servers = std::move(servers);
    return !isSame;
}

const RouteTable &ServerDirectory::routes() const
{
    return *m_routes;
}

bool ServerDirectory::isReady() const
{
    return m_isRegistryKnown && m_routes->version() != 0;
}

const SteerServer *ServerDirectory::find(const HostAddress &agent) const
{
    for (const auto &[service, servers] : m_servers) {
        const auto found = std::find_if(servers.begin(), servers.end(), [&agent](const SteerServer &server) {
            return server.agent == agent;
        });
        if (found != servers.end()) {
            return &*found;
        }
    }
    return nullptr;
}

std::span<const SteerServer> ServerDirectory::servers(ServiceKey service) const
{
    const auto found = m_servers.find(service);
    return found == m_servers.end() ? std::span<const SteerServer>() : std::span<const SteerServer>(found->second);
}

bool ServerDirectory::hasDeparted(const HostAddress &agent, Incarnation incarnation) const
{
    return std::find(m_departed.begin(), m_departed.end(), DepartedServer{agent, incarnation}) != m_departed.end();
}

std::vector<HostAddress> ServerDirectory::order(const FlowEnds &ends, std::size_t limit, std::optional<HostAddress> after) const
{
    using Rank = std::pair<bool, std::uint64_t>; // listed servers first
    const std::uint64_t hash = hashOf(ends);
    const Rank bound = after ? Rank(true, scoreOf(hash, *after)) : Rank();
    std::vector<std::pair<Rank, HostAddress>> ranked;
    for (const auto &entry : m_servers) {
        for (const SteerServer &server : entry.second) {
            const Rank rank(!server.goneSince, scoreOf(hash, server.agent));
            if (!after || (rank < bound && server.agent != *after)) {
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
