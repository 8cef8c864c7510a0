#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/core/identifiers.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace Jujubequay {

/// Callers use a port again this long after its last use at the earliest.
constexpr auto minPortReuseTime = std::chrono::seconds(4);
/// A SYN that arrives later than this after the owner of its flow became known opens another flow with the same addresses and ports. Callers send
/// the last copy of a SYN after 600 ms.
constexpr auto maxSynDelay = minPortReuseTime;

/// How a balancer or an agent has learned which server owns a flow.
enum class OwnershipSource : std::uint8_t {
    None, ///< the owner is unknown
    Placement, ///< the balancer has sent the SYN to this server; another one may have opened the flow
    OwnerNotice, ///< the agent of the owner has sent a notice
    LocalServer, ///< the flow was opened at the agent's own server
    FlowRecord, ///< a control host has recorded the flow
};

/// Name of a source in logs.
std::string_view ownershipSourceName(OwnershipSource source);

/// Why an incarnation of a server counts as ended.
enum class ServerEndCause : std::uint8_t {
    Deregistered, ///< it has deregistered itself
    Replaced, ///< it was listed before another incarnation of the same agent
};

/// Name of a cause in logs.
std::string_view serverEndCauseName(ServerEndCause cause);

/// The end of an incarnation of a server, as far as a host knows.
struct ServerEnd {
    ServerEndCause cause = ServerEndCause::Deregistered;
    Incarnation successor; ///< incarnation that has replaced it; 0 if it was deregistered
    TimePoint learnedAt{}; ///< when this host learned of it
    bool operator==(const ServerEnd &) const = default;
};

/// What a host believed about a flow when it reset the caller. It decides nothing; it is logged.
struct ResetEvidence {
    HostAddress owner; ///< agent of the owner; empty if unknown
    Incarnation incarnation; ///< of the owner; 0 if unknown
    OwnershipSource source = OwnershipSource::None;
    TimePoint learnedAt{}; ///< when the source was received; not set if unknown
    std::optional<ServerEnd> end; ///< why the owner counts as ended, if it does
};

}
