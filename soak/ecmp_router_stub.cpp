#include "soak/ecmp_router_stub.h"

#include "soak/http_client.h"

namespace Jujubequay::Soak {

namespace {

constexpr auto probeInterval = std::chrono::milliseconds(500);
constexpr unsigned missedProbesUntilRemoval = 2;
/// Share of the packets that are sent to a random balancer.
constexpr double randomBalancerShare = 0.03;

}

EcmpRouterStub::EcmpRouterStub(asio::io_context &context, const Addresses &addresses, std::uint8_t balancers, std::mt19937_64 &random)
    : m_context(context)
    , m_addresses(addresses)
    , m_random(random)
    , m_probeTimer(context,
                   probeInterval,
                   [this] {
                       probeBalancers();
                   })
    , m_missedProbes(balancers, missedProbesUntilRemoval)
{
}

void EcmpRouterStub::start()
{
    m_probeTimer.start();
}

void EcmpRouterStub::probeBalancers()
{
    for (std::size_t index = 0; index < m_missedProbes.size(); ++index) {
        const HostAddress address = m_addresses.balancerReady(static_cast<std::uint8_t>(index + 1));
        sendHttpRequest(m_context, address, Platform::readinessRequest(), probeInterval, [this, index](const HttpResponse &response) {
            m_missedProbes[index] = response.status == 200 ? 0 : m_missedProbes[index] + 1;
            m_readyBalancers.clear();
            for (std::size_t number = 0; number < m_missedProbes.size(); ++number) {
                if (m_missedProbes[number] < missedProbesUntilRemoval) {
                    m_readyBalancers.push_back(static_cast<std::uint8_t>(number + 1));
                }
            }
        });
    }
}

HostAddress EcmpRouterStub::balancerFor(const FlowTuple &tuple) const
{
    const bool isRandom = std::bernoulli_distribution(randomBalancerShare)(m_random);
    const std::uint64_t hash = isRandom ? m_random() : hashOf(tuple);
    const auto number
        = m_readyBalancers.empty() ? static_cast<std::uint8_t>(hash % m_missedProbes.size() + 1) : m_readyBalancers[hash % m_readyBalancers.size()];
    return m_addresses.balancerCaller(number);
}

}
