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

/// What one balancer thread uses; replaced as a whole.
struct BalancerPathConfig {
    std::shared_ptr<const ForwardingTable> table;
    std::vector<EntryPoint> entryPoints;
};

/// Counters of one thread; readable from other threads.
struct BalancerPathCounters {
    std::atomic<std::uint64_t> forwarded{0}; ///< datagrams of open flows, to agents
    std::atomic<std::uint64_t> opened{0}; ///< opening datagrams, to agents
    std::atomic<std::uint64_t> replied{0}; ///< datagrams to callers
    std::atomic<std::uint64_t> staleHints{0}; ///< openings that an agent refused as stale
    std::atomic<std::uint64_t> notSent{0}; ///< datagrams that a socket did not take
    std::array<std::atomic<std::uint64_t>, 6> dropped{}; ///< by DropCause
    std::array<std::atomic<std::uint64_t>, 5> badReplies{}; ///< by RelayError
    std::atomic<std::uint64_t> unknownEntry{0}; ///< replies for an address that is not bound here
};

/// The data path of one balancer thread: datagrams from callers to agents and replies back. Keeps nothing per flow.
/// All calls but `counters` are made on the thread that runs `context`.
class BalancerPath
{
public:
    /// Called with the service and the revision of an agent that refused an opening as stale.
    using StaleHandler = std::function<void(ServiceId service, std::uint64_t revision)>;

    /// Binds the relay socket. Fails with AddressUnavailable.
    static Result<std::unique_ptr<BalancerPath>> create(asio::io_context &context, const HostAddress &relayAddress, StaleHandler onStale);

    /// Binds new entry points, closes those that are gone and uses the new table from now on. An entry point that cannot
    /// be bound is left out and returned.
    std::vector<EntryPoint> apply(BalancerPathConfig config);

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
    Entry *m_replyEntry = nullptr; ///< the entry whose socket sends what m_toCallers holds
    BalancerPathCounters m_counters;
};

}
