#include <jujubequay/policy/load_estimate.h>

#include <algorithm>
#include <cmath>

namespace Jujubequay {

namespace {

/// Share of the latest answer in the moving average of recent answer times.
constexpr double recentSmoothing = 1.0 / 8;
/// Share of the latest answer in the moving average of the usual answer time.
constexpr double usualSmoothing = 1.0 / 64;
/// The usual time adapts more slowly while answers are slow, so that only a lasting change of the work is accepted as usual.
constexpr double usualSmoothingWhileSlow = 1.0 / 1024;
/// Answers of a class that determine its first usual time, before answer times are compared with it.
constexpr std::uint32_t minAnswers = 16;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

}

LoadEstimate::LoadEstimate()
    : LoadEstimate(LoadEstimateOptions{})
{
}

LoadEstimate::LoadEstimate(LoadEstimateOptions options)
    : m_options(options)
{
}

void LoadEstimate::recordReport(TimePoint now, const LoadReport &report)
{
    m_report = report;
    m_reportedAt = now;
    m_sentSinceReport = 0;
}

void LoadEstimate::recordSent()
{
    ++m_sentSinceReport;
}

void LoadEstimate::recordAnswer(WorkClass workClass, Duration time)
{
    AnswerTimes &times = m_answerTimes[static_cast<std::size_t>(workClass)];
    const double seconds = toSeconds(time);
    ++times.count;
    if (times.count <= minAnswers) {
        times.usualSeconds += (seconds - times.usualSeconds) / times.count;
        return;
    }
    const double ratio = times.usualSeconds > 0 ? seconds / times.usualSeconds : 1;
    m_recentRatio += (ratio - m_recentRatio) * recentSmoothing;
    times.usualSeconds += (seconds - times.usualSeconds) * (areAnswersSlow() ? usualSmoothingWhileSlow : usualSmoothing);
}

void LoadEstimate::recordContradiction(TimePoint now)
{
    m_contradictedUntil = now + m_options.contradictionLifetime;
}

void LoadEstimate::recordStart(TimePoint now)
{
    m_report = LoadReport{};
    m_reportedAt = now;
    m_sentSinceReport = 0;
    m_answerTimes = {};
    m_recentRatio = 1;
    m_startedAt = now;
    m_contradictedUntil.reset();
}

double LoadEstimate::work(TimePoint now) const
{
    double estimate = m_options.typicalWork;
    if (m_report) {
        const double age = std::max(0.0, toSeconds(now - m_reportedAt));
        const double influence = std::exp2(-age / toSeconds(m_options.halfLife));
        const double reported = m_report->running + m_report->queued;
        estimate += (reported - m_options.typicalWork) * influence;
    }
    estimate += m_sentSinceReport;
    if (areAnswersSlow()) {
        estimate = std::max(estimate, m_recentRatio * m_options.slots);
    }
    if (m_contradictedUntil && now < *m_contradictedUntil) {
        estimate = std::max(estimate, 2.0 * m_options.slots);
    }
    return estimate + (1 - rampProgress(now)) * m_options.slots;
}

std::optional<double> LoadEstimate::flows(TimePoint now) const
{
    if (!m_report || isContradicted(now) || now - m_reportedAt > m_options.flowsUsableFor) {
        return std::nullopt;
    }
    return static_cast<double>(m_report->flows) + m_sentSinceReport;
}

bool LoadEstimate::isContradicted(TimePoint now) const
{
    return areAnswersSlow() || (m_contradictedUntil && now < *m_contradictedUntil);
}

bool LoadEstimate::areAnswersSlow() const
{
    return m_recentRatio > m_options.slowAnswerRatio;
}

double LoadEstimate::rampProgress(TimePoint now) const
{
    if (!m_startedAt) {
        return 1;
    }
    return std::clamp(toSeconds(now - *m_startedAt) / toSeconds(m_options.rampTime), 0.0, 1.0);
}

bool contradictsMove(double reportedWork, double margin)
{
    return reportedWork <= margin;
}

}
