#pragma once

#include <jujubequay/wire/framing.h>

#include <ngtcp2/ngtcp2.h>

#include <cstdint>
#include <deque>
#include <span>
#include <vector>

namespace Jujubequay {

/// Holds the bytes of one stream from `write` until they are acknowledged. Their memory addresses do not change, because ngtcp2 refers to them for
/// retransmission.
class SendBuffer
{
public:
    /// Appends bytes. `end` marks the end of the stream after them.
    void append(std::span<const std::uint8_t> bytes, bool end);

    /// True if bytes or the end of the stream have not been passed to ngtcp2 yet.
    bool hasUnsent() const;
    /// Returns the first unsent bytes in at most `limit` chunks.
    std::vector<ngtcp2_vec> unsent(std::size_t limit) const;
    /// True if the end of the stream directly follows the chunks that `unsent(limit)` returns.
    bool endsWithin(std::size_t limit) const;
    /// Records that ngtcp2 has accepted the next `bytes` and, if `end` is true, the end of the stream.
    void markSent(std::size_t bytes, bool end);
    /// Records that the peer has acknowledged all bytes up to `offset + length`. A length of 0 acknowledges an end of the stream that was sent without
    /// bytes. Returns the number of bytes freed.
    std::size_t acknowledge(std::uint64_t offset, std::uint64_t length);

    /// True if the peer has acknowledged the end of the stream and all bytes before it.
    bool isEndAcknowledged() const;
    /// True if the peer has acknowledged everything appended so far.
    bool isAcknowledged() const;
    /// Bytes held: queued or not acknowledged.
    std::size_t size() const;

private:
    std::deque<Bytes> m_chunks;
    std::uint64_t m_firstOffset = 0; ///< stream offset of the first chunk
    std::uint64_t m_sentOffset = 0; ///< stream offset after the last byte passed to ngtcp2
    std::uint64_t m_endOffset = 0; ///< stream offset after the last byte appended
    std::uint64_t m_acknowledgedOffset = 0; ///< stream offset up to which all bytes are acknowledged
    bool m_hasEnd = false;
    bool m_isEndSent = false;
    bool m_isEndSentAlone = false; ///< the end was sent in a frame without bytes
    bool m_isEndAcknowledged = false;
};

}
