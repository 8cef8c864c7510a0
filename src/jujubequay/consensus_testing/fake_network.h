#pragma once

#include <jujubequay/core/clock.h>

#include <cstddef>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace Jujubequay::Consensus {

/// Decides what happens to each message between numbered hosts.
struct FakeNetwork {
    double loss = 0; ///< probability
    double duplicates = 0; ///< probability
    Duration minDelay = std::chrono::milliseconds(3);
    Duration maxDelay = std::chrono::milliseconds(6); ///< messages overtake each other within the difference
    std::set<std::pair<std::size_t, std::size_t>> cuts; ///< from, to; one-way

    /// The delay of each copy that arrives.
    std::vector<Duration> delays(std::size_t from, std::size_t to, std::mt19937_64 &random) const;
};

}
