#pragma once

#include <jujubequay/daemon/process_services.h>
#include <jujubequay/daemon/steering_settings.h>
#include <jujubequay/service/config_watcher.h>

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Jujubequay {

/// Reads the seeds from the settings file again. Fails with BadSettings.
using SeedReader = std::function<Result<std::vector<HostAddress>>()>;

/// Options for a process whose control streams are not encrypted. `role`: "balancer", "agent" or "control".
ProcessOptions steeringProcessOptions(std::string role, const DiscoverySettings &settings);

/// Called on the traffic thread when a control host has announced that it has started.
using StartNoticeHandler = std::function<void(const HostAddress &controlHost)>;

/// Called on the traffic thread when a balancer has a newer route table than this process.
using NewerRoutesHandler = std::function<void(const HostAddress &balancer)>;

/// Minimum time between attempts to get a newer route table from a balancer, whose link may be slow.
constexpr auto newerRoutesInterval = std::chrono::seconds(1);

struct WatcherOptions {
    std::string role; ///< "balancer" or "agent"
    HostAddress noticeAddress; ///< address to which control hosts send start notices
    ConfigSnapshotHandler onConfig;
    std::function<void(const std::vector<HostAddress> &)> onControlHosts = {};
    std::function<void()> onServerListConfirmed = {};
};

/// Creates a watcher that subscribes to the control hosts, starting from the seeds. `services` must have been started and must outlive the
/// watcher.
std::shared_ptr<ConfigWatcher> createWatcher(asio::io_context &context, ProcessServices &services, const DiscoverySettings &settings, WatcherOptions options);

/// Reads the seeds again and calls `apply` with them. If the settings cannot be read, logs the cause and does not call `apply`.
void applySeeds(Logger &logger, const SeedReader &read, const std::function<void(std::vector<HostAddress>)> &apply);

/// Publishes the number of dropped log lines.
void publishLogCounters(ProcessServices &services);

}
