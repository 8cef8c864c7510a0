#include <jujubequay/core/name_table.h>
#include <jujubequay/flow/agent_ingress.h>
#include <jujubequay/flow/packet.h>

#include <algorithm>

namespace Jujubequay {

namespace {

constexpr NameTable<IngressDropCause, 5> ingressDropCauseNames{{{
    {IngressDropCause::WrongService, "wrong-service"},
    {IngressDropCause::StaleIncarnation, "stale-incarnation"},
    {IngressDropCause::NotForAgents, "not-for-agents"},
    {IngressDropCause::NotAnOpening, "not-an-opening"},
    {IngressDropCause::Draining, "draining"},
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

AgentIngress::AgentIngress(ServiceId service, HostAddress own, Incarnation incarnation, HandoverRule shouldHandOver, OpeningTable::Options openings)
    : m_service(service)
    , m_own(own)
    , m_incarnation(incarnation)
    , m_shouldHandOver(std::move(shouldHandOver))
    , m_openings(openings)
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

IngressDecision AgentIngress::receive(TimePoint now, const RelayHeader &header, std::span<const std::uint8_t> payload, const ServerLoad &ownLoad)
{
    if (header.service != m_service) {
        return IngressDrop{IngressDropCause::WrongService};
    }
    if (header.kind == RelayKind::Forward) {
        const bool addressed = header.incarnation == m_incarnation;
        return addressed ? IngressDecision(Accept{}) : IngressDecision(IngressDrop{IngressDropCause::StaleIncarnation});
    }
    if (header.kind == RelayKind::Initial || header.kind == RelayKind::Redirect) {
        return receiveOpening(now, header, payload, ownLoad);
    }
    return IngressDrop{IngressDropCause::NotForAgents};
}

IngressDecision AgentIngress::receiveOpening(TimePoint now, const RelayHeader &header, std::span<const std::uint8_t> payload, const ServerLoad &ownLoad)
{
    const auto packet = readInvariants(payload);
    if (!packet || !packet->longHeader) {
        return IngressDrop{IngressDropCause::NotAnOpening};
    }
    // A balancer that knows an older configuration or start of this server may know older servers as well.
    if (header.incarnation != m_incarnation || header.revision < m_revision) {
        return refuseStale(header);
    }
    const OpeningServer own{m_own, m_incarnation};
    const OpeningServer second{header.secondChoice, header.secondChoiceIncarnation};
    if (const auto taken = m_openings.find(now, header.caller, packet->destinationId)) {
        return *taken == own ? IngressDecision(Accept{}) : handOver(header, *taken, ownLoad);
    }
    const bool mayHandOver = header.kind == RelayKind::Initial && hasSecondChoice(header);
    if (m_draining) {
        // The balancer learns that this server no longer takes flows; the caller's retransmission goes elsewhere.
        if (!mayHandOver) {
            return refuseStale(header);
        }
        m_openings.remember(now, header.caller, packet->destinationId, second);
        return handOver(header, second, ownLoad);
    }
    const bool handsOver = mayHandOver && m_shouldHandOver(now, header);
    m_openings.remember(now, header.caller, packet->destinationId, handsOver ? second : own);
    return handsOver ? handOver(header, second, ownLoad) : IngressDecision(Accept{});
}

IngressDecision AgentIngress::handOver(const RelayHeader &header, const OpeningServer &server, const ServerLoad &ownLoad) const
{
    RelayHeader handover = header;
    handover.kind = RelayKind::Redirect;
    handover.incarnation = server.incarnation;
    handover.load = ownLoad;
    return HandOver{server.address, handover};
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
