#include <jujubequay/core/error.h>
#include <jujubequay/operator_program/operator_program.h>

#include <cppunit/extensions/HelperMacros.h>
#include <tclap/ArgException.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>

using namespace Jujubequay;

class OperatorProgramTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OperatorProgramTest);
    CPPUNIT_TEST(everyCommandPrintsHelp);
    CPPUNIT_TEST(bundleFileIsSignedOffline);
    CPPUNIT_TEST(unknownCommandIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_directory = std::filesystem::temp_directory_path() / ("jjq-test-" + std::to_string(getpid()));
        std::filesystem::create_directory(m_directory);
    }

    void tearDown() override
    {
        std::filesystem::remove_all(m_directory);
    }

    // Guards against an option whose name the parser already uses, such as --version. Such a command fails with any arguments.
    void everyCommandPrintsHelp()
    {
        for (const char *command : {"bundle create",
                                    "bundle show",
                                    "sign",
                                    "propose",
                                    "submit",
                                    "roll",
                                    "rollback",
                                    "status",
                                    "keys list",
                                    "keys signer-add",
                                    "keygen",
                                    "keys signer-remove",
                                    "keys flow-add",
                                    "keys flow-activate",
                                    "keys flow-retire",
                                    "members list",
                                    "members add",
                                    "members remove"}) {
            std::vector<std::string> arguments{"jjq"};
            const std::string text = command;
            const std::size_t space = text.find(' ');
            arguments.push_back(text.substr(0, space));
            if (space != std::string::npos) {
                arguments.push_back(text.substr(space + 1));
            }
            arguments.emplace_back("--help");
            CPPUNIT_ASSERT_THROW_MESSAGE(text, static_cast<void>(runOperatorCommand(arguments)), TCLAP::ExitException);
        }
    }

    // Guards against a signature made with a key file that other users can read.
    void bundleFileIsSignedOffline()
    {
        CPPUNIT_ASSERT_EQUAL(ResultCode::Ok, run({"jjq", "keygen", "--out", path("amina")}));
        CPPUNIT_ASSERT_EQUAL(ResultCode::Ok, create("127.0.0.1:4433", "1.bundle"));
        CPPUNIT_ASSERT_EQUAL(ResultCode::BadBundle, create("127.0.0.1:0", "2.bundle"));
        CPPUNIT_ASSERT(!std::filesystem::exists(path("2.bundle")));
        CPPUNIT_ASSERT_EQUAL(ResultCode::Ok, sign("1.sig"));
        std::filesystem::permissions(path("amina"), std::filesystem::perms::others_read, std::filesystem::perm_options::add);
        CPPUNIT_ASSERT_EQUAL(ResultCode::BadKeyFile, sign("2.sig"));
    }

    void unknownCommandIsRefused()
    {
        CPPUNIT_ASSERT_EQUAL(ResultCode::BadCommandLine, run({"jjq", "rol"}));
        CPPUNIT_ASSERT_EQUAL(ResultCode::BadCommandLine, run({"jjq"}));
    }

private:
    static ResultCode run(const std::vector<std::string> &arguments)
    {
        return handleFailure(
            [&]() -> Result<ResultCode> {
                BOOST_LEAF_CHECK(runOperatorCommand(arguments));
                return ResultCode::Ok;
            },
            [](const Failure &failure) {
                return failure.code;
            });
    }

    ResultCode create(const std::string &address, const std::string &file)
    {
        return run({"jjq",
                    "bundle",
                    "create",
                    "--service",
                    "inspect-desk",
                    "--bundle-version",
                    "1",
                    "--address",
                    address,
                    "--server-name",
                    "inspect-desk-*",
                    "--out",
                    path(file)});
    }

    ResultCode sign(const std::string &file)
    {
        return run({"jjq", "sign", "--bundle", path("1.bundle"), "--key", path("amina"), "--signer", "amina", "--out", path(file)});
    }

    std::string path(const std::string &file) const
    {
        return (m_directory / file).string();
    }

    std::filesystem::path m_directory;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorProgramTest);
