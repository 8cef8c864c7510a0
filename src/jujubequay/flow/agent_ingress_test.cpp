#include <jujubequay/flow/agent_ingress.h>
#include <jujubequay/flow/packet.h>

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace Jujubequay;

namespace {

constexpr ServiceId service{1};
constexpr HostAddress own{0x7F000101, 4500};
constexpr HostAddress second{0x7F000102, 4500};
constexpr HostAddress balancer{0x7F000201, 4400};
constexpr Incarnation incarnation{55};

std::vector<std::uint8_t> openingPacket()
{
    std::vector<std::uint8_t> datagram{0xC0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8, 0};
    datagram.resize(minOpeningDatagram);
    return datagram;
}

RelayHeader openingHeader()
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
    CPPUNIT_TEST(staleBalancerIsToldAtOnce);
    CPPUNIT_TEST(retransmissionsFollowTheFirstDecision);
    CPPUNIT_TEST(drainingAgentTakesNoOpening);
    CPPUNIT_TEST(handoverIsNotHandedOverAgain);
    CPPUNIT_TEST(malformedOpeningIsDropped);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_handsOver = false;
    }

    // Guards against a stale balancer or a reused address that delivers packets to another service.
    void refusesOtherServicesAndIncarnations()
    {
        AgentIngress ingress = makeIngress();
        RelayHeader header = openingHeader();
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

    // Guards against a lagging balancer that goes on placing flows under a replaced bundle.
    void staleBalancerIsToldAtOnce()
    {
        AgentIngress ingress = makeIngress();
        ingress.setRevision(4);
        const IngressDecision decision = receive(ingress, openingHeader());
        CPPUNIT_ASSERT(std::holds_alternative<RefuseStale>(decision));
        const RefuseStale &refusal = std::get<RefuseStale>(decision);
        CPPUNIT_ASSERT(refusal.balancer == balancer);
        CPPUNIT_ASSERT(refusal.header.kind == RelayKind::StaleConfig);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, refusal.header.revision);

        ingress.setRevision(3);
        CPPUNIT_ASSERT(std::holds_alternative<RefuseStale>(receive(ingress, openingHeader())));
    }

    // Guards against two connections for one opening when the load changes between its copies.
    void retransmissionsFollowTheFirstDecision()
    {
        AgentIngress ingress = makeIngress();
        CPPUNIT_ASSERT(std::holds_alternative<Accept>(receive(ingress, openingHeader())));
        m_handsOver = true;
        CPPUNIT_ASSERT(std::holds_alternative<Accept>(receive(ingress, openingHeader())));

        AgentIngress loaded = makeIngress();
        const IngressDecision first = receive(loaded, openingHeader());
        CPPUNIT_ASSERT(std::get<HandOver>(first).agent == second);
        CPPUNIT_ASSERT(std::get<HandOver>(first).header.incarnation == Incarnation{56});
        m_handsOver = false;
        RelayHeader otherSecond = openingHeader();
        otherSecond.secondChoice = {0x7F000103, 4500};
        otherSecond.secondChoiceIncarnation = Incarnation{57};
        const IngressDecision repeat = receive(loaded, otherSecond);
        CPPUNIT_ASSERT(std::get<HandOver>(repeat).agent == second);
        CPPUNIT_ASSERT(std::get<HandOver>(repeat).header.incarnation == Incarnation{56});
    }

    // Guards against a leaving server that gets new flows from balancers that have not heard of its drain.
    void drainingAgentTakesNoOpening()
    {
        AgentIngress ingress = makeIngress();
        ingress.setDraining(true);
        CPPUNIT_ASSERT(std::holds_alternative<HandOver>(receive(ingress, openingHeader())));
        AgentIngress alone = makeIngress();
        alone.setDraining(true);
        RelayHeader noSecond = openingHeader();
        noSecond.secondChoice = {};
        CPPUNIT_ASSERT(std::holds_alternative<RefuseStale>(receive(alone, noSecond)));
    }

    // Guards against an opening that two loaded agents pass back and forth.
    void handoverIsNotHandedOverAgain()
    {
        AgentIngress ingress = makeIngress();
        m_handsOver = true;
        RelayHeader header = openingHeader();
        header.kind = RelayKind::Redirect;
        CPPUNIT_ASSERT(std::holds_alternative<Accept>(receive(ingress, header)));
    }

    void malformedOpeningIsDropped()
    {
        AgentIngress ingress = makeIngress();
        const IngressDecision decision = ingress.receive({}, openingHeader(), std::vector<std::uint8_t>{0x40, 1}, {});
        CPPUNIT_ASSERT(dropCauseOf(decision) == IngressDropCause::NotAnOpening);
    }

private:
    AgentIngress makeIngress()
    {
        const auto rule = [this](TimePoint, const RelayHeader &) {
            return m_handsOver;
        };
        AgentIngress ingress(service, own, incarnation, rule, {});
        ingress.setRevision(3);
        return ingress;
    }

    static IngressDecision receive(AgentIngress &ingress, const RelayHeader &header)
    {
        return ingress.receive({}, header, openingPacket(), {});
    }

    static IngressDropCause dropCauseOf(const IngressDecision &decision)
    {
        CPPUNIT_ASSERT(std::holds_alternative<IngressDrop>(decision));
        return std::get<IngressDrop>(decision).cause;
    }

    bool m_handsOver = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentIngressTest);
