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

/// State that an agent reports about itself on a flow.
struct Greeting {
    Incarnation incarnation;
    std::uint64_t window = 0; ///< current request window of the agent
    Bytes resumeIdentifier; ///< destination identifier with which a new flow reaches the same agent
    bool draining = false; ///< the agent accepts no new requests
    std::optional<LoadReport> load; ///< load of the backend server when the greeting was sent
};

/// Reads the greetings of an agent from its unidirectional stream.
class GreetingReader
{
public:
    /// Takes the next bytes of the stream. Returns the newest greeting that they complete, or nothing.
    std::optional<Greeting> add(std::span<const std::uint8_t> bytes);

private:
    FrameReader m_frames{maxGreetingLength};

    static constexpr std::size_t maxGreetingLength = 1024;
};

/// The agent has sent its first greeting or an update.
struct GreetingReceived {
    Greeting greeting;
};
/// A part of a feed has arrived on a stream.
struct AttemptFeedPart {
    StreamNumber stream = 0;
    FeedPart part;
};
/// The answer on a stream is complete or has failed.
struct AttemptEnded {
    StreamNumber stream = 0;
    AttemptOutcome outcome;
    Bytes body;
};
/// The flow has ended; no event follows. Streams without AttemptEnded got no complete answer.
struct CallerFlowEnded {
    FlowEndCause end = FlowEndCause::ClosedByPeer;
    std::uint64_t code = 0; ///< application error code with which the flow was closed
};

using CallerFlowEvent = std::variant<GreetingReceived, AttemptFeedPart, AttemptEnded, CallerFlowEnded>;

/// One QUIC connection to an agent, which carries each request on a stream of its own.
class CallerFlow
{
public:
    /// `destination` is empty for a flow to any server, or the resume identifier of an agent. `sink` and `random` must outlive the flow.
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

    /// Sends a request on a new stream. Returns nothing if the stream limit is reached.
    std::optional<StreamNumber> send(const jujubequay::pb::RequestHeader &header, std::span<const std::uint8_t> body);
    /// Abandons a request. No event follows for its stream.
    void cancel(StreamNumber stream);
    void close(TimePoint now);

private:
    struct Attempt {
        Bytes encoded; ///< encoded request; empty once all of it is written
        std::size_t sent = 0; ///< bytes of `encoded` that are written to the stream
        AnswerReader reader;
    };

    void writeRemaining(StreamNumber stream, Attempt &attempt);
    void takeAnswer(StreamNumber stream);
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
