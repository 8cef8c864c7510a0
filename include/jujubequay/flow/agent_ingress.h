#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/flow/opening_table.h>
#include <jujubequay/wire/relay_header.h>

#include <cstdint>
#include <functional>
#include <span>
#include <string_view>
#include <variant>

namespace Jujubequay {

enum class IngressDropCause : std::uint8_t {
    WrongService, ///< the header names another service than this agent's
    StaleIncarnation, ///< the header names an earlier start of this agent
    NotForAgents, ///< a kind that only balancers accept
    NotAnOpening, ///< an opening header before a datagram that opens nothing
    Draining, ///< an opening at a draining server that cannot be handed over
};

std::string_view ingressDropCauseName(IngressDropCause cause);

/// Pass the datagram to the QUIC server.
struct Accept {
};
/// Send the datagram, with this header, to the second choice.
struct HandOver {
    HostAddress agent;
    RelayHeader header;
};
/// Tell the balancer that its configuration or server list is older than this agent's.
struct RefuseStale {
    HostAddress balancer;
    RelayHeader header;
};
struct IngressDrop {
    IngressDropCause cause = IngressDropCause::WrongService;
};
using IngressDecision = std::variant<Accept, HandOver, RefuseStale, IngressDrop>;

/// Decides at an agent what happens to a relayed datagram.
class AgentIngress
{
public:
    /// True if an opening with this header should go to its second choice.
    using HandoverRule = std::function<bool(TimePoint, const RelayHeader &)>;

    AgentIngress(ServiceId service, HostAddress own, Incarnation incarnation, HandoverRule shouldHandOver, OpeningTable::Options openings);

    /// The revision of the service's configuration in effect at this agent. Lower revisions are ignored.
    void setRevision(std::uint64_t revision);
    /// A draining agent takes no new flows.
    void setDraining(bool draining);

    IngressDecision receive(TimePoint now, const RelayHeader &header, std::span<const std::uint8_t> payload, const ServerLoad &ownLoad);

private:
    IngressDecision receiveOpening(TimePoint now, const RelayHeader &header, std::span<const std::uint8_t> payload, const ServerLoad &ownLoad);
    IngressDecision handOver(const RelayHeader &header, const OpeningServer &server, const ServerLoad &ownLoad) const;
    RefuseStale refuseStale(const RelayHeader &header) const;

    const ServiceId m_service;
    const HostAddress m_own;
    const Incarnation m_incarnation;
    const HandoverRule m_shouldHandOver;
    OpeningTable m_openings;
    std::uint64_t m_revision = 0;
    bool m_draining = false;
};

}
