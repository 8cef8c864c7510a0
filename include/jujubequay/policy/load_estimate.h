#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/core/identifiers.h>

#include <array>
#include <cstdint>
#include <optional>

namespace Jujubequay {

/// Work at a backend server, as counted by its agent.
struct LoadReport {
    std::uint32_t running = 0; ///< requests that occupy a slot
    std::uint32_t queued = 0; ///< requests that wait for a slot
    std::uint32_t flows = 0; ///< open flows
    bool operator==(const LoadReport &) const = default;
};

struct LoadEstimateOptions {
    std::uint32_t slots = 3; ///< requests that the server runs at the same time
    /// Work assumed for a server without a report, in requests: 70% of three slots.
    double typicalWork = 2.1;
    /// Time in which a report loses half of its influence. This is about the mean slot time of a request, after which most of
    /// the reported requests have ended and others run.
    Duration halfLife = std::chrono::milliseconds(200);
    /// Time for which the reported number of flows is used. It is much longer than `halfLife`, because flows last for hours.
    Duration flowsUsableFor = std::chrono::seconds(10);
    /// Ratio of recent to usual answer times above which answer times contradict a report. The mean of eight exponentially
    /// distributed answer times exceeds twice their expected value in about 1 of 10,000 cases.
    double slowAnswerRatio = 2;
    /// Time for which a server is assumed to have a full queue after one of its moves has contradicted its report.
    Duration contradictionLifetime = std::chrono::seconds(10);
    /// Length of the cold-start ramp, during which a server that has just started counts as partly occupied.
    Duration rampTime = std::chrono::seconds(10);
};

/// Estimates the load of one other server from its reports, the requests sent to it and its answer times. If answer times
/// contradict a report, the estimate is at least the load that they imply.
class LoadEstimate
{
public:
    LoadEstimate();
    explicit LoadEstimate(LoadEstimateOptions options);

    /// Records a load report from the server.
    void recordReport(TimePoint now, const LoadReport &report);
    /// Records that a request or an Initial packet was sent to the server. It is added to the last report.
    void recordSent();
    /// Records the time in which a request was answered, including its wait for a slot.
    void recordAnswer(WorkClass workClass, Duration time);
    /// Records that the server has moved a request although its reported load did not justify a move. See contradictsMove.
    void recordContradiction(TimePoint now);
    /// Records that the server has started, with no requests and no flows, and begins the cold-start ramp. The load of a new
    /// server would otherwise stay unknown, because servers report their load only along with traffic.
    void recordStart(TimePoint now);

    /// Estimated number of running and queued requests, never negative.
    double work(TimePoint now) const;
    /// Estimated number of open flows; empty without a recent report or while reports are contradicted.
    std::optional<double> flows(TimePoint now) const;
    /// True while answer times or moved requests contradict the reports.
    bool isContradicted(TimePoint now) const;
    /// Share of the cold-start ramp that has passed, 0 to 1; 1 for a server whose start was not recorded.
    double rampProgress(TimePoint now) const;

private:
    struct AnswerTimes {
        double usualSeconds = 0;
        std::uint32_t count = 0;
    };

    bool areAnswersSlow() const;

    LoadEstimateOptions m_options;
    std::optional<LoadReport> m_report;
    TimePoint m_reportedAt{};
    std::uint32_t m_sentSinceReport = 0;
    std::array<AnswerTimes, 4> m_answerTimes{};
    double m_recentRatio = 1; ///< moving average of the ratio of answer time to usual answer time of the class
    std::optional<TimePoint> m_startedAt;
    std::optional<TimePoint> m_contradictedUntil;
};

/// True if a server that has moved a request reported work that contradicts the move. A server moves requests only if it has
/// more work than `margin` (AdmissionOptions::moveMargin).
bool contradictsMove(double reportedWork, double margin);

}
