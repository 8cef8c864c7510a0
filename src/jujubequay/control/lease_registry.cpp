#include <jujubequay/control/lease_registry.h>
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
// Bounds how far an announcement may move the hybrid clock, so that one faulty agent cannot exhaust it.
constexpr std::uint64_t maxOrderAheadMs = 24ULL * 3600 * 1000;

auto entryKey(const pb::ServerEntry &entry)
{
    return std::make_tuple(entry.order(), entry.incarnation(), entry.sequence(), entry.observation(), static_cast<int>(entry.state()));
}

bool hasLeft(const pb::ServerEntry &entry)
{
    return entry.state() == pb::SERVER_STATE_LEFT;
}

// One start of an agent announces its servers one after the other, on streams to several control hosts; their entries may meet in
// any order.
bool isLaterOfSameAgent(const pb::ServerEntry &known, const pb::ServerEntry &given)
{
    return given.agent_epoch() != 0 && given.agent_epoch() == known.agent_epoch() && given.sequence() > known.sequence();
}

// The sequence of an agent begins anew when it starts, while its server may be the same.
bool isOfAnotherAgentStart(const pb::ServerEntry &known, const pb::ServerEntry &given)
{
    return given.agent_epoch() != 0 && known.agent_epoch() != 0 && given.agent_epoch() != known.agent_epoch();
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

// True if both entries say the same about the server, apart from the counters that order them.
bool isSameAnnouncement(pb::ServerEntry left, const pb::ServerEntry &right)
{
    left.set_observation(right.observation());
    return left.SerializeAsString() == right.SerializeAsString();
}

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

bool isNewerEntry(const pb::ServerEntry &entry, const pb::ServerEntry &than)
{
    const auto key = entryKey(entry);
    const auto otherKey = entryKey(than);
    // The serialized form breaks ties, so that hosts that saw different entries under one key still agree.
    return key != otherKey ? key > otherKey : entry.SerializeAsString() > than.SerializeAsString();
}

LeaseRegistry::LeaseRegistry(std::string self, std::uint64_t epoch, LeaseOptions options)
    : m_self(std::move(self))
    , m_epoch(epoch)
    , m_options(options)
{
}

// ---- Announcements ----

pb::AnnounceDown LeaseRegistry::announce(TimePoint now, std::uint64_t wallMs, SessionId session, const pb::ServerEntry &given)
{
    const bool isOrderPlausible = given.order() <= std::max(m_highestOrder, wallMs) + maxOrderAheadMs;
    if (!isAnnouncement(given) || !isOrderPlausible) {
        return answerOf(ResultCode::BadRequest);
    }
    Entry entry = given;
    entry.set_owner(m_self);
    entry.set_observation(0);
    entry.set_weight(std::clamp(given.weight(), 1U, maxWeight));

    const auto found = m_records.find(given.name());
    const bool isKnown = found != m_records.end();
    const bool isSameIncarnation = isKnown && found->second.entry.incarnation() == given.incarnation();
    if (isKnown && !isSameIncarnation && !displaces(session, found->second, given)) {
        return refuse(session, wallMs, found->second);
    }
    const bool isOtherStart = isSameIncarnation && isOfAnotherAgentStart(found->second.entry, given);
    const bool followsAgentsOwn = isKnown && !isSameIncarnation && isLaterOfSameAgent(found->second.entry, given);
    if (isOtherStart || followsAgentsOwn) {
        entry.set_order(std::max(given.order(), nextOrder(wallMs)));
    } else if (isSameIncarnation) {
        entry.set_order(std::max(found->second.entry.order(), given.order()));
    } else {
        entry.set_order(given.order() != 0 ? given.order() : nextOrder(wallMs));
    }
    if (isAddressTaken(entry)) {
        return isKnown ? refuse(session, wallMs, found->second) : answerOf(ResultCode::StaleIncarnation);
    }
    return isSameIncarnation && !isOtherStart ? renew(now, session, found->second, std::move(entry)) : accept(now, session, std::move(entry));
}

// A late announcement is answered but neither changes the entry nor renews the lease.
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

// Another incarnation displaces the known one if it started later, or if it answers an offer made on its own stream,
// which only a running process can do.
bool LeaseRegistry::displaces(SessionId session, const Record &record, const Entry &given) const
{
    if (isLaterOfSameAgent(record.entry, given)) {
        return true;
    }
    const auto offer = m_offers.find(session);
    if (offer != m_offers.end() && given.order() == offer->second && given.order() > record.entry.order()) {
        return true;
    }
    const auto &past = record.pastIncarnations;
    if (std::find(past.begin(), past.end(), given.incarnation()) != past.end()) {
        return false;
    }
    return given.order() == 0 || given.order() > record.entry.order();
}

pb::AnnounceDown LeaseRegistry::refuse(SessionId session, std::uint64_t wallMs, const Record &record)
{
    Answer answer = answerOf(ResultCode::StaleIncarnation);
    if (hasLeft(record.entry)) {
        const std::uint64_t offer = nextOrder(wallMs);
        m_highestOrder = std::max(m_highestOrder, offer);
        m_offers[session] = offer;
        answer.set_order(offer);
    }
    return answer;
}

bool LeaseRegistry::isAddressTaken(const Entry &given) const
{
    const auto names = m_namesByAddress.find(given.relay_address());
    if (names == m_namesByAddress.end()) {
        return false;
    }
    return std::any_of(names->second.begin(), names->second.end(), [&](const std::string &name) {
        return name != given.name() && m_records.at(name).entry.order() > given.order();
    });
}

pb::AnnounceDown LeaseRegistry::accept(TimePoint now, SessionId session, Entry entry)
{
    const std::string name = entry.name();
    const std::uint64_t order = entry.order();
    const auto known = m_records.find(name);
    const bool isHeartbeat = known != m_records.end() && isSameAnnouncement(known->second.entry, entry);
    if (!isHeartbeat) {
        removeOthersAt(now, entry);
        put(now, std::move(entry), true);
    }
    Record &record = m_records.at(name);
    record.lastHeard = now;
    m_offers.erase(session);
    Answer answer = answerOf(ResultCode::Ok);
    answer.set_order(order);
    answer.set_lease_ms(milliseconds(m_options.lease));
    answer.set_heartbeat_ms(milliseconds(m_options.heartbeat));
    return answer;
}

// An address belongs to one server: its use by a newer one proves that the older one is gone.
void LeaseRegistry::removeOthersAt(TimePoint now, const Entry &entry)
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
    m_offers.erase(session);
}

// Hybrid logical time: follows the wall clock, never goes back when the clock does.
std::uint64_t LeaseRegistry::nextOrder(std::uint64_t wallMs) const
{
    return std::max(m_highestOrder + 1, wallMs);
}

// ---- Changes ----

void LeaseRegistry::put(TimePoint now, Entry entry, bool isLocalChange)
{
    const std::string name = entry.name();
    Record &record = m_records[name];
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
        record.leftSince = now;
    }
    m_highestOrder = std::max(m_highestOrder, entry.order());
    record.entry = std::move(entry);
    record.isLocalChange = isLocalChange;
    record.changedAt = ++m_sequence;
    m_changes[record.changedAt] = name;
}

void LeaseRegistry::changeState(TimePoint now, const std::string &name, pb::ServerState state)
{
    Entry entry = m_records.at(name).entry;
    entry.set_state(state);
    entry.set_observation(entry.observation() + 1);
    put(now, std::move(entry), true);
}

void LeaseRegistry::merge(TimePoint now, const pb::ServerEntry &entry)
{
    const auto known = m_records.find(entry.name());
    if (known != m_records.end() && !isNewerEntry(entry, known->second.entry)) {
        return;
    }
    put(now, entry, false);
    // An entry that this host owned before a restart gets one lease in which its agent can return.
    m_records.at(entry.name()).lastHeard = now;
}

void LeaseRegistry::peerLost(TimePoint now, const std::string &controlHost)
{
    m_lostPeers.try_emplace(controlHost, now);
}

void LeaseRegistry::peerReturned(const std::string &controlHost)
{
    m_lostPeers.erase(controlHost);
}

void LeaseRegistry::setIsolated(bool isolated)
{
    m_isolated = isolated;
}

// ---- Time ----

void LeaseRegistry::tick(TimePoint now)
{
    if (m_lastTick && now - *m_lastTick > m_options.maxTickGap) {
        extendLeases(now, now - *m_lastTick);
    }
    m_lastTick = now;
    adoptOrphans(now);
    expire(now);
    dropTombstones(now);
}

void LeaseRegistry::extendLeases(TimePoint now, Duration gap)
{
    for (auto &[name, record] : m_records) {
        record.lastHeard = std::min(record.lastHeard + gap, now);
    }
    for (auto &[name, since] : m_lostPeers) {
        since += gap;
    }
}

void LeaseRegistry::adoptOrphans(TimePoint now)
{
    if (m_isolated || m_lostPeers.empty()) {
        return;
    }
    std::vector<std::string> orphans;
    for (const auto &[name, record] : m_records) {
        const auto lost = m_lostPeers.find(record.entry.owner());
        if (!hasLeft(record.entry) && lost != m_lostPeers.end() && now - lost->second > m_options.lease) {
            orphans.push_back(name);
        }
    }
    for (const std::string &name : orphans) {
        Entry entry = m_records.at(name).entry;
        entry.set_owner(m_self);
        entry.set_observation(entry.observation() + 1);
        put(now, std::move(entry), true);
        m_records.at(name).lastHeard = now;
    }
}

bool LeaseRegistry::isSilent(const Record &record, TimePoint now) const
{
    const bool isOwn = record.entry.owner() == m_self;
    return record.entry.state() == pb::SERVER_STATE_SUSPECT || (isOwn && now - record.lastHeard > m_options.lease);
}

std::map<std::string, LeaseRegistry::ZoneCount> LeaseRegistry::countZones(TimePoint now) const
{
    std::map<std::string, ZoneCount> zones;
    for (const auto &[name, record] : m_records) {
        if (!hasLeft(record.entry)) {
            ZoneCount &zone = zones[record.entry.zone()];
            ++zone.all;
            zone.silent += isSilent(record, now) ? 1 : 0;
        }
    }
    return zones;
}

bool LeaseRegistry::isMassLoss(const ZoneCount &count) const
{
    return count.silent >= m_options.massLossMinimum && static_cast<double>(count.silent) > static_cast<double>(count.all) * m_options.massLossShare;
}

void LeaseRegistry::expire(TimePoint now)
{
    std::vector<std::string> suspects;
    std::vector<std::string> overdue;
    for (const auto &[name, record] : m_records) {
        if (hasLeft(record.entry) || record.entry.owner() != m_self || now - record.lastHeard <= m_options.lease) {
            continue;
        }
        // Only a serving entry becomes Suspect, which is routable: silence must not undo a drain or skip a start.
        if (record.entry.state() == pb::SERVER_STATE_SERVING) {
            suspects.push_back(name);
        } else if (now - record.lastHeard > m_options.lease + m_options.removalDelay) {
            overdue.push_back(name);
        }
    }
    for (const std::string &name : suspects) {
        changeState(now, name, pb::SERVER_STATE_SUSPECT);
    }
    if (overdue.empty() || m_isolated) {
        return;
    }
    const auto zones = countZones(now);
    for (const std::string &name : overdue) {
        if (!isMassLoss(zones.at(m_records.at(name).entry.zone()))) {
            changeState(now, name, pb::SERVER_STATE_LEFT);
        }
    }
}

void LeaseRegistry::dropTombstones(TimePoint now)
{
    for (auto entry = m_records.begin(); entry != m_records.end();) {
        const Record &record = entry->second;
        if (!hasLeft(record.entry) || now - record.leftSince <= m_options.tombstone) {
            ++entry;
            continue;
        }
        m_droppedSequence = std::max(m_droppedSequence, record.changedAt);
        m_changes.erase(record.changedAt);
        entry = m_records.erase(entry);
    }
}

// ---- Queries ----

std::uint64_t LeaseRegistry::epoch() const
{
    return m_epoch;
}

std::uint64_t LeaseRegistry::sequence() const
{
    return m_sequence;
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
    DeltaWriter writer(m_epoch, m_sequence, isFull);
    for (auto change = m_changes.upper_bound(isFull ? 0 : position); change != m_changes.end(); ++change) {
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
