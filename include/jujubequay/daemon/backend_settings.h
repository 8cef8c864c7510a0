#pragma once

#include <jujubequay/daemon/common_settings.h>

namespace Jujubequay {

/// How the health and load endpoints of jjq-backend answer.
enum class ReportMode : std::uint8_t {
    Current, ///< current values
    Lagging, ///< values from `reportLag` ago
    Misleading, ///< always healthy and idle
};

/// Distribution of the work time.
enum class WorkDistribution : std::uint8_t { Fixed, Exponential, Lognormal };

/// Settings of jjq-backend.
struct BackendSettings {
    LogLevel logLevel = LogLevel::Info;
    HostAddress address;
    std::uint32_t slots = 0;
    std::uint32_t queue = 0; ///< requests that may wait for a slot; further ones are refused
    std::chrono::milliseconds coldStart{}; ///< work takes `coldFactor` times as long at first, falling to 1
    double coldFactor = 1;
    WorkDistribution distribution = WorkDistribution::Fixed;
    std::chrono::milliseconds meanWork{};
    std::uint64_t seed = 0;
    ReportMode reportMode = ReportMode::Current;
    std::chrono::milliseconds reportLag{};
    std::chrono::milliseconds feedInterval{};
    std::uint32_t maxTrackedRequests = 0; ///< request identities kept for /executions
};

BackendSettings readBackendSettings(SettingsReader &reader);

}
