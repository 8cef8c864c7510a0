#pragma once

#include <jujubequay/control/watch_subscriber.h>
#include <jujubequay/core/log.h>
#include <jujubequay/net/message_stream.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <memory>
#include <random>
#include <vector>

namespace Jujubequay {

/// Runs a WatchSubscriber on the control thread: opens its streams, queries peers, and passes new configurations,
/// confirmations of the server list and control hosts to the handlers.
class ConfigWatcher : public std::enable_shared_from_this<ConfigWatcher>
{
public:
    /// `clock`, `logger`, `client` and `random` must outlive the watcher. `peers` are balancers that serve "/peer".
    ConfigWatcher(asio::io_context &context,
                  const Clock &clock,
                  Logger &logger,
                  MessageClient &client,
                  WatchSubscriberOptions options,
                  std::vector<HostAddress> peers,
                  std::mt19937_64 &random,
                  ConfigSnapshotHandler onConfig,
                  std::function<void(const std::vector<HostAddress> &)> onControlHosts = {},
                  std::function<void()> onServerListConfirmed = {});

    void start();
    void stop();
    /// Queries the peers for their configuration if the local one is older than `revision`. To be called when an agent has
    /// refused an Initial packet because its configuration has this revision; the watch stream may deliver it later.
    void fetchNewerConfig(std::uint64_t revision);
    /// Queries another balancer for its configuration, which is newer than the local one.
    void fetchConfigFrom(const HostAddress &balancer);
    /// Reports the numbers of the flow keys that open flows use.
    void setFlowKeysInUse(std::vector<std::uint32_t> numbers);
    /// Reports changes of the open flows of the local server.
    void recordFlows(const jujubequay::pb::FlowRecords &change);
    /// Handles a notice that the control host at this address has started.
    void controlHostStarted(const HostAddress &address);
    /// Replaces the control hosts of the settings.
    void setControlHosts(std::vector<HostAddress> addresses);

    /// Accepts a "/peer" stream, on which another balancer requests the local configuration.
    MessageStreamHandlers acceptPeerStream(const std::shared_ptr<MessageStream> &stream);
    const WatchSubscriber &subscriber() const;

private:
    void scheduleTick();
    void apply(const WatchSubscriberEffects &effects);
    void openWatchStream(const OpenWatchStream &effect);
    void queryPeers(const jujubequay::pb::PeerStateRequest &request);
    void queryPeer(const HostAddress &peer, const jujubequay::pb::PeerStateRequest &request);

    asio::io_context &m_context;
    const Clock &m_clock;
    Logger &m_logger;
    MessageClient &m_client;
    const std::vector<HostAddress> m_peers;
    ConfigSnapshotHandler m_onConfig;
    std::function<void(const std::vector<HostAddress> &)> m_onControlHosts;
    std::function<void()> m_onServerListConfirmed;
    WatchSubscriber m_subscriber;
    asio::steady_timer m_timer;
    std::shared_ptr<MessageStream> m_watchStream; ///< null while no watch stream is open
    std::uint64_t m_watchStreamNumber = 0;
    std::vector<std::shared_ptr<MessageStream>> m_peerStreams; ///< streams of the latest query to the peers
    bool m_isStopped = false;
};

}
