#pragma once

#include <jujubequay/client/answer_reader.h>
#include <jujubequay/core/identifiers.h>
#include <jujubequay/quic/quic_client.h>

#include <map>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace jujubequay::pb {
class RequestHeader;
}

namespace Jujubequay {

/// What an agent says about itself on a flow.
struct Greeting {
    Incarnation incarnation;
    std::uint64_t window = 0;
    Bytes resumeIdentifier; ///< destination identifier of a new flow to the same agent
    bool draining = false;
    std::optional<LoadReport> load; ///< of the server when it sent the greeting
};

/// Reads the greetings of an agent from its stream.
class GreetingReader
{
public:
    /// The newest greeting in the bytes; empty if none is complete.
    std::optional<Greeting> add(std::span<const std::uint8_t> bytes);

private:
    FrameReader m_frames{maxGreetingLength};

    static constexpr std::size_t maxGreetingLength = 1024;
};

/// The greeting has arrived or has changed.
struct FlowGreeted {
    Greeting greeting;
};
struct AttemptFeedPart {
    StreamNumber stream = 0;
    FeedPart part;
};
/// The answer on a stream is over.
struct AttemptEnded {
    StreamNumber stream = 0;
    AttemptOutcome outcome;
    Bytes body;
};
/// Last event. Streams without AttemptEnded got no complete answer.
struct CallerFlowEnded {
    FlowEndCause end = FlowEndCause::ClosedByPeer;
    std::uint64_t code = 0; ///< application error code of the close
};

using CallerFlowEvent = std::variant<FlowGreeted, AttemptFeedPart, AttemptEnded, CallerFlowEnded>;

/// One flow to an agent: requests as QUIC streams.
class CallerFlow
{
public:
    /// `destination` is empty for a flow to any server, or a resume identifier. References outlive the flow.
    CallerFlow(QuicClientOptions options,
               std::shared_ptr<const TlsCredentials> credentials,
               std::span<const std::uint8_t> destination,
               std::size_t maxAnswerBytes,
               QuicClientSink &sink,
               std::mt19937_64 &random,
               TimePoint now);

    void receive(TimePoint now, std::span<const std::uint8_t> datagram);
    void flush(TimePoint now);
    std::optional<TimePoint> nextTimeout() const;
    void handleTimeout(TimePoint now);
    std::vector<CallerFlowEvent> takeEvents();

    /// Sends a request on a stream of its own; empty if no stream can be opened now.
    std::optional<StreamNumber> send(const jujubequay::pb::RequestHeader &header, std::span<const std::uint8_t> body);
    /// Abandons a request; no event follows for its stream.
    void cancel(StreamNumber stream);
    void close(TimePoint now);

private:
    struct Attempt {
        Bytes unsent; ///< encoded request from `sent` on
        std::size_t sent = 0;
        AnswerReader reader;
    };

    void writeUnsent(StreamNumber stream, Attempt &attempt);
    void finishIfDone(StreamNumber stream);
    void handle(const FlowEstablished &event);
    void handle(const FlowEnded &event);
    void handle(const StreamDataReceived &event);
    void handle(const StreamReset &event);
    void handle(const StreamStopped &event);
    void handle(const StreamWritable &event);
    void handle(const StreamEnded &event);

    QuicClient m_client;
    const std::size_t m_maxAnswerBytes;
    GreetingReader m_greetings;
    std::map<StreamNumber, Attempt> m_attempts;
    std::vector<CallerFlowEvent> m_events;
};

}
