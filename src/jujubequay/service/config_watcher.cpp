#include <jujubequay/service/config_watcher.h>

namespace Jujubequay {

namespace {

namespace pb = jujubequay::pb;

constexpr auto tickInterval = std::chrono::milliseconds(100);

}

ConfigWatcher::ConfigWatcher(asio::io_context &context,
                             const Clock &clock,
                             Logger &logger,
                             MessageClient &client,
                             WatchSubscriberOptions options,
                             std::vector<HostAddress> peers,
                             std::mt19937_64 &random,
                             ConfigSnapshotHandler onConfig,
                             std::function<void(const std::vector<HostAddress> &)> onControlHosts,
                             std::function<void()> onServerListConfirmed)
    : m_context(context)
    , m_clock(clock)
    , m_logger(logger)
    , m_client(client)
    , m_peers(std::move(peers))
    , m_onConfig(std::move(onConfig))
    , m_onControlHosts(std::move(onControlHosts))
    , m_onServerListConfirmed(std::move(onServerListConfirmed))
    , m_subscriber(std::move(options), random)
    , m_timer(context)
{
}

void ConfigWatcher::start()
{
    apply(m_subscriber.tick(m_clock.now()));
    scheduleTick();
}

void ConfigWatcher::stop()
{
    m_isStopped = true;
    m_timer.cancel();
    if (m_watchStream) {
        m_watchStream->close();
    }
    m_peerStreams.clear();
}

void ConfigWatcher::fetchNewerConfig(std::uint64_t revision)
{
    if (revision > m_subscriber.snapshot()->revision && !m_peers.empty()) {
        pb::PeerStateRequest request;
        request.set_revision(m_subscriber.snapshot()->revision);
        queryPeers(request);
    }
}

void ConfigWatcher::fetchConfigFrom(const HostAddress &balancer)
{
    m_logger.info("config-fetched-from-peer", {{"peer", toString(balancer)}, {"revision", m_subscriber.snapshot()->revision}});
    m_peerStreams.clear();
    pb::PeerStateRequest request;
    request.set_revision(m_subscriber.snapshot()->revision);
    queryPeer(balancer, request);
}

void ConfigWatcher::setFlowKeysInUse(std::vector<std::uint32_t> numbers)
{
    apply(m_subscriber.setFlowKeysInUse(std::move(numbers)));
}

void ConfigWatcher::recordFlows(const pb::FlowRecords &change)
{
    apply(m_subscriber.recordFlows(change));
}

void ConfigWatcher::controlHostStarted(const HostAddress &address)
{
    const WatchSubscriberEffects effects = m_subscriber.controlHostStarted(m_clock.now(), address);
    if (!effects.empty()) {
        m_logger.info("control-host-started", {{"control_host", toString(address)}});
    }
    apply(effects);
}

void ConfigWatcher::setControlHosts(std::vector<HostAddress> addresses)
{
    m_subscriber.setControlHosts(std::move(addresses));
}

MessageStreamHandlers ConfigWatcher::acceptPeerStream(const std::shared_ptr<MessageStream> &stream)
{
    const auto handleMessage = [weak = weak_from_this(), weakStream = std::weak_ptr(stream)](const Bytes &bytes) {
        const auto self = weak.lock();
        const auto openStream = weakStream.lock();
        if (!self || !openStream) {
            return;
        }
        pb::PeerStateRequest request;
        if (request.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
            openStream->send(self->m_subscriber.peerState(request));
        } else {
            self->m_logger.warning("peer-request-refused", {{"peer", openStream->peer().name}, {"bytes", bytes.size()}});
        }
        openStream->close();
    };
    return {handleMessage, [](ResultCode) {}};
}

const WatchSubscriber &ConfigWatcher::subscriber() const
{
    return m_subscriber;
}

void ConfigWatcher::scheduleTick()
{
    const TimePoint regularTick = m_clock.now() + tickInterval;
    m_timer.expires_at(std::min(regularTick, m_subscriber.nextAttempt().value_or(regularTick)));
    m_timer.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (error || self->m_isStopped) {
            return;
        }
        self->apply(self->m_subscriber.tick(self->m_clock.now()));
        self->scheduleTick();
    });
}

void ConfigWatcher::apply(const WatchSubscriberEffects &effects)
{
    struct Visitor {
        ConfigWatcher &watcher;

        void operator()(const OpenWatchStream &effect) const
        {
            watcher.openWatchStream(effect);
        }
        void operator()(const SendToControl &effect) const
        {
            if (watcher.m_watchStream) {
                watcher.m_watchStream->send(effect.message);
            }
        }
        void operator()(const CloseWatchStream &) const
        {
            if (watcher.m_watchStream) {
                std::exchange(watcher.m_watchStream, nullptr)->close();
            }
        }
        void operator()(const RequestPeerState &effect) const
        {
            watcher.queryPeers(effect.request);
        }
        void operator()(const RefusedControlMessage &effect) const
        {
            watcher.m_logger.error("control-message-refused", {{"control_host", toString(watcher.m_subscriber.controlHost())}, {"cause", effect.detail}});
        }
        void operator()(const PublishConfig &effect) const
        {
            const ConfigSnapshot &snapshot = *effect.snapshot;
            watcher.m_logger.info("config-in-force",
                                  {{"revision", snapshot.revision},
                                   {"routes_version", snapshot.routes->version()},
                                   {"services", snapshot.services.size()},
                                   {"servers", snapshot.servers.size()},
                                   {"control_host", toString(watcher.m_subscriber.controlHost())}});
            watcher.m_onConfig(effect.snapshot);
        }
        void operator()(const ConfirmServerList &) const
        {
            if (watcher.m_onServerListConfirmed) {
                watcher.m_onServerListConfirmed();
            }
        }
        void operator()(const PublishControlHosts &effect) const
        {
            watcher.m_logger.info("control-hosts", {{"count", effect.addresses.size()}, {"first", toString(effect.addresses.front())}});
            if (watcher.m_onControlHosts) {
                watcher.m_onControlHosts(effect.addresses);
            }
        }
    };
    for (const WatchSubscriberEffect &effect : effects) {
        std::visit(Visitor{*this}, effect);
    }
}

void ConfigWatcher::openWatchStream(const OpenWatchStream &effect)
{
    MessageStreamHandlers handlers;
    handlers.message = [weak = weak_from_this(), number = effect.stream](const Bytes &bytes) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        pb::WatchDown message;
        if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
            self->m_logger.error("control-message-refused", {{"cause", "not a message of the watch stream"}, {"bytes", bytes.size()}});
            return;
        }
        self->apply(self->m_subscriber.receive(self->m_clock.now(), number, std::move(message)));
    };
    handlers.closed = [weak = weak_from_this(), number = effect.stream](ResultCode cause) {
        const auto self = weak.lock();
        if (!self || self->m_isStopped) {
            return;
        }
        self->m_logger.warning("watch-stream-ended", {{"cause", resultName(cause)}});
        if (self->m_watchStreamNumber == number) {
            self->m_watchStream.reset();
        }
        self->apply(self->m_subscriber.streamClosed(self->m_clock.now(), number));
    };
    m_watchStreamNumber = effect.stream;
    m_watchStream = m_client.open(effect.address, "/watch", std::move(handlers));
}

void ConfigWatcher::queryPeers(const pb::PeerStateRequest &request)
{
    m_peerStreams.clear();
    for (const HostAddress &peer : m_peers) {
        queryPeer(peer, request);
    }
}

void ConfigWatcher::queryPeer(const HostAddress &peer, const pb::PeerStateRequest &request)
{
    MessageStreamHandlers handlers;
    handlers.message = [weak = weak_from_this(), peer](const Bytes &bytes) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        pb::PeerState state;
        if (!state.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
            self->m_logger.error("peer-state-refused", {{"peer", toString(peer)}, {"cause", "not a peer state"}, {"bytes", bytes.size()}});
            return;
        }
        self->apply(self->m_subscriber.applyPeerState(state));
    };
    handlers.closed = [](ResultCode) {};
    const auto stream = m_client.open(peer, "/peer", std::move(handlers));
    stream->send(request);
    m_peerStreams.push_back(stream);
}

}
