#pragma once

#include <cstdint>

namespace Jujubequay::Bench {

/// Returns the number of calls of operator new in this process. Linking allocation_count.cpp replaces the global operators new
/// and delete.
std::uint64_t allocationCount();

}
