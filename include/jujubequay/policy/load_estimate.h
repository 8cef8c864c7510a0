#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/core/identifiers.h>

#include <array>
#include <cstdint>
#include <optional>

namespace Jujubequay {

/// Work at a backend server, as its agent counts it.
struct LoadReport {
    std::uint32_t running = 0; ///< requests in slots
    std::uint32_t queued = 0; ///< requests that wait for a slot
    std::uint32_t flows = 0; ///< open flows
    bool operator==(const LoadReport &) const = default;
};

struct LoadEstimateOptions {
    std::uint32_t slots = 3;
    /// Work assumed for a server that has not reported, in requests; 70% of three slots.
    double typicalWork = 2.1;
    /// A report loses half of its influence in this time. About the mean slot time of a request, after which most of the
    /// reported requests have been replaced by others.
    Duration halfLife = std::chrono::milliseconds(200);
    /// Open flows change over hours, so their count stays usable for longer than the count of running requests.
    Duration flowsUsableFor = std::chrono::seconds(10);
    /// Recent answer times above this multiple of the usual ones contradict a report. Eight exponentially distributed
    /// answer times average above twice their mean in about 1 of 10,000 cases.
    double slowAnswerRatio = 2;
    /// Time for which a server whose report was proven wrong counts as having a full queue.
    Duration distrustFor = std::chrono::seconds(10);
    /// A server that has just started counts as partly occupied for this time.
    Duration rampTime = std::chrono::seconds(10);
};

/// What is known of the load of one other server, from its reports, the work sent to it and its answer times. A report
/// that answer times contradict is replaced by the load that the answer times imply.
class LoadEstimate
{
public:
    LoadEstimate();
    explicit LoadEstimate(LoadEstimateOptions options);

    /// Figures arrived on an answer or a handover.
    void reported(TimePoint now, const LoadReport &report);
    /// A request or an opening was sent to the server; counted on top of the last report.
    void sent();
    /// A request was answered in the given time, including its wait for a slot.
    void answered(WorkClass workClass, Duration time);
    /// The server moved a request away although its report promised room. See isContradictedByMove.
    void contradicted(TimePoint now);
    /// The server has started: it has no work and no flows, and the cold-start ramp begins. Without this figure a server that
    /// joins would stay unknown, because figures travel on traffic.
    void started(TimePoint now);

    /// Estimated requests running and queued, never negative.
    double work(TimePoint now) const;
    /// Estimated open flows; empty without a recent report or while reports are contradicted.
    std::optional<double> flows(TimePoint now) const;
    /// True while answer times or moved requests contradict the reports.
    bool isContradicted(TimePoint now) const;
    /// Share of the cold-start ramp that has passed, 0 to 1; 1 for a server that was not seen to start.
    double ramp(TimePoint now) const;

private:
    struct AnswerTimes {
        double usualSeconds = 0;
        std::uint32_t count = 0;
    };

    bool areAnswersSlow() const;

    LoadEstimateOptions m_options;
    std::optional<LoadReport> m_report;
    TimePoint m_reportedAt{};
    std::uint32_t m_sentSince = 0;
    std::array<AnswerTimes, 4> m_answerTimes{};
    double m_recentRatio = 1; ///< moving average of answer time over the usual time of its class
    std::optional<TimePoint> m_startedAt;
    std::optional<TimePoint> m_distrustedUntil;
};

/// True if the work that a server reported with a request that it moved cannot be true: it moves requests only if it has
/// more than `margin` work (AdmissionOptions::moveMargin).
bool isContradictedByMove(double reportedWork, double margin);

}
