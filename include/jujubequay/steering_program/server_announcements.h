#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/core/error.h>
#include <jujubequay/core/identifiers.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Jujubequay {

/// Announcement that a server sends to its agent.
struct ServerAnnouncement {
    std::string id; ///< instance identifier of the server
    std::uint64_t startedAtMs = 0; ///< start time of the server in ms since 1970, by its wall clock
    std::uint64_t sequence = 0; ///< increases with each announcement of one incarnation
    std::string service;
    HostAddress address; ///< at which the server receives packets
    std::string zone; ///< availability zone
    std::string version; ///< software version of the server
    std::uint32_t slots = 1; ///< requests that the server runs at the same time
    bool isDraining = false;
    std::chrono::milliseconds warmupLeft{0}; ///< remaining time in which the server is slow after its start
};

enum class AnnouncementOutcome : std::uint8_t {
    NewServer, ///< another incarnation than the current one
    Changed, ///< same incarnation with other fields, for example draining
    Renewed, ///< no change
    Late, ///< ignored: out of order, or from an earlier incarnation
};

/// True if the server has certainly started after its agent, which then has observed all of its flows. An earlier run of the agent may have
/// opened flows of any other server. Times are of the wall clock of the machine; it may have been set back if the server seems to start later
/// than `wallTime`.
bool hasStartedAfterAgent(const ServerAnnouncement &announcement,
                          std::chrono::system_clock::time_point agentStartedAt,
                          std::chrono::system_clock::time_point wallTime);

/// State of the local server from its announcements, which may arrive out of order. An incarnation is identified by the server's start time
/// and id, so a late announcement of an earlier incarnation is ignored.
class ServerAnnouncements
{
public:
    /// `silenceLimit`: the server is unresponsive if its last announcement is older than this.
    explicit ServerAnnouncements(Duration silenceLimit);

    /// A server that has not announced itself accepts connections. Until `acceptsUntil` it counts as one that accepts new flows; a running server
    /// announces itself by then, but one that has deregistered does not.
    void serverFound(TimePoint acceptsUntil);
    AnnouncementOutcome handleAnnouncement(TimePoint now, const ServerAnnouncement &announcement);
    /// Marks the server as departing. Returns false if `id` is not the current server, or if a start time is given and differs. Without a current
    /// server, the departure is that of a server which has not announced itself, unless it repeats that of the server that was removed.
    bool handleDeparture(const std::string &id, std::optional<std::uint64_t> startedAtMs);
    /// Removes the current server, whose process has ended.
    void removeServer();

    /// The last announcement of the current server; empty if there is none.
    const std::optional<ServerAnnouncement> &current() const;
    /// True after handleDeparture, until the server is removed or replaced. The server may still run.
    bool hasAnnouncedDeparture() const;
    /// True after serverFound, until the server announces itself or is removed.
    bool isUnannounced() const;
    /// True if the server sends announcements, or may still send its first one, does not drain and has not announced its departure.
    bool acceptsNewFlows(TimePoint now) const;
    /// True if the server has announced its departure, or has not announced itself in time: its process may end without a further announcement.
    bool mayHaveEnded(TimePoint now) const;
    bool isUnresponsive(TimePoint now) const;
    /// Time since the last announcement of the current server.
    Duration timeSinceAnnouncement(TimePoint now) const;
    /// Identifies the incarnation of the server; never 0 or unconfirmedIncarnation while there is a current server.
    std::uint32_t incarnation() const;

private:
    const Duration m_silenceLimit;
    std::optional<ServerAnnouncement> m_current;
    std::uint64_t m_removedStartedAtMs = 0; ///< start time of the last server that was removed
    std::string m_removedId;
    TimePoint m_lastAnnouncedAt{};
    bool m_hasAnnouncedDeparture = false;
    bool m_isUnannounced = false;
    TimePoint m_unannouncedUntil{}; ///< time until which the unannounced server accepts new flows
};

}
