#include <jujubequay/client/caller_flow.h>

#include <request.pb.h>

#include <algorithm>
#include <utility>

namespace Jujubequay {

namespace pb = jujubequay::pb;

namespace {

constexpr std::size_t bodyChunkLength = 16U << 10U;
/// Application error code with which the caller resets abandoned streams.
constexpr std::uint64_t cancelCode = static_cast<std::uint64_t>(ResultCode::Cancelled);

void appendFrame(Bytes &out, const pb::CallerMessage &message)
{
    const Bytes frame = encodeFrame(message);
    out.insert(out.end(), frame.begin(), frame.end());
}

Bytes encodeRequest(const pb::RequestHeader &header, std::span<const std::uint8_t> body)
{
    Bytes out;
    pb::CallerMessage first;
    *first.mutable_header() = header;
    appendFrame(out, first);
    for (std::size_t offset = 0; offset < body.size(); offset += bodyChunkLength) {
        const auto chunk = body.subspan(offset, std::min(bodyChunkLength, body.size() - offset));
        pb::CallerMessage message;
        message.mutable_body()->set_data(chunk.data(), chunk.size());
        appendFrame(out, message);
    }
    pb::CallerMessage last;
    last.set_end(true);
    appendFrame(out, last);
    return out;
}

bool isBidirectional(StreamNumber stream)
{
    return (static_cast<std::uint64_t>(stream) & 2U) == 0;
}

}

std::optional<Greeting> GreetingReader::add(std::span<const std::uint8_t> bytes)
{
    m_frames.add(bytes);
    std::optional<Greeting> newest;
    while (const std::optional<Bytes> frame = m_frames.nextFrame()) {
        pb::AgentMessage message;
        if (!message.ParseFromArray(frame->data(), static_cast<int>(frame->size())) || !message.has_greeting()) {
            continue;
        }
        const pb::FlowGreeting &greeting = message.greeting();
        const std::string &resume = greeting.resume_id();
        newest = Greeting{Incarnation{greeting.incarnation()}, greeting.window(), Bytes(resume.begin(), resume.end()), greeting.draining(), std::nullopt};
        if (greeting.has_load()) {
            newest->load = LoadReport{greeting.load().running(), greeting.load().queued(), greeting.load().flows()};
        }
    }
    return newest;
}

CallerFlow::CallerFlow(QuicClientOptions options,
                       std::shared_ptr<const TlsCredentials> credentials,
                       std::span<const std::uint8_t> destination,
                       std::size_t maxAnswerBytes,
                       QuicClientSink &sink,
                       std::mt19937_64 &random,
                       TimePoint now)
    : m_client(std::move(options), std::move(credentials), destination, sink, random, now)
    , m_maxAnswerBytes(maxAnswerBytes)
{
}

void CallerFlow::receive(TimePoint now, std::span<const std::uint8_t> datagram)
{
    m_client.receive(now, datagram);
}

void CallerFlow::flush(TimePoint now)
{
    m_client.flush(now);
}

std::optional<TimePoint> CallerFlow::nextTimeout() const
{
    return m_client.nextTimeout();
}

void CallerFlow::handleTimeout(TimePoint now)
{
    m_client.handleTimeout(now);
}

std::vector<CallerFlowEvent> CallerFlow::takeEvents()
{
    for (const QuicEvent &event : m_client.takeEvents()) {
        std::visit(
            [this](const auto &quicEvent) {
                handle(quicEvent);
            },
            event);
    }
    return std::exchange(m_events, {});
}

std::optional<StreamNumber> CallerFlow::send(const pb::RequestHeader &header, std::span<const std::uint8_t> body)
{
    const std::optional<StreamNumber> stream = m_client.openBidirectionalStream();
    if (!stream) {
        return std::nullopt;
    }
    const bool isFeed = header.work_class() == pb::REQUEST_CLASS_FEED;
    const auto [position, inserted] = m_attempts.emplace(*stream, Attempt{encodeRequest(header, body), 0, AnswerReader(isFeed, m_maxAnswerBytes)});
    writeRemaining(*stream, position->second);
    return stream;
}

void CallerFlow::writeRemaining(StreamNumber stream, Attempt &attempt)
{
    const auto rest = std::span(attempt.encoded).subspan(attempt.sent);
    if (rest.empty()) {
        return;
    }
    attempt.sent += m_client.write(stream, rest, true);
    if (attempt.sent == attempt.encoded.size()) {
        attempt.encoded = Bytes();
        attempt.sent = 0;
    }
}

void CallerFlow::cancel(StreamNumber stream)
{
    m_client.resetStream(stream, cancelCode);
    m_client.stopSending(stream, cancelCode);
    m_attempts.erase(stream);
}

void CallerFlow::close(TimePoint now)
{
    m_client.close(now, 0, {});
}

void CallerFlow::handle(const FlowEstablished &)
{
    // The flow is ready for requests only after the greeting.
}

void CallerFlow::handle(const FlowEnded &event)
{
    m_attempts.clear();
    m_events.emplace_back(CallerFlowEnded{event.cause, event.code});
}

void CallerFlow::handle(const StreamDataReceived &event)
{
    m_client.consume(event.stream, event.data.size());
    if (!isBidirectional(event.stream)) {
        if (std::optional<Greeting> greeting = m_greetings.add(event.data)) {
            m_events.emplace_back(GreetingReceived{std::move(*greeting)});
        }
        return;
    }
    const auto found = m_attempts.find(event.stream);
    if (found == m_attempts.end()) {
        return;
    }
    found->second.reader.add(event.data, event.end);
    takeAnswer(event.stream);
}

void CallerFlow::takeAnswer(StreamNumber stream)
{
    const auto found = m_attempts.find(stream);
    if (found == m_attempts.end()) {
        return;
    }
    AnswerReader &reader = found->second.reader;
    for (FeedPart &part : reader.takeParts()) {
        m_events.emplace_back(AttemptFeedPart{stream, std::move(part)});
    }
    if (reader.outcome()) {
        // The answer may end before the whole request is written, or fail while the agent is still sending.
        if (!found->second.encoded.empty() || reader.outcome()->result == ResultCode::AnswerIncomplete) {
            m_client.resetStream(stream, cancelCode);
            m_client.stopSending(stream, cancelCode);
        }
        m_events.emplace_back(AttemptEnded{stream, *reader.outcome(), reader.takeBody()});
        m_attempts.erase(found);
    }
}

void CallerFlow::handle(const StreamReset &event)
{
    if (const auto found = m_attempts.find(event.stream); found != m_attempts.end()) {
        found->second.reader.abort();
        takeAnswer(event.stream);
    }
}

void CallerFlow::handle(const StreamStopped &)
{
    // Not an error: the agent may answer before it has read the whole request.
}

void CallerFlow::handle(const StreamWritable &event)
{
    if (const auto found = m_attempts.find(event.stream); found != m_attempts.end()) {
        writeRemaining(event.stream, found->second);
    }
}

void CallerFlow::handle(const StreamEnded &event)
{
    if (const auto found = m_attempts.find(event.stream); found != m_attempts.end()) {
        found->second.reader.abort();
        takeAnswer(event.stream);
    }
}

}
