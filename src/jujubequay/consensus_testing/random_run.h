#pragma once

#include <jujubequay/consensus_testing/fake_cluster.h>

#include <cstdint>
#include <string>

namespace Jujubequay::Consensus {

struct RandomRunOptions {
    std::uint64_t seed = 1;
    std::uint64_t events = 20000; ///< number of events after which all faults end
};

struct RandomRunResult {
    FakeClusterCounts counts;
    std::uint64_t entries = 0; ///< applied entries
    std::uint64_t acknowledged = 0; ///< acknowledged proposals
    std::uint64_t digest = 0; ///< chained digest of all applied entries; the same for the same seed
    Duration recovery{}; ///< simulated time from the end of the faults until all wanted voters have applied the same entries
};

/// Runs a simulated cluster with random proposals, reads, membership changes and faults of network, disks, clocks and hosts. Aborts the process if an
/// invariant is violated, or if the hosts do not converge after the end of the faults.
RandomRunResult executeRandomRun(const RandomRunOptions &options);

/// One line of `name=value` pairs for people and logs.
std::string toString(const RandomRunResult &result);

}
