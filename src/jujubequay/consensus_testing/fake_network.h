#pragma once

#include <jujubequay/core/clock.h>

#include <cstddef>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace Jujubequay::Consensus {

/// Loses, duplicates and delays the messages between hosts, which are identified by number.
struct FakeNetwork {
    double lossProbability = 0;
    double duplicateProbability = 0;
    Duration minDelay = std::chrono::milliseconds(3);
    Duration maxDelay = std::chrono::milliseconds(6); ///< messages are reordered if it exceeds `minDelay`
    std::set<std::pair<std::size_t, std::size_t>> blockedLinks; ///< (from, to): messages in this direction are lost

    /// The delay of each copy of a message that arrives; empty if the message is lost.
    std::vector<Duration> deliveryDelays(std::size_t from, std::size_t to, std::mt19937_64 &random) const;
};

}
