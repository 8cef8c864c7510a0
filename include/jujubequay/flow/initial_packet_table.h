#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/core/identifiers.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>

namespace Jujubequay {

/// One incarnation of an agent.
struct AgentInstance {
    HostAddress address;
    Incarnation incarnation;
    bool operator==(const AgentInstance &) const = default;
};

/// Records the agent that each Initial packet was placed on, so that retransmissions reach the same agent after the load has changed.
class InitialPacketTable
{
public:
    struct Options {
        /// A QUIC client retransmits an unanswered Initial packet for a few seconds; the handshake timeout of ngtcp2 is 10 s.
        Duration lifetime = std::chrono::seconds(10);
        std::size_t maxEntries = 65536; ///< beyond this number the oldest entry is removed
    };

    explicit InitialPacketTable(Options options);

    /// The agent on which the Initial packet with this destination identifier from this caller was placed; empty if none is recorded.
    std::optional<AgentInstance> find(TimePoint now, const HostAddress &caller, std::span<const std::uint8_t> destinationId);
    /// Adds an entry. An existing entry for the same packet is kept.
    void insert(TimePoint now, const HostAddress &caller, std::span<const std::uint8_t> destinationId, const AgentInstance &agent);
    std::size_t size() const;

private:
    struct Expiry {
        TimePoint time;
        std::string key;
    };

    void removeExpired(TimePoint now);

    const Options m_options;
    std::unordered_map<std::string, AgentInstance> m_agents;
    std::deque<Expiry> m_expiries; ///< expiries of the entries in order of time
};

}
