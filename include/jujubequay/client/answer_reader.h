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
    Duration retryAfter{}; ///< shortest wait before the next attempt, as the agent requested
    std::uint64_t position = 0; ///< feeds: position after the last part that the server sent
    std::optional<LoadReport> load; ///< load of the backend server at the end of the answer
};

/// A part of a feed as one attempt received it.
struct FeedPart {
    Bytes data;
    std::uint64_t position = 0; ///< position of the feed after this part
};

/// Reads the answer on one request stream. An answer is complete only with its trailer, and only if the length and digest in the trailer
/// match the body; otherwise the outcome is AnswerIncomplete.
class AnswerReader
{
public:
    /// `maxBytes` bounds the body of an answer that is not a feed.
    AnswerReader(bool isFeed, std::size_t maxBytes);

    /// Takes the next bytes of the stream; `end` marks the end of the stream. Ignored once there is an outcome.
    void add(std::span<const std::uint8_t> bytes, bool end);
    /// Must be called when the stream was reset or its flow has ended. The outcome becomes AnswerIncomplete unless there is one.
    void abort();

    /// Empty until the answer is complete or has failed.
    const std::optional<AttemptOutcome> &outcome() const;
    /// Returns the parts of a feed that arrived since the last call.
    std::vector<FeedPart> takeParts();
    /// Returns the body. Valid once there is an outcome.
    Bytes takeBody();

private:
    void handle(const jujubequay::pb::AgentMessage &message);
    void failIncomplete(std::string detail);

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
