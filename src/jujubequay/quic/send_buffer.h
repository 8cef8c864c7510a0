#pragma once

#include <jujubequay/wire/framing.h>

#include <ngtcp2/ngtcp2.h>

#include <cstdint>
#include <deque>
#include <span>
#include <vector>

namespace Jujubequay {

/// Bytes of one stream from `write` until they are acknowledged. Keeps them at a fixed place, as ngtcp2 refers to
/// them for retransmission.
class SendBuffer
{
public:
    void append(std::span<const std::uint8_t> bytes, bool end);

    /// True if bytes or the end of the stream were not handed to ngtcp2 yet.
    bool hasUnsent() const;
    /// At most `limit` pieces of the unsent bytes.
    std::vector<ngtcp2_vec> unsent(std::size_t limit) const;
    /// True if the end follows directly after the pieces that `unsent(limit)` returns.
    bool endsWithin(std::size_t limit) const;
    /// `bytes` were handed over; `end` if the end of the stream was as well.
    void markSent(std::size_t bytes, bool end);
    /// Everything up to `offset + length` has arrived; a length of 0 acknowledges an end that was sent alone. Returns
    /// the number of bytes freed.
    std::size_t acknowledge(std::uint64_t offset, std::uint64_t length);

    /// True if the end of the stream and all bytes before it have arrived.
    bool isEndAcknowledged() const;
    /// True if everything appended so far has arrived.
    bool isAcknowledged() const;
    /// Bytes held: queued or not acknowledged.
    std::size_t size() const;

private:
    std::deque<Bytes> m_chunks;
    std::uint64_t m_firstOffset = 0; ///< stream offset of the first chunk
    std::uint64_t m_sentOffset = 0;
    std::uint64_t m_endOffset = 0;
    std::uint64_t m_acknowledged = 0;
    bool m_hasEnd = false;
    bool m_endSent = false;
    bool m_endSentAlone = false; ///< in a frame without bytes
    bool m_endAcknowledged = false;
};

}
