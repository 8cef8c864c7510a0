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
    std::string host; ///< common name of the own certificate
    std::uint64_t epoch = 1; ///< random, differs between starts; not 0
    Consensus::ReplicaOptions replica;
    LeaseOptions lease;
    WatchServerOptions watch;
    Duration registryExchangeInterval = std::chrono::milliseconds(250); ///< between deltas to other control hosts
    Duration registryFillTimeout = std::chrono::seconds(10); ///< see RegistryExchange
    /// Time without a new server after which the registry of a restarted control host counts as settled; zero for never.
    Duration registryStableTime{};
    /// Servers may announce themselves for services without a bundle; deployments that use a route table need this.
    bool acceptsAnyService = false;
    /// Set if control hosts join and are replaced without an operator.
    std::optional<MembershipReconcilerOptions> membershipReconciler;
    /// How long after its start a control host serves what it knows to be committed while there is no leader; zero for never.
    Duration startupGrace{};
    std::string address; ///< "ip:port" of the own control streams; needed by `membershipReconciler`
    /// How long a leader waits for the wanted number of voters before it accepts changes with fewer.
    Duration votersPatience = std::chrono::seconds(3);
};

/// Outcome of a change of the route table.
struct RouteChangeAnswer {
    ResultCode result = ResultCode::Ok;
    std::string detail;
    std::string leaderHost; ///< NotLeader: where to ask instead; empty if unknown
};

/// One control host: joins the replica, the registry and the watch server to streams. Used on the control thread only;
/// accepted streams must have ended, or never call their handlers again, when it is destroyed.
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
        /// Storage failed; the process must stop.
        std::function<void(const Failure &)> storageFailed;
        /// Sends a start notice to a balancer or an agent, which may not be there; empty if none are sent.
        std::function<void(const HostAddress &)> sendStartNotice = {};
    };

    ControlHostService(ControlHostOptions options, Environment environment, Consensus::StoredState stored);

    void start();
    /// For MessageStreamAcceptor. A role that may not use the path is refused.
    MessageStreamHandlers accept(const std::string &path, const std::shared_ptr<MessageStream> &stream);
    void tick();
    /// When `tick` is due, at most tickInterval from now.
    TimePoint nextTick() const;
    /// Where control hosts may be found by one that is not a member.
    void setSeeds(std::vector<HostAddress> seeds);
    /// Puts a checked route table in force unless its version is not higher than the one in force. Answers once the change is
    /// durable on a majority.
    void replaceRoutes(const jujubequay::pb::ReplaceRoutes &change, std::function<void(const RouteChangeAnswer &)> handler);
    /// Calls the handler with Ok once a majority has confirmed that the route table of `driver().state()` is the newest one.
    void confirmRoutes(std::function<void(ResultCode)> handler);
    /// Call before the process stops on request.
    void announceLeave();

    const ReplicaDriver &driver() const;
    const LeaseRegistry &registry() const;
    const WatchServer &watchServer() const;
    /// True once every server that is known durably was heard of, or agents had time to return.
    bool isRegistryComplete() const;

private:
    MessageStreamHandlers acceptRaft(const std::shared_ptr<MessageStream> &stream);
    void receiveRaft(const std::string &host, const Bytes &bytes, std::uint64_t replyStream);
    void sendRaft(const jujubequay::pb::ReplicaMessage &message);
    void updatePeers();
    void promoteLearners();
    void keepMembership();
    void joinIfNeeded();
    bool isRegistrySettled();
    void checkRegistry();
    void keepKnownHosts();
    /// A command of this host itself, under a new operation identity that begins with `kind`.
    jujubequay::pb::LoggedCommand ownCommand(std::string_view kind, jujubequay::pb::Command command);
    void proposeKnownHosts(const jujubequay::pb::ChangeKnownHosts &change);
    void sendStartNotices();
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
    ReplicaDriver m_driver;
    WatchServer m_watchServer;
    PeerLinks m_raftLinks;
    RegistryExchange m_exchange;
    WatchService m_watch;
    AnnounceService m_announce;
    OperatorService m_operators;
    std::optional<MembershipReconciler> m_keeper;
    JoinService m_join;
    KnownHostsReconciler m_knownHosts;
    bool m_isChangingKnownHosts = false;
    std::string m_lastNotified; ///< known hosts get start notices in turn
    std::vector<HostAddress> m_seeds;
    bool m_isChangingMembership = false;
    TimePoint m_registryChangedAt{};
    std::size_t m_registryServers = 0;
    bool m_isRegistryComplete = false;
    const TimePoint m_startedAt;
    TimePoint m_leaderHeardAt{};
    TimePoint m_leadingSince{};
    std::uint64_t m_leadingTerm = 0;
    AcceptedStreams m_raftStreams;
    std::map<std::string, std::uint64_t> m_replyStreams; // disk identity to accepted stream
    std::set<std::string> m_promoting;
    TimePoint m_lastPromotion{};
    TimePoint m_lastRegistryTick{};
};

}
