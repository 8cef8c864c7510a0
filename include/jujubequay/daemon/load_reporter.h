#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/daemon/backend_settings.h>

#include <compare>
#include <cstdint>
#include <deque>

namespace Jujubequay {

/// State that the health and load endpoints of the stub backend server report.
struct ReportedLoad {
    bool isDraining = false;
    std::uint32_t running = 0; ///< requests that hold a slot
    std::uint32_t waiting = 0; ///< requests that wait for a slot
    auto operator<=>(const ReportedLoad &) const = default;
};

/// Converts the actual load to the reported load, which can be outdated or wrong on purpose.
class LoadReporter
{
public:
    LoadReporter(ReportMode mode, Duration lag);

    void update(TimePoint now, const ReportedLoad &load);
    /// Returns the load to report at a time.
    ReportedLoad report(TimePoint now);

private:
    struct Entry {
        TimePoint time;
        ReportedLoad load;
    };

    ReportMode m_mode;
    Duration m_lag;
    std::deque<Entry> m_history; ///< by time; the first entry is the newest one that is old enough to be reported
};

}
