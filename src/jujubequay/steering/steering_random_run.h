#pragma once

#include <jujubequay/steering/agent_steering.h>
#include <jujubequay/steering/balancer_steering.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Jujubequay::SteeringTest {

/// A broken rule of open flows.
struct Finding {
    std::string rule; ///< rule, sender and cause, without addresses
    std::string detail;
    std::uint64_t flow = 0; ///< number of the flow within the run
};

struct SteeringRandomOptions {
    bool hasFaults = false; ///< servers and hosts also crash and notices get lost; otherwise all events are planned work
    bool reusesPorts = false; ///< callers open flows from ports of earlier flows
    bool isTracing = false;
};

/// A random schedule of balancers, agents, servers and callers without a network, whose open flows are checked.
///
/// Time is simulated. The same seed results in the same run.
class SteeringRandomRun
{
public:
    SteeringRandomRun(unsigned seed, SteeringRandomOptions options);
    void run();

    const std::vector<Finding> &findings() const;
    /// What happened to a flow, and the events of the run; empty without `isTracing`.
    std::string trace(std::uint64_t flow) const;
    /// Flows that were opened, to see that the run is not idle.
    std::size_t openedCount() const;

private:
    using Milliseconds = std::chrono::milliseconds;
    using Action = std::function<void()>;

    struct Event {
        TimePoint at;
        std::uint64_t number = 0; ///< order of events of the same time
        Action action;
        bool operator<(const Event &other) const
        {
            return at == other.at ? number > other.number : at > other.at;
        }
    };
    struct Packet {
        Segment segment;
        std::uint64_t flow = 0; ///< number of the caller's flow, which the hosts do not read
    };
    /// One use of a tuple by a caller.
    struct FlowRecord {
        FlowTuple tuple;
        TimePoint startedAt{};
        std::optional<TimePoint> openedAt;
        std::size_t ownerAgent = 0;
        Incarnation owner;
        std::uint32_t lastAcknowledgement = 0;
        TimePoint lastUsed{};
        bool isPortReused = false; ///< an earlier flow had the same tuple
        bool hasEnded = false;
        TimePoint lastDelivered{}; ///< when a packet reached the owner
        std::vector<TimePoint> strays; ///< when packets reached other servers since then
        std::vector<std::string> trace;
    };
    struct ServerFlow {
        std::uint64_t flow = 0;
        std::uint32_t callerInitial = 0;
        std::uint32_t initial = 0;
        std::uint32_t received = 0; ///< next sequence number of the caller
        std::uint32_t sent = 0; ///< next own sequence number
        std::uint32_t acknowledged = 0;
        bool isOpen = false;
        bool hasEnded = false;
        std::optional<Segment> response; ///< last response, for retransmissions
    };
    struct Server {
        std::string service;
        Incarnation incarnation;
        TimePoint startedAt{};
        bool isDraining = false;
        std::map<std::uint64_t, ServerFlow> flows; ///< by hash of the tuple
    };
    /// What the agent's process knows about its server.
    struct Announced {
        std::string service;
        Incarnation incarnation;
        TimePoint lastAt{};
        bool isDraining = false;
        bool hasDeparted = false;
        TimePoint startedAt{}; ///< when the server started
    };
    struct Agent {
        HostAddress address;
        std::string zone;
        std::unique_ptr<AgentSteering> steering; ///< null while the agent is down
        std::uint32_t epoch = 0;
        TimePoint startedAt{};
        TimePoint disturbedAt{}; ///< last restart or crash of the agent or its server
        std::shared_ptr<Server> server;
        TimePoint serverEndedAt{};
        std::optional<Announced> announced;
        bool isServerRunning = false; ///< found at the start of the agent, and not announced yet
        std::string service = "feed"; ///< of a server that is not announced yet
        std::optional<LocalServer> applied;
        bool isInUse = false; ///< an event works on it
        std::deque<std::pair<TimePoint, Packet>> heldRequests;
        std::deque<std::pair<SteerHeader, std::pair<TimePoint, Packet>>> heldLookups;
    };
    struct Balancer {
        HostAddress address;
        std::string zone;
        std::unique_ptr<BalancerSteering> steering;
        bool isInRotation = false;
        bool isInUse = false;
        TimePoint disturbedAt{};
        std::deque<std::pair<TimePoint, Packet>> startupQueue;
    };
    enum class CallerState : std::uint8_t {
        Idle,
        Opening,
        Waiting, ///< for a response
        Thinking,
        Closing,
    };
    struct Caller {
        std::uint32_t ip = 0;
        CallerState state = CallerState::Idle;
        FlowTuple tuple;
        std::uint64_t flow = 0;
        std::uint64_t timer = 0; ///< incremented to cancel timers
        std::uint32_t initial = 0;
        std::uint32_t sent = 0;
        std::uint32_t received = 0; ///< next sequence number of the server
        int requestsLeft = 0;
        std::uint16_t nextPort = 40000;
        std::vector<std::uint16_t> usedPorts;
    };

    // Simulation
    std::uint32_t random(std::uint32_t limit);
    bool chance(double probability);
    void after(Duration delay, Action action);
    void every(Duration interval, const Action &action);
    void transmit(bool isNotice, const Action &action);
    void note(std::uint64_t flow, const std::string &text);
    void logEvent(const std::string &text);

    // Callers
    void startFlow(std::size_t caller);
    void sendSyn(std::size_t caller, std::uint32_t copy);
    void sendRequest(std::size_t caller, int attempt);
    void sendFin(std::size_t caller, int attempt);
    void sendAcknowledgement(Caller &caller);
    void sendFromCaller(Caller &caller, Segment segment);
    void endFlow(std::size_t caller);
    void receiveAtCaller(const Packet &packet);
    void receiveFlowPacket(std::size_t caller, const Packet &packet);
    void think(std::size_t caller);
    void afterTimer(std::size_t caller, Duration delay, const Action &action);
    Balancer *route(const FlowTuple &tuple);

    // Servers
    void startServer(std::size_t agent, const std::string &service);
    void deliverToServer(std::size_t agent, const Packet &packet);
    void acceptSyn(std::size_t agent, const Packet &packet);
    void receiveAtServer(std::size_t agent, ServerFlow &flow, const Packet &packet);
    void respond(std::size_t agent, const std::shared_ptr<Server> &server, std::uint64_t key);
    void retransmit(std::size_t agent, const std::shared_ptr<Server> &server, std::uint64_t key, int attempt);
    void sendFromServer(std::size_t agent, const std::shared_ptr<Server> &server, const Packet &packet);
    void announce(std::size_t agent, const std::shared_ptr<Server> &server);

    // Hosts
    void sendToBalancer(const HostAddress &address, const std::function<void(Balancer &)> &action, bool isNotice);
    void handleAtBalancer(Balancer &balancer, const Packet &packet);
    void relay(const HostAddress &agent, const SteerHeader &header, Packet packet);
    void execute(std::size_t agent, const AgentDecision &decision, const Packet &packet);
    void sendReset(const ResetCaller &decision, const HostAddress &sender, TimePoint disturbedAt, std::uint64_t flow);
    void sendNotices(std::size_t agent);
    void receiveNotice(std::size_t agent, const OwnerNotice &notice);
    void releaseHeldRequests(std::size_t agent);
    void retryLookups(std::size_t agent);
    void tickAgent(std::size_t agent);
    void applyServer(std::size_t agent, bool isFresh);
    void handleAnnouncement(std::size_t agent, const Server &server);
    void handleServerEnd(std::size_t agent);
    void startAgent(std::size_t agent);
    void startBalancer(std::size_t balancer);
    std::optional<std::size_t> agentAt(const HostAddress &address) const;

    // Registry and routes
    void announceToRegistry(std::size_t agent);
    void publish();
    void publishTo(const HostAddress &host, bool isCertain);
    void sendHeartbeats();
    void setRoute(const HostAddress &address, const std::vector<std::string> &services);

    // Events
    void startEvent();
    void leave(std::size_t agent, const Action &onEnd);
    void replaceInPlace(std::size_t agent, Duration pause);
    void release();
    void restartAgent(std::size_t agent);
    void restartBalancer();
    void changeRoute();
    void drainService();
    void restartControlHosts();
    void crashServer();
    void crashMachine();
    void loseNotices();
    std::optional<std::size_t> unusedAgent(bool hasServer);

    // Checks
    void checkDelivery(std::size_t agent, const Packet &packet);
    void checkStrays(FlowRecord &flow, std::uint64_t number);
    void checkReset(const ResetCaller &decision, const HostAddress &sender, TimePoint disturbedAt, TimePoint decidedAt);
    bool isExempt(const FlowRecord &flow) const;
    void report(const std::string &rule, std::uint64_t flow, const std::string &detail);

    const unsigned m_seed;
    const SteeringRandomOptions m_options;
    std::mt19937 m_random;
    double m_loss = 0;
    double m_noticeLoss = 0;
    TimePoint m_now{};
    TimePoint m_end{};
    std::uint64_t m_eventNumber = 0;
    std::priority_queue<Event> m_events;
    std::vector<Agent> m_agents;
    std::vector<Balancer> m_balancers;
    std::vector<Caller> m_callers;
    std::vector<FlowRecord> m_flows;
    std::vector<AddressedNotice> m_notices;
    std::vector<std::string> m_log;
    std::vector<Finding> m_findings;
    std::uint32_t m_lastIncarnation = 100;

    jujubequay::pb::RouteTable m_routes;
    std::map<HostAddress, std::set<std::string>> m_servicesEver;
    std::map<HostAddress, TimePoint> m_routeDroppedAt;
    std::map<HostAddress, ServerSnapshot> m_registry;
    std::vector<DeregisteredServer> m_deregistered;
    bool m_isRegistryComplete = true;
    std::uint64_t m_controlHostStarts = 0; ///< a start of the control hosts ends the wait for announcements of the one before
    std::set<HostAddress> m_stalledWatchers; ///< get no heartbeats until they get the next list
    std::map<HostAddress, TimePoint> m_lastPublishedTo; ///< keeps the lists of one host in order
};

}
