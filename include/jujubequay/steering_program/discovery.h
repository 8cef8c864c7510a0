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

/// Reads the seeds of a process's settings again; fails with BadSettings.
using SeedReader = std::function<Result<std::vector<HostAddress>>()>;

/// For a process of a network without keys. `role`: "balancer", "agent" or "control".
ProcessOptions steeringProcessOptions(std::string role, const DiscoverySettings &settings);

/// Called on the traffic thread when a control host says that it has started.
using StartNoticeHandler = std::function<void(const HostAddress &controlHost)>;

struct WatcherOptions {
    std::string role; ///< "balancer" or "agent"
    HostAddress noticeAddress; ///< where start notices arrive
    ConfigSnapshotHandler onConfig;
    std::function<void(const std::vector<HostAddress> &)> onControlHosts = {};
};

/// Watches the control hosts that the seeds lead to. `services` outlives the watcher and has been started.
std::shared_ptr<ConfigWatcher> createWatcher(asio::io_context &context, ProcessServices &services, const DiscoverySettings &settings, WatcherOptions options);

/// Reads the seeds again and passes them on. Settings that cannot be read are logged and change nothing.
void applySeeds(Logger &logger, const SeedReader &read, const std::function<void(std::vector<HostAddress>)> &use);

/// Publishes how many log lines were dropped.
void publishLogCounters(ProcessServices &services);

}
