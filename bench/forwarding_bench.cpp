// Measures the forwarding path: the cost of one forwarding decision, and the throughput of a balancer thread compared with a
// bare receive-and-send loop that makes the same system calls.

#include <jujubequay/datapath/balancer_path.h>
#include <jujubequay/flow/packet.h>

#include <benchmark/benchmark.h>
#include <fmt/core.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <ctime>
#include <new>
#include <random>
#include <thread>

namespace {

std::atomic<std::uint64_t> allocationCount{0};

}

[[gnu::noinline]] void *operator new(std::size_t size)
{
    allocationCount.fetch_add(1, std::memory_order_relaxed);
    if (void *memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void *memory) noexcept
{
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

using namespace Jujubequay;

namespace {

constexpr ServiceId service{1};
constexpr std::uint32_t loopback = 0x7F000001;
constexpr std::size_t openFlows = 300000;
constexpr std::size_t datagramLength = 200;
constexpr auto runTime = std::chrono::seconds(2);

FlowKeySet benchKeys()
{
    FlowSecret secret;
    secret.fill(5);
    FlowKeySet keys;
    keys.set(0, secret);
    keys.activate(0);
    return keys;
}

std::vector<std::uint8_t> flowDatagram(const FlowKeySet &keys, const FlowTarget &target, std::uint32_t nonce)
{
    std::vector<std::uint8_t> datagram(datagramLength, 1);
    datagram[0] = 0x40;
    const FlowIdBytes identifier = encodeFlowId(keys, 0, target, nonce);
    std::copy(identifier.begin(), identifier.end(), datagram.begin() + 1);
    return datagram;
}

std::shared_ptr<ForwardingTable> makeForwardingTable(std::size_t serverCount)
{
    auto table = std::make_shared<ForwardingTable>();
    table->keys = benchKeys();
    std::vector<PlacementServer> servers;
    for (std::size_t index = 0; index < serverCount; ++index) {
        PlacementServer server;
        server.address = {static_cast<std::uint32_t>(0x0A000000 + index), 4500};
        server.incarnation = Incarnation{static_cast<std::uint32_t>(index + 1)};
        servers.push_back(server);
    }
    table->services.emplace(service, ServicePlacement{1, std::make_shared<PlacementTable>(servers)});
    return table;
}

void reportAllocations(benchmark::State &state, std::uint64_t allocationsBefore)
{
    const auto allocations = static_cast<double>(allocationCount.load() - allocationsBefore);
    state.counters["allocations"] = allocations / static_cast<double>(state.iterations());
}

/// Forwarding decision and relay header for a datagram of one of 300,000 open flows.
void forwardOpenFlow(benchmark::State &state)
{
    const auto table = makeForwardingTable(7);
    std::vector<std::vector<std::uint8_t>> datagrams;
    datagrams.reserve(openFlows);
    for (std::uint32_t flow = 0; flow < openFlows; ++flow) {
        datagrams.push_back(flowDatagram(table->keys, {service, {0x0A000000 + flow % 7, 4500}, Incarnation{flow % 7 + 1}}, flow));
    }
    std::vector<std::uint8_t> header(relayHeaderLength);
    const Arrival arrival{service, {loopback, 7001}, {loopback, 50000}, {loopback, 4400}};
    std::mt19937_64 random(1);
    const std::uint64_t allocationsBefore = allocationCount.load();
    for (auto _ : state) {
        const auto &datagram = datagrams[random() % openFlows];
        const ForwardDecision decision = decideForward(*table, arrival, datagram);
        encodeRelayHeader(table->keys, std::get<ForwardTo>(decision).header, datagram, header);
        benchmark::DoNotOptimize(header.data());
    }
    reportAllocations(state, allocationsBefore);
}
BENCHMARK(forwardOpenFlow);

/// Forwarding decision for an Initial packet, by the number of servers of the service.
void placeOpening(benchmark::State &state)
{
    const auto table = makeForwardingTable(static_cast<std::size_t>(state.range(0)));
    std::vector<std::uint8_t> datagram(minInitialDatagramBytes);
    const std::array<std::uint8_t, 6> longHeaderStart{0xC0, 0, 0, 0, 1, 18};
    std::copy(longHeaderStart.begin(), longHeaderStart.end(), datagram.begin());
    const Arrival arrival{service, {loopback, 7001}, {loopback, 50000}, {loopback, 4400}};
    std::mt19937_64 random(1);
    const std::uint64_t allocationsBefore = allocationCount.load();
    for (auto _ : state) {
        const std::uint64_t identifier = random();
        std::copy_n(reinterpret_cast<const std::uint8_t *>(&identifier), sizeof(identifier), datagram.begin() + 6);
        benchmark::DoNotOptimize(decideForward(*table, arrival, datagram));
    }
    reportAllocations(state, allocationsBefore);
}
BENCHMARK(placeOpening)->Arg(7)->Arg(64)->Arg(1000)->Arg(33000);

struct Throughput {
    std::uint64_t datagrams = 0;
    double processorSeconds = 0;
};

double threadProcessorSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/// Sends batches of datagrams of open flows to an address until `stop` is set.
void generateLoad(const HostAddress &destination, const HostAddress &agent, const std::atomic<bool> &stop)
{
    asio::io_context context;
    auto socket = bindUdpSocket(context, {loopback, 0});
    if (!socket) {
        return;
    }
    const FlowKeySet keys = benchKeys();
    std::vector<std::vector<std::uint8_t>> datagrams;
    for (std::uint32_t flow = 0; flow < 10000; ++flow) {
        datagrams.push_back(flowDatagram(keys, {service, agent, Incarnation{1}}, flow));
    }
    DatagramWriter writer;
    std::size_t next = 0;
    while (!stop.load(std::memory_order_relaxed)) {
        while (!writer.isFull()) {
            writer.add(destination, datagrams[next++ % datagrams.size()]);
        }
        writer.flush(socket->native_handle());
    }
}

/// Calls `forward`, which returns the number of datagrams forwarded so far, under load for `runTime`.
template<class Forward>
Throughput measure(const HostAddress &ingress, const HostAddress &agent, Forward forward)
{
    std::atomic<bool> stop{false};
    std::thread generator(generateLoad, ingress, agent, std::cref(stop));
    const auto end = std::chrono::steady_clock::now() + runTime;
    const double secondsBefore = threadProcessorSeconds();
    Throughput result;
    while (std::chrono::steady_clock::now() < end) {
        result.datagrams = forward();
    }
    result.processorSeconds = threadProcessorSeconds() - secondsBefore;
    stop = true;
    generator.join();
    return result;
}

Throughput measureBareLoop(const HostAddress &agent)
{
    asio::io_context context;
    auto ingress = bindUdpSocket(context, {loopback, 0});
    auto egress = bindUdpSocket(context, {loopback, 0});
    if (!ingress || !egress) {
        std::abort();
    }
    DatagramReader reader(relayHeaderLength);
    DatagramWriter writer;
    std::uint64_t datagrams = 0;
    return measure(localAddress(*ingress), agent, [&] {
        const std::size_t count = reader.read(ingress->native_handle());
        for (std::size_t index = 0; index < count; ++index) {
            writer.add(agent, reader.withHeadroom(index));
        }
        writer.flush(egress->native_handle());
        datagrams += count;
        return datagrams;
    });
}

Throughput measureBalancer(const HostAddress &agent)
{
    asio::io_context context;
    auto path = BalancerPath::create(context, {loopback, 0}, [](ServiceId, std::uint64_t) {});
    auto probe = bindUdpSocket(context, {loopback, 0});
    if (!path || !probe) {
        std::abort();
    }
    const HostAddress ingress = localAddress(*probe);
    probe->close();
    if (!(*path)->apply({makeForwardingTable(7), {{service, ingress}}}).empty()) {
        std::abort();
    }
    return measure(ingress, agent, [&] {
        context.poll_one();
        return (*path)->counters().forwarded.load();
    });
}

void printThroughput(const char *name, const Throughput &throughput)
{
    const double perSecond = static_cast<double>(throughput.datagrams) / throughput.processorSeconds;
    fmt::print("{:<12} {:>10} datagrams  {:>6.2f} s processor time  {:>9.0f} datagrams per processor second\n",
               name,
               throughput.datagrams,
               throughput.processorSeconds,
               perSecond);
}

double datagramsPerProcessorSecond(const Throughput &throughput)
{
    return static_cast<double>(throughput.datagrams) / throughput.processorSeconds;
}

void compareThroughput()
{
    asio::io_context context;
    auto agent = bindUdpSocket(context, {loopback, 0});
    if (!agent) {
        std::abort();
    }
    const HostAddress agentAddress = localAddress(*agent);
    constexpr int rounds = 3;
    std::vector<double> ratios;
    for (int round = 0; round < rounds; ++round) {
        const Throughput bareLoop = measureBareLoop(agentAddress);
        const Throughput balancer = measureBalancer(agentAddress);
        printThroughput("bare loop", bareLoop);
        printThroughput("balancer", balancer);
        ratios.push_back(datagramsPerProcessorSecond(balancer) / datagramsPerProcessorSecond(bareLoop));
    }
    std::sort(ratios.begin(), ratios.end());
    fmt::print("balancer to bare loop, median of {} rounds: {:.2f}\n", rounds, ratios[rounds / 2]);
}

}

int main(int argc, char **argv)
{
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    compareThroughput();
    return 0;
}
