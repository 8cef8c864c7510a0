#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/core/identifiers.h>
#include <jujubequay/wire/framing.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace Jujubequay {

/// A request for the backend server beside this agent.
struct BackendRequest {
    std::uint64_t call = 0; ///< chosen by the agent, never reused
    RequestId id;
    std::string path;
    std::string customer;
    WorkClass workClass = WorkClass::Interactive;
    std::optional<Duration> timeLeft; ///< until the caller's deadline
    std::uint64_t resumePosition = 0; ///< feeds: last position that the caller has
    Bytes body;
};

/// The backend server answers with this HTTP status.
struct BackendResponding {
    std::uint64_t call = 0;
    unsigned status = 0;
};
/// A part of the answer. The backend server sends more once `consume` has given the bytes back.
struct BackendData {
    std::uint64_t call = 0;
    Bytes data;
    std::uint64_t position = 0; ///< feeds: position after this part
};
/// The answer is complete.
struct BackendEnded {
    std::uint64_t call = 0;
};
/// The call ended without a complete answer; also the end of a cancelled call.
struct BackendFailed {
    std::uint64_t call = 0;
    bool isNotStarted = false; ///< the backend server provably did not process the request
    std::string detail;
};

/// Each call gets exactly one BackendEnded or BackendFailed, as its last event.
using BackendEvent = std::variant<BackendResponding, BackendData, BackendEnded, BackendFailed>;

/// What the request broker asks of the backend server.
class BackendPort
{
public:
    virtual ~BackendPort() = default;

    virtual void start(BackendRequest request) = 0;
    virtual void cancel(std::uint64_t call) = 0;
    virtual void consume(std::uint64_t call, std::size_t bytes) = 0;
};

}
