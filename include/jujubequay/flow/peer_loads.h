#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/core/identifiers.h>
#include <jujubequay/policy/handover.h>
#include <jujubequay/policy/load_estimate.h>
#include <jujubequay/wire/relay_header.h>

#include <unordered_map>
#include <vector>

namespace Jujubequay {

/// Another agent of the service.
struct PeerServer {
    HostAddress address;
    Incarnation incarnation;
    std::uint32_t weight = 100;
};

/// What an agent knows of the load of the other servers of its service, for the decision to hand an opening over.
class PeerLoads
{
public:
    explicit PeerLoads(HandOverOptions options);

    /// Replaces the list of peers; figures of known incarnations are kept.
    void setPeers(TimePoint now, const std::vector<PeerServer> &peers);
    /// A load report or a handover arrived from a peer.
    void reported(TimePoint now, const HostAddress &peer, const ServerLoad &load);
    /// Decides on an opening and, if it is handed over, counts it at the second choice.
    bool decideHandover(TimePoint now, const OwnLoad &own, const HostAddress &second);

    const std::vector<PeerServer> &peers() const;

private:
    struct Peer {
        Incarnation incarnation;
        std::uint32_t weight = 100;
        LoadEstimate estimate;
    };

    const HandOverOptions m_options;
    std::vector<PeerServer> m_list;
    std::unordered_map<HostAddress, Peer> m_peers;
    std::unordered_map<HostAddress, Incarnation> m_seen; ///< the latest start that was listed at each address
    bool m_isFilled = false;
};

}
