#pragma once

#include <jujubequay/control/config_snapshot.h>
#include <jujubequay/core/clock.h>
#include <jujubequay/steering/flow_ownership.h>
#include <jujubequay/steering/segment.h>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Jujubequay {

/// A backend server as balancers and agents use it.
struct SteerServer {
    HostAddress agent; ///< relay address of the server's agent
    ServiceKey service;
    std::string zone; ///< availability zone
    Incarnation incarnation;
    std::uint64_t order = 0; ///< increases with each incarnation of the agent's servers
    std::uint32_t agentEpoch = 0; ///< changes with each restart of the agent
    bool acceptsNewFlows = false;
    bool acceptsServiceKeys = false; ///< the agent decodes opening packets with the full key of a service
    /// When the server disappeared from the server list; empty while it is listed. An unlisted server may still own flows.
    std::optional<TimePoint> unlistedSince;
};

/// An agent with which the owner of a flow registers the flow.
struct FlowRegistrar {
    HostAddress agent;
    std::uint32_t agentEpoch = 0; ///< an agent that restarts loses its registrations and gets a new epoch
    bool operator==(const FlowRegistrar &) const = default;
};

/// An incarnation of a server that has ended, as the directory has learned from a server list.
struct EndedServer {
    HostAddress agent;
    Incarnation incarnation;
    ServerEnd end;
};

struct ServerDirectoryOptions {
    /// How long a server is kept after it has disappeared from the server list, for its open flows.
    Duration unlistedRetention = std::chrono::seconds(75);
};

/// All servers, including those that have left the server list recently, and their rank for each flow.
///
/// All hosts rank the servers of a flow alike: by rendezvous hashing of the availability zones, and within each zone of the agents'
/// addresses. Therefore a server that joins or leaves changes the ranks of few flows. Two agents of different availability zones, the best
/// of all and the best of another zone, are the registrars of a flow: the owner registers the flow with them. A balancer without an entry
/// for a flow sends the packet to the first registrar. An agent without an entry forwards the packet to the second registrar and after that
/// to all agents in the order of their ranks, which changes little between slightly different server lists. Unlisted servers rank last,
/// since their agents may no longer run, so that packets to them would be lost. The service is not part of the rank: the route may have led to another service
/// when the flow was opened, and a host that has just started has only the current route table.
class ServerDirectory
{
public:
    explicit ServerDirectory(ServerDirectoryOptions options);

    /// Returns true if servers have joined, left or changed their service, or if agents have restarted.
    bool update(TimePoint now, const ConfigSnapshot &snapshot);

    const RouteTable &routes() const;
    bool isReady() const; ///< a route table and a server list have been received
    /// False while servers may be missing in the list because the control hosts have restarted.
    bool isRegistryComplete() const;
    /// Returns null for an unknown agent.
    const SteerServer *find(const HostAddress &agent) const;
    /// True if the agent decodes opening packets with the full key of a service.
    bool acceptsServiceKeys(const HostAddress &agent) const;
    /// The servers of a service, including unlisted ones.
    std::span<const SteerServer> servers(ServiceKey service) const;
    /// True if the server has certainly ended, so that its flows do not exist any more: it has deregistered itself, or it was listed before
    /// another server of the same agent. An incarnation that was never listed may be newer than the list.
    bool hasEnded(const HostAddress &agent, Incarnation incarnation) const;
    /// Why the server counts as ended; empty if it does not.
    std::optional<ServerEnd> serverEnd(const HostAddress &agent, Incarnation incarnation) const;
    /// The servers that have ended since the last call, for logs.
    std::vector<EndedServer> takeEndedServers();
    /// The agents of all servers by their rank for a flow, best first.
    std::vector<HostAddress> rankedAgents(const FlowTuple &tuple) const;
    /// The registrars of a flow: two agents, if possible of different availability zones, or fewer if there are fewer servers.
    std::vector<FlowRegistrar> registrars(const FlowTuple &tuple) const;
    /// The first registrar of a flow; empty without servers.
    std::optional<HostAddress> firstRegistrar(const FlowTuple &tuple) const;
    /// The agent that ranks next after `previous` for a flow, or the best one if `previous` is unknown; empty after the last one.
    std::optional<HostAddress> nextAgent(const FlowTuple &tuple, const HostAddress &previous) const;
    /// True if `next` ranks below `previous` in the same group. Hosts with different lists may disagree about groups but not about scores, so
    /// a sequence of such steps never returns to an agent.
    bool ranksBelowInGroup(const FlowTuple &tuple, const HostAddress &previous, const HostAddress &next) const;

private:
    /// Index of a server in m_servers.
    struct Position {
        ServiceKey service;
        std::size_t index = 0;
    };

    /// Servers of one availability zone that are all listed, or all unlisted. All hosts rank the groups of a flow alike, and the servers
    /// within a group.
    struct Group {
        std::string zone;
        bool isListed = true;
        std::vector<FlowRegistrar> agents; ///< never empty
    };

    void addToGroup(const SteerServer &server);
    /// All groups by their rank for a flow, best first.
    std::vector<const Group *> rankedGroups(std::uint64_t flowHash) const;
    /// The agent of a group with the highest score, or with the highest one below a bound; null if no score is below it.
    static const FlowRegistrar *bestBelow(const Group &group, std::uint64_t flowHash, std::optional<std::uint64_t> bound);
    void updateDeregistered(TimePoint now, const ConfigSnapshot &snapshot);
    bool updateServers(TimePoint now, const ConfigSnapshot &snapshot);
    void indexServers();
    /// The keys of the services of all listed servers, of which those that are known already are not computed again.
    void updateServiceKeys(const ConfigSnapshot &snapshot);
    void recordReplacement(TimePoint now, const SteerServer &previous, const SteerServer &server);

    const ServerDirectoryOptions m_options;
    RouteTablePointer m_routes = std::make_shared<RouteTable>();
    bool m_hasRegistry = false;
    bool m_isRegistryComplete = false;
    using ServerEnds = std::map<std::pair<HostAddress, Incarnation>, ServerEnd>;
    ServerEnds m_deregistered;
    ServerEnds m_replaced;
    std::vector<EndedServer> m_newlyEnded;
    std::map<ServiceKey, std::vector<SteerServer>> m_servers;
    std::unordered_map<std::string, ServiceKey> m_serviceKeys; ///< key by the name of the service
    std::vector<Group> m_groups;
    std::unordered_map<HostAddress, Position> m_positions; ///< position by agent, for the lookup of each packet
};

}
