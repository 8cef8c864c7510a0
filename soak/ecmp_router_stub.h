#pragma once

#include "soak/addresses.h"

#include <jujubequay/net/periodic_timer.h>
#include <jujubequay/steering/segment.h>

#include <asio/io_context.hpp>

#include <random>
#include <vector>

namespace Jujubequay::Soak {

/// Stub of the ECMP router in front of the balancers: chooses a balancer for each packet of a caller. Probes the readiness of the balancers and prefers those
/// that are ready.
class EcmpRouterStub
{
public:
    EcmpRouterStub(asio::io_context &context, const Addresses &addresses, std::uint8_t balancers, std::mt19937_64 &random);

    /// Starts the readiness probes.
    void start();
    /// Returns the address of the balancer for the next packet of a flow: by the hash of the flow modulo the number of ready balancers, so that most flows move
    /// to another balancer when one joins or leaves. A small share of the packets goes to a random balancer.
    HostAddress balancerFor(const FlowTuple &tuple) const;

private:
    void probeBalancers();

    asio::io_context &m_context;
    const Addresses m_addresses;
    std::mt19937_64 &m_random;
    PeriodicTimer m_probeTimer;
    std::vector<unsigned> m_missedProbes; ///< consecutive failed probes of each balancer
    std::vector<std::uint8_t> m_readyBalancers; ///< numbers of the balancers
};

}
