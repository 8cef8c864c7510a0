#include <jujubequay/steering_program/server_announcements.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Jujubequay;
using std::chrono::seconds;

class ServerAnnouncementsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerAnnouncementsTest);
    CPPUNIT_TEST(laterSequencesRenew);
    CPPUNIT_TEST(anEarlierStartNeverReturns);
    CPPUNIT_TEST(aNewStartUnderTheSameIdCounts);
    CPPUNIT_TEST(aDrainIsNotTakenBack);
    CPPUNIT_TEST(onlyTheCurrentServerLeaves);
    CPPUNIT_TEST(silenceEndsNewFlowsOnly);
    CPPUNIT_TEST_SUITE_END();

    TimePoint m_now{seconds(100)};
    ServerAnnouncements m_servers{seconds(2)};

    AnnouncementOutcome announce(const std::string &id, std::uint64_t startedAtMs, std::uint64_t sequence, bool isDraining = false)
    {
        ServerAnnouncement announcement;
        announcement.id = id;
        announcement.startedAtMs = startedAtMs;
        announcement.sequence = sequence;
        announcement.service = "feed";
        announcement.isDraining = isDraining;
        return m_servers.announced(m_now, announcement);
    }

public:
    void laterSequencesRenew()
    {
        CPPUNIT_ASSERT(announce("i-1", 1000, 1) == AnnouncementOutcome::NewServer);
        CPPUNIT_ASSERT(announce("i-1", 1000, 2) == AnnouncementOutcome::Renewed);
        CPPUNIT_ASSERT(announce("i-1", 1000, 2) == AnnouncementOutcome::Late);
        CPPUNIT_ASSERT(announce("i-1", 1000, 5, true) == AnnouncementOutcome::Changed);
    }

    /// An announcement that a partition has held up may arrive after its sender's address has a new server.
    void anEarlierStartNeverReturns()
    {
        announce("i-1", 1000, 1);
        announce("i-2", 2000, 1);
        CPPUNIT_ASSERT(announce("i-1", 1000, 9) == AnnouncementOutcome::Late);
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), m_servers.current()->id);
        m_servers.lost();
        CPPUNIT_ASSERT(announce("i-2", 2000, 9) == AnnouncementOutcome::Late);
        CPPUNIT_ASSERT(!m_servers.current());
    }

    void aNewStartUnderTheSameIdCounts()
    {
        announce("i-1", 1000, 7);
        const std::uint32_t incarnation = m_servers.incarnation();
        CPPUNIT_ASSERT(announce("i-1", 2000, 1) == AnnouncementOutcome::NewServer);
        CPPUNIT_ASSERT(incarnation != m_servers.incarnation());
    }

    void aDrainIsNotTakenBack()
    {
        announce("i-1", 1000, 1, true);
        announce("i-1", 1000, 2, false);
        CPPUNIT_ASSERT(!m_servers.takesNewFlows(m_now));
    }

    void onlyTheCurrentServerLeaves()
    {
        announce("i-2", 2000, 1);
        CPPUNIT_ASSERT(!m_servers.left("i-1"));
        CPPUNIT_ASSERT(m_servers.takesNewFlows(m_now));
        CPPUNIT_ASSERT(m_servers.left("i-2"));
        CPPUNIT_ASSERT(!m_servers.takesNewFlows(m_now));
        CPPUNIT_ASSERT(announce("i-2", 2000, 5) == AnnouncementOutcome::Late);
    }

    void silenceEndsNewFlowsOnly()
    {
        announce("i-1", 1000, 1);
        CPPUNIT_ASSERT(!m_servers.takesNewFlows(m_now + seconds(3)));
        CPPUNIT_ASSERT(m_servers.current().has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerAnnouncementsTest);
