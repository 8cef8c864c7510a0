#include <jujubequay/flow/peer_loads.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Jujubequay;

namespace {

constexpr HostAddress second{0x7F000102, 4500};
constexpr TimePoint start{};

LocalLoad localLoadWithFlows(std::uint32_t flows)
{
    LocalLoad local;
    local.load.flows = flows;
    return local;
}

}

class PeerLoadsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerLoadsTest);
    CPPUNIT_TEST(redirectsToTheLessLoadedServer);
    CPPUNIT_TEST(countsItsRedirects);
    CPPUNIT_TEST(restartDiscardsOldReports);
    CPPUNIT_TEST(relistedServerIsNotRestarted);
    CPPUNIT_TEST_SUITE_END();

public:
    void redirectsToTheLessLoadedServer()
    {
        PeerLoads loads = makeLoadsWithSecond();
        loads.recordReport(start, second, {0, 0, 5});
        CPPUNIT_ASSERT(loads.decideRedirect(start, localLoadWithFlows(20), second));
        CPPUNIT_ASSERT(!loads.decideRedirect(start, localLoadWithFlows(5), second));
    }

    // Guards against a burst of Initial packets that are all redirected to one server because of a single old report.
    void countsItsRedirects()
    {
        PeerLoads loads = makeLoadsWithSecond();
        loads.recordReport(start, second, {0, 0, 10});
        int redirects = 0;
        while (redirects < 100 && loads.decideRedirect(start, localLoadWithFlows(20), second)) {
            ++redirects;
        }
        CPPUNIT_ASSERT(redirects > 0);
        CPPUNIT_ASSERT(redirects <= 10);
    }

    // Guards against load reports of an earlier incarnation that keep Initial packets away from a restarted, empty server.
    void restartDiscardsOldReports()
    {
        PeerLoads loads = makeLoadsWithSecond();
        loads.recordReport(start, second, {0, 0, 100});
        CPPUNIT_ASSERT(!loads.decideRedirect(start, localLoadWithFlows(40), second));
        loads.setPeers(start, {{second, Incarnation{1}, 100}});
        CPPUNIT_ASSERT(!loads.decideRedirect(start, localLoadWithFlows(40), second));
        loads.setPeers(start, {{second, Incarnation{2}, 100}});
        CPPUNIT_ASSERT(loads.decideRedirect(start, localLoadWithFlows(40), second));
    }

    // Guards against a server that counts as empty after it was missing from the list for a short time.
    void relistedServerIsNotRestarted()
    {
        PeerLoads loads = makeLoadsWithSecond();
        loads.setPeers(start, {{{0x7F000103, 4500}, Incarnation{9}, 100}});
        loads.setPeers(start, {{second, Incarnation{1}, 100}});
        CPPUNIT_ASSERT(!loads.decideRedirect(start, localLoadWithFlows(40), second));
    }

private:
    static PeerLoads makeLoadsWithSecond()
    {
        PeerLoads loads({});
        loads.setPeers(start, {{second, Incarnation{1}, 100}});
        return loads;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerLoadsTest);
