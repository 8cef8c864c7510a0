#include <jujubequay/policy/outlier_detector.h>

#include <algorithm>

namespace Jujubequay {

OutlierDetector::OutlierDetector(OutlierDetectorOptions options)
    : m_options(options)
{
}

void OutlierDetector::succeeded(TimePoint now)
{
    add(false);
    // Answers on flows that were open before show only that the server was not down all the time.
    if (m_state == State::Probing || (m_state == State::Ejected && now >= m_ejectedUntil)) {
        m_state = State::Trusted;
    }
}

void OutlierDetector::failed(TimePoint now)
{
    add(true);
    const bool isOutlier
        = m_failures >= m_options.leastFailures && static_cast<double>(m_failures) >= m_options.failureShare * static_cast<double>(m_outcomes.size());
    if (m_state != State::Trusted || isOutlier) {
        eject(now);
    }
}

bool OutlierDetector::isTrusted() const
{
    return m_state == State::Trusted;
}

bool OutlierDetector::admit(TimePoint now)
{
    if (m_state == State::Trusted) {
        return true;
    }
    const bool isDue = now >= m_ejectedUntil && now - m_lastProbe >= m_options.probeInterval;
    if (isDue) {
        m_state = State::Probing;
        m_lastProbe = now;
    }
    return isDue;
}

void OutlierDetector::add(bool isFailure)
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
    m_ejections = now - m_ejectedUntil > m_options.forgetAfter ? 0 : m_ejections;
    constexpr std::uint32_t maxDoublings = 8;
    m_ejectedUntil = now + std::min(m_options.longestEjection, m_options.firstEjection * (1 << std::min(m_ejections, maxDoublings)));
    ++m_ejections;
    m_state = State::Ejected;
    m_outcomes.clear();
    m_failures = 0;
}

}
