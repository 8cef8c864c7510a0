#pragma once

#include <jujubequay/core/identifiers.h>
#include <jujubequay/policy/placement.h>
#include <jujubequay/wire/flow_id.h>
#include <jujubequay/wire/relay_header.h>

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <unordered_map>
#include <variant>

namespace Jujubequay {

/// The servers of one service in a balancer's current configuration.
struct ServicePlacement {
    std::uint64_t revision = 0; ///< revision at which the service's configuration took effect
    std::shared_ptr<const PlacementTable> servers; ///< not null
};

/// The input of forwarding decisions. Immutable; it is replaced as a whole when the configuration changes.
struct ForwardingTable {
    FlowKeySet keys;
    std::unordered_map<ServiceId, ServicePlacement> services;
};

enum class DropCause : std::uint8_t {
    NotQuic, ///< the datagram has no QUIC header
    WrongService, ///< the flow identifier names another service than the receiving address
    UnknownFlow, ///< the datagram has no valid flow identifier and is no Initial packet
    UnknownService, ///< the receiving address belongs to no configured service
    NoServer, ///< no backend server of the service accepts new flows
    NoKeys, ///< the balancer has no active flow key yet
};

std::string_view dropCauseName(DropCause cause);

/// The datagram is sent to the agent, behind this header.
struct ForwardTo {
    HostAddress agent;
    RelayHeader header;
};
/// The datagram is dropped.
struct Drop {
    DropCause cause = DropCause::NotQuic;
};
using ForwardDecision = std::variant<ForwardTo, Drop>;

/// The addresses of a datagram from a caller.
struct Arrival {
    ServiceId service; ///< service that the entry address belongs to
    HostAddress entry; ///< address of this balancer that the datagram was sent to
    HostAddress caller;
    HostAddress relay; ///< address of this balancer that agents send replies to
};

/// Decides where to send one datagram. Holds no state and allocates nothing. Equal tables give equal decisions on every
/// balancer. A datagram of an open flow is sent to the same agent under any table that holds the flow's key.
ForwardDecision decideForward(const ForwardingTable &table, const Arrival &arrival, std::span<const std::uint8_t> datagram);

}
