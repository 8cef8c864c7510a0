#pragma once

#include <jujubequay/control/route_table.h>
#include <jujubequay/core/identifiers.h>
#include <jujubequay/wire/flow_id.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Jujubequay {

/// Admission limits of one service, from its bundle. They apply to each backend server separately.
struct ServiceAdmission {
    std::uint32_t slots = 1; ///< maximum number of concurrent requests
    std::uint32_t maxConnections = 0;
    std::uint32_t queueLimit = 0; ///< maximum number of requests that wait for a slot
    std::chrono::milliseconds queueTimeout{0};
    std::chrono::milliseconds drainLimit{0};
    std::map<std::string, std::uint32_t> customerWeights; ///< by customer name; customers that are not listed have weight 1
    bool operator==(const ServiceAdmission &) const = default;
};

/// One service as the bundle in force describes it.
struct ServiceSnapshot {
    ServiceId id;
    std::string name;
    std::uint64_t version = 0; ///< version of the bundle in force
    std::uint64_t revision = 0; ///< control state revision at which the bundle took effect; sent in the relay header
    std::vector<HostAddress> addresses; ///< service addresses to which callers connect
    ServiceAdmission admission;
    std::vector<std::string> serverNames; ///< names that servers may announce; a trailing "*" matches any suffix
    bool operator==(const ServiceSnapshot &) const = default;
};

enum class ServerAvailability : std::uint8_t {
    Starting, ///< announced, does not accept work yet
    Serving, ///< accepts new work
    Draining, ///< finishes its work, accepts no new work
    Left, ///< ended or removed; the entry is kept so that an older one cannot replace it
    Suspect, ///< heartbeats are missing, but the server is not removed yet; still routable
};

std::string_view serverAvailabilityName(ServerAvailability state);

/// Incarnation of a running server that has not announced itself yet because its agent has just started.
constexpr Incarnation unconfirmedIncarnation{1};

/// True if the server itself has stated the incarnation: it is neither unknown nor unconfirmed.
bool isConfirmed(Incarnation incarnation);

/// One backend server as its agent announced it.
struct ServerSnapshot {
    std::string name;
    std::string service;
    ServiceId serviceId; ///< zero while the service has no bundle in force
    HostAddress relayAddress; ///< relay address of the server's agent
    Incarnation incarnation;
    std::uint64_t order = 0; ///< increases with each incarnation of a name, also across control hosts
    ServerAvailability state = ServerAvailability::Starting;
    std::uint32_t agentEpoch = 0; ///< changes with each restart of the agent
    std::uint32_t weight = 100; ///< 1 to 1000; the default is 100
    bool acceptsServiceKeys = false; ///< the agent decodes opening packets with the full key of a service
    std::string zone;
    /// True if new flows and requests may be sent to the server.
    bool acceptsNewWork() const;
    bool operator==(const ServerSnapshot &) const = default;
};

/// A server that deregistered itself before it ended.
struct DeregisteredServer {
    HostAddress relayAddress;
    Incarnation incarnation;
    bool operator==(const DeregisteredServer &) const = default;
};

/// Where a server list comes from, for logs.
struct RegistrySource {
    HostAddress controlHost; ///< empty before the first list of a control host
    std::uint64_t epoch = 0; ///< changes with each restart of the control host
    std::uint64_t sequence = 0; ///< of the newest change in the list
    bool operator==(const RegistrySource &) const = default;
};

/// Configuration and server list that a balancer or an agent has received from the control hosts. Immutable once published; each
/// change is published as a new object. Other threads access it through ConfigSnapshotPointer.
struct ConfigSnapshot {
    std::uint64_t revision = 0; ///< revision of the control state; 0 before the first state was received
    std::uint64_t flowKeyRevision = 0;
    FlowKeySet flowKeys;
    std::vector<ServiceSnapshot> services; ///< ordered by id
    std::vector<ServerSnapshot> servers; ///< ordered by name; without servers in state Left
    std::vector<DeregisteredServer> deregisteredServers; ///< most recent ones, oldest first; without servers that were removed for missing heartbeats
    bool hasRegistry = false; ///< false until a control host has sent its server list
    /// False while restarted control hosts still wait for agents to announce themselves: a server that is not listed may exist.
    bool isRegistryComplete = false;
    RegistrySource registrySource;
    RouteTablePointer routes = std::make_shared<RouteTable>(); ///< never null; version 0 before the first table was received

    /// Null if the service has no bundle in force.
    const ServiceSnapshot *findService(ServiceId id) const;
    const ServiceSnapshot *findService(std::string_view name) const;
};

using ConfigSnapshotPointer = std::shared_ptr<const ConfigSnapshot>;

/// Called on the control thread with each new snapshot.
using ConfigSnapshotHandler = std::function<void(const ConfigSnapshotPointer &)>;

}
