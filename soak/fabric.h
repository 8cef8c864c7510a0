#pragma once

#include "soak/addresses.h"

#include <jujubequay/net/periodic_timer.h>
#include <jujubequay/steering/segment.h>

#include <asio/io_context.hpp>

#include <random>
#include <vector>

namespace Jujubequay::Soak {

/// Chooses a balancer for each packet of a caller, among those that said that they are ready.
class Fabric
{
public:
    Fabric(asio::io_context &context, const Addresses &addresses, std::uint8_t balancers, std::mt19937_64 &random);

    void start();
    /// By the flow's hash over the balancers in rotation, so that nearly all flows move when one joins or leaves; now and then any.
    HostAddress balancerFor(const FlowTuple &ends) const;

private:
    void probe();

    asio::io_context &m_context;
    const Addresses m_addresses;
    std::mt19937_64 &m_random;
    PeriodicTimer m_timer;
    std::vector<unsigned> m_misses; ///< of each balancer, in a row
    std::vector<std::uint8_t> m_rotation;
};

}
