#include <jujubequay/daemon/steering_settings.h>

namespace Jujubequay {

using namespace std::chrono_literals;

namespace {

// Seeds may be given with the port for operators, so control_port replaces their port. It is the same at all control hosts.
std::vector<HostAddress> readSeeds(SettingsReader &reader)
{
    std::vector<HostAddress> seeds = reader.addresses("seeds", "control hosts to contact first");
    const auto port = reader.integer("control_port", 0, {0, 65535}, "port of control streams at all control hosts; 0: the port of each seed");
    for (HostAddress &seed : seeds) {
        seed.port = port == 0 ? seed.port : static_cast<std::uint16_t>(port);
    }
    if (seeds.empty()) {
        reader.reject("seeds", "at least one address");
    }
    return seeds;
}

DiscoverySettings readDiscoverySettings(SettingsReader &reader)
{
    DiscoverySettings settings;
    settings.common.location = readProcessLocation(reader);
    settings.common.logLevel = readLogLevel(reader);
    settings.maxLogRepeats = static_cast<std::uint32_t>(
        reader.integer("max_log_repeats", 100, {1, 1'000'000}, "log lines of one event within 10 seconds; further lines are counted and left out"));
    settings.seeds = readSeeds(reader);
    settings.common.metricsAddress = reader.optionalAddress("metrics_address", "address that answers HTTP GET /metrics");
    settings.common.keepAlive.interval
        = reader.duration("ping_interval_ms", 1s, {100ms, 10min}, "time without data on a control connection after which the peer is probed");
    settings.common.keepAlive.timeout
        = reader.duration("ping_timeout_ms", 700ms, {100ms, 10min}, "time without data after a probe until the connection is closed");
    settings.common.connectTimeout = reader.duration("connect_timeout_ms", 120ms, {50ms, 1min}, "time limit of a control connection attempt");
    settings.retryLimit = reader.duration("retry_limit_ms", 500ms, {50ms, 1min}, "longest wait before another control host is tried");
    settings.silenceLimit
        = reader.duration("silence_limit_ms", 1500ms, {200ms, 10min}, "time without a message from a control host after which another one is watched");
    return settings;
}

}

SteeringBalancerSettings readSteeringBalancerSettings(SettingsReader &reader)
{
    SteeringBalancerSettings settings;
    settings.discovery = readDiscoverySettings(reader);
    settings.callerAddress = reader.address("caller_address", "address that receives packets of callers (UDP)");
    settings.peerAddress = reader.address("peer_address", "address that receives notices of agents (UDP)");
    settings.readyAddress = reader.address("ready_address", "address of the readiness endpoint: whether this balancer can forward packets (HTTP)");
    settings.drainTime
        = reader.duration("drain_ms", 3500ms, {0ms, 10min}, "time to keep forwarding after SIGTERM, while the fabric moves traffic to other balancers");
    return settings;
}

SteeringAgentSettings readSteeringAgentSettings(SettingsReader &reader)
{
    SteeringAgentSettings settings;
    settings.discovery = readDiscoverySettings(reader);
    settings.relayAddress = reader.address("relay_address", "address that receives packets from balancers and other agents (UDP)");
    settings.serverOutput = reader.address("server_output", "address that receives the packets of the server (UDP)");
    settings.serverInput = reader.address("server_input", "address of the server for packets (UDP) and status checks (HTTP)");
    settings.service = reader.text("service", "", "service of the server; it may announce another one that is on a route");
    settings.readyAddress = reader.address("ready_address", "address of the readiness endpoint: whether this agent runs (HTTP)");
    settings.announceAddress = reader.address("announce_address", "address that receives announcements of the server (HTTP)");
    settings.callerAddress = reader.address("caller_address", "address of which only the port is used, on which callers receive packets");
    settings.announceInterval = reader.duration("announce_interval_ms", 1s, {50ms, 1min}, "interval between announcements of the server");
    return settings;
}

RouteControlSettings readRouteControlSettings(SettingsReader &reader)
{
    RouteControlSettings settings;
    settings.discovery = readDiscoverySettings(reader);
    settings.peerAddress = reader.address("peer_address", "address of control streams (TCP)");
    settings.listenAddress = reader.optionalAddress("listen_address", "local address on which control streams are accepted, if it differs from peer_address")
                                 .value_or(settings.peerAddress);
    settings.operatorAddress = reader.address("operator_address", "address that accepts calls of operators (HTTP)");
    settings.dataDirectory = reader.path("data_directory", "directory of the replicated log");
    settings.isFirstStart = reader.flag("first_start", false, "the whole system starts for the first time, with empty disks");
    settings.toleratedDiskLosses
        = static_cast<std::size_t>(reader.integer("tolerated_disk_losses", 1, {0, 3}, "disks that may be lost at the same time without loss of state"));
    auto consensus = reader.section("consensus");
    settings.heartbeat = consensus.duration("heartbeat_ms", 100ms, {10ms, 10s}, "interval between messages from the leader");
    settings.electionTimeout
        = consensus.duration("election_timeout_ms", 700ms, {50ms, 1min}, "shortest time without a message from the leader before an election");
    settings.snapshotEntries = static_cast<std::uint64_t>(consensus.integer("snapshot_entries", 256, {16, 1'000'000}, "log entries between snapshots"));
    // With a smaller ratio a single lost heartbeat could start an election.
    constexpr int minHeartbeatsPerTimeout = 3;
    if (settings.electionTimeout < minHeartbeatsPerTimeout * settings.heartbeat) {
        consensus.reject("election_timeout_ms", "at least three times heartbeat_ms");
    }
    settings.lease = reader.duration("lease_ms", 3s, {100ms, 10min}, "time after which an announcement that is not renewed expires");
    return settings;
}

}
