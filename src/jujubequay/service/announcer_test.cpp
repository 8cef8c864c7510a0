#include <jujubequay/core/result_code.h>
#include <jujubequay/service/announcer.h>

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace Jujubequay;
namespace pb = jujubequay::pb;

namespace {

const std::vector<HostAddress> controlHosts{{1, 7000}, {2, 7000}, {3, 7000}};

template<class Effect>
std::vector<Effect> only(const AnnouncerEffects &effects)
{
    std::vector<Effect> result;
    for (const AnnouncerEffect &effect : effects) {
        if (const Effect *match = std::get_if<Effect>(&effect)) {
            result.push_back(*match);
        }
    }
    return result;
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
    CPPUNIT_TEST(silentControlHostIsReplaced);
    CPPUNIT_TEST(announcesADrainAtOnce);
    CPPUNIT_TEST(followsAnEarlierStart);
    CPPUNIT_TEST(goesToAControlHostThatAnswers);
    CPPUNIT_TEST(serversSpreadOverControlHosts);
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
        const std::uint64_t stream = only<OpenAnnounceStream>(announcer.tick(m_now)).at(0).stream;
        announcer.receive(m_now, stream, answerWith(ResultCode::Ok, 7));
        CPPUNIT_ASSERT(announcer.isAccepted());
        m_now += std::chrono::milliseconds(999);
        CPPUNIT_ASSERT(announcer.tick(m_now).empty());
        m_now += std::chrono::milliseconds(1);
        const auto heartbeats = only<SendAnnouncement>(announcer.tick(m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, heartbeats.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, heartbeats[0].message.server().sequence());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, heartbeats[0].message.server().order());
        m_now += std::chrono::milliseconds(500);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only<SendAnnouncement>(announcer.tick(m_now)).size());
    }

    // Guards against a lease that runs out because one control host was cut off silently.
    void silentControlHostIsReplaced()
    {
        Announcer announcer = announcerOf("inspect-desk-1");
        std::set<HostAddress> tried;
        for (int step = 0; step < 400; ++step) {
            for (const OpenAnnounceStream &open : only<OpenAnnounceStream>(announcer.tick(m_now))) {
                tried.insert(open.address);
            }
            m_now += std::chrono::milliseconds(100);
        }
        CPPUNIT_ASSERT_EQUAL(controlHosts.size(), tried.size());
        CPPUNIT_ASSERT(!announcer.isAccepted());
    }

    // Guards against a leaving server that is known as serving until its next heartbeat.
    void announcesADrainAtOnce()
    {
        Announcer announcer = announcerOf("inspect-desk-1");
        const std::uint64_t stream = only<OpenAnnounceStream>(announcer.tick(m_now)).at(0).stream;
        announcer.receive(m_now, stream, answerWith(ResultCode::Ok, 7));
        const auto sent = only<SendAnnouncement>(announcer.setState(m_now, pb::SERVER_STATE_DRAINING));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, sent[0].message.server().sequence());
        CPPUNIT_ASSERT(!announcer.isAccepted());
        announcer.receive(m_now, stream, answerWith(ResultCode::Ok, 7));
        CPPUNIT_ASSERT(announcer.isAccepted());
    }

    // Guards against a restarted server that is refused for ever because an entry of its earlier start is known.
    void followsAnEarlierStart()
    {
        Announcer announcer = announcerOf("inspect-desk-1");
        const std::uint64_t stream = only<OpenAnnounceStream>(announcer.tick(m_now)).at(0).stream;
        const auto again = announcer.receive(m_now, stream, answerWith(ResultCode::StaleIncarnation, 9));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, only<SendAnnouncement>(again).at(0).message.server().order());
        const auto refused = announcer.receive(m_now, stream, answerWith(ResultCode::StaleIncarnation, 9));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only<CloseAnnounceStream>(refused).size());
    }

    // Guards against a server that is unknown after a restart while a control host is up already.
    void goesToAControlHostThatAnswers()
    {
        Announcer announcer = announcerOf("inspect-desk-1");
        announcer.tick(m_now);
        const HostAddress answering{0x7F000009, 1};
        const auto effects = announcer.controlHostAnswers(m_now, answering);
        const OpenAnnounceStream opened = only<OpenAnnounceStream>(effects).at(0);
        CPPUNIT_ASSERT(opened.address == answering);
        CPPUNIT_ASSERT(announcer.controlHostAnswers(m_now, answering).empty());
        announcer.receive(m_now, opened.stream, answerWith(ResultCode::Ok, 7));
        CPPUNIT_ASSERT(announcer.controlHostAnswers(m_now + std::chrono::milliseconds(300), controlHosts.front()).empty());
        // The answers have stopped: the stream may be dead.
        CPPUNIT_ASSERT(!announcer.controlHostAnswers(m_now + std::chrono::seconds(5), controlHosts.front()).empty());
    }

    // Guards against one control host that keeps the leases of all servers.
    void serversSpreadOverControlHosts()
    {
        std::map<HostAddress, int> counts;
        for (int number = 0; number < 300; ++number) {
            Announcer announcer = announcerOf("server-" + std::to_string(number));
            ++counts[only<OpenAnnounceStream>(announcer.tick(m_now)).at(0).address];
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
