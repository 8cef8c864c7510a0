#include <jujubequay/client/answer_reader.h>

#include <request.pb.h>

#include <algorithm>
#include <utility>

namespace Jujubequay {

namespace pb = jujubequay::pb;

AnswerReader::AnswerReader(bool isFeed, std::size_t maxBytes)
    : m_isFeed(isFeed)
    , m_maxBytes(maxBytes)
{
}

void AnswerReader::add(std::span<const std::uint8_t> bytes, bool end)
{
    if (m_outcome) {
        return;
    }
    m_frames.add(bytes);
    while (!m_outcome) {
        const std::optional<Bytes> frame = m_frames.nextFrame();
        if (!frame) {
            break;
        }
        pb::AgentMessage message;
        if (!message.ParseFromArray(frame->data(), static_cast<int>(frame->size()))) {
            failIncomplete("a message of the answer cannot be parsed");
            return;
        }
        handle(message);
    }
    if (!m_outcome && (end || m_frames.isBroken())) {
        failIncomplete("the stream ended before the trailer of the answer");
    }
}

void AnswerReader::handle(const pb::AgentMessage &message)
{
    if (message.has_header() && !m_header) {
        const pb::AnswerHeader &header = message.header();
        m_header
            = AttemptOutcome{static_cast<ResultCode>(header.result()), header.detail(), std::chrono::milliseconds(header.retry_after_ms()), 0, std::nullopt};
        return;
    }
    if (message.has_body() && m_header) {
        const std::string &data = message.body().data();
        const std::span bytes(reinterpret_cast<const std::uint8_t *>(data.data()), data.size());
        m_digest.add(bytes);
        m_length += bytes.size();
        if (m_isFeed) {
            m_parts.push_back({Bytes(bytes.begin(), bytes.end()), message.body().position()});
        } else if (m_length > m_maxBytes) {
            failIncomplete("the answer is longer than the limit");
        } else {
            m_body.insert(m_body.end(), bytes.begin(), bytes.end());
        }
        return;
    }
    if (message.has_trailer() && m_header) {
        const pb::AnswerTrailer &trailer = message.trailer();
        const DigestBytes digest = m_digest.finish();
        const bool matches = trailer.length() == m_length && trailer.digest().size() == digest.size()
            && std::equal(digest.begin(), digest.end(), reinterpret_cast<const std::uint8_t *>(trailer.digest().data()));
        if (!matches) {
            failIncomplete("the length or digest in the trailer does not match the answer");
            return;
        }
        m_outcome = *m_header;
        m_outcome->position = trailer.position();
        if (trailer.has_load()) {
            m_outcome->load = LoadReport{trailer.load().running(), trailer.load().queued(), trailer.load().flows()};
        }
        if (m_outcome->result == ResultCode::Ok) {
            m_outcome->result = static_cast<ResultCode>(trailer.result());
        }
        return;
    }
    failIncomplete("unexpected message in the answer");
}

void AnswerReader::abort()
{
    if (!m_outcome) {
        failIncomplete("the stream of the answer was reset");
    }
}

void AnswerReader::failIncomplete(std::string detail)
{
    m_body.clear();
    m_outcome = AttemptOutcome{ResultCode::AnswerIncomplete, std::move(detail), {}, 0};
}

const std::optional<AttemptOutcome> &AnswerReader::outcome() const
{
    return m_outcome;
}

std::vector<FeedPart> AnswerReader::takeParts()
{
    return std::exchange(m_parts, {});
}

Bytes AnswerReader::takeBody()
{
    return std::exchange(m_body, {});
}

}
