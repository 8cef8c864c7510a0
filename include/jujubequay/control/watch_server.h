#pragma once

#include <jujubequay/control/control_state.h>
#include <jujubequay/control/lease_registry.h>
#include <jujubequay/control/message_account.h>
#include <jujubequay/control/report_store.h>
#include <jujubequay/core/clock.h>

#include <control.pb.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace Jujubequay {

using WatcherId = std::uint64_t;

/// Effect: send a message to a watcher. Watchers with the same position share the message.
struct SendToWatcher {
    WatcherId watcher = 0;
    std::shared_ptr<const jujubequay::pb::WatchDown> message;
};
/// Effect: close the stream of a watcher, which is removed already; `removeWatcher` need not be called.
struct CloseWatcher {
    WatcherId watcher = 0;
};
/// Effect: have a majority confirm that the applied state is current, then call `stateConfirmed` or `stateNotConfirmed` with the
/// same number.
struct ConfirmState {
    std::uint64_t number = 0;
};
using WatchServerEffect = std::variant<SendToWatcher, CloseWatcher, ConfirmState>;
using WatchServerEffects = std::vector<WatchServerEffect>;

struct WatchServerOptions {
    Duration confirmInterval = std::chrono::seconds(2); ///< time between confirmations of the applied state by a majority
    Duration confirmTimeout = std::chrono::seconds(8); ///< watchers are disconnected if the state was not confirmed for this long
    Duration registryInterval = std::chrono::milliseconds(200); ///< minimum time between registry deltas to one watcher
    Duration heartbeat = std::chrono::seconds(5); ///< a heartbeat is sent if nothing else was sent for this long
    Duration stallTimeout = std::chrono::seconds(30); ///< a watcher whose queue stays above `queueLimit` for this long is disconnected
    std::size_t queueLimit = 64U << 10U; ///< length in bytes; nothing more is sent to a watcher with a longer queue
};

/// An availability zone and address of a control host.
struct ControlHostLocation {
    std::string address; ///< "ip:port"
    std::string zone; ///< empty if unknown
    bool operator==(const ControlHostLocation &) const = default;
};

/// Streams configuration and registry to balancers and agents.
///
/// For each watcher only its position is stored, no messages; a delta is built once for all watchers with the same position. A slow watcher skips states: once
/// its queue is short again, it gets the difference between its position and the newest state, or a full state. The memory for each watcher is therefore
/// bounded by its stream queue plus one state.
class WatchServer
{
public:
    WatchServer(const ControlState &state, const LeaseRegistry &registry, ReportStore &reports, WatchServerOptions options);

    void addWatcher(TimePoint now, WatcherId watcher);
    void receive(TimePoint now, WatcherId watcher, const jujubequay::pb::WatchUp &message);
    void removeWatcher(TimePoint now, WatcherId watcher);
    /// Sets the number of bytes that wait in the stream of a watcher; call it before `pump`.
    void setQueuedBytes(WatcherId watcher, std::size_t bytes);

    /// A majority has confirmed that the applied state is current.
    void stateConfirmed(TimePoint now, std::uint64_t number);
    /// The confirmation has failed; a later `pump` requests a new one.
    void stateNotConfirmed(std::uint64_t number);
    /// False while the registry of a restarted control host is still being filled. Until then it is not sent to watchers that already
    /// have a server list.
    void setRegistryFilled(bool isFilled);
    /// True while this control host has just started and there is no leader. Watchers without a configuration then get the committed
    /// state without confirmation. Within `confirmTimeout` they get the newest state or are disconnected.
    void setStarting(bool isStarting);
    /// True once no server has been added for a while. The registry is then sent to watchers without a server list.
    void setRegistryStable(bool isStable);
    /// True once every server in the replicated known hosts has announced itself again, or the fill timeout has passed. The registry is
    /// then sent to watchers without a server list, and all watchers are notified that it is complete.
    void setRegistryComplete(bool isComplete);
    /// Sets the control hosts; watchers are notified of changes.
    void setControlHosts(std::vector<ControlHostLocation> controlHosts);

    /// Returns the messages to send and the streams to close. Call it every 50 to 200 ms and after changes.
    WatchServerEffects pump(TimePoint now);

    const MessageAccount &messages() const;
    std::size_t watcherCount() const;
    /// Identifiers of all watchers, for setQueuedBytes.
    std::vector<WatcherId> watchers() const;

private:
    struct Watcher {
        TimePoint openedAt{};
        std::optional<jujubequay::pb::WatchRequest> request;
        std::uint64_t requiredConfirmation = 0; ///< the first confirmation that is recent enough for this watcher; 0 once it has arrived
        std::set<std::string> services;
        std::uint64_t revision = 0;
        std::uint64_t flowKeyRevision = 0;
        std::uint64_t registrySequence = 0;
        bool hasCompleteRegistry = false; ///< the last registry message to the watcher was marked complete
        bool hadRegistry = false; ///< the watcher already had a server list when it connected
        std::uint64_t controlHostsVersion = 0; ///< version of the last list that was sent
        std::size_t queuedBytes = 0;
        std::optional<TimePoint> stalledSince;
        TimePoint lastSentAt{};
        TimePoint lastRegistryAt{};
    };

    using Message = std::shared_ptr<const jujubequay::pb::WatchDown>;
    /// What determines the registry messages of a watcher: its position, its services and whether it accepts compact servers.
    using RegistryRequest = std::tuple<std::uint64_t, std::set<std::string>, bool>;

    void requestConfirmation(TimePoint now, WatchServerEffects &effects);
    bool isConfirmationOverdue(TimePoint now, const Watcher &watcher) const;
    bool isStalled(TimePoint now, Watcher &watcher) const;
    void serve(TimePoint now, WatcherId id, Watcher &watcher, WatchServerEffects &effects);
    void sendConfig(WatcherId id, Watcher &watcher, WatchServerEffects &effects);
    void sendControlHosts(WatcherId id, Watcher &watcher, WatchServerEffects &effects);
    void sendRegistry(TimePoint now, WatcherId id, Watcher &watcher, WatchServerEffects &effects);
    const std::vector<Message> &registryMessages(const Watcher &watcher);
    void send(WatcherId id, Message message, WatchServerEffects &effects);

    const ControlState &m_state;
    const LeaseRegistry &m_registry;
    ReportStore &m_reports;
    const WatchServerOptions m_options;
    std::map<WatcherId, Watcher> m_watchers;
    std::uint64_t m_lastConfirmationNumber = 0;
    std::optional<std::uint64_t> m_pendingConfirmation;
    TimePoint m_confirmationRequestedAt{};
    std::optional<TimePoint> m_lastConfirmedAt;
    bool m_isRegistryFilled = false;
    bool m_isRegistryStable = false;
    bool m_isRegistryComplete = false;
    bool m_isStarting = false;
    /// Messages for the current registry, by what watchers have of it.
    std::map<RegistryRequest, std::vector<Message>> m_registryMessages;
    std::uint64_t m_registryMessagesSequence = 0; ///< sequence number of the registry that the messages lead to
    bool m_areRegistryMessagesComplete = false; ///< the messages are marked complete
    std::vector<ControlHostLocation> m_controlHosts;
    std::uint64_t m_controlHostsVersion = 0;
    MessageAccount m_messages;
};

}
