#pragma once

#include <jujubequay/daemon/common_settings.h>

namespace Jujubequay {

/// Which values the health and load endpoints of jjq-backend report.
enum class ReportMode : std::uint8_t {
    Current, ///< the current values
    Lagging, ///< the values that were current `reportLag` ago
    Misleading, ///< always a healthy and idle server
};

/// Distribution of the work time of a request.
enum class WorkDistribution : std::uint8_t { Fixed, Exponential, Lognormal };

/// Settings of jjq-backend.
struct BackendSettings {
    LogLevel logLevel = LogLevel::Info;
    HostAddress address;
    std::uint32_t slots = 0; ///< requests that can run at the same time
    std::uint32_t queue = 0; ///< requests that can wait for a slot; further requests are refused
    std::chrono::milliseconds coldStart{}; ///< time after the start in which the work time is longer
    double coldFactor = 1; ///< factor of the work time at the start; falls to 1 linearly during `coldStart`
    WorkDistribution distribution = WorkDistribution::Fixed;
    std::chrono::milliseconds meanWork{};
    std::uint64_t seed = 0; ///< seed of the work times
    ReportMode reportMode = ReportMode::Current;
    std::chrono::milliseconds reportLag{};
    std::chrono::milliseconds feedInterval{}; ///< interval between the lines of a feed
    std::uint32_t maxTrackedRequests = 0; ///< request identities whose executions are counted; requests with further identities are refused
};

BackendSettings readBackendSettings(SettingsReader &reader);

}
