#include <jujubequay/net/keep_alive.h>

namespace Jujubequay {

KeepAlive::KeepAlive(KeepAliveOptions options, TimePoint now)
    : m_options(options)
    , m_lastReceivedTime(now)
{
}

void KeepAlive::recordReceived(TimePoint now)
{
    m_lastReceivedTime = now;
    m_isProbing = false;
}

KeepAlive::Action KeepAlive::tick(TimePoint now)
{
    if (now < nextTick()) {
        return Action::None;
    }
    if (!m_isProbing) {
        m_isProbing = true;
        m_probeTime = now;
        return Action::Probe;
    }
    // A tick that is this late means that this process was stalled. The reply may be in the socket and not read yet, so probe again.
    const bool isStalled = now - nextTick() >= m_options.timeout;
    if (isStalled) {
        m_probeTime = now;
        return Action::Probe;
    }
    return Action::Unreachable;
}

TimePoint KeepAlive::nextTick() const
{
    return m_isProbing ? m_probeTime + m_options.timeout : m_lastReceivedTime + m_options.interval;
}

}
