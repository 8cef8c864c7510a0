#pragma once

#include <jujubequay/control/config_snapshot.h>
#include <jujubequay/core/clock.h>
#include <jujubequay/steering/segment.h>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace Jujubequay {

/// A server as balancers and agents steer flows to it.
struct SteerServer {
    HostAddress agent;
    ServiceKey service;
    std::string zone;
    Incarnation incarnation;
    bool takesNewFlows = false;
    bool isCold = false;
    /// Set once it is in no list any more; it may still hold flows.
    std::optional<TimePoint> goneSince;
};

struct ServerDirectoryOptions {
    /// How long a server that is in no list any more, and a service that is behind a route no more, is remembered for its open flows.
    Duration memory = std::chrono::seconds(75);
};

/// The servers behind each route, with those that left recently, and their order for a flow.
///
/// Every host orders the servers of a route alike for a flow (rendezvous hashing over the agents' addresses). The first one is the
/// flow's home: it is told when another server holds the flow. A host that does not know the holder asks the home; a home that
/// does not know it passes the packet on along the order. So servers that join or leave change the order of few flows.
class ServerDirectory
{
public:
    explicit ServerDirectory(ServerDirectoryOptions options);

    void update(TimePoint now, const ConfigSnapshot &snapshot);

    const RouteTable &routes() const;
    bool isReady() const; ///< a route table and a list of servers have arrived
    /// Null for an unknown agent.
    const SteerServer *find(const HostAddress &agent) const;
    /// Servers of a service, with those that are gone.
    std::span<const SteerServer> servers(ServiceKey service) const;
    /// True if flows of this address may be held by servers of a service, now or until recently.
    bool isKnownAddress(const HostAddress &address) const;
    /// The servers that may hold a flow, in its order; at most `limit`, starting after `after` if that is set.
    std::vector<HostAddress> order(const FlowEnds &ends, std::size_t limit, std::optional<HostAddress> after = std::nullopt) const;
    /// The first of the order; empty without servers.
    std::optional<HostAddress> home(const FlowEnds &ends) const;
    /// Next of the order after an agent.
    std::optional<HostAddress> next(const FlowEnds &ends, const HostAddress &after) const;

private:
    void rememberServices(TimePoint now, const RouteTable &table);
    void updateServers(TimePoint now, const ConfigSnapshot &snapshot);

    const ServerDirectoryOptions m_options;
    RouteTablePointer m_routes = std::make_shared<RouteTable>();
    bool m_isRegistryKnown = false;
    std::map<ServiceKey, std::vector<SteerServer>> m_servers;
    std::unordered_map<HostAddress, std::map<ServiceKey, TimePoint>> m_services; ///< behind each address, with the last time
};

}
