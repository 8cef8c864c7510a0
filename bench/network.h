#pragma once

#include <jujubequay/core/clock.h>

#include "scenario.h"

#include <array>
#include <cstdint>
#include <random>

namespace Jujubequay::Bench {

constexpr int zoneCount = 4;

/// Simulated lossy links whose delay and loss probability differ between pairs of availability zones. A lost message arrives later,
/// after its retransmission.
class Network
{
public:
    Network(const Deployment &deployment, std::mt19937_64 &random);

    /// Returns the transfer time of a message between two availability zones. Counts the bytes if the zones differ.
    Duration betweenZones(int from, int to, std::uint32_t bytes);
    /// Returns the transfer time of a message between a caller and a balancer, in either direction.
    Duration toCaller(std::uint32_t bytes);
    /// Bytes sent between different availability zones so far, retransmissions included.
    std::uint64_t bytesBetweenZones() const;

private:
    Duration transfer(Duration delay, double lossProbability, int &transmissions);

    const Deployment &m_deployment;
    std::mt19937_64 &m_random;
    std::array<std::array<double, zoneCount>, zoneCount> m_delayFactor{}; ///< factor on the delay between two availability zones
    std::array<std::array<double, zoneCount>, zoneCount> m_lossProbability{}; ///< probability that a message between two availability zones is lost
    std::uint64_t m_bytes = 0;
};

}
