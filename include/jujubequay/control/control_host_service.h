#pragma once

#include <jujubequay/control/control_services.h>

#include <cstdint>
#include <random>
#include <string>

namespace Jujubequay {

struct ControlHostOptions {
    std::string host; ///< common name of the own certificate
    std::uint64_t epoch = 1; ///< random, differs between starts; not 0
    Consensus::ReplicaOptions replica;
    LeaseOptions lease;
    WatchServerOptions watch;
    Duration registryExchange = std::chrono::milliseconds(250); ///< between deltas to other control hosts
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
        std::function<void(const Failure &)> failed;
    };

    ControlHostService(ControlHostOptions options, Environment environment, Consensus::StoredState stored);

    void start();
    /// For MessageStreamAcceptor. A role that may not use the path is refused.
    MessageStreamHandlers accept(const std::string &path, const std::shared_ptr<MessageStream> &stream);
    void tick();

    const ReplicaDriver &driver() const;
    const LeaseRegistry &registry() const;
    const WatchServer &watchServer() const;

private:
    MessageStreamHandlers acceptRaft(const std::shared_ptr<MessageStream> &stream);
    void receiveRaft(const std::string &host, const Bytes &bytes, std::uint64_t replyStream);
    void sendRaft(const jujubequay::pb::ReplicaMessage &message);
    void updatePeers();
    void promoteLearners();
    std::string leaderAddress() const;
    void fillStatus(const jujubequay::pb::StatusRequest &request, jujubequay::pb::StatusAnswer &status) const;
    jujubequay::pb::ControlHostStatus statusOf(const jujubequay::pb::Member &member) const;

    const ControlHostOptions m_options;
    Environment m_environment;
    LeaseRegistry m_registry;
    ReportBoard m_reports;
    ReplicaDriver m_driver;
    WatchServer m_watchServer;
    PeerLinks m_raftLinks;
    RegistryExchange m_exchange;
    WatchService m_watch;
    AnnounceService m_announce;
    OperatorService m_operators;
    AcceptedStreams m_raftStreams;
    std::map<std::string, std::uint64_t> m_replyStreams; // disk identity to accepted stream
    std::set<std::string> m_promoting;
    TimePoint m_lastPromotion{};
    TimePoint m_lastRegistryTick{};
};

}
