#include <jujubequay/consensus_testing/random_run.h>

#include <fmt/core.h>
#include <tclap/CmdLine.h>

#include <chrono>
#include <cstdio>

using namespace Jujubequay;

namespace {

struct Options {
    std::uint64_t firstSeed;
    std::uint64_t runs; // 0 for no limit
    std::uint64_t seconds; // 0 for no limit
    std::uint64_t events; // per run, until the faults end
};

Options parse(int argc, char **argv)
{
    TCLAP::CmdLine command("Random runs of the replicated log with faults; stops at the first violated invariant.");
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "first seed; the following runs use the next ones", false, 1, "number", command);
    TCLAP::ValueArg<std::uint64_t> runs("", "runs", "number of runs; 0 for no limit", false, 0, "number", command);
    TCLAP::ValueArg<std::uint64_t> seconds("", "seconds", "start no new run after this time; 0 for no limit", false, 0, "seconds", command);
    TCLAP::ValueArg<std::uint64_t> events("", "events", "number of events in one run until its faults end", false, 20000, "number", command);
    command.parse(argc, argv);
    const bool unlimited = runs.getValue() == 0 && seconds.getValue() == 0;
    return {seed.getValue(), unlimited ? 1 : runs.getValue(), seconds.getValue(), events.getValue()};
}

}

int main(int argc, char **argv)
{
    const Options options = parse(argc, argv);
    const auto start = std::chrono::steady_clock::now();
    for (std::uint64_t run = 0; options.runs == 0 || run < options.runs; ++run) {
        const auto elapsed = std::chrono::steady_clock::now() - start;
        if (options.seconds != 0 && elapsed >= std::chrono::seconds(options.seconds)) {
            break;
        }
        const std::uint64_t seed = options.firstSeed + run;
        fmt::print("seed={} ", seed);
        std::fflush(stdout);
        fmt::print("{}\n", toString(Consensus::executeRandomRun({seed, options.events})));
    }
    return 0;
}
