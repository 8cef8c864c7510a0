#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/core/identifiers.h>
#include <jujubequay/core/result_code.h>
#include <jujubequay/quic/quic_event.h>
#include <jujubequay/wire/framing.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Jujubequay {

/// Identifies a request within its Caller.
struct RequestTicket {
    std::uint64_t value = 0;
    bool operator==(const RequestTicket &) const = default;
    bool operator<(const RequestTicket &other) const
    {
        return value < other.value;
    }
};

/// A request as the application submits it.
struct Request {
    std::string customer;
    std::string path;
    WorkClass workClass = WorkClass::Interactive;
    bool idempotent = false; ///< the request may be executed more than once; feeds are always idempotent
    Bytes body;
    std::optional<Duration> deadline; ///< time limit, counted from the submission
    std::uint64_t resumePosition = 0; ///< feeds: position after which to start; 0: the server chooses
};

/// The final result of a request. Each request has exactly one such event. The body is complete if `result` is Ok, and may be empty otherwise.
struct RequestFinished {
    RequestTicket ticket;
    ResultCode result = ResultCode::Ok;
    std::string detail;
    Bytes body;
    std::uint32_t attempts = 0;
    Duration duration{}; ///< time from the submission to this event
};

/// The next part of a feed. Parts arrive in order, without gaps or duplicates.
struct FeedPartReceived {
    RequestTicket ticket;
    Bytes data;
    std::uint64_t position = 0; ///< position of the feed after this part
};

/// A new flow is ready for requests.
struct FlowOpened {
    Incarnation incarnation;
};

/// A flow that was ready for requests has ended unexpectedly.
struct FlowLost {
    Incarnation incarnation;
    FlowEndCause end = FlowEndCause::ClosedByPeer;
    std::size_t requests = 0; ///< requests that were open on the flow
};

using CallerEvent = std::variant<RequestFinished, FeedPartReceived, FlowOpened, FlowLost>;
using CallerEvents = std::vector<CallerEvent>;

}
