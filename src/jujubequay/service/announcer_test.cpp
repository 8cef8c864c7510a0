#include <jujubequay/core/result_code.h>
#include <jujubequay/service/announcer.h>

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace Jujubequay;
namespace pb = jujubequay::pb;

namespace {

const std::vector<HostAddress> controlHosts{{1, 7000}, {2, 7000}, {3, 7000}};

template<class Effect>
std::vector<Effect> effectsOf(const AnnouncerEffects &effects)
{
    std::vector<Effect> matches;
    for (const AnnouncerEffect &effect : effects) {
        if (const Effect *match = std::get_if<Effect>(&effect)) {
            matches.push_back(*match);
        }
    }
    return matches;
}

pb::AnnounceDown answerWith(ResultCode result, std::uint64_t order)
{
    pb::AnnounceDown answer;
    answer.set_result(static_cast<std::uint32_t>(result));
    answer.set_order(order);
    answer.set_heartbeat_ms(500);
    return answer;
}

}

class AnnouncerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnnouncerTest);
    CPPUNIT_TEST(renewsItsLease);
    CPPUNIT_TEST(replacesUnresponsiveControlHost);
    CPPUNIT_TEST(announcesDrainImmediately);
    CPPUNIT_TEST(replacesEntryOfEarlierIncarnation);
    CPPUNIT_TEST(givesEachServerAHigherOrder);
    CPPUNIT_TEST(switchesToReachableControlHost);
    CPPUNIT_TEST(movesToAPreferredControlHost);
    CPPUNIT_TEST(keepsTheControlHostOfTheStreamWhenTheListChanges);
    CPPUNIT_TEST(serversAreSpreadOverControlHosts);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_now = TimePoint{} + std::chrono::hours(1);
        m_random.seed(3);
    }

    void renewsItsLease()
    {
        Announcer announcer = announcerOf("inspect-desk-1");
        const std::uint64_t stream = effectsOf<OpenAnnounceStream>(announcer.tick(m_now)).at(0).stream;
        announcer.receive(m_now, stream, answerWith(ResultCode::Ok, 7));
        CPPUNIT_ASSERT(announcer.isAccepted());
        m_now += std::chrono::milliseconds(999);
        CPPUNIT_ASSERT(announcer.tick(m_now).empty());
        m_now += std::chrono::milliseconds(1);
        const auto heartbeats = effectsOf<SendAnnouncement>(announcer.tick(m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, heartbeats.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, heartbeats[0].message.server().sequence());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, heartbeats[0].message.server().order());
        m_now += std::chrono::milliseconds(500);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, effectsOf<SendAnnouncement>(announcer.tick(m_now)).size());
    }

    // Guards against a lease that expires because one control host has become unreachable without closing the stream.
    void replacesUnresponsiveControlHost()
    {
        Announcer announcer = announcerOf("inspect-desk-1");
        std::set<HostAddress> tried;
        for (int step = 0; step < 400; ++step) {
            for (const OpenAnnounceStream &open : effectsOf<OpenAnnounceStream>(announcer.tick(m_now))) {
                tried.insert(open.address);
            }
            m_now += std::chrono::milliseconds(100);
        }
        CPPUNIT_ASSERT_EQUAL(controlHosts.size(), tried.size());
        CPPUNIT_ASSERT(!announcer.isAccepted());
    }

    // Guards against a draining server that is listed as serving until its next heartbeat.
    void announcesDrainImmediately()
    {
        Announcer announcer = announcerOf("inspect-desk-1");
        const std::uint64_t stream = effectsOf<OpenAnnounceStream>(announcer.tick(m_now)).at(0).stream;
        announcer.receive(m_now, stream, answerWith(ResultCode::Ok, 7));
        const auto sent = effectsOf<SendAnnouncement>(announcer.setState(m_now, pb::SERVER_STATE_DRAINING));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, sent[0].message.server().sequence());
        CPPUNIT_ASSERT(!announcer.isAccepted());
        announcer.receive(m_now, stream, answerWith(ResultCode::Ok, 7));
        CPPUNIT_ASSERT(announcer.isAccepted());
    }

    // Guards against a restarted server that is refused forever because the control hosts have an entry of its earlier incarnation.
    void replacesEntryOfEarlierIncarnation()
    {
        Announcer announcer = announcerOf("inspect-desk-1");
        const std::uint64_t stream = effectsOf<OpenAnnounceStream>(announcer.tick(m_now)).at(0).stream;
        const auto afterFirstRefusal = announcer.receive(m_now, stream, answerWith(ResultCode::StaleIncarnation, 9));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, effectsOf<SendAnnouncement>(afterFirstRefusal).at(0).message.server().order());
        const auto afterSecondRefusal = announcer.receive(m_now, stream, answerWith(ResultCode::StaleIncarnation, 9));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, effectsOf<CloseAnnounceStream>(afterSecondRefusal).size());
    }

    // Guards against a server that gets the order of its predecessor, which a control host of an earlier version has chosen, and counts as replaced by it.
    void givesEachServerAHigherOrder()
    {
        Announcer announcer = announcerOf("inspect-desk-1");
        const std::uint64_t stream = effectsOf<OpenAnnounceStream>(announcer.tick(m_now)).at(0).stream;
        const auto announce = [&](std::uint32_t incarnation, std::uint64_t order) {
            pb::ServerEntry server = announcer.server();
            server.set_incarnation(incarnation);
            server.set_agent_order(order);
            return effectsOf<SendAnnouncement>(announcer.setServer(m_now, server)).at(0).message.server().agent_order();
        };
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{50}, announce(8, 50));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{51}, announce(9, 20));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{51}, announce(9, 80));
        announcer.receive(m_now, stream, answerWith(ResultCode::Ok, 90));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{91}, announcer.server().agent_order());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{92}, announce(10, 60));
    }

    // Guards against a server that stays unannounced after a restart although a control host is already reachable.
    void switchesToReachableControlHost()
    {
        Announcer announcer = announcerOf("inspect-desk-1");
        announcer.tick(m_now);
        const HostAddress reachable{0x7F000009, 1};
        const auto effects = announcer.handleReachableControlHost(m_now, reachable);
        const OpenAnnounceStream opened = effectsOf<OpenAnnounceStream>(effects).at(0);
        CPPUNIT_ASSERT(opened.address == reachable);
        CPPUNIT_ASSERT(announcer.handleReachableControlHost(m_now, reachable).empty());
        announcer.receive(m_now, opened.stream, answerWith(ResultCode::Ok, 7));
        CPPUNIT_ASSERT(announcer.handleReachableControlHost(m_now + std::chrono::milliseconds(300), controlHosts.front()).empty());
        // Answers have stopped, so the stream is no longer assumed to work.
        CPPUNIT_ASSERT(!announcer.handleReachableControlHost(m_now + std::chrono::seconds(5), controlHosts.front()).empty());
    }

    // Guards against heartbeats that cross availability zones, and against a stream that is replaced again and again.
    void movesToAPreferredControlHost()
    {
        Announcer announcer = announcerOf("inspect-desk-1");
        const OpenAnnounceStream first = effectsOf<OpenAnnounceStream>(announcer.tick(m_now)).at(0);
        const HostAddress preferred = first.address == controlHosts[0] ? controlHosts[1] : controlHosts[0];
        m_now += std::chrono::seconds(5);
        CPPUNIT_ASSERT(announcer.preferControlHost(m_now, preferred).empty());
        announcer.receive(m_now, first.stream, answerWith(ResultCode::Ok, 7));
        const auto opened = effectsOf<OpenAnnounceStream>(announcer.preferControlHost(m_now, preferred));
        CPPUNIT_ASSERT(opened.at(0).address == preferred);
        announcer.receive(m_now, opened[0].stream, answerWith(ResultCode::Ok, 7));
        CPPUNIT_ASSERT(announcer.preferControlHost(m_now + std::chrono::seconds(1), first.address).empty());
    }

    // Guards against a stream that is attributed to another control host after the list was reordered, so that evidence about the one to which
    // the stream leads is misread.
    void keepsTheControlHostOfTheStreamWhenTheListChanges()
    {
        Announcer announcer = announcerOf("inspect-desk-1");
        const HostAddress current = effectsOf<OpenAnnounceStream>(announcer.tick(m_now)).at(0).address;
        announcer.setControlHosts({{9, 7000}, {8, 7000}, {7, 7000}, {6, 7000}, {5, 7000}});
        CPPUNIT_ASSERT(announcer.handleReachableControlHost(m_now, current).empty());
        announcer.setControlHosts({{9, 7000}, current, {8, 7000}});
        CPPUNIT_ASSERT(announcer.handleReachableControlHost(m_now, current).empty());
    }

    // Guards against one control host that holds the leases of all servers.
    void serversAreSpreadOverControlHosts()
    {
        std::map<HostAddress, int> counts;
        for (int number = 0; number < 300; ++number) {
            Announcer announcer = announcerOf("server-" + std::to_string(number));
            ++counts[effectsOf<OpenAnnounceStream>(announcer.tick(m_now)).at(0).address];
        }
        for (const HostAddress &host : controlHosts) {
            CPPUNIT_ASSERT(counts[host] > 70);
        }
    }

private:
    Announcer announcerOf(const std::string &name)
    {
        pb::ServerEntry server;
        server.set_name(name);
        AnnouncerOptions options;
        options.controlHosts = controlHosts;
        return Announcer(options, server, m_random);
    }

    TimePoint m_now{};
    std::mt19937_64 m_random;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnnouncerTest);
