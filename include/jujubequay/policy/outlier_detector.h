#pragma once

#include <jujubequay/core/clock.h>

#include <cstdint>
#include <deque>

namespace Jujubequay {

struct OutlierDetectorOptions {
    std::size_t window = 10; ///< last outcomes that count
    std::size_t leastFailures = 2; ///< single failures happen at good servers
    double failureShare = 0.3;
    Duration firstEjection = std::chrono::milliseconds(800);
    Duration longestEjection = std::chrono::seconds(6);
    Duration forgetAfter = std::chrono::seconds(20); ///< without an ejection, the next one is short again
    Duration probeInterval = std::chrono::milliseconds(400); ///< between trials after an ejection, until one succeeds
};

/// Pattern: outlier ejection with probing. Judges a server by the requests that it breaks off, because its status check may say
/// anything: a server that fails at once looks idle and would attract all new flows.
class OutlierDetector
{
public:
    explicit OutlierDetector(OutlierDetectorOptions options);

    void succeeded(TimePoint now);
    void failed(TimePoint now);
    /// False while the server gets no new flows.
    bool isTrusted() const;
    /// True if a new flow may be opened. After an ejection this allows one trial at a time.
    bool admit(TimePoint now);

private:
    enum class State : std::uint8_t { Trusted, Ejected, Probing };

    void add(bool isFailure);
    void eject(TimePoint now);

    OutlierDetectorOptions m_options;
    State m_state = State::Trusted;
    std::deque<bool> m_outcomes; ///< true for a failure
    std::size_t m_failures = 0;
    std::uint32_t m_ejections = 0;
    TimePoint m_ejectedUntil{};
    TimePoint m_lastProbe{};
};

}
