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
                      "Runs the platform programs as processes on loopback under random faults; exit status 0 only if no promise was broken.",
                      {{"jjq-fault-soak --programs build --seed 1 --runs 50", "Seeds 1 to 50."}}},
                     false);
    TCLAP::ValueArg<std::string> programs("", "programs", "directory of the programs", false, "build", "directory", line.parser());
    TCLAP::ValueArg<std::string> directory("",
                                           "directory",
                                           "for settings, disks and logs of each run; those of runs without a finding are removed",
                                           false,
                                           "build/fault-soak",
                                           "directory",
                                           line.parser());
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "first seed", false, 1, "number", line.parser());
    TCLAP::ValueArg<std::uint64_t> runs("", "runs", "number of runs; each takes the next seed", false, 1, "number", line.parser());
    TCLAP::ValueArg<unsigned> seconds("", "seconds", "time in which faults begin", false, 15, "seconds", line.parser());
    TCLAP::ValueArg<unsigned> network(
        "", "network", "second byte of the loopback addresses; differs between soaks at the same time", false, 77, "number", line.parser());
    TCLAP::ValueArg<unsigned> balancers("", "balancers", "number of balancers", false, 3, "number", line.parser());
    TCLAP::ValueArg<unsigned> agents("", "agents", "number of agents, each with a server", false, 5, "number", line.parser());
    TCLAP::ValueArg<unsigned> controlHosts("", "control-hosts", "number of control hosts", false, 3, "number", line.parser());
    TCLAP::SwitchArg showsFaults("", "show-faults", "print each fault", line.parser());
    TCLAP::ValueArg<std::string> onlyFault("", "only", "the only kind of fault, as --show-faults prints it", false, "", "name", line.parser());
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
        const LedgerCounts &counts = report.counts;
        fmt::print("seed={} faults={} flows={} asked={} answered={} unanswered={} resets={} changes={} violations={}\n",
                   options.seed,
                   report.faults,
                   counts.flows,
                   counts.asked,
                   counts.answered,
                   counts.unanswered,
                   counts.resets,
                   counts.changesAccepted,
                   report.violations.size());
        for (const std::string &violation : report.violations) {
            fmt::print("  {}\n", violation);
        }
        std::fflush(stdout);
        violations += report.violations.size();
        if (report.violations.empty()) {
            std::error_code ignored; // the logs are of no use, and the next run of this seed removes them
            std::filesystem::remove_all(options.deployment.directory, ignored);
        }
    }
    if (violations > 0) {
        return fail(ResultCode::OutcomeUnknown, fmt::format("{} promises were broken; logs are in {}", violations, directory.getValue()));
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
