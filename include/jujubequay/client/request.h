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

/// Number by which the owner of a Caller knows one of its requests.
struct RequestTicket {
    std::uint64_t value = 0;
    bool operator==(const RequestTicket &) const = default;
    bool operator<(const RequestTicket &other) const
    {
        return value < other.value;
    }
};

struct Request {
    std::string customer;
    std::string path;
    WorkClass workClass = WorkClass::Interactive;
    bool idempotent = false; ///< may be executed more than once; feeds always are
    Bytes body;
    std::optional<Duration> deadline; ///< from now on
    std::uint64_t resumePosition = 0; ///< feeds: the position after which to start; 0: wherever the server starts
};

/// The final result of a request; exactly one for each. The body is complete if `result` is Ok and may be empty else.
struct Answered {
    RequestTicket ticket;
    ResultCode result = ResultCode::Ok;
    std::string detail;
    Bytes body;
    std::uint32_t attempts = 0;
    Duration duration{};
};

/// The next part of a feed. Parts come in order, none is left out or repeated.
struct FeedReceived {
    RequestTicket ticket;
    Bytes data;
    std::uint64_t position = 0; ///< position after this part
};

/// A flow is ready for requests.
struct FlowOpened {
    Incarnation incarnation;
};

/// A flow ended that was ready for requests.
struct FlowLost {
    Incarnation incarnation;
    FlowEndCause end = FlowEndCause::ClosedByPeer;
    std::size_t requests = 0; ///< requests that were open on it
};

using CallerEvent = std::variant<Answered, FeedReceived, FlowOpened, FlowLost>;
using CallerEvents = std::vector<CallerEvent>;

}
