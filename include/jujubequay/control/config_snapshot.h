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

/// Limits of one service, from its bundle. They apply to each backend server.
struct ServiceAdmission {
    std::uint32_t slots = 1; ///< concurrent requests
    std::uint32_t maxConnections = 0;
    std::uint32_t queueLimit = 0; ///< requests that wait for a slot
    std::chrono::milliseconds queueTimeout{0};
    std::chrono::milliseconds drainLimit{0};
    std::map<std::string, std::uint32_t> customerWeights; ///< customers that are not named have weight 1
    bool operator==(const ServiceAdmission &) const = default;
};

/// One service as the bundle in force describes it.
struct ServiceSnapshot {
    ServiceId id;
    std::string name;
    std::uint64_t version = 0; ///< of the bundle
    std::uint64_t revision = 0; ///< at which this bundle took effect; the relay header carries it
    std::vector<HostAddress> addresses; ///< that callers use
    ServiceAdmission admission;
    std::vector<std::string> serverNames; ///< names allowed to announce; a trailing "*" matches any suffix
    bool operator==(const ServiceSnapshot &) const = default;
};

enum class ServerAvailability : std::uint8_t {
    Starting, ///< announced, takes no work yet
    Serving, ///< takes new work
    Draining, ///< finishes its work, takes no new work
    Left, ///< ended or removed; kept so that an older entry cannot displace it
    Suspect, ///< silent together with many others of its availability zone; still routable
};

std::string_view serverAvailabilityName(ServerAvailability state);

/// Incarnation of a server that runs and has not announced itself yet, because its agent has just started.
constexpr Incarnation unconfirmedIncarnation{1};

/// One backend server as its agent announced it.
struct ServerSnapshot {
    std::string name;
    std::string service;
    ServiceId serviceId; ///< zero while the service has no bundle in force
    HostAddress relayAddress; ///< of the agent
    Incarnation incarnation;
    ServerAvailability state = ServerAvailability::Starting;
    std::uint32_t agentEpoch = 0; ///< differs between starts of the agent
    std::uint32_t weight = 100; ///< 1 to 1000; 100 is an ordinary server
    std::string zone;
    std::string host;
    /// True for a server that may be given new flows and requests.
    bool acceptsNewWork() const;
    bool operator==(const ServerSnapshot &) const = default;
};

/// A server that has announced its own end.
struct DeregisteredServer {
    HostAddress relayAddress;
    Incarnation incarnation;
    bool operator==(const DeregisteredServer &) const = default;
};

/// Everything that a balancer or an agent uses from the control hosts. Immutable once published; a later state is a new
/// object. Read it from other threads through ConfigSnapshotPointer.
struct ConfigSnapshot {
    std::uint64_t revision = 0; ///< of the control state; 0 before the first state arrived
    std::uint64_t flowKeyRevision = 0;
    FlowKeySet flowKeys;
    std::vector<ServiceSnapshot> services; ///< ordered by id
    std::vector<ServerSnapshot> servers; ///< ordered by name; without those that left
    std::vector<DeregisteredServer> deregisteredServers; ///< the last ones that ended by themselves, oldest first; not those that fell silent
    bool hasRegistry = false; ///< false until a control host has sent its list of servers
    /// False while control hosts that have restarted still wait for agents: a server that is not listed may exist.
    bool isRegistryComplete = false;
    RouteTablePointer routes = std::make_shared<RouteTable>(); ///< never null; version 0 before the first table arrived

    /// Null if the service is not in force.
    const ServiceSnapshot *findService(ServiceId id) const;
    const ServiceSnapshot *findService(std::string_view name) const;
};

using ConfigSnapshotPointer = std::shared_ptr<const ConfigSnapshot>;

/// Called on the control thread with each new state.
using ConfigSnapshotHandler = std::function<void(const ConfigSnapshotPointer &)>;

}
