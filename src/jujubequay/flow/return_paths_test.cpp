#include <jujubequay/flow/return_paths.h>

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace Jujubequay;

namespace {

ReturnPath pathOf(std::uint32_t number)
{
    return {{0x7F000200 + number, 4400}, {0x7F000200 + number, 7001}};
}

}

class ReturnPathsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReturnPathsTest);
    CPPUNIT_TEST(repliesAreSpread);
    CPPUNIT_TEST(unresponsiveBalancerIsSkipped);
    CPPUNIT_TEST(agentWithoutTrafficKeepsItsPaths);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a flow whose retransmissions all go through one failed balancer.
    void repliesAreSpread()
    {
        ReturnPaths paths({});
        for (std::uint32_t number = 1; number <= 6; ++number) {
            paths.recordArrival({}, 1, pathOf(number));
        }
        const std::set<ReturnPath> chosen = choices(paths, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, chosen.size());
        CPPUNIT_ASSERT(!chosen.contains(pathOf(1)));
        CPPUNIT_ASSERT(chosen.contains(pathOf(6)));
        CPPUNIT_ASSERT(choices(paths, 2).empty());
    }

    // Guards against replies through a balancer that has failed.
    void unresponsiveBalancerIsSkipped()
    {
        ReturnPaths paths({});
        TimePoint now{};
        paths.recordArrival(now, 1, pathOf(1));
        paths.recordArrival(now, 1, pathOf(2));
        now += std::chrono::seconds(2);
        paths.recordArrival(now, 2, pathOf(2));
        CPPUNIT_ASSERT(choices(paths, 1) == std::set<ReturnPath>{pathOf(2)});
        paths.recordArrival(now, 2, pathOf(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, choices(paths, 1).size());
    }

    // Guards against an agent without traffic that treats all balancers as unresponsive.
    void agentWithoutTrafficKeepsItsPaths()
    {
        ReturnPaths paths({});
        paths.recordArrival({}, 1, pathOf(1));
        paths.recordArrival(TimePoint{} + std::chrono::milliseconds(100), 1, pathOf(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, choices(paths, 1).size());
        paths.forget(1);
        CPPUNIT_ASSERT(choices(paths, 1).empty());
    }

private:
    static std::set<ReturnPath> choices(const ReturnPaths &paths, ReturnPaths::Flow flow)
    {
        std::mt19937_64 random(1);
        std::set<ReturnPath> chosen;
        for (int round = 0; round < 100; ++round) {
            if (const auto path = paths.choose(flow, random)) {
                chosen.insert(*path);
            }
        }
        return chosen;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReturnPathsTest);
