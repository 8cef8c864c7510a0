#pragma once

#include <jujubequay/control/flow_record_store.h>
#include <jujubequay/control/lease_registry.h>
#include <jujubequay/control/peer_links.h>
#include <jujubequay/control/replica_driver.h>
#include <jujubequay/control/report_store.h>
#include <jujubequay/control/watch_server.h>
#include <jujubequay/core/log.h>
#include <jujubequay/net/message_stream.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Jujubequay {

/// Wall clock in ms since 1970.
using WallClock = std::function<std::uint64_t()>;

/// Accepted streams of one path, by stream number.
class AcceptedStreams
{
public:
    std::uint64_t add(std::shared_ptr<MessageStream> stream);
    void remove(std::uint64_t id);
    /// Null once the stream has ended.
    MessageStream *find(std::uint64_t id) const;
    /// True if there is a stream from the peer with this name.
    bool contains(const std::string &peer) const;

private:
    std::map<std::uint64_t, std::shared_ptr<MessageStream>> m_streams;
    std::uint64_t m_lastId = 0;
};

/// True if a process with the certificate name `peer` may use `name`: either `peer` itself or a name that starts with "peer/".
bool isNameOnHost(const std::string &name, const std::string &peer);

/// Accepts streams on "/watch" and connects them to the watch server.
class WatchService
{
public:
    WatchService(const Clock &clock, Logger &logger, ReplicaDriver &driver, WatchServer &server, FlowRecordStore &flowRecords);

    MessageStreamHandlers accept(const std::shared_ptr<MessageStream> &stream);
    /// Sends pending updates to watchers; call every 50 ms.
    void tick();

private:
    void receive(std::uint64_t id, const Bytes &bytes);
    void receiveFlowRecords(std::uint64_t id, const jujubequay::pb::FlowRecords &records);

    const Clock &m_clock;
    Logger &m_logger;
    ReplicaDriver &m_driver;
    WatchServer &m_server;
    FlowRecordStore &m_flowRecords;
    AcceptedStreams m_streams;
    std::map<std::uint64_t, std::string> m_agents; // address of the agent by stream
};

/// Accepts streams on "/announce", checks announcements and passes them to the registry.
class AnnounceService
{
public:
    enum class Authorization : std::uint8_t {
        RequireBundle, ///< the bundle in force must list the name of the server
        AnyService, ///< servers may announce any service
    };

    AnnounceService(const Clock &clock, WallClock wallClock, const ControlState &state, LeaseRegistry &registry, Authorization authorization);

    MessageStreamHandlers accept(const std::shared_ptr<MessageStream> &stream);
    const MessageAccount &messages() const;

private:
    struct CheckedEntry {
        std::string service;
        std::string name;
        std::uint64_t revision = 0;
    };

    void receive(std::uint64_t id, const Bytes &bytes);
    bool isAllowed(std::uint64_t id, const std::string &peer, const jujubequay::pb::ServerEntry &entry);

    const Clock &m_clock;
    const WallClock m_wallClock;
    const ControlState &m_state;
    LeaseRegistry &m_registry;
    const Authorization m_authorization;
    AcceptedStreams m_streams;
    std::map<std::uint64_t, CheckedEntry> m_checkedEntries; // last authorized entry by stream number
    MessageAccount m_messages;
};

/// Exchanges registry entries and reports with the other control hosts on "/registry".
class RegistryExchange
{
public:
    struct Options {
        Duration interval = std::chrono::milliseconds(250); ///< interval between deltas
        Duration fillTimeout = std::chrono::seconds(10); ///< the registry counts as filled after this time even if no peer has sent a filled one
        std::string zone; ///< availability zone of this host
    };

    RegistryExchange(const Clock &clock, MessageClient &client, std::mt19937_64 &random, LeaseRegistry &registry, ReportStore &reports, Options options);

    MessageStreamHandlers accept(const std::shared_ptr<MessageStream> &stream);
    void setPeers(const std::map<std::string, HostAddress> &peers);
    void tick();
    /// True once a peer has sent its filled registry, or once agents had `fillTimeout` to announce themselves.
    bool isFilled() const;
    bool isReachable(const std::string &host) const;
    /// Availability zone of another control host; empty until it has sent its registry.
    std::string zoneOf(const std::string &host) const;
    const MessageAccount &messages() const;

private:
    struct Position {
        std::uint64_t registry = 0;
        std::uint64_t reports = 0;
    };

    void receive(const std::string &host, const Bytes &bytes);
    void streamEnded(std::uint64_t id, const std::string &host);
    void sendChanges(const std::string &host, Position &position);

    const Clock &m_clock;
    LeaseRegistry &m_registry;
    ReportStore &m_reports;
    PeerLinks m_links;
    AcceptedStreams m_streams;
    std::map<std::string, Position> m_positions;
    std::map<std::string, std::string> m_zones;
    const Options m_options;
    const TimePoint m_startedAt;
    TimePoint m_lastExchange{};
    bool m_isFilled = false;
    MessageAccount m_messages;
};

/// Accepts streams on "/operator" and executes commands and status requests.
class OperatorService
{
public:
    struct Handlers {
        /// Returns the address of the leader; empty if unknown.
        std::function<std::string()> leaderAddress;
        /// Adds the servers of the registry, the reports and the control hosts to a status.
        std::function<void(const jujubequay::pb::StatusRequest &, jujubequay::pb::StatusAnswer &)> fillStatus;
    };

    OperatorService(const Clock &clock, Logger &logger, ReplicaDriver &driver, const LeaseRegistry &registry, const ReportStore &reports, Handlers handlers);

    MessageStreamHandlers accept(const std::shared_ptr<MessageStream> &stream);

private:
    void receive(std::uint64_t id, const Bytes &bytes);
    void execute(std::uint64_t id, const std::string &operatorName, const std::string &bytes);
    void changeMembership(std::uint64_t id, const jujubequay::pb::ChangeMembership &command);
    void answer(std::uint64_t id, jujubequay::pb::CommandAnswer answer);
    void sendStatus(std::uint64_t id, const jujubequay::pb::StatusRequest &request, ResultCode result);

    const Clock &m_clock;
    Logger &m_logger;
    ReplicaDriver &m_driver;
    const LeaseRegistry &m_registry;
    const ReportStore &m_reports;
    const Handlers m_handlers;
    AcceptedStreams m_streams;
};

}
