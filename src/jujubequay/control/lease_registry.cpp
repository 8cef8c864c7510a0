#include <jujubequay/control/config_snapshot.h>
#include <jujubequay/control/lease_registry.h>
#include <jujubequay/control/watched_servers.h>
#include <jujubequay/core/identifiers.h>
#include <jujubequay/core/invariant.h>
#include <jujubequay/core/result_code.h>

#include <algorithm>
#include <tuple>

namespace Jujubequay {

namespace pb = jujubequay::pb;

namespace {

constexpr std::size_t maxPastIncarnations = 8;
constexpr std::uint32_t maxWeight = 1000;
constexpr int maxServersPerMessage = 2000;
// Limits how far an announcement may advance the hybrid clock, so that a faulty agent cannot exhaust its range.
constexpr std::uint64_t maxOrderAheadMs = 24ULL * 3600 * 1000;

auto entryKey(const pb::ServerEntry &entry)
{
    return std::make_tuple(entry.order(), entry.incarnation(), entry.sequence(), entry.observation(), static_cast<int>(entry.state()));
}

bool hasLeft(const pb::ServerEntry &entry)
{
    return entry.state() == pb::SERVER_STATE_LEFT;
}

// True if both entries come from the same agent epoch and `announced` is the later one. An agent announces its servers one after the other,
// possibly on streams to several control hosts, so their entries may be merged in any order.
bool isLaterOfSameAgentEpoch(const pb::ServerEntry &current, const pb::ServerEntry &announced)
{
    return announced.agent_epoch() != 0 && announced.agent_epoch() == current.agent_epoch() && announced.sequence() > current.sequence();
}

// The sequence numbers of an agent begin again with each of its epochs, although its server may be the same.
bool isOfAnotherAgentEpoch(const pb::ServerEntry &current, const pb::ServerEntry &announced)
{
    return announced.agent_epoch() != 0 && current.agent_epoch() != 0 && announced.agent_epoch() != current.agent_epoch();
}

bool hasAgentOrder(const pb::ServerEntry &entry)
{
    return entry.agent_order() != 0;
}

// The agent has found that a server runs, but not which one. It is a guess, which ends with the first announcement of the server.
bool isUnannouncedServer(const pb::ServerEntry &entry)
{
    return hasAgentOrder(entry) && entry.incarnation() == unconfirmedIncarnation.value;
}

std::uint64_t announcedOrder(const pb::ServerEntry &entry)
{
    return hasAgentOrder(entry) ? entry.agent_order() : entry.order();
}

bool isAnnouncement(const pb::ServerEntry &entry)
{
    const auto state = entry.state();
    const bool isAgentState
        = state == pb::SERVER_STATE_STARTING || state == pb::SERVER_STATE_SERVING || state == pb::SERVER_STATE_DRAINING || state == pb::SERVER_STATE_LEFT;
    return isAgentState && !entry.name().empty() && !entry.service().empty() && entry.incarnation() != 0 && parseHostAddress(entry.relay_address());
}

pb::AnnounceDown answerOf(ResultCode code)
{
    pb::AnnounceDown answer;
    answer.set_result(static_cast<std::uint32_t>(code));
    return answer;
}

std::uint32_t milliseconds(Duration duration)
{
    return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

// True if both entries are equal except for their observation counters.
bool isSameAnnouncement(pb::ServerEntry left, const pb::ServerEntry &right)
{
    left.set_observation(right.observation());
    return left.SerializeAsString() == right.SerializeAsString();
}

/// Splits the entries of a delta into messages of bounded size.
class DeltaWriter
{
public:
    DeltaWriter(std::uint64_t epoch, std::uint64_t sequence, bool full)
        : m_epoch(epoch)
        , m_sequence(sequence)
        , m_full(full)
    {
    }

    void add(const pb::ServerEntry &entry)
    {
        if (m_deltas.empty() || m_deltas.back().servers_size() >= maxServersPerMessage) {
            start();
        }
        *m_deltas.back().add_servers() = entry;
    }

    std::vector<pb::RegistryDelta> finish()
    {
        if (m_deltas.empty() && m_full) {
            start();
        }
        return std::move(m_deltas);
    }

private:
    void start()
    {
        if (!m_deltas.empty()) {
            m_deltas.back().set_more(true);
        }
        pb::RegistryDelta &delta = m_deltas.emplace_back();
        delta.set_epoch(m_epoch);
        delta.set_sequence(m_sequence);
        delta.set_full(m_full && m_deltas.size() == 1);
    }

    std::uint64_t m_epoch;
    std::uint64_t m_sequence;
    bool m_full;
    std::vector<pb::RegistryDelta> m_deltas;
};

}

bool isNewerEntry(const pb::ServerEntry &entry, const pb::ServerEntry &other)
{
    const auto key = entryKey(entry);
    const auto otherKey = entryKey(other);
    // The serialized form breaks ties, so that hosts with different entries for one key keep the same one.
    return key != otherKey ? key > otherKey : entry.SerializeAsString() > other.SerializeAsString();
}

LeaseRegistry::LeaseRegistry(std::string self, std::uint64_t epoch, LeaseOptions options)
    : m_self(std::move(self))
    , m_epoch(epoch)
    , m_options(options)
{
}

// Announcements

pb::AnnounceDown LeaseRegistry::announce(TimePoint now, std::uint64_t wallMs, SessionId session, const pb::ServerEntry &announced)
{
    const std::uint64_t highestPlausibleOrder = std::max(m_highestOrder, wallMs) + maxOrderAheadMs;
    if (!isAnnouncement(announced) || announced.order() > highestPlausibleOrder) {
        return answerOf(ResultCode::BadRequest);
    }
    Entry entry = announced;
    entry.set_owner(m_self);
    entry.set_observation(0);
    entry.set_weight(std::clamp(announced.weight(), 1U, maxWeight));
    if (announced.agent_order() > highestPlausibleOrder) {
        entry.clear_agent_order();
    }

    const auto found = m_records.find(entry.name());
    if (found == m_records.end()) {
        entry.set_order(announcedOrder(entry) != 0 ? announcedOrder(entry) : nextOrder(wallMs));
        return isAddressTaken(entry) ? answerOf(ResultCode::StaleIncarnation) : accept(now, session, std::move(entry));
    }
    const Record &record = found->second;
    const bool isSameIncarnation = record.entry.incarnation() == entry.incarnation();
    const bool isSameRun = isSameIncarnation && !isOfAnotherAgentEpoch(record.entry, entry);
    if (!isSameRun && !mayDisplace(session, record, entry)) {
        return refuse(session, wallMs, record, entry);
    }
    entry.set_order(orderOf(wallMs, record, entry));
    if (isAddressTaken(entry)) {
        return refuse(session, wallMs, record, entry);
    }
    return isSameRun ? renew(now, session, record, std::move(entry)) : accept(now, session, std::move(entry));
}

// A control host does not raise the order that an agent has chosen. Clocks of control hosts differ, and a late announcement of an earlier server
// would get a higher order than that of its successor at another control host.
std::uint64_t LeaseRegistry::orderOf(std::uint64_t wallMs, const Record &record, const Entry &announced) const
{
    const bool isSameIncarnation = record.entry.incarnation() == announced.incarnation();
    const bool isOtherAgentEpoch = isSameIncarnation && isOfAnotherAgentEpoch(record.entry, announced);
    if (isSameIncarnation && !isOtherAgentEpoch) {
        return std::max(record.entry.order(), announcedOrder(announced));
    }
    if (hasAgentOrder(announced)) {
        return announced.agent_order();
    }
    if (isOtherAgentEpoch || isLaterOfSameAgentEpoch(record.entry, announced)) {
        return std::max(announced.order(), nextOrder(wallMs));
    }
    return announced.order() != 0 ? announced.order() : nextOrder(wallMs);
}

// A late announcement is answered, but it neither changes the entry nor renews the lease.
pb::AnnounceDown LeaseRegistry::renew(TimePoint now, SessionId session, const Record &record, Entry entry)
{
    if (entry.sequence() < record.entry.sequence()) {
        Answer late = answerOf(ResultCode::Ok);
        late.set_order(entry.order());
        return late;
    }
    if (entry.sequence() == record.entry.sequence()) {
        entry.set_observation(record.entry.observation() + 1);
    }
    return accept(now, session, std::move(entry));
}

// Another incarnation, or the same one at a restarted agent, may displace the current entry if it is newer, or if it announces the order that was
// offered on its own stream, which only a running process can do.
bool LeaseRegistry::mayDisplace(SessionId session, const Record &record, const Entry &announced) const
{
    const bool isHigher = announcedOrder(announced) > record.entry.order();
    const bool isSameIncarnation = record.entry.incarnation() == announced.incarnation();
    if (isSameIncarnation || isLaterOfSameAgentEpoch(record.entry, announced)) {
        return isHigher || !hasAgentOrder(announced);
    }
    const auto offer = m_offeredOrders.find(session);
    if (offer != m_offeredOrders.end() && announced.order() == offer->second && isHigher) {
        return true;
    }
    const auto &past = record.pastIncarnations;
    if (std::find(past.begin(), past.end(), announced.incarnation()) != past.end()) {
        return false;
    }
    return isHigher || announcedOrder(announced) == 0;
}

// An agent that has chosen an order may choose a higher one for the server of this entry, or for one that it has observed after it. A server that has
// not announced itself does not accept new flows in the place of one that drained or left: it may be the same.
pb::AnnounceDown LeaseRegistry::refuse(SessionId session, std::uint64_t wallMs, const Record &record, const Entry &announced)
{
    Answer answer = answerOf(ResultCode::StaleIncarnation);
    const bool isSameIncarnation = record.entry.incarnation() == announced.incarnation();
    const bool mayChooseHigher = hasAgentOrder(announced) && (isSameIncarnation || isLaterOfSameAgentEpoch(record.entry, announced));
    const bool mayHaveLeft = isUnannouncedServer(announced) && announced.state() == pb::SERVER_STATE_SERVING && record.hasAnnouncedEnd;
    if ((hasLeft(record.entry) || mayChooseHigher) && !mayHaveLeft) {
        const std::uint64_t offer = hasAgentOrder(announced) ? record.entry.order() + 1 : nextOrder(wallMs);
        m_highestOrder = std::max(m_highestOrder, offer);
        m_offeredOrders[session] = offer;
        answer.set_order(offer);
    }
    return answer;
}

bool LeaseRegistry::isAddressTaken(const Entry &announced) const
{
    const auto names = m_namesByAddress.find(announced.relay_address());
    if (names == m_namesByAddress.end()) {
        return false;
    }
    return std::any_of(names->second.begin(), names->second.end(), [&](const std::string &name) {
        return name != announced.name() && m_records.at(name).entry.order() > announced.order();
    });
}

pb::AnnounceDown LeaseRegistry::accept(TimePoint now, SessionId session, Entry entry)
{
    const std::string name = entry.name();
    const std::uint64_t order = entry.order();
    const auto current = m_records.find(name);
    const bool isHeartbeat = current != m_records.end() && isSameAnnouncement(current->second.entry, entry);
    if (!isHeartbeat) {
        removeOthersAtAddress(now, entry);
        store(now, std::move(entry), true);
    }
    Record &record = m_records.at(name);
    record.lastHeartbeatAt = now;
    m_offeredOrders.erase(session);
    Answer answer = answerOf(ResultCode::Ok);
    answer.set_order(order);
    answer.set_lease_ms(milliseconds(m_options.lease));
    answer.set_heartbeat_ms(milliseconds(m_options.heartbeat));
    return answer;
}

// An address belongs to one server. If a newer server uses it, the older server no longer exists.
void LeaseRegistry::removeOthersAtAddress(TimePoint now, const Entry &entry)
{
    const auto names = m_namesByAddress.find(entry.relay_address());
    if (names == m_namesByAddress.end()) {
        return;
    }
    const std::set<std::string> others = names->second;
    for (const std::string &name : others) {
        if (name != entry.name()) {
            changeState(now, name, pb::SERVER_STATE_LEFT);
        }
    }
}

void LeaseRegistry::sessionClosed(SessionId session)
{
    m_offeredOrders.erase(session);
}

// Hybrid logical clock: follows the wall clock, but never goes back.
std::uint64_t LeaseRegistry::nextOrder(std::uint64_t wallMs) const
{
    return std::max(m_highestOrder + 1, wallMs);
}

// Changes

void LeaseRegistry::store(TimePoint now, Entry entry, bool isLocalChange)
{
    const std::string name = entry.name();
    Record &record = m_records[name];
    const bool isVisible = record.changedAt == 0 || isVisibleToWatchers(record.entry, entry);
    if (record.changedAt != 0) {
        checkInvariant(isNewerEntry(entry, record.entry), "an entry is only replaced by a newer one");
        m_changes.erase(record.changedAt);
        const auto names = m_namesByAddress.find(record.entry.relay_address());
        if (names != m_namesByAddress.end() && names->second.erase(name) > 0 && names->second.empty()) {
            m_namesByAddress.erase(names);
        }
        if (record.entry.incarnation() != entry.incarnation()) {
            record.pastIncarnations.push_back(record.entry.incarnation());
        }
        if (record.pastIncarnations.size() > maxPastIncarnations) {
            record.pastIncarnations.pop_front();
        }
    }
    if (!hasLeft(entry)) {
        m_namesByAddress[entry.relay_address()].insert(name);
    } else {
        record.leftAt = now;
    }
    const bool isStateOfControlHost = entry.state() == pb::SERVER_STATE_SUSPECT || (hasLeft(entry) && !hasDeregistered(entry));
    if (!isStateOfControlHost) {
        record.hasAnnouncedEnd = hasLeft(entry) || entry.state() == pb::SERVER_STATE_DRAINING;
    }
    m_highestOrder = std::max(m_highestOrder, entry.order());
    record.entry = std::move(entry);
    record.isLocalChange = isLocalChange;
    record.changedAt = ++m_sequence;
    m_changes[record.changedAt] = name;
    if (isVisible) {
        m_visibleChanges.erase(record.visiblyChangedAt);
        record.visiblyChangedAt = record.changedAt;
        m_visibleSequence = record.changedAt;
        m_visibleChanges[record.visiblyChangedAt] = name;
    }
}

void LeaseRegistry::changeState(TimePoint now, const std::string &name, pb::ServerState state)
{
    Entry entry = m_records.at(name).entry;
    entry.set_state(state);
    entry.set_observation(entry.observation() + 1);
    store(now, std::move(entry), true);
}

void LeaseRegistry::merge(TimePoint now, const pb::ServerEntry &entry)
{
    const auto current = m_records.find(entry.name());
    if (current != m_records.end() && !isNewerEntry(entry, current->second.entry)) {
        return;
    }
    store(now, entry, false);
    // If this host owned the entry before a restart, its agent gets one lease to announce itself again.
    m_records.at(entry.name()).lastHeartbeatAt = now;
}

void LeaseRegistry::peerDisconnected(TimePoint now, const std::string &controlHost)
{
    m_disconnectedPeers.try_emplace(controlHost, now);
}

void LeaseRegistry::peerConnected(const std::string &controlHost)
{
    m_disconnectedPeers.erase(controlHost);
}

void LeaseRegistry::setIsolated(bool isolated)
{
    m_isIsolated = isolated;
}

// Time

void LeaseRegistry::tick(TimePoint now)
{
    if (m_lastTick && now - *m_lastTick > m_options.maxTickGap) {
        extendLeases(now, now - *m_lastTick);
    }
    m_lastTick = now;
    adoptOrphanedEntries(now);
    expire(now);
    dropTombstones(now);
}

void LeaseRegistry::extendLeases(TimePoint now, Duration gap)
{
    for (auto &[name, record] : m_records) {
        record.lastHeartbeatAt = std::min(record.lastHeartbeatAt + gap, now);
    }
    for (auto &[name, since] : m_disconnectedPeers) {
        since += gap;
    }
}

void LeaseRegistry::adoptOrphanedEntries(TimePoint now)
{
    if (m_isIsolated || m_disconnectedPeers.empty()) {
        return;
    }
    std::vector<std::string> orphans;
    for (const auto &[name, record] : m_records) {
        const auto disconnectedOwner = m_disconnectedPeers.find(record.entry.owner());
        if (!hasLeft(record.entry) && disconnectedOwner != m_disconnectedPeers.end() && now - disconnectedOwner->second > m_options.lease) {
            orphans.push_back(name);
        }
    }
    for (const std::string &name : orphans) {
        Entry entry = m_records.at(name).entry;
        entry.set_owner(m_self);
        entry.set_observation(entry.observation() + 1);
        store(now, std::move(entry), true);
        m_records.at(name).lastHeartbeatAt = now;
    }
}

bool LeaseRegistry::isUnresponsive(const Record &record, TimePoint now) const
{
    const bool isOwned = record.entry.owner() == m_self;
    return record.entry.state() == pb::SERVER_STATE_SUSPECT || (isOwned && now - record.lastHeartbeatAt > m_options.lease);
}

std::map<std::string, LeaseRegistry::ZoneCount> LeaseRegistry::countZones(TimePoint now) const
{
    std::map<std::string, ZoneCount> zones;
    for (const auto &[name, record] : m_records) {
        if (!hasLeft(record.entry)) {
            ZoneCount &zone = zones[record.entry.zone()];
            ++zone.total;
            zone.unresponsive += isUnresponsive(record, now) ? 1 : 0;
        }
    }
    return zones;
}

bool LeaseRegistry::isMassLoss(const ZoneCount &count) const
{
    return count.unresponsive >= m_options.massLossMinimum
        && static_cast<double>(count.unresponsive) > static_cast<double>(count.total) * m_options.massLossShare;
}

void LeaseRegistry::expire(TimePoint now)
{
    std::vector<std::string> suspects;
    std::vector<std::string> expired;
    for (const auto &[name, record] : m_records) {
        if (hasLeft(record.entry) || record.entry.owner() != m_self || now - record.lastHeartbeatAt <= m_options.lease) {
            continue;
        }
        // Suspect entries are routable, so only serving ones become Suspect: missing heartbeats must not end a drain or skip a start.
        if (record.entry.state() == pb::SERVER_STATE_SERVING) {
            suspects.push_back(name);
        } else if (now - record.lastHeartbeatAt > m_options.lease + m_options.removalDelay) {
            expired.push_back(name);
        }
    }
    for (const std::string &name : suspects) {
        changeState(now, name, pb::SERVER_STATE_SUSPECT);
    }
    if (expired.empty() || m_isIsolated) {
        return;
    }
    const auto zones = countZones(now);
    for (const std::string &name : expired) {
        if (!isMassLoss(zones.at(m_records.at(name).entry.zone()))) {
            changeState(now, name, pb::SERVER_STATE_LEFT);
        }
    }
}

void LeaseRegistry::dropTombstones(TimePoint now)
{
    for (auto entry = m_records.begin(); entry != m_records.end();) {
        const Record &record = entry->second;
        if (!hasLeft(record.entry) || now - record.leftAt <= m_options.tombstoneLifetime) {
            ++entry;
            continue;
        }
        m_droppedSequence = std::max(m_droppedSequence, record.visiblyChangedAt);
        m_changes.erase(record.changedAt);
        m_visibleChanges.erase(record.visiblyChangedAt);
        entry = m_records.erase(entry);
    }
}

// Queries

std::uint64_t LeaseRegistry::epoch() const
{
    return m_epoch;
}

std::uint64_t LeaseRegistry::sequence() const
{
    return m_sequence;
}

std::uint64_t LeaseRegistry::visibleSequence() const
{
    return m_visibleSequence;
}

const pb::ServerEntry *LeaseRegistry::find(const std::string &name) const
{
    const auto found = m_records.find(name);
    return found == m_records.end() ? nullptr : &found->second.entry;
}

std::size_t LeaseRegistry::serverCount() const
{
    return static_cast<std::size_t>(std::count_if(m_records.begin(), m_records.end(), [](const auto &record) {
        return !hasLeft(record.second.entry);
    }));
}

std::vector<pb::ServerEntry> LeaseRegistry::servers() const
{
    std::vector<Entry> entries;
    for (const auto &[name, record] : m_records) {
        if (!hasLeft(record.entry)) {
            entries.push_back(record.entry);
        }
    }
    return entries;
}

std::vector<pb::RegistryDelta> LeaseRegistry::changesAfter(std::uint64_t position, const std::set<std::string> &services) const
{
    const bool isFull = position == 0 || position < m_droppedSequence;
    DeltaWriter writer(m_epoch, m_visibleSequence, isFull);
    for (auto change = m_visibleChanges.upper_bound(isFull ? 0 : position); change != m_visibleChanges.end(); ++change) {
        const Entry &entry = m_records.at(change->second).entry;
        const bool isWanted = services.empty() || services.contains(entry.service());
        if (isWanted && !(isFull && hasLeft(entry))) {
            writer.add(entry);
        }
    }
    return writer.finish();
}

std::vector<pb::RegistryDelta> LeaseRegistry::localChangesAfter(std::uint64_t position) const
{
    DeltaWriter writer(m_epoch, m_sequence, position == 0);
    for (auto change = m_changes.upper_bound(position); change != m_changes.end(); ++change) {
        const Record &record = m_records.at(change->second);
        if (position == 0 || record.isLocalChange) {
            writer.add(record.entry);
        }
    }
    return writer.finish();
}

}
