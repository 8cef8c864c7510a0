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

/// Whether the server is listed, the score of its availability zone and its own score. A greater rank is better. The zone comes before the
/// server, so that an owner lookup changes zones as rarely as possible.
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
        m_hasRegistry = true;
        m_isRegistryComplete = snapshot.isRegistryComplete;
        m_deregistered.clear();
        for (const DeregisteredServer &server : snapshot.deregisteredServers) {
            m_deregistered.emplace(server.relayAddress, server.incarnation);
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
    for (const auto &[service, previous] : m_servers) {
        for (SteerServer server : previous) {
            if (listed.contains(server.agent) || hasDeregistered(server.agent, server.incarnation)) {
                continue;
            }
            server.acceptsNewFlows = false;
            server.unlistedSince = server.unlistedSince.value_or(now);
            if (now - *server.unlistedSince < m_options.unlistedRetention) {
                servers[service].push_back(std::move(server));
            }
        }
    }
    const auto isSameServer = [](const SteerServer &left, const SteerServer &right) {
        return left.agent == right.agent && left.agentEpoch == right.agentEpoch && left.unlistedSince.has_value() == right.unlistedSince.has_value();
    };
    const bool isUnchanged = std::equal(m_servers.begin(), m_servers.end(), servers.begin(), servers.end(), [&](const auto &left, const auto &right) {
        return left.first == right.first && std::equal(left.second.begin(), left.second.end(), right.second.begin(), right.second.end(), isSameServer);
    });
    m_servers = std::move(servers);
    indexServers();
    return !isUnchanged;
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
    return m_hasRegistry && m_routes->version() != 0;
}

bool ServerDirectory::isRegistryComplete() const
{
    return m_isRegistryComplete;
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

bool ServerDirectory::hasDeregistered(const HostAddress &agent, Incarnation incarnation) const
{
    return m_deregistered.contains({agent, incarnation});
}

std::vector<HostAddress> ServerDirectory::rankedAgents(const FlowTuple &tuple) const
{
    const std::uint64_t hash = hashOf(tuple);
    std::vector<std::pair<Rank, HostAddress>> rankedServers;
    for (const auto &entry : m_servers) {
        for (const SteerServer &server : entry.second) {
            rankedServers.emplace_back(rankOf(hash, server, !server.unlistedSince), server.agent);
        }
    }
    std::sort(rankedServers.begin(), rankedServers.end(), std::greater<>());
    std::vector<HostAddress> agents;
    agents.reserve(rankedServers.size());
    for (const auto &entry : rankedServers) {
        agents.push_back(entry.second);
    }
    return agents;
}

std::vector<FlowRegistrar> ServerDirectory::registrars(const FlowTuple &tuple) const
{
    const std::uint64_t hash = hashOf(tuple);
    struct Candidate {
        Rank rank;
        const SteerServer *server = nullptr;
    };
    std::map<std::uint64_t, Candidate> bestInZone; // by the score of the zone
    Candidate best;
    Candidate second; // second best server of any zone, for a network with a single zone
    for (const auto &entry : m_servers) {
        for (const SteerServer &server : entry.second) {
            const Candidate candidate{rankOf(hash, server, !server.unlistedSince), &server};
            Candidate &zone = bestInZone[std::get<1>(candidate.rank)];
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
    Candidate other; // best server of the other zones
    for (const auto &entry : bestInZone) {
        const bool isOtherZone = entry.second.server->zone != best.server->zone;
        if (isOtherZone && (other.server == nullptr || other.rank < entry.second.rank)) {
            other = entry.second;
        }
    }
    // A listed server of the same zone is better than an unlisted one, whose agent may no longer run.
    if (other.server == nullptr || (std::get<0>(second.rank) && !std::get<0>(other.rank))) {
        other = second;
    }
    std::vector<FlowRegistrar> registrars{{best.server->agent, best.server->agentEpoch}};
    if (other.server != nullptr) {
        registrars.push_back({other.server->agent, other.server->agentEpoch});
    }
    return registrars;
}

std::optional<HostAddress> ServerDirectory::firstRegistrar(const FlowTuple &tuple) const
{
    const auto registrars = this->registrars(tuple);
    return registrars.empty() ? std::nullopt : std::optional(registrars.front().agent);
}

std::optional<HostAddress> ServerDirectory::nextAgent(const FlowTuple &tuple, const HostAddress &previous) const
{
    const std::uint64_t hash = hashOf(tuple);
    const SteerServer *previousServer = find(previous);
    const auto bound = previousServer == nullptr ? std::nullopt : std::optional(rankOf(hash, *previousServer, !previousServer->unlistedSince));
    std::optional<std::pair<Rank, HostAddress>> best;
    for (const auto &entry : m_servers) {
        for (const SteerServer &server : entry.second) {
            const std::pair candidate(rankOf(hash, server, !server.unlistedSince), server.agent);
            if ((!bound || candidate.first < *bound) && (!best || *best < candidate)) {
                best = candidate;
            }
        }
    }
    return best ? std::optional(best->second) : std::nullopt;
}

}
