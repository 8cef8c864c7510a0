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

/// Histogram whose bins double in width, with the sum and the number of all values.
class MetricHistogram
{
public:
    /// The bins span `minimum` to `minimum` * 2^`bins`. Smaller values are counted in the first bin, larger ones only in sum and count.
    MetricHistogram(double minimum, unsigned bins);

    void add(double value);
    double sum() const;
    std::uint64_t count() const;
    /// Calls `visit(upper bound, number of values up to this bound)` for each bin in ascending order.
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

/// Customer and work class of the requests that a RequestMetrics describes.
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
    Duration time{}; ///< time from arrival to the end of the answer
    Duration queueWait{}; ///< time spent waiting for a slot
    std::uint64_t bytes = 0; ///< length of the answer body
};

/// Metrics of the requests of one customer and work class.
struct RequestMetrics {
    RequestMetrics();

    MetricHistogram seconds; ///< duration of executed requests
    MetricHistogram queueWaitSeconds;
    MetricHistogram bytes; ///< length of answer bodies
    std::map<ResultCode, std::uint64_t> refused; ///< number of refused requests by cause
};

/// Name and cause label of a counter.
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
    /// Customer label under which customers beyond the limit are counted together.
    static constexpr std::string_view otherCustomers = "other";

    /// `maxCustomers` limits the number of customers with metrics of their own.
    explicit Metrics(std::size_t maxCustomers = 200);

    void addRequest(std::string_view customer, WorkClass workClass, const RequestSample &sample);
    void addRefusal(std::string_view customer, WorkClass workClass, ResultCode cause);
    /// Returns the counter with a name and a cause. The reference is valid as long as this object. `name` may contain letters, digits and '_'.
    std::atomic<std::uint64_t> &counter(std::string_view name, std::string_view cause);
    void setGauge(std::string_view name, double value);

    MetricsSnapshot snapshot() const;

private:
    /// Returns the metrics of a customer, or those of `otherCustomers` beyond the limit. Must be called with m_mutex locked.
    RequestMetrics &requestMetrics(std::string_view customer, WorkClass workClass);

    const std::size_t m_maxCustomers;
    mutable std::mutex m_mutex;
    std::map<std::string, std::map<WorkClass, RequestMetrics>, std::less<>> m_customers;
    std::map<CounterKey, std::atomic<std::uint64_t>> m_counters;
    std::map<std::string, double, std::less<>> m_gauges;
};

/// Formats metrics in the Prometheus text format, version 0.0.4.
std::string prometheusText(const MetricsSnapshot &snapshot);

}
