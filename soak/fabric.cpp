#include "soak/fabric.h"

#include "soak/http_call.h"

namespace Jujubequay::Soak {

namespace {

constexpr auto probeInterval = std::chrono::milliseconds(500);
constexpr unsigned missesUntilOut = 2;
/// Share of the packets that go to any balancer.
constexpr double strayShare = 0.03;

}

Fabric::Fabric(asio::io_context &context, const Addresses &addresses, std::uint8_t balancers, std::mt19937_64 &random)
    : m_context(context)
    , m_addresses(addresses)
    , m_random(random)
    , m_timer(context,
              probeInterval,
              [this] {
                  probe();
              })
    , m_misses(balancers, missesUntilOut)
{
}

void Fabric::start()
{
    m_timer.start();
}

void Fabric::probe()
{
    for (std::size_t index = 0; index < m_misses.size(); ++index) {
        const HostAddress address = m_addresses.balancerReady(static_cast<std::uint8_t>(index + 1));
        sendCall(m_context, address, Platform::readinessRequest(), probeInterval, [this, index](const HttpAnswer &answer) {
            m_misses[index] = answer.status == 200 ? 0 : m_misses[index] + 1;
            m_rotation.clear();
            for (std::size_t number = 0; number < m_misses.size(); ++number) {
                if (m_misses[number] < missesUntilOut) {
                    m_rotation.push_back(static_cast<std::uint8_t>(number + 1));
                }
            }
        });
    }
}

HostAddress Fabric::balancerFor(const FlowTuple &ends) const
{
    const bool isStray = std::bernoulli_distribution(strayShare)(m_random);
    const std::uint64_t choice = isStray ? m_random() : hashOf(ends);
    const auto number = m_rotation.empty() ? static_cast<std::uint8_t>(choice % m_misses.size() + 1) : m_rotation[choice % m_rotation.size()];
    return m_addresses.balancerCaller(number);
}

}
