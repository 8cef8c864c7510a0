#pragma once

#include <jujubequay/daemon/common_settings.h>

namespace Jujubequay {

/// Settings of jjq-control.
struct ControlSettings {
    CommonSettings common;
    HostAddress controlAddress; ///< address on which this host accepts control streams (TCP)
    std::filesystem::path dataDirectory; ///< directory of the replicated log
    std::chrono::milliseconds heartbeat{}; ///< interval between messages from the leader
    std::chrono::milliseconds electionTimeout{}; ///< shortest time without a message from the leader before an election
    std::uint64_t snapshotEntries = 0; ///< log entries between snapshots
    std::chrono::milliseconds lease{}; ///< time after which an announcement that is not renewed expires
    std::chrono::milliseconds registryExchange{}; ///< interval at which control hosts exchange registry changes
};

ControlSettings readControlSettings(SettingsReader &reader);

}
