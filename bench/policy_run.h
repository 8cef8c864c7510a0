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

/// One run of a policy in a scenario, in simulated time. The state machines of the policy module make the decisions; this
/// class only carries messages between them and counts. The result depends on the arguments alone.
///
///     const CellResult result = PolicyRun(deployment, policy, scenario, 1).run();
class PolicyRun
{
public:
    PolicyRun(const Deployment &deployment, const Policy &policy, const Scenario &scenario, std::uint64_t seed);
    CellResult run();

private:
    static constexpr std::uint32_t slots = 3;
    static constexpr int customerCount = 20;

    struct Server {
        int index = 0;
        int zone = 0;
        int service = 0;
        bool alive = true;
        bool listed = true; ///< in the registry as serving
        bool lies = false;
        std::uint32_t incarnation = 1;
        std::optional<TimePoint> drainedAt;
        std::optional<TimePoint> startedAt; ///< empty for servers that ran before the run began
        TimePoint servingSince{};
        std::unique_ptr<AdmissionQueue> queue;
        std::uint32_t flows = 0;
        std::uint32_t assigned = 0; ///< requests that the central scheduler has placed here
        std::unordered_map<int, LoadEstimate> others;
        TimePoint countedAt{};
        double busySeconds = 0; ///< running requests times seconds in the current window
    };

    struct Balancer {
        int zone = 0;
        bool alive = true;
        std::optional<TimePoint> partitionedUntil;
        std::array<PlacementTable, 2> tables;
        std::unordered_map<int, LoadReport> loads; ///< last load seen in answers that passed
        std::array<std::size_t, 2> next{}; ///< round robin
    };

    struct Flow {
        std::uint64_t key = 0;
        int caller = 0;
        int service = 0;
        int server = -1;
        std::uint32_t incarnation = 0;
        bool open = false;
        bool closed = false;
        bool draining = false;
        bool feed = false;
        int invitedTo = -1; ///< server that the identifier of an invitation names
        int home = -1; ///< round robin: the balancer whose table has the flow
        int reopenings = 0;
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
        bool moved = false;
        bool fairnessCounted = false;
        bool ended = false;
    };

    struct Attempt {
        int request = 0;
        int flow = -1;
        int server = -1;
        std::uint32_t incarnation = 0;
        bool canMove = false;
        std::optional<double> otherWork; ///< reported by the server that moved the request
        int movedFrom = -1; ///< server that moved the request here
        int moveTo = -1; ///< server that a move named
        bool started = false;
        bool ended = false;
    };

    // Set-up and faults.
    void addServers();
    void addCallers();
    void scheduleFaults();
    void drainServer(int index);
    void exitServer(int index);
    void startServer(int index, int service);
    void crashServer(int index);
    void changeBalancers(int step);
    void publish(bool planned);
    void refresh(int balancer);

    // Flows.
    void openFlow(int caller, bool feed, int reopenings, int invitedTo = -1);
    void relocateFlows(Server &server);
    int relocationTarget(const Server &server);
    void sendOpening(int flow);
    void arriveOpening(int flow, int server, int second, int balancer, bool handedOver);
    void acceptFlow(int flow, int server, int balancer);
    void flowOpened(int flow);
    void closeFlow(int flow);
    void breakFlow(int flow, bool planned);
    void moveFlow(int flow, int invitedTo = -1);
    void keepAlive(int flow);
    bool packetReachesFlow(int flow, int balancer);
    PlacementChoice place(int balancer, int service, std::uint64_t key);
    int homeBalancer(std::uint64_t key) const;
    int anyBalancer();
    int leastFlows(int service);
    bool handsOver(const Server &own, const Server &second);

    // Requests.
    void scheduleArrival(int service, double rate, bool flood);
    void submitRequest(int service, int customer);
    void dispatch(int request);
    void send(int request, int flow, bool canMove, std::optional<double> otherWork = {}, int movedFrom = -1);
    AdmissionOptions admissionOptions() const;
    void arrive(int attempt);
    void apply(int server, const AdmissionEffects &effects);
    void startAttempt(int attempt);
    void answer(int attempt, ResultCode code, Duration retryAfter);
    void answered(int attempt, ResultCode code, Duration retryAfter, const LoadReport &load);
    void retry(int request, ResultCode code, Duration retryAfter, int attempt, double work);
    void endRequest(int request, ResultCode code);
    std::vector<int> usableFlows(int caller, int exceptFlow) const;
    int leastAssigned(int service);
    int otherServer(int attempt) const;
    void shareLoad(int balancer, int server);

    // Counting.
    void countBusy(Server &server);
    void closeWindow();
    void tick();
    double slowness(const Server &server) const;
    double ramp(const Server &server) const;
    bool isServing(const Server &server) const;
    bool isMeasured() const;
    bool isFairnessWindow() const;
    LoadReport ownLoad(const Server &server) const;
    LoadReport reportedLoad(const Server &server) const;
    double uniform(double low, double high);
    Duration randomDuration(Duration low, Duration high);
    int serverAt(const HostAddress &address) const;
    static HostAddress addressOf(int server);
    void finishResult();

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
    std::array<std::array<std::vector<int>, customerCount>, 2> m_callersOf;
    std::vector<double> m_customerShare;
    bool m_lastChangePlanned = true;

    CellResult m_result;
    std::vector<double> m_times;
    std::vector<double> m_smallTimes;
    std::array<std::vector<double>, 2> m_windows;
    std::array<std::vector<double>, 2> m_flowWindows;
    std::array<std::array<double, customerCount>, 2> m_demand{};
    std::array<std::array<double, customerCount>, 2> m_served{};
    std::array<double, 2> m_capacity{};
};

}
