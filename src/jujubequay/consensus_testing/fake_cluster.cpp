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
Value pick(std::mt19937_64 &random, Value least, Value most)
{
    return std::uniform_int_distribution<Value>(least, most)(random);
}

/// Everything that a restarted replica would know.
std::string fingerprint(const StoredState &state)
{
    std::string text = fmt::format("{} {} {} {} {}", state.identity.id, state.hardState.term, state.hardState.votedFor, state.snapshot.index, state.base.index);
    text.append(state.snapshot.state.begin(), state.snapshot.state.end());
    for (const pb::LogEntry &entry : state.entries) {
        text += entry.SerializeAsString();
    }
    return text;
}

/// As long as a real identity, so that bytes can be counted.
std::string diskName(std::size_t host, int disk)
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
    int disks = 0;
    double clockRate = 1;
    std::mt19937_64 random;
    std::unique_ptr<FakeDisk> disk;
    std::unique_ptr<DiskLogStorage> storage;
    std::unique_ptr<Replica> replica;
    std::deque<Effect> writes;
    bool writing = false;
    bool frozen = false;
    std::vector<std::function<void()>> whenThawed;
    std::uint64_t start = 0; // events of an earlier start are void
    std::uint64_t applied = 0;
    std::uint64_t digest = 0;
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
        cluster.committed(host, proposal);
    }
    void operator()(const ReadConfirmed &read) const
    {
        const auto found = cluster.m_reads.find(read.id.value);
        checkInvariant(found != cluster.m_reads.end(), "fake cluster: a read is answered once");
        checkInvariant(cluster.m_hosts[host]->applied >= found->second, "fake cluster: a confirmed read sees what was acknowledged before it");
        cluster.m_reads.erase(found);
        ++cluster.counts.reads;
    }
    void operator()(const LeadershipGained &leadership) const
    {
        cluster.safetyChecker.leads(cluster.identityOf(host), leadership.term);
        ++cluster.counts.elections;
    }
    void operator()(const MembershipCommitted &) const
    {
        ++cluster.counts.membershipChanges;
    }
    void operator()(const auto &) const { }
    void write() const
    {
        cluster.m_hosts[host]->writes.push_back(effect);
        cluster.writeNext(host);
    }
};

FakeCluster::FakeCluster(const FakeClusterOptions &options)
    : random(options.seed)
    , m_options(options)
{
    pb::Membership founders;
    founders.set_cluster(options.seed | 1U);
    for (std::size_t number = 0; number < options.hosts; ++number) {
        auto host = std::make_unique<Host>();
        host->name = fmt::format("host-{}", number);
        host->identity = diskName(number, 0);
        host->clockRate = std::uniform_real_distribution<double>(1 - options.clockSkew, 1 + options.clockSkew)(random);
        host->random.seed(random());
        if (number < options.voters) {
            pb::Member *member = founders.add_members();
            member->set_id(host->identity);
            member->set_host(host->name);
            member->set_voter(true);
        }
        m_hosts.push_back(std::move(host));
    }
    for (std::size_t number = 0; number < options.hosts; ++number) {
        initialise(number, number < options.voters ? founders : pb::Membership());
        restart(number);
    }
}

FakeCluster::~FakeCluster() = default;

void FakeCluster::step()
{
    checkInvariant(!m_events.empty(), "fake cluster: there is a next event");
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

void FakeCluster::at(Duration delay, std::function<void()> action)
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
        const bool leads = replica(host) != nullptr && !m_hosts[host]->frozen && replica(host)->role() == Role::Leader;
        if (leads && (!leader || replica(host)->term() > replica(*leader)->term())) {
            leader = host;
        }
    }
    return leader;
}

bool FakeCluster::mayLoseDisk()
{
    const auto current = leader();
    if (!current || !replica(*current)->toleratesVoterLoss()) {
        return false;
    }
    const auto &members = replica(*current)->membership().members();
    return std::none_of(members.begin(), members.end(), [this](const pb::Member &member) {
        return member.voter() && safetyChecker.isLost(member.id());
    });
}

std::uint64_t FakeCluster::propose(std::size_t host, std::size_t bytes)
{
    const std::uint64_t id = m_nextId++;
    Bytes command(std::max<std::size_t>(bytes, 8));
    writeBigEndian(command.data(), id);
    m_commands[id].assign(command.begin(), command.end());
    onHost(host, [this, host, id, command] {
        carryOut(host, replica(host)->propose(hostTime(host), {id}, command));
    });
    return id;
}

void FakeCluster::read(std::size_t host)
{
    const std::uint64_t id = m_nextId++;
    onHost(host, [this, host, id] {
        m_reads[id] = safetyChecker.lastAcknowledged();
        carryOut(host, replica(host)->confirmRead(hostTime(host), {id}));
    });
}

void FakeCluster::change(std::size_t host, const MembershipChange &change)
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
    ++host.start;
    host.replica.reset();
    host.storage.reset();
    host.writes.clear();
    host.writing = false;
    host.frozen = false;
    host.whenThawed.clear();
    host.disk->crash();
}

void FakeCluster::restart(std::size_t number)
{
    Host &host = *m_hosts[number];
    if (host.replica) {
        return;
    }
    ++host.start;
    host.storage = std::make_unique<DiskLogStorage>(*host.disk, host.name);
    Failure failure;
    auto state = handleFailure(
        [&]() -> Result<std::optional<StoredState>> {
            BOOST_LEAF_AUTO(loaded, host.storage->load());
            return std::optional(std::move(loaded));
        },
        [&failure](const Failure &found) {
            failure = found;
            return std::optional<StoredState>();
        });
    if (!state) {
        host.storage.reset();
        host.disk->crash();
        checkInvariant(failure.code == ResultCode::DiskFailed || safetyChecker.isLost(host.identity), "fake cluster: only a damaged disk is refused");
        if (failure.code != ResultCode::DiskFailed) {
            ++counts.damagedDisks;
            initialise(number, {});
        }
        at(tickInterval, [this, number] {
            restart(number);
        });
        return;
    }
    checkInvariant(!safetyChecker.isLost(state->identity.id), "fake cluster: a damaged disk is refused");
    host.applied = 0;
    host.digest = 0;
    host.replica = std::make_unique<Replica>(m_options.replica, std::move(*state), host.random, hostTime(number));
    carryOut(number, host.replica->start());
    scheduleTick(number);
}

void FakeCluster::loseDisk(std::size_t host)
{
    crash(host);
    ++counts.lostDisks;
    safetyChecker.diskLost(m_hosts[host]->identity);
    initialise(host, {});
}

void FakeCluster::flipBit(std::size_t host)
{
    FakeDisk &files = disk(host);
    const auto names = files.list();
    std::vector<std::string> used;
    std::copy_if(names->begin(), names->end(), std::back_inserter(used), [](const std::string &name) {
        return !name.ends_with(".new");
    });
    const std::string name = used[pick<std::size_t>(random, 0, used.size() - 1)];
    Bytes content = *files.read(name);
    if (content.empty()) {
        return;
    }
    content[pick<std::size_t>(random, 0, content.size() - 1)] ^= static_cast<std::uint8_t>(1U << pick(random, 0U, 7U));
    const auto before = durableState(host);
    files.setContent(name, content);
    const auto after = durableState(host);
    if (after) {
        // The bit lay in a superseded file or in a record that was never completely written.
        checkInvariant(before && fingerprint(*before) == fingerprint(*after), "fake cluster: a damaged disk is refused");
    } else {
        safetyChecker.diskLost(m_hosts[host]->identity);
    }
}

void FakeCluster::freeze(std::size_t host)
{
    m_hosts[host]->frozen = replica(host) != nullptr;
}

void FakeCluster::thaw(std::size_t host)
{
    m_hosts[host]->frozen = false;
    for (auto &action : std::exchange(m_hosts[host]->whenThawed, {})) {
        onHost(host, std::move(action)); // an earlier one may have crashed the host
    }
}

bool FakeCluster::isFrozen(std::size_t host) const
{
    return m_hosts[host]->frozen;
}

void FakeCluster::heal()
{
    network = FakeNetwork();
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        disk(host).killAfter(0);
        thaw(host);
        restart(host);
    }
}

void FakeCluster::repair(const std::vector<std::size_t> &wanted)
{
    const auto current = leader();
    if (!current) {
        return;
    }
    const pb::Membership membership = replica(*current)->membership();
    const auto isWanted = [&](const std::string &id) {
        return std::any_of(wanted.begin(), wanted.end(), [&](std::size_t host) {
            return identityOf(host) == id;
        });
    };
    for (const std::size_t host : wanted) {
        if (findMember(membership, identityOf(host)) == nullptr) {
            return change(*current, AddLearner{identityOf(host), m_hosts[host]->name, {}});
        }
    }
    for (const pb::Member &member : membership.members()) {
        if (!member.voter() && isWanted(member.id()) && voterCount(membership) < maxVoters) {
            change(*current, PromoteLearner{member.id()});
        } else if (!isWanted(member.id())) {
            change(*current, RemoveMember{member.id()});
        }
    }
}

bool FakeCluster::isConverged(const std::vector<std::size_t> &wanted)
{
    const auto current = leader();
    if (!current || replica(*current)->membership().members_size() != static_cast<int>(wanted.size())) {
        return false;
    }
    return std::all_of(wanted.begin(), wanted.end(), [&](std::size_t host) {
        const bool votes = isVoter(replica(*current)->membership(), identityOf(host));
        return votes && replica(host) != nullptr && m_hosts[host]->applied == safetyChecker.lastIndex()
            && replica(host)->lastIndex() == safetyChecker.lastIndex();
    });
}

TimePoint FakeCluster::hostTime(std::size_t host) const
{
    const auto scaled = static_cast<double>(m_now.count()) * m_hosts[host]->clockRate;
    return TimePoint(std::chrono::hours(1) + Duration(static_cast<Duration::rep>(scaled)));
}

void FakeCluster::initialise(std::size_t number, const pb::Membership &founders)
{
    Host &host = *m_hosts[number];
    host.identity = diskName(number, host.disks++);
    m_hostOfIdentity[host.identity] = number;
    host.disk = std::make_unique<FakeDisk>(random);
    const bool initialised = static_cast<bool>(initialiseDisk(*host.disk, {{host.identity, host.name}, founders}));
    checkInvariant(initialised, "fake cluster: an empty disk can be initialised");
}

void FakeCluster::carryOut(std::size_t host, const Effects &effects)
{
    const std::uint64_t start = m_hosts[host]->start;
    for (const Effect &effect : effects) {
        if (m_hosts[host]->start != start) {
            return; // a step handler crashed the host
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
    const std::uint64_t start = m_hosts[host]->start;
    announce(host, "send");
    if (m_hosts[host]->start != start) {
        return;
    }
    safetyChecker.sent(message);
    ++counts.messages;
    counts.bytes += encodeFrame(message).size();
    const auto target = m_hostOfIdentity.find(message.to());
    if (target == m_hostOfIdentity.end()) {
        return;
    }
    for (const Duration delay : network.delays(host, target->second, random)) {
        at(delay, [this, to = target->second, message] {
            onHost(to, [this, to, message] {
                deliver(to, message);
            });
        });
    }
}

void FakeCluster::deliver(std::size_t host, const pb::ReplicaMessage &message)
{
    const std::uint64_t start = m_hosts[host]->start;
    announce(host, "deliver");
    if (m_hosts[host]->start == start) {
        carryOut(host, replica(host)->step(hostTime(host), message));
    }
}

void FakeCluster::scheduleTick(std::size_t host)
{
    at(tickInterval, [this, host, start = m_hosts[host]->start] {
        if (m_hosts[host]->start != start) {
            return;
        }
        if (!m_hosts[host]->frozen) {
            carryOut(host, replica(host)->tick(hostTime(host)));
        }
        if (m_hosts[host]->start == start) {
            scheduleTick(host);
        }
    });
}

void FakeCluster::writeNext(std::size_t number)
{
    Host &host = *m_hosts[number];
    if (host.writing || host.writes.empty()) {
        return;
    }
    host.writing = true;
    const Duration delay(pick<Duration::rep>(random, 0, m_options.maxSyncDelay.count()));
    at(delay, [this, number, start = host.start] {
        onHost(number, [this, number, start] {
            Host &host = *m_hosts[number];
            if (host.start != start) {
                return;
            }
            announce(number, "write");
            if (host.start != start) {
                return;
            }
            const Effect effect = std::move(host.writes.front());
            host.writes.pop_front();
            host.writing = false;
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
                return at(tickInterval, [this, number] {
                    restart(number);
                });
            }
            writeNext(number);
            announce(number, "stored");
            if (host.start == start) {
                carryOut(number, host.replica->onWritesDurable(hostTime(number), sequence));
            }
        });
    });
}

void FakeCluster::apply(std::size_t number, const std::vector<pb::LogEntry> &entries)
{
    Host &host = *m_hosts[number];
    for (const pb::LogEntry &entry : entries) {
        checkInvariant(entry.index() == host.applied + 1, "fake cluster: entries arrive in order");
        safetyChecker.applied(entry);
        host.applied = entry.index();
        host.digest = safetyChecker.digestAt(entry.index());
    }
}

void FakeCluster::restore(std::size_t number, const RestoreState &effect)
{
    Host &host = *m_hosts[number];
    checkInvariant(effect.state.size() >= 16, "fake cluster: a snapshot arrives whole");
    const std::uint8_t *at = effect.state.data();
    const auto index = readBigEndian<std::uint64_t>(at);
    const auto digest = readBigEndian<std::uint64_t>(at);
    checkInvariant(index == effect.index && index >= host.applied, "fake cluster: a snapshot does not go back");
    checkInvariant(digest == safetyChecker.digestAt(index), "fake cluster: a snapshot holds the state at its index");
    counts.installs += host.applied > 0 ? 1 : 0;
    host.applied = index;
    host.digest = digest;
}

void FakeCluster::takeSnapshot(std::size_t number)
{
    const Host &host = *m_hosts[number];
    carryOut(number, host.replica->compactLog(hostTime(number), host.applied, encodeState(host.applied, host.digest, m_options.stateBytes)));
}

void FakeCluster::committed(std::size_t host, const ProposalCommitted &effect)
{
    const auto command = m_commands.find(effect.id.value);
    safetyChecker.acknowledged(command == m_commands.end() ? std::string() : command->second, effect.index);
    m_commands.erase(effect.id.value);
    if (m_options.verifyCommits) {
        checkDurable(host, effect.index);
    }
}

void FakeCluster::checkDurable(std::size_t host, std::uint64_t index)
{
    std::size_t holders = 0;
    const pb::Membership &membership = replica(host)->membership();
    for (std::size_t number = 0; number < m_hosts.size(); ++number) {
        if (!isVoter(membership, identityOf(number)) || safetyChecker.isLost(identityOf(number))) {
            continue;
        }
        const auto state = durableState(number);
        holders += state && state->base.index + state->entries.size() >= index ? 1 : 0;
    }
    const auto lost = std::count_if(membership.members().begin(), membership.members().end(), [this](const pb::Member &member) {
        return member.voter() && safetyChecker.isLost(member.id());
    });
    checkInvariant(holders + static_cast<std::size_t>(lost) >= majorityOf(membership), "fake cluster: an acknowledged entry is synced on a majority");
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
    if (m_hosts[host]->frozen) {
        m_hosts[host]->whenThawed.push_back(std::move(action));
    } else if (m_hosts[host]->replica) {
        action();
    }
}

void FakeCluster::announce(std::size_t host, std::string_view step)
{
    if (onStep) {
        onStep(host, step);
    }
}

}
