#include <jujubequay/core/name_table.h>
#include <jujubequay/flow/agent_ingress.h>
#include <jujubequay/flow/packet.h>

#include <algorithm>

namespace Jujubequay {

namespace {

constexpr NameTable<IngressDropCause, ingressDropCauseCount> ingressDropCauseNames{{{
    {IngressDropCause::WrongService, "wrong-service"},
    {IngressDropCause::StaleIncarnation, "stale-incarnation"},
    {IngressDropCause::NotForAgents, "not-for-agents"},
    {IngressDropCause::NotInitial, "not-an-opening"},
}}};

bool hasSecondChoice(const RelayHeader &header)
{
    return header.secondChoice != HostAddress{};
}

}

std::string_view ingressDropCauseName(IngressDropCause cause)
{
    return ingressDropCauseNames.name(cause);
}

AgentIngress::AgentIngress(
    ServiceId service, HostAddress localAddress, Incarnation incarnation, RedirectRule shouldRedirect, InitialPacketTable::Options tableOptions)
    : m_service(service)
    , m_localAddress(localAddress)
    , m_incarnation(incarnation)
    , m_shouldRedirect(std::move(shouldRedirect))
    , m_initialPackets(tableOptions)
{
}

void AgentIngress::setRevision(std::uint64_t revision)
{
    m_revision = std::max(m_revision, revision);
}

void AgentIngress::setDraining(bool draining)
{
    m_draining = draining;
}

IngressDecision AgentIngress::receive(TimePoint now, const RelayHeader &header, std::span<const std::uint8_t> payload, const ServerLoad &localLoad)
{
    if (header.service != m_service) {
        return IngressDrop{IngressDropCause::WrongService};
    }
    if (header.kind == RelayKind::Forward) {
        const bool isCurrent = header.incarnation == m_incarnation;
        return isCurrent ? IngressDecision(Accept{}) : IngressDecision(IngressDrop{IngressDropCause::StaleIncarnation});
    }
    if (header.kind == RelayKind::Initial || header.kind == RelayKind::Redirect) {
        return receiveInitial(now, header, payload, localLoad);
    }
    return IngressDrop{IngressDropCause::NotForAgents};
}

IngressDecision AgentIngress::receiveInitial(TimePoint now, const RelayHeader &header, std::span<const std::uint8_t> payload, const ServerLoad &localLoad)
{
    const auto packet = readInvariants(payload);
    if (!packet || !packet->hasLongHeader) {
        return IngressDrop{IngressDropCause::NotInitial};
    }
    // A balancer with an older configuration or incarnation of this server may hold an outdated server list as well.
    if (header.incarnation != m_incarnation || header.revision < m_revision) {
        return refuseStale(header);
    }
    const AgentInstance local{m_localAddress, m_incarnation};
    const AgentInstance second{header.secondChoice, header.secondChoiceIncarnation};
    if (const auto recorded = m_initialPackets.find(now, header.caller, packet->destinationId)) {
        return *recorded == local ? IngressDecision(Accept{}) : redirect(header, *recorded, localLoad);
    }
    const bool mayRedirect = header.kind == RelayKind::Initial && hasSecondChoice(header);
    if (m_draining) {
        // The refusal notifies the balancer that this server accepts no new flows; it sends the caller's retransmission to another server.
        if (!mayRedirect) {
            return refuseStale(header);
        }
        m_initialPackets.insert(now, header.caller, packet->destinationId, second);
        return redirect(header, second, localLoad);
    }
    const bool redirects = mayRedirect && m_shouldRedirect(now, header);
    m_initialPackets.insert(now, header.caller, packet->destinationId, redirects ? second : local);
    return redirects ? redirect(header, second, localLoad) : IngressDecision(Accept{});
}

IngressDecision AgentIngress::redirect(const RelayHeader &header, const AgentInstance &agent, const ServerLoad &localLoad) const
{
    RelayHeader redirected = header;
    redirected.kind = RelayKind::Redirect;
    redirected.incarnation = agent.incarnation;
    redirected.load = localLoad;
    return Redirect{agent.address, redirected};
}

RefuseStale AgentIngress::refuseStale(const RelayHeader &header) const
{
    RelayHeader refusal = header;
    refusal.kind = RelayKind::StaleConfig;
    refusal.revision = m_revision;
    refusal.incarnation = m_incarnation;
    return RefuseStale{header.balancer, refusal};
}

}
