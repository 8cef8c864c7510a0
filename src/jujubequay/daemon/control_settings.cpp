#include <jujubequay/daemon/control_settings.h>

namespace Jujubequay {

using namespace std::chrono_literals;

ControlSettings readControlSettings(SettingsReader &reader)
{
    ControlSettings settings;
    settings.common = readCommonSettings(reader);
    settings.controlAddress = reader.address("control_address", "address that this control host listens on (TCP)");
    settings.dataDirectory = reader.path("data_directory", "directory of the replicated log; written by --initialise");
    auto consensus = reader.section("consensus");
    settings.heartbeat = consensus.duration("heartbeat_ms", 100ms, {10ms, 10s}, "interval between messages from the leader");
    settings.electionTimeout
        = consensus.duration("election_timeout_ms", 1s, {50ms, 1min}, "shortest time without a message from the leader before an election");
    settings.snapshotEntries = static_cast<std::uint64_t>(consensus.integer("snapshot_entries", 4096, {16, 1'000'000}, "log entries between snapshots"));
    // With a smaller ratio a single lost heartbeat could start an election.
    constexpr int minHeartbeatsPerTimeout = 3;
    if (settings.electionTimeout < minHeartbeatsPerTimeout * settings.heartbeat) {
        consensus.reject("election_timeout_ms", "at least three times heartbeat_ms");
    }
    auto registry = reader.section("registry");
    settings.lease = registry.duration("lease_ms", 6s, {100ms, 10min}, "time after which an announcement that is not renewed expires");
    settings.registryExchange = registry.duration("exchange_ms", 500ms, {10ms, 1min}, "interval at which control hosts exchange registry changes");
    return settings;
}

}
