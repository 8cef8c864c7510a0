#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>
#include <map>
#include <set>

#include "steering_random_run.h"

using namespace Jujubequay::SteeringTest;

class SteeringRandomTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SteeringRandomTest);
    CPPUNIT_TEST(keepsOpenFlowsUnderPlannedWork);
    CPPUNIT_TEST(keepsOpenFlowsUnderFaults);
    CPPUNIT_TEST(keepsFlowsWhosePortsWereUsedBefore);
    CPPUNIT_TEST_SUITE_END();

public:
    // Planned work, in any order and at once, must not reset an open flow or send its packets to other servers.
    void keepsOpenFlowsUnderPlannedWork()
    {
        checkSeeds({});
    }

    // Crashes and lost notices must not reset the flows of the servers that run on.
    void keepsOpenFlowsUnderFaults()
    {
        checkSeeds({.hasFaults = true});
    }

    // What a host remembers of an earlier flow, or learns of it late, must not end a later flow with the same addresses and ports.
    void keepsFlowsWhosePortsWereUsedBefore()
    {
        checkSeeds({.reusesPorts = true});
    }

private:
    static unsigned variable(const char *name, unsigned value)
    {
        const char *text = std::getenv(name);
        return text == nullptr ? value : static_cast<unsigned>(std::stoul(text));
    }

    static std::string traceOf(unsigned seed, SteeringRandomOptions options, std::uint64_t flow)
    {
        options.isTracing = true;
        SteeringRandomRun run(seed, options);
        run.run();
        return run.trace(flow);
    }

    /// STEERING_SEEDS and STEERING_FIRST_SEED select other seeds; all findings are counted then.
    static void checkSeeds(SteeringRandomOptions options)
    {
        const unsigned first = variable("STEERING_FIRST_SEED", 1);
        const unsigned count = variable("STEERING_SEEDS", 20);
        std::map<std::string, std::pair<int, std::string>> rules;
        std::size_t opened = 0;
        for (unsigned seed = first; seed < first + count; ++seed) {
            SteeringRandomRun run(seed, options);
            run.run();
            opened += run.openedCount();
            std::set<std::string> counted;
            for (const Finding &finding : run.findings()) {
                auto &[seeds, detail] = rules[finding.rule];
                detail = seeds == 0 ? finding.detail + "\n" + traceOf(seed, options, finding.flow) : detail;
                seeds += counted.insert(finding.rule).second ? 1 : 0;
            }
        }
        std::string message;
        for (const auto &[rule, entry] : rules) {
            message += std::to_string(entry.first) + " of " + std::to_string(count) + " seeds: " + entry.second + "\n";
        }
        if (std::getenv("STEERING_SEEDS") != nullptr) {
            std::cout << "\n" << opened << " flows opened\n" << message;
        }
        CPPUNIT_ASSERT(opened > std::size_t{100} * count);
        CPPUNIT_ASSERT_MESSAGE(message, rules.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SteeringRandomTest);
