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
    std::chrono::seconds faultTime{15}; ///< in which faults begin
    std::uint8_t callers = 3;
    std::size_t flowsOfCaller = 8;
    bool showsFaults = false;
    std::string onlyFault; ///< name of the only kind of fault; empty for all kinds
};

struct FaultRunReport {
    LedgerCounts counts;
    std::size_t faults = 0;
    std::vector<std::string> violations;
};

/// Runs the real programs under random faults and checks what callers, servers and operators see. Fails with AddressUnavailable,
/// BadCommandLine or DiskFailed if the run could not be made.
Result<FaultRunReport> runWithFaults(const FaultRunOptions &options);

}
