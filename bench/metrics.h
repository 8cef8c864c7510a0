#pragma once

#include <jujubequay/core/clock.h>

#include <cstdint>
#include <vector>

namespace Jujubequay::Bench {

/// Results of one policy in one scenario and deployment; one row of the table that policy-bench prints.
struct PolicyResult {
    std::uint64_t flowsBrokenPlanned = 0; ///< flows broken by planned changes
    std::uint64_t flowsBrokenUnplanned = 0; ///< flows broken by crashes
    std::uint64_t wrongServiceMessages = 0; ///< messages that reached a server of the other service
    std::uint64_t executedTwice = 0; ///< non-idempotent requests that were executed more than once
    std::uint64_t falseNotRun = 0; ///< attempts that ran and were reported as "not run"
    std::uint64_t lateStartsOnDraining = 0; ///< requests that a draining server started more than 5 s after its drain began
    std::uint64_t requests = 0;
    std::uint64_t refusedRequests = 0; ///< requests that ended as "not run"
    std::uint64_t unknownOutcomes = 0; ///< requests whose outcome the caller does not know
    std::uint64_t unansweredRequests = 0; ///< requests that still had no result 10 s after their deadline
    std::uint64_t attempts = 0;
    double workImbalance = 1; ///< busy time of the busiest server divided by the mean of all servers; mean over 10 s windows, of the worse service
    double worstWindowImbalance = 1; ///< work imbalance of the worst window
    double windowsOverGoal = 0; ///< share of the windows with an imbalance above 1.15, of the worse service
    double flowImbalance = 1; ///< flows of the server with the most flows divided by the mean; mean over 10 s windows, of the worse service
    double jainFairness = 1; ///< Jain's fairness index over the customers' ratios of served work to fair share, of the worse service
    double worstSmallCustomerShare = 1; ///< lowest ratio of served work to fair share of all customers but the largest, of the worse service
    double latencyP50Ms = 0;
    double latencyP99Ms = 0;
    double smallCustomerLatencyP99Ms = 0; ///< over the smaller half of the customers
    double megabytesBetweenZones = 0;
};

/// Returns the value below which the given share (0 to 1) of the values lies; 0 if there are no values.
double percentile(std::vector<double> values, double share);

/// Returns Jain's fairness index: 1 if all n values are equal, 1/n if all but one are zero.
double jainIndex(const std::vector<double> &values);

/// Returns the share (0 to 1) of the values above a limit; 0 if there are no values.
double shareAbove(const std::vector<double> &values, double limit);

/// Returns the largest value divided by the mean; 1 if the mean is zero.
double busiestToMean(const std::vector<double> &values);

/// Returns the max-min fair share of a capacity for each demand: no share exceeds its demand, and the demands that cannot be
/// met in full get equal shares.
std::vector<double> fairShares(const std::vector<double> &demands, double capacity);

}
