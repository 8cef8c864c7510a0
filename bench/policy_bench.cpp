#include "policy_run.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <iostream>

namespace {

using namespace Jujubequay::Bench;

void printHeader()
{
    fmt::print(
        "| policy | broken planned | broken unplanned | wrong service | run twice | false not run | late on draining | work imbalance | worst window | windows "
        "over 1.15 % "
        "| flow imbalance | Jain | worst small | p50 ms | p99 ms | small p99 ms | refused % | unknown | unanswered | attempts/request | MB between zones |\n");
    fmt::print("|{}\n", "---|" + std::string([] {
                            std::string columns;
                            for (int column = 0; column < 20; ++column) {
                                columns += "---:|";
                            }
                            return columns;
                        }()));
}

void printRow(std::string_view name, const PolicyResult &result)
{
    const double requests = static_cast<double>(std::max<std::uint64_t>(result.requests, 1));
    fmt::print("| {} | {} | {} | {} | {} | {} | {} | {:.3f} | {:.3f} | {:.0f} | {:.3f} | {:.4f} | {:.3f} | {:.0f} | {:.0f} | {:.0f} | {:.2f} | {} | {} | "
               "{:.2f} | {:.0f} |\n",
               name,
               result.flowsBrokenPlanned,
               result.flowsBrokenUnplanned,
               result.wrongServiceMessages,
               result.executedTwice,
               result.falseNotRun,
               result.lateStartsOnDraining,
               result.workImbalance,
               result.worstWindowImbalance,
               100 * result.windowsOverGoal,
               result.flowImbalance,
               result.jainFairness,
               result.worstSmallCustomerShare,
               result.latencyP50Ms,
               result.latencyP99Ms,
               result.smallCustomerLatencyP99Ms,
               100 * static_cast<double>(result.refusedRequests) / requests,
               result.unknownOutcomes,
               result.unansweredRequests,
               static_cast<double>(result.attempts) / requests,
               result.megabytesBetweenZones);
}

bool isSelected(const std::vector<std::string> &selection, std::string_view name)
{
    return selection.empty() || std::find(selection.begin(), selection.end(), name) != selection.end();
}

}

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine command("Compares placement and admission policies in simulated time");
        TCLAP::MultiArg<std::string> policyNames("p", "policy", "policy to run; all by default", false, "name", command);
        TCLAP::MultiArg<std::string> scenarioNames("s", "scenario", "scenario to run; all by default", false, "name", command);
        TCLAP::MultiArg<std::string> deploymentNames("d", "deployment", "deployment to run; both by default", false, "name", command);
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the random numbers", false, 1, "number", command);
        command.parse(argc, argv);
        for (const Deployment &deployment : deployments()) {
            for (const Scenario &scenario : scenarios()) {
                if (!isSelected(deploymentNames.getValue(), deployment.name) || !isSelected(scenarioNames.getValue(), scenario.name)) {
                    continue;
                }
                fmt::print("\n{}, {}, seed {}\n\n", deployment.name, scenario.name, seed.getValue());
                printHeader();
                for (const Policy &policy : policies()) {
                    if (isSelected(policyNames.getValue(), policy.name)) {
                        printRow(policy.name, PolicyRun(deployment, policy, scenario, seed.getValue()).run());
                    }
                }
            }
        }
    } catch (const TCLAP::ArgException &error) {
        std::cerr << error.error() << " for " << error.argId() << '\n';
        return 2;
    }
    return 0;
}
