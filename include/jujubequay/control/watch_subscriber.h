#pragma once

#include <jujubequay/control/config_snapshot.h>
#include <jujubequay/core/clock.h>
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

/// Effect: open a stream to "/watch" at a control host. `stream` is passed back with everything that arrives on it.
struct OpenWatchStream {
    HostAddress address;
    std::uint64_t stream = 0;
};
/// Effect: send on the open stream.
struct SendToControl {
    jujubequay::pb::WatchUp message;
};
/// Effect: end the open stream.
struct CloseWatchStream {
};
/// Effect: no control host is reachable and nothing is known yet; ask other balancers for their newest state.
struct RequestPeerState {
    jujubequay::pb::PeerStateRequest request;
};
/// Effect: use this state from now on.
struct PublishConfig {
    ConfigSnapshotPointer snapshot;
};
/// Effect: these are the control hosts now.
struct PublishControlHosts {
    std::vector<HostAddress> addresses;
};
using WatchSubscriberEffect = std::variant<OpenWatchStream, SendToControl, CloseWatchStream, RequestPeerState, PublishConfig, PublishControlHosts>;
using WatchSubscriberEffects = std::vector<WatchSubscriberEffect>;

struct WatchSubscriberOptions {
    std::string host;
    std::string zone;
    std::string role; ///< "balancer" or "agent"
    std::vector<HostAddress> controlHosts;
    std::vector<std::string> services; ///< empty means all
    std::string noticeAddress; ///< "ip:port" that takes start notices; empty for none
    /// How long control hosts repeat a start notice; a stream that was opened within it belongs to the new start.
    Duration startNoticeTime = std::chrono::seconds(2);
    Duration retryBase = std::chrono::milliseconds(200); ///< the first retry waits at most this long
    Duration retryLimit = std::chrono::seconds(10); ///< no retry waits longer
    Duration silenceTimeout = std::chrono::seconds(15); ///< a stream without messages for this long is given up
};

/// Keeps a balancer's or an agent's copy of the control state. Only states with a higher revision are accepted, from
/// whichever control host they come; while none is reachable, the copy stays in use.
///
///     for (auto &effect : subscriber.tick(now)) { ... }
class WatchSubscriber
{
public:
    using Effects = WatchSubscriberEffects;

    WatchSubscriber(WatchSubscriberOptions options, std::mt19937_64 &random);

    /// Call at least every 200 ms, and at `nextAttempt`.
    Effects tick(TimePoint now);
    /// When the next control host is tried; empty while a stream is open.
    std::optional<TimePoint> nextAttempt() const;
    /// A message that arrived on a stream.
    Effects receive(TimePoint now, std::uint64_t stream, const jujubequay::pb::WatchDown &message);
    /// A stream ended or could not be opened.
    Effects streamClosed(TimePoint now, std::uint64_t stream);
    /// A control host says that it has started. Goes to it at once unless another one serves this host.
    Effects controlHostStarted(TimePoint now, const HostAddress &address);
    /// A peer's answer to RequestPeerState; taken if it is newer than the own state.
    Effects applyPeerState(const jujubequay::pb::PeerState &state);
    /// Replaces the control hosts of the options, for example when the settings have changed.
    void setControlHosts(std::vector<HostAddress> addresses);
    /// Key numbers of this agent's open flows; reported when they change.
    Effects setFlowKeysInUse(std::vector<std::uint32_t> numbers);

    /// For peers that ask.
    jujubequay::pb::PeerState peerState() const;
    /// Never null.
    ConfigSnapshotPointer snapshot() const;
    bool isConnected() const;
    /// Control host of the open stream, or of the last one.
    HostAddress controlHost() const;

    /// Framed bytes since the start.
    std::uint64_t sentBytes() const;
    std::uint64_t receivedBytes() const;
    /// Configurations that were refused because their revision was not higher.
    std::uint64_t staleConfigs() const;

private:
    using Entries = std::map<std::string, jujubequay::pb::ServerEntry>;

    void takeControlHosts(const jujubequay::pb::ControlHosts &message, Effects &effects);
    void rankChoices();
    void open(TimePoint now, Effects &effects);
    void retryLater(TimePoint now, Effects &effects);
    void giveUp(TimePoint now, Effects &effects);
    bool takeConfig(const jujubequay::pb::ConfigDelta &delta);
    bool takeServices(const jujubequay::pb::ConfigDelta &delta);
    bool takeFlowKeys(const jujubequay::pb::ConfigDelta &delta);
    bool takeRegistry(const jujubequay::pb::RegistryDelta &delta);
    bool isOutdated(const jujubequay::pb::ServerEntry &entry) const;
    void noteDeparture(const jujubequay::pb::ServerEntry &entry);
    void publish(Effects &effects);
    void report(Effects &effects);
    void send(jujubequay::pb::WatchUp message, Effects &effects);

    const WatchSubscriberOptions m_options;
    std::mt19937_64 &m_random;
    std::vector<HostAddress> m_configured; // from the settings
    std::vector<HostAddress> m_learned; // from a control host
    std::vector<HostAddress> m_choices; // order in which control hosts are tried

    std::uint64_t m_stream = 0;
    bool m_isOpen = false;
    bool m_isServed = false; // the open stream carried state
    bool m_isNoticed = false; // the open stream follows a start notice
    TimePoint m_openedAt{};
    std::size_t m_choice = 0;
    std::uint32_t m_failures = 0;
    TimePoint m_nextAttempt{};
    TimePoint m_lastHeard{};

    std::uint64_t m_revision = 0;
    std::uint64_t m_flowKeyRevision = 0;
    RouteTablePointer m_routes = std::make_shared<RouteTable>();
    std::map<std::string, jujubequay::pb::ServiceConfig> m_services;
    std::vector<jujubequay::pb::FlowKeyEntry> m_flowKeys;
    std::uint64_t m_registryEpoch = 0;
    std::uint64_t m_registrySequence = 0;
    bool m_isRegistryComplete = false;
    Entries m_servers;
    std::deque<DeregisteredServer> m_departed;
    std::optional<Entries> m_arriving; // a full registry of which more messages follow
    std::vector<std::uint32_t> m_flowKeysInUse;

    ConfigSnapshotPointer m_snapshot;
    std::uint64_t m_sentBytes = 0;
    std::uint64_t m_receivedBytes = 0;
    std::uint64_t m_staleConfigs = 0;
};

}
