#pragma once

#include <jujubequay/core/clock.h>

#include <cstdint>

namespace Jujubequay {

struct KeepAliveOptions {
    Duration interval = std::chrono::seconds(10); ///< silence after which the peer is probed
    Duration timeout = std::chrono::seconds(5); ///< silence after a probe until the peer is considered dead
};

/// Decides when a silent peer is probed and when it is considered dead. Received bytes of any kind count as a sign of
/// life.
class KeepAlive
{
public:
    enum class Action : std::uint8_t { None, Probe, Dead };

    KeepAlive(KeepAliveOptions options, TimePoint now);

    void received(TimePoint now);
    Action tick(TimePoint now);
    /// When `tick` has to be called next.
    TimePoint nextTick() const;

private:
    KeepAliveOptions m_options;
    TimePoint m_lastReceived;
    TimePoint m_probeSent{};
    bool m_isProbing = false;
};

}
