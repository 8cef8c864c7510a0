#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/core/identifiers.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace Jujubequay::Bench {

/// Properties of one kind of request that a service receives.
struct RequestKind {
    WorkClass workClass = WorkClass::Interactive;
    double share = 1; ///< share of the service's requests, 0 to 1
    Duration slotTime{}; ///< mean time in a slot; the times have a gamma distribution with shape 2
    Duration deadline{};
    bool idempotent = true;
    std::uint32_t answerBytes = 2000;
};

struct ServiceModel {
    std::string_view name;
    int servers = 0;
    int callers = 0;
    std::vector<RequestKind> kinds;
};

/// Services and network delays of one deployment.
struct Deployment {
    std::string_view name;
    Duration zoneDelay{}; ///< one way, between availability zones
    Duration callerDelay{}; ///< one way, between a caller and a balancer
    std::array<ServiceModel, 2> services;
};

const std::array<Deployment, 2> &deployments();

/// How a server is chosen for a new flow.
enum class Placement : std::uint8_t { Modulo, Rendezvous, RoundRobin, Central };

/// Placement and admission policy. The defaults are those of jujubequay.
struct Policy {
    std::string_view name;
    Placement placement = Placement::Rendezvous;
    bool flowIdentifiers = true; ///< packets carry the identifier of their server; otherwise balancers place each packet by hash or flow table
    bool redirect = true; ///< a first choice may redirect a new flow to its second choice
    int flowsPerCaller = 2;
    bool useLoad = true; ///< callers send a request on the flow whose server has the lower estimated work
    bool moveRequests = true; ///< a server may move a request once to the server of the caller's other flow if that server has less work
    bool loadOnForward = true; ///< balancers add the last known load of another server to each forwarded datagram
    bool loadOnOpen = true; ///< balancers add the last known load of the second choice to Initial packets
    bool discardContradicted = true; ///< load reports that a moved request contradicts are ignored for some time
    int relocationsPerSecond = 10; ///< maximum number of idle flows per second that a server asks to reopen at another server
};

/// All policies: the baselines, then jujubequay, then jujubequay with one mechanism disabled or changed.
const std::vector<Policy> &policies();
/// Aborts if there is no policy with this name.
const Policy &findPolicy(std::string_view name);

/// Faults that a scenario injects. Times are relative to the start of the run.
struct Scenario {
    std::string_view name;
    bool flood = false; ///< one customer raises the total demand to 200% of the capacity from 90 s to 180 s
    bool balancerChurn = false; ///< every 10 s a balancer stops or starts again
    bool drainAndCrash = false; ///< one server drains at 90 s and restarts at 150 s, another crashes at 180 s and restarts at 200 s
    bool coldStart = false; ///< one server of each service joins at 90 s and is slow at first
    bool misleading = false; ///< one server of each service answers three times slower from 60 s and reports no load
    bool revisions = false; ///< a server leaves its service at 90 s and joins the other one; two balancers are partitioned until 150 s
};

const std::vector<Scenario> &scenarios();
/// Aborts if there is no scenario with this name.
const Scenario &findScenario(std::string_view name);

}
