#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/core/identifiers.h>

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>

namespace Jujubequay {

/// A path for replies to a caller: through a balancer, from the address there that the caller uses.
struct ReturnPath {
    HostAddress balancer; ///< relay address of the balancer
    HostAddress entry; ///< address at the balancer that the caller's datagram arrived on
    auto operator<=>(const ReturnPath &) const = default; // NOLINT(modernize-use-nullptr): false positive of clang-tidy 14 on rewritten comparisons
};

/// Chooses the balancer through which an agent sends the datagrams of a flow to its caller.
///
/// A reply through a failed balancer is lost, and while the caller waits for the reply it sends nothing that would arrive through
/// another balancer. Replies are therefore spread at random over the latest paths of the flow, up to four. A balancer is skipped
/// while it is unresponsive: no datagram has arrived from it for `unresponsiveAfter`, measured up to the latest datagram from any balancer.
class ReturnPaths
{
public:
    struct Options {
        /// Time without a datagram after which a balancer counts as unresponsive.
        Duration unresponsiveAfter = std::chrono::seconds(2);
    };

    /// Number of a flow, unique at the agent.
    using Flow = std::uint64_t;

    explicit ReturnPaths(Options options);

    /// Records that a datagram of the flow arrived through this path.
    void recordArrival(TimePoint now, Flow flow, const ReturnPath &path);
    /// The path for the next datagram to the caller; empty if no datagram of the flow was recorded.
    std::optional<ReturnPath> choose(Flow flow, std::mt19937_64 &random) const;
    /// Removes the paths of a flow that has ended.
    void forget(Flow flow);

private:
    static constexpr std::size_t pathsPerFlow = 4;

    struct FlowPaths {
        std::array<ReturnPath, pathsPerFlow> paths{};
        std::uint8_t count = 0;
        std::uint8_t latest = 0; ///< index of the path of the last datagram
    };

    bool isResponsive(const HostAddress &balancer) const;

    const Options m_options;
    std::unordered_map<Flow, FlowPaths> m_flows;
    std::unordered_map<HostAddress, TimePoint> m_lastArrival; ///< time of the last datagram from each balancer
    TimePoint m_latestArrival{}; ///< time of the last datagram from any balancer
};

}
