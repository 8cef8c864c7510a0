// Measures how the memory and processor time of the control plane grow with the number of backend servers and watchers: for
// the state of a balancer, and for the registry and the watch server of a control host. docs/CAPACITY.md uses the slopes.

#include <jujubequay/balancer_program/forwarding_table_builder.h>
#include <jujubequay/control/lease_registry.h>
#include <jujubequay/control/watch_server.h>
#include <jujubequay/control/watch_subscriber.h>

#include <fmt/core.h>

#include <malloc.h>

#include <array>
#include <ctime>
#include <random>

using namespace Jujubequay;
namespace pb = jujubequay::pb;

namespace {

constexpr std::size_t serversPerService = 5; // about the ratio of 33,000 backend servers to 6,800 addresses
constexpr int repeats = 5;

double processorMilliseconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) * 1e-6;
}

std::size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

pb::ServerEntry serverEntry(std::size_t number)
{
    pb::ServerEntry entry;
    entry.set_name(fmt::format("server-{:06}", number));
    entry.set_service(fmt::format("service-{:05}", number / serversPerService));
    entry.set_zone(fmt::format("zone-{:02}", number % 16));
    entry.set_host(fmt::format("host-{:06}/server-{:06}", number, number));
    entry.set_relay_address(fmt::format("10.{}.{}.{}:4500", number >> 16U, (number >> 8U) & 255U, number & 255U));
    entry.set_incarnation(static_cast<std::uint32_t>(number + 1));
    entry.set_sequence(2);
    entry.set_state(pb::SERVER_STATE_SERVING);
    entry.set_weight(100);
    return entry;
}

pb::ConfigDelta fullConfig(std::size_t services)
{
    pb::ConfigDelta config;
    config.set_full(true);
    config.set_revision(1);
    for (std::size_t number = 0; number < services; ++number) {
        pb::ServiceConfig &service = *config.add_services();
        service.set_service_id(static_cast<std::uint32_t>(number + 1));
        service.set_service(fmt::format("service-{:05}", number));
        service.set_version(1);
        service.set_revision(1);
        service.set_digest(std::string(32, 'd'));
        pb::BundleContent &content = *service.mutable_content();
        content.set_service(service.service());
        content.set_version(1);
        content.add_addresses(fmt::format("10.200.{}.{}:443", number >> 8U, number & 255U));
        content.mutable_admission()->set_slots(3);
        content.mutable_admission()->set_max_connections(2000);
        content.add_server_names("server-*");
    }
    pb::FlowKeyEntry &key = *config.add_flow_keys();
    key.set_secret(std::string(16, 'k'));
    key.set_active(true);
    config.set_flow_key_revision(1);
    return config;
}

pb::WatchDown registryMessage(const std::vector<pb::ServerEntry> &servers, bool isFull, std::uint64_t sequence)
{
    pb::WatchDown message;
    pb::RegistryDelta &registry = *message.mutable_registry();
    registry.set_epoch(1);
    registry.set_sequence(sequence);
    registry.set_full(isFull);
    for (const pb::ServerEntry &server : servers) {
        *registry.add_servers() = server;
    }
    return message;
}

/// Measures a balancer: its copy of the configuration and the registry, and the forwarding table that it builds from them.
void measureBalancer(std::size_t servers)
{
    std::vector<pb::ServerEntry> entries;
    for (std::size_t number = 0; number < servers; ++number) {
        entries.push_back(serverEntry(number));
    }
    pb::WatchDown config;
    *config.mutable_config() = fullConfig(servers / serversPerService);
    const pb::WatchDown registry = registryMessage(entries, true, 1);
    const std::size_t stateBytes = config.ByteSizeLong() + registry.ByteSizeLong();

    std::mt19937_64 random(1);
    const std::size_t heapBytesBefore = heapBytes();
    WatchSubscriberOptions options;
    options.controlHosts = {{1, 1}};
    WatchSubscriber subscriber(options, random);
    const TimePoint now{};
    const auto effects = subscriber.tick(now);
    const std::uint64_t stream = std::get<OpenWatchStream>(effects.at(0)).stream;
    const double fullStartMs = processorMilliseconds();
    subscriber.receive(now, stream, config);
    subscriber.receive(now, stream, registry);
    auto table = buildForwardingTable(*subscriber.snapshot(), nullptr);
    const double fullMs = processorMilliseconds() - fullStartMs;
    const std::size_t heapGrowthBytes = heapBytes() - heapBytesBefore;

    double deltaMs = 0;
    std::size_t deltaBytes = 0;
    for (int repeat = 0; repeat < repeats; ++repeat) {
        pb::ServerEntry changed = entries[static_cast<std::size_t>(repeat) * 17 % servers];
        changed.set_sequence(3);
        changed.set_state(pb::SERVER_STATE_DRAINING);
        const pb::WatchDown delta = registryMessage({changed}, false, std::uint64_t{2} + static_cast<std::uint64_t>(repeat));
        deltaBytes = delta.ByteSizeLong();
        const double startMs = processorMilliseconds();
        subscriber.receive(now, stream, delta);
        table = buildForwardingTable(*subscriber.snapshot(), table);
        deltaMs += processorMilliseconds() - startMs;
    }
    fmt::print("balancer     servers={:<6} state_bytes={:<9} heap_mb={:<6.1f} full_ms={:<8.1f} delta_bytes={:<4} delta_ms={:.2f}\n",
               servers,
               stateBytes,
               static_cast<double>(heapGrowthBytes) / 1e6,
               fullMs,
               deltaBytes,
               deltaMs / repeats);
}

/// Measures the registry of a control host that receives the heartbeats of a number of agents.
void measureRegistry(std::size_t servers)
{
    const std::size_t heapBytesBefore = heapBytes();
    LeaseRegistry registry("control-a", 1, LeaseOptions());
    TimePoint now{};
    std::vector<pb::ServerEntry> entries;
    for (std::size_t number = 0; number < servers; ++number) {
        entries.push_back(serverEntry(number));
    }
    const std::size_t entryHeapBytes = heapBytes() - heapBytesBefore;
    for (std::size_t number = 0; number < servers; ++number) {
        const auto answer = registry.announce(now, 1, number, entries[number]);
        entries[number].set_order(answer.order());
    }
    const std::size_t heapGrowthBytes = heapBytes() - heapBytesBefore - entryHeapBytes;
    double heartbeatMs = 0;
    double tickMs = 0;
    for (int round = 0; round < repeats; ++round) {
        now += std::chrono::seconds(1);
        double startMs = processorMilliseconds();
        for (std::size_t number = 0; number < servers; ++number) {
            registry.announce(now, 1, number, entries[number]);
        }
        heartbeatMs += processorMilliseconds() - startMs;
        startMs = processorMilliseconds();
        registry.tick(now);
        tickMs += processorMilliseconds() - startMs;
    }
    pb::AnnounceUp up;
    *up.mutable_server() = entries[0];
    fmt::print("registry     servers={:<6} heap_mb={:<6.1f} heartbeat_bytes={:<4} heartbeat_us={:<6.2f} tick_ms={:.2f}\n",
               servers,
               static_cast<double>(heapGrowthBytes) / 1e6,
               up.ByteSizeLong(),
               heartbeatMs * 1e3 / (repeats * static_cast<double>(servers)),
               tickMs / repeats);
}

/// Measures the watch server of a control host: the distribution of one changed server entry to all watchers.
void measureWatchServer(std::size_t watchers)
{
    constexpr std::size_t servers = 1000;
    const ControlState state;
    LeaseRegistry registry("control-a", 1, LeaseOptions());
    ReportStore reports("control-a", {});
    WatchServer server(state, registry, reports, {});
    server.setRegistryFilled(true);
    TimePoint now{};
    for (std::size_t number = 0; number < servers; ++number) {
        registry.announce(now, 1, number, serverEntry(number));
    }
    const std::size_t heapBytesBefore = heapBytes();
    for (std::size_t id = 1; id <= watchers; ++id) {
        pb::WatchUp up;
        up.mutable_request()->set_host(fmt::format("host-{}", id));
        up.mutable_request()->set_zone("zone");
        up.mutable_request()->set_role("balancer");
        up.mutable_request()->set_registry_epoch(1);
        up.mutable_request()->set_registry_sequence(registry.sequence());
        server.addWatcher(now, id);
        server.receive(now, id, up);
    }
    const auto pumpAndConfirm = [&] {
        for (const auto &effect : server.pump(now)) {
            if (const ConfirmState *confirm = std::get_if<ConfirmState>(&effect)) {
                server.stateConfirmed(now, confirm->number);
            }
        }
    };
    pumpAndConfirm();
    now += std::chrono::seconds(1);
    pumpAndConfirm();
    const std::size_t heapGrowthBytes = heapBytes() - heapBytesBefore;
    double changeMs = 0;
    std::uint64_t changeBytes = 0;
    for (int repeat = 0; repeat < repeats; ++repeat) {
        now += std::chrono::seconds(1);
        pb::ServerEntry changed = serverEntry(static_cast<std::size_t>(repeat));
        changed.set_sequence(3);
        changed.set_state(pb::SERVER_STATE_DRAINING);
        registry.announce(now, 1, static_cast<std::uint64_t>(repeat), changed);
        const std::uint64_t sentBefore = server.messages().sentBytes();
        const double startMs = processorMilliseconds();
        pumpAndConfirm();
        changeMs += processorMilliseconds() - startMs;
        changeBytes += server.messages().sentBytes() - sentBefore;
    }
    fmt::print("watch-server watchers={:<5} heap_kb_per_watcher={:<5.2f} change_ms={:<7.2f} change_us_per_watcher={:<6.2f} bytes_per_watcher={}\n",
               watchers,
               static_cast<double>(heapGrowthBytes) / 1e3 / static_cast<double>(watchers),
               changeMs / repeats,
               changeMs * 1e3 / repeats / static_cast<double>(watchers),
               changeBytes / repeats / watchers);
}

}

int main()
{
    for (const std::size_t servers : {std::size_t{100}, std::size_t{1000}, std::size_t{10000}, std::size_t{33000}}) {
        measureBalancer(servers);
    }
    for (const std::size_t servers : {std::size_t{1000}, std::size_t{4700}, std::size_t{10000}, std::size_t{33000}}) {
        measureRegistry(servers);
    }
    for (const std::size_t watchers : {std::size_t{100}, std::size_t{660}, std::size_t{4600}}) {
        measureWatchServer(watchers);
    }
    return 0;
}
