#include <jujubequay/policy/admission_queue.h>
#include <jujubequay/policy/placement.h>

#include <benchmark/benchmark.h>

#include "allocation_count.h"

#include <random>

namespace {

using namespace Jujubequay;
using Bench::allocationCount;

std::vector<PlacementServer> makeServers(std::size_t count, bool mixedWeights)
{
    std::mt19937_64 random(count);
    std::vector<PlacementServer> servers;
    servers.reserve(count);
    for (std::uint32_t index = 0; index < count; ++index) {
        const std::uint32_t weight = mixedWeights ? 50 + static_cast<std::uint32_t>(random() % 100) : 100;
        servers.push_back({.address = {0x0a000001U + index, 4433}, .incarnation = {1}, .weight = weight});
    }
    return servers;
}

void choosePlacement(benchmark::State &state)
{
    const PlacementTable table(makeServers(static_cast<std::size_t>(state.range(0)), state.range(1) != 0));
    std::uint64_t key = 0;
    const std::uint64_t allocationsBefore = allocationCount();
    for (auto step : state) {
        static_cast<void>(step);
        benchmark::DoNotOptimize(table.choose(++key));
    }
    state.counters["allocations"] = static_cast<double>(allocationCount() - allocationsBefore) / static_cast<double>(state.iterations());
    state.counters["table_bytes"] = static_cast<double>(table.memoryBytes());
}

void buildPlacement(benchmark::State &state)
{
    const std::vector<PlacementServer> servers = makeServers(static_cast<std::size_t>(state.range(0)), true);
    for (auto step : state) {
        static_cast<void>(step);
        benchmark::DoNotOptimize(PlacementTable(servers));
    }
}

/// Cost of one finished and one submitted request at a queue that is at its limit.
void admit(benchmark::State &state)
{
    const auto customers = static_cast<std::uint64_t>(state.range(0));
    std::vector<std::string> names;
    names.reserve(customers);
    for (std::uint64_t customer = 0; customer < customers; ++customer) {
        names.push_back("customer-" + std::to_string(customer));
    }
    AdmissionQueue queue({.queueLimit = 1024, .queueTimeout = std::chrono::hours(1)});
    std::mt19937_64 random(1);
    TimePoint now{};
    std::uint64_t id = 0;
    std::vector<std::uint64_t> running;
    running.reserve(16);
    const auto apply = [&](const AdmissionEffects &effects) {
        for (const AdmissionEffect &effect : effects) {
            if (const auto *start = std::get_if<StartRequest>(&effect)) {
                running.push_back(start->id);
            }
        }
    };
    const auto submit = [&] {
        const auto workClass = static_cast<WorkClass>(random() % 3);
        apply(queue.submit(now, {.id = ++id, .customer = names[random() % customers], .workClass = workClass}));
    };
    for (int request = 0; request < 1100; ++request) {
        submit();
    }
    const std::uint64_t allocationsBefore = allocationCount();
    for (auto step : state) {
        static_cast<void>(step);
        now += std::chrono::milliseconds(30);
        const std::uint64_t finished = running.front();
        running.erase(running.begin());
        apply(queue.finish(now, finished));
        submit();
    }
    state.counters["allocations"] = static_cast<double>(allocationCount() - allocationsBefore) / static_cast<double>(state.iterations());
}

void admitAtOnce(benchmark::State &state)
{
    AdmissionQueue queue;
    TimePoint now{};
    std::uint64_t id = 0;
    const std::uint64_t allocationsBefore = allocationCount();
    for (auto step : state) {
        static_cast<void>(step);
        benchmark::DoNotOptimize(queue.submit(now, {.id = ++id, .customer = "customer"}));
        now += std::chrono::milliseconds(1);
        benchmark::DoNotOptimize(queue.finish(now, id));
    }
    state.counters["allocations"] = static_cast<double>(allocationCount() - allocationsBefore) / static_cast<double>(state.iterations());
}

}

BENCHMARK(choosePlacement)->ArgNames({"servers", "mixed_weights"})->ArgsProduct({{7, 64, 100, 1000, 33000}, {0, 1}});
BENCHMARK(buildPlacement)->ArgName("servers")->Arg(7)->Arg(100)->Arg(1000)->Arg(33000)->Unit(benchmark::kMillisecond);
BENCHMARK(admit)->ArgName("customers")->Arg(10)->Arg(100)->Arg(1000);
BENCHMARK(admitAtOnce);

BENCHMARK_MAIN();
