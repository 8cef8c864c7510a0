#include "policy_run.h"

#include <cmath>

namespace Jujubequay::Bench {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint measurementStart = TimePoint{} + 40s;
constexpr TimePoint floodStart = TimePoint{} + 90s;
constexpr TimePoint floodEnd = TimePoint{} + 180s;
constexpr TimePoint fairnessEnd = TimePoint{} + 200s;
constexpr TimePoint runEnd = TimePoint{} + 240s;
constexpr Duration windowLength = 10s;
constexpr Duration tickLength = 100ms;
constexpr double steadyLoad = 0.7; // demand as a share of the capacity
constexpr double floodLoad = 2.0;
constexpr int balancerCount = 4;
constexpr Duration leaseTime = 3s;
constexpr Duration coldStartTime = 10s;
constexpr double coldStartSlowdown = 3;
constexpr Duration drainLimit = 50s;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double meanSlotSeconds(const ServiceModel &service)
{
    double seconds = 0;
    for (const RequestKind &kind : service.kinds) {
        seconds += kind.share * toSeconds(kind.slotTime);
    }
    return seconds;
}

}

PolicyRun::PolicyRun(const Deployment &deployment, const Policy &policy, const Scenario &scenario, std::uint64_t seed)
    : m_deployment(deployment)
    , m_policy(policy)
    , m_scenario(scenario)
    , m_random(seed)
    , m_network(deployment, m_random)
{
    double total = 0;
    for (int customer = 0; customer < customerCount; ++customer) {
        m_customerShares.push_back(std::pow(customer + 1, -0.8));
        total += m_customerShares.back();
    }
    for (double &share : m_customerShares) {
        share /= total;
    }
}

AdmissionOptions PolicyRun::admissionOptions() const
{
    return {.slots = slots};
}

PolicyResult PolicyRun::run()
{
    addServers();
    addCallers();
    scheduleFaults();
    for (int service = 0; service < 2; ++service) {
        const ServiceModel &model = m_deployment.services[service];
        const double capacity = model.servers * slots / meanSlotSeconds(model);
        scheduleArrival(service, steadyLoad * capacity, false);
        if (m_scenario.flood) {
            scheduleArrival(service, (floodLoad - steadyLoad) * capacity, true);
        }
    }
    m_events.after(tickLength, [this] {
        tick();
    });
    m_events.after(windowLength, [this] {
        finishWindow();
    });
    m_events.runUntil(runEnd);
    computeResult();
    return m_result;
}

void PolicyRun::addServers()
{
    for (int service = 0; service < 2; ++service) {
        for (int index = 0; index < m_deployment.services[service].servers; ++index) {
            Server server;
            server.index = static_cast<int>(m_servers.size());
            server.zone = index % zoneCount;
            server.service = service;
            server.queue = std::make_unique<AdmissionQueue>(admissionOptions());
            m_servers.push_back(std::move(server));
        }
    }
    for (int index = 0; index < balancerCount; ++index) {
        m_balancers.push_back({.zone = index % zoneCount});
    }
    if (m_scenario.coldStart) {
        for (const int index : {0, m_deployment.services[0].servers}) {
            m_servers[index].alive = false;
            m_servers[index].listed = false;
        }
    }
    for (int index = 0; index < balancerCount; ++index) {
        refreshTables(index);
    }
}

void PolicyRun::addCallers()
{
    for (int service = 0; service < 2; ++service) {
        for (int index = 0; index < m_deployment.services[service].callers; ++index) {
            // Each customer gets one caller; further callers are distributed by the customers' shares of the work.
            int customer = index;
            if (index >= customerCount) {
                customer = std::discrete_distribution<int>(m_customerShares.begin(), m_customerShares.end())(m_random);
            }
            const int caller = static_cast<int>(m_callers.size());
            m_callers.push_back({.customer = customer, .service = service});
            m_callersByCustomer[service][customer].push_back(caller);
            m_events.after(randomDuration(0s, 25s), [this, caller] {
                for (int flow = 0; flow < m_policy.flowsPerCaller; ++flow) {
                    openFlow(caller, flow == 0 && caller % 3 == 0, 0);
                }
            });
        }
    }
}

void PolicyRun::scheduleFaults()
{
    const int firstOfSecondService = m_deployment.services[0].servers;
    const auto at = [this](Duration time, auto action) {
        m_events.after(time, action);
    };
    if (m_scenario.balancerChurn) {
        for (int step = 0; step < 18; ++step) {
            at(60s + step * 10s, [this, step] {
                toggleBalancer(step);
            });
        }
    }
    if (m_scenario.drainAndCrash) {
        at(90s, [this] {
            drainServer(1);
        });
        at(150s, [this] {
            startServer(1, 0);
        });
        at(180s, [this] {
            crashServer(2);
        });
        at(200s, [this] {
            startServer(2, 0);
        });
    }
    if (m_scenario.coldStart) {
        at(90s, [this, firstOfSecondService] {
            startServer(0, 0);
            startServer(firstOfSecondService, 1);
        });
    }
    if (m_scenario.misleading) {
        at(60s, [this, firstOfSecondService] {
            m_servers[0].isMisleading = true;
            m_servers[firstOfSecondService].isMisleading = true;
        });
    }
    if (m_scenario.revisions) {
        at(90s, [this, firstOfSecondService] {
            m_balancers[2].partitionedUntil = TimePoint{} + 150s;
            m_balancers[3].partitionedUntil = TimePoint{} + 150s;
            drainServer(firstOfSecondService - 1);
        });
        // The server restarts for the other service after its drain limit, while two balancers still have the old server list.
        at(145s, [this, firstOfSecondService] {
            startServer(firstOfSecondService - 1, 1);
        });
        at(150s, [this] {
            publishRegistry(true);
        });
    }
}

void PolicyRun::drainServer(int index)
{
    Server &server = m_servers[index];
    server.listed = false;
    server.drainStartedAt = m_events.now();
    publishRegistry(true);
    if (m_policy.flowIdentifiers) {
        applyEffects(index, server.queue->drain(m_events.now()));
        for (int flow = 0; flow < static_cast<int>(m_flows.size()); ++flow) {
            if (m_flows[flow].open && m_flows[flow].server == index) {
                m_events.after(m_network.toCaller(60) + m_network.betweenZones(server.zone, server.zone, 60), [this, flow] {
                    moveFlow(flow);
                });
            }
        }
    }
    m_events.after(drainLimit, [this, index] {
        exitServer(index);
    });
}

void PolicyRun::exitServer(int index)
{
    for (int flow = 0; flow < static_cast<int>(m_flows.size()); ++flow) {
        if (!m_flows[flow].open || m_flows[flow].server != index) {
            continue;
        }
        if (m_policy.flowIdentifiers && m_flows[flow].outstanding == 0) {
            // Feeds resume on the replacement flow that was opened when the drain began, after the position that came with Moved.
            closeFlow(flow);
        } else {
            breakFlow(flow, true);
        }
    }
    m_servers[index].alive = false;
}

void PolicyRun::startServer(int index, int service)
{
    Server &server = m_servers[index];
    accumulateBusyTime(server);
    server.service = service;
    server.alive = true;
    server.listed = true;
    server.drainStartedAt.reset();
    server.startedAt = m_events.now();
    server.servingSince = m_events.now();
    ++server.incarnation;
    server.queue = std::make_unique<AdmissionQueue>(admissionOptions());
    server.flows = 0;
    server.assignedRequests = 0;
    server.loadEstimates.clear();
    for (Server &other : m_servers) {
        other.loadEstimates[index].recordStart(m_events.now());
    }
    publishRegistry(true);
}

void PolicyRun::crashServer(int index)
{
    Server &server = m_servers[index];
    accumulateBusyTime(server);
    server.alive = false;
    const std::uint32_t incarnation = server.incarnation;
    server.queue = std::make_unique<AdmissionQueue>(admissionOptions());
    for (int attempt = 0; attempt < static_cast<int>(m_attempts.size()); ++attempt) {
        if (m_attempts[attempt].server == index && !m_attempts[attempt].ended && m_attempts[attempt].incarnation == incarnation) {
            m_attempts[attempt].ended = true;
            m_events.after(1s, [this, attempt] {
                receiveAnswer(attempt, ResultCode::OutcomeUnknown, {}, {});
            });
        }
    }
    for (int flow = 0; flow < static_cast<int>(m_flows.size()); ++flow) {
        if (m_flows[flow].open && m_flows[flow].server == index) {
            breakFlow(flow, false);
        }
    }
    m_events.after(leaseTime, [this, index] {
        m_servers[index].listed = m_servers[index].alive;
        publishRegistry(false);
    });
}

void PolicyRun::toggleBalancer(int step)
{
    // Balancers stop and start again in turn, so three or four of them are running at any time.
    Balancer &balancer = m_balancers[(step / 2) % balancerCount];
    balancer.alive = step % 2 == 1;
    m_lastChangePlanned = true;
}

void PolicyRun::publishRegistry(bool planned)
{
    m_lastChangePlanned = planned;
    for (int index = 0; index < balancerCount; ++index) {
        m_events.after(randomDuration(100ms, 2s), [this, index] {
            if (m_balancers[index].partitionedUntil.value_or(TimePoint{}) <= m_events.now()) {
                refreshTables(index);
            }
        });
    }
}

void PolicyRun::refreshTables(int balancer)
{
    for (int service = 0; service < 2; ++service) {
        std::vector<PlacementServer> servers;
        for (const Server &server : m_servers) {
            if (server.listed && server.service == service) {
                servers.push_back({.address = addressOf(server.index), .incarnation = {server.incarnation}});
            }
        }
        m_balancers[balancer].tables[service] = PlacementTable(std::move(servers));
    }
}

void PolicyRun::tick()
{
    for (Server &server : m_servers) {
        if (server.alive) {
            applyEffects(server.index, server.queue->tick(m_events.now()));
        }
        if (isServing(server)) {
            relocateFlows(server);
        }
        if (isServing(server) && isFairnessWindow()) {
            m_capacitySeconds[server.service] += slots * toSeconds(tickLength) / slowdown(server);
        }
    }
    m_events.after(tickLength, [this] {
        tick();
    });
}

void PolicyRun::accumulateBusyTime(Server &server)
{
    server.busySeconds += server.queue->load().running * toSeconds(m_events.now() - server.busyCountedAt);
    server.busyCountedAt = m_events.now();
}

void PolicyRun::finishWindow()
{
    std::array<std::vector<double>, 2> busy;
    std::array<std::vector<double>, 2> flows;
    for (Server &server : m_servers) {
        accumulateBusyTime(server);
        if (isServing(server) && server.servingSince <= m_events.now() - windowLength) {
            busy[server.service].push_back(server.busySeconds);
            flows[server.service].push_back(server.flows);
        }
        server.busySeconds = 0;
    }
    if (isMeasurementWindow()) {
        for (int service = 0; service < 2; ++service) {
            m_workImbalances[service].push_back(busiestToMean(busy[service]));
            m_flowImbalances[service].push_back(busiestToMean(flows[service]));
        }
    }
    m_events.after(windowLength, [this] {
        finishWindow();
    });
}

double PolicyRun::slowdown(const Server &server) const
{
    const double coldStartFactor = coldStartSlowdown + (1 - coldStartSlowdown) * rampProgress(server);
    return server.isMisleading ? 3 * coldStartFactor : coldStartFactor;
}

double PolicyRun::rampProgress(const Server &server) const
{
    return server.startedAt ? std::min(1.0, toSeconds(m_events.now() - *server.startedAt) / toSeconds(coldStartTime)) : 1;
}

bool PolicyRun::isServing(const Server &server) const
{
    return server.alive && server.listed;
}

bool PolicyRun::isMeasurementWindow() const
{
    return m_events.now() >= measurementStart + windowLength;
}

bool PolicyRun::isFairnessWindow() const
{
    // The period ends early enough for the longest request deadline to expire before the run ends.
    const TimePoint from = m_scenario.flood ? floodStart : measurementStart;
    const TimePoint until = m_scenario.flood ? floodEnd : fairnessEnd;
    return m_events.now() >= from && m_events.now() < until;
}

LoadReport PolicyRun::actualLoad(const Server &server) const
{
    LoadReport load = server.queue->load();
    load.flows = server.flows;
    return load;
}

LoadReport PolicyRun::reportedLoad(const Server &server) const
{
    return server.isMisleading ? LoadReport{} : actualLoad(server);
}

double PolicyRun::uniform(double low, double high)
{
    return std::uniform_real_distribution<double>(low, high)(m_random);
}

Duration PolicyRun::randomDuration(Duration low, Duration high)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(low.count(), high.count())(m_random));
}

HostAddress PolicyRun::addressOf(int server)
{
    return {0x7f000001U + static_cast<std::uint32_t>(server), 4433};
}

int PolicyRun::serverAt(const HostAddress &address) const
{
    return static_cast<int>(address.ip - 0x7f000001U);
}

void PolicyRun::computeResult()
{
    double jain = 1;
    double worstShare = 1;
    for (int service = 0; service < 2; ++service) {
        const std::vector<double> demand(m_demandSeconds[service].begin(), m_demandSeconds[service].end());
        const std::vector<double> shares = fairShares(demand, m_capacitySeconds[service]);
        std::vector<double> ratios;
        for (int customer = 0; customer < customerCount; ++customer) {
            ratios.push_back(shares[customer] > 0 ? m_servedSeconds[service][customer] / shares[customer] : 1);
            if (customer > 0) {
                worstShare = std::min(worstShare, ratios.back());
            }
        }
        jain = std::min(jain, jainIndex(ratios));
        const auto mean = [](const std::vector<double> &values) {
            double sum = 0;
            for (const double value : values) {
                sum += value;
            }
            return sum / static_cast<double>(values.size());
        };
        m_result.workImbalance = std::max(m_result.workImbalance, mean(m_workImbalances[service]));
        m_result.worstWindowImbalance = std::max(m_result.worstWindowImbalance, percentile(m_workImbalances[service], 1));
        m_result.windowsOverGoal = std::max(m_result.windowsOverGoal, shareAbove(m_workImbalances[service], 1.15));
        m_result.flowImbalance = std::max(m_result.flowImbalance, mean(m_flowImbalances[service]));
    }
    for (const Request &request : m_requests) {
        m_result.unansweredRequests += !request.ended && request.deadline + 10s < m_events.now() ? 1 : 0;
    }
    m_result.jainFairness = jain;
    m_result.worstSmallCustomerShare = worstShare;
    m_result.latencyP50Ms = percentile(m_latenciesMs, 0.5);
    m_result.latencyP99Ms = percentile(m_latenciesMs, 0.99);
    m_result.smallCustomerLatencyP99Ms = percentile(m_smallCustomerLatenciesMs, 0.99);
    m_result.megabytesBetweenZones = static_cast<double>(m_network.bytesBetweenZones()) / 1e6;
}

}
