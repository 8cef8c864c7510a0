#pragma once

#include <jujubequay/core/error.h>
#include <jujubequay/datapath/datagram_batch.h>
#include <jujubequay/datapath/udp_socket.h>
#include <jujubequay/flow/forwarder.h>

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace Jujubequay {

/// An address on which callers reach a service through this balancer.
struct EntryPoint {
    ServiceId service;
    HostAddress address;
    auto operator<=>(const EntryPoint &) const = default;
};

/// The configuration of one balancer thread. It is replaced as a whole.
struct BalancerPathConfig {
    std::shared_ptr<const ForwardingTable> table; ///< not null
    std::vector<EntryPoint> entryPoints;
};

/// Counters of one thread, which other threads may read.
struct BalancerPathCounters {
    std::atomic<std::uint64_t> forwarded{0}; ///< datagrams of open flows that were forwarded to agents
    std::atomic<std::uint64_t> forwardedInitials{0}; ///< Initial packets that were forwarded to agents
    std::atomic<std::uint64_t> replied{0}; ///< datagrams that were sent to callers
    std::atomic<std::uint64_t> staleRefusals{0}; ///< Initial packets that an agent refused because this balancer's configuration is stale
    std::atomic<std::uint64_t> unsentDatagrams{0}; ///< datagrams that a socket did not accept
    std::array<std::atomic<std::uint64_t>, 6> dropped{}; ///< datagrams from callers that were dropped, by DropCause
    std::array<std::atomic<std::uint64_t>, 5> badReplies{}; ///< datagrams from agents that were dropped, by RelayError
    std::atomic<std::uint64_t> unknownEntryReplies{0}; ///< replies that were dropped because their entry address is not bound
};

/// The data path of one balancer thread: forwards datagrams from callers to agents and replies from agents to callers. Holds no
/// state of flows.
/// All calls but `counters` are made on the thread that runs `context`.
class BalancerPath
{
public:
    /// Called when an agent has refused an Initial packet as stale, with the service and the agent's configuration revision.
    using StaleHandler = std::function<void(ServiceId service, std::uint64_t revision)>;

    /// Binds the relay socket. Fails with AddressUnavailable.
    static Result<std::unique_ptr<BalancerPath>> create(asio::io_context &context, const HostAddress &relayAddress, StaleHandler onStale);

    /// Replaces the table, binds new entry points and closes those that are not in `config`. Returns the entry points that
    /// could not be bound.
    std::vector<EntryPoint> apply(BalancerPathConfig config);

    /// Closes all sockets; datagrams that have not been read are lost. The object must exist until its context has run the pending handlers.
    void stop();
    HostAddress relayAddress() const;
    const BalancerPathCounters &counters() const;

private:
    struct Entry {
        EntryPoint point;
        asio::ip::udp::socket socket;
    };

    BalancerPath(asio::io_context &context, asio::ip::udp::socket relay, StaleHandler onStale);

    void waitForCallers(const std::shared_ptr<Entry> &entry);
    void waitForAgents();
    void forwardBatch(const Entry &entry, std::size_t count);
    void replyBatch(std::size_t count);
    void handleReply(std::span<const std::uint8_t> datagram);
    void flushReplies();
    void count(std::atomic<std::uint64_t> &counter, std::uint64_t amount = 1);

    asio::io_context &m_context;
    asio::ip::udp::socket m_relay;
    const HostAddress m_relayAddress;
    StaleHandler m_onStale;
    std::shared_ptr<const ForwardingTable> m_table;
    std::map<HostAddress, std::shared_ptr<Entry>> m_entries;
    DatagramReader m_reader;
    DatagramWriter m_toAgents;
    DatagramWriter m_toCallers;
    Entry *m_replyEntry = nullptr; ///< the entry whose socket sends the datagrams in m_toCallers; null if there are none
    BalancerPathCounters m_counters;
};

}
