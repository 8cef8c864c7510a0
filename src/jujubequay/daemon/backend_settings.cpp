#include <jujubequay/daemon/backend_settings.h>

namespace Jujubequay {

namespace {

using namespace std::chrono_literals;

constexpr NameTable<ReportMode, 3> reportModes{{{
    {ReportMode::Current, "current"},
    {ReportMode::Lagging, "lagging"},
    {ReportMode::Misleading, "misleading"},
}}};

constexpr NameTable<WorkDistribution, 3> distributions{{{
    {WorkDistribution::Fixed, "fixed"},
    {WorkDistribution::Exponential, "exponential"},
    {WorkDistribution::Lognormal, "lognormal"},
}}};

}

BackendSettings readBackendSettings(SettingsReader &reader)
{
    BackendSettings settings;
    settings.logLevel = readLogLevel(reader);
    settings.address = reader.address("address", "address that the server listens on (HTTP/2 without TLS)");
    settings.slots = static_cast<std::uint32_t>(reader.integer("slots", 3, {1, 1000}, "requests that run at the same time"));
    settings.queue = static_cast<std::uint32_t>(reader.integer("queue", 0, {0, 100'000}, "requests that can wait for a slot; further requests are refused"));
    settings.coldStart = reader.duration("cold_start_ms", 0ms, {0ms, 1h}, "time after the start in which the work time is longer");
    settings.coldFactor = reader.number("cold_factor", 4, {1, 1000}, "factor of the work time at the start; falls to 1 linearly");
    auto work = reader.section("work");
    settings.distribution = work.choice("distribution", distributions, WorkDistribution::Exponential, "distribution of the work time");
    settings.meanWork = work.duration("mean_ms", 20ms, {0ms, 1h}, "mean work time of a request");
    settings.seed = static_cast<std::uint64_t>(work.integer("seed", 1, {0, INT64_MAX}, "seed of the work times"));
    auto report = reader.section("report");
    settings.reportMode = report.choice("mode", reportModes, ReportMode::Current, "whether /health and /load report current values");
    settings.reportLag = report.duration("lag_ms", 5s, {0ms, 1h}, "age of the values in mode \"lagging\"");
    settings.feedInterval = reader.duration("feed_interval_ms", 100ms, {1ms, 1h}, "interval between the lines of a feed");
    settings.maxTrackedRequests = static_cast<std::uint32_t>(reader.integer(
        "tracked_requests", 1'000'000, {1, 100'000'000}, "request identities whose executions are counted; requests with further identities are refused"));
    return settings;
}

}
