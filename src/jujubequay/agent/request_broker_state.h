#pragma once

#include <jujubequay/agent/request_broker.h>

#include <request.pb.h>

namespace Jujubequay {

namespace pb = jujubequay::pb;

/// One attempt: the stream on which a request arrives and is answered. Also the stream of greetings.
struct RequestBroker::Stream {
    FrameReader reader;
    std::size_t receivedBytes = 0;
    std::optional<pb::RequestHeader> header;
    Bytes body;
    bool isSubmitted = false;
    std::uint64_t call = 0; ///< the job that this attempt waits for; zero if none
    Bytes pending; ///< bytes that the flow has not accepted yet
    bool endsAfterPending = false;
};

/// One request in progress and its call to the backend server.
struct RequestBroker::Job {
    enum class State : std::uint8_t {
        Queued,
        Running,
        Closing, ///< answered; the backend call has not ended yet
    };

    std::uint64_t call = 0;
    State state = State::Queued;
    BackendRequest request;
    bool isIdempotent = true;
    std::optional<TimePoint> deadline;
    TimePoint submittedAt{};
    TimePoint startedAt{};
    std::set<StreamKey> attempts;
    unsigned status = 0;
    Digest digest;
    std::uint64_t answerLength = 0;
    std::uint64_t position = 0;
    Bytes collected; ///< non-idempotent: the answer so far
    bool isTooLong = false;
    bool isCancelled = false;
    std::size_t uncreditedBytes = 0;
    std::optional<TimePoint> dueAt; ///< when a running job is ended: its deadline, or the move of a feed
};

}
