#pragma once

#include <jujubequay/daemon/common_settings.h>

namespace Jujubequay {

/// An address of this balancer for the callers of one service.
struct CallerAddress {
    std::string service;
    HostAddress address;
};

/// Settings of jjq-balancer.
struct BalancerSettings {
    CommonSettings common;
    HostAddress relayAddress; ///< address for datagrams to and from agents (UDP)
    HostAddress peerAddress; ///< address from which other balancers fetch the configuration (TCP)
    std::vector<HostAddress> peers; ///< peer addresses of other balancers
    std::vector<CallerAddress> callerAddresses;
    std::uint32_t threads = 0; ///< forwarding threads
    std::size_t receiveBufferBytes = 0; ///< receive buffer of each UDP socket
};

BalancerSettings readBalancerSettings(SettingsReader &reader);

}
