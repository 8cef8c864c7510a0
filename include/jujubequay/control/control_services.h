#pragma once

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

/// Accepted streams of one path, by number.
class AcceptedStreams
{
public:
    std::uint64_t add(std::shared_ptr<MessageStream> stream);
    void remove(std::uint64_t id);
    /// Null once the stream has ended.
    MessageStream *find(std::uint64_t id) const;
    /// True if a peer of this name has a stream.
    bool contains(const std::string &peer) const;

private:
    std::map<std::uint64_t, std::shared_ptr<MessageStream>> m_streams;
    std::uint64_t m_lastId = 0;
};

/// True if a process on the host `peer` may call itself `name`: the host's name, or "host/anything".
bool isNameOnHost(const std::string &name, const std::string &peer);

/// Serves "/watch".
class WatchService
{
public:
    WatchService(const Clock &clock, ReplicaDriver &driver, WatchServer &server);

    MessageStreamHandlers accept(const std::shared_ptr<MessageStream> &stream);
    /// Sends what is due; call every 50 ms.
    void tick();

private:
    void receive(std::uint64_t id, const Bytes &bytes);

    const Clock &m_clock;
    ReplicaDriver &m_driver;
    WatchServer &m_server;
    AcceptedStreams m_streams;
};

/// Serves "/announce".
class AnnounceService
{
public:
    enum class Permissions : std::uint8_t {
        Bundles, ///< a server needs a bundle that names it
        AnyService,
    };

    AnnounceService(const Clock &clock, WallClock wallClock, const ControlState &state, LeaseRegistry &registry, Permissions permissions);

    MessageStreamHandlers accept(const std::shared_ptr<MessageStream> &stream);

private:
    struct Permission {
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
    const Permissions m_mode;
    AcceptedStreams m_streams;
    std::map<std::uint64_t, Permission> m_permissions; // last check of each stream
};

/// Exchanges registry entries and reports with the other control hosts, on "/registry".
class RegistryExchange
{
public:
    struct Options {
        Duration interval = std::chrono::milliseconds(250); ///< between deltas
        Duration fillTime = std::chrono::seconds(10); ///< in which agents return; a registry without a complete peer then counts as filled
    };

    RegistryExchange(const Clock &clock, MessageClient &client, std::mt19937_64 &random, LeaseRegistry &registry, ReportStore &reports, Options options);

    MessageStreamHandlers accept(const std::shared_ptr<MessageStream> &stream);
    void setPeers(const std::map<std::string, HostAddress> &peers);
    void tick();
    /// True once the registry holds what a complete peer holds, or agents had time to announce themselves.
    bool isFilled() const;
    bool isReachable(const std::string &host) const;

private:
    struct Position {
        std::uint64_t registry = 0;
        std::uint64_t reports = 0;
    };

    void receive(const std::string &host, const Bytes &bytes);
    void ended(std::uint64_t id, const std::string &host);
    void sendChanges(const std::string &host, Position &position);

    const Clock &m_clock;
    LeaseRegistry &m_registry;
    ReportStore &m_reports;
    PeerLinks m_links;
    AcceptedStreams m_streams;
    std::map<std::string, Position> m_positions;
    const Options m_options;
    const TimePoint m_startedAt;
    TimePoint m_lastExchange{};
    bool m_isFilled = false;
};

/// Serves "/operator".
class OperatorService
{
public:
    struct Handlers {
        /// Address of the leader, empty if unknown.
        std::function<std::string()> leaderAddress;
        /// Adds registry, reports and control hosts to a status.
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
