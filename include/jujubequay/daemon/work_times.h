#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/daemon/backend_settings.h>

#include <random>

namespace Jujubequay {

/// Draws random work times from the configured distribution. Work times are longer during the cold start.
class WorkTimes
{
public:
    WorkTimes(const BackendSettings &settings, TimePoint start, std::mt19937_64 &random);

    /// Draws the work time of a request that starts now.
    Duration next(TimePoint now);
    /// Returns the factor of the work time, which falls linearly from `coldFactor` at the start to 1 at the end of the cold start.
    double coldFactor(TimePoint now) const;

private:
    /// Draws a work time in seconds, without the factor of the cold start.
    double drawWarmSeconds();

    BackendSettings m_settings;
    TimePoint m_start;
    std::mt19937_64 &m_random;
};

}
