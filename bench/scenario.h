#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/core/identifiers.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace Jujubequay::Bench {

/// One kind of request of a service.
struct RequestKind {
    WorkClass workClass = WorkClass::Interactive;
    double share = 1; ///< of the service's requests
    Duration slotTime{}; ///< mean; gamma distributed with shape 2
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

/// The sizes and delays of one of the two users.
struct Deployment {
    std::string_view name;
    Duration zoneDelay{}; ///< one way, between availability zones
    Duration callerDelay{}; ///< one way
    std::array<ServiceModel, 2> services;
};

const std::array<Deployment, 2> &deployments();

/// How new flows are placed.
enum class Placement : std::uint8_t { Modulo, Rendezvous, RoundRobin, Central };

struct Policy {
    std::string_view name;
    Placement placement = Placement::Rendezvous;
    bool flowIdentifiers = true; ///< packets of a flow carry its server; otherwise each balancer places each packet
    bool handOver = true; ///< first choices pass openings to second choices
    int flowsPerCaller = 2;
    bool useLoad = true; ///< callers pick the flow with less estimated work
    bool move = true; ///< a server moves a request once to the caller's other flow if that has more room
    bool loadOnForward = true; ///< balancers add the last load seen of another server to each datagram
    bool loadOnOpen = true; ///< balancers add the last load seen of the second choice to openings
    bool distrust = true; ///< reports that moves contradict are discarded for a time
    int relocationsPerSecond = 10; ///< idle flows that a server invites to another server
};

/// Baselines first, then jujubequay, then its variants.
const std::vector<Policy> &policies();
const Policy &policyNamed(std::string_view name);

/// Which faults a scenario has. Times are counted from the start of the run.
struct Scenario {
    std::string_view name;
    bool flood = false; ///< one customer raises the demand to 200% of capacity from 90 s to 180 s
    bool balancerChurn = false; ///< a balancer leaves or joins every 10 s
    bool drainAndCrash = false; ///< one server drains at 90 s and returns at 150 s, another crashes at 180 s
    bool coldStart = false; ///< one server of each service joins at 90 s and is slow at first
    bool misleading = false; ///< one server of each service answers three times slower from 60 s and reports no load
    bool revisions = false; ///< a server changes service at 90 s; two of the balancers learn of it at 150 s
};

const std::vector<Scenario> &scenarios();
const Scenario &scenarioNamed(std::string_view name);

}
