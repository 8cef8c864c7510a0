#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/wire/framing.h>

#include <map>
#include <optional>
#include <random>
#include <span>

namespace Jujubequay {

/// One direction of a network in memory, for tests: loses, delays, reorders and duplicates datagrams.
class LossyLink
{
public:
    struct Options {
        double loss = 0;
        double duplicates = 0;
        Duration minDelay = std::chrono::milliseconds(1);
        Duration maxDelay = std::chrono::milliseconds(1); ///< a range of delays reorders
    };

    LossyLink(Options options, std::mt19937_64 &random)
        : m_options(options)
        , m_random(random)
    {
    }

    void send(TimePoint now, std::span<const std::uint8_t> datagram)
    {
        m_bytes += datagram.size();
        if (m_cut || chance(m_options.loss)) {
            return;
        }
        enqueue(now, datagram);
        if (chance(m_options.duplicates)) {
            enqueue(now, datagram);
        }
    }

    std::optional<TimePoint> nextArrival() const
    {
        return m_queue.empty() ? std::nullopt : std::optional(m_queue.begin()->first);
    }

    /// The next datagram that has arrived by `now`.
    std::optional<Bytes> receive(TimePoint now)
    {
        if (m_queue.empty() || m_queue.begin()->first > now) {
            return std::nullopt;
        }
        return std::move(m_queue.extract(m_queue.begin()).mapped());
    }

    /// While cut, everything is lost.
    void setDisconnected(bool cut)
    {
        m_cut = cut;
    }

    /// Bytes given to `send`, lost or not.
    std::size_t sentBytes() const
    {
        return m_bytes;
    }

private:
    bool chance(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(m_random) < probability;
    }

    void enqueue(TimePoint now, std::span<const std::uint8_t> datagram)
    {
        std::uniform_int_distribution<Duration::rep> delay(m_options.minDelay.count(), m_options.maxDelay.count());
        m_queue.emplace(now + Duration(delay(m_random)), Bytes(datagram.begin(), datagram.end()));
    }

    const Options m_options;
    std::mt19937_64 &m_random;
    std::multimap<TimePoint, Bytes> m_queue;
    bool m_cut = false;
    std::size_t m_bytes = 0;
};

}
