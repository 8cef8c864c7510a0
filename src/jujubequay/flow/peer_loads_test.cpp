#include <jujubequay/flow/peer_loads.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Jujubequay;

namespace {

constexpr HostAddress second{0x7F000102, 4500};
constexpr TimePoint start{};

OwnLoad ownWithFlows(std::uint32_t flows)
{
    OwnLoad own;
    own.load.flows = flows;
    return own;
}

}

class PeerLoadsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerLoadsTest);
    CPPUNIT_TEST(handsOverToTheEmptierServer);
    CPPUNIT_TEST(countsItsOwnHandovers);
    CPPUNIT_TEST(restartForgetsOldFigures);
    CPPUNIT_TEST(returnIsNotAStart);
    CPPUNIT_TEST_SUITE_END();

public:
    void handsOverToTheEmptierServer()
    {
        PeerLoads loads = withSecond();
        loads.reported(start, second, {0, 0, 5});
        CPPUNIT_ASSERT(loads.decideHandover(start, ownWithFlows(20), second));
        CPPUNIT_ASSERT(!loads.decideHandover(start, ownWithFlows(5), second));
    }

    // Guards against a burst of openings that all go to a server on the word of one old report.
    void countsItsOwnHandovers()
    {
        PeerLoads loads = withSecond();
        loads.reported(start, second, {0, 0, 10});
        int handovers = 0;
        while (handovers < 100 && loads.decideHandover(start, ownWithFlows(20), second)) {
            ++handovers;
        }
        CPPUNIT_ASSERT(handovers > 0);
        CPPUNIT_ASSERT(handovers <= 10);
    }

    // Guards against figures of an earlier start that keep openings away from a restarted, empty server.
    void restartForgetsOldFigures()
    {
        PeerLoads loads = withSecond();
        loads.reported(start, second, {0, 0, 100});
        CPPUNIT_ASSERT(!loads.decideHandover(start, ownWithFlows(40), second));
        loads.setPeers(start, {{second, Incarnation{1}, 100}});
        CPPUNIT_ASSERT(!loads.decideHandover(start, ownWithFlows(40), second));
        loads.setPeers(start, {{second, Incarnation{2}, 100}});
        CPPUNIT_ASSERT(loads.decideHandover(start, ownWithFlows(40), second));
    }

    // Guards against a server that counts as empty because it was missing from the list for a moment.
    void returnIsNotAStart()
    {
        PeerLoads loads = withSecond();
        loads.setPeers(start, {{{0x7F000103, 4500}, Incarnation{9}, 100}});
        loads.setPeers(start, {{second, Incarnation{1}, 100}});
        CPPUNIT_ASSERT(!loads.decideHandover(start, ownWithFlows(40), second));
    }

private:
    static PeerLoads withSecond()
    {
        PeerLoads loads({});
        loads.setPeers(start, {{second, Incarnation{1}, 100}});
        return loads;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerLoadsTest);
