#include <jujubequay/control/watch_server.h>
#include <jujubequay/control/watched_servers.h>
#include <jujubequay/core/result_code.h>

#include <algorithm>

namespace Jujubequay {

namespace pb = jujubequay::pb;

namespace {

/// Watchers that connect or fall behind one after the other have different positions. Bounds the memory for their messages.
constexpr std::size_t maxSharedDeltas = 32;

}

WatchServer::WatchServer(const ControlState &state, const LeaseRegistry &registry, ReportStore &reports, WatchServerOptions options)
    : m_state(state)
    , m_registry(registry)
    , m_reports(reports)
    , m_options(options)
{
}

void WatchServer::addWatcher(TimePoint now, WatcherId watcher)
{
    m_watchers[watcher].openedAt = now;
}

void WatchServer::receive(TimePoint now, WatcherId id, const pb::WatchUp &message)
{
    const auto found = m_watchers.find(id);
    if (found == m_watchers.end()) {
        return;
    }
    m_messages.addReceived(kindOf(message), framedBytes(message));
    Watcher &watcher = found->second;
    if (message.has_request() && !watcher.request) {
        const pb::WatchRequest &request = message.request();
        watcher.request = request;
        // A confirmation that was requested earlier does not cover entries that were committed since.
        watcher.requiredConfirmation = m_lastConfirmationNumber + 1;
        watcher.services = {request.services().begin(), request.services().end()};
        watcher.revision = request.revision();
        watcher.flowKeyRevision = request.flow_key_revision();
        watcher.registrySequence = request.registry_epoch() == m_registry.epoch() ? request.registry_sequence() : 0;
        watcher.hadRegistry = request.registry_epoch() != 0;
    }
    if (message.has_report() && watcher.request) {
        pb::HostInForce report;
        report.set_host(watcher.request->host());
        report.set_zone(watcher.request->zone());
        report.set_role(watcher.request->role());
        report.set_notice_address(watcher.request->notice_address());
        report.set_revision(message.report().revision_in_force());
        report.set_flow_key_revision(message.report().flow_key_revision());
        *report.mutable_flow_keys_in_use() = message.report().flow_keys_in_use();
        m_reports.addReport(now, std::move(report));
    }
}

void WatchServer::removeWatcher(TimePoint now, WatcherId id)
{
    const auto found = m_watchers.find(id);
    if (found == m_watchers.end()) {
        return;
    }
    const std::string host = found->second.request ? found->second.request->host() : std::string();
    m_watchers.erase(found);
    // The new stream of a host that reconnects may be opened before its old one ends.
    const bool isStillWatching = std::any_of(m_watchers.begin(), m_watchers.end(), [&host](const auto &entry) {
        return entry.second.request && entry.second.request->host() == host;
    });
    if (!host.empty() && !isStillWatching) {
        m_reports.hostDisconnected(now, host);
    }
}

void WatchServer::setQueuedBytes(WatcherId id, std::size_t bytes)
{
    const auto found = m_watchers.find(id);
    if (found != m_watchers.end()) {
        found->second.queuedBytes = bytes;
    }
}

void WatchServer::stateConfirmed(TimePoint now, std::uint64_t number)
{
    if (m_pendingConfirmation != number) {
        return;
    }
    m_pendingConfirmation.reset();
    m_lastConfirmedAt = now;
    for (auto &[id, watcher] : m_watchers) {
        if (watcher.requiredConfirmation <= number) {
            watcher.requiredConfirmation = 0;
        }
    }
}

void WatchServer::stateNotConfirmed(std::uint64_t number)
{
    if (m_pendingConfirmation == number) {
        m_pendingConfirmation.reset();
    }
}

void WatchServer::setRegistryFilled(bool isFilled)
{
    m_isRegistryFilled = isFilled;
}

void WatchServer::setStarting(bool isStarting)
{
    m_isStarting = isStarting;
}

void WatchServer::setRegistryStable(bool isStable)
{
    m_isRegistryStable = isStable;
}

void WatchServer::setRegistryComplete(bool isComplete)
{
    m_isRegistryComplete = isComplete;
}

void WatchServer::setControlHosts(std::vector<ControlHostLocation> controlHosts)
{
    std::sort(controlHosts.begin(), controlHosts.end(), [](const ControlHostLocation &left, const ControlHostLocation &right) {
        return left.address < right.address;
    });
    if (controlHosts != m_controlHosts) {
        m_controlHosts = std::move(controlHosts);
        ++m_controlHostsVersion;
    }
}

WatchServerEffects WatchServer::pump(TimePoint now)
{
    WatchServerEffects effects;
    requestConfirmation(now, effects);
    std::vector<WatcherId> closedWatchers;
    const bool hasState = m_state.revision() > 0;
    for (auto &[id, watcher] : m_watchers) {
        if (isConfirmationOverdue(now, watcher)) {
            pb::WatchDown message;
            message.set_refused(static_cast<std::uint32_t>(ResultCode::NoQuorum));
            send(id, std::make_shared<const pb::WatchDown>(std::move(message)), effects);
            closedWatchers.push_back(id);
        } else if (isStalled(now, watcher)) {
            closedWatchers.push_back(id);
        } else if (watcher.request && (watcher.requiredConfirmation == 0 || (m_isStarting && hasState && watcher.request->revision() == 0))) {
            serve(now, id, watcher, effects);
        }
    }
    for (const WatcherId id : closedWatchers) {
        effects.emplace_back(CloseWatcher{id});
        removeWatcher(now, id);
    }
    return effects;
}

void WatchServer::requestConfirmation(TimePoint now, WatchServerEffects &effects)
{
    const bool hasUnconfirmedWatcher = std::any_of(m_watchers.begin(), m_watchers.end(), [](const auto &entry) {
        return entry.second.request && entry.second.requiredConfirmation != 0;
    });
    const bool isDue = !m_watchers.empty() && now - m_confirmationRequestedAt >= m_options.confirmInterval;
    const bool hasTimedOut = m_pendingConfirmation && now - m_confirmationRequestedAt >= m_options.confirmInterval;
    if ((m_pendingConfirmation && !hasTimedOut) || !(hasUnconfirmedWatcher || isDue)) {
        return;
    }
    m_pendingConfirmation = ++m_lastConfirmationNumber;
    m_confirmationRequestedAt = now;
    effects.emplace_back(ConfirmState{m_lastConfirmationNumber});
}

bool WatchServer::isConfirmationOverdue(TimePoint now, const Watcher &watcher) const
{
    const TimePoint since = std::max(watcher.openedAt, m_lastConfirmedAt.value_or(TimePoint()));
    return now - since > m_options.confirmTimeout;
}

bool WatchServer::isStalled(TimePoint now, Watcher &watcher) const
{
    if (watcher.queuedBytes <= m_options.queueLimit) {
        watcher.stalledSince.reset();
        return false;
    }
    if (!watcher.stalledSince) {
        watcher.stalledSince = now;
    }
    return now - *watcher.stalledSince > m_options.stallTimeout;
}

void WatchServer::serve(TimePoint now, WatcherId id, Watcher &watcher, WatchServerEffects &effects)
{
    if (watcher.stalledSince) {
        return;
    }
    const std::size_t before = effects.size();
    sendConfig(id, watcher, effects);
    sendRegistry(now, id, watcher, effects);
    sendControlHosts(id, watcher, effects);
    if (effects.size() == before && now - watcher.lastSentAt >= m_options.heartbeat) {
        pb::WatchDown message;
        message.set_heartbeat(true);
        send(id, std::make_shared<const pb::WatchDown>(std::move(message)), effects);
    }
    if (effects.size() != before) {
        watcher.lastSentAt = now;
    }
}

void WatchServer::sendConfig(WatcherId id, Watcher &watcher, WatchServerEffects &effects)
{
    if (m_state.revision() <= watcher.revision && m_state.flowKeyRevision() <= watcher.flowKeyRevision) {
        return;
    }
    pb::WatchDown message;
    *message.mutable_config() = m_state.configAfter(watcher.revision, watcher.flowKeyRevision, watcher.services);
    watcher.revision = std::max(watcher.revision, m_state.revision());
    watcher.flowKeyRevision = std::max(watcher.flowKeyRevision, m_state.flowKeyRevision());
    send(id, std::make_shared<const pb::WatchDown>(std::move(message)), effects);
}

void WatchServer::sendControlHosts(WatcherId id, Watcher &watcher, WatchServerEffects &effects)
{
    if (watcher.controlHostsVersion == m_controlHostsVersion) {
        return;
    }
    pb::WatchDown message;
    for (const ControlHostLocation &controlHost : m_controlHosts) {
        message.mutable_control_hosts()->add_addresses(controlHost.address);
        message.mutable_control_hosts()->add_zones(controlHost.zone);
    }
    watcher.controlHostsVersion = m_controlHostsVersion;
    send(id, std::make_shared<const pb::WatchDown>(std::move(message)), effects);
}

void WatchServer::sendRegistry(TimePoint now, WatcherId id, Watcher &watcher, WatchServerEffects &effects)
{
    const bool isCompletenessSent = watcher.hasCompleteRegistry || !m_isRegistryComplete;
    const bool isCurrent = watcher.registrySequence != 0 && m_registry.visibleSequence() <= watcher.registrySequence && isCompletenessSent;
    const bool isUsableForNewWatchers = m_isRegistryStable || m_isRegistryComplete;
    const bool mayServeRegistry = m_isRegistryFilled || (isUsableForNewWatchers && !watcher.hadRegistry);
    const bool isDue = now - watcher.lastRegistryAt >= m_options.registryInterval || !isCompletenessSent;
    if (!mayServeRegistry || isCurrent || !isDue) {
        return;
    }
    const std::vector<Message> &messages = registryMessages(watcher);
    for (const Message &message : messages) {
        send(id, message, effects);
    }
    if (messages.empty() && !isCompletenessSent) {
        pb::WatchDown message;
        message.mutable_registry()->set_epoch(m_registry.epoch());
        message.mutable_registry()->set_sequence(m_registry.visibleSequence());
        message.mutable_registry()->set_complete(m_isRegistryComplete);
        send(id, std::make_shared<const pb::WatchDown>(std::move(message)), effects);
    }
    watcher.registrySequence = m_registry.visibleSequence();
    watcher.hasCompleteRegistry = m_isRegistryComplete;
    watcher.lastRegistryAt = now;
}

// Restarted watchers all need the full state, and most others have received the same deltas.
const std::vector<WatchServer::Message> &WatchServer::registryMessages(const Watcher &watcher)
{
    const bool areCurrent = m_registryMessagesSequence == m_registry.visibleSequence() && m_areRegistryMessagesComplete == m_isRegistryComplete;
    if (!areCurrent || m_registryMessages.size() >= maxSharedDeltas) {
        m_registryMessages.clear();
        m_registryMessagesSequence = m_registry.visibleSequence();
        m_areRegistryMessagesComplete = m_isRegistryComplete;
    }
    const bool acceptsCompactServers = watcher.request->accepts_compact_servers();
    const auto [entry, isNew] = m_registryMessages.try_emplace({watcher.registrySequence, watcher.services, acceptsCompactServers});
    if (isNew) {
        for (pb::RegistryDelta &delta : m_registry.changesAfter(watcher.registrySequence, watcher.services)) {
            delta.set_complete(m_isRegistryComplete);
            if (acceptsCompactServers) {
                compactServers(delta);
            }
            auto message = std::make_shared<pb::WatchDown>();
            *message->mutable_registry() = std::move(delta);
            entry->second.push_back(std::move(message));
        }
    }
    return entry->second;
}

void WatchServer::send(WatcherId id, Message message, WatchServerEffects &effects)
{
    m_messages.addSent(kindOf(*message), framedBytes(*message));
    effects.emplace_back(SendToWatcher{id, std::move(message)});
}

const MessageAccount &WatchServer::messages() const
{
    return m_messages;
}

std::size_t WatchServer::watcherCount() const
{
    return m_watchers.size();
}

std::vector<WatcherId> WatchServer::watchers() const
{
    std::vector<WatcherId> ids;
    for (const auto &[id, watcher] : m_watchers) {
        ids.push_back(id);
    }
    return ids;
}

}
