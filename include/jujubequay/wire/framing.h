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

/// Maximum length of the message in a frame, in bytes.
constexpr std::size_t maxFrameLength = 4U << 20U;

/// Serializes a message, prefixed with its length as 4 bytes in network byte order.
Bytes encodeFrame(const google::protobuf::MessageLite &message);

/// Splits a byte stream into frames. Memory use is bounded by one frame plus the bytes added since the last call of `nextFrame`.
///
///     FrameReader reader;
///     reader.add(received);
///     while (auto frame = reader.nextFrame()) { message.ParseFromArray(frame->data(), frame->size()); }
class FrameReader
{
public:
    explicit FrameReader(std::size_t maxLength = maxFrameLength);

    void add(std::span<const std::uint8_t> bytes);
    /// Returns the message of the next complete frame; empty if more bytes are needed or the stream is broken.
    std::optional<Bytes> nextFrame();
    /// True after a frame's length field exceeded the maximum length. No further frames can be read from the stream.
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
        return fail(ResultCode::ProtocolError, "invalid protobuf message");
    }
    return message;
}

}
