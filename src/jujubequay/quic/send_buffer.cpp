#include "send_buffer.h"

#include <algorithm>

namespace Jujubequay {

void SendBuffer::append(std::span<const std::uint8_t> bytes, bool end)
{
    if (!bytes.empty()) {
        m_chunks.emplace_back(bytes.begin(), bytes.end());
        m_endOffset += bytes.size();
    }
    m_hasEnd = m_hasEnd || end;
}

bool SendBuffer::hasUnsent() const
{
    return m_sentOffset < m_endOffset || (m_hasEnd && !m_isEndSent);
}

std::vector<ngtcp2_vec> SendBuffer::unsent(std::size_t limit) const
{
    std::vector<ngtcp2_vec> chunks;
    std::uint64_t chunkOffset = m_firstOffset;
    for (const Bytes &chunk : m_chunks) {
        const std::uint64_t chunkEnd = chunkOffset + chunk.size();
        if (chunkEnd > m_sentOffset && chunks.size() < limit) {
            const std::uint64_t skip = std::max(chunkOffset, m_sentOffset) - chunkOffset;
            chunks.push_back({const_cast<std::uint8_t *>(chunk.data()) + skip, chunk.size() - skip});
        }
        chunkOffset = chunkEnd;
    }
    return chunks;
}

bool SendBuffer::endsWithin(std::size_t limit) const
{
    std::size_t unsentChunks = 0;
    std::uint64_t chunkEnd = m_firstOffset;
    for (const Bytes &chunk : m_chunks) {
        chunkEnd += chunk.size();
        unsentChunks += chunkEnd > m_sentOffset ? 1 : 0;
    }
    return m_hasEnd && unsentChunks <= limit;
}

void SendBuffer::markSent(std::size_t bytes, bool end)
{
    m_sentOffset += bytes;
    if (end && !m_isEndSent) {
        m_isEndSent = true;
        m_isEndSentAlone = bytes == 0;
    }
}

std::size_t SendBuffer::acknowledge(std::uint64_t offset, std::uint64_t length)
{
    m_acknowledgedOffset = std::max(m_acknowledgedOffset, offset + length);
    if (m_isEndSent && m_acknowledgedOffset == m_endOffset && (length == 0 || !m_isEndSentAlone)) {
        m_isEndAcknowledged = true;
    }
    std::size_t freed = 0;
    while (!m_chunks.empty() && m_firstOffset + m_chunks.front().size() <= m_acknowledgedOffset) {
        freed += m_chunks.front().size();
        m_firstOffset += m_chunks.front().size();
        m_chunks.pop_front();
    }
    return freed;
}

bool SendBuffer::isEndAcknowledged() const
{
    return m_isEndAcknowledged;
}

bool SendBuffer::isAcknowledged() const
{
    return m_acknowledgedOffset == m_endOffset && (!m_hasEnd || m_isEndAcknowledged);
}

std::size_t SendBuffer::size() const
{
    return m_endOffset - m_firstOffset;
}

}
