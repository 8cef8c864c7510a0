#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/core/identifiers.h>

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>

namespace Jujubequay {

/// A way back to a caller: a balancer and its address that the caller used.
struct ReturnPath {
    HostAddress balancer; ///< relay address
    HostAddress entry;
    auto operator<=>(const ReturnPath &) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 takes the zero of a rewritten comparison for a pointer
};

/// Chooses the balancer through which an agent answers a flow.
///
/// A reply through a dead balancer is lost, and while the caller waits for it no datagram of the caller names another
/// balancer. Replies are therefore spread over the balancers that relayed the flow recently, and balancers from which
/// nothing has arrived for `silence`, while others are heard, are left out.
class ReturnPaths
{
public:
    struct Options {
        Duration silence = std::chrono::seconds(2);
    };

    /// Number of a flow at the agent.
    using Flow = std::uint64_t;

    explicit ReturnPaths(Options options);

    /// A datagram of the flow arrived by this path.
    void heard(TimePoint now, Flow flow, const ReturnPath &path);
    /// The path for the next datagram of the flow; empty if none of its datagrams was relayed.
    std::optional<ReturnPath> choose(Flow flow, std::mt19937_64 &random) const;
    void forget(Flow flow);

private:
    static constexpr std::size_t pathsPerFlow = 4;

    struct FlowPaths {
        std::array<ReturnPath, pathsPerFlow> paths{};
        std::uint8_t count = 0;
        std::uint8_t latest = 0;
    };

    bool isLive(const HostAddress &balancer) const;

    const Options m_options;
    std::unordered_map<Flow, FlowPaths> m_flows;
    std::unordered_map<HostAddress, TimePoint> m_lastHeard; ///< one entry for each balancer of the deployment
    TimePoint m_lastHeardAny{};
};

}
