#pragma once

#include <jujubequay/core/log.h>
#include <jujubequay/daemon/common_settings.h>
#include <jujubequay/daemon/settings_reader.h>

#include <chrono>
#include <filesystem>
#include <optional>
#include <vector>

namespace Jujubequay {

/// How a process in a network without keys finds and watches the control hosts.
struct DiscoverySettings {
    CommonSettings common;
    std::uint32_t maxLogRepeats = 0; ///< log lines of one event within 10 seconds
    std::vector<HostAddress> seeds; ///< control hosts to contact first; the addresses of the others are received from them
    std::chrono::milliseconds retryLimit{}; ///< longest wait before another control host is tried
    std::chrono::milliseconds silenceLimit{}; ///< time without a message from the watched control host after which another one is watched
};

/// Settings of a balancer for flows whose packets carry no flow identifier.
struct SteeringBalancerSettings {
    DiscoverySettings discovery;
    HostAddress callerAddress; ///< address that receives packets of callers (UDP)
    HostAddress peerAddress; ///< address that receives notices of agents (UDP)
    HostAddress readyAddress; ///< address of the readiness endpoint (HTTP)
    std::chrono::milliseconds drainTime{}; ///< time to keep forwarding after SIGTERM
};

/// Settings of an agent that is co-located with a server which accepts and ends flows itself.
struct SteeringAgentSettings {
    DiscoverySettings discovery;
    HostAddress relayAddress; ///< address that receives packets from balancers and other agents (UDP)
    HostAddress serverOutput; ///< address that receives the packets of the server (UDP)
    HostAddress serverInput; ///< address of the server for packets (UDP) and status checks (HTTP)
    std::string service; ///< service of the server until the server announces itself; may be empty
    HostAddress readyAddress; ///< address of the readiness endpoint (HTTP)
    HostAddress announceAddress; ///< address that receives announcements of the server (HTTP)
    HostAddress callerAddress; ///< address of which only the port is used, on which callers receive packets
    std::chrono::milliseconds announceInterval{}; ///< interval between announcements of the server
};

/// Settings of a control host that discovers the other control hosts.
struct RouteControlSettings {
    DiscoverySettings discovery;
    HostAddress peerAddress; ///< address at which other processes reach the control streams of this host (TCP)
    HostAddress listenAddress; ///< local address on which control streams are accepted (TCP)
    HostAddress operatorAddress; ///< address that accepts calls of operators (HTTP)
    std::filesystem::path dataDirectory; ///< directory of the replicated log
    bool isFirstStart = false; ///< the whole system starts for the first time, with empty disks
    std::size_t toleratedDiskLosses = 0; ///< disks that can be lost at the same time without loss of state
    std::chrono::milliseconds heartbeat{}; ///< interval between messages from the leader
    std::chrono::milliseconds electionTimeout{}; ///< shortest time without a message from the leader before an election
    std::uint64_t snapshotEntries = 0; ///< log entries between snapshots
    std::chrono::milliseconds lease{}; ///< time after which an announcement that is not renewed expires
};

SteeringBalancerSettings readSteeringBalancerSettings(SettingsReader &reader);
SteeringAgentSettings readSteeringAgentSettings(SettingsReader &reader);
RouteControlSettings readRouteControlSettings(SettingsReader &reader);

}
