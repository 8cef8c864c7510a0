#pragma once

#include <jujubequay/core/error.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace google::protobuf {
class MessageLite;
}

namespace Jujubequay {

using Bytes = std::vector<std::uint8_t>;

/// Largest message that a frame may hold, in bytes.
constexpr std::size_t maxFrameLength = 4U << 20U;

/// Serializes a message behind its 4-byte length in network byte order.
Bytes encodeFrame(const google::protobuf::MessageLite &message);

/// Splits a byte stream into frames. Memory is bounded by one frame and what was added since the last `next`.
///
///     FrameReader reader;
///     reader.add(received);
///     while (auto frame = reader.next()) { message.ParseFromArray(frame->data(), frame->size()); }
class FrameReader
{
public:
    explicit FrameReader(std::size_t maxLength = maxFrameLength);

    void add(std::span<const std::uint8_t> bytes);
    /// The next whole frame; empty when more bytes are needed or the stream is broken.
    std::optional<Bytes> next();
    /// True once a frame announced more than the largest length; the stream cannot be read further.
    bool isBroken() const;

private:
    std::size_t m_maxLength;
    Bytes m_buffer;
    std::size_t m_consumed = 0;
    bool m_broken = false;
};

/// Parses a serialized message; fails with ProtocolError.
template<class Message>
Result<Message> parseMessage(std::span<const std::uint8_t> bytes)
{
    Message message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return fail(ResultCode::ProtocolError, "message does not parse");
    }
    return message;
}

}
