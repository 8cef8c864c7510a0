#include "jujubequay/net/net_test_support.h"

#include <jujubequay/daemon/command_line.h>
#include <jujubequay/daemon/exit_status.h>

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <fstream>
#include <iostream>
#include <set>
#include <sstream>

using namespace Jujubequay;
using namespace Jujubequay::Testing;

namespace {

ProgramDescription testProgram()
{
    return {"jjq-test", "A program for tests.", {{"jjq-test --settings test.toml", "Runs with the settings in test.toml."}}};
}

ResultCode parseCode(const std::vector<std::string> &arguments)
{
    CommandLine line(testProgram());
    return codeOf([&] {
        return line.parse(arguments);
    });
}

}

class CommandLineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CommandLineTest);
    CPPUNIT_TEST(readsCommonOptions);
    CPPUNIT_TEST(badArgumentsAreReported);
    CPPUNIT_TEST(helpShowsExamples);
    CPPUNIT_TEST(exitStatusesAreDistinct);
    CPPUNIT_TEST(documentationListsEveryResultCode);
    CPPUNIT_TEST_SUITE_END();

public:
    void readsCommonOptions()
    {
        CommandLine line(testProgram());
        TCLAP::SwitchArg extra("", "initialise", "an option of the program", line.parser());
        const auto options = valueOf([&] {
            return line.parse({"jjq-test", "--settings", "a.toml", "--check-settings", "--log-level", "debug", "--initialise"});
        });
        CPPUNIT_ASSERT_EQUAL(std::string("a.toml"), options.settings.string());
        CPPUNIT_ASSERT(options.isCheckOnly);
        CPPUNIT_ASSERT(options.logLevel == LogLevel::Debug);
        CPPUNIT_ASSERT(extra.getValue());
    }

    void badArgumentsAreReported()
    {
        CPPUNIT_ASSERT(parseCode({"jjq-test"}) == ResultCode::BadCommandLine);
        CPPUNIT_ASSERT(parseCode({"jjq-test", "--settings", "a.toml", "--unknown"}) == ResultCode::BadCommandLine);
        CPPUNIT_ASSERT(parseCode({"jjq-test", "--settings", "a.toml", "--log-level", "loud"}) == ResultCode::BadCommandLine);
        CPPUNIT_ASSERT(parseCode({"jjq-test", "--settings", "a.toml"}) == ResultCode::Ok);
    }

    void helpShowsExamples()
    {
        std::ostringstream output;
        std::streambuf *const previous = std::cout.rdbuf(output.rdbuf());
        const int status = runProgram("jjq-test", []() -> Result<void> {
            CommandLine line(testProgram());
            BOOST_LEAF_CHECK(line.parse({"jjq-test", "--help"}));
            return {};
        });
        std::cout.rdbuf(previous);
        CPPUNIT_ASSERT_EQUAL(0, status);
        CPPUNIT_ASSERT(output.str().find("jjq-test --settings test.toml\n") != std::string::npos);
    }

    // Guards against two failures with the same exit status, which scripts could not distinguish.
    void exitStatusesAreDistinct()
    {
        std::set<int> statuses;
        for (const ResultCode code : allResultCodes()) {
            const int status = exitStatus(code);
            CPPUNIT_ASSERT(status >= 0 && status <= 255);
            CPPUNIT_ASSERT(statuses.insert(status).second);
        }
        CPPUNIT_ASSERT_EQUAL(30, exitStatus(ResultCode::BadSettings));
        CPPUNIT_ASSERT_EQUAL(200, exitStatus(ResultCode::VersionConflict));
    }

    // Guards against a result code that is missing in the documentation for operators.
    void documentationListsEveryResultCode()
    {
        std::ifstream documentation(std::filesystem::path(JUJUBEQUAY_SOURCE_DIR) / "docs" / "result-codes.md");
        std::vector<std::string> rows;
        for (std::string line; std::getline(documentation, line);) {
            if (line.starts_with("| ") && line[2] >= '0' && line[2] <= '9') {
                rows.push_back(line);
            }
        }
        const auto codes = allResultCodes();
        CPPUNIT_ASSERT_EQUAL(codes.size(), rows.size());
        for (std::size_t index = 0; index < codes.size(); ++index) {
            const std::string start = fmt::format("| {} | {} | ", static_cast<int>(codes[index]), resultName(codes[index]));
            CPPUNIT_ASSERT_MESSAGE(start, rows[index].starts_with(start));
            CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{5}, std::count(rows[index].begin(), rows[index].end(), '|'));
            CPPUNIT_ASSERT(rows[index].find("|  |") == std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandLineTest);
