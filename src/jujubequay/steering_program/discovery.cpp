#include <jujubequay/steering_program/discovery.h>

namespace Jujubequay {

namespace {

/// Control hosts that start together with this process listen a little later.
constexpr auto retryBase = std::chrono::milliseconds(40);

}

ProcessOptions steeringProcessOptions(std::string role, const DiscoverySettings &settings)
{
    return {.logOutput = LogOutput::StandardOutput, .maxLogRepeats = settings.maxLogRepeats, .plaintextRole = std::move(role)};
}

std::shared_ptr<ConfigWatcher> createWatcher(asio::io_context &context,
                                             ProcessServices &services,
                                             std::string role,
                                             const DiscoverySettings &settings,
                                             ConfigSnapshotHandler onConfig,
                                             std::function<void(const std::vector<HostAddress> &)> onControlHosts)
{
    WatchSubscriberOptions options;
    options.host = settings.common.placement.hostName;
    options.zone = settings.common.placement.availabilityZone;
    options.role = std::move(role);
    options.controlHosts = settings.seeds;
    options.retryBase = retryBase;
    options.retryLimit = settings.retryLimit;
    options.silenceLimit = settings.silenceLimit;
    return std::make_shared<ConfigWatcher>(context,
                                           services.clock(),
                                           services.logger(),
                                           services.client(),
                                           std::move(options),
                                           std::vector<HostAddress>(),
                                           services.random(),
                                           std::move(onConfig),
                                           std::move(onControlHosts));
}

void applySeeds(Logger &logger, const SeedReader &read, const std::function<void(std::vector<HostAddress>)> &use)
{
    handleFailure(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(seeds, read());
            logger.info("settings-reloaded", {{"seeds", seeds.size()}, {"first", seeds.empty() ? "" : toString(seeds.front())}});
            use(std::move(seeds));
            return {};
        },
        [&logger](const Failure &failure) {
            logger.error("settings-not-reloaded", {{"cause", failure.detail}});
        });
}

void publishLogCounters(ProcessServices &services)
{
    services.publish("log_lines", "dropped", services.logger().droppedLines());
}

}
