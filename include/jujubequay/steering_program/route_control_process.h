#pragma once

#include <jujubequay/consensus/disk_log_storage.h>
#include <jujubequay/control/control_host_service.h>
#include <jujubequay/net/message_server.h>
#include <jujubequay/steering_program/discovery.h>
#include <jujubequay/steering_program/flow_record_files.h>
#include <jujubequay/steering_program/settings_watcher.h>

#include <asio/ip/udp.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace Jujubequay {

/// Result of reading the newest route table.
struct RouteReadAnswer {
    ResultCode result = ResultCode::Ok;
    std::string document; ///< the route table as the operator sent it; empty if `result` is not Ok or no table was sent yet
};

/// Process of a control host that discovers the other control hosts from its seeds. After a disk failure the replica is closed and reopened
/// until the disk works again; until then requests are refused.
class RouteControlProcess
{
public:
    RouteControlProcess(RouteControlSettings settings, std::filesystem::path settingsFile, SeedReader readSeeds);
    ~RouteControlProcess();
    RouteControlProcess(const RouteControlProcess &) = delete;
    RouteControlProcess &operator=(const RouteControlProcess &) = delete;

    /// Fails with AddressUnavailable.
    Result<void> start();
    /// Returns after SIGTERM or SIGINT.
    void run();
    asio::io_context &context();
    Logger &logger();

    /// Replaces the route table. The caller has checked the table.
    void replaceRoutes(const jujubequay::pb::ReplaceRoutes &change, std::function<void(const RouteChangeAnswer &)> handler);
    /// Reads the route table after the control hosts have confirmed that it is the newest one.
    void readRoutes(std::function<void(const RouteReadAnswer &)> handler);

private:
    /// The replica and its storage, from opening the data directory to the next failure.
    struct Session;

    /// Initialises the disk if it has no identity yet.
    Result<void> initialiseIfEmpty(Consensus::FileSystem &files) const;
    Result<void> openSession();
    void tryOpenSession();
    void handleSessionFailure(const Failure &failure);
    void sendStartNotice(const HostAddress &host);
    void sendEndedFlows(const EndedFlows &ended);
    void sendNotice(MessageKind kind, const HostAddress &host, std::span<const std::uint8_t> notice);
    void loadFlowRecords();
    void scheduleFlowRecordSave();
    ControlHostOptions options();
    void reloadSeeds();
    void waitForStop();
    /// Ends the process after the stop delay, or later if this host has not left the group yet, at the latest at the deadline.
    void stopOnceLeft(TimePoint deadline);
    void scheduleTick();
    void publishMetrics();
    void publishMessages(const MessageAccount &messages);

    const RouteControlSettings m_settings;
    const SeedReader m_readSeeds;
    asio::io_context m_context{1};
    ProcessServices m_services;
    SettingsWatcher m_settingsWatcher;
    asio::signal_set m_stopSignals;
    asio::steady_timer m_tickTimer;
    asio::steady_timer m_reopenTimer;
    asio::steady_timer m_stopTimer;
    asio::steady_timer m_flowRecordTimer;
    FlowRecordFiles m_flowRecordFiles;
    asio::ip::udp::socket m_noticeSocket; ///< sends start notices and ended flows
    std::shared_ptr<MessageServer> m_server;
    std::vector<HostAddress> m_seeds;
    std::unique_ptr<Session> m_session;
    bool m_hasSessionFailed = false;
    bool m_areFlowRecordsLoaded = false;
    TimePoint m_messagesPublishedAt{};
};

}
