#pragma once

#include <jujubequay/control/control_state.h>
#include <jujubequay/control/lease_registry.h>
#include <jujubequay/control/report_store.h>
#include <jujubequay/core/clock.h>

#include <control.pb.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Jujubequay {

using WatcherId = std::uint64_t;

/// Effect: send a message to a watcher.
struct SendToWatcher {
    WatcherId watcher = 0;
    jujubequay::pb::WatchDown message;
};
/// Effect: end the stream of a watcher. It is forgotten; `closed` need not be called.
struct CloseWatcher {
    WatcherId watcher = 0;
};
/// Effect: ask a majority to confirm that the applied state is current, then call `stateConfirmed` with the same number.
struct ConfirmState {
    std::uint64_t number = 0;
};
using WatchServerEffect = std::variant<SendToWatcher, CloseWatcher, ConfirmState>;
using WatchServerEffects = std::vector<WatchServerEffect>;

struct WatchServerOptions {
    Duration confirmInterval = std::chrono::seconds(2);
    Duration confirmTimeout = std::chrono::seconds(8); ///< without confirmation for this long, watchers are sent elsewhere
    Duration registryInterval = std::chrono::milliseconds(200); ///< between registry deltas of one watcher
    Duration heartbeat = std::chrono::seconds(5);
    Duration stallLimit = std::chrono::seconds(30); ///< a watcher that reads nothing for this long is disconnected
    std::size_t queueLimit = 64U << 10U; ///< bytes; a watcher with more in its queue gets nothing new
};

/// Streams configuration and registry to balancers and agents.
///
/// No messages are kept for a watcher, only the position that it has. A slow watcher skips states: once its queue is
/// short again it gets the difference from its position to the newest state, or a full state. Memory for each watcher is
/// therefore bounded by its stream queue plus one state.
class WatchServer
{
public:
    WatchServer(const ControlState &state, const LeaseRegistry &registry, ReportStore &reports, WatchServerOptions options);

    void addWatcher(TimePoint now, WatcherId watcher);
    void receive(TimePoint now, WatcherId watcher, const jujubequay::pb::WatchUp &message);
    void closed(TimePoint now, WatcherId watcher);
    /// Bytes that wait in the stream of a watcher; call before `pump`.
    void setQueued(WatcherId watcher, std::size_t bytes);

    /// The majority confirmed the state that is applied now.
    void stateConfirmed(TimePoint now, std::uint64_t number);
    void notConfirmed(std::uint64_t number);
    /// False while the registry of a restarted control host is still being filled; it is not sent then to watchers that have an
    /// older list.
    void setRegistryFilled(bool ready);
    /// True while this control host has just started and there is no leader: watchers that hold nothing are served what is known to
    /// be committed, without confirmation. They get the newest state, or are sent elsewhere, within `confirmTimeout`.
    void setStarting(bool starting);
    /// True once no server has been added for a while. Watchers that have no list get the registry then.
    void setRegistrySettled(bool settled);
    /// True once every agent that is known durably has announced itself again or was given up. Watchers that have no list get the
    /// registry then, and all are told.
    void setRegistryComplete(bool complete);
    /// Addresses of all control hosts; watchers are told when they change.
    void setControlHosts(std::vector<std::string> addresses);

    /// Call every 50 to 200 ms and after changes.
    WatchServerEffects pump(TimePoint now);

    /// Framed bytes since the start.
    std::uint64_t sentBytes() const;
    std::uint64_t receivedBytes() const;
    std::size_t watcherCount() const;
    /// Watchers, for setQueued.
    std::vector<WatcherId> watchers() const;

private:
    struct Watcher {
        TimePoint openedAt{};
        std::optional<jujubequay::pb::WatchRequest> request;
        std::uint64_t confirmationNeeded = 0; ///< 0 once a majority confirmed the state for this watcher
        std::set<std::string> services;
        std::uint64_t revision = 0;
        std::uint64_t flowKeyRevision = 0;
        std::uint64_t registrySequence = 0;
        bool isListComplete = false; ///< as the watcher was told
        bool hasOlderList = false; ///< of servers, from another start or another control host
        std::uint64_t controlHostsNumber = 0; ///< last list that was sent
        std::size_t queued = 0;
        std::optional<TimePoint> stalledSince;
        TimePoint lastSent{};
        TimePoint lastRegistry{};
    };

    void askConfirmation(TimePoint now, WatchServerEffects &effects);
    bool isRefused(TimePoint now, const Watcher &watcher) const;
    bool isStalled(TimePoint now, Watcher &watcher) const;
    void serve(TimePoint now, WatcherId id, Watcher &watcher, WatchServerEffects &effects);
    void sendConfig(WatcherId id, Watcher &watcher, WatchServerEffects &effects);
    void sendControlHosts(WatcherId id, Watcher &watcher, WatchServerEffects &effects);
    void sendRegistry(TimePoint now, WatcherId id, Watcher &watcher, WatchServerEffects &effects);
    void send(WatcherId id, jujubequay::pb::WatchDown message, WatchServerEffects &effects);

    const ControlState &m_state;
    const LeaseRegistry &m_registry;
    ReportStore &m_reports;
    const WatchServerOptions m_options;
    std::map<WatcherId, Watcher> m_watchers;
    std::uint64_t m_lastConfirmation = 0;
    std::optional<std::uint64_t> m_pendingConfirmation;
    TimePoint m_askedAt{};
    std::optional<TimePoint> m_confirmedAt;
    bool m_isRegistryReady = false;
    bool m_isRegistrySettled = false;
    bool m_isRegistryComplete = false;
    bool m_isStarting = false;
    std::vector<std::string> m_controlHosts;
    std::uint64_t m_controlHostsNumber = 0;
    std::uint64_t m_sentBytes = 0;
    std::uint64_t m_receivedBytes = 0;
};

}
