#include <jujubequay/consensus_testing/fake_cluster.h>

#include <jujubequay/consensus/storage_writes.h>
#include <jujubequay/core/invariant.h>
#include <jujubequay/wire/byte_order.h>

#include <fmt/format.h>

#include <algorithm>

namespace Jujubequay::Consensus {

namespace pb = jujubequay::pb;

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(40);

bool isLater(const auto &left, const auto &right)
{
    return std::pair(left.time, left.number) > std::pair(right.time, right.number);
}

template<class Value>
Value randomBetween(std::mt19937_64 &random, Value least, Value most)
{
    return std::uniform_int_distribution<Value>(least, most)(random);
}

/// Text of the loaded state, for comparison.
std::string fingerprint(const StoredState &state)
{
    std::string text = fmt::format("{} {} {} {} {}", state.identity.id, state.hardState.term, state.hardState.votedFor, state.snapshot.index, state.base.index);
    text.append(state.snapshot.state.begin(), state.snapshot.state.end());
    for (const pb::LogEntry &entry : state.entries) {
        text += entry.SerializeAsString();
    }
    return text;
}

/// Has the length of a real disk identity, so that the byte counts are realistic.
std::string diskIdentity(std::size_t host, int disk)
{
    return fmt::format("{:.<32}", fmt::format("disk-{}-{}", host, disk));
}

Bytes encodeState(std::uint64_t index, std::uint64_t digest, std::size_t size)
{
    Bytes state(std::max<std::size_t>(size, 16), 0x5a);
    writeBigEndian(writeBigEndian(state.data(), index), digest);
    return state;
}

}

struct FakeCluster::Host {
    std::string name;
    std::string identity;
    int diskCount = 0; // disks that this host has had so far
    double clockRate = 1; // relative to simulated time
    std::mt19937_64 random;
    std::unique_ptr<FakeDisk> disk;
    std::unique_ptr<DiskLogStorage> storage;
    std::unique_ptr<Replica> replica;
    std::deque<Effect> pendingWrites;
    bool isWriting = false;
    bool isFrozen = false;
    std::vector<std::function<void()>> deferredActions; // run when the host is thawed
    std::uint64_t generation = 0; // changes at each crash and restart; events of an earlier generation are discarded
    std::uint64_t appliedIndex = 0;
    std::uint64_t appliedDigest = 0;
};

struct FakeCluster::EffectVisitor {
    FakeCluster &cluster;
    std::size_t host;
    const Effect &effect;

    void operator()(const Send &send) const
    {
        cluster.transmit(host, send.message);
    }
    void operator()(const Persist &) const
    {
        write();
    }
    void operator()(const SaveSnapshot &) const
    {
        write();
    }
    void operator()(const Apply &apply) const
    {
        cluster.apply(host, apply.entries);
    }
    void operator()(const RestoreState &state) const
    {
        cluster.restore(host, state);
    }
    void operator()(const TakeSnapshot &) const
    {
        cluster.takeSnapshot(host);
    }
    void operator()(const ProposalCommitted &proposal) const
    {
        cluster.handleCommitted(host, proposal);
    }
    void operator()(const ReadConfirmed &read) const
    {
        const auto found = cluster.m_pendingReads.find(read.id.value);
        checkInvariant(found != cluster.m_pendingReads.end(), "fake cluster: a read is confirmed at most once");
        checkInvariant(cluster.m_hosts[host]->appliedIndex >= found->second,
                       "fake cluster: at a confirmed read, all proposals acknowledged before the request are applied");
        cluster.m_pendingReads.erase(found);
        ++cluster.counts.confirmedReads;
    }
    void operator()(const LeadershipGained &leadership) const
    {
        cluster.safetyChecker.checkLeader(cluster.identityOf(host), leadership.term);
        ++cluster.counts.elections;
    }
    void operator()(const MembershipCommitted &) const
    {
        ++cluster.counts.membershipChanges;
    }
    void operator()(const auto &) const { }
    void write() const
    {
        cluster.m_hosts[host]->pendingWrites.push_back(effect);
        cluster.writeNext(host);
    }
};

FakeCluster::FakeCluster(const FakeClusterOptions &options)
    : random(options.seed)
    , m_options(options)
{
    pb::Membership initialMembership;
    initialMembership.set_cluster(options.seed | 1U);
    for (std::size_t number = 0; number < options.hosts; ++number) {
        auto host = std::make_unique<Host>();
        host->name = fmt::format("host-{}", number);
        host->identity = diskIdentity(number, 0);
        host->clockRate = std::uniform_real_distribution<double>(1 - options.clockSkew, 1 + options.clockSkew)(random);
        host->random.seed(random());
        if (number < options.voters) {
            pb::Member *member = initialMembership.add_members();
            member->set_id(host->identity);
            member->set_host(host->name);
            member->set_voter(true);
        }
        m_hosts.push_back(std::move(host));
    }
    for (std::size_t number = 0; number < options.hosts; ++number) {
        initialise(number, number < options.voters ? initialMembership : pb::Membership());
        restart(number);
    }
}

FakeCluster::~FakeCluster() = default;

void FakeCluster::step()
{
    checkInvariant(!m_events.empty(), "fake cluster: the event queue is not empty");
    std::pop_heap(m_events.begin(), m_events.end(), isLater<Event, Event>);
    const Event event = std::move(m_events.back());
    m_events.pop_back();
    m_now = event.time;
    ++counts.events;
    event.action();
}

void FakeCluster::run(Duration time)
{
    runUntil(
        [] {
            return false;
        },
        time);
}

bool FakeCluster::runUntil(const std::function<bool()> &condition, Duration time)
{
    const Duration end = m_now + time;
    while (!condition()) {
        if (m_events.empty() || m_events.front().time > end) {
            m_now = end;
            return false;
        }
        step();
    }
    return true;
}

Duration FakeCluster::now() const
{
    return m_now;
}

void FakeCluster::schedule(Duration delay, std::function<void()> action)
{
    m_events.push_back({m_now + delay, ++m_eventNumber, std::move(action)});
    std::push_heap(m_events.begin(), m_events.end(), isLater<Event, Event>);
}

std::size_t FakeCluster::hostCount() const
{
    return m_hosts.size();
}

Replica *FakeCluster::replica(std::size_t host)
{
    return m_hosts[host]->replica.get();
}

FakeDisk &FakeCluster::disk(std::size_t host)
{
    return *m_hosts[host]->disk;
}

const std::string &FakeCluster::identityOf(std::size_t host) const
{
    return m_hosts[host]->identity;
}

std::optional<std::size_t> FakeCluster::leader()
{
    std::optional<std::size_t> leader;
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        const bool isLeader = replica(host) != nullptr && !m_hosts[host]->isFrozen && replica(host)->role() == Role::Leader;
        if (isLeader && (!leader || replica(host)->term() > replica(*leader)->term())) {
            leader = host;
        }
    }
    return leader;
}

bool FakeCluster::toleratesDiskLoss()
{
    const auto current = leader();
    if (!current || !replica(*current)->toleratesVoterLoss()) {
        return false;
    }
    const auto &members = replica(*current)->membership().members();
    return std::none_of(members.begin(), members.end(), [this](const pb::Member &member) {
        return member.voter() && safetyChecker.isDiskLost(member.id());
    });
}

std::uint64_t FakeCluster::propose(std::size_t host, std::size_t bytes)
{
    const std::uint64_t id = m_nextId++;
    Bytes command(std::max<std::size_t>(bytes, 8));
    writeBigEndian(command.data(), id);
    m_pendingCommands[id].assign(command.begin(), command.end());
    onHost(host, [this, host, id, command] {
        carryOut(host, replica(host)->propose(hostTime(host), {id}, command));
    });
    return id;
}

void FakeCluster::read(std::size_t host)
{
    const std::uint64_t id = m_nextId++;
    onHost(host, [this, host, id] {
        m_pendingReads[id] = safetyChecker.lastAcknowledged();
        carryOut(host, replica(host)->confirmRead(hostTime(host), {id}));
    });
}

void FakeCluster::changeMembership(std::size_t host, const MembershipChange &change)
{
    const std::uint64_t id = m_nextId++;
    onHost(host, [this, host, id, change] {
        carryOut(host, replica(host)->changeMembership(hostTime(host), {id}, change));
    });
}

void FakeCluster::crash(std::size_t number)
{
    Host &host = *m_hosts[number];
    if (!host.replica) {
        return;
    }
    ++counts.crashes;
    ++host.generation;
    host.replica.reset();
    host.storage.reset();
    host.pendingWrites.clear();
    host.isWriting = false;
    host.isFrozen = false;
    host.deferredActions.clear();
    host.disk->crash();
}

void FakeCluster::restart(std::size_t number)
{
    Host &host = *m_hosts[number];
    if (host.replica) {
        return;
    }
    ++host.generation;
    host.storage = std::make_unique<DiskLogStorage>(*host.disk, host.name);
    Failure failure;
    auto state = handleFailure(
        [&]() -> Result<std::optional<StoredState>> {
            BOOST_LEAF_AUTO(loaded, host.storage->load());
            return std::optional(std::move(loaded));
        },
        [&failure](const Failure &error) {
            failure = error;
            return std::optional<StoredState>();
        });
    if (!state) {
        host.storage.reset();
        host.disk->crash();
        checkInvariant(failure.code == ResultCode::DiskFailed || safetyChecker.isDiskLost(host.identity), "fake cluster: only a damaged disk fails to load");
        if (failure.code != ResultCode::DiskFailed) {
            ++counts.damagedDisks;
            initialise(number, {});
        }
        schedule(tickInterval, [this, number] {
            restart(number);
        });
        return;
    }
    checkInvariant(!safetyChecker.isDiskLost(state->identity.id), "fake cluster: a damaged disk fails to load");
    host.appliedIndex = 0;
    host.appliedDigest = 0;
    host.replica = std::make_unique<Replica>(m_options.replica, std::move(*state), host.random, hostTime(number));
    carryOut(number, host.replica->start());
    scheduleTick(number);
}

void FakeCluster::loseDisk(std::size_t host)
{
    crash(host);
    ++counts.lostDisks;
    safetyChecker.recordLostDisk(m_hosts[host]->identity);
    initialise(host, {});
}

void FakeCluster::flipBit(std::size_t host)
{
    FakeDisk &files = disk(host);
    const auto names = files.list();
    std::vector<std::string> candidates;
    std::copy_if(names->begin(), names->end(), std::back_inserter(candidates), [](const std::string &name) {
        return !name.ends_with(".new");
    });
    const std::string name = candidates[randomBetween<std::size_t>(random, 0, candidates.size() - 1)];
    Bytes content = *files.read(name);
    if (content.empty()) {
        return;
    }
    content[randomBetween<std::size_t>(random, 0, content.size() - 1)] ^= static_cast<std::uint8_t>(1U << randomBetween(random, 0U, 7U));
    const auto before = durableState(host);
    files.setContent(name, content);
    const auto after = durableState(host);
    if (after) {
        // The bit is part of a superseded file or of a torn tail.
        checkInvariant(before && fingerprint(*before) == fingerprint(*after), "fake cluster: a damaged disk fails to load");
    } else {
        safetyChecker.recordLostDisk(m_hosts[host]->identity);
    }
}

void FakeCluster::freeze(std::size_t host)
{
    m_hosts[host]->isFrozen = replica(host) != nullptr;
}

void FakeCluster::thaw(std::size_t host)
{
    m_hosts[host]->isFrozen = false;
    for (auto &action : std::exchange(m_hosts[host]->deferredActions, {})) {
        onHost(host, std::move(action)); // an earlier action may have crashed the host
    }
}

bool FakeCluster::isFrozen(std::size_t host) const
{
    return m_hosts[host]->isFrozen;
}

void FakeCluster::heal()
{
    network = FakeNetwork();
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        disk(host).stopAfter(0);
        thaw(host);
        restart(host);
    }
}

void FakeCluster::repair(const std::vector<std::size_t> &wantedVoters)
{
    const auto current = leader();
    if (!current) {
        return;
    }
    const pb::Membership membership = replica(*current)->membership();
    const auto isWantedVoter = [&](const std::string &id) {
        return std::any_of(wantedVoters.begin(), wantedVoters.end(), [&](std::size_t host) {
            return identityOf(host) == id;
        });
    };
    for (const std::size_t host : wantedVoters) {
        if (findMember(membership, identityOf(host)) == nullptr) {
            return changeMembership(*current, AddLearner{identityOf(host), m_hosts[host]->name, {}});
        }
    }
    for (const pb::Member &member : membership.members()) {
        if (!member.voter() && isWantedVoter(member.id()) && voterCount(membership) < maxVoters) {
            changeMembership(*current, PromoteLearner{member.id()});
        } else if (!isWantedVoter(member.id())) {
            changeMembership(*current, RemoveMember{member.id()});
        }
    }
}

bool FakeCluster::isConverged(const std::vector<std::size_t> &wantedVoters)
{
    const auto current = leader();
    if (!current || replica(*current)->membership().members_size() != static_cast<int>(wantedVoters.size())) {
        return false;
    }
    return std::all_of(wantedVoters.begin(), wantedVoters.end(), [&](std::size_t host) {
        const bool isMemberVoter = isVoter(replica(*current)->membership(), identityOf(host));
        return isMemberVoter && replica(host) != nullptr && m_hosts[host]->appliedIndex == safetyChecker.lastIndex()
            && replica(host)->lastIndex() == safetyChecker.lastIndex();
    });
}

TimePoint FakeCluster::hostTime(std::size_t host) const
{
    const auto scaled = static_cast<double>(m_now.count()) * m_hosts[host]->clockRate;
    return TimePoint(std::chrono::hours(1) + Duration(static_cast<Duration::rep>(scaled)));
}

void FakeCluster::initialise(std::size_t number, const pb::Membership &initialMembership)
{
    Host &host = *m_hosts[number];
    host.identity = diskIdentity(number, host.diskCount++);
    m_hostByIdentity[host.identity] = number;
    host.disk = std::make_unique<FakeDisk>(random);
    const bool isInitialised = static_cast<bool>(initialiseDisk(*host.disk, {{host.identity, host.name}, initialMembership}));
    checkInvariant(isInitialised, "fake cluster: initialising an empty disk succeeds");
}

void FakeCluster::carryOut(std::size_t host, const Effects &effects)
{
    const std::uint64_t generation = m_hosts[host]->generation;
    for (const Effect &effect : effects) {
        if (m_hosts[host]->generation != generation) {
            return; // onStep crashed the host
        }
        carryOut(host, effect);
    }
}

void FakeCluster::carryOut(std::size_t host, const Effect &effect)
{
    std::visit(EffectVisitor{*this, host, effect}, effect);
}

void FakeCluster::transmit(std::size_t host, const pb::ReplicaMessage &message)
{
    const std::uint64_t generation = m_hosts[host]->generation;
    reportStep(host, "send");
    if (m_hosts[host]->generation != generation) {
        return;
    }
    safetyChecker.checkSent(message);
    ++counts.messages;
    counts.bytes += encodeFrame(message).size();
    const auto target = m_hostByIdentity.find(message.to());
    if (target == m_hostByIdentity.end()) {
        return;
    }
    for (const Duration delay : network.deliveryDelays(host, target->second, random)) {
        schedule(delay, [this, to = target->second, message] {
            onHost(to, [this, to, message] {
                deliver(to, message);
            });
        });
    }
}

void FakeCluster::deliver(std::size_t host, const pb::ReplicaMessage &message)
{
    const std::uint64_t generation = m_hosts[host]->generation;
    reportStep(host, "deliver");
    if (m_hosts[host]->generation == generation) {
        carryOut(host, replica(host)->step(hostTime(host), message));
    }
}

void FakeCluster::scheduleTick(std::size_t host)
{
    schedule(tickInterval, [this, host, generation = m_hosts[host]->generation] {
        if (m_hosts[host]->generation != generation) {
            return;
        }
        if (!m_hosts[host]->isFrozen) {
            carryOut(host, replica(host)->tick(hostTime(host)));
        }
        if (m_hosts[host]->generation == generation) {
            scheduleTick(host);
        }
    });
}

void FakeCluster::writeNext(std::size_t number)
{
    Host &host = *m_hosts[number];
    if (host.isWriting || host.pendingWrites.empty()) {
        return;
    }
    host.isWriting = true;
    const Duration delay(randomBetween<Duration::rep>(random, 0, m_options.maxSyncDelay.count()));
    schedule(delay, [this, number, generation = host.generation] {
        onHost(number, [this, number, generation] {
            Host &host = *m_hosts[number];
            if (host.generation != generation) {
                return;
            }
            reportStep(number, "write");
            if (host.generation != generation) {
                return;
            }
            const Effect effect = std::move(host.pendingWrites.front());
            host.pendingWrites.pop_front();
            host.isWriting = false;
            const std::uint64_t sequence = handleFailure(
                [&]() -> Result<std::uint64_t> {
                    BOOST_LEAF_AUTO(written, writeEffect(*host.storage, effect));
                    return *written;
                },
                [](const Failure &) {
                    return std::uint64_t{0};
                });
            if (sequence == 0) {
                crash(number);
                return schedule(tickInterval, [this, number] {
                    restart(number);
                });
            }
            writeNext(number);
            reportStep(number, "stored");
            if (host.generation == generation) {
                carryOut(number, host.replica->onWritesDurable(hostTime(number), sequence));
            }
        });
    });
}

void FakeCluster::apply(std::size_t number, const std::vector<pb::LogEntry> &entries)
{
    Host &host = *m_hosts[number];
    for (const pb::LogEntry &entry : entries) {
        checkInvariant(entry.index() == host.appliedIndex + 1, "fake cluster: entries are applied in order");
        safetyChecker.checkApplied(entry);
        host.appliedIndex = entry.index();
        host.appliedDigest = safetyChecker.digestAt(entry.index());
    }
}

void FakeCluster::restore(std::size_t number, const RestoreState &effect)
{
    Host &host = *m_hosts[number];
    checkInvariant(effect.state.size() >= 16, "fake cluster: a snapshot state has at least 16 bytes");
    const std::uint8_t *at = effect.state.data();
    const auto index = readBigEndian<std::uint64_t>(at);
    const auto digest = readBigEndian<std::uint64_t>(at);
    checkInvariant(index == effect.index && index >= host.appliedIndex,
                   "fake cluster: a restored snapshot has the announced index and is not older than the applied state");
    checkInvariant(digest == safetyChecker.digestAt(index), "fake cluster: a snapshot contains the state at its index");
    counts.installedSnapshots += host.appliedIndex > 0 ? 1 : 0;
    host.appliedIndex = index;
    host.appliedDigest = digest;
}

void FakeCluster::takeSnapshot(std::size_t number)
{
    const Host &host = *m_hosts[number];
    carryOut(number,
             host.replica->compactLog(hostTime(number), host.appliedIndex, encodeState(host.appliedIndex, host.appliedDigest, m_options.snapshotStateBytes)));
}

void FakeCluster::handleCommitted(std::size_t host, const ProposalCommitted &effect)
{
    const auto command = m_pendingCommands.find(effect.id.value);
    safetyChecker.checkAcknowledged(command == m_pendingCommands.end() ? std::string() : command->second, effect.index);
    m_pendingCommands.erase(effect.id.value);
    if (m_options.verifyCommits) {
        checkDurableOnMajority(host, effect.index);
    }
}

void FakeCluster::checkDurableOnMajority(std::size_t host, std::uint64_t index)
{
    std::size_t votersWithEntry = 0;
    const pb::Membership &membership = replica(host)->membership();
    for (std::size_t number = 0; number < m_hosts.size(); ++number) {
        if (!isVoter(membership, identityOf(number)) || safetyChecker.isDiskLost(identityOf(number))) {
            continue;
        }
        const auto state = durableState(number);
        votersWithEntry += state && state->base.index + state->entries.size() >= index ? 1 : 0;
    }
    const auto lostVoters = std::count_if(membership.members().begin(), membership.members().end(), [this](const pb::Member &member) {
        return member.voter() && safetyChecker.isDiskLost(member.id());
    });
    checkInvariant(votersWithEntry + static_cast<std::size_t>(lostVoters) >= majoritySize(membership),
                   "fake cluster: an acknowledged entry is durable on a majority of the voters");
}

std::optional<StoredState> FakeCluster::durableState(std::size_t number)
{
    std::mt19937_64 unused(0);
    const auto copy = disk(number).durableCopy(unused);
    DiskLogStorage storage(*copy, m_hosts[number]->name);
    return handleFailure(
        [&]() -> Result<std::optional<StoredState>> {
            BOOST_LEAF_AUTO(state, storage.load());
            return std::optional(std::move(state));
        },
        [](const Failure &) {
            return std::optional<StoredState>();
        });
}

void FakeCluster::onHost(std::size_t host, std::function<void()> action)
{
    if (m_hosts[host]->isFrozen) {
        m_hosts[host]->deferredActions.push_back(std::move(action));
    } else if (m_hosts[host]->replica) {
        action();
    }
}

void FakeCluster::reportStep(std::size_t host, std::string_view step)
{
    if (onStep) {
        onStep(host, step);
    }
}

}
