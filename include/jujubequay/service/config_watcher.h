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

/// Drives a WatchSubscriber on the control thread: opens its streams, asks peers, and passes new states on.
class ConfigWatcher : public std::enable_shared_from_this<ConfigWatcher>
{
public:
    /// `clock`, `logger`, `client` and `random` outlive the watcher. `peers` serve "/peer".
    ConfigWatcher(asio::io_context &context,
                  const Clock &clock,
                  Logger &logger,
                  MessageClient &client,
                  WatchSubscriberOptions options,
                  std::vector<HostAddress> peers,
                  std::mt19937_64 &random,
                  ConfigSnapshotHandler onConfig,
                  std::function<void(const std::vector<HostAddress> &)> onControlHosts = {});

    void start();
    void stop();
    /// A refused opening showed that a newer state exists; a stream that is slow to deliver it is replaced at once.
    void refresh(std::uint64_t revision);
    void setFlowKeysInUse(std::vector<std::uint32_t> numbers);
    void controlHostStarted(const HostAddress &address);
    /// The control hosts of the settings, after a change.
    void setControlHosts(std::vector<HostAddress> addresses);

    /// Answers "/peer" streams of other balancers.
    MessageStreamHandlers acceptPeer(const std::shared_ptr<MessageStream> &stream);
    const WatchSubscriber &subscriber() const;

private:
    void scheduleTick();
    void apply(const WatchSubscriberEffects &effects);
    void open(const OpenWatchStream &effect);
    void askPeers(const jujubequay::pb::PeerStateRequest &request);

    asio::io_context &m_context;
    const Clock &m_clock;
    Logger &m_logger;
    MessageClient &m_client;
    const std::vector<HostAddress> m_peers;
    ConfigSnapshotHandler m_onConfig;
    std::function<void(const std::vector<HostAddress> &)> m_onControlHosts;
    WatchSubscriber m_subscriber;
    asio::steady_timer m_timer;
    std::shared_ptr<MessageStream> m_stream;
    std::uint64_t m_streamNumber = 0;
    std::vector<std::shared_ptr<MessageStream>> m_peerStreams;
    bool m_isStopped = false;
};

}
