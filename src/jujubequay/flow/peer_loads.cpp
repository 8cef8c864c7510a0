#include <jujubequay/flow/peer_loads.h>

namespace Jujubequay {

PeerLoads::PeerLoads(HandOverOptions options)
    : m_options(options)
{
}

void PeerLoads::setPeers(TimePoint now, const std::vector<PeerServer> &peers)
{
    std::unordered_map<HostAddress, Peer> next;
    for (const PeerServer &server : peers) {
        const auto known = m_peers.find(server.address);
        const bool isSameStart = known != m_peers.end() && known->second.incarnation == server.incarnation;
        Peer peer = isSameStart ? known->second : Peer{server.incarnation, server.weight, LoadEstimate()};
        peer.weight = server.weight;
        // The first list holds servers that have run for an unknown time, and a server that was left out for a while
        // has kept its flows.
        const auto seen = m_seen.find(server.address);
        const bool isNewStart = seen == m_seen.end() || seen->second != server.incarnation;
        if (m_isFilled && isNewStart) {
            peer.estimate.started(now);
        }
        m_seen[server.address] = server.incarnation;
        next.emplace(server.address, peer);
    }
    m_peers = std::move(next);
    m_list = peers;
    m_isFilled = m_isFilled || !peers.empty();
}

void PeerLoads::reported(TimePoint now, const HostAddress &peer, const ServerLoad &load)
{
    const auto known = m_peers.find(peer);
    if (known != m_peers.end()) {
        known->second.estimate.reported(now, {load.running, load.queued, load.flows});
    }
}

bool PeerLoads::decideHandover(TimePoint now, const OwnLoad &own, const HostAddress &second)
{
    const auto known = m_peers.find(second);
    SecondChoiceLoad load;
    if (known != m_peers.end()) {
        const LoadEstimate &estimate = known->second.estimate;
        load = {estimate.flows(now), estimate.work(now), known->second.weight, estimate.ramp(now)};
    }
    if (!shouldHandOver(own, load, m_options)) {
        return false;
    }
    if (known != m_peers.end()) {
        known->second.estimate.sent();
    }
    return true;
}

const std::vector<PeerServer> &PeerLoads::peers() const
{
    return m_list;
}

}
