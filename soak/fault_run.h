#pragma once

#include "soak/deployment.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Jujubequay::Soak {

struct FaultRunOptions {
    DeploymentOptions deployment;
    std::uint64_t seed = 1;
    std::chrono::seconds faultTime{15}; ///< faults begin within this time
    std::uint8_t callers = 3;
    std::size_t flowsPerCaller = 8;
    bool showsFaults = false;
    std::string onlyFault; ///< name of the only fault to inject; empty for all
};

struct FaultRunReport {
    RunCounts counts;
    std::size_t faults = 0; ///< number of injected faults
    std::vector<std::string> violations;
};

/// Runs the programs of the platform under random faults and checks the guarantees to callers, servers and operators. Fails with AddressUnavailable,
/// BadCommandLine or DiskFailed if a program, an address or the directory cannot be used.
Result<FaultRunReport> runWithFaults(const FaultRunOptions &options);

}
