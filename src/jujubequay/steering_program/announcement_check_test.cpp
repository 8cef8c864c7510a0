#include <jujubequay/steering_program/announcement_check.h>

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

using namespace Jujubequay;

namespace {

constexpr HostAddress serverAddress{0x0A000001, 8080};
constexpr std::uint64_t nowMs = 1'771'819'224'071;

RouteTable routesTo(const std::string &service)
{
    jujubequay::pb::RouteTable message;
    message.set_version(7);
    jujubequay::pb::Route &route = *message.add_routes();
    route.set_ip(0xC6120001);
    route.set_port(8080);
    route.add_services()->set_service(service);
    return RouteTable(message);
}

}

class AnnouncementCheckTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnnouncementCheckTest);
    CPPUNIT_TEST(acceptsTheServerOfTheSettings);
    CPPUNIT_TEST(refusesAServiceThatIsNotNamed);
    CPPUNIT_TEST(refusesAServiceWithoutARouteIfTheSettingsNameNone);
    CPPUNIT_TEST(acceptsAServiceOfARoute);
    CPPUNIT_TEST(refusesAServerAtAnotherAddress);
    CPPUNIT_TEST(refusesStartTimesAndSequencesThatExcludeLaterOnes);
    CPPUNIT_TEST(statesTheValueAndTheBound);
    CPPUNIT_TEST_SUITE_END();

    ServerAnnouncement m_announcement{
        .id = "i-1", .startedAtMs = nowMs - 5000, .sequence = 4, .service = "feed", .address = serverAddress, .zone = "zone-a", .version = "v1"};
    ExpectedServer m_expected{serverAddress, "feed"};
    RouteTable m_routes;

    /// The reason of the refusal; empty if the announcement is accepted.
    std::string refusal() const
    {
        const std::chrono::system_clock::time_point wallTime{std::chrono::milliseconds(nowMs)};
        return handleFailure(
            [&]() -> Result<std::string> {
                BOOST_LEAF_CHECK(checkAnnouncement(m_announcement, m_expected, m_routes, wallTime));
                return std::string();
            },
            [](const Failure &failure) {
                return failure.detail;
            });
    }

public:
    /// The routes may arrive after the first announcement of a service that they name.
    void acceptsTheServerOfTheSettings()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), refusal());
        m_expected.service.clear();
        m_announcement.service = "vault";
        CPPUNIT_ASSERT_EQUAL(std::string(), refusal());
    }

    /// Guards against an announcement of another writer that replaces the running server and resets its flows.
    void refusesAServiceThatIsNotNamed()
    {
        m_announcement.service = "vault";
        CPPUNIT_ASSERT(!refusal().empty());
        m_routes = routesTo("feed");
        CPPUNIT_ASSERT(!refusal().empty());
    }

    /// Guards against the same at an agent whose settings do not name the service of its server.
    void refusesAServiceWithoutARouteIfTheSettingsNameNone()
    {
        m_expected.service.clear();
        m_announcement.service = "vault";
        m_routes = routesTo("feed");
        CPPUNIT_ASSERT(!refusal().empty());
        m_announcement.service = "feed";
        CPPUNIT_ASSERT_EQUAL(std::string(), refusal());
    }

    /// An address may be used again by a server of another service.
    void acceptsAServiceOfARoute()
    {
        m_announcement.service = "vault";
        m_routes = routesTo("vault");
        CPPUNIT_ASSERT_EQUAL(std::string(), refusal());
    }

    void refusesAServerAtAnotherAddress()
    {
        m_announcement.address.port = 8081;
        CPPUNIT_ASSERT(!refusal().empty());
        m_announcement.address = {serverAddress.ip + 1, serverAddress.port};
        CPPUNIT_ASSERT(!refusal().empty());
    }

    /// Guards against one announcement after which all others of the running server count as late.
    void refusesStartTimesAndSequencesThatExcludeLaterOnes()
    {
        m_announcement.startedAtMs = nowMs + 3'600'000;
        CPPUNIT_ASSERT(!refusal().empty());
        m_announcement.startedAtMs = std::numeric_limits<std::int64_t>::max();
        CPPUNIT_ASSERT(!refusal().empty());
        // The time of day has been set back since the server has started.
        m_announcement.startedAtMs = nowMs + 5'000;
        CPPUNIT_ASSERT_EQUAL(std::string(), refusal());
        m_announcement.sequence = std::numeric_limits<std::int64_t>::max();
        CPPUNIT_ASSERT(!refusal().empty());
    }

    void statesTheValueAndTheBound()
    {
        m_announcement.service = "vault";
        CPPUNIT_ASSERT_EQUAL(std::string("service \"vault\": neither \"feed\" nor on a route of version 0"), refusal());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnnouncementCheckTest);
