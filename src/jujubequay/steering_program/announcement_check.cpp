#include <jujubequay/steering_program/announcement_check.h>

#include <fmt/format.h>

#include <algorithm>

namespace Jujubequay {

namespace {

/// The server is on the same host as the agent, but the time of day may be set between two readings of it.
constexpr auto maxClockDifference = std::chrono::minutes(1);

bool isRouted(const RouteTable &routes, const std::string &service)
{
    return std::any_of(routes.routes().begin(), routes.routes().end(), [&service](const Route &route) {
        return std::any_of(route.services.begin(), route.services.end(), [&service](const RouteService &candidate) {
            return candidate.name == service;
        });
    });
}

}

Result<void> checkAnnouncement(const ServerAnnouncement &announcement,
                               const ExpectedServer &expected,
                               const RouteTable &routes,
                               std::chrono::system_clock::time_point wallTime)
{
    if (announcement.address != expected.address) {
        return fail(ResultCode::BadRequest,
                    fmt::format("address {}: the server of this agent is at {}", toString(announcement.address), toString(expected.address)));
    }
    const bool isExpected = expected.service.empty() ? routes.version() == 0 : announcement.service == expected.service;
    if (!isExpected && !isRouted(routes, announcement.service)) {
        return fail(ResultCode::BadRequest,
                    fmt::format("service \"{}\": neither \"{}\" nor on a route of version {}", announcement.service, expected.service, routes.version()));
    }
    const auto latestStart = std::chrono::duration_cast<std::chrono::milliseconds>((wallTime + maxClockDifference).time_since_epoch());
    const std::chrono::milliseconds startedAt(announcement.startedAtMs);
    if (startedAt > latestStart) {
        return fail(ResultCode::BadRequest, fmt::format("start time {} ms: later than {} ms", startedAt.count(), latestStart.count()));
    }
    // A server sends at most one announcement a millisecond.
    const auto maxSequence = static_cast<std::uint64_t>((latestStart - startedAt).count());
    if (announcement.sequence > maxSequence) {
        return fail(ResultCode::BadRequest, fmt::format("sequence {}: greater than {}", announcement.sequence, maxSequence));
    }
    return {};
}

}
