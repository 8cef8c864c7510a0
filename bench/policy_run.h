#pragma once

#include <jujubequay/policy/admission_queue.h>
#include <jujubequay/policy/flow_choice.h>
#include <jujubequay/policy/load_estimate.h>
#include <jujubequay/policy/placement.h>
#include <jujubequay/policy/redirect.h>
#include <jujubequay/policy/retry.h>

#include "event_queue.h"
#include "metrics.h"
#include "network.h"
#include "scenario.h"

#include <array>
#include <memory>
#include <unordered_map>
#include <vector>

namespace Jujubequay::Bench {

/// One run of a policy in a scenario, in simulated time. The state machines of the policy module make all decisions; this
/// class delivers messages between them and collects the metrics. The result depends only on the constructor arguments.
///
/// Servers, balancers, flows, callers, requests and attempts refer to each other by their index in the vectors below, and
/// to a service by its index in Deployment::services.
///
///     const PolicyResult result = PolicyRun(deployment, policy, scenario, 1).run();
class PolicyRun
{
public:
    PolicyRun(const Deployment &deployment, const Policy &policy, const Scenario &scenario, std::uint64_t seed);
    PolicyResult run();

private:
    static constexpr std::uint32_t slots = 3; ///< concurrent requests of a backend server
    static constexpr int customerCount = 20;

    struct Server {
        int index = 0;
        int zone = 0;
        int service = 0;
        bool alive = true;
        bool listed = true; ///< whether the registry lists the server as serving
        bool isMisleading = false; ///< reports no load and takes three times as long for each request
        std::uint32_t incarnation = 1;
        std::optional<TimePoint> drainStartedAt;
        std::optional<TimePoint> startedAt; ///< empty for servers that were running when the simulation started
        TimePoint servingSince{};
        std::unique_ptr<AdmissionQueue> queue;
        std::uint32_t flows = 0;
        std::uint32_t assignedRequests = 0; ///< unfinished requests that the central scheduler assigned to this server
        std::unordered_map<int, LoadEstimate> loadEstimates; ///< load of the other servers as this server estimates it, by index
        TimePoint busyCountedAt{}; ///< time up to which busySeconds is accumulated
        double busySeconds = 0; ///< number of running requests, integrated over the current window
    };

    struct Balancer {
        int zone = 0;
        bool alive = true;
        std::optional<TimePoint> partitionedUntil;
        std::array<PlacementTable, 2> tables; ///< by service
        std::unordered_map<int, LoadReport> serverLoads; ///< by server; taken from the last packet that the balancer forwarded from the server
        std::array<std::size_t, 2> nextServer{}; ///< next position of the round robin, by service
    };

    struct Flow {
        std::uint64_t key = 0; ///< input of the hashes that place the flow
        int caller = 0;
        int service = 0;
        int server = -1;
        std::uint32_t incarnation = 0;
        bool open = false;
        bool closed = false;
        bool draining = false;
        bool feed = false; ///< carries a feed, so it is never idle
        int invitedServer = -1; ///< server that a relocating or draining server named for the new flow; -1: the balancer places the flow
        int trackingBalancer = -1; ///< balancer that keeps the table entry of the flow (round robin only)
        int reopenings = 0; ///< times that the flow was replaced because it reached the same server as another flow of the caller
        std::uint32_t outstanding = 0;
        TimePoint openedAt{};
        LoadEstimate estimate;
    };

    struct Caller {
        int customer = 0;
        int service = 0;
        std::vector<int> flows;
        RetryBudget budget;
    };

    struct Request {
        int caller = 0;
        int service = 0;
        const RequestKind *kind = nullptr;
        Duration slotTime{};
        TimePoint submittedAt{};
        TimePoint deadline{};
        std::uint32_t attempts = 0;
        std::uint32_t executions = 0;
        bool moved = false; ///< a server has moved the request to another server already
        bool fairnessCounted = false; ///< arrived within the period over which fairness is measured
        bool ended = false;
    };

    struct Attempt {
        int request = 0;
        int flow = -1;
        int server = -1;
        std::uint32_t incarnation = 0;
        bool canMove = false;
        std::optional<double> otherServerWork; ///< work of the server that moved the request, as that server reported it
        int movedFrom = -1; ///< server that moved the request to this one
        int moveTo = -1; ///< server to which this server moved the request
        bool started = false;
        bool ended = false;
    };

    // Set-up and faults.
    void addServers();
    void addCallers();
    void scheduleFaults();
    void drainServer(int index);
    /// Stops a draining server at its drain limit. Flows that are still in use break.
    void exitServer(int index);
    void startServer(int index, int service);
    void crashServer(int index);
    /// Stops a balancer (even steps) or starts it again (odd steps).
    void toggleBalancer(int step);
    /// Delivers the registry to all balancers that are not partitioned, each after a random delay.
    void publishRegistry(bool planned);
    /// Rebuilds the placement tables of a balancer from the current registry.
    void refreshTables(int balancer);

    // Flows.
    void openFlow(int caller, bool feed, int reopenings, int invitedServer = -1);
    void relocateFlows(Server &server);
    /// Server with the fewest flows to which idle flows of a server should move; -1 if there is none.
    int relocationTarget(const Server &server);
    void sendInitialPacket(int flow);
    void receiveInitialPacket(int flow, int server, int second, int balancer, bool isRedirected);
    void acceptFlow(int flow, int server, int balancer);
    /// Processes the answer to the Initial packet at the caller.
    void confirmFlow(int flow);
    void closeFlow(int flow);
    void breakFlow(int flow, bool planned);
    /// Makes the caller open a replacement, at `invitedServer` if there is one, and close the flow when it is idle.
    void moveFlow(int flow, int invitedServer = -1);
    void keepAlive(int flow);
    /// Whether a packet of the flow that enters at this balancer reaches the server of the flow.
    bool packetReachesFlow(int flow, int balancer);
    PlacementChoice choosePlacement(int balancer, int service, std::uint64_t key);
    /// Balancer whose flow table gets the flow with this key, by rendezvous hashing over the running balancers.
    int trackingBalancer(std::uint64_t key) const;
    int randomBalancer();
    int serverWithFewestFlows(int service);
    bool redirectsTo(const Server &first, const Server &second);

    // Requests.
    void scheduleArrival(int service, double rate, bool flood);
    void submitRequest(int service, int customer);
    void dispatchRequest(int request);
    void sendAttempt(int request, int flow, bool canMove, std::optional<double> otherServerWork = {}, int movedFrom = -1);
    AdmissionOptions admissionOptions() const;
    void receiveAttempt(int attempt);
    void applyEffects(int server, const AdmissionEffects &effects);
    void startAttempt(int attempt);
    void sendAnswer(int attempt, ResultCode code, Duration retryAfter);
    void receiveAnswer(int attempt, ResultCode code, Duration retryAfter, const LoadReport &load);
    void retryRequest(int request, ResultCode code, Duration retryAfter, int attempt, double work);
    void endRequest(int request, ResultCode code);
    std::vector<int> usableFlows(int caller, int excludedFlow) const;
    int serverWithFewestAssignedRequests(int service);
    /// Server of the caller's other flows with the least estimated work; -1 if there is none.
    int otherServer(int attempt) const;
    /// Reports the load of one random other server to a server, as a balancer does in the header of a forwarded datagram.
    void attachOtherServerLoad(int balancer, int server);

    // Metrics and helpers.
    void accumulateBusyTime(Server &server);
    void finishWindow();
    void tick();
    double slowdown(const Server &server) const;
    double rampProgress(const Server &server) const;
    bool isServing(const Server &server) const;
    bool isMeasurementWindow() const;
    bool isFairnessWindow() const;
    LoadReport actualLoad(const Server &server) const;
    LoadReport reportedLoad(const Server &server) const;
    double uniform(double low, double high);
    Duration randomDuration(Duration low, Duration high);
    int serverAt(const HostAddress &address) const;
    static HostAddress addressOf(int server);
    void computeResult();

    const Deployment &m_deployment;
    const Policy &m_policy;
    const Scenario &m_scenario;
    std::mt19937_64 m_random;
    EventQueue m_events;
    Network m_network;
    std::vector<Server> m_servers;
    std::vector<Balancer> m_balancers;
    std::vector<Flow> m_flows;
    std::vector<Caller> m_callers;
    std::vector<Request> m_requests;
    std::vector<Attempt> m_attempts;
    std::array<std::array<std::vector<int>, customerCount>, 2> m_callersByCustomer;
    std::vector<double> m_customerShares;
    bool m_lastChangePlanned = true; ///< whether the last change of servers or balancers was planned

    PolicyResult m_result;
    std::vector<double> m_latenciesMs;
    std::vector<double> m_smallCustomerLatenciesMs;
    std::array<std::vector<double>, 2> m_workImbalances;
    std::array<std::vector<double>, 2> m_flowImbalances;
    std::array<std::array<double, customerCount>, 2> m_demandSeconds{};
    std::array<std::array<double, customerCount>, 2> m_servedSeconds{};
    std::array<double, 2> m_capacitySeconds{};
};

}
