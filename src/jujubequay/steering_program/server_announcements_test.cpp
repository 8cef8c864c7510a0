#include <jujubequay/steering_program/server_announcements.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Jujubequay;
using std::chrono::seconds;

class ServerAnnouncementsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerAnnouncementsTest);
    CPPUNIT_TEST(renewsWithLaterSequenceNumbers);
    CPPUNIT_TEST(ignoresAnnouncementsOfEarlierIncarnations);
    CPPUNIT_TEST(recognisesANewIncarnationWithTheSameId);
    CPPUNIT_TEST(keepsAnIncarnationDraining);
    CPPUNIT_TEST(ignoresTheDepartureOfAnotherServer);
    CPPUNIT_TEST(ignoresTheDepartureOfAnEarlierServerWithTheSameId);
    CPPUNIT_TEST(acceptsNoNewFlowsForAnUnresponsiveServer);
    CPPUNIT_TEST(unannouncedServerAcceptsNewFlowsForALimitedTime);
    CPPUNIT_TEST(remembersTheDepartureOfAnUnannouncedServer);
    CPPUNIT_TEST(observesOnlyServersThatStartAfterTheAgent);
    CPPUNIT_TEST_SUITE_END();

    TimePoint m_now{seconds(100)};
    ServerAnnouncements m_announcements{seconds(2)};

    AnnouncementOutcome announce(const std::string &id, std::uint64_t startedAtMs, std::uint64_t sequence, bool isDraining = false)
    {
        ServerAnnouncement announcement;
        announcement.id = id;
        announcement.startedAtMs = startedAtMs;
        announcement.sequence = sequence;
        announcement.service = "feed";
        announcement.isDraining = isDraining;
        return m_announcements.handleAnnouncement(m_now, announcement);
    }

public:
    void renewsWithLaterSequenceNumbers()
    {
        CPPUNIT_ASSERT(announce("i-1", 1000, 1) == AnnouncementOutcome::NewServer);
        CPPUNIT_ASSERT(announce("i-1", 1000, 2) == AnnouncementOutcome::Renewed);
        CPPUNIT_ASSERT(announce("i-1", 1000, 2) == AnnouncementOutcome::Late);
        CPPUNIT_ASSERT(announce("i-1", 1000, 5, true) == AnnouncementOutcome::Changed);
    }

    /// An announcement that was delayed by a partition may arrive after a new server has started at the same address.
    void ignoresAnnouncementsOfEarlierIncarnations()
    {
        announce("i-1", 1000, 1);
        announce("i-2", 2000, 1);
        CPPUNIT_ASSERT(announce("i-1", 1000, 9) == AnnouncementOutcome::Late);
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), m_announcements.current()->id);
        m_announcements.removeServer();
        CPPUNIT_ASSERT(announce("i-2", 2000, 9) == AnnouncementOutcome::Late);
        CPPUNIT_ASSERT(!m_announcements.current());
    }

    void recognisesANewIncarnationWithTheSameId()
    {
        announce("i-1", 1000, 7);
        const std::uint32_t incarnation = m_announcements.incarnation();
        CPPUNIT_ASSERT(announce("i-1", 2000, 1) == AnnouncementOutcome::NewServer);
        CPPUNIT_ASSERT(incarnation != m_announcements.incarnation());
    }

    void keepsAnIncarnationDraining()
    {
        announce("i-1", 1000, 1, true);
        announce("i-1", 1000, 2, false);
        CPPUNIT_ASSERT(!m_announcements.acceptsNewFlows(m_now));
    }

    void ignoresTheDepartureOfAnotherServer()
    {
        announce("i-2", 2000, 1);
        CPPUNIT_ASSERT(!m_announcements.handleDeparture("i-1", std::nullopt));
        CPPUNIT_ASSERT(m_announcements.acceptsNewFlows(m_now));
        CPPUNIT_ASSERT(m_announcements.handleDeparture("i-2", std::nullopt));
        CPPUNIT_ASSERT(!m_announcements.acceptsNewFlows(m_now));
        CPPUNIT_ASSERT(announce("i-2", 2000, 5) == AnnouncementOutcome::Late);
    }

    /// A departure that was delayed by a partition must not end a server that was started again under the same id.
    void ignoresTheDepartureOfAnEarlierServerWithTheSameId()
    {
        announce("i-1", 1000, 7);
        announce("i-1", 2000, 1);
        CPPUNIT_ASSERT(!m_announcements.handleDeparture("i-1", 1000));
        CPPUNIT_ASSERT(m_announcements.acceptsNewFlows(m_now));
        CPPUNIT_ASSERT(announce("i-1", 2000, 2) == AnnouncementOutcome::Renewed);
        CPPUNIT_ASSERT(m_announcements.handleDeparture("i-1", 2000));
    }

    void acceptsNoNewFlowsForAnUnresponsiveServer()
    {
        announce("i-1", 1000, 1);
        CPPUNIT_ASSERT(!m_announcements.acceptsNewFlows(m_now + seconds(3)));
        CPPUNIT_ASSERT(m_announcements.current().has_value());
    }

    /// Guards against new flows for a server that has deregistered while its agent was restarted, and still runs.
    void unannouncedServerAcceptsNewFlowsForALimitedTime()
    {
        m_announcements.serverFound(m_now + seconds(1));
        CPPUNIT_ASSERT(m_announcements.isUnannounced() && m_announcements.acceptsNewFlows(m_now) && !m_announcements.mayHaveEnded(m_now));
        m_now += seconds(1);
        CPPUNIT_ASSERT(m_announcements.isUnannounced() && !m_announcements.acceptsNewFlows(m_now) && m_announcements.mayHaveEnded(m_now));
        announce("i-1", 1000, 7);
        CPPUNIT_ASSERT(!m_announcements.isUnannounced() && m_announcements.acceptsNewFlows(m_now) && !m_announcements.mayHaveEnded(m_now));
    }

    /// Guards against a departure that is acknowledged and forgotten, because the agent has not received an announcement of the server yet.
    void remembersTheDepartureOfAnUnannouncedServer()
    {
        m_announcements.serverFound(m_now + seconds(1));
        CPPUNIT_ASSERT(m_announcements.handleDeparture("i-1", 1000));
        CPPUNIT_ASSERT(!m_announcements.acceptsNewFlows(m_now) && m_announcements.mayHaveEnded(m_now));
        CPPUNIT_ASSERT(announce("i-1", 1000, 9) == AnnouncementOutcome::Late);
        CPPUNIT_ASSERT(!m_announcements.acceptsNewFlows(m_now));
        m_announcements.removeServer();
        CPPUNIT_ASSERT(!m_announcements.handleDeparture("i-1", 1000));
        CPPUNIT_ASSERT(!m_announcements.mayHaveEnded(m_now));
        // The next server at this address, which may have the same id.
        CPPUNIT_ASSERT(announce("i-1", 2000, 1) == AnnouncementOutcome::NewServer);
        CPPUNIT_ASSERT(m_announcements.acceptsNewFlows(m_now));
    }

    /// A flow that the earlier run of the agent has opened must not count as unknown to the server, however short the restart was.
    void observesOnlyServersThatStartAfterTheAgent()
    {
        const std::chrono::system_clock::time_point agentStartedAt{seconds(50)};
        const auto hasStartedAfter = [agentStartedAt](std::uint64_t startedAtMs, std::chrono::milliseconds warmupLeft) {
            ServerAnnouncement announcement;
            announcement.startedAtMs = startedAtMs;
            announcement.warmupLeft = warmupLeft;
            return hasStartedAfterAgent(announcement, agentStartedAt, agentStartedAt + seconds(1));
        };
        CPPUNIT_ASSERT(hasStartedAfter(50'001, seconds(3)));
        CPPUNIT_ASSERT(!hasStartedAfter(49'999, seconds(3)));
        CPPUNIT_ASSERT(!hasStartedAfter(49'500, seconds(3)));
        CPPUNIT_ASSERT(!hasStartedAfter(50'500, seconds(0)));
        CPPUNIT_ASSERT(!hasStartedAfter(52'000, seconds(3)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerAnnouncementsTest);
