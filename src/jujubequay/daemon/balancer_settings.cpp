#include <jujubequay/daemon/balancer_settings.h>

namespace Jujubequay {

BalancerSettings readBalancerSettings(SettingsReader &reader)
{
    BalancerSettings settings;
    settings.common = readCommonSettings(reader);
    settings.relayAddress = reader.address("relay_address", "address for datagrams to and from agents (UDP)");
    settings.peerAddress = reader.address("peer_address", "address at which other balancers fetch the configuration (TCP)");
    settings.peers = reader.addresses("peers", "peer addresses of other balancers, from which the configuration is fetched when no control host answers");
    for (SettingsReader &section : reader.sections("caller_address")) {
        CallerAddress caller;
        caller.service = section.text("service", "service that is reached at this address");
        caller.address = section.address("address", "address that the fabric sends callers' datagrams to (UDP)");
        settings.callerAddresses.push_back(std::move(caller));
    }
    if (settings.callerAddresses.empty()) {
        reader.reject("caller_address", "at least one section [[caller_address]]");
    }
    settings.threads = static_cast<std::uint32_t>(reader.integer("threads", 1, {1, 64}, "forwarding threads"));
    settings.receiveBufferBytes = reader.size("receive_buffer_kib", 4U << 20U, {64U << 10U, 256U << 20U}, "receive buffer of each UDP socket");
    return settings;
}

}
