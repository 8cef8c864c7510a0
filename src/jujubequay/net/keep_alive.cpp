#include <jujubequay/net/keep_alive.h>

namespace Jujubequay {

KeepAlive::KeepAlive(KeepAliveOptions options, TimePoint now)
    : m_options(options)
    , m_lastReceived(now)
{
}

void KeepAlive::received(TimePoint now)
{
    m_lastReceived = now;
    m_isProbing = false;
}

KeepAlive::Action KeepAlive::tick(TimePoint now)
{
    if (now < nextTick()) {
        return Action::None;
    }
    if (!m_isProbing) {
        m_isProbing = true;
        m_probeSent = now;
        return Action::Probe;
    }
    // A tick that comes this late means that this process was stalled; the answer may wait unread in the socket.
    const bool isStalled = now - nextTick() >= m_options.timeout;
    if (isStalled) {
        m_probeSent = now;
        return Action::Probe;
    }
    return Action::Dead;
}

TimePoint KeepAlive::nextTick() const
{
    return m_isProbing ? m_probeSent + m_options.timeout : m_lastReceived + m_options.interval;
}

}
