#include <jujubequay/steering_program/discovery.h>

namespace Jujubequay {

namespace {

/// Short, since control hosts that start together with this process accept connections slightly later.
constexpr auto initialRetryDelay = std::chrono::milliseconds(40);

}

ProcessOptions steeringProcessOptions(std::string role, const DiscoverySettings &settings)
{
    return {.logOutput = LogOutput::StandardOutput, .maxLogRepeats = settings.maxLogRepeats, .plaintextRole = std::move(role)};
}

std::shared_ptr<ConfigWatcher> createWatcher(asio::io_context &context, ProcessServices &services, const DiscoverySettings &settings, WatcherOptions options)
{
    WatchSubscriberOptions subscriber;
    subscriber.host = settings.common.location.hostName;
    subscriber.zone = settings.common.location.availabilityZone;
    subscriber.role = std::move(options.role);
    subscriber.controlHosts = settings.seeds;
    subscriber.noticeAddress = toString(options.noticeAddress);
    subscriber.initialRetryDelay = initialRetryDelay;
    subscriber.maxRetryDelay = settings.retryLimit;
    subscriber.silenceTimeout = settings.silenceLimit;
    return std::make_shared<ConfigWatcher>(context,
                                           services.clock(),
                                           services.logger(),
                                           services.client(),
                                           std::move(subscriber),
                                           std::vector<HostAddress>(),
                                           services.random(),
                                           std::move(options.onConfig),
                                           std::move(options.onControlHosts),
                                           std::move(options.onServerListConfirmed));
}

void applySeeds(Logger &logger, const SeedReader &read, const std::function<void(std::vector<HostAddress>)> &apply)
{
    handleFailure(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(seeds, read());
            logger.info("settings-reloaded", {{"seeds", seeds.size()}, {"first", seeds.empty() ? "" : toString(seeds.front())}});
            apply(std::move(seeds));
            return {};
        },
        [&logger](const Failure &failure) {
            logger.error("settings-not-reloaded", {{"cause", failure.detail}});
        });
}

void publishLogCounters(ProcessServices &services)
{
    services.setCounter("log_lines", "dropped", services.logger().droppedLines());
}

}
