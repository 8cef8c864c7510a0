#include <jujubequay/steering/steer_message.h>

#include <cppunit/extensions/HelperMacros.h>

#include "steering_test_support.h"

using namespace Jujubequay;
using namespace Jujubequay::SteeringTest;

class SteerMessageTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SteerMessageTest);
    CPPUNIT_TEST(decodesTheHeaderOfAPacket);
    CPPUNIT_TEST(openingPacketCarriesTheFullServiceKey);
    CPPUNIT_TEST(earlierVersionsGetTheShortServiceKey);
    CPPUNIT_TEST(decodesNotices);
    CPPUNIT_TEST(decodesWhichFlowANoticeIsAbout);
    CPPUNIT_TEST(decodesEndedFlows);
    CPPUNIT_TEST(rejectsIncompleteAndForeignMessages);
    CPPUNIT_TEST(trustsNoAgentOfAnEarlierVersion);
    CPPUNIT_TEST_SUITE_END();

public:
    void decodesTheHeaderOfAPacket()
    {
        for (const LookupPhase phase : {LookupPhase::AllServers, LookupPhase::KnownFlows}) {
            const bool isLookupOfKnownFlows = phase == LookupPhase::KnownFlows;
            for (const bool areTablesComplete : {false, isLookupOfKnownFlows}) {
                std::vector<std::uint8_t> datagram(steerHeaderLength + 3, 0x55);
                const ServiceKey service{isLookupOfKnownFlows ? 0 : 0xAABBCCDD};
                const SteerHeader header{3, true, 0x1122334455667788ULL, service, balancerAddress(9), true, phase, 2, true, true, areTablesComplete};
                encodeSteerHeader(header, std::span(datagram).first<steerHeaderLength>());
                const auto message = decodeSteerMessage(datagram);
                const auto &packet = std::get<SteeredPacket>(message.value());
                CPPUNIT_ASSERT_EQUAL(header.hops, packet.header.hops);
                CPPUNIT_ASSERT(packet.header.wantsOwnerNotice);
                CPPUNIT_ASSERT(packet.header.isLookupPartial);
                CPPUNIT_ASSERT(packet.header.lookupPhase == phase);
                CPPUNIT_ASSERT_EQUAL(std::uint8_t{2}, packet.header.lookupRetries);
                CPPUNIT_ASSERT(packet.header.acceptsIncarnations);
                CPPUNIT_ASSERT(packet.header.acceptsCallerSequences);
                CPPUNIT_ASSERT_EQUAL(areTablesComplete, packet.header.areFlowTablesComplete);
                CPPUNIT_ASSERT_EQUAL(header.routeTableVersion, packet.header.routeTableVersion);
                CPPUNIT_ASSERT(packet.header.service == header.service);
                CPPUNIT_ASSERT(packet.header.balancer == header.balancer);
                CPPUNIT_ASSERT_EQUAL(std::size_t{3}, packet.packet.size());
            }
        }
    }

    /// An agent of the version before KnownFlows that knows another owner keeps phase and service of the header, and does not mark the lookup as partial.
    /// Guards against the reset of a flow whose owner ranks between the two.
    void trustsNoAgentOfAnEarlierVersion()
    {
        SteerHeader header;
        header.wantsOwnerNotice = true;
        header.lookupPhase = LookupPhase::KnownFlows;
        header.areFlowTablesComplete = true;
        header.acceptsIncarnations = true;
        header.acceptsCallerSequences = true;
        std::vector<std::uint8_t> datagram(steerHeaderLength + 3);
        encodeSteerHeader(header, std::span(datagram).first<steerHeaderLength>());
        constexpr std::uint8_t flagsOfThatVersion = 127;
        ++datagram[2];
        datagram[3] &= flagsOfThatVersion;
        CPPUNIT_ASSERT(!std::get<SteeredPacket>(decodeSteerMessage(datagram).value()).header.areFlowTablesComplete);
    }

    // Guards against a SYN that reaches another service because only a part of the key of its service is sent.
    void openingPacketCarriesTheFullServiceKey()
    {
        const SteerHeader header{1, false, 7, serviceKey(collidingService), balancerAddress(9)};
        const std::vector<std::uint8_t> packet{1, 2, 3};
        std::vector<std::uint8_t> datagram = encodeOpeningPacket(header, packet);
        CPPUNIT_ASSERT_EQUAL(openingHeaderLength + packet.size(), datagram.size());
        const auto message = decodeSteerMessage(datagram);
        const auto &decoded = std::get<SteeredPacket>(message.value());
        CPPUNIT_ASSERT(decoded.header.service == header.service);
        CPPUNIT_ASSERT_EQUAL(header.hops, decoded.header.hops);
        CPPUNIT_ASSERT_EQUAL(header.routeTableVersion, decoded.header.routeTableVersion);
        CPPUNIT_ASSERT(decoded.header.balancer == header.balancer);
        CPPUNIT_ASSERT(std::equal(packet.begin(), packet.end(), decoded.packet.begin(), decoded.packet.end()));
        CPPUNIT_ASSERT(identifies(decoded.header.service, serviceKey(collidingService)));
        CPPUNIT_ASSERT(!identifies(decoded.header.service, serviceKey(otherCollidingService)));
        for (std::size_t length = 0; length < openingHeaderLength; ++length) {
            CPPUNIT_ASSERT(!decodeSteerMessage(std::span(datagram).first(length)));
        }
    }

    // Guards against a change of the header that programs of earlier versions send and decode: 32 bits of the XXH3 hash of the name.
    void earlierVersionsGetTheShortServiceKey()
    {
        const SteerHeader header{1, false, 7, serviceKey("feed"), balancerAddress(9)};
        std::vector<std::uint8_t> datagram(steerHeaderLength + 3);
        encodeSteerHeader(header, std::span(datagram).first<steerHeaderLength>());
        constexpr std::size_t serviceOffset = 12;
        const std::vector<std::uint8_t> key(datagram.begin() + serviceOffset, datagram.begin() + serviceOffset + 4);
        CPPUNIT_ASSERT((std::vector<std::uint8_t>{0x34, 0x20, 0x83, 0x79}) == key);
        const ServiceKey received = std::get<SteeredPacket>(decodeSteerMessage(datagram).value()).header.service;
        CPPUNIT_ASSERT(identifies(received, serviceKey("feed")) && !identifies(received, serviceKey("vault")));
    }

    void decodesNotices()
    {
        auto owner = encode(OwnerNotice{flow(7), agentAddress(3)});
        const auto ownerMessage = decodeSteerMessage(owner);
        CPPUNIT_ASSERT(std::get<OwnerNotice>(ownerMessage.value()).tuple == flow(7));
        CPPUNIT_ASSERT(std::get<OwnerNotice>(ownerMessage.value()).owner == agentAddress(3));
        CPPUNIT_ASSERT(std::get<OwnerNotice>(ownerMessage.value()).incarnation == Incarnation());
        CPPUNIT_ASSERT_EQUAL(ownerNoticeLength, owner.size());
        auto confirmed = encode(OwnerNotice{flow(7), agentAddress(3), {0xC1C2C3C4U}});
        CPPUNIT_ASSERT_EQUAL(confirmedOwnerNoticeLength, confirmed.size());
        CPPUNIT_ASSERT_EQUAL(0xC1C2C3C4U, std::get<OwnerNotice>(decodeSteerMessage(confirmed).value()).incarnation.value);
        CPPUNIT_ASSERT(!std::get<OwnerNotice>(decodeSteerMessage(confirmed).value()).callerSequence);
        auto load = encode(LoadNotice{agentAddress(4), 5, 600, 3, true});
        const auto loadMessage = decodeSteerMessage(load);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{600}, std::get<LoadNotice>(loadMessage.value()).openFlows);
        CPPUNIT_ASSERT(std::get<LoadNotice>(loadMessage.value()).acceptsNewFlows);
        auto acknowledgement = encode(OwnerAcknowledgement{flow(8), agentAddress(6)});
        const auto acknowledgementMessage = decodeSteerMessage(acknowledgement);
        CPPUNIT_ASSERT(std::get<OwnerAcknowledgement>(acknowledgementMessage.value()).tuple == flow(8));
        CPPUNIT_ASSERT(std::get<OwnerAcknowledgement>(acknowledgementMessage.value()).registrar == agentAddress(6));
        auto newerRoutes = encode(NewerRoutesNotice{1ULL << 40U, balancerAddress(2)});
        const auto newerRoutesMessage = decodeSteerMessage(newerRoutes);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1} << 40U, std::get<NewerRoutesNotice>(newerRoutesMessage.value()).version);
        CPPUNIT_ASSERT(std::get<NewerRoutesNotice>(newerRoutesMessage.value()).balancer == balancerAddress(2));
        CPPUNIT_ASSERT(!decodeSteerMessage(std::span(newerRoutes).first(15)));
        auto start = encode(StartNotice{agentAddress(5)});
        const auto startMessage = decodeSteerMessage(start);
        CPPUNIT_ASSERT(std::get<StartNotice>(startMessage.value()).controlHost == agentAddress(5));
    }

    /// Versions before the last two forms discard notices by their length. Guards against lengths that change, and against a form that they misread.
    void decodesWhichFlowANoticeIsAbout()
    {
        auto bytes = encode(OwnerNotice{flow(7), agentAddress(3), {0xC1C2C3C4U}, 0});
        CPPUNIT_ASSERT_EQUAL(std::size_t{28}, bytes.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{24}, encode(OwnerNotice{flow(7), agentAddress(3), {0xC1C2C3C4U}}).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, encode(OwnerNotice{flow(7), agentAddress(3), {}, 5}).size());
        bytes.back() = 9;
        const auto notice = std::get<OwnerNotice>(decodeSteerMessage(bytes).value());
        CPPUNIT_ASSERT(notice.tuple == flow(7) && notice.owner == agentAddress(3));
        CPPUNIT_ASSERT_EQUAL(0xC1C2C3C4U, notice.incarnation.value);
        CPPUNIT_ASSERT(notice.callerSequence == 9U);
        for (const std::size_t length : {21, 23, 25, 27}) {
            CPPUNIT_ASSERT(!decodeSteerMessage(std::span(bytes).first(length)));
        }
    }

    void decodesEndedFlows()
    {
        EndedFlowsNotice notice{{0xC1C2C3C4U}, {}};
        for (std::uint16_t port = 1; port <= maxEndedFlows; ++port) {
            notice.flows.push_back({flow(port), port * 1000U});
        }
        auto bytes = encode(notice);
        CPPUNIT_ASSERT(bytes.size() <= 1200);
        const auto message = decodeSteerMessage(bytes);
        const auto &decoded = std::get<EndedFlowsNotice>(message.value());
        CPPUNIT_ASSERT(decoded.incarnation == notice.incarnation);
        CPPUNIT_ASSERT_EQUAL(maxEndedFlows, decoded.flows.size());
        CPPUNIT_ASSERT(decoded.flows[9].tuple == flow(10));
        CPPUNIT_ASSERT_EQUAL(10000U, decoded.flows[9].acknowledgement);
        CPPUNIT_ASSERT(!decodeSteerMessage(std::span(bytes).first(bytes.size() - 1)));
        CPPUNIT_ASSERT(!decodeSteerMessage(std::span(bytes).first(5)));
        notice.flows.push_back({flow(1), 1});
        auto tooMany = encode(notice);
        CPPUNIT_ASSERT(!decodeSteerMessage(tooMany));
    }

    void rejectsIncompleteAndForeignMessages()
    {
        auto owner = encode(OwnerNotice{flow(7), agentAddress(3)});
        for (std::size_t length = 0; length < owner.size(); ++length) {
            CPPUNIT_ASSERT(!decodeSteerMessage(std::span(owner).first(length)));
        }
        owner[0] = 0x16; // the first byte of a TLS record
        CPPUNIT_ASSERT(!decodeSteerMessage(owner));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SteerMessageTest);
