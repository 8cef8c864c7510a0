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
    /// Time between the end of a lease and the removal. It lets other control hosts tell about their silent servers, so
    /// that the loss of a whole availability zone is recognised.
    Duration removalDelay = std::chrono::seconds(2);
    Duration tombstone = std::chrono::hours(1); ///< how long an entry that left is remembered
    /// A longer time between two ticks means that this process did not run; leases are extended by it.
    Duration maxTickGap = std::chrono::seconds(1);
    double massLossShare = 1.0 / 3; ///< of the servers of an availability zone
    std::size_t massLossMinimum = 3;
};

/// Total order of the entries of one server; the newer one stays when entries are merged.
bool isNewerEntry(const jujubequay::pb::ServerEntry &entry, const jujubequay::pb::ServerEntry &than);

/// Leased registry of backend servers on one control host. Soft state: nothing is logged, and control hosts exchange
/// entries. Merging keeps the newer entry of each name, so the order of exchange does not matter.
///
/// A server that falls silent becomes Suspect and is removed after `removalDelay`, unless more than a third of its
/// availability zone, and at least three, are silent: then the entries stay Suspect until the servers return, their
/// addresses are taken by others, or most of the zone has returned without them.
class LeaseRegistry
{
public:
    using SessionId = std::uint64_t; ///< one announce stream

    /// `epoch` tells apart the starts of a control host; it is not 0.
    LeaseRegistry(std::string self, std::uint64_t epoch, LeaseOptions options);

    /// Handles an announcement or heartbeat. `wallMs` is the wall clock in ms since 1970; it may step.
    /// Refusals: StaleIncarnation, BadRequest.
    jujubequay::pb::AnnounceDown announce(TimePoint now, std::uint64_t wallMs, SessionId session, const jujubequay::pb::ServerEntry &given);
    void sessionClosed(SessionId session);

    /// Takes over newer entries of another control host.
    void merge(TimePoint now, const jujubequay::pb::ServerEntry &entry);
    /// From then on this host watches over the entries that the lost control host owned, after one lease.
    void peerLost(TimePoint now, const std::string &controlHost);
    void peerReturned(const std::string &controlHost);
    /// While isolated from the majority, silence proves nothing and no entry is removed.
    void setIsolated(bool isolated);
    void tick(TimePoint now);

    std::uint64_t epoch() const;
    /// Position of the newest change.
    std::uint64_t sequence() const;
    /// Null if the name is unknown or forgotten.
    const jujubequay::pb::ServerEntry *find(const std::string &name) const;
    /// Number of entries without those that left.
    std::size_t serverCount() const;
    /// Entries without those that left.
    std::vector<jujubequay::pb::ServerEntry> servers() const;
    /// Changes after a position, in messages of bounded size. Full if the position is 0 or tombstones after it were
    /// dropped. `services` limits the result, empty means all. Empty if nothing changed.
    std::vector<jujubequay::pb::RegistryDelta> changesAfter(std::uint64_t position, const std::set<std::string> &services) const;
    /// Changes that this host made, for other control hosts; everything for position 0.
    std::vector<jujubequay::pb::RegistryDelta> localChangesAfter(std::uint64_t position) const;

private:
    using Entry = jujubequay::pb::ServerEntry;
    using Answer = jujubequay::pb::AnnounceDown;

    struct Record {
        Entry entry;
        std::uint64_t changedAt = 0;
        bool isLocalChange = false;
        TimePoint lastHeard{}; ///< for entries that this host owns
        TimePoint leftSince{};
        std::deque<std::uint32_t> pastIncarnations;
    };
    struct ZoneCount {
        std::size_t all = 0;
        std::size_t silent = 0;
    };

    Answer refuse(SessionId session, std::uint64_t wallMs, const Record &record);
    bool displaces(SessionId session, const Record &record, const Entry &given) const;
    Answer renew(TimePoint now, SessionId session, const Record &record, Entry entry);
    bool isAddressTaken(const Entry &given) const;
    Answer accept(TimePoint now, SessionId session, Entry entry);
    void removeOthersAt(TimePoint now, const Entry &entry);
    void put(TimePoint now, Entry entry, bool isLocalChange);
    void changeState(TimePoint now, const std::string &name, jujubequay::pb::ServerState state);
    std::uint64_t nextOrder(std::uint64_t wallMs) const;
    bool isSilent(const Record &record, TimePoint now) const;
    void extendLeases(TimePoint now, Duration gap);
    void adoptOrphans(TimePoint now);
    void expire(TimePoint now);
    void dropTombstones(TimePoint now);
    std::map<std::string, ZoneCount> countZones(TimePoint now) const;
    bool isMassLoss(const ZoneCount &count) const;

    const std::string m_self;
    const std::uint64_t m_epoch;
    const LeaseOptions m_options;
    std::map<std::string, Record> m_records;
    std::map<std::uint64_t, std::string> m_changes; // position to name
    std::unordered_map<std::string, std::set<std::string>> m_namesByAddress;
    std::map<SessionId, std::uint64_t> m_offers; // orders offered to displaced servers
    std::map<std::string, TimePoint> m_lostPeers;
    std::uint64_t m_sequence = 1; // position 0 stands for a watcher that has nothing
    std::uint64_t m_droppedSequence = 0;
    std::uint64_t m_highestOrder = 0;
    std::optional<TimePoint> m_lastTick;
    bool m_isolated = false;
};

}
