#include "scenario.h"

#include <jujubequay/core/invariant.h>

#include <algorithm>

namespace Jujubequay::Bench {

namespace {

using namespace std::chrono_literals;

/// Short writes (findings, bids), shorter reads and some downloads.
std::vector<RequestKind> deskRequests()
{
    return {
        {.workClass = WorkClass::Critical, .share = 0.3, .slotTime = 60ms, .deadline = 10s, .idempotent = false, .answerBytes = 500},
        {.workClass = WorkClass::Interactive, .share = 0.5, .slotTime = 30ms, .deadline = 5s, .answerBytes = 2000},
        {.workClass = WorkClass::Bulk, .share = 0.2, .slotTime = 600ms, .deadline = 30s, .answerBytes = 200000},
    };
}

/// Mostly downloads.
std::vector<RequestKind> vaultRequests()
{
    return {
        {.workClass = WorkClass::Interactive, .share = 0.4, .slotTime = 30ms, .deadline = 5s, .answerBytes = 2000},
        {.workClass = WorkClass::Bulk, .share = 0.6, .slotTime = 400ms, .deadline = 30s, .answerBytes = 200000},
    };
}

template<class Item>
const Item &findByName(const std::vector<Item> &items, std::string_view name)
{
    const auto found = std::find_if(items.begin(), items.end(), [name](const Item &item) {
        return item.name == name;
    });
    checkInvariant(found != items.end(), "a policy or scenario with the requested name exists");
    return *found;
}

}

const std::array<Deployment, 2> &deployments()
{
    static const std::array<Deployment, 2> all{{
        {"kilimanjaro", 4ms, 1ms, {{{"inspect-desk", 7, 1500, deskRequests()}, {"cert-vault", 4, 600, vaultRequests()}}}},
        {"qarthage", 3ms, 3ms, {{{"slotboard", 7, 1500, deskRequests()}, {"dossier-vault", 4, 600, vaultRequests()}}}},
    }};
    return all;
}

const std::vector<Policy> &policies()
{
    static const std::vector<Policy> all{
        {.name = "modulo",
         .placement = Placement::Modulo,
         .flowIdentifiers = false,
         .redirect = false,
         .flowsPerCaller = 1,
         .useLoad = false,
         .moveRequests = false},
        {.name = "rendezvous", .flowIdentifiers = false, .redirect = false, .flowsPerCaller = 1, .useLoad = false, .moveRequests = false},
        {.name = "round-robin-table",
         .placement = Placement::RoundRobin,
         .flowIdentifiers = false,
         .redirect = false,
         .flowsPerCaller = 1,
         .useLoad = false,
         .moveRequests = false},
        {.name = "central-jsq", .placement = Placement::Central, .redirect = false, .flowsPerCaller = 1, .useLoad = false, .moveRequests = false},
        {.name = "jujubequay"},
        {.name = "one-flow", .flowsPerCaller = 1, .useLoad = false, .moveRequests = false},
        {.name = "two-flows-random", .useLoad = false, .moveRequests = false},
        {.name = "two-flows-load", .moveRequests = false},
        {.name = "no-load-on-open", .loadOnOpen = false},
        {.name = "no-load-on-forward", .loadOnForward = false},
        {.name = "no-relocation", .relocationsPerSecond = 0},
        {.name = "no-distrust", .discardContradicted = false},
        {.name = "three-flows", .flowsPerCaller = 3},
    };
    return all;
}

const Policy &findPolicy(std::string_view name)
{
    return findByName(policies(), name);
}

const std::vector<Scenario> &scenarios()
{
    static const std::vector<Scenario> all{
        {.name = "steady"},
        {.name = "flood", .flood = true},
        {.name = "balancer-churn", .balancerChurn = true},
        {.name = "drain-crash", .drainAndCrash = true},
        {.name = "cold-start", .coldStart = true},
        {.name = "misleading", .misleading = true},
        {.name = "revisions", .revisions = true},
        {.name = "flood+drain-crash", .flood = true, .drainAndCrash = true},
        {.name = "churn+revisions", .balancerChurn = true, .revisions = true},
    };
    return all;
}

const Scenario &findScenario(std::string_view name)
{
    return findByName(scenarios(), name);
}

}
