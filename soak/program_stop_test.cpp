#include "soak/child_process.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <optional>
#include <thread>

#include <unistd.h>

using namespace Jujubequay;
using namespace Jujubequay::Soak;
using std::chrono::milliseconds;

namespace {

/// Supervisors kill processes that outlive this time after SIGTERM.
constexpr auto killTime = milliseconds(6000);
/// Default time for which a balancer forwards after SIGTERM.
constexpr auto drainTime = milliseconds(3500);
/// Time for which a stopping control host announces that it leaves.
constexpr auto leaveTime = milliseconds(50);
/// Time for which a stopping agent forwards the last packets of its server.
constexpr auto lastPacketsTime = milliseconds(290);
/// Longest time that a process needs to end after its work is done.
constexpr auto exitTime = milliseconds(1000);
/// Time in which a process starts.
constexpr auto startTime = milliseconds(500);

/// A signal to the process, some time after SIGTERM.
struct LaterSignal {
    milliseconds time;
    int number;
};

struct Stop {
    milliseconds duration{};
    bool hasSucceeded = false;
};

std::string settingsOf(const std::string &role, const std::filesystem::path &directory)
{
    // No process listens at the seeds.
    std::string text = "host_name = \"127.0.78.1\"\navailability_zone = \"zone-a\"\nregion = \"loopback\"\n"
                       "seeds = [\"127.0.78.2:17401\", \"127.0.78.3:17401\"]\ncontrol_port = 17401\n";
    if (role == "control") {
        return text
            + fmt::format("peer_address = \"127.0.78.1:17401\"\noperator_address = \"127.0.78.1:17402\"\ndata_directory = \"{}\"\nfirst_start = true\n"
                          "tolerated_disk_losses = 1\n",
                          (directory / "disk").string());
    }
    text += "caller_address = \"127.0.78.1:17404\"\nready_address = \"127.0.78.1:17403\"\n";
    if (role == "balancer") {
        return text + "peer_address = \"127.0.78.1:17401\"\n";
    }
    return text
        + "relay_address = \"127.0.78.1:17404\"\nserver_output = \"127.0.78.1:17405\"\nserver_input = \"127.0.78.1:17406\"\n"
          "announce_address = \"127.0.78.1:17407\"\nannounce_interval_ms = 500\nservice = \"feed\"\n";
}

}

/// The programs of the platform as processes without peers.
class ProgramStopTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ProgramStopTest);
    CPPUNIT_TEST(processesEndInTimeWithoutPeers);
    CPPUNIT_TEST(laterSignalsDoNotChangeAStop);
    CPPUNIT_TEST_SUITE_END();

    static Stop stop(const std::string &role, const std::vector<LaterSignal> &laterSignals)
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "jujubequay-stop-XXXXXX").string();
        const std::filesystem::path directory = mkdtemp(pattern.data());
        const std::filesystem::path settings = directory / "settings.toml";
        std::ofstream(settings) << settingsOf(role, directory);
        const std::string program = std::string(JUJUBEQUAY_PROGRAM_DIRECTORY) + "/jjq-platform-" + role;
        auto process = ChildProcess::start({program, "--settings", settings.string()}, directory / "log");
        CPPUNIT_ASSERT(process);
        std::this_thread::sleep_for(startTime);
        CPPUNIT_ASSERT_MESSAGE(role + " has not started, see " + directory.string(), !process->hasEnded());
        const auto stoppedAt = std::chrono::steady_clock::now();
        process->signal(SIGTERM);
        for (const LaterSignal &later : laterSignals) {
            std::this_thread::sleep_until(stoppedAt + later.time);
            process->signal(later.number);
        }
        while (!process->hasEnded() && std::chrono::steady_clock::now() - stoppedAt < killTime) {
            std::this_thread::sleep_for(milliseconds(5));
        }
        std::filesystem::remove_all(directory);
        return {std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - stoppedAt), process->hasSucceeded()};
    }

    static void expectStop(const std::string &role, milliseconds workTime, const std::vector<LaterSignal> &laterSignals)
    {
        const Stop result = stop(role, laterSignals);
        const std::string message = fmt::format("{}: {} ms", role, result.duration.count());
        CPPUNIT_ASSERT_MESSAGE(message, result.hasSucceeded);
        CPPUNIT_ASSERT_MESSAGE(message, result.duration >= workTime);
        CPPUNIT_ASSERT_MESSAGE(message, result.duration < workTime + exitTime);
    }

    static void expectStops(const std::vector<LaterSignal> &laterSignals)
    {
        expectStop("balancer", drainTime, laterSignals);
        expectStop("agent", lastPacketsTime, laterSignals);
        expectStop("control", leaveTime, laterSignals);
    }

public:
    /// Guards against a process that waits for peers that are gone until it is killed.
    void processesEndInTimeWithoutPeers()
    {
        expectStops({});
    }

    /// Guards against a second signal or a reload that cuts the drain short, extends it, or ends the process by the default action.
    void laterSignalsDoNotChangeAStop()
    {
        expectStops({{milliseconds(20), SIGTERM}, {milliseconds(30), SIGHUP}, {milliseconds(40), SIGINT}});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProgramStopTest);
