#include "soak/fault_run.h"

#include <jujubequay/daemon/command_line.h>

#include <fmt/format.h>

#include <cstdio>

using namespace Jujubequay;
using namespace Jujubequay::Soak;

namespace {

Result<void> run(int argc, char **argv)
{
    CommandLine line({"jjq-fault-soak",
                      "Runs the platform programs as processes on loopback under random faults. The exit status is 0 only if no guarantee was violated.",
                      {{"jjq-fault-soak --programs build --seed 1 --runs 50", "Seeds 1 to 50."}}},
                     false);
    TCLAP::ValueArg<std::string> programs("", "programs", "directory with the executables", false, "build", "directory", line.parser());
    TCLAP::ValueArg<std::string> directory("",
                                           "directory",
                                           "for the settings, data directories and logs of each run; removed after runs without a violation",
                                           false,
                                           "build/fault-soak",
                                           "directory",
                                           line.parser());
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "first seed", false, 1, "number", line.parser());
    TCLAP::ValueArg<std::uint64_t> runs("", "runs", "number of runs; each takes the next seed", false, 1, "number", line.parser());
    TCLAP::ValueArg<unsigned> seconds("", "seconds", "faults begin within this time", false, 15, "seconds", line.parser());
    TCLAP::ValueArg<unsigned> network(
        "", "network", "second byte of the loopback addresses; must differ between concurrent runs", false, 77, "number", line.parser());
    TCLAP::ValueArg<unsigned> balancers("", "balancers", "number of balancers", false, 3, "number", line.parser());
    TCLAP::ValueArg<unsigned> agents("", "agents", "number of agents, each with a backend server", false, 5, "number", line.parser());
    TCLAP::ValueArg<unsigned> controlHosts("", "control-hosts", "number of control hosts", false, 3, "number", line.parser());
    TCLAP::SwitchArg showsFaults("", "show-faults", "print each fault", line.parser());
    TCLAP::ValueArg<std::string> onlyFault("", "only", "name of the only fault to inject, as --show-faults prints it", false, "", "name", line.parser());
    BOOST_LEAF_CHECK(line.parse({argv, argv + argc}));

    FaultRunOptions options;
    options.deployment.addresses.network = static_cast<std::uint8_t>(network.getValue());
    options.deployment.programs = std::filesystem::absolute(programs.getValue());
    options.deployment.balancers = static_cast<std::uint8_t>(balancers.getValue());
    options.deployment.agents = static_cast<std::uint8_t>(agents.getValue());
    options.deployment.controlHosts = static_cast<std::uint8_t>(controlHosts.getValue());
    options.faultTime = std::chrono::seconds(seconds.getValue());
    options.onlyFault = onlyFault.getValue();
    options.showsFaults = showsFaults.getValue();
    std::size_t violations = 0;
    for (std::uint64_t number = 0; number < runs.getValue(); ++number) {
        options.seed = seed.getValue() + number;
        options.deployment.directory = std::filesystem::absolute(directory.getValue()) / fmt::format("seed-{}", options.seed);
        BOOST_LEAF_AUTO(report, runWithFaults(options));
        const RunCounts &counts = report.counts;
        fmt::print("seed={} faults={} flows={} asked={} answered={} unanswered={} resets={} changes={} violations={}\n",
                   options.seed,
                   report.faults,
                   counts.flows,
                   counts.requests,
                   counts.answered,
                   counts.unanswered,
                   counts.resets,
                   counts.acceptedChanges,
                   report.violations.size());
        for (const std::string &violation : report.violations) {
            fmt::print("  {}\n", violation);
        }
        std::fflush(stdout);
        violations += report.violations.size();
        if (report.violations.empty()) {
            std::error_code ignored; // a remaining directory is removed by the next run with this seed
            std::filesystem::remove_all(options.deployment.directory, ignored);
        }
    }
    if (violations > 0) {
        return fail(ResultCode::OutcomeUnknown, fmt::format("{} violations of guarantees; logs are in {}", violations, directory.getValue()));
    }
    return {};
}

}

int main(int argc, char **argv)
{
    return runProgram("jjq-fault-soak", [&] {
        return run(argc, argv);
    });
}
