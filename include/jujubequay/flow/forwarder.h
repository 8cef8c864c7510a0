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

/// The servers of one service, as one balancer knows them.
struct ServicePlacement {
    std::uint64_t revision = 0; ///< at which the service's configuration took effect
    std::shared_ptr<const PlacementTable> servers; ///< not null
};

/// Everything that a forwarding decision needs. Immutable; a new one replaces it when the configuration changes.
struct ForwardingTable {
    FlowKeySet keys;
    std::unordered_map<ServiceId, ServicePlacement> services;
};

enum class DropCause : std::uint8_t {
    NotQuic, ///< the datagram has no QUIC header
    WrongService, ///< the flow identifier names another service than the receiving address
    UnknownFlow, ///< neither a valid flow identifier nor an opening
    UnknownService, ///< the receiving address belongs to no configured service
    NoServer, ///< no backend server of the service takes new flows
    NoKeys, ///< the balancer has no active flow key yet
};

std::string_view dropCauseName(DropCause cause);

/// Send the datagram behind this header to the agent.
struct ForwardTo {
    HostAddress agent;
    RelayHeader header;
};
struct Drop {
    DropCause cause = DropCause::NotQuic;
};
using ForwardDecision = std::variant<ForwardTo, Drop>;

/// Where a caller's datagram arrived.
struct Arrival {
    ServiceId service;
    HostAddress entry;
    HostAddress caller;
    HostAddress relay; ///< where agents send replies
};

/// Decides where one datagram goes. Holds no state and allocates nothing: equal tables give equal decisions on every
/// balancer, and a datagram of an open flow is forwarded alike under any table.
ForwardDecision decideForward(const ForwardingTable &table, const Arrival &arrival, std::span<const std::uint8_t> datagram);

}
