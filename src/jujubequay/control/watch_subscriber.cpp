#include <jujubequay/control/watch_subscriber.h>
#include <jujubequay/core/invariant.h>

#include <xxhash.h>

#include <algorithm>

namespace Jujubequay {

namespace pb = jujubequay::pb;

namespace {

constexpr std::size_t frameHeader = 4;
constexpr std::uint32_t maxDoublings = 16;
/// An attempt that follows a start notice is not given up for another notice within this time, which is several round trips.
constexpr auto noticedAttemptTime = std::chrono::milliseconds(200);
/// Departures are of use until the callers of their flows know; the most servers that leave within that time.
constexpr std::size_t keptDepartures = 256;

template<class Message>
std::uint64_t framedBytes(const Message &message)
{
    return frameHeader + message.ByteSizeLong();
}

// Rendezvous hashing spreads the watchers and moves only those of a control host that is added or removed.
std::vector<HostAddress> rankedControlHosts(std::vector<HostAddress> ranked, const std::string &host)
{
    std::sort(ranked.begin(), ranked.end(), [&host](const HostAddress &left, const HostAddress &right) {
        const auto score = [&host](const HostAddress &address) {
            return XXH3_64bits_withSeed(host.data(), host.size(), std::hash<HostAddress>()(address));
        };
        return score(left) > score(right);
    });
    return ranked;
}

ServerAvailability availabilityOf(pb::ServerState state)
{
    switch (state) {
    case pb::SERVER_STATE_SERVING:
        return ServerAvailability::Serving;
    case pb::SERVER_STATE_DRAINING:
        return ServerAvailability::Draining;
    case pb::SERVER_STATE_LEFT:
        return ServerAvailability::Left;
    case pb::SERVER_STATE_SUSPECT:
        return ServerAvailability::Suspect;
    default:
        return ServerAvailability::Starting;
    }
}

ServiceAdmission admissionOf(const pb::AdmissionRules &rules)
{
    ServiceAdmission admission;
    admission.slots = rules.slots();
    admission.maxConnections = rules.max_connections();
    admission.queueLimit = rules.queue_limit();
    admission.queueTimeout = std::chrono::milliseconds(rules.queue_timeout_ms());
    admission.drainLimit = std::chrono::milliseconds(rules.drain_limit_ms());
    admission.customerWeights = {rules.customer_weights().begin(), rules.customer_weights().end()};
    return admission;
}

ServiceSnapshot serviceOf(const pb::ServiceConfig &config)
{
    ServiceSnapshot service;
    service.id = ServiceId{static_cast<std::uint16_t>(config.service_id())};
    service.name = config.service();
    service.version = config.version();
    service.revision = config.revision();
    for (const std::string &text : config.content().addresses()) {
        service.addresses.push_back(parseHostAddress(text).value_or(HostAddress()));
    }
    service.admission = admissionOf(config.content().admission());
    service.serverNames = {config.content().server_names().begin(), config.content().server_names().end()};
    return service;
}

ServerSnapshot serverOf(const pb::ServerEntry &entry)
{
    ServerSnapshot server;
    server.name = entry.name();
    server.service = entry.service();
    server.relayAddress = parseHostAddress(entry.relay_address()).value_or(HostAddress());
    server.incarnation = Incarnation{entry.incarnation()};
    server.state = availabilityOf(entry.state());
    server.agentEpoch = entry.agent_epoch();
    server.weight = entry.weight();
    server.zone = entry.zone();
    server.host = entry.host();
    return server;
}

FlowKeySet flowKeySetOf(const std::vector<pb::FlowKeyEntry> &entries)
{
    FlowKeySet keys;
    for (const pb::FlowKeyEntry &entry : entries) {
        FlowSecret secret{};
        std::copy_n(entry.secret().begin(), std::min(entry.secret().size(), secret.size()), secret.begin());
        keys.set(static_cast<std::uint8_t>(entry.number()), secret);
        if (entry.active()) {
            keys.activate(static_cast<std::uint8_t>(entry.number()));
        }
    }
    return keys;
}

}

WatchSubscriber::WatchSubscriber(WatchSubscriberOptions options, std::mt19937_64 &random)
    : m_options(std::move(options))
    , m_random(random)
    , m_configured(m_options.controlHosts)
    , m_snapshot(std::make_shared<ConfigSnapshot>())
{
    rankChoices();
    checkInvariant(!m_choices.empty(), "a subscriber knows a control host");
}

// ---- Streams ----

WatchSubscriber::Effects WatchSubscriber::tick(TimePoint now)
{
    Effects effects;
    if (m_isOpen && now - m_lastHeard > m_options.silenceTimeout) {
        giveUp(now, effects);
    }
    if (!m_isOpen && now >= m_nextAttempt) {
        open(now, effects);
    }
    return effects;
}

void WatchSubscriber::setControlHosts(std::vector<HostAddress> addresses)
{
    if (addresses.empty() || addresses == m_configured) {
        return;
    }
    m_configured = std::move(addresses);
    rankChoices();
}

// Both lists are used: the configured one may be older than the learned one, or newer after a long cut.
void WatchSubscriber::rankChoices()
{
    std::vector<HostAddress> configured;
    std::copy_if(m_configured.begin(), m_configured.end(), std::back_inserter(configured), [this](const HostAddress &address) {
        return std::find(m_learned.begin(), m_learned.end(), address) == m_learned.end();
    });
    m_choices = rankedControlHosts(m_learned, m_options.host);
    const std::vector<HostAddress> rest = rankedControlHosts(std::move(configured), m_options.host);
    m_choices.insert(m_choices.end(), rest.begin(), rest.end());
    m_choice %= std::max<std::size_t>(m_choices.size(), 1);
}

void WatchSubscriber::takeControlHosts(const pb::ControlHosts &message, Effects &effects)
{
    std::vector<HostAddress> addresses;
    for (const std::string &text : message.addresses()) {
        if (const auto address = parseHostAddress(text)) {
            addresses.push_back(*address);
        }
    }
    if (addresses.empty() || addresses == m_learned) {
        return;
    }
    const HostAddress current = m_choices[m_choice];
    m_learned = addresses;
    rankChoices();
    // The open stream stays; a later failure goes on after this host.
    const auto position = std::find(m_choices.begin(), m_choices.end(), current);
    m_choice = position == m_choices.end() ? 0 : static_cast<std::size_t>(position - m_choices.begin());
    effects.emplace_back(PublishControlHosts{std::move(addresses)});
}

void WatchSubscriber::open(TimePoint now, Effects &effects)
{
    ++m_stream;
    m_isOpen = true;
    m_isServed = false;
    m_lastHeard = now;
    m_openedAt = now;
    m_isNoticed = false;
    effects.emplace_back(OpenWatchStream{m_choices[m_choice], m_stream});

    pb::WatchUp message;
    pb::WatchRequest &request = *message.mutable_request();
    request.set_host(m_options.host);
    request.set_zone(m_options.zone);
    request.set_role(m_options.role);
    request.set_revision(m_revision);
    request.set_flow_key_revision(m_flowKeyRevision);
    request.set_registry_epoch(m_registryEpoch);
    request.set_registry_sequence(m_registrySequence);
    request.set_notice_address(m_options.noticeAddress);
    request.mutable_services()->Add(m_options.services.begin(), m_options.services.end());
    send(std::move(message), effects);
    report(effects);
}

WatchSubscriber::Effects WatchSubscriber::streamClosed(TimePoint now, std::uint64_t stream)
{
    Effects effects;
    if (m_isOpen && stream == m_stream) {
        m_isOpen = false;
        retryLater(now, effects);
    }
    return effects;
}

void WatchSubscriber::giveUp(TimePoint now, Effects &effects)
{
    effects.emplace_back(CloseWatchStream());
    m_isOpen = false;
    retryLater(now, effects);
}

WatchSubscriber::Effects WatchSubscriber::controlHostStarted(TimePoint now, const HostAddress &address)
{
    Effects effects;
    const Duration openFor = now - m_openedAt;
    // The stream to a host that has started again is dead, unless it was opened since.
    const bool isStreamDead = m_isServed && address == m_choices[m_choice] && openFor > m_options.startNoticeTime;
    const bool isServed = m_isOpen && m_isServed && now - m_lastHeard < m_options.silenceTimeout / 2;
    const bool isAttemptNew = m_isOpen && m_isNoticed && openFor < noticedAttemptTime;
    if ((isServed && !isStreamDead) || isAttemptNew) {
        return effects;
    }
    if (m_isOpen) {
        effects.emplace_back(CloseWatchStream());
        m_isOpen = false;
    }
    m_arriving.reset();
    if (std::find(m_choices.begin(), m_choices.end(), address) == m_choices.end()) {
        m_learned.push_back(address);
        rankChoices();
    }
    m_choice = static_cast<std::size_t>(std::find(m_choices.begin(), m_choices.end(), address) - m_choices.begin());
    open(now, effects);
    m_isNoticed = true;
    return effects;
}

// Full jitter, so that the watchers of a lost control host do not arrive at the others at once.
void WatchSubscriber::retryLater(TimePoint now, Effects &effects)
{
    m_arriving.reset();
    m_choice = (m_choice + 1) % m_choices.size();
    // The wait grows with each round: as long as a host has not been tried, it may well be there.
    const auto rounds = static_cast<std::uint32_t>(m_failures / m_choices.size());
    const Duration longest = std::min(m_options.retryLimit, m_options.retryBase * (1U << std::min(rounds, maxDoublings)));
    ++m_failures;
    m_nextAttempt = now + Duration(std::uniform_int_distribution<Duration::rep>(0, longest.count())(m_random));
    const bool triedAll = m_failures % m_choices.size() == 0;
    if (triedAll && m_revision == 0) {
        effects.emplace_back(RequestPeerState());
    }
}

// ---- State ----

WatchSubscriber::Effects WatchSubscriber::receive(TimePoint now, std::uint64_t stream, const pb::WatchDown &message)
{
    Effects effects;
    if (!m_isOpen || stream != m_stream) {
        return effects;
    }
    m_receivedBytes += framedBytes(message);
    m_lastHeard = now;
    if (message.has_refused()) {
        giveUp(now, effects);
        return effects;
    }
    if (!m_isServed) {
        m_isServed = true;
        m_failures = 0;
    }
    if (message.has_control_hosts()) {
        takeControlHosts(message.control_hosts(), effects);
    }
    const bool isConfigNew = message.has_config() && takeConfig(message.config());
    const bool isRegistryNew = message.has_registry() && takeRegistry(message.registry());
    if (isConfigNew || isRegistryNew) {
        publish(effects);
    }
    if (isConfigNew) {
        report(effects);
    }
    return effects;
}

bool WatchSubscriber::takeConfig(const pb::ConfigDelta &delta)
{
    const bool areServicesNew = takeServices(delta);
    const bool areFlowKeysNew = takeFlowKeys(delta);
    m_staleConfigs += areServicesNew || areFlowKeysNew ? 0 : 1;
    return areServicesNew || areFlowKeysNew;
}

bool WatchSubscriber::takeServices(const pb::ConfigDelta &delta)
{
    if (delta.revision() <= m_revision) {
        return false;
    }
    if (delta.full()) {
        m_services.clear();
    }
    if (delta.has_routes()) {
        checkInvariant(delta.routes().version() >= m_routes->version(), "the route table never returns to an older version");
        m_routes = std::make_shared<RouteTable>(delta.routes());
    }
    for (const pb::ServiceConfig &config : delta.services()) {
        const auto known = m_services.find(config.service());
        checkInvariant(known == m_services.end() || known->second.service_id() == config.service_id(), "the number of a service never changes");
        checkInvariant(known == m_services.end() || known->second.revision() <= config.revision(), "a service never returns to an older revision");
        m_services[config.service()] = config;
    }
    m_revision = delta.revision();
    return true;
}

bool WatchSubscriber::takeFlowKeys(const pb::ConfigDelta &delta)
{
    if (delta.flow_key_revision() <= m_flowKeyRevision) {
        return false;
    }
    m_flowKeys.assign(delta.flow_keys().begin(), delta.flow_keys().end());
    m_flowKeyRevision = delta.flow_key_revision();
    return true;
}

// A control host that is behind must not reinstate an incarnation that was replaced.
bool WatchSubscriber::isOutdated(const pb::ServerEntry &entry) const
{
    const auto known = m_servers.find(entry.name());
    return known != m_servers.end() && known->second.order() > entry.order();
}

// A control host that removes a silent server changes the observation; the server's own announcement does not.
void WatchSubscriber::noteDeparture(const pb::ServerEntry &entry)
{
    if (entry.state() != pb::SERVER_STATE_LEFT || entry.observation() != 0) {
        return;
    }
    const DeregisteredServer departed{parseHostAddress(entry.relay_address()).value_or(HostAddress()), Incarnation{entry.incarnation()}};
    if (std::find(m_departed.begin(), m_departed.end(), departed) == m_departed.end()) {
        m_departed.push_back(departed);
    }
    if (m_departed.size() > keptDepartures) {
        m_departed.pop_front();
    }
}

bool WatchSubscriber::takeRegistry(const pb::RegistryDelta &delta)
{
    if (delta.full()) {
        m_arriving.emplace();
    }
    Entries &target = m_arriving ? *m_arriving : m_servers;
    for (const pb::ServerEntry &entry : delta.servers()) {
        noteDeparture(entry);
        target[entry.name()] = isOutdated(entry) ? m_servers.at(entry.name()) : entry;
    }
    if (delta.more()) {
        return false;
    }
    if (m_arriving) {
        m_servers = std::move(*m_arriving);
        m_arriving.reset();
    }
    std::erase_if(m_servers, [](const auto &entry) {
        return entry.second.state() == pb::SERVER_STATE_LEFT;
    });
    m_isRegistryComplete = delta.complete();
    m_registryEpoch = delta.epoch();
    m_registrySequence = delta.sequence();
    return true;
}

void WatchSubscriber::publish(Effects &effects)
{
    auto snapshot = std::make_shared<ConfigSnapshot>();
    snapshot->revision = m_revision;
    snapshot->flowKeyRevision = m_flowKeyRevision;
    snapshot->routes = m_routes;
    snapshot->deregisteredServers.assign(m_departed.begin(), m_departed.end());
    snapshot->hasRegistry = m_registrySequence != 0;
    snapshot->isRegistryComplete = m_isRegistryComplete;
    snapshot->flowKeys = flowKeySetOf(m_flowKeys);
    for (const auto &[name, config] : m_services) {
        snapshot->services.push_back(serviceOf(config));
    }
    std::sort(snapshot->services.begin(), snapshot->services.end(), [](const ServiceSnapshot &left, const ServiceSnapshot &right) {
        return left.id.value < right.id.value;
    });
    for (const auto &[name, entry] : m_servers) {
        ServerSnapshot &server = snapshot->servers.emplace_back(serverOf(entry));
        const auto service = m_services.find(server.service);
        server.serviceId = ServiceId{static_cast<std::uint16_t>(service == m_services.end() ? 0 : service->second.service_id())};
    }
    checkInvariant(snapshot->revision >= m_snapshot->revision, "the revision in force never falls");
    m_snapshot = snapshot;
    effects.emplace_back(PublishConfig{std::move(snapshot)});
}

// ---- Reports and peers ----

WatchSubscriber::Effects WatchSubscriber::setFlowKeysInUse(std::vector<std::uint32_t> numbers)
{
    Effects effects;
    if (numbers != m_flowKeysInUse) {
        m_flowKeysInUse = std::move(numbers);
        if (m_isOpen) {
            report(effects);
        }
    }
    return effects;
}

void WatchSubscriber::report(Effects &effects)
{
    pb::WatchUp message;
    pb::WatchReport &report = *message.mutable_report();
    report.set_revision_in_force(m_revision);
    report.set_flow_key_revision(m_flowKeyRevision);
    report.mutable_flow_keys_in_use()->Add(m_flowKeysInUse.begin(), m_flowKeysInUse.end());
    send(std::move(message), effects);
}

void WatchSubscriber::send(pb::WatchUp message, Effects &effects)
{
    m_sentBytes += framedBytes(message);
    effects.emplace_back(SendToControl{std::move(message)});
}

WatchSubscriber::Effects WatchSubscriber::applyPeerState(const pb::PeerState &state)
{
    Effects effects;
    const bool isConfigNew = takeConfig(state.config());
    // A peer's list of servers replaces nothing: the own one, if there is any, came from a control host.
    const bool areServersNew = m_servers.empty() && state.servers_size() > 0;
    if (areServersNew) {
        for (const pb::ServerEntry &entry : state.servers()) {
            m_servers[entry.name()] = entry;
        }
    }
    if (isConfigNew || areServersNew) {
        publish(effects);
    }
    if (isConfigNew && m_isOpen) {
        report(effects);
    }
    return effects;
}

pb::PeerState WatchSubscriber::peerState() const
{
    pb::PeerState state;
    pb::ConfigDelta &config = *state.mutable_config();
    config.set_revision(m_revision);
    config.set_full(true);
    config.set_flow_key_revision(m_flowKeyRevision);
    for (const auto &[name, service] : m_services) {
        *config.add_services() = service;
    }
    config.mutable_flow_keys()->Add(m_flowKeys.begin(), m_flowKeys.end());
    for (const auto &[name, entry] : m_servers) {
        *state.add_servers() = entry;
    }
    return state;
}

std::optional<TimePoint> WatchSubscriber::nextAttempt() const
{
    return m_isOpen ? std::nullopt : std::optional(m_nextAttempt);
}

ConfigSnapshotPointer WatchSubscriber::snapshot() const
{
    return m_snapshot;
}

bool WatchSubscriber::isConnected() const
{
    return m_isOpen && m_isServed;
}

HostAddress WatchSubscriber::controlHost() const
{
    return m_choices[m_choice];
}

std::uint64_t WatchSubscriber::sentBytes() const
{
    return m_sentBytes;
}

std::uint64_t WatchSubscriber::receivedBytes() const
{
    return m_receivedBytes;
}

std::uint64_t WatchSubscriber::staleConfigs() const
{
    return m_staleConfigs;
}

}
