#pragma once

#include <jujubequay/core/clock.h>

#include <cstdint>
#include <vector>

namespace Jujubequay::Bench {

/// The row of one policy in one scenario and deployment.
struct CellResult {
    std::uint64_t brokenPlanned = 0; ///< flows broken by planned changes
    std::uint64_t brokenUnplanned = 0; ///< flows broken by crashes
    std::uint64_t wrongService = 0; ///< messages that reached a server of the other service
    std::uint64_t runTwice = 0; ///< non-idempotent requests that were executed more than once
    std::uint64_t falseNotRun = 0; ///< attempts that ran and were reported as "not run"
    std::uint64_t lateOnDraining = 0; ///< requests started on a draining server more than 5 s after its drain
    std::uint64_t requests = 0;
    std::uint64_t refused = 0; ///< requests that ended as "not run"
    std::uint64_t unknown = 0; ///< requests whose outcome the caller does not know
    std::uint64_t unanswered = 0; ///< requests without any result 10 s after their deadline
    std::uint64_t attempts = 0;
    double workImbalance = 1; ///< running work of the busiest server to the mean, mean of 10 s windows, worse service
    double worstWindow = 1; ///< the same, in the worst window
    double windowsOverGoal = 0; ///< share of the windows above 1.15, worse service
    double flowImbalance = 1; ///< open flows of the fullest server to the mean, mean of 10 s windows, worse service
    double jain = 1; ///< Jain's index of served work to fair share over customers, worse service
    double worstSmall = 1; ///< least share of its fair share that a small customer got, worse service
    double p50Ms = 0;
    double p99Ms = 0;
    double smallP99Ms = 0; ///< p99 of small customers
    double megabytesBetweenZones = 0;
};

/// Value below which the given share of the values lies; 0 for no values.
double percentile(std::vector<double> values, double share);

/// Jain's fairness index: 1 when all values are equal, 1/n when one customer has everything.
double jainIndex(const std::vector<double> &values);

/// Share of the values above a limit; 0 for no values.
double shareAbove(const std::vector<double> &values, double limit);

/// Largest value divided by the mean; 1 if the mean is zero.
double busiestToMean(const std::vector<double> &values);

/// Max-min fair division of a capacity: nobody gets more than it asked for, and what is left is divided equally.
std::vector<double> fairShares(const std::vector<double> &demands, double capacity);

}
