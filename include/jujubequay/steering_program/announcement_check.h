#pragma once

#include <jujubequay/control/route_table.h>
#include <jujubequay/core/error.h>
#include <jujubequay/steering_program/server_announcements.h>

#include <chrono>
#include <string>

namespace Jujubequay {

/// What an agent knows about its server without the server's announcements.
struct ExpectedServer {
    HostAddress address; ///< at which the agent reaches the server
    std::string service; ///< service by the agent's settings; empty if they do not name one
};

/// Checks an announcement before it changes what the agent believes: it must be about the server at the agent's own address, its service must be that
/// of the settings or one that a route uses (any one if the settings name none and there are no routes yet), and its start time and sequence number must be
/// possible at `wallTime`. Fails with BadRequest; the detail names the field, its value and the bound.
Result<void> checkAnnouncement(const ServerAnnouncement &announcement,
                               const ExpectedServer &expected,
                               const RouteTable &routes,
                               std::chrono::system_clock::time_point wallTime);

}
