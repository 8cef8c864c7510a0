#include <jujubequay/steering_program/server_probe.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Jujubequay;

class ServerProbeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerProbeTest);
    CPPUNIT_TEST(reportsOnlyTheLastCheck);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against the result of a cancelled check, which is about another server or another moment.
    void reportsOnlyTheLastCheck()
    {
        asio::io_context context;
        ServerProbe probe(context, {0x7F000001, 1});
        int cancelledResults = 0;
        std::vector<ServerProcess> results;
        const auto countCancelled = [&](ServerProcess) {
            ++cancelledResults;
        };
        probe.start(countCancelled);
        probe.start([&](ServerProcess process) {
            results.push_back(process);
            probe.start(countCancelled);
            probe.cancel();
        });
        context.run();
        CPPUNIT_ASSERT_EQUAL(0, cancelledResults);
        CPPUNIT_ASSERT(results == std::vector{ServerProcess::Ended});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerProbeTest);
