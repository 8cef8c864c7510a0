#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/daemon/backend_settings.h>

#include <compare>
#include <cstdint>
#include <deque>

namespace Jujubequay {

/// What the health and load endpoints of the stand-in backend server say.
struct ReportedLoad {
    bool isDraining = false;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    auto operator<=>(const ReportedLoad &) const = default;
};

/// Turns the actual load into the reported one, which may lag or mislead.
class LoadReport
{
public:
    LoadReport(ReportMode mode, Duration lag);

    void update(TimePoint now, const ReportedLoad &load);
    ReportedLoad report(TimePoint now);

private:
    struct Entry {
        TimePoint time;
        ReportedLoad load;
    };

    ReportMode m_mode;
    Duration m_lag;
    std::deque<Entry> m_history; ///< the last entry that is old enough to be reported comes first
};

}
