#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/policy/least_loaded.h>
#include <jujubequay/steering/segment.h>
#include <jujubequay/steering/server_directory.h>
#include <jujubequay/steering/steer_message.h>

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Jujubequay {

enum class SteerCause : std::uint8_t {
    Placed, ///< a new flow has got its server
    Known,
    Home, ///< nobody here knows the holder; asked the flow's home
    NoRoute,
    NoServer,
    ServerReplaced, ///< the server that held the flow is gone for certain
    NotReady,
    NotAccepted, ///< no server could take the new flow
    Draining,
    Ejected, ///< the server breaks off requests
    StaleTable, ///< the sender's route table is older than one that is known to be in force
    UnknownFlow,
    TooManyHops,
    Held, ///< waits at the agent already
    Spoofed, ///< a packet that only the other end may send
};

std::string_view steerCauseName(SteerCause cause);

/// Send the packet to an agent with this header.
struct RelayToAgent {
    HostAddress agent;
    SteerHeader header;
    SteerCause cause = SteerCause::Known;
};
/// Tell the caller that the flow does not exist any more, or will not be opened.
struct ResetCaller {
    FlowTuple tuple;
    std::uint32_t sequence = 0; ///< that the caller accepts
    SteerCause cause = SteerCause::NoRoute;
};
struct DropPacket {
    SteerCause cause = SteerCause::NotReady;
};
using BalancerDecision = std::variant<RelayToAgent, ResetCaller, DropPacket>;

struct BalancerSteeringOptions {
    std::string zone;
    HostAddress noticeAddress; ///< where agents send notices to
    /// How long an entry without packets is kept; longer than any flow may be idle.
    Duration flowMemory = std::chrono::seconds(30);
    /// Loads older than this say nothing.
    Duration loadValidity = std::chrono::milliseconds(1500);
    LeastLoadedOptions choice;
};

/// The balancer's decision for each packet of a caller. State machine without network.
///
/// The table of flows is only a cache: any balancer may get any packet. A packet whose flow is not in it goes to the flow's home.
class BalancerSteering
{
public:
    explicit BalancerSteering(BalancerSteeringOptions options);

    void update(TimePoint now, const ConfigSnapshot &snapshot);
    BalancerDecision decide(TimePoint now, const Segment &segment);
    void notice(TimePoint now, const OwnerNotice &notice);
    void notice(TimePoint now, const LoadNotice &notice);
    /// Forgets flows without packets; call about once a second.
    void expire(TimePoint now);

    bool isReady() const;
    const ServerDirectory &directory() const;

private:
    struct Flow {
        HostAddress agent;
        Incarnation incarnation;
        TimePoint lastUsed{};
    };
    struct Load {
        LoadNotice notice;
        TimePoint at{};
        std::uint32_t placedSince = 0;
    };

    BalancerDecision open(TimePoint now, const Segment &segment);
    BalancerDecision forward(TimePoint now, const Segment &segment);
    const SteerServer *choose(TimePoint now, ServiceKey service, const FlowTuple &tuple, const HostAddress *avoided);
    bool isRefusing(TimePoint now, const HostAddress &agent) const;
    LeastLoadedCandidate loadOf(TimePoint now, const SteerServer &server) const;
    SteerHeader header(ServiceKey service, bool wantsOwner) const;
    bool isAlive(TimePoint now, const HostAddress &agent) const;

    const BalancerSteeringOptions m_options;
    ServerDirectory m_directory;
    std::unordered_map<FlowTuple, Flow> m_flows;
    std::unordered_map<HostAddress, Load> m_loads;
};

}
