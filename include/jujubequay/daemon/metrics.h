#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/core/identifiers.h>
#include <jujubequay/core/result_code.h>

#include <boost/histogram.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <tuple>

namespace Jujubequay {

/// Counts values in bins that double in width, and keeps their sum.
class MetricHistogram
{
public:
    /// Bins from `first` to `first` * 2^`bins`; values outside are counted in the first bin or as overflow.
    MetricHistogram(double first, unsigned bins);

    void add(double value);
    double sum() const;
    std::uint64_t count() const;
    /// Calls `visit(upper bound, values up to it)` for each bin in rising order.
    template<class Visitor>
    void visitCumulative(Visitor visit) const
    {
        std::uint64_t total = m_bins.at(-1);
        for (int index = 0; index < m_bins.axis().size(); ++index) {
            total += m_bins.at(index);
            visit(m_bins.axis().bin(index).upper(), total);
        }
    }

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Storage = boost::histogram::dense_storage<std::uint64_t>;

    boost::histogram::histogram<std::tuple<Axis>, Storage> m_bins;
    double m_sum = 0;
    std::uint64_t m_count = 0;
};

/// Whose requests a set of histograms describes.
struct MetricKey {
    std::string customer;
    WorkClass workClass = WorkClass::Critical;

    bool operator<(const MetricKey &other) const
    {
        return std::tie(customer, workClass) < std::tie(other.customer, other.workClass);
    }
};

/// A request that was executed.
struct RequestSample {
    Duration time{}; ///< from arrival to the end of the answer
    Duration queueWait{};
    std::uint64_t bytes = 0; ///< length of the answer's body
};

struct RequestMetrics {
    RequestMetrics();

    MetricHistogram seconds;
    MetricHistogram queueWaitSeconds;
    MetricHistogram bytes;
    std::map<ResultCode, std::uint64_t> refused;
};

struct CounterKey {
    std::string name;
    std::string cause;

    bool operator<(const CounterKey &other) const
    {
        return std::tie(name, cause) < std::tie(other.name, other.cause);
    }
};

/// A consistent copy of all metrics.
struct MetricsSnapshot {
    std::map<MetricKey, RequestMetrics> requests;
    std::map<CounterKey, std::uint64_t> counters;
    std::map<std::string, double> gauges;
};

/// Collects the metrics of one process. Safe to use from any thread.
///
///     std::atomic<std::uint64_t> &drops = metrics.counter("dropped_datagrams", "wrong-service");
///     drops.fetch_add(1, std::memory_order_relaxed); // no lock on the data path
class Metrics
{
public:
    /// Name under which customers beyond the limit are counted together.
    static constexpr std::string_view otherCustomers = "other";

    explicit Metrics(std::size_t maxCustomers = 200);

    void addRequest(std::string_view customer, WorkClass workClass, const RequestSample &sample);
    void addRefusal(std::string_view customer, WorkClass workClass, ResultCode cause);
    /// The counter of that name and cause; it exists as long as this object. `name` has letters, digits and '_'.
    std::atomic<std::uint64_t> &counter(std::string_view name, std::string_view cause);
    void setGauge(std::string_view name, double value);

    MetricsSnapshot snapshot() const;

private:
    RequestMetrics &entry(std::string_view customer, WorkClass workClass);

    const std::size_t m_maxCustomers;
    mutable std::mutex m_mutex;
    std::map<std::string, std::map<WorkClass, RequestMetrics>, std::less<>> m_customers;
    std::map<CounterKey, std::atomic<std::uint64_t>> m_counters;
    std::map<std::string, double, std::less<>> m_gauges;
};

/// The Prometheus text format, version 0.0.4.
std::string prometheusText(const MetricsSnapshot &snapshot);

}
