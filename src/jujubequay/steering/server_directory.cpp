#include <jujubequay/steering/server_directory.h>

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

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

SteerServer steerServerOf(const ServerSnapshot &server)
{
    return {server.relayAddress, serviceKey(server.service), server.zone, server.incarnation, server.agentEpoch, server.acceptsNewWork(), std::nullopt};
}

}

ServerDirectory::ServerDirectory(ServerDirectoryOptions options)
    : m_options(options)
{
}

bool ServerDirectory::update(TimePoint now, const ConfigSnapshot &snapshot)
{
    m_routes = snapshot.routes;
    if (snapshot.hasRegistry) {
        m_isRegistryKnown = true;
        m_isComplete = snapshot.isRegistryComplete;
        m_departed.clear();
        for (const DeregisteredServer &server : snapshot.deregisteredServers) {
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
        return left.agent == right.agent && left.agentEpoch == right.agentEpoch && left.goneSince.has_value() == right.goneSince.has_value();
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

std::vector<HostAddress> ServerDirectory::order(const FlowTuple &tuple) const
{
    const std::uint64_t hash = hashOf(tuple);
    std::vector<std::pair<Rank, HostAddress>> ranked;
    for (const auto &entry : m_servers) {
        for (const SteerServer &server : entry.second) {
            ranked.emplace_back(rankOf(hash, server, !server.goneSince), server.agent);
        }
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    std::vector<HostAddress> agents;
    agents.reserve(ranked.size());
    for (const auto &entry : ranked) {
        agents.push_back(entry.second);
    }
    return agents;
}

std::vector<FlowHome> ServerDirectory::homes(const FlowTuple &tuple) const
{
    const std::uint64_t hash = hashOf(tuple);
    struct Best {
        Rank rank;
        const SteerServer *server = nullptr;
    };
    std::map<std::uint64_t, Best> bestOfZone; // by the zone's score
    Best best;
    Best second; // in any zone, for a network with a single one
    for (const auto &entry : m_servers) {
        for (const SteerServer &server : entry.second) {
            const Best candidate{rankOf(hash, server, !server.goneSince), &server};
            Best &zone = bestOfZone[std::get<1>(candidate.rank)];
            if (zone.server == nullptr || zone.rank < candidate.rank) {
                zone = candidate;
            }
            if (best.server == nullptr || best.rank < candidate.rank) {
                second = std::exchange(best, candidate);
            } else if (second.server == nullptr || second.rank < candidate.rank) {
                second = candidate;
            }
        }
    }
    if (best.server == nullptr) {
        return {};
    }
    Best other; // best one of another zone
    for (const auto &entry : bestOfZone) {
        const bool isOtherZone = entry.second.server->zone != best.server->zone;
        if (isOtherZone && (other.server == nullptr || other.rank < entry.second.rank)) {
            other = entry.second;
        }
    }
    // A listed server of the same zone is better than one whose agent may be gone.
    if (other.server == nullptr || (std::get<0>(second.rank) && !std::get<0>(other.rank))) {
        other = second;
    }
    std::vector<FlowHome> homes{{best.server->agent, best.server->agentEpoch}};
    if (other.server != nullptr) {
        homes.push_back({other.server->agent, other.server->agentEpoch});
    }
    return homes;
}

std::optional<HostAddress> ServerDirectory::home(const FlowTuple &tuple) const
{
    const auto homes = this->homes(tuple);
    return homes.empty() ? std::nullopt : std::optional(homes.front().agent);
}

std::optional<HostAddress> ServerDirectory::next(const FlowTuple &tuple, const HostAddress &after) const
{
    const std::uint64_t hash = hashOf(tuple);
    const SteerServer *last = find(after);
    const auto bound = last == nullptr ? std::nullopt : std::optional(rankOf(hash, *last, !last->goneSince));
    std::optional<std::pair<Rank, HostAddress>> best;
    for (const auto &entry : m_servers) {
        for (const SteerServer &server : entry.second) {
            const std::pair candidate(rankOf(hash, server, !server.goneSince), server.agent);
            if ((!bound || candidate.first < *bound) && (!best || *best < candidate)) {
                best = candidate;
            }
        }
    }
    return best ? std::optional(best->second) : std::nullopt;
}

}
