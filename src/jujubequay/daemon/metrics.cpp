#include <jujubequay/daemon/metrics.h>

#include <cmath>

namespace Jujubequay {

namespace {

constexpr double minSeconds = 0.000'1;
constexpr unsigned secondsBins = 24; // upper bound of the last bin: about 28 minutes
constexpr double minBytes = 64;
constexpr unsigned bytesBins = 24; // upper bound of the last bin: 1 GiB

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

}

MetricHistogram::MetricHistogram(double minimum, unsigned bins)
    : m_bins(std::tuple(Axis(bins, minimum, std::ldexp(minimum, static_cast<int>(bins)))))
{
}

void MetricHistogram::add(double value)
{
    m_bins(value);
    m_sum += value;
    ++m_count;
}

double MetricHistogram::sum() const
{
    return m_sum;
}

std::uint64_t MetricHistogram::count() const
{
    return m_count;
}

RequestMetrics::RequestMetrics()
    : seconds(minSeconds, secondsBins)
    , queueWaitSeconds(minSeconds, secondsBins)
    , bytes(minBytes, bytesBins)
{
}

Metrics::Metrics(std::size_t maxCustomers)
    : m_maxCustomers(maxCustomers)
{
}

void Metrics::addRequest(std::string_view customer, WorkClass workClass, const RequestSample &sample)
{
    const std::lock_guard lock(m_mutex);
    RequestMetrics &metrics = requestMetrics(customer, workClass);
    metrics.seconds.add(secondsOf(sample.time));
    metrics.queueWaitSeconds.add(secondsOf(sample.queueWait));
    metrics.bytes.add(static_cast<double>(sample.bytes));
}

void Metrics::addRefusal(std::string_view customer, WorkClass workClass, ResultCode cause)
{
    const std::lock_guard lock(m_mutex);
    ++requestMetrics(customer, workClass).refused[cause];
}

std::atomic<std::uint64_t> &Metrics::counter(std::string_view name, std::string_view cause)
{
    const std::lock_guard lock(m_mutex);
    return m_counters[CounterKey{std::string(name), std::string(cause)}];
}

void Metrics::setGauge(std::string_view name, double value)
{
    const std::lock_guard lock(m_mutex);
    m_gauges.insert_or_assign(std::string(name), value);
}

RequestMetrics &Metrics::requestMetrics(std::string_view customer, WorkClass workClass)
{
    const auto found = m_customers.find(customer);
    if (found != m_customers.end()) {
        return found->second[workClass];
    }
    const std::string_view name = m_customers.size() < m_maxCustomers ? customer : otherCustomers;
    return m_customers[std::string(name)][workClass];
}

MetricsSnapshot Metrics::snapshot() const
{
    MetricsSnapshot snapshot;
    const std::lock_guard lock(m_mutex);
    for (const auto &[customer, classes] : m_customers) {
        for (const auto &[workClass, metrics] : classes) {
            snapshot.requests.emplace(MetricKey{customer, workClass}, metrics);
        }
    }
    for (const auto &[key, value] : m_counters) {
        snapshot.counters.emplace(key, value.load(std::memory_order_relaxed));
    }
    snapshot.gauges.insert(m_gauges.begin(), m_gauges.end());
    return snapshot;
}

}
