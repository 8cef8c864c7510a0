#include <jujubequay/policy/outlier_detector.h>

#include <algorithm>

namespace Jujubequay {

OutlierDetector::OutlierDetector(OutlierDetectorOptions options)
    : m_options(options)
{
}

void OutlierDetector::recordSuccess(TimePoint now)
{
    recordOutcome(false);
    // During an ejection, answers on flows that are still open do not prove that the server has recovered.
    if (m_state == State::Probing || (m_state == State::Ejected && now >= m_ejectedUntil)) {
        m_state = State::Healthy;
    }
}

void OutlierDetector::recordFailure(TimePoint now)
{
    recordOutcome(true);
    const bool isOutlier
        = m_failures >= m_options.minFailures && static_cast<double>(m_failures) >= m_options.failureShare * static_cast<double>(m_outcomes.size());
    if (m_state != State::Healthy || isOutlier) {
        eject(now);
    }
}

bool OutlierDetector::isHealthy() const
{
    return m_state == State::Healthy;
}

bool OutlierDetector::tryAdmitFlow(TimePoint now)
{
    if (m_state == State::Healthy) {
        return true;
    }
    const bool isProbeDue = now >= m_ejectedUntil && now - m_lastProbe >= m_options.probeInterval;
    if (isProbeDue) {
        m_state = State::Probing;
        m_lastProbe = now;
    }
    return isProbeDue;
}

void OutlierDetector::recordOutcome(bool isFailure)
{
    m_outcomes.push_back(isFailure);
    m_failures += isFailure ? 1 : 0;
    if (m_outcomes.size() > m_options.window) {
        m_failures -= m_outcomes.front() ? 1 : 0;
        m_outcomes.pop_front();
    }
}

void OutlierDetector::eject(TimePoint now)
{
    if (m_state == State::Ejected && now < m_ejectedUntil) {
        return;
    }
    m_ejections = now - m_ejectedUntil > m_options.ejectionResetAfter ? 0 : m_ejections;
    constexpr std::uint32_t maxDoublings = 8;
    m_ejectedUntil = now + std::min(m_options.maxEjection, m_options.initialEjection * (1 << std::min(m_ejections, maxDoublings)));
    ++m_ejections;
    m_state = State::Ejected;
    m_outcomes.clear();
    m_failures = 0;
}

}
