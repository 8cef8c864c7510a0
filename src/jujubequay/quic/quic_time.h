#pragma once

#include <jujubequay/core/clock.h>

#include <ngtcp2/ngtcp2.h>

#include <limits>

namespace Jujubequay {

inline ngtcp2_tstamp toTimestamp(TimePoint time)
{
    return static_cast<ngtcp2_tstamp>(std::chrono::nanoseconds(time.time_since_epoch()).count());
}

/// Converts a timestamp of ngtcp2. Returns TimePoint::max() for timestamps out of range, such as "no timeout".
inline TimePoint fromTimestamp(ngtcp2_tstamp timestamp)
{
    if (timestamp > static_cast<ngtcp2_tstamp>(std::numeric_limits<std::int64_t>::max())) {
        return TimePoint::max();
    }
    return TimePoint(std::chrono::nanoseconds(timestamp));
}

inline ngtcp2_duration toQuicDuration(Duration duration)
{
    return static_cast<ngtcp2_duration>(std::chrono::nanoseconds(duration).count());
}

}
