#include <jujubequay/flow/peer_loads.h>

namespace Jujubequay {

PeerLoads::PeerLoads(RedirectOptions options)
    : m_options(options)
{
}

void PeerLoads::setPeers(TimePoint now, const std::vector<PeerServer> &peers)
{
    std::unordered_map<HostAddress, Peer> updated;
    for (const PeerServer &server : peers) {
        const auto existing = m_peersByAddress.find(server.address);
        const bool isSameIncarnation = existing != m_peersByAddress.end() && existing->second.incarnation == server.incarnation;
        Peer peer = isSameIncarnation ? existing->second : Peer{server.incarnation, server.weight, LoadEstimate()};
        peer.weight = server.weight;
        // A new incarnation has no flows yet. Servers in the first list have run for an unknown time, and a server that was missing
        // from the list for a while has kept its flows.
        const auto last = m_lastIncarnations.find(server.address);
        const bool isNewIncarnation = last == m_lastIncarnations.end() || last->second != server.incarnation;
        if (m_hasListedPeers && isNewIncarnation) {
            peer.estimate.recordStart(now);
        }
        m_lastIncarnations[server.address] = server.incarnation;
        updated.emplace(server.address, peer);
    }
    m_peersByAddress = std::move(updated);
    m_peerList = peers;
    m_hasListedPeers = m_hasListedPeers || !peers.empty();
}

void PeerLoads::recordReport(TimePoint now, const HostAddress &peer, const ServerLoad &load)
{
    const auto found = m_peersByAddress.find(peer);
    if (found != m_peersByAddress.end()) {
        found->second.estimate.recordReport(now, {load.running, load.queued, load.flows});
    }
}

bool PeerLoads::decideRedirect(TimePoint now, const LocalLoad &local, const HostAddress &second)
{
    const auto found = m_peersByAddress.find(second);
    SecondChoiceLoad load;
    if (found != m_peersByAddress.end()) {
        const LoadEstimate &estimate = found->second.estimate;
        load = {estimate.flows(now), estimate.work(now), found->second.weight, estimate.rampProgress(now)};
    }
    if (!shouldRedirect(local, load, m_options)) {
        return false;
    }
    if (found != m_peersByAddress.end()) {
        found->second.estimate.recordSent();
    }
    return true;
}

const std::vector<PeerServer> &PeerLoads::peers() const
{
    return m_peerList;
}

}
