#include <jujubequay/datapath/balancer_path.h>
#include <jujubequay/datapath/read_batches.h>

#include <algorithm>

namespace Jujubequay {

Result<std::unique_ptr<BalancerPath>> BalancerPath::create(asio::io_context &context, const HostAddress &relayAddress, StaleHandler onStale)
{
    BOOST_LEAF_AUTO(relay, bindUdpSocket(context, relayAddress));
    std::unique_ptr<BalancerPath> path(new BalancerPath(context, std::move(relay), std::move(onStale)));
    path->waitForAgents();
    return path;
}

BalancerPath::BalancerPath(asio::io_context &context, asio::ip::udp::socket relay, StaleHandler onStale)
    : m_context(context)
    , m_relay(std::move(relay))
    , m_relayAddress(localAddress(m_relay))
    , m_onStale(std::move(onStale))
    , m_table(std::make_shared<ForwardingTable>())
    , m_reader(relayHeaderLength)
{
}

std::vector<EntryPoint> BalancerPath::apply(BalancerPathConfig config)
{
    m_table = std::move(config.table);
    std::map<HostAddress, std::shared_ptr<Entry>> entries;
    std::vector<EntryPoint> unbound;
    for (const EntryPoint &point : config.entryPoints) {
        const auto existing = m_entries.find(point.address);
        if (existing != m_entries.end() && existing->second->point == point) {
            entries.insert(*existing);
            continue;
        }
        if (existing != m_entries.end()) {
            existing->second->socket.close();
        }
        auto socket = bindUdpSocket(m_context, point.address, {.reusePort = true});
        if (!socket) {
            unbound.push_back(point);
            continue;
        }
        const auto entry = std::make_shared<Entry>(Entry{point, std::move(*socket)});
        entries.emplace(point.address, entry);
        waitForCallers(entry);
    }
    for (const auto &[address, entry] : m_entries) {
        if (!entries.contains(address)) {
            entry->socket.close();
        }
    }
    m_entries = std::move(entries);
    return unbound;
}

void BalancerPath::stop()
{
    m_relay.close();
    for (const auto &[address, entry] : m_entries) {
        entry->socket.close();
    }
}

HostAddress BalancerPath::relayAddress() const
{
    return m_relayAddress;
}

const BalancerPathCounters &BalancerPath::counters() const
{
    return m_counters;
}

void BalancerPath::waitForCallers(const std::shared_ptr<Entry> &entry)
{
    readBatches(entry->socket, m_reader, [this, entry](std::size_t count) {
        forwardBatch(*entry, count);
    });
}

void BalancerPath::waitForAgents()
{
    readBatches(m_relay, m_reader, [this](std::size_t count) {
        replyBatch(count);
    });
}

void BalancerPath::forwardBatch(const Entry &entry, std::size_t count)
{
    Arrival arrival{entry.point.service, entry.point.address, {}, m_relayAddress};
    for (std::size_t index = 0; index < count; ++index) {
        arrival.caller = m_reader.source(index);
        const auto datagram = m_reader.datagram(index);
        const ForwardDecision decision = decideForward(*m_table, arrival, datagram);
        if (const Drop *drop = std::get_if<Drop>(&decision)) {
            this->count(m_counters.dropped[static_cast<std::size_t>(drop->cause)]);
            continue;
        }
        const ForwardTo &forward = std::get<ForwardTo>(decision);
        const auto relayed = m_reader.withHeadroom(index);
        encodeRelayHeader(m_table->keys, forward.header, datagram, relayed);
        m_toAgents.add(forward.agent, relayed);
        this->count(forward.header.kind == RelayKind::Initial ? m_counters.forwardedInitials : m_counters.forwarded);
    }
    this->count(m_counters.unsentDatagrams, m_toAgents.flush(m_relay.native_handle()));
}

void BalancerPath::replyBatch(std::size_t count)
{
    for (std::size_t index = 0; index < count; ++index) {
        handleReply(m_reader.datagram(index));
    }
    flushReplies();
}

void BalancerPath::handleReply(std::span<const std::uint8_t> datagram)
{
    RelayError error{};
    const auto relay = decodeRelay(m_table->keys, datagram, error);
    if (!relay) {
        count(m_counters.badReplies[static_cast<std::size_t>(error)]);
        return;
    }
    if (relay->header.kind == RelayKind::StaleConfig) {
        count(m_counters.staleRefusals);
        m_onStale(relay->header.service, relay->header.revision);
        return;
    }
    if (relay->header.kind != RelayKind::Reply) {
        count(m_counters.badReplies[static_cast<std::size_t>(RelayError::BadKind)]);
        return;
    }
    const auto entry = m_entries.find(relay->header.entry);
    if (entry == m_entries.end()) {
        count(m_counters.unknownEntryReplies);
        return;
    }
    const bool needsFlush = m_replyEntry != entry->second.get() || m_toCallers.isFull();
    if (needsFlush) {
        flushReplies();
        m_replyEntry = entry->second.get();
    }
    m_toCallers.add(relay->header.caller, relay->payload);
    count(m_counters.replied);
}

void BalancerPath::flushReplies()
{
    if (m_replyEntry != nullptr) {
        count(m_counters.unsentDatagrams, m_toCallers.flush(m_replyEntry->socket.native_handle()));
    }
    m_replyEntry = nullptr;
}

void BalancerPath::count(std::atomic<std::uint64_t> &counter, std::uint64_t amount)
{
    // Only this thread writes the counter. A separate load and store avoid a locked instruction for each datagram.
    counter.store(counter.load(std::memory_order_relaxed) + amount, std::memory_order_relaxed);
}

}
