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

/// The start of an agent that took an opening.
struct OpeningServer {
    HostAddress address;
    Incarnation incarnation;
    bool operator==(const OpeningServer &) const = default;
};

/// Remembers where each opening went, so that its retransmissions follow it whatever the load has become.
class OpeningTable
{
public:
    struct Options {
        /// A QUIC client retransmits an unanswered opening for a few seconds; ngtcp2's handshake timeout is 10 s.
        Duration lifetime = std::chrono::seconds(10);
        std::size_t maxEntries = 65536; ///< the oldest entry is dropped first
    };

    explicit OpeningTable(Options options);

    /// The server that took the opening with this destination identifier from this caller.
    std::optional<OpeningServer> find(TimePoint now, const HostAddress &caller, std::span<const std::uint8_t> destinationId);
    void remember(TimePoint now, const HostAddress &caller, std::span<const std::uint8_t> destinationId, const OpeningServer &server);
    std::size_t size() const;

private:
    struct Age {
        TimePoint expires;
        std::string key;
    };

    void dropExpired(TimePoint now);

    const Options m_options;
    std::unordered_map<std::string, OpeningServer> m_servers;
    std::deque<Age> m_ages;
};

}
