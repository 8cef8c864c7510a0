#include <jujubequay/flow/return_paths.h>

#include <algorithm>

namespace Jujubequay {

ReturnPaths::ReturnPaths(Options options)
    : m_options(options)
{
}

void ReturnPaths::recordArrival(TimePoint now, Flow flow, const ReturnPath &path)
{
    m_latestArrival = now;
    m_lastArrival[path.balancer] = now;
    FlowPaths &flowPaths = m_flows[flow];
    const auto end = flowPaths.paths.begin() + flowPaths.count;
    const auto found = std::find(flowPaths.paths.begin(), end, path);
    if (found != end) {
        flowPaths.latest = static_cast<std::uint8_t>(found - flowPaths.paths.begin());
        return;
    }
    const bool isFull = flowPaths.count == pathsPerFlow;
    flowPaths.latest = isFull ? static_cast<std::uint8_t>((flowPaths.latest + 1) % pathsPerFlow) : flowPaths.count++;
    flowPaths.paths[flowPaths.latest] = path;
}

std::optional<ReturnPath> ReturnPaths::choose(Flow flow, std::mt19937_64 &random) const
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end()) {
        return std::nullopt;
    }
    const FlowPaths &flowPaths = found->second;
    std::array<std::uint8_t, pathsPerFlow> responsive{};
    std::size_t responsiveCount = 0;
    for (std::uint8_t index = 0; index < flowPaths.count; ++index) {
        if (isResponsive(flowPaths.paths[index].balancer)) {
            responsive[responsiveCount] = index;
            ++responsiveCount;
        }
    }
    return flowPaths.paths[responsiveCount == 0 ? flowPaths.latest : responsive[random() % responsiveCount]];
}

void ReturnPaths::forget(Flow flow)
{
    m_flows.erase(flow);
}

bool ReturnPaths::isResponsive(const HostAddress &balancer) const
{
    const auto last = m_lastArrival.find(balancer);
    // The reference is the latest datagram from any balancer instead of the current time, because without traffic no balancer sends any.
    return last != m_lastArrival.end() && m_latestArrival - last->second < m_options.unresponsiveAfter;
}

}
