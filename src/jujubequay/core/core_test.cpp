#include <jujubequay/core/clock.h>
#include <jujubequay/core/identifiers.h>
#include <jujubequay/core/kernel.h>
#include <jujubequay/core/log.h>
#include <jujubequay/core/result_code.h>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cstdio>

#include <unistd.h>

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
    CPPUNIT_TEST(frequentKindsDoNotHideRareOnes);
    CPPUNIT_TEST(stalledReaderDoesNotBlockTheLogger);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against text such as "127.0.0.1:99999" being parsed as another port.
    void hostAddressRejectsMalformedText()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1"), ipText({0x7F000001, 4433}));
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:4433"), toString(*parseHostAddress("127.0.0.1:4433")));
        for (const char *text : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:99999", "127.0.0.1:1x", "host:1", "1.2.3:4"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !parseHostAddress(text));
        }
    }

    // Guards against a service being cast to another type than the one under which it was registered.
    void kernelFindsServicesByNameAndType()
    {
        Kernel kernel;
        kernel.add<Clock>("clock", std::make_shared<ManualClock>());
        CPPUNIT_ASSERT(kernel.find<Clock>("clock"));
        CPPUNIT_ASSERT(!kernel.find<Logger>("clock"));
        CPPUNIT_ASSERT(!kernel.find<Clock>("other"));
    }

    // Guards against a result code without a name, which logs and tables would show as "unknown".
    void everyResultCodeHasAName()
    {
        CPPUNIT_ASSERT_EQUAL(std::string_view("MessageTooLarge"), resultName(ResultCode::MessageTooLarge));
        CPPUNIT_ASSERT_EQUAL(std::string_view("VersionConflict"), resultName(ResultCode::VersionConflict));
        CPPUNIT_ASSERT(isNotRun(ResultCode::NotRunMoved));
        CPPUNIT_ASSERT(!isNotRun(ResultCode::OutcomeUnknown));
    }

    // Guards against a repeated fault that fills the log.
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

    // Guards against the loss of the one line that explains a failure among many harmless lines of the same event.
    void frequentKindsDoNotHideRareOnes()
    {
        ManualClock clock;
        CapturingLogger logger(clock, {"test", "host-a", "zone-a"}, {.level = LogLevel::Info, .maxRepeats = 2});
        for (int round = 0; round < 5; ++round) {
            logger.info({"flow-reset", "no-route"});
        }
        logger.info({"flow-reset", "server-replaced"}, {{"caller", "a"}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, logger.lines.size());
        CPPUNIT_ASSERT(logger.lines[2].find("event=flow-reset caller=a") != std::string::npos);
    }

    // Guards against a process that blocks on a full pipe when the reader of its log has stalled.
    void stalledReaderDoesNotBlockTheLogger()
    {
        std::array<int, 2> pipeEnds{};
        CPPUNIT_ASSERT_EQUAL(0, pipe(pipeEnds.data()));
        std::fflush(stdout);
        const int standardOutput = dup(STDOUT_FILENO);
        dup2(pipeEnds[1], STDOUT_FILENO);
        ManualClock clock;
        constexpr std::uint32_t lines = 20'000;
        Logger logger(clock, {"test", "host-a", "zone-a"}, {.level = LogLevel::Info, .output = LogOutput::StandardOutput, .maxRepeats = lines});
        for (std::uint32_t line = 0; line < lines; ++line) {
            logger.info("repeated", {{"line", line}});
        }
        dup2(standardOutput, STDOUT_FILENO);
        for (const int descriptor : {standardOutput, pipeEnds[0], pipeEnds[1]}) {
            close(descriptor);
        }
        // A pipe holds 64 KiB, which is a few hundred lines.
        CPPUNIT_ASSERT(logger.droppedLines() > lines / 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoreTest);
