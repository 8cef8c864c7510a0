#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/flow/initial_packet_table.h>
#include <jujubequay/wire/relay_header.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string_view>
#include <variant>

namespace Jujubequay {

enum class IngressDropCause : std::uint8_t {
    WrongService, ///< the header names a service other than this agent's
    StaleIncarnation, ///< the header names an earlier incarnation of this agent
    NotForAgents, ///< the relay kind is one that only balancers accept
    NotInitial, ///< the header announces an Initial packet, but the datagram has no long QUIC header
};

constexpr std::size_t ingressDropCauseCount = static_cast<std::size_t>(IngressDropCause::NotInitial) + 1;

std::string_view ingressDropCauseName(IngressDropCause cause);

/// The datagram is passed to the local QUIC server.
struct Accept {
};
/// The datagram is sent with this header to the agent that is its second choice.
struct Redirect {
    HostAddress agent;
    RelayHeader header;
};
/// The balancer is notified with this header that its configuration or server list is older than this agent's.
struct RefuseStale {
    HostAddress balancer;
    RelayHeader header;
};
/// The datagram is dropped.
struct IngressDrop {
    IngressDropCause cause = IngressDropCause::WrongService;
};
using IngressDecision = std::variant<Accept, Redirect, RefuseStale, IngressDrop>;

/// Decides how an agent handles a datagram that a balancer or another agent relayed to it.
class AgentIngress
{
public:
    /// True if an Initial packet with this header should be redirected to its second choice.
    using RedirectRule = std::function<bool(TimePoint, const RelayHeader &)>;

    AgentIngress(ServiceId service, HostAddress localAddress, Incarnation incarnation, RedirectRule shouldRedirect, InitialPacketTable::Options tableOptions);

    /// Sets the revision of the service's configuration that is in effect at this agent. Lower revisions are ignored.
    void setRevision(std::uint64_t revision);
    /// A draining agent accepts no new flows.
    void setDraining(bool draining);

    /// Decides what to do with a datagram. `localLoad` is sent along with a redirected Initial packet.
    IngressDecision receive(TimePoint now, const RelayHeader &header, std::span<const std::uint8_t> payload, const ServerLoad &localLoad);

private:
    IngressDecision receiveInitial(TimePoint now, const RelayHeader &header, std::span<const std::uint8_t> payload, const ServerLoad &localLoad);
    IngressDecision redirect(const RelayHeader &header, const AgentInstance &agent, const ServerLoad &localLoad) const;
    RefuseStale refuseStale(const RelayHeader &header) const;

    const ServiceId m_service;
    const HostAddress m_localAddress;
    const Incarnation m_incarnation;
    const RedirectRule m_shouldRedirect;
    InitialPacketTable m_initialPackets;
    std::uint64_t m_revision = 0;
    bool m_draining = false;
};

}
