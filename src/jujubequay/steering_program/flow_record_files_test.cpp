#include <jujubequay/steering_program/flow_record_files.h>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <thread>

using namespace Jujubequay;

class FlowRecordFilesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FlowRecordFilesTest);
    CPPUNIT_TEST(loadsTheNewestSave);
    CPPUNIT_TEST(loadsTheSaveBeforeATornOne);
    CPPUNIT_TEST(reportsAMissingDirectory);
    CPPUNIT_TEST_SUITE_END();

    SteadyClock m_clock;
    Logger m_logger{m_clock, {"test", "host", "zone"}, {}};
    std::filesystem::path m_directory;

    static void save(FlowRecordFiles &files, const std::string &contents)
    {
        files.save(contents);
        while (files.isSaving()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    std::string load()
    {
        FlowRecordFiles files(m_directory, m_logger);
        return handleFailure(
            [&] {
                return files.load();
            },
            [](const Failure &failure) {
                return std::string(resultName(failure.code));
            });
    }

public:
    void setUp() override
    {
        std::string name = (std::filesystem::temp_directory_path() / "flow-records-XXXXXX").string();
        CPPUNIT_ASSERT(::mkdtemp(name.data()) != nullptr);
        m_directory = name;
    }

    void tearDown() override
    {
        std::filesystem::remove_all(m_directory);
    }

    void loadsTheNewestSave()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), load());
        for (const std::string contents : {"first", "second", "third"}) {
            FlowRecordFiles files(m_directory, m_logger);
            CPPUNIT_ASSERT(files.load());
            save(files, contents);
            CPPUNIT_ASSERT_EQUAL(contents, load());
        }
    }

    /// A loss of power may tear the file that is being written.
    void loadsTheSaveBeforeATornOne()
    {
        {
            FlowRecordFiles files(m_directory, m_logger);
            CPPUNIT_ASSERT(files.load());
            save(files, "first");
            save(files, "second");
        }
        std::filesystem::resize_file(m_directory / "flow-records.0", 44);
        CPPUNIT_ASSERT_EQUAL(std::string("first"), load());
        std::filesystem::resize_file(m_directory / "flow-records.1", 3);
        CPPUNIT_ASSERT_EQUAL(std::string(), load());
    }

    void reportsAMissingDirectory()
    {
        std::filesystem::remove_all(m_directory);
        CPPUNIT_ASSERT_EQUAL(std::string(resultName(ResultCode::DiskFailed)), load());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowRecordFilesTest);
