#pragma once

#include <jujubequay/core/log.h>
#include <jujubequay/daemon/common_settings.h>
#include <jujubequay/daemon/settings_reader.h>

#include <chrono>
#include <filesystem>
#include <optional>
#include <vector>

namespace Jujubequay {

/// How a process of a network without keys finds and watches the control hosts.
struct DiscoverySettings {
    CommonSettings common;
    std::uint32_t maxLogRepeats = 0; ///< lines of one event in ten seconds
    std::vector<HostAddress> seeds; ///< control hosts to begin with; others are learned from them
    std::chrono::milliseconds retryLimit{};
    std::chrono::milliseconds silenceLimit{};
};

/// Settings of a balancer that steers flows without identifiers.
struct SteeringBalancerSettings {
    DiscoverySettings discovery;
    HostAddress callerAddress; ///< where callers' packets arrive (UDP)
    HostAddress peerAddress; ///< where notices of agents arrive (UDP)
    HostAddress readyAddress; ///< answers whether this balancer can forward (HTTP)
    std::chrono::milliseconds drainTime{};
};

/// Settings of an agent beside a server that opens and ends flows by itself.
struct SteeringAgentSettings {
    DiscoverySettings discovery;
    HostAddress relayAddress; ///< where balancers and other agents send packets to (UDP)
    HostAddress serverOutput; ///< where the server sends its packets to (UDP)
    HostAddress serverInput; ///< where the server receives packets (UDP) and status checks (HTTP)
    std::string service; ///< that the server belongs to, until it announces itself; may be empty
    HostAddress readyAddress;
    HostAddress announceAddress; ///< where the server announces itself (HTTP)
    HostAddress callerAddress; ///< its port is the one on which callers receive packets
    std::chrono::milliseconds announceInterval{};
};

/// Settings of a control host that finds the others by itself.
struct RouteControlSettings {
    DiscoverySettings discovery;
    HostAddress peerAddress; ///< where others reach its control streams (TCP)
    HostAddress listenAddress; ///< where it accepts them
    HostAddress operatorAddress; ///< operators' calls (HTTP)
    std::filesystem::path dataDirectory;
    bool isFirstStart = false; ///< the whole system starts for the first time, with empty disks
    std::size_t toleratedDiskLosses = 0;
    std::chrono::milliseconds heartbeat{};
    std::chrono::milliseconds electionTimeout{};
    std::uint64_t snapshotEntries = 0;
    std::chrono::milliseconds lease{};
};

SteeringBalancerSettings readSteeringBalancerSettings(SettingsReader &reader);
SteeringAgentSettings readSteeringAgentSettings(SettingsReader &reader);
RouteControlSettings readRouteControlSettings(SettingsReader &reader);

}
