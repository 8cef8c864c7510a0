#pragma once

#include <cstdint>

namespace Jujubequay {

/// QUIC application error code with which an agent closes a flow after draining. It guarantees that the agent answered
/// every request it received on the flow and that the caller acknowledged every answer. A request without an answer was
/// therefore never received.
constexpr std::uint64_t flowDrainedCode = 0x10;

}
