#pragma once

#include <jujubequay/consensus_testing/fake_cluster.h>

#include <cstdint>
#include <string>

namespace Jujubequay::Consensus {

struct RandomRunOptions {
    std::uint64_t seed = 1;
    std::uint64_t events = 20000; ///< after which all faults end
};

struct RandomRunResult {
    FakeClusterCounts counts;
    std::uint64_t entries = 0;
    std::uint64_t acknowledged = 0;
    std::uint64_t digest = 0; ///< of all entries; the same for the same seed
    Duration recovery{}; ///< simulated time from the end of the faults until all hosts agree
};

/// One run with random proposals, reads, membership changes and faults of network, disks, clocks and hosts. Stops the
/// process when an invariant does not hold or when the hosts do not agree after the end of the faults.
RandomRunResult executeRandomRun(const RandomRunOptions &options);

/// One line for people.
std::string toString(const RandomRunResult &result);

}
