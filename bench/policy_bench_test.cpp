#include "policy_run.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Jujubequay::Bench;

namespace {

// The stated goals, not measured figures.
constexpr double maxImbalance = 1.15;
constexpr double maxImbalanceOverCentral = 1.10;
constexpr double minSmallCustomerShare = 0.90;
constexpr std::uint64_t seed = 1;

CellResult runCell(const Deployment &deployment, std::string_view policy, std::string_view scenario)
{
    return PolicyRun(deployment, policyNamed(policy), scenarioNamed(scenario), seed).run();
}

}

/// Runs the policy in simulated time with a fixed seed; the verdicts do not depend on the speed of the host.
class PolicyBenchTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PolicyBenchTest);
    CPPUNIT_TEST(noCellBreaksAGuarantee);
    CPPUNIT_TEST(healthyServersAreBalanced);
    CPPUNIT_TEST(smallCustomersKeepTheirShareInAFlood);
    CPPUNIT_TEST(misleadingServerDrawsNoCrowd);
    CPPUNIT_TEST(joiningServerReceivesItsShare);
    CPPUNIT_TEST(baselineFaultsAreSeen);
    CPPUNIT_TEST(runsAreDeterministic);
    CPPUNIT_TEST_SUITE_END();

public:
    void noCellBreaksAGuarantee()
    {
        for (const Deployment &deployment : deployments()) {
            for (const Scenario &scenario : scenarios()) {
                const std::string cell = std::string(deployment.name) + ", " + std::string(scenario.name);
                const CellResult result = runCell(deployment, "jujubequay", scenario.name);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(cell, std::uint64_t{0}, result.brokenPlanned);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(cell, std::uint64_t{0}, result.wrongService);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(cell, std::uint64_t{0}, result.runTwice);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(cell, std::uint64_t{0}, result.falseNotRun);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(cell, std::uint64_t{0}, result.lateOnDraining);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(cell, std::uint64_t{0}, result.unanswered);
            }
        }
    }

    void healthyServersAreBalanced()
    {
        for (const Deployment &deployment : deployments()) {
            const CellResult own = runCell(deployment, "jujubequay", "steady");
            const CellResult central = runCell(deployment, "central-jsq", "steady");
            CPPUNIT_ASSERT(own.workImbalance <= maxImbalance);
            CPPUNIT_ASSERT(own.flowImbalance <= maxImbalance);
            CPPUNIT_ASSERT(own.workImbalance <= maxImbalanceOverCentral * central.workImbalance);
        }
    }

    void smallCustomersKeepTheirShareInAFlood()
    {
        for (const Deployment &deployment : deployments()) {
            CPPUNIT_ASSERT(runCell(deployment, "jujubequay", "flood").worstSmall >= minSmallCustomerShare);
            CPPUNIT_ASSERT(runCell(deployment, "jujubequay", "flood+drain-crash").worstSmall >= minSmallCustomerShare);
        }
    }

    // Guards against a slow server that attracts requests by reporting no load. Without distrust of disproved reports,
    // several hundred requests were refused.
    void misleadingServerDrawsNoCrowd()
    {
        const CellResult result = runCell(deployments()[0], "jujubequay", "misleading");
        CPPUNIT_ASSERT(result.refused * 1000 <= result.requests);
        CPPUNIT_ASSERT(result.worstSmall >= minSmallCustomerShare);
    }

    // Guards against a server that stays nearly empty after it has joined, because flows last for hours.
    void joiningServerReceivesItsShare()
    {
        CPPUNIT_ASSERT(runCell(deployments()[0], "jujubequay", "cold-start").flowImbalance <= maxImbalance);
    }

    // Guards against a bench that cannot see the faults that it checks for.
    void baselineFaultsAreSeen()
    {
        const CellResult modulo = runCell(deployments()[0], "modulo", "revisions");
        CPPUNIT_ASSERT(modulo.brokenPlanned > 0);
        CPPUNIT_ASSERT(modulo.wrongService > 0);
        CPPUNIT_ASSERT(modulo.lateOnDraining > 0);
        CPPUNIT_ASSERT(modulo.workImbalance > maxImbalance);
    }

    void runsAreDeterministic()
    {
        const CellResult first = runCell(deployments()[1], "jujubequay", "drain-crash");
        const CellResult second = runCell(deployments()[1], "jujubequay", "drain-crash");
        CPPUNIT_ASSERT_EQUAL(first.attempts, second.attempts);
        CPPUNIT_ASSERT_EQUAL(first.megabytesBetweenZones, second.megabytesBetweenZones);
        CPPUNIT_ASSERT_EQUAL(first.workImbalance, second.workImbalance);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PolicyBenchTest);
