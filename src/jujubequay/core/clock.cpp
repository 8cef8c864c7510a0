#include <jujubequay/core/clock.h>

namespace Jujubequay {

TimePoint SteadyClock::now() const
{
    return std::chrono::steady_clock::now();
}

TimePoint ManualClock::now() const
{
    return m_now;
}

void ManualClock::advance(Duration step)
{
    m_now += step;
}

}
