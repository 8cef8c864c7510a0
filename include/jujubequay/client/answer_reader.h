#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/core/result_code.h>
#include <jujubequay/policy/load_estimate.h>
#include <jujubequay/wire/digest.h>
#include <jujubequay/wire/framing.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace jujubequay::pb {
class AgentMessage;
}

namespace Jujubequay {

/// How one attempt ended.
struct AttemptOutcome {
    ResultCode result = ResultCode::Ok;
    std::string detail;
    Duration retryAfter{};
    std::uint64_t position = 0; ///< feeds: position at which the server ended
    std::optional<LoadReport> load; ///< of the server at the end of the answer
};

/// A part of a feed as one attempt received it.
struct FeedPart {
    Bytes data;
    std::uint64_t position = 0;
};

/// Reads the answer on one request stream. An answer counts only with its trailer, and only if length and digest match;
/// otherwise the outcome is AnswerIncomplete.
class AnswerReader
{
public:
    /// `maxBytes` bounds the body of an answer that is not a feed.
    AnswerReader(bool isFeed, std::size_t maxBytes);

    /// Bytes of the stream in order. Ignored once there is an outcome.
    void add(std::span<const std::uint8_t> bytes, bool end);
    /// The stream was reset or its flow was lost.
    void abort();

    /// Set once the answer is over.
    const std::optional<AttemptOutcome> &outcome() const;
    /// Parts of a feed since the last call.
    std::vector<FeedPart> takeParts();
    /// The body; for use once there is an outcome.
    Bytes takeBody();

private:
    void handle(const jujubequay::pb::AgentMessage &message);
    void incomplete(std::string detail);

    const bool m_isFeed;
    const std::size_t m_maxBytes;
    FrameReader m_frames;
    Digest m_digest;
    std::uint64_t m_length = 0;
    Bytes m_body;
    std::vector<FeedPart> m_parts;
    std::optional<AttemptOutcome> m_header;
    std::optional<AttemptOutcome> m_outcome;
};

}
