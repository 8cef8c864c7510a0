#include <jujubequay/flow/initial_packet_table.h>

#include <cppunit/extensions/HelperMacros.h>

#include <array>

using namespace Jujubequay;

namespace {

constexpr HostAddress caller{0x7F000001, 50000};
constexpr AgentInstance agent{{0x7F000005, 4500}, Incarnation{9}};

std::array<std::uint8_t, 8> identifierOf(std::uint8_t number)
{
    return {number, 1, 2, 3, 4, 5, 6, 7};
}

}

class InitialPacketTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(InitialPacketTableTest);
    CPPUNIT_TEST(keepsTheFirstServerUntilItExpires);
    CPPUNIT_TEST(distinguishesCallers);
    CPPUNIT_TEST(isBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a retransmitted Initial packet that opens a second connection at another server.
    void keepsTheFirstServerUntilItExpires()
    {
        InitialPacketTable table({});
        TimePoint now{};
        table.insert(now, caller, identifierOf(1), agent);
        table.insert(now, caller, identifierOf(1), {{1, 1}, Incarnation{1}});
        now += std::chrono::milliseconds(9999);
        CPPUNIT_ASSERT(table.find(now, caller, identifierOf(1)) == agent);
        now += std::chrono::milliseconds(1);
        CPPUNIT_ASSERT(!table.find(now, caller, identifierOf(1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.size());
    }

    // Guards against a caller that determines the server of another caller's Initial packet by sending the same identifier.
    void distinguishesCallers()
    {
        InitialPacketTable table({});
        table.insert({}, caller, identifierOf(1), agent);
        CPPUNIT_ASSERT(!table.find({}, HostAddress{caller.ip, 50001}, identifierOf(1)));
        CPPUNIT_ASSERT(!table.find({}, caller, identifierOf(2)));
    }

    // Guards against unbounded memory use under a flood of Initial packets.
    void isBounded()
    {
        InitialPacketTable table({.maxEntries = 4});
        for (std::uint8_t number = 0; number < 10; ++number) {
            table.insert({}, caller, identifierOf(number), agent);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, table.size());
        CPPUNIT_ASSERT(!table.find({}, caller, identifierOf(5)));
        CPPUNIT_ASSERT(table.find({}, caller, identifierOf(6)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InitialPacketTableTest);
