#pragma once

#include <jujubequay/agent/request_broker.h>

#include <request.pb.h>

namespace Jujubequay {

namespace pb = jujubequay::pb;

/// The stream of one attempt, on which the request arrives and is answered. Also used for the stream that carries greetings.
struct RequestBroker::Stream {
    FrameReader reader;
    std::size_t receivedBytes = 0;
    std::optional<pb::RequestHeader> header;
    Bytes body;
    bool isSubmitted = false;
    std::uint64_t call = 0; ///< call number of the job that this attempt waits for; zero if there is none
    Bytes pending; ///< bytes that the flow has not accepted yet
    bool endsAfterPending = false; ///< the stream ends with the last pending byte
};

/// One request in progress and its call to the backend server.
struct RequestBroker::Job {
    enum class State : std::uint8_t {
        Queued,
        Running,
        Closing, ///< the request was answered, but its backend call has not ended yet
    };

    std::uint64_t call = 0;
    State state = State::Queued;
    BackendRequest request;
    bool isIdempotent = true;
    std::optional<TimePoint> deadline;
    TimePoint submittedAt{};
    TimePoint startedAt{};
    std::set<StreamKey> attempts; ///< streams that wait for the answer
    unsigned status = 0; ///< HTTP status of the answer; zero before it has arrived
    Digest digest;
    std::uint64_t answerLength = 0;
    std::uint64_t position = 0;
    Bytes bufferedAnswer; ///< non-idempotent requests: the part of the answer that has arrived
    bool isAnswerTooLong = false; ///< the answer exceeds maxBufferedAnswerBytes
    bool isCancelled = false;
    std::size_t uncreditedBytes = 0; ///< bytes of the answer that were not yet returned to the backend server as flow control credit
    std::optional<TimePoint> timeoutAt; ///< time when the running job is ended, by its deadline or because its feed is moved
};

}
