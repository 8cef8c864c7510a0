#include "metrics.h"

#include <algorithm>
#include <numeric>

namespace Jujubequay::Bench {

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return values[static_cast<std::size_t>(rank)];
}

double jainIndex(const std::vector<double> &values)
{
    const double sum = std::accumulate(values.begin(), values.end(), 0.0);
    const double squares = std::inner_product(values.begin(), values.end(), values.begin(), 0.0);
    return squares > 0 ? sum * sum / (static_cast<double>(values.size()) * squares) : 1;
}

double shareAbove(const std::vector<double> &values, double limit)
{
    const auto above = std::count_if(values.begin(), values.end(), [limit](double value) {
        return value > limit;
    });
    return values.empty() ? 0 : static_cast<double>(above) / static_cast<double>(values.size());
}

double busiestToMean(const std::vector<double> &values)
{
    const double sum = std::accumulate(values.begin(), values.end(), 0.0);
    return sum > 0 ? *std::max_element(values.begin(), values.end()) * static_cast<double>(values.size()) / sum : 1;
}

std::vector<double> fairShares(const std::vector<double> &demands, double capacity)
{
    std::vector<double> sorted = demands;
    std::sort(sorted.begin(), sorted.end());
    double remaining = capacity;
    double level = 0;
    for (std::size_t index = 0; index < sorted.size(); ++index) {
        level = remaining / static_cast<double>(sorted.size() - index);
        if (sorted[index] >= level) {
            break;
        }
        remaining -= sorted[index];
        level = sorted[index];
    }
    std::vector<double> shares;
    shares.reserve(demands.size());
    for (const double demand : demands) {
        shares.push_back(std::min(demand, level));
    }
    return shares;
}

}
