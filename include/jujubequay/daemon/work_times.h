#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/daemon/backend_settings.h>

#include <random>

namespace Jujubequay {

/// Draws work times: the distribution of the settings, longer during a cold start.
class WorkTimes
{
public:
    WorkTimes(const BackendSettings &settings, TimePoint start, std::mt19937_64 &random);

    Duration next(TimePoint now);
    /// Falls from `cold_factor` at the start to 1 at the end of the cold start.
    double coldFactor(TimePoint now) const;

private:
    double drawSeconds();

    BackendSettings m_settings;
    TimePoint m_start;
    std::mt19937_64 &m_random;
};

}
