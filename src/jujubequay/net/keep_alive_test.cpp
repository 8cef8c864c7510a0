#include <jujubequay/net/keep_alive.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Jujubequay;
using namespace std::chrono_literals;

namespace {

constexpr KeepAliveOptions options{.interval = 10s, .timeout = 5s};

}

class KeepAliveTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(KeepAliveTest);
    CPPUNIT_TEST(idlePeerIsProbedThenConsideredDead);
    CPPUNIT_TEST(receivedBytesResetTheTimeout);
    CPPUNIT_TEST(stalledProcessProbesAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void idlePeerIsProbedThenConsideredDead()
    {
        const TimePoint start{};
        KeepAlive keepAlive(options, start);
        CPPUNIT_ASSERT(keepAlive.tick(start + 9s) == KeepAlive::Action::None);
        CPPUNIT_ASSERT(keepAlive.tick(start + 10s) == KeepAlive::Action::Probe);
        CPPUNIT_ASSERT(keepAlive.tick(start + 14s) == KeepAlive::Action::None);
        CPPUNIT_ASSERT(keepAlive.tick(start + 15s) == KeepAlive::Action::Unreachable);
    }

    void receivedBytesResetTheTimeout()
    {
        const TimePoint start{};
        KeepAlive keepAlive(options, start);
        CPPUNIT_ASSERT(keepAlive.tick(start + 10s) == KeepAlive::Action::Probe);
        keepAlive.recordReceived(start + 14s);
        CPPUNIT_ASSERT(keepAlive.tick(start + 15s) == KeepAlive::Action::None);
        CPPUNIT_ASSERT(keepAlive.nextTick() == start + 24s);
    }

    // A process that was suspended must read the replies of its peers before it considers them unreachable.
    void stalledProcessProbesAgain()
    {
        const TimePoint start{};
        KeepAlive keepAlive(options, start);
        CPPUNIT_ASSERT(keepAlive.tick(start + 10s) == KeepAlive::Action::Probe);
        CPPUNIT_ASSERT(keepAlive.tick(start + 60s) == KeepAlive::Action::Probe);
        CPPUNIT_ASSERT(keepAlive.tick(start + 65s) == KeepAlive::Action::Unreachable);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeepAliveTest);
