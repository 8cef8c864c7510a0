#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/wire/framing.h>

#include <map>
#include <optional>
#include <random>
#include <span>

namespace Jujubequay {

/// One direction of an in-memory network link for tests that loses, delays, reorders and duplicates datagrams.
class LossyLink
{
public:
    struct Options {
        double loss = 0; ///< probability that a datagram is lost
        double duplicates = 0; ///< probability that a datagram arrives twice
        Duration minDelay = std::chrono::milliseconds(1);
        Duration maxDelay = std::chrono::milliseconds(1); ///< datagrams are reordered if it is above minDelay
    };

    LossyLink(Options options, std::mt19937_64 &random)
        : m_options(options)
        , m_random(random)
    {
    }

    void send(TimePoint now, std::span<const std::uint8_t> datagram)
    {
        m_sentBytes += datagram.size();
        if (m_isDisconnected || happensWith(m_options.loss)) {
            return;
        }
        enqueue(now, datagram);
        if (happensWith(m_options.duplicates)) {
            enqueue(now, datagram);
        }
    }

    /// Arrival time of the next datagram. Empty if none is in transit.
    std::optional<TimePoint> nextArrival() const
    {
        return m_queue.empty() ? std::nullopt : std::optional(m_queue.begin()->first);
    }

    /// Returns and removes the next datagram that has arrived by `now`. Empty if there is none.
    std::optional<Bytes> receive(TimePoint now)
    {
        if (m_queue.empty() || m_queue.begin()->first > now) {
            return std::nullopt;
        }
        return std::move(m_queue.extract(m_queue.begin()).mapped());
    }

    /// A disconnected link loses every datagram.
    void setDisconnected(bool isDisconnected)
    {
        m_isDisconnected = isDisconnected;
    }

    /// Bytes passed to `send`, including lost ones.
    std::size_t sentBytes() const
    {
        return m_sentBytes;
    }

private:
    bool happensWith(double probability)
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
    bool m_isDisconnected = false;
    std::size_t m_sentBytes = 0;
};

}
