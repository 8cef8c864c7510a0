#pragma once

#include <jujubequay/control/config_snapshot.h>
#include <jujubequay/core/clock.h>
#include <jujubequay/steering/segment.h>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Jujubequay {

/// A server as balancers and agents steer flows to it.
struct SteerServer {
    HostAddress agent;
    ServiceKey service;
    std::string zone;
    Incarnation incarnation;
    std::uint32_t agentEpoch = 0; ///< differs between starts of the agent
    bool takesNewFlows = false;
    /// Set once it is in no list any more; it may still hold flows.
    std::optional<TimePoint> goneSince;
};

/// An agent that is told where a flow is.
struct FlowHome {
    HostAddress agent;
    std::uint32_t agentEpoch = 0; ///< an agent that starts again knows nothing
    bool operator==(const FlowHome &) const = default;
};

struct ServerDirectoryOptions {
    /// How long a server that is in no list any more is remembered for its open flows.
    Duration memory = std::chrono::seconds(75);
};

/// All servers, with those that left recently, and their order for a flow.
///
/// Every host orders the servers alike for a flow (rendezvous hashing over availability zones, and within each over the agents'
/// addresses), so servers that join or leave change the order of few flows. The first two, of different availability zones, are the
/// flow's homes: they are told where the flow is. A host that does not know the holder asks the first home; an agent that does not
/// know it passes the packet on to the second home, and then along the order of ranks, which hosts with slightly different lists
/// share. Servers that are in no list any more come last: their agents may be gone, and packets to them lost. Services play no part
/// in the order, since a route may have led to another service when the flow was opened, and a host that has just started knows only
/// the present one.
class ServerDirectory
{
public:
    explicit ServerDirectory(ServerDirectoryOptions options);

    /// Returns true if servers have joined, left or moved to another service, or agents have started again.
    bool update(TimePoint now, const ConfigSnapshot &snapshot);

    const RouteTable &routes() const;
    bool isReady() const; ///< a route table and a list of servers have arrived
    /// False while servers may exist that are not listed, because the control hosts have restarted.
    bool isComplete() const;
    /// Null for an unknown agent.
    const SteerServer *find(const HostAddress &agent) const;
    /// Servers of a service, with those that are gone.
    std::span<const SteerServer> servers(ServiceKey service) const;
    /// True if the server has ended by itself; its flows exist no more.
    bool hasDeparted(const HostAddress &agent, Incarnation incarnation) const;
    /// All servers by their rank for a flow, best first.
    std::vector<HostAddress> order(const FlowTuple &tuple) const;
    /// The agents that are told where a flow is.
    std::vector<FlowHome> homes(const FlowTuple &tuple) const;
    /// The first home; empty without servers.
    std::optional<HostAddress> home(const FlowTuple &tuple) const;
    /// Next by rank after an agent; the best one after an agent that is not in the list.
    std::optional<HostAddress> next(const FlowTuple &tuple, const HostAddress &after) const;

private:
    /// Where a server stands in m_servers.
    struct Position {
        ServiceKey service;
        std::size_t index = 0;
    };

    bool updateServers(TimePoint now, const ConfigSnapshot &snapshot);
    void indexServers();

    const ServerDirectoryOptions m_options;
    RouteTablePointer m_routes = std::make_shared<RouteTable>();
    bool m_isRegistryKnown = false;
    bool m_isComplete = false;
    std::set<std::pair<HostAddress, Incarnation>> m_departed;
    std::map<ServiceKey, std::vector<SteerServer>> m_servers;
    std::unordered_map<HostAddress, Position> m_positions; ///< asked for each packet
};

}
