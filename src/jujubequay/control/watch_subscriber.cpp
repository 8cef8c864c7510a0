#include <jujubequay/control/message_account.h>
#include <jujubequay/control/watch_subscriber.h>
#include <jujubequay/control/watched_servers.h>
#include <jujubequay/core/invariant.h>

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>

namespace Jujubequay {

namespace pb = jujubequay::pb;

namespace {

constexpr std::uint32_t maxDoublings = 16;
/// Time, several round trips, in which an attempt that follows a start notice is not abandoned for another start notice.
constexpr auto startNoticeAttemptTime = std::chrono::milliseconds(200);
/// A deregistration is used until the callers of the server's flows were notified; this many servers may deregister within that time.
constexpr std::size_t maxDeregisteredServers = 256;

// Rendezvous hashing: distributes the watchers, and a control host that is added or removed moves only its own watchers.
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
    server.order = entry.order();
    server.state = availabilityOf(entry.state());
    server.agentEpoch = entry.agent_epoch();
    server.acceptsServiceKeys = entry.accepts_service_keys();
    server.weight = entry.weight();
    server.zone = entry.zone();
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
    , m_configuredHosts(m_options.controlHosts)
    , m_snapshot(std::make_shared<ConfigSnapshot>())
{
    rankControlHosts();
    checkInvariant(!m_rankedHosts.empty(), "a subscriber has at least one control host");
}

// Streams

WatchSubscriber::Effects WatchSubscriber::tick(TimePoint now)
{
    Effects effects;
    if (m_isStreamOpen && now - m_lastMessageAt > m_options.silenceTimeout) {
        closeStream(now, effects);
    }
    if (m_isStreamOpen && m_hasReceivedState && m_nextMove && now >= *m_nextMove) {
        moveToLocalZone(now, effects);
    }
    if (!m_isStreamOpen && now >= m_nextAttempt) {
        open(now, effects);
    }
    return effects;
}

bool WatchSubscriber::isInLocalZone(const HostAddress &controlHost) const
{
    const auto zone = m_controlHostZones.find(controlHost);
    return zone != m_controlHostZones.end() && zone->second == m_options.zone;
}

// Watchers that have connected to the same control host, for example after a restart of all hosts, do not leave it at the same time.
void WatchSubscriber::scheduleMove(TimePoint now)
{
    const Duration::rep delay = m_options.moveDelay.count();
    m_nextMove = now + Duration(std::uniform_int_distribution<Duration::rep>(delay, 2 * delay)(m_random));
}

// Most traffic of a watch is from the control host to the watcher, and traffic between availability zones is expensive.
void WatchSubscriber::moveToLocalZone(TimePoint now, Effects &effects)
{
    m_nextMove.reset();
    const auto local = std::find_if(m_rankedHosts.begin(), m_rankedHosts.end(), [this](const HostAddress &address) {
        return isInLocalZone(address);
    });
    if (local == m_rankedHosts.end() || isInLocalZone(m_rankedHosts[m_currentHost])) {
        return;
    }
    effects.emplace_back(CloseWatchStream());
    m_incomingRegistry.reset();
    m_currentHost = static_cast<std::size_t>(local - m_rankedHosts.begin());
    open(now, effects);
}

void WatchSubscriber::setControlHosts(std::vector<HostAddress> addresses)
{
    if (addresses.empty() || addresses == m_configuredHosts) {
        return;
    }
    m_configuredHosts = std::move(addresses);
    rankControlHosts();
}

// Both lists are used: the configured list may be older than the discovered one, or newer after a long partition.
void WatchSubscriber::rankControlHosts()
{
    std::vector<HostAddress> configured;
    std::copy_if(m_configuredHosts.begin(), m_configuredHosts.end(), std::back_inserter(configured), [this](const HostAddress &address) {
        return std::find(m_discoveredHosts.begin(), m_discoveredHosts.end(), address) == m_discoveredHosts.end();
    });
    m_rankedHosts = rankedControlHosts(m_discoveredHosts, m_options.host);
    const std::vector<HostAddress> rest = rankedControlHosts(std::move(configured), m_options.host);
    m_rankedHosts.insert(m_rankedHosts.end(), rest.begin(), rest.end());
    std::stable_partition(m_rankedHosts.begin(), m_rankedHosts.end(), [this](const HostAddress &address) {
        return isInLocalZone(address);
    });
    m_currentHost %= std::max<std::size_t>(m_rankedHosts.size(), 1);
}

void WatchSubscriber::applyControlHosts(TimePoint now, const pb::ControlHosts &message, Effects &effects)
{
    std::vector<HostAddress> addresses;
    std::map<HostAddress, std::string> zones;
    for (int index = 0; index < message.addresses_size(); ++index) {
        const auto address = parseHostAddress(message.addresses(index));
        if (!address) {
            continue;
        }
        addresses.push_back(*address);
        if (index < message.zones_size() && !message.zones(index).empty()) {
            zones[*address] = message.zones(index);
        }
    }
    if (addresses.empty() || (addresses == m_discoveredHosts && zones == m_controlHostZones)) {
        return;
    }
    const HostAddress current = m_rankedHosts[m_currentHost];
    m_discoveredHosts = addresses;
    m_controlHostZones = std::move(zones);
    scheduleMove(now);
    rankControlHosts();
    // The open stream is kept; after a failure the host after the current one is tried.
    const auto position = std::find(m_rankedHosts.begin(), m_rankedHosts.end(), current);
    m_currentHost = position == m_rankedHosts.end() ? 0 : static_cast<std::size_t>(position - m_rankedHosts.begin());
    effects.emplace_back(PublishControlHosts{std::move(addresses)});
}

void WatchSubscriber::open(TimePoint now, Effects &effects)
{
    ++m_stream;
    m_isStreamOpen = true;
    m_hasReceivedState = false;
    m_hasRegistryOfStream = false;
    m_lastMessageAt = now;
    m_openedAt = now;
    m_followsStartNotice = false;
    effects.emplace_back(OpenWatchStream{m_rankedHosts[m_currentHost], m_stream});

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
    request.set_accepts_compact_servers(true);
    request.mutable_services()->Add(m_options.services.begin(), m_options.services.end());
    send(std::move(message), effects);
    sendReport(effects);
    if (m_flowRecords) {
        pb::WatchUp records;
        *records.mutable_flows() = m_flowRecords->toMessage();
        send(std::move(records), effects);
    }
}

WatchSubscriber::Effects WatchSubscriber::streamClosed(TimePoint now, std::uint64_t stream)
{
    Effects effects;
    if (m_isStreamOpen && stream == m_stream) {
        m_isStreamOpen = false;
        retryLater(now, effects);
    }
    return effects;
}

void WatchSubscriber::closeStream(TimePoint now, Effects &effects)
{
    effects.emplace_back(CloseWatchStream());
    m_isStreamOpen = false;
    retryLater(now, effects);
}

WatchSubscriber::Effects WatchSubscriber::controlHostStarted(TimePoint now, const HostAddress &address)
{
    Effects effects;
    const Duration streamAge = now - m_openedAt;
    // A stream to a host that has restarted is broken unless it was opened after the restart.
    const bool isStreamBroken = m_hasReceivedState && address == m_rankedHosts[m_currentHost] && streamAge > m_options.startNoticePeriod;
    const bool isReceivingState = m_isStreamOpen && m_hasReceivedState && now - m_lastMessageAt < m_options.silenceTimeout / 2;
    const bool isAttemptNew = m_isStreamOpen && m_followsStartNotice && streamAge < startNoticeAttemptTime;
    if ((isReceivingState && !isStreamBroken) || isAttemptNew) {
        return effects;
    }
    if (m_isStreamOpen) {
        effects.emplace_back(CloseWatchStream());
        m_isStreamOpen = false;
    }
    m_incomingRegistry.reset();
    if (std::find(m_rankedHosts.begin(), m_rankedHosts.end(), address) == m_rankedHosts.end()) {
        m_discoveredHosts.push_back(address);
        rankControlHosts();
    }
    m_currentHost = static_cast<std::size_t>(std::find(m_rankedHosts.begin(), m_rankedHosts.end(), address) - m_rankedHosts.begin());
    open(now, effects);
    m_followsStartNotice = true;
    return effects;
}

// Full jitter: the watchers of a control host that has failed do not connect to the others at the same time.
void WatchSubscriber::retryLater(TimePoint now, Effects &effects)
{
    m_incomingRegistry.reset();
    scheduleMove(now);
    m_currentHost = (m_currentHost + 1) % m_rankedHosts.size();
    // The wait grows with each round over all control hosts, not with each attempt: a host that was not tried yet may be reachable.
    const auto rounds = static_cast<std::uint32_t>(m_failures / m_rankedHosts.size());
    const Duration maxDelay = std::min(m_options.maxRetryDelay, m_options.initialRetryDelay * (1U << std::min(rounds, maxDoublings)));
    ++m_failures;
    m_nextAttempt = now + Duration(std::uniform_int_distribution<Duration::rep>(0, maxDelay.count())(m_random));
    const bool triedAll = m_failures % m_rankedHosts.size() == 0;
    if (triedAll && m_revision == 0) {
        effects.emplace_back(RequestPeerState());
    }
}

// State

Result<void> WatchSubscriber::checkMessage(pb::WatchDown &message) const
{
    if (message.has_config()) {
        BOOST_LEAF_CHECK(checkConfig(message.config()));
    }
    return message.has_registry() ? expandServers(*message.mutable_registry()) : Result<void>();
}

Result<void> WatchSubscriber::checkConfig(const pb::ConfigDelta &delta) const
{
    if (delta.revision() <= m_revision) {
        return {};
    }
    if (delta.has_routes() && delta.routes().version() < m_routes->version()) {
        return fail(ResultCode::BadRequest,
                    fmt::format("route table version {} of revision {} is lower than {}", delta.routes().version(), delta.revision(), m_routes->version()));
    }
    for (const pb::ServiceConfig &config : delta.services()) {
        const auto existing = m_services.find(config.service());
        if (existing == m_services.end()) {
            continue;
        }
        if (existing->second.service_id() != config.service_id()) {
            return fail(ResultCode::BadRequest,
                        fmt::format("service {}: identifier {} differs from {}", config.service(), config.service_id(), existing->second.service_id()));
        }
        if (config.revision() < existing->second.revision()) {
            return fail(ResultCode::BadRequest,
                        fmt::format("service {}: revision {} is lower than {}", config.service(), config.revision(), existing->second.revision()));
        }
    }
    return {};
}

WatchSubscriber::Effects WatchSubscriber::receive(TimePoint now, std::uint64_t stream, pb::WatchDown message)
{
    Effects effects;
    if (!m_isStreamOpen || stream != m_stream) {
        return effects;
    }
    m_receivedBytes += framedBytes(message);
    m_lastMessageAt = now;
    if (message.has_refused()) {
        closeStream(now, effects);
        return effects;
    }
    const bool isAccepted = handleFailure(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(checkMessage(message));
            return true;
        },
        [&](const Failure &failure) {
            effects.emplace_back(RefusedControlMessage{failure.detail});
            return false;
        });
    if (!isAccepted) {
        closeStream(now, effects);
        return effects;
    }
    if (!m_hasReceivedState) {
        m_hasReceivedState = true;
        m_failures = 0;
    }
    if (message.has_control_hosts()) {
        applyControlHosts(now, message.control_hosts(), effects);
    }
    const bool isConfigNew = message.has_config() && applyConfig(message.config());
    const bool isRegistryNew = message.has_registry() && applyRegistry(message.registry());
    if (isConfigNew || isRegistryNew) {
        publish(effects);
    }
    if (m_hasRegistryOfStream && !m_incomingRegistry) {
        effects.emplace_back(ConfirmServerList());
    }
    if (isConfigNew) {
        sendReport(effects);
    }
    return effects;
}

bool WatchSubscriber::applyConfig(const pb::ConfigDelta &delta)
{
    const bool areServicesNew = applyServices(delta);
    const bool areFlowKeysNew = applyFlowKeys(delta);
    m_staleConfigs += areServicesNew || areFlowKeysNew ? 0 : 1;
    return areServicesNew || areFlowKeysNew;
}

bool WatchSubscriber::applyServices(const pb::ConfigDelta &delta)
{
    if (delta.revision() <= m_revision) {
        return false;
    }
    if (delta.full()) {
        m_services.clear();
    }
    if (delta.has_routes()) {
        m_routes = std::make_shared<RouteTable>(delta.routes());
        m_routesMessage = delta.routes();
    }
    for (const pb::ServiceConfig &config : delta.services()) {
        m_services[config.service()] = config;
    }
    m_revision = delta.revision();
    return true;
}

bool WatchSubscriber::applyFlowKeys(const pb::ConfigDelta &delta)
{
    if (delta.flow_key_revision() <= m_flowKeyRevision) {
        return false;
    }
    m_flowKeys.assign(delta.flow_keys().begin(), delta.flow_keys().end());
    m_flowKeyRevision = delta.flow_key_revision();
    return true;
}

// Prevents a control host that lags from reinstating an incarnation that was replaced.
bool WatchSubscriber::isOutdated(const pb::ServerEntry &entry) const
{
    const auto existing = m_servers.find(entry.name());
    return existing != m_servers.end() && existing->second.order() > entry.order();
}

// A control host that removes an unresponsive server increments the observation; an announcement of the server itself has observation 0.
void WatchSubscriber::recordDeregistration(const pb::ServerEntry &entry)
{
    if (entry.state() != pb::SERVER_STATE_LEFT || entry.observation() != 0) {
        return;
    }
    const DeregisteredServer deregistered{parseHostAddress(entry.relay_address()).value_or(HostAddress()), Incarnation{entry.incarnation()}};
    if (std::find(m_deregistered.begin(), m_deregistered.end(), deregistered) == m_deregistered.end()) {
        m_deregistered.push_back(deregistered);
    }
    if (m_deregistered.size() > maxDeregisteredServers) {
        m_deregistered.pop_front();
    }
}

bool WatchSubscriber::applyRegistry(const pb::RegistryDelta &delta)
{
    if (delta.full()) {
        m_incomingRegistry.emplace();
    }
    Entries &target = m_incomingRegistry ? *m_incomingRegistry : m_servers;
    for (const pb::ServerEntry &entry : delta.servers()) {
        recordDeregistration(entry);
        target[entry.name()] = isOutdated(entry) ? m_servers.at(entry.name()) : entry;
    }
    if (delta.more()) {
        return false;
    }
    if (m_incomingRegistry) {
        m_servers = std::move(*m_incomingRegistry);
        m_incomingRegistry.reset();
    }
    std::erase_if(m_servers, [](const auto &entry) {
        return entry.second.state() == pb::SERVER_STATE_LEFT;
    });
    m_isRegistryComplete = delta.complete();
    m_registryEpoch = delta.epoch();
    m_registrySequence = delta.sequence();
    m_registryHost = m_rankedHosts[m_currentHost];
    m_hasRegistryOfStream = true;
    return true;
}

void WatchSubscriber::publish(Effects &effects)
{
    auto snapshot = std::make_shared<ConfigSnapshot>();
    snapshot->revision = m_revision;
    snapshot->flowKeyRevision = m_flowKeyRevision;
    snapshot->routes = m_routes;
    snapshot->deregisteredServers.assign(m_deregistered.begin(), m_deregistered.end());
    snapshot->hasRegistry = m_registrySequence != 0;
    snapshot->isRegistryComplete = m_isRegistryComplete;
    snapshot->registrySource = {m_registryHost, m_registryEpoch, m_registrySequence};
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
    checkInvariant(snapshot->revision >= m_snapshot->revision, "the revision in force never decreases");
    m_snapshot = snapshot;
    effects.emplace_back(PublishConfig{std::move(snapshot)});
}

// Reports and peers

WatchSubscriber::Effects WatchSubscriber::setFlowKeysInUse(std::vector<std::uint32_t> numbers)
{
    Effects effects;
    if (numbers != m_flowKeysInUse) {
        m_flowKeysInUse = std::move(numbers);
        if (m_isStreamOpen) {
            sendReport(effects);
        }
    }
    return effects;
}

WatchSubscriber::Effects WatchSubscriber::recordFlows(const pb::FlowRecords &change)
{
    Effects effects;
    const Incarnation incarnation{change.incarnation()};
    if (!m_flowRecords || m_flowRecords->incarnation() != incarnation) {
        m_flowRecords.emplace(incarnation);
    }
    const bool isApplied = handleFailure(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(m_flowRecords->apply(change));
            return true;
        },
        [](const Failure &) {
            return false;
        });
    checkInvariant(isApplied, "the local agent records flows with valid ports");
    if (m_isStreamOpen) {
        pb::WatchUp message;
        *message.mutable_flows() = change;
        send(std::move(message), effects);
    }
    return effects;
}

void WatchSubscriber::sendReport(Effects &effects)
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
    const bool isAccepted = handleFailure(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(checkConfig(state.config()));
            return true;
        },
        [&](const Failure &failure) {
            effects.emplace_back(RefusedControlMessage{failure.detail});
            return false;
        });
    if (!isAccepted) {
        return effects;
    }
    const bool isConfigNew = applyConfig(state.config());
    // The server list of a peer is used only if there is no local one, which would come from a control host.
    const bool areServersNew = m_servers.empty() && state.servers_size() > 0;
    if (areServersNew) {
        for (const pb::ServerEntry &entry : state.servers()) {
            m_servers[entry.name()] = entry;
        }
    }
    if (isConfigNew || areServersNew) {
        publish(effects);
    }
    if (isConfigNew && m_isStreamOpen) {
        sendReport(effects);
    }
    return effects;
}

pb::PeerState WatchSubscriber::peerState(const pb::PeerStateRequest &request) const
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
    if (m_routes->version() != 0) {
        *config.mutable_routes() = m_routesMessage;
    }
    if (request.revision() == 0) {
        for (const auto &[name, entry] : m_servers) {
            *state.add_servers() = entry;
        }
    }
    return state;
}

std::optional<TimePoint> WatchSubscriber::nextAttempt() const
{
    return m_isStreamOpen ? std::nullopt : std::optional(m_nextAttempt);
}

ConfigSnapshotPointer WatchSubscriber::snapshot() const
{
    return m_snapshot;
}

bool WatchSubscriber::isConnected() const
{
    return m_isStreamOpen && m_hasReceivedState;
}

HostAddress WatchSubscriber::controlHost() const
{
    return m_rankedHosts[m_currentHost];
}

bool WatchSubscriber::isControlHostInLocalZone() const
{
    return isInLocalZone(m_rankedHosts[m_currentHost]);
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
