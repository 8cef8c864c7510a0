#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/core/error.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Jujubequay {

/// What a server says of itself.
struct ServerAnnouncement {
    std::string id;
    std::uint64_t startedAtMs = 0; ///< wall clock of the server's start in ms since 1970
    std::uint64_t sequence = 0; ///< rises with each announcement of one start
    std::string service;
    std::string version; ///< of the server's software
    std::uint32_t slots = 1; ///< requests that it runs at the same time
    bool isDraining = false;
    std::chrono::milliseconds warmupLeft{0}; ///< how much longer it is slow after its start
};

enum class AnnouncementOutcome : std::uint8_t {
    NewServer, ///< another start than the one that was known
    Changed, ///< draining, or other figures
    Renewed,
    Late, ///< an older announcement, or one of an earlier start; without effect
};

/// The server beside an agent, from its announcements in whatever order they arrive. A start is named by its time and its id, so a
/// late announcement of an earlier start changes nothing.
class ServerAnnouncements
{
public:
    explicit ServerAnnouncements(Duration silenceLimit);

    AnnouncementOutcome announced(TimePoint now, const ServerAnnouncement &announcement);
    /// The server has said that it ends. Returns false for a server other than the current one.
    bool left(const std::string &id);
    /// The server's process is known to be gone.
    void lost();

    /// Empty before the first announcement and after the server is gone.
    const std::optional<ServerAnnouncement> &current() const;
    bool hasLeft() const;
    /// True while it announces itself and is not leaving.
    bool takesNewFlows(TimePoint now) const;
    bool isSilent(TimePoint now) const;
    /// Names the start; never 0.
    std::uint32_t incarnation() const;

private:
    const Duration m_silenceLimit;
    std::optional<ServerAnnouncement> m_current;
    std::uint64_t m_endedAtMs = 0; ///< start of the last server that is gone
    std::string m_endedId;
    TimePoint m_heardAt{};
    bool m_hasLeft = false;
};

}
