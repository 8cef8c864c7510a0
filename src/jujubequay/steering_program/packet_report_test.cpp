#include <jujubequay/core/clock.h>
#include <jujubequay/steering_program/packet_report.h>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>

using namespace Jujubequay;
using std::chrono::milliseconds;

namespace {

class CapturingLogger : public Logger
{
public:
    using Logger::Logger;
    std::string line;

protected:
    void write(const std::string &text) override
    {
        line = text;
    }
};

}

class PacketReportTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PacketReportTest);
    CPPUNIT_TEST(resetsCanBeExplainedFromTheirLine);
    CPPUNIT_TEST(endedServersNameTheControlHost);
    CPPUNIT_TEST_SUITE_END();

    static constexpr HostAddress agent{0x0A010001U, 8172};
    ManualClock m_clock;
    CapturingLogger m_logger{m_clock, {"test", "host-a", "zone-a"}, {}};

    void assertContains(const std::string &text) const
    {
        CPPUNIT_ASSERT_MESSAGE(m_logger.line, m_logger.line.find(text) != std::string::npos);
    }

public:
    /// Guards against a reset whose line does not tell a stale owner notice, a placement and a wrong end of a server apart.
    void resetsCanBeExplainedFromTheirLine()
    {
        const TimePoint now{std::chrono::seconds(100)};
        const ServerEnd end{ServerEndCause::Replaced, {8}, now - milliseconds(30)};
        const ResetCaller decision{{{0x64400007U, 40001}, {0xC6120001U, 443}},
                                   5,
                                   SteerCause::ServerReplaced,
                                   false,
                                   {agent, {7}, OwnershipSource::OwnerNotice, now - milliseconds(1200), end}};
        logReset(m_logger, now, decision, ServerDirectory({}));
        assertContains("event=flow-reset caller=100.64.0.7:40001 address=198.18.0.1:443 cause=server-replaced opening=false");
        assertContains("owner_source=owner-notice owner=10.1.0.1:8172 incarnation=7 owner_age_ms=1200 end=replaced successor=8 end_age_ms=30");
    }

    /// Guards against a server that counts as ended without a trace of the control host that has said so.
    void endedServersNameTheControlHost()
    {
        const std::array servers{EndedServer{agent, {7}, {ServerEndCause::Deregistered, {}, {}}}};
        logEndedServers(m_logger, servers, {{0x0A030001U, 7720}, 11, 12});
        assertContains("event=server-ended agent=10.1.0.1:8172 incarnation=7 cause=deregistered successor=0");
        assertContains("control_host=10.3.0.1:7720 registry_epoch=11 registry_sequence=12");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PacketReportTest);
