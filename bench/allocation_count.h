#pragma once

#include <cstdint>

namespace Jujubequay::Bench {

/// Calls of operator new in this process so far. Linking allocation_count.cpp replaces the global operators.
std::uint64_t allocationCount();

}
