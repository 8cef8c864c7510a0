#include <jujubequay/wire/byte_order.h>
#include <jujubequay/wire/framing.h>

#include <google/protobuf/message_lite.h>

namespace Jujubequay {

namespace {

constexpr std::size_t lengthSize = sizeof(std::uint32_t);

}

Bytes encodeFrame(const google::protobuf::MessageLite &message)
{
    const std::size_t length = message.ByteSizeLong();
    Bytes frame(lengthSize + length);
    writeBigEndian(frame.data(), static_cast<std::uint32_t>(length));
    message.SerializeWithCachedSizesToArray(frame.data() + lengthSize);
    return frame;
}

FrameReader::FrameReader(std::size_t maxLength)
    : m_maxLength(maxLength)
{
}

void FrameReader::add(std::span<const std::uint8_t> bytes)
{
    if (m_broken) {
        return;
    }
    m_buffer.erase(m_buffer.begin(), m_buffer.begin() + static_cast<std::ptrdiff_t>(m_consumed));
    m_consumed = 0;
    m_buffer.insert(m_buffer.end(), bytes.begin(), bytes.end());
}

std::optional<Bytes> FrameReader::nextFrame()
{
    if (m_broken || m_buffer.size() - m_consumed < lengthSize) {
        return std::nullopt;
    }
    const std::uint8_t *in = m_buffer.data() + m_consumed;
    const std::size_t length = readBigEndian<std::uint32_t>(in);
    if (length > m_maxLength) {
        m_broken = true;
        m_buffer.clear();
        m_consumed = 0;
        return std::nullopt;
    }
    if (m_buffer.size() - m_consumed - lengthSize < length) {
        return std::nullopt;
    }
    m_consumed += lengthSize + length;
    return Bytes(in, in + length);
}

bool FrameReader::isBroken() const
{
    return m_broken;
}

}
