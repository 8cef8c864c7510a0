#include <jujubequay/flow/opening_table.h>

#include <cppunit/extensions/HelperMacros.h>

#include <array>

using namespace Jujubequay;

namespace {

constexpr HostAddress caller{0x7F000001, 50000};
constexpr OpeningServer server{{0x7F000005, 4500}, Incarnation{9}};

std::array<std::uint8_t, 8> identifierOf(std::uint8_t number)
{
    return {number, 1, 2, 3, 4, 5, 6, 7};
}

}

class OpeningTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OpeningTableTest);
    CPPUNIT_TEST(keepsTheFirstServerUntilItExpires);
    CPPUNIT_TEST(tellsCallersApart);
    CPPUNIT_TEST(isBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a retransmitted opening that starts a second connection at another server.
    void keepsTheFirstServerUntilItExpires()
    {
        OpeningTable table({});
        TimePoint now{};
        table.remember(now, caller, identifierOf(1), server);
        table.remember(now, caller, identifierOf(1), {{1, 1}, Incarnation{1}});
        now += std::chrono::milliseconds(9999);
        CPPUNIT_ASSERT(table.find(now, caller, identifierOf(1)) == server);
        now += std::chrono::milliseconds(1);
        CPPUNIT_ASSERT(!table.find(now, caller, identifierOf(1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.size());
    }

    // Guards against one caller that steers another caller's opening by reusing its identifier.
    void tellsCallersApart()
    {
        OpeningTable table({});
        table.remember({}, caller, identifierOf(1), server);
        CPPUNIT_ASSERT(!table.find({}, HostAddress{caller.ip, 50001}, identifierOf(1)));
        CPPUNIT_ASSERT(!table.find({}, caller, identifierOf(2)));
    }

    // Guards against a flood of openings that grows the agent's memory.
    void isBounded()
    {
        OpeningTable table({.maxEntries = 4});
        for (std::uint8_t number = 0; number < 10; ++number) {
            table.remember({}, caller, identifierOf(number), server);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, table.size());
        CPPUNIT_ASSERT(!table.find({}, caller, identifierOf(5)));
        CPPUNIT_ASSERT(table.find({}, caller, identifierOf(6)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OpeningTableTest);
