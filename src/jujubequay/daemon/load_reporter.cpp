#include <jujubequay/daemon/load_reporter.h>

namespace Jujubequay {

LoadReporter::LoadReporter(ReportMode mode, Duration lag)
    : m_mode(mode)
    , m_lag(mode == ReportMode::Lagging ? lag : Duration::zero())
    , m_history{{TimePoint::min(), {}}}
{
}

void LoadReporter::update(TimePoint now, const ReportedLoad &load)
{
    if (m_mode == ReportMode::Misleading) {
        return;
    }
    m_history.push_back({now, load});
    report(now);
}

ReportedLoad LoadReporter::report(TimePoint now)
{
    if (m_mode == ReportMode::Misleading) {
        return {};
    }
    while (m_history.size() > 1 && m_history[1].time <= now - m_lag) {
        m_history.pop_front();
    }
    return m_history.front().load;
}

}
