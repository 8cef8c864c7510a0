#pragma once

#include <jujubequay/control/control_services.h>
#include <jujubequay/control/join_service.h>
#include <jujubequay/control/known_hosts_reconciler.h>
#include <jujubequay/control/membership_reconciler.h>

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace Jujubequay {

struct ControlHostOptions {
    std::string host; ///< common name of this host's certificate
    std::string zone; ///< availability zone of this host; watchers prefer control hosts of their own zone
    std::uint64_t epoch = 1; ///< random, changes with each restart; not 0
    Consensus::ReplicaOptions replica;
    LeaseOptions lease;
    WatchServerOptions watch;
    Duration registryExchangeInterval = std::chrono::milliseconds(250); ///< interval between registry deltas to other control hosts
    Duration registryFillTimeout = std::chrono::seconds(10); ///< see RegistryExchange
    /// Time without a new server after which the registry of a restarted control host counts as stable; zero disables this.
    Duration registryStableTime{};
    /// Servers may announce themselves for services without a bundle. Required by deployments that use a route table.
    bool acceptsAnyService = false;
    /// Set if control hosts join and are replaced without an operator; without it only operators add and remove members.
    std::optional<MembershipReconcilerOptions> membershipReconciler;
    /// Time after its start in which a control host serves committed state to watchers while there is no leader, and sends start
    /// notices; zero disables both.
    Duration startupGrace{};
    std::string address; ///< "ip:port" at which this host accepts control streams; required with `membershipReconciler`
    /// Time after its election in which a leader refuses route changes while there are fewer voters than configured.
    Duration voterWaitTimeout = std::chrono::seconds(3);
};

/// Outcome of a change of the route table.
struct RouteChangeAnswer {
    ResultCode result = ResultCode::Ok;
    std::string detail;
    std::string leaderHost; ///< for NotLeader: host name of the leader; empty if unknown
};

/// One control host: connects the replica, the registry and the watch server to streams. Used on the control thread only.
/// Accepted streams must have ended, or must never call their handlers again, when this object is destroyed.
///
///     MessageServer::listen(..., [&host](auto &path, auto &stream) { return host.accept(path, stream); });
///     // every ControlHostService::tickInterval: host.tick();
class ControlHostService
{
public:
    static constexpr Duration tickInterval = std::chrono::milliseconds(50);

    struct Environment {
        const Clock &clock;
        WallClock wallClock;
        Logger &logger;
        MessageClient &client;
        Consensus::LogStorage &storage;
        std::mt19937_64 &random;
        /// Called when the storage has failed; the process must stop.
        std::function<void(const Failure &)> storageFailed;
        /// Sends a start notice to a balancer or an agent, which may not be running; empty if start notices are disabled.
        std::function<void(const HostAddress &)> sendStartNotice = {};
        /// Sends flows that have ended with their server to the agent; empty if agents record no flows.
        std::function<void(const EndedFlows &)> sendEndedFlows = {};
    };

    ControlHostService(ControlHostOptions options, Environment environment, Consensus::StoredState stored);

    void start();
    /// For MessageStreamAcceptor. Refuses the stream if the role of the peer is not permitted on the path.
    MessageStreamHandlers accept(const std::string &path, const std::shared_ptr<MessageStream> &stream);
    void tick();
    /// Deadline of the next call of `tick`, at most tickInterval from now.
    TimePoint nextTick() const;
    /// Sets the addresses at which a host that is not a member looks for control hosts.
    void setSeeds(std::vector<HostAddress> seeds);
    /// Puts a checked route table in force if its version is higher than the one in force. Calls the handler once the change is
    /// durable on a majority.
    void replaceRoutes(const jujubequay::pb::ReplaceRoutes &change, std::function<void(const RouteChangeAnswer &)> handler);
    /// Calls the handler with Ok once a majority has confirmed that the route table of `driver().state()` is current.
    void confirmRoutes(std::function<void(ResultCode)> handler);
    /// Announces to the leader that this process stops. Call it before a requested stop. A leader removes itself from the group if another
    /// voter replaces it.
    void announceLeave();
    /// True after announceLeave while the leader has not acknowledged it or, on the leader itself, while it is still to be removed.
    bool isLeaving() const;

    /// The open flows that agents have recorded. The owner of this object saves them.
    FlowRecordStore &flowRecords();
    const ReplicaDriver &driver() const;
    const LeaseRegistry &registry() const;
    const WatchServer &watchServer() const;
    /// Messages since the start, those of the owner of this object included.
    MessageAccount messages() const;
    /// Counts a notice that the owner of this object has sent.
    void countNotice(MessageKind kind, std::size_t bytes);
    /// True once every server in the replicated known hosts has announced itself, or once the fill timeout has passed.
    bool isRegistryComplete() const;

private:
    MessageStreamHandlers acceptRaft(const std::shared_ptr<MessageStream> &stream);
    void receiveRaft(const std::string &host, const Bytes &bytes, std::uint64_t replyStream);
    void sendRaft(const jujubequay::pb::ReplicaMessage &message);
    void updatePeers();
    void promoteLearners();
    void reconcileMembership();
    std::vector<MemberStatus> memberStatus(TimePoint now) const;
    void announceLeaveToLeader();
    void joinIfNeeded();
    bool isRegistryStable();
    void updateRegistryComplete();
    void reconcileKnownHosts();
    /// Wraps a command that this control host issues, with a new operation identity that starts with `kind`.
    jujubequay::pb::LoggedCommand localCommand(std::string_view kind, jujubequay::pb::Command command);
    void proposeKnownHosts(const jujubequay::pb::ChangeKnownHosts &change);
    void sendStartNotices();
    void sendEndedFlows();
    /// Logs at intervals that there is no leader, and which voters cannot be reached.
    void reportMissingLeader();
    void handleJoin(const jujubequay::pb::JoinRequest &request);
    bool hasEnoughVoters() const;
    /// Null if the leader is unknown.
    const jujubequay::pb::Member *leader() const;
    std::string leaderAddress() const;
    void fillStatus(const jujubequay::pb::StatusRequest &request, jujubequay::pb::StatusAnswer &status) const;
    jujubequay::pb::ControlHostStatus statusOf(const jujubequay::pb::Member &member) const;

    const ControlHostOptions m_options;
    Environment m_environment;
    LeaseRegistry m_registry;
    ReportStore m_reports;
    FlowRecordStore m_flowRecords;
    ReplicaDriver m_driver;
    WatchServer m_watchServer;
    PeerLinks m_raftLinks;
    RegistryExchange m_registryExchange;
    WatchService m_watchService;
    AnnounceService m_announceService;
    OperatorService m_operatorService;
    std::optional<MembershipReconciler> m_membershipReconciler;
    JoinService m_joinService;
    KnownHostsReconciler m_knownHostsReconciler;
    bool m_isKnownHostsChangePending = false;
    MessageAccount m_messages; ///< of the log and of notices
    std::string m_lastNotified; ///< address of the last start notice; known hosts are notified in turn
    std::vector<HostAddress> m_seeds;
    bool m_isMembershipChangePending = false;
    bool m_isLeaving = false;
    TimePoint m_registryChangedAt{};
    std::size_t m_registryServerCount = 0;
    bool m_isRegistryComplete = false;
    const TimePoint m_startedAt;
    TimePoint m_leaderSeenAt{};
    TimePoint m_missingLeaderReportedAt{};
    TimePoint m_lastLeaderContact{};
    TimePoint m_leaderSince{};
    std::uint64_t m_leaderTerm = 0;
    AcceptedStreams m_raftStreams;
    std::map<std::string, std::uint64_t> m_replyStreams; // accepted stream by disk identity
    std::set<std::string> m_pendingPromotions;
    TimePoint m_lastPromotion{};
    TimePoint m_lastRegistryTick{};
};

}
