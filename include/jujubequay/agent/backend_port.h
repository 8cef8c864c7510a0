#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/core/identifiers.h>
#include <jujubequay/wire/framing.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace Jujubequay {

/// A request for the backend server that is co-located with this agent.
struct BackendRequest {
    std::uint64_t call = 0; ///< number of the call, assigned by the agent and never reused
    RequestId id;
    std::string path;
    std::string customer;
    WorkClass workClass = WorkClass::Interactive;
    std::optional<Duration> timeLeft; ///< time until the caller's deadline; empty without a deadline
    std::uint64_t resumePosition = 0; ///< feeds: the last position that the caller has received
    Bytes body;
};

/// The headers of the answer have arrived, with this HTTP status.
struct BackendResponseStarted {
    std::uint64_t call = 0;
    unsigned status = 0;
};
/// A part of the answer. It counts against the flow control window of the call until its bytes are consumed with BackendPort::consume.
struct BackendData {
    std::uint64_t call = 0;
    Bytes data;
    std::uint64_t position = 0; ///< feeds: the position after this part
};
/// The answer is complete.
struct BackendEnded {
    std::uint64_t call = 0;
};
/// The call ended without a complete answer, or it was cancelled.
struct BackendFailed {
    std::uint64_t call = 0;
    bool isNotStarted = false; ///< the backend server provably did not process the request
    std::string detail;
};

/// The last event of each call, and only the last, is a BackendEnded or a BackendFailed.
using BackendEvent = std::variant<BackendResponseStarted, BackendData, BackendEnded, BackendFailed>;

/// The operations of the request broker on the backend server.
class BackendPort
{
public:
    virtual ~BackendPort() = default;

    virtual void start(BackendRequest request) = 0;
    /// Cancels a call. Its last event still follows. Has no effect on a call that has ended.
    virtual void cancel(std::uint64_t call) = 0;
    /// Allows the backend server to send this many more bytes of the answer.
    virtual void consume(std::uint64_t call, std::size_t bytes) = 0;
};

}
