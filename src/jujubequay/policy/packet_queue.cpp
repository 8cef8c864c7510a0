#include <jujubequay/policy/packet_queue.h>

#include <utility>

namespace Jujubequay {

PacketQueue::PacketQueue(PacketQueueOptions options)
    : m_options(options)
{
}

void PacketQueue::push(TimePoint now, std::span<const std::uint8_t> packet)
{
    m_packets.push_back({now, {packet.begin(), packet.end()}});
    m_bytes += packet.size();
    while (m_bytes > m_options.maxBytes) {
        removeFront();
        ++m_dropped;
    }
}

std::optional<std::vector<std::uint8_t>> PacketQueue::popOldest(TimePoint now)
{
    while (!m_packets.empty()) {
        const bool isFresh = now - m_packets.front().addedAt <= m_options.maxAge;
        std::vector<std::uint8_t> packet = removeFront();
        if (isFresh) {
            return packet;
        }
        ++m_dropped;
    }
    return std::nullopt;
}

std::vector<std::uint8_t> PacketQueue::removeFront()
{
    std::vector<std::uint8_t> packet = std::move(m_packets.front().packet);
    m_packets.pop_front();
    m_bytes -= packet.size();
    return packet;
}

std::size_t PacketQueue::size() const
{
    return m_packets.size();
}

std::uint64_t PacketQueue::droppedCount() const
{
    return m_dropped;
}

}
