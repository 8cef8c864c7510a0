#pragma once

#include <jujubequay/core/clock.h>

#include <control.pb.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Jujubequay {

struct LeaseOptions {
    Duration heartbeat = std::chrono::seconds(1);
    Duration lease = std::chrono::seconds(4);
    /// Time between the end of a lease and the removal of the entry. Within it other control hosts report their unresponsive servers,
    /// so that the loss of a whole availability zone is detected.
    Duration removalDelay = std::chrono::seconds(2);
    Duration tombstoneLifetime = std::chrono::hours(1); ///< time for which the entry of a server that left is kept
    /// A longer time between two ticks means that this process was suspended; leases are extended by that time.
    Duration maxTickGap = std::chrono::seconds(1);
    double massLossShare = 1.0 / 3; ///< share of the servers of an availability zone above which their loss is a mass loss
    std::size_t massLossMinimum = 3; ///< minimum number of unresponsive servers for a mass loss
};

/// Total order of the entries of one server; merging keeps the newer entry.
bool isNewerEntry(const jujubequay::pb::ServerEntry &entry, const jujubequay::pb::ServerEntry &other);

/// Registry of backend servers with leases, on one control host. Soft state: it is not in the replicated log, control hosts exchange
/// entries instead. Merging keeps the newer entry of each name, so the order of exchange does not matter.
///
/// A server whose lease has ended becomes Suspect and is removed after `removalDelay`, unless the availability zone has a mass loss:
/// more than a third of its servers, and at least three, are unresponsive. The entries then stay Suspect until the servers announce
/// themselves again, other servers use their addresses, or most of the zone has returned without them.
class LeaseRegistry
{
public:
    using SessionId = std::uint64_t; ///< identifies an announce stream

    /// `epoch` changes with each restart of the control host; it is not 0.
    LeaseRegistry(std::string self, std::uint64_t epoch, LeaseOptions options);

    /// Handles an announcement or heartbeat. `wallMs` is the wall clock in ms since 1970, which may jump. The result of the answer is
    /// Ok, StaleIncarnation or BadRequest.
    jujubequay::pb::AnnounceDown announce(TimePoint now, std::uint64_t wallMs, SessionId session, const jujubequay::pb::ServerEntry &announced);
    void sessionClosed(SessionId session);

    /// Stores the entry of another control host if it is newer than the local one.
    void merge(TimePoint now, const jujubequay::pb::ServerEntry &entry);
    /// Call when there is no stream from a control host. After one lease this host adopts the entries that the other one owns.
    void peerDisconnected(TimePoint now, const std::string &controlHost);
    void peerConnected(const std::string &controlHost);
    /// While this host is isolated from the majority, missing heartbeats do not remove entries: the servers may still be connected to
    /// other control hosts.
    void setIsolated(bool isolated);
    void tick(TimePoint now);

    std::uint64_t epoch() const;
    /// Sequence number of the newest change.
    std::uint64_t sequence() const;
    /// Sequence number of the newest change that is visible to watchers; the position of a watcher with all of them.
    std::uint64_t visibleSequence() const;
    /// Null if there is no entry, or its tombstone was dropped.
    const jujubequay::pb::ServerEntry *find(const std::string &name) const;
    /// Number of servers that have not left.
    std::size_t serverCount() const;
    /// Entries of servers that have not left.
    std::vector<jujubequay::pb::ServerEntry> servers() const;
    /// Changes after a sequence number that are visible to watchers, in messages of bounded size; empty if nothing changed. A full state if
    /// the number is 0 or tombstones after it were dropped. Limited to `services`; an empty set means all services.
    std::vector<jujubequay::pb::RegistryDelta> changesAfter(std::uint64_t position, const std::set<std::string> &services) const;
    /// Changes that this host made after a sequence number, for other control hosts; all entries for 0.
    std::vector<jujubequay::pb::RegistryDelta> localChangesAfter(std::uint64_t position) const;

private:
    using Entry = jujubequay::pb::ServerEntry;
    using Answer = jujubequay::pb::AnnounceDown;

    struct Record {
        Entry entry;
        std::uint64_t changedAt = 0;
        std::uint64_t visiblyChangedAt = 0; ///< last change that watchers are notified of
        bool isLocalChange = false;
        TimePoint lastHeartbeatAt{}; ///< valid for entries that this host owns
        TimePoint leftAt{};
        bool hasAnnouncedEnd = false; ///< the last announcement said that the server drains or has left
        std::deque<std::uint32_t> pastIncarnations;
    };
    struct ZoneCount {
        std::size_t total = 0;
        std::size_t unresponsive = 0;
    };

    Answer refuse(SessionId session, std::uint64_t wallMs, const Record &record, const Entry &announced);
    std::uint64_t orderOf(std::uint64_t wallMs, const Record &record, const Entry &announced) const;
    bool mayDisplace(SessionId session, const Record &record, const Entry &announced) const;
    Answer renew(TimePoint now, SessionId session, const Record &record, Entry entry);
    bool isAddressTaken(const Entry &announced) const;
    Answer accept(TimePoint now, SessionId session, Entry entry);
    void removeOthersAtAddress(TimePoint now, const Entry &entry);
    void store(TimePoint now, Entry entry, bool isLocalChange);
    void changeState(TimePoint now, const std::string &name, jujubequay::pb::ServerState state);
    std::uint64_t nextOrder(std::uint64_t wallMs) const;
    bool isUnresponsive(const Record &record, TimePoint now) const;
    void extendLeases(TimePoint now, Duration gap);
    void adoptOrphanedEntries(TimePoint now);
    void expire(TimePoint now);
    void dropTombstones(TimePoint now);
    std::map<std::string, ZoneCount> countZones(TimePoint now) const;
    bool isMassLoss(const ZoneCount &count) const;

    const std::string m_self;
    const std::uint64_t m_epoch;
    const LeaseOptions m_options;
    std::map<std::string, Record> m_records;
    std::map<std::uint64_t, std::string> m_changes; // server name by sequence number
    std::map<std::uint64_t, std::string> m_visibleChanges; // the same for changes that are visible to watchers
    std::unordered_map<std::string, std::set<std::string>> m_namesByAddress;
    std::map<SessionId, std::uint64_t> m_offeredOrders; // order that was offered on a session to a displaced server
    std::map<std::string, TimePoint> m_disconnectedPeers;
    std::uint64_t m_sequence = 1; // 0 is the position of a watcher without entries
    std::uint64_t m_visibleSequence = 1;
    std::uint64_t m_droppedSequence = 0; // newest visible change of a dropped tombstone
    std::uint64_t m_highestOrder = 0;
    std::optional<TimePoint> m_lastTick;
    bool m_isIsolated = false;
};

}
