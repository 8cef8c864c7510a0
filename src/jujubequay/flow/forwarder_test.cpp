#include <jujubequay/flow/forwarder.h>
#include <jujubequay/flow/packet.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <random>
#include <vector>

using namespace Jujubequay;

namespace {

constexpr ServiceId inspectDesk{1};
constexpr ServiceId certVault{2};
constexpr FlowTarget openFlow{inspectDesk, {0x7F000109, 4509}, Incarnation{77}};

PlacementServer serverOf(std::uint8_t number)
{
    PlacementServer server;
    server.address = {0x7F000100U + number, 4500};
    server.incarnation = Incarnation{1000U + number};
    return server;
}

ForwardingTable tableOf(std::uint8_t serverCount)
{
    FlowSecret secret;
    secret.fill(5);
    ForwardingTable table;
    table.keys.set(0, secret);
    table.keys.activate(0);
    std::vector<PlacementServer> servers;
    for (std::uint8_t number = 1; number <= serverCount; ++number) {
        servers.push_back(serverOf(number));
    }
    table.services.emplace(inspectDesk, ServicePlacement{7, std::make_shared<PlacementTable>(servers)});
    return table;
}

Arrival arrivalAt(ServiceId service)
{
    return {service, {0x7F000201, 7001}, {0x7F000001, 50000}, {0x7F000201, 4400}};
}

// The start of a version 1 Initial packet (RFC 9000, 17.2.2), up to the destination identifier, padded with zeros to `length`.
std::vector<std::uint8_t> initialPacketWith(const std::vector<std::uint8_t> &destinationId, std::size_t length = minInitialDatagramBytes)
{
    const std::array<std::uint8_t, 6> start{0xC0, 0, 0, 0, 1, static_cast<std::uint8_t>(destinationId.size())};
    std::vector<std::uint8_t> datagram(length);
    const auto afterStart = std::copy(start.begin(), start.end(), datagram.begin());
    std::copy(destinationId.begin(), destinationId.end(), afterStart);
    return datagram;
}

std::vector<std::uint8_t> shortPacketWith(const FlowIdBytes &identifier)
{
    std::vector<std::uint8_t> datagram(60);
    datagram[0] = 0x40;
    std::copy(identifier.begin(), identifier.end(), datagram.begin() + 1);
    return datagram;
}

DropCause causeOf(const ForwardDecision &decision)
{
    CPPUNIT_ASSERT(std::holds_alternative<Drop>(decision));
    return std::get<Drop>(decision).cause;
}

}

class ForwarderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ForwarderTest);
    CPPUNIT_TEST(openFlowNeedsNoServerList);
    CPPUNIT_TEST(flowNeverReachesAnotherService);
    CPPUNIT_TEST(balancersAgreeOnInitialPackets);
    CPPUNIT_TEST(dropsDatagramsWithoutAServer);
    CPPUNIT_TEST(longIdentifiersOfOtherVersionsAreHandled);
    CPPUNIT_TEST(randomDatagramsNeverReachAServer);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against open flows that break at a balancer whose server list is still empty or outdated.
    void openFlowNeedsNoServerList()
    {
        const ForwardingTable full = tableOf(7);
        ForwardingTable empty = tableOf(0);
        empty.services.clear();
        const auto datagram = shortPacketWith(encodeFlowId(full.keys, 0, openFlow, 3));
        for (const ForwardingTable *table : {&full, static_cast<const ForwardingTable *>(&empty)}) {
            const auto decision = decideForward(*table, arrivalAt(inspectDesk), datagram);
            CPPUNIT_ASSERT(std::holds_alternative<ForwardTo>(decision));
            const ForwardTo &forward = std::get<ForwardTo>(decision);
            CPPUNIT_ASSERT(forward.agent == openFlow.server);
            CPPUNIT_ASSERT(forward.header.incarnation == openFlow.incarnation);
            CPPUNIT_ASSERT(forward.header.kind == RelayKind::Forward);
        }
    }

    // Guards against a packet of a flow of one service that reaches a server of another service.
    void flowNeverReachesAnotherService()
    {
        const ForwardingTable table = tableOf(7);
        const auto datagram = shortPacketWith(encodeFlowId(table.keys, 0, openFlow, 3));
        CPPUNIT_ASSERT_EQUAL(DropCause::WrongService, causeOf(decideForward(table, arrivalAt(certVault), datagram)));
    }

    // Guards against retransmissions of one Initial packet that reach different servers through different balancers.
    void balancersAgreeOnInitialPackets()
    {
        const ForwardingTable first = tableOf(7);
        const ForwardingTable second = tableOf(7);
        Arrival atSecond = arrivalAt(inspectDesk);
        atSecond.entry = {0x7F000202, 7001};
        atSecond.relay = {0x7F000202, 4400};
        std::mt19937_64 random(4);
        for (int flow = 0; flow < 200; ++flow) {
            std::vector<std::uint8_t> identifier(18);
            std::generate(identifier.begin(), identifier.end(), [&random] {
                return static_cast<std::uint8_t>(random());
            });
            const auto datagram = initialPacketWith(identifier);
            const auto a = std::get<ForwardTo>(decideForward(first, arrivalAt(inspectDesk), datagram));
            const auto b = std::get<ForwardTo>(decideForward(second, atSecond, datagram));
            CPPUNIT_ASSERT(a.agent == b.agent);
            CPPUNIT_ASSERT(a.header.secondChoice == b.header.secondChoice);
            CPPUNIT_ASSERT(a.header.secondChoice != a.agent);
            CPPUNIT_ASSERT(a.header.kind == RelayKind::Initial);
        }
    }

    void dropsDatagramsWithoutAServer()
    {
        const ForwardingTable table = tableOf(7);
        const std::vector<std::uint8_t> identifier(18, 1);
        CPPUNIT_ASSERT_EQUAL(DropCause::UnknownFlow, causeOf(decideForward(table, arrivalAt(inspectDesk), initialPacketWith(identifier, 1199))));
        CPPUNIT_ASSERT_EQUAL(DropCause::UnknownFlow, causeOf(decideForward(table, arrivalAt(inspectDesk), initialPacketWith({1, 2, 3, 4, 5, 6, 7}))));
        CPPUNIT_ASSERT_EQUAL(DropCause::UnknownService, causeOf(decideForward(table, arrivalAt(certVault), initialPacketWith(identifier))));
        CPPUNIT_ASSERT_EQUAL(DropCause::NoServer, causeOf(decideForward(tableOf(0), arrivalAt(inspectDesk), initialPacketWith(identifier))));
        CPPUNIT_ASSERT_EQUAL(DropCause::NotQuic, causeOf(decideForward(table, arrivalAt(inspectDesk), {})));
        CPPUNIT_ASSERT_EQUAL(DropCause::NoKeys, causeOf(decideForward({}, arrivalAt(inspectDesk), initialPacketWith(identifier))));
    }

    // Guards against a failed assertion in ngtcp2: other QUIC versions allow identifiers longer than the 20 bytes of version 1.
    void longIdentifiersOfOtherVersionsAreHandled()
    {
        const ForwardingTable table = tableOf(7);
        for (const std::uint8_t version : {0, 2}) {
            auto datagram = initialPacketWith(std::vector<std::uint8_t>(255, 1));
            datagram[4] = version;
            CPPUNIT_ASSERT(std::holds_alternative<ForwardTo>(decideForward(table, arrivalAt(inspectDesk), datagram)));
        }
    }

    // Guards against reads past the end of a datagram, and against forged flow identifiers that are accepted.
    void randomDatagramsNeverReachAServer()
    {
        const ForwardingTable table = tableOf(7);
        std::mt19937_64 random(6);
        for (int round = 0; round < 20000; ++round) {
            std::vector<std::uint8_t> datagram(random() % 100);
            std::generate(datagram.begin(), datagram.end(), [&random] {
                return static_cast<std::uint8_t>(random());
            });
            CPPUNIT_ASSERT(std::holds_alternative<Drop>(decideForward(table, arrivalAt(inspectDesk), datagram)));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwarderTest);
