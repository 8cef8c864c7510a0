#include <jujubequay/policy/placement.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>
#include <unordered_map>

using namespace Jujubequay;

namespace {

std::vector<PlacementServer> makeServers(std::size_t count, std::uint64_t seed, bool mixedWeights)
{
    std::mt19937_64 random(seed);
    std::vector<PlacementServer> servers;
    for (std::uint32_t index = 0; index < count; ++index) {
        const std::uint32_t weight = mixedWeights ? 1 + static_cast<std::uint32_t>(random() % 1000) : 100;
        servers.push_back({.address = {0x7f000001U + index, 4433}, .incarnation = {1}, .weight = weight});
    }
    return servers;
}

double totalWeight(const std::vector<PlacementServer> &servers)
{
    double total = 0;
    for (const PlacementServer &server : servers) {
        total += server.weight;
    }
    return total;
}

}

class PlacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementTest);
    CPPUNIT_TEST(orderOfTheListDoesNotMatter);
    CPPUNIT_TEST(onlyKeysOfAChangedServerMove);
    CPPUNIT_TEST(sharesFollowWeights);
    CPPUNIT_TEST(emptyAndSingleLists);
    CPPUNIT_TEST(drainingAndDuplicateServersAreSkipped);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against balancers that place one Initial packet on different servers.
    void orderOfTheListDoesNotMatter()
    {
        for (const std::size_t count : {7U, 64U, 65U, 1000U}) {
            std::vector<PlacementServer> servers = makeServers(count, 1, true);
            const PlacementTable sorted(servers);
            std::mt19937_64 random(2);
            std::shuffle(servers.begin(), servers.end(), random);
            const PlacementTable shuffled(servers);
            for (std::uint64_t key = 0; key < 10000; ++key) {
                CPPUNIT_ASSERT(*sorted.choose(key).first == *shuffled.choose(key).first);
                CPPUNIT_ASSERT(*sorted.choose(key).second == *shuffled.choose(key).second);
            }
        }
    }

    // Guards against an added or removed server that moves keys of other servers.
    void onlyKeysOfAChangedServerMove()
    {
        for (const std::size_t count : {4U, 7U, 60U, 200U, 3000U}) {
            for (const bool mixedWeights : {false, true}) {
                std::vector<PlacementServer> servers = makeServers(count, count, mixedWeights);
                const PlacementServer leaving = servers[count / 2];
                const PlacementTable before(servers);
                servers[count / 2].acceptsNewFlows = false;
                const PlacementTable after(servers);
                for (std::uint64_t key = 0; key < 20000; ++key) {
                    const PlacementChoice old = before.choose(key);
                    const PlacementServer *expected = *old.first == leaving ? old.second : old.first;
                    CPPUNIT_ASSERT(*expected == *after.choose(key).first);
                }
            }
        }
    }

    // Guards against weights that are ignored or distorted, with the direct comparison of servers and with the table of slots.
    void sharesFollowWeights()
    {
        std::vector<PlacementServer> servers = makeServers(7, 3, false);
        servers[0].weight = 1;
        servers[1].weight = 1000;
        expectShares(servers, 0.05);
        expectShares(makeServers(100, 4, true), 0.2);
    }

    void emptyAndSingleLists()
    {
        CPPUNIT_ASSERT(!PlacementTable().choose(1).first);
        const PlacementTable single(makeServers(1, 1, false));
        CPPUNIT_ASSERT(single.choose(1).first);
        CPPUNIT_ASSERT(!single.choose(1).second);
    }

    // Guards against new flows to a draining server or to an earlier incarnation of a server.
    void drainingAndDuplicateServersAreSkipped()
    {
        std::vector<PlacementServer> servers = makeServers(3, 1, false);
        servers.push_back(servers[0]);
        servers.back().incarnation = {2};
        servers[1].acceptsNewFlows = false;
        const PlacementTable table(servers);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.servers().size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, table.servers()[0].incarnation.value);
        CPPUNIT_ASSERT(table.servers()[1].address == servers[2].address);
    }

private:
    static void expectShares(const std::vector<PlacementServer> &servers, double tolerance)
    {
        const PlacementTable table(servers);
        std::unordered_map<HostAddress, double> keys;
        constexpr int keyCount = 400000;
        for (std::uint64_t key = 0; key < keyCount; ++key) {
            ++keys[table.choose(key).first->address];
        }
        for (const PlacementServer &server : servers) {
            const double share = server.weight / totalWeight(servers);
            if (share > 0.005) {
                CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, keys[server.address] / keyCount / share, tolerance);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);
