#include <jujubequay/flow/return_paths.h>

#include <algorithm>

namespace Jujubequay {

ReturnPaths::ReturnPaths(Options options)
    : m_options(options)
{
}

void ReturnPaths::heard(TimePoint now, Flow flow, const ReturnPath &path)
{
    m_lastHeardAny = now;
    m_lastHeard[path.balancer] = now;
    FlowPaths &known = m_flows[flow];
    const auto end = known.paths.begin() + known.count;
    const auto found = std::find(known.paths.begin(), end, path);
    if (found != end) {
        known.latest = static_cast<std::uint8_t>(found - known.paths.begin());
        return;
    }
    const bool isFull = known.count == pathsPerFlow;
    known.latest = isFull ? static_cast<std::uint8_t>((known.latest + 1) % pathsPerFlow) : known.count++;
    known.paths[known.latest] = path;
}

std::optional<ReturnPath> ReturnPaths::choose(Flow flow, std::mt19937_64 &random) const
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end()) {
        return std::nullopt;
    }
    const FlowPaths &known = found->second;
    std::array<std::uint8_t, pathsPerFlow> live{};
    std::size_t liveCount = 0;
    for (std::uint8_t index = 0; index < known.count; ++index) {
        if (isLive(known.paths[index].balancer)) {
            live[liveCount] = index;
            ++liveCount;
        }
    }
    return known.paths[liveCount == 0 ? known.latest : live[random() % liveCount]];
}

void ReturnPaths::forget(Flow flow)
{
    m_flows.erase(flow);
}

bool ReturnPaths::isLive(const HostAddress &balancer) const
{
    const auto heard = m_lastHeard.find(balancer);
    // Compared with the latest datagram from any balancer, because a quiet agent hears from none.
    return heard != m_lastHeard.end() && m_lastHeardAny - heard->second < m_options.silence;
}

}
