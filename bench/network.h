#pragma once

#include <jujubequay/core/clock.h>

#include "scenario.h"

#include <array>
#include <cstdint>
#include <random>

namespace Jujubequay::Bench {

constexpr int zoneCount = 4;

/// Uneven, lossy links. A lost message arrives later, after its retransmission.
class Network
{
public:
    Network(const Deployment &deployment, std::mt19937_64 &random);

    /// Time from one availability zone to another; counts the bytes if they differ.
    Duration betweenZones(int from, int to, std::uint32_t bytes);
    /// Time between a caller and a balancer.
    Duration toCaller(std::uint32_t bytes);
    std::uint64_t bytesBetweenZones() const;

private:
    Duration transfer(Duration delay, double loss, int &copies);

    const Deployment &m_deployment;
    std::mt19937_64 &m_random;
    std::array<std::array<double, zoneCount>, zoneCount> m_stretch{}; ///< of the delay between two availability zones
    std::array<std::array<double, zoneCount>, zoneCount> m_loss{};
    std::uint64_t m_bytes = 0;
};

}
