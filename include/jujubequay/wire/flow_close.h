#pragma once

#include <cstdint>

namespace Jujubequay {

/// Application error code with which a drained agent closes a flow: every request that it received on the flow was
/// answered, and every answer was acknowledged. A request of the flow without an answer was never received.
constexpr std::uint64_t flowDrainedCode = 0x10;

}
