#pragma once

#include <jujubequay/core/clock.h>

#include <cstdint>
#include <deque>

namespace Jujubequay {

struct OutlierDetectorOptions {
    std::size_t window = 10; ///< number of latest outcomes that are evaluated
    std::size_t minFailures = 2; ///< failures in the window that are needed for an ejection, since a healthy server may fail once
    double failureShare = 0.3; ///< share of failures in the window that is needed for an ejection
    Duration initialEjection = std::chrono::milliseconds(800); ///< duration of the first ejection; each further one lasts twice as long
    Duration maxEjection = std::chrono::seconds(6);
    Duration ejectionResetAfter = std::chrono::seconds(20); ///< time after the end of an ejection after which the duration starts over
    Duration probeInterval = std::chrono::milliseconds(400); ///< time between probes after an ejection, until one succeeds
};

/// Outlier ejection with probing, for one server. It relies on the outcomes of requests, not on the server's status check, which
/// may be wrong: a server that fails all requests immediately looks idle and would attract all new flows.
class OutlierDetector
{
public:
    explicit OutlierDetector(OutlierDetectorOptions options);

    /// Records a request that the server completed.
    void recordSuccess(TimePoint now);
    /// Records a request that the server aborted or failed.
    void recordFailure(TimePoint now);
    /// False from the start of an ejection until a request succeeds after the ejection has ended.
    bool isHealthy() const;
    /// True if a new flow may be opened to the server. After an ejection this is true for one flow, the probe, in each `probeInterval`.
    bool tryAdmitFlow(TimePoint now);

private:
    enum class State : std::uint8_t { Healthy, Ejected, Probing };

    void recordOutcome(bool isFailure);
    void eject(TimePoint now);

    OutlierDetectorOptions m_options;
    State m_state = State::Healthy;
    std::deque<bool> m_outcomes; ///< the latest outcomes; true for a failure
    std::size_t m_failures = 0; ///< failures in m_outcomes
    std::uint32_t m_ejections = 0; ///< ejections since the duration last started over
    TimePoint m_ejectedUntil{};
    TimePoint m_lastProbe{};
};

}
