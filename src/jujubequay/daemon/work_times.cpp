#include <jujubequay/daemon/work_times.h>

#include <cmath>

namespace Jujubequay {

namespace {

// Shape parameter of the lognormal distribution. With 1.0, the 99th percentile is about 6 times the mean.
constexpr double lognormalSigma = 1.0;

}

WorkTimes::WorkTimes(const BackendSettings &settings, TimePoint start, std::mt19937_64 &random)
    : m_settings(settings)
    , m_start(start)
    , m_random(random)
{
}

Duration WorkTimes::next(TimePoint now)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(drawWarmSeconds() * coldFactor(now)));
}

double WorkTimes::coldFactor(TimePoint now) const
{
    if (now - m_start >= m_settings.coldStart) {
        return 1;
    }
    const double remaining = 1 - std::chrono::duration<double>(now - m_start) / std::chrono::duration<double>(m_settings.coldStart);
    return 1 + (m_settings.coldFactor - 1) * remaining;
}

double WorkTimes::drawWarmSeconds()
{
    const double mean = std::chrono::duration<double>(m_settings.meanWork).count();
    if (mean <= 0 || m_settings.distribution == WorkDistribution::Fixed) {
        return mean;
    }
    if (m_settings.distribution == WorkDistribution::Exponential) {
        return std::exponential_distribution<double>(1 / mean)(m_random);
    }
    const double mu = std::log(mean) - lognormalSigma * lognormalSigma / 2;
    return std::lognormal_distribution<double>(mu, lognormalSigma)(m_random);
}

}
