#include <jujubequay/flow/agent_ingress.h>
#include <jujubequay/flow/packet.h>

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace Jujubequay;

namespace {

constexpr ServiceId service{1};
constexpr HostAddress localAddress{0x7F000101, 4500};
constexpr HostAddress second{0x7F000102, 4500};
constexpr HostAddress balancer{0x7F000201, 4400};
constexpr Incarnation incarnation{55};

std::vector<std::uint8_t> initialPacket()
{
    std::vector<std::uint8_t> datagram{0xC0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8, 0};
    datagram.resize(minInitialDatagramBytes);
    return datagram;
}

RelayHeader initialHeader()
{
    RelayHeader header;
    header.kind = RelayKind::Initial;
    header.service = service;
    header.incarnation = incarnation;
    header.revision = 3;
    header.caller = {0x7F000001, 50000};
    header.balancer = balancer;
    header.secondChoice = second;
    header.secondChoiceIncarnation = Incarnation{56};
    return header;
}

}

class AgentIngressTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AgentIngressTest);
    CPPUNIT_TEST(refusesOtherServicesAndIncarnations);
    CPPUNIT_TEST(staleBalancerIsRefused);
    CPPUNIT_TEST(retransmissionsFollowTheFirstDecision);
    CPPUNIT_TEST(drainingAgentAcceptsNoInitialPacket);
    CPPUNIT_TEST(redirectedPacketIsNotRedirectedAgain);
    CPPUNIT_TEST(malformedInitialPacketIsDropped);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_redirects = false;
    }

    // Guards against a balancer with an outdated configuration, or a reused address, that delivers packets to another service.
    void refusesOtherServicesAndIncarnations()
    {
        AgentIngress ingress = makeIngress();
        RelayHeader header = initialHeader();
        header.kind = RelayKind::Forward;
        CPPUNIT_ASSERT(std::holds_alternative<Accept>(receive(ingress, header)));
        header.incarnation = Incarnation{54};
        CPPUNIT_ASSERT(dropCauseOf(receive(ingress, header)) == IngressDropCause::StaleIncarnation);
        header.incarnation = incarnation;
        header.service = ServiceId{2};
        CPPUNIT_ASSERT(dropCauseOf(receive(ingress, header)) == IngressDropCause::WrongService);
        header.service = service;
        header.kind = RelayKind::Reply;
        CPPUNIT_ASSERT(dropCauseOf(receive(ingress, header)) == IngressDropCause::NotForAgents);
    }

    // Guards against a lagging balancer that keeps placing new flows by a superseded bundle.
    void staleBalancerIsRefused()
    {
        AgentIngress ingress = makeIngress();
        ingress.setRevision(4);
        const IngressDecision decision = receive(ingress, initialHeader());
        CPPUNIT_ASSERT(std::holds_alternative<RefuseStale>(decision));
        const RefuseStale &refusal = std::get<RefuseStale>(decision);
        CPPUNIT_ASSERT(refusal.balancer == balancer);
        CPPUNIT_ASSERT(refusal.header.kind == RelayKind::StaleConfig);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, refusal.header.revision);

        ingress.setRevision(3);
        CPPUNIT_ASSERT(std::holds_alternative<RefuseStale>(receive(ingress, initialHeader())));
    }

    // Guards against two connections for one Initial packet, when the load changes between its retransmissions.
    void retransmissionsFollowTheFirstDecision()
    {
        AgentIngress ingress = makeIngress();
        CPPUNIT_ASSERT(std::holds_alternative<Accept>(receive(ingress, initialHeader())));
        m_redirects = true;
        CPPUNIT_ASSERT(std::holds_alternative<Accept>(receive(ingress, initialHeader())));

        AgentIngress loaded = makeIngress();
        const IngressDecision first = receive(loaded, initialHeader());
        CPPUNIT_ASSERT(std::get<Redirect>(first).agent == second);
        CPPUNIT_ASSERT(std::get<Redirect>(first).header.incarnation == Incarnation{56});
        m_redirects = false;
        RelayHeader otherSecond = initialHeader();
        otherSecond.secondChoice = {0x7F000103, 4500};
        otherSecond.secondChoiceIncarnation = Incarnation{57};
        const IngressDecision repeat = receive(loaded, otherSecond);
        CPPUNIT_ASSERT(std::get<Redirect>(repeat).agent == second);
        CPPUNIT_ASSERT(std::get<Redirect>(repeat).header.incarnation == Incarnation{56});
    }

    // Guards against new flows at a draining server, from balancers that have not received the new server state.
    void drainingAgentAcceptsNoInitialPacket()
    {
        AgentIngress ingress = makeIngress();
        ingress.setDraining(true);
        CPPUNIT_ASSERT(std::holds_alternative<Redirect>(receive(ingress, initialHeader())));
        AgentIngress alone = makeIngress();
        alone.setDraining(true);
        RelayHeader noSecond = initialHeader();
        noSecond.secondChoice = {};
        CPPUNIT_ASSERT(std::holds_alternative<RefuseStale>(receive(alone, noSecond)));
    }

    // Guards against an Initial packet that two loaded agents redirect to each other.
    void redirectedPacketIsNotRedirectedAgain()
    {
        AgentIngress ingress = makeIngress();
        m_redirects = true;
        RelayHeader header = initialHeader();
        header.kind = RelayKind::Redirect;
        CPPUNIT_ASSERT(std::holds_alternative<Accept>(receive(ingress, header)));
    }

    void malformedInitialPacketIsDropped()
    {
        AgentIngress ingress = makeIngress();
        const IngressDecision decision = ingress.receive({}, initialHeader(), std::vector<std::uint8_t>{0x40, 1}, {});
        CPPUNIT_ASSERT(dropCauseOf(decision) == IngressDropCause::NotInitial);
    }

private:
    AgentIngress makeIngress()
    {
        const auto rule = [this](TimePoint, const RelayHeader &) {
            return m_redirects;
        };
        AgentIngress ingress(service, localAddress, incarnation, rule, {});
        ingress.setRevision(3);
        return ingress;
    }

    static IngressDecision receive(AgentIngress &ingress, const RelayHeader &header)
    {
        return ingress.receive({}, header, initialPacket(), {});
    }

    static IngressDropCause dropCauseOf(const IngressDecision &decision)
    {
        CPPUNIT_ASSERT(std::holds_alternative<IngressDrop>(decision));
        return std::get<IngressDrop>(decision).cause;
    }

    bool m_redirects = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentIngressTest);
