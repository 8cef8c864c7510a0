#include <jujubequay/core/clock.h>
#include <jujubequay/core/identifiers.h>
#include <jujubequay/core/kernel.h>
#include <jujubequay/core/log.h>
#include <jujubequay/core/result_code.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Jujubequay;

namespace {

class CapturingLogger final : public Logger
{
public:
    using Logger::Logger;
    std::vector<std::string> lines;

protected:
    void write(const std::string &line) override
    {
        lines.push_back(line);
    }
};

}

class CoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CoreTest);
    CPPUNIT_TEST(hostAddressRejectsMalformedText);
    CPPUNIT_TEST(kernelFindsServicesByNameAndType);
    CPPUNIT_TEST(everyResultCodeHasAName);
    CPPUNIT_TEST(repeatedEventsAreSuppressed);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against settings such as "127.0.0.1:99999" being read as another port.
    void hostAddressRejectsMalformedText()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:4433"), toString(*parseHostAddress("127.0.0.1:4433")));
        for (const char *text : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:99999", "127.0.0.1:1x", "host:1", "1.2.3:4"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !parseHostAddress(text));
        }
    }

    // Guards against a service being cast to a type under which it was not added.
    void kernelFindsServicesByNameAndType()
    {
        Kernel kernel;
        kernel.add<Clock>("clock", std::make_shared<ManualClock>());
        CPPUNIT_ASSERT(kernel.find<Clock>("clock"));
        CPPUNIT_ASSERT(!kernel.find<Logger>("clock"));
        CPPUNIT_ASSERT(!kernel.find<Clock>("other"));
    }

    // Guards against a code that operators see only as "unknown".
    void everyResultCodeHasAName()
    {
        CPPUNIT_ASSERT_EQUAL(std::string_view("MessageTooLarge"), resultName(ResultCode::MessageTooLarge));
        CPPUNIT_ASSERT_EQUAL(std::string_view("VersionConflict"), resultName(ResultCode::VersionConflict));
        CPPUNIT_ASSERT(isNotRun(ResultCode::NotRunMoved));
        CPPUNIT_ASSERT(!isNotRun(ResultCode::OutcomeUnknown));
    }

    // Guards against a log that a repeating fault fills.
    void repeatedEventsAreSuppressed()
    {
        ManualClock clock;
        CapturingLogger logger(clock, {"test", "host-a", "zone-a"}, {.level = LogLevel::Info, .maxRepeats = 2});
        for (int round = 0; round < 5; ++round) {
            logger.info("repeated", {{"text", "two words"}});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, logger.lines.size());
        clock.advance(std::chrono::seconds(10));
        logger.info("repeated");
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, logger.lines.size());
        CPPUNIT_ASSERT(logger.lines[0].find("text=\"two words\"") != std::string::npos);
        CPPUNIT_ASSERT(logger.lines[2].find("suppressed=3") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoreTest);
