#include <jujubequay/steering/server_directory.h>

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace Jujubequay {

namespace {

std::uint64_t scoreOf(std::uint64_t flowHash, const HostAddress &agent)
{
    const std::uint64_t key = (std::uint64_t{agent.ip} << 16U) | agent.port;
    return XXH3_64bits_withSeed(&key, sizeof(key), flowHash);
}

SteerServer steerServerOf(const ServerSnapshot &server, const ServiceKey &service)
{
    return {server.relayAddress,
            service,
            server.zone,
            server.incarnation,
            server.order,
            server.agentEpoch,
            server.acceptsNewWork(),
            server.acceptsServiceKeys,
            std::nullopt};
}

// A control host that has restarted or was cut off may list an incarnation after this host has learned of a later one.
bool isEarlierIncarnation(const SteerServer &server, const SteerServer &other)
{
    return isConfirmed(server.incarnation) && isConfirmed(other.incarnation) && server.incarnation != other.incarnation && server.order < other.order;
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
        updateDeregistered(now, snapshot);
        return updateServers(now, snapshot);
    }
    return false;
}

void ServerDirectory::updateDeregistered(TimePoint now, const ConfigSnapshot &snapshot)
{
    ServerEnds deregistered;
    for (const DeregisteredServer &server : snapshot.deregisteredServers) {
        const std::pair key{server.relayAddress, server.incarnation};
        const auto known = m_deregistered.find(key);
        if (known != m_deregistered.end()) {
            deregistered.insert(*known);
            continue;
        }
        const ServerEnd end{ServerEndCause::Deregistered, {}, now};
        deregistered.emplace(key, end);
        m_newlyEnded.push_back({server.relayAddress, server.incarnation, end});
    }
    m_deregistered = std::move(deregistered);
}

bool ServerDirectory::updateServers(TimePoint now, const ConfigSnapshot &snapshot)
{
    updateServiceKeys(snapshot);
    std::map<HostAddress, SteerServer> listed;
    for (const ServerSnapshot &server : snapshot.servers) {
        listed[server.relayAddress] = steerServerOf(server, m_serviceKeys.at(server.service));
    }
    for (const auto &[service, previous] : m_servers) {
        for (const SteerServer &server : previous) {
            const auto current = listed.find(server.agent);
            if (current != listed.end() && isEarlierIncarnation(current->second, server)) {
                listed.erase(current);
            }
        }
    }
    std::map<ServiceKey, std::vector<SteerServer>> servers;
    for (const auto &[agent, server] : listed) {
        m_replaced.erase({agent, server.incarnation});
        servers[server.service].push_back(server);
    }
    for (const auto &[service, previous] : m_servers) {
        for (SteerServer server : previous) {
            const auto current = listed.find(server.agent);
            if (current != listed.end()) {
                recordReplacement(now, server, current->second);
                continue;
            }
            if (hasEnded(server.agent, server.incarnation)) {
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
    std::erase_if(m_replaced, [&](const auto &entry) {
        return now - entry.second.learnedAt >= m_options.unlistedRetention;
    });
    return !isUnchanged;
}

void ServerDirectory::updateServiceKeys(const ConfigSnapshot &snapshot)
{
    const std::unordered_map<std::string, ServiceKey> known = std::exchange(m_serviceKeys, {});
    for (const ServerSnapshot &server : snapshot.servers) {
        const auto [entry, isNew] = m_serviceKeys.try_emplace(server.service);
        if (isNew) {
            const auto previous = known.find(server.service);
            entry->second = previous == known.end() ? serviceKey(server.service) : previous->second;
        }
    }
}

void ServerDirectory::recordReplacement(TimePoint now, const SteerServer &previous, const SteerServer &server)
{
    if (isConfirmed(previous.incarnation) && isConfirmed(server.incarnation) && previous.incarnation != server.incarnation) {
        const ServerEnd end{ServerEndCause::Replaced, server.incarnation, now};
        m_replaced[{previous.agent, previous.incarnation}] = end;
        m_newlyEnded.push_back({previous.agent, previous.incarnation, end});
    }
}

void ServerDirectory::indexServers()
{
    m_positions.clear();
    m_groups.clear();
    for (const auto &[service, servers] : m_servers) {
        for (std::size_t index = 0; index < servers.size(); ++index) {
            m_positions[servers[index].agent] = {service, index};
            addToGroup(servers[index]);
        }
    }
}

void ServerDirectory::addToGroup(const SteerServer &server)
{
    const bool isListed = !server.unlistedSince;
    auto group = std::find_if(m_groups.begin(), m_groups.end(), [&](const Group &existing) {
        return existing.isListed == isListed && existing.zone == server.zone;
    });
    if (group == m_groups.end()) {
        group = m_groups.insert(m_groups.end(), {server.zone, isListed, {}});
    }
    group->agents.push_back({server.agent, server.agentEpoch});
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

bool ServerDirectory::acceptsServiceKeys(const HostAddress &agent) const
{
    const SteerServer *server = find(agent);
    return server != nullptr && server->acceptsServiceKeys;
}

std::span<const SteerServer> ServerDirectory::servers(ServiceKey service) const
{
    const auto found = m_servers.find(service);
    return found == m_servers.end() ? std::span<const SteerServer>() : std::span<const SteerServer>(found->second);
}

bool ServerDirectory::hasEnded(const HostAddress &agent, Incarnation incarnation) const
{
    return m_deregistered.contains({agent, incarnation}) || m_replaced.contains({agent, incarnation});
}

std::optional<ServerEnd> ServerDirectory::serverEnd(const HostAddress &agent, Incarnation incarnation) const
{
    for (const ServerEnds *ends : {&m_deregistered, &m_replaced}) {
        const auto found = ends->find({agent, incarnation});
        if (found != ends->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

std::vector<EndedServer> ServerDirectory::takeEndedServers()
{
    return std::exchange(m_newlyEnded, {});
}

// The score of the zone comes before that of the server, so that an owner lookup changes zones as rarely as possible.
std::vector<const ServerDirectory::Group *> ServerDirectory::rankedGroups(std::uint64_t flowHash) const
{
    std::vector<std::pair<std::pair<bool, std::uint64_t>, const Group *>> ranked;
    ranked.reserve(m_groups.size());
    for (const Group &group : m_groups) {
        const std::uint64_t zoneScore = XXH3_64bits_withSeed(group.zone.data(), group.zone.size(), flowHash);
        ranked.push_back({{group.isListed, zoneScore}, &group});
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    std::vector<const Group *> groups;
    groups.reserve(ranked.size());
    for (const auto &entry : ranked) {
        groups.push_back(entry.second);
    }
    return groups;
}

const FlowRegistrar *ServerDirectory::bestBelow(const Group &group, std::uint64_t flowHash, std::optional<std::uint64_t> bound)
{
    const FlowRegistrar *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const FlowRegistrar &candidate : group.agents) {
        const std::uint64_t score = scoreOf(flowHash, candidate.agent);
        if ((!bound || score < *bound) && (best == nullptr || score > bestScore)) {
            best = &candidate;
            bestScore = score;
        }
    }
    return best;
}

std::vector<HostAddress> ServerDirectory::rankedAgents(const FlowTuple &tuple) const
{
    const std::uint64_t hash = hashOf(tuple);
    std::vector<HostAddress> agents;
    agents.reserve(m_positions.size());
    std::vector<std::pair<std::uint64_t, HostAddress>> ranked;
    for (const Group *group : rankedGroups(hash)) {
        ranked.clear();
        for (const FlowRegistrar &candidate : group->agents) {
            ranked.emplace_back(scoreOf(hash, candidate.agent), candidate.agent);
        }
        std::sort(ranked.begin(), ranked.end(), std::greater<>());
        for (const auto &entry : ranked) {
            agents.push_back(entry.second);
        }
    }
    return agents;
}

std::vector<FlowRegistrar> ServerDirectory::registrars(const FlowTuple &tuple) const
{
    const std::uint64_t hash = hashOf(tuple);
    const std::vector<const Group *> groups = rankedGroups(hash);
    if (groups.empty()) {
        return {};
    }
    const Group &first = *groups.front();
    const FlowRegistrar best = *bestBelow(first, hash, std::nullopt);
    const auto otherZone = std::find_if(groups.begin(), groups.end(), [&first](const Group *group) {
        return group->zone != first.zone;
    });
    const FlowRegistrar *second = bestBelow(first, hash, scoreOf(hash, best.agent));
    const bool isSecondListed = second != nullptr && first.isListed;
    // A listed server of the same zone is better than an unlisted one, whose agent may no longer run.
    if (otherZone != groups.end() && ((*otherZone)->isListed || !isSecondListed)) {
        return {best, *bestBelow(**otherZone, hash, std::nullopt)};
    }
    if (second == nullptr && groups.size() > 1) {
        second = bestBelow(*groups[1], hash, std::nullopt);
    }
    return second == nullptr ? std::vector{best} : std::vector{best, *second};
}

std::optional<HostAddress> ServerDirectory::firstRegistrar(const FlowTuple &tuple) const
{
    const std::uint64_t hash = hashOf(tuple);
    const std::vector<const Group *> groups = rankedGroups(hash);
    return groups.empty() ? std::nullopt : std::optional(bestBelow(*groups.front(), hash, std::nullopt)->agent);
}

std::optional<HostAddress> ServerDirectory::nextAgent(const FlowTuple &tuple, const HostAddress &previous) const
{
    const std::uint64_t hash = hashOf(tuple);
    const std::vector<const Group *> groups = rankedGroups(hash);
    auto group = groups.begin();
    if (const SteerServer *server = find(previous)) {
        group = std::find_if(groups.begin(), groups.end(), [server](const Group *candidate) {
            return candidate->zone == server->zone && candidate->isListed == !server->unlistedSince.has_value();
        });
        if (const FlowRegistrar *next = bestBelow(**group, hash, scoreOf(hash, previous))) {
            return next->agent;
        }
        ++group;
    }
    return group == groups.end() ? std::nullopt : std::optional(bestBelow(**group, hash, std::nullopt)->agent);
}

bool ServerDirectory::ranksBelowInGroup(const FlowTuple &tuple, const HostAddress &previous, const HostAddress &next) const
{
    const SteerServer *from = find(previous);
    const SteerServer *to = find(next);
    const bool isSameGroup = from != nullptr && to != nullptr && from->zone == to->zone && from->unlistedSince.has_value() == to->unlistedSince.has_value();
    const std::uint64_t hash = hashOf(tuple);
    return isSameGroup && scoreOf(hash, next) < scoreOf(hash, previous);
}

}
