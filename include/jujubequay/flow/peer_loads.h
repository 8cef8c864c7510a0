#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/core/identifiers.h>
#include <jujubequay/policy/load_estimate.h>
#include <jujubequay/policy/redirect.h>
#include <jujubequay/wire/relay_header.h>

#include <unordered_map>
#include <vector>

namespace Jujubequay {

/// Another agent of the same service.
struct PeerServer {
    HostAddress address; ///< relay address
    Incarnation incarnation;
    std::uint32_t weight = 100; ///< placement weight
};

/// Estimates the load of the other servers of the agent's service, for the decision to redirect an Initial packet.
class PeerLoads
{
public:
    explicit PeerLoads(RedirectOptions options);

    /// Replaces the list of peers. The estimates of incarnations that stay in the list are kept.
    void setPeers(TimePoint now, const std::vector<PeerServer> &peers);
    /// Records the load in a report or redirected Initial packet from a peer. Unlisted peers are ignored.
    void recordReport(TimePoint now, const HostAddress &peer, const ServerLoad &load);
    /// Decides whether to redirect an Initial packet to its second choice. A redirected packet is added to the estimate of the second choice.
    bool decideRedirect(TimePoint now, const LocalLoad &local, const HostAddress &second);

    const std::vector<PeerServer> &peers() const;

private:
    struct Peer {
        Incarnation incarnation;
        std::uint32_t weight = 100;
        LoadEstimate estimate;
    };

    const RedirectOptions m_options;
    std::vector<PeerServer> m_peerList;
    std::unordered_map<HostAddress, Peer> m_peersByAddress;
    std::unordered_map<HostAddress, Incarnation> m_lastIncarnations; ///< the latest incarnation listed at each address, also of removed peers
    bool m_hasListedPeers = false; ///< true once a list with peers was set
};

}
