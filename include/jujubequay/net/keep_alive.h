#pragma once

#include <jujubequay/core/clock.h>

#include <cstdint>

namespace Jujubequay {

struct KeepAliveOptions {
    Duration interval = std::chrono::seconds(10); ///< time without received bytes after which the peer is probed
    Duration timeout = std::chrono::seconds(5); ///< time without received bytes after a probe until the peer is considered unreachable
};

/// Decides when an idle peer is probed and when it is considered unreachable. Any received bytes prove that the peer is reachable.
class KeepAlive
{
public:
    enum class Action : std::uint8_t { None, Probe, Unreachable };

    KeepAlive(KeepAliveOptions options, TimePoint now);

    /// Records that bytes were received.
    void recordReceived(TimePoint now);
    /// Returns the action that is due. The caller sends the probe or closes the connection.
    Action tick(TimePoint now);
    /// Time of the next necessary call of `tick`.
    TimePoint nextTick() const;

private:
    KeepAliveOptions m_options;
    TimePoint m_lastReceivedTime;
    TimePoint m_probeTime{};
    bool m_isProbing = false;
};

}
