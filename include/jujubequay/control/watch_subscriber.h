#pragma once

#include <jujubequay/control/config_snapshot.h>
#include <jujubequay/control/flow_record_set.h>
#include <jujubequay/core/clock.h>
#include <jujubequay/core/error.h>
#include <jujubequay/core/identifiers.h>
#include <jujubequay/core/result_code.h>

#include <control.pb.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace Jujubequay {

/// Effect: open a stream to "/watch" at a control host. `stream` is the number to pass to `receive` and `streamClosed`.
struct OpenWatchStream {
    HostAddress address;
    std::uint64_t stream = 0;
};
/// Effect: send a message on the open stream.
struct SendToControl {
    jujubequay::pb::WatchUp message;
};
/// Effect: close the open stream.
struct CloseWatchStream {
};
/// Effect: request the newest state from other balancers, because no control host is reachable and there is no state yet.
struct RequestPeerState {
    jujubequay::pb::PeerStateRequest request;
};
/// Effect: record that a message of the control host was refused. The stream to it is closed.
struct RefusedControlMessage {
    std::string detail; ///< field, value and bound
};
/// Effect: put this snapshot in force.
struct PublishConfig {
    ConfigSnapshotPointer snapshot;
};
/// Effect: the server list in force is current. Comes with each message on a stream that has sent the list, after PublishConfig.
struct ConfirmServerList {
};
/// Effect: use these control hosts from now on.
struct PublishControlHosts {
    std::vector<HostAddress> addresses;
};
using WatchSubscriberEffect = std::
    variant<OpenWatchStream, SendToControl, CloseWatchStream, RequestPeerState, RefusedControlMessage, PublishConfig, ConfirmServerList, PublishControlHosts>;
using WatchSubscriberEffects = std::vector<WatchSubscriberEffect>;

struct WatchSubscriberOptions {
    std::string host;
    std::string zone;
    std::string role; ///< "balancer" or "agent"
    std::vector<HostAddress> controlHosts;
    std::vector<std::string> services; ///< services to watch; empty means all
    std::string noticeAddress; ///< "ip:port" at which this host receives start notices; empty if it receives none
    /// Time for which control hosts repeat a start notice. A stream that was opened within this time before a notice leads to the
    /// restarted process.
    Duration startNoticePeriod = std::chrono::seconds(2);
    Duration initialRetryDelay = std::chrono::milliseconds(200); ///< upper bound of the random delay before the first retry
    Duration maxRetryDelay = std::chrono::seconds(10); ///< upper bound of the random delay before any retry
    Duration silenceTimeout = std::chrono::seconds(15); ///< a stream without messages for this long is closed
    /// Time after which a watcher changes to a control host of its availability zone, up to twice as long by chance. It starts again when a
    /// stream fails.
    Duration moveDelay = std::chrono::seconds(5);
};

/// Maintains the copy of the control state on a balancer or an agent. A state is accepted only if its revision is higher, regardless
/// of which control host has sent it. While no control host is reachable, the copy stays in use.
///
///     for (auto &effect : subscriber.tick(now)) { ... }
class WatchSubscriber
{
public:
    using Effects = WatchSubscriberEffects;

    WatchSubscriber(WatchSubscriberOptions options, std::mt19937_64 &random);

    /// Call at least every 200 ms, and at `nextAttempt`.
    Effects tick(TimePoint now);
    /// Time of the next connection attempt; empty while a stream is open.
    std::optional<TimePoint> nextAttempt() const;
    /// Handles a message that was received on a stream. A message that contradicts the state in force is refused as a whole.
    Effects receive(TimePoint now, std::uint64_t stream, jujubequay::pb::WatchDown message);
    /// Call when a stream has ended or could not be opened.
    Effects streamClosed(TimePoint now, std::uint64_t stream);
    /// Handles a start notice of a control host. Connects to it at once unless another one is sending state to this host.
    Effects controlHostStarted(TimePoint now, const HostAddress &address);
    /// Handles a peer's answer to RequestPeerState; it is applied if it is newer than the local state.
    Effects applyPeerState(const jujubequay::pb::PeerState &state);
    /// Replaces the control hosts from the options, for example after the settings have changed.
    void setControlHosts(std::vector<HostAddress> addresses);
    /// Sets the numbers of the flow keys that open flows on this agent use; changes are reported to the control host.
    Effects setFlowKeysInUse(std::vector<std::uint32_t> numbers);

    /// Reports changes of the open flows of the local server. A control host to which the stream is opened later gets all of them.
    Effects recordFlows(const jujubequay::pb::FlowRecords &change);

    /// Local state as an answer to a peer. Without servers if the peer has a configuration: it then has servers from a control host.
    jujubequay::pb::PeerState peerState(const jujubequay::pb::PeerStateRequest &request) const;
    /// Never null.
    ConfigSnapshotPointer snapshot() const;
    bool isConnected() const;
    /// Control host of the open stream, or else of the next attempt.
    HostAddress controlHost() const;
    /// True if that control host is known to be in the availability zone of this host.
    bool isControlHostInLocalZone() const;

    /// Bytes since the start, with frame headers.
    std::uint64_t sentBytes() const;
    std::uint64_t receivedBytes() const;
    /// Number of configurations that were ignored because their revision was not higher.
    std::uint64_t staleConfigs() const;

private:
    using Entries = std::map<std::string, jujubequay::pb::ServerEntry>;

    /// Checks what the control host must never send, before anything is applied. Expands compact servers.
    Result<void> checkMessage(jujubequay::pb::WatchDown &message) const;
    Result<void> checkConfig(const jujubequay::pb::ConfigDelta &delta) const;
    void applyControlHosts(TimePoint now, const jujubequay::pb::ControlHosts &message, Effects &effects);
    bool isInLocalZone(const HostAddress &controlHost) const;
    void scheduleMove(TimePoint now);
    void moveToLocalZone(TimePoint now, Effects &effects);
    void rankControlHosts();
    void open(TimePoint now, Effects &effects);
    void retryLater(TimePoint now, Effects &effects);
    void closeStream(TimePoint now, Effects &effects);
    bool applyConfig(const jujubequay::pb::ConfigDelta &delta);
    bool applyServices(const jujubequay::pb::ConfigDelta &delta);
    bool applyFlowKeys(const jujubequay::pb::ConfigDelta &delta);
    bool applyRegistry(const jujubequay::pb::RegistryDelta &delta);
    bool isOutdated(const jujubequay::pb::ServerEntry &entry) const;
    void recordDeregistration(const jujubequay::pb::ServerEntry &entry);
    void publish(Effects &effects);
    void sendReport(Effects &effects);
    void send(jujubequay::pb::WatchUp message, Effects &effects);

    const WatchSubscriberOptions m_options;
    std::mt19937_64 &m_random;
    std::vector<HostAddress> m_configuredHosts; // control hosts from the options or the settings
    std::vector<HostAddress> m_discoveredHosts; // control hosts from messages of control hosts and from start notices
    std::map<HostAddress, std::string> m_controlHostZones; // availability zones of control hosts, where known
    std::vector<HostAddress> m_rankedHosts; // all control hosts in the order in which they are tried

    std::uint64_t m_stream = 0;
    bool m_isStreamOpen = false;
    bool m_hasReceivedState = false; // a state has arrived on the open stream
    bool m_followsStartNotice = false; // the open stream was opened because of a start notice
    TimePoint m_openedAt{};
    std::size_t m_currentHost = 0; // index in m_rankedHosts
    std::uint32_t m_failures = 0;
    TimePoint m_nextAttempt{};
    TimePoint m_lastMessageAt{};
    bool m_hasRegistryOfStream = false; ///< the open stream has sent a server list, or that there is no newer one
    std::optional<TimePoint> m_nextMove; // earliest change to a control host of the local availability zone

    std::uint64_t m_revision = 0;
    std::uint64_t m_flowKeyRevision = 0;
    RouteTablePointer m_routes = std::make_shared<RouteTable>();
    jujubequay::pb::RouteTable m_routesMessage; // the same table, for other hosts
    std::map<std::string, jujubequay::pb::ServiceConfig> m_services;
    std::vector<jujubequay::pb::FlowKeyEntry> m_flowKeys;
    std::uint64_t m_registryEpoch = 0;
    std::uint64_t m_registrySequence = 0;
    bool m_isRegistryComplete = false;
    HostAddress m_registryHost; // control host that has sent the server list
    Entries m_servers;
    std::deque<DeregisteredServer> m_deregistered;
    std::optional<Entries> m_incomingRegistry; // full registry that has not been received completely
    std::vector<std::uint32_t> m_flowKeysInUse;
    std::optional<FlowRecordSet> m_flowRecords; // open flows of the local server, on an agent that records them

    ConfigSnapshotPointer m_snapshot;
    std::uint64_t m_sentBytes = 0;
    std::uint64_t m_receivedBytes = 0;
    std::uint64_t m_staleConfigs = 0;
};

}
