#pragma once

#include <chrono>

namespace Jujubequay {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// Source of monotonic time. State machines take a TimePoint; only shells ask a clock.
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

/// A clock that moves only when told to.
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
