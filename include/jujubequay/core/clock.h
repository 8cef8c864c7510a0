#pragma once

#include <chrono>

namespace Jujubequay {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// Source of monotonic time. State machines receive the time as a TimePoint argument; only the code that drives them reads a clock.
class Clock
{
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
};

/// The clock of the operating system.
class SteadyClock final : public Clock
{
public:
    TimePoint now() const override;
};

/// A clock for tests; its time changes only by advance().
///
///     ManualClock clock;
///     clock.advance(std::chrono::milliseconds(5));
class ManualClock final : public Clock
{
public:
    TimePoint now() const override;
    void advance(Duration step);

private:
    TimePoint m_now{};
};

}
