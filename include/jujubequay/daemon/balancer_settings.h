#pragma once

#include <jujubequay/daemon/common_settings.h>

namespace Jujubequay {

/// An address of this balancer at which callers reach a service.
struct CallerAddress {
    std::string service;
    HostAddress address;
};

/// Settings of jjq-balancer.
struct BalancerSettings {
    CommonSettings common;
    HostAddress relayAddress;
    HostAddress peerAddress;
    std::vector<HostAddress> peers;
    std::vector<CallerAddress> callerAddresses;
    std::uint32_t threads = 0;
    std::size_t receiveBufferBytes = 0;
};

BalancerSettings readBalancerSettings(SettingsReader &reader);

}
