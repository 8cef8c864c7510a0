#include <jujubequay/policy/placement.h>

#include <jujubequay/core/invariant.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace Jujubequay {

namespace {

constexpr std::uint32_t maxWeight = 1000;
/// The number of slots of a server has a Poisson distribution, so the share of a server with n slots on average has a relative
/// standard deviation of 1/sqrt(n): 6% for 256 slots per server, 12% for 64, as with 33,000 servers. The time to build the table
/// grows with the number of slots.
constexpr std::size_t smallTableSlots = std::size_t{1} << 16U;
constexpr std::size_t mediumTableSlots = std::size_t{1} << 17U;
constexpr std::size_t largeTableSlots = std::size_t{1} << 21U;
constexpr std::uint64_t addressSeed = 0x6a756a75'62657175U;

std::uint64_t mix(std::uint64_t seed, std::uint64_t value)
{
    return XXH3_64bits_withSeed(&value, sizeof(value), seed);
}

/// The address as one number, with the same order as addresses.
std::uint64_t addressNumber(const HostAddress &address)
{
    return (std::uint64_t{address.ip} << 16U) | address.port;
}

std::uint64_t addressHash(const HostAddress &address)
{
    return mix(addressSeed, addressNumber(address));
}

/// Maps a hash to (0, 1].
double toUnitInterval(std::uint64_t hash)
{
    return (static_cast<double>(hash >> 11U) + 1.0) * 0x1.0p-53;
}

/// Time of the first event of a Poisson process whose rate is the weight. The server with the smallest time is chosen.
double firstArrivalTime(std::uint64_t hash, std::uint32_t weight)
{
    return -std::log(toUnitInterval(hash)) / weight;
}

bool isSameAddress(const PlacementServer &left, const PlacementServer &right)
{
    return left.address == right.address;
}

/// Sorts the servers by address, removes older incarnations and servers that accept no new flows, and limits weights to maxWeight.
std::vector<PlacementServer> normalise(std::vector<PlacementServer> servers)
{
    std::sort(servers.begin(), servers.end(), [](const PlacementServer &left, const PlacementServer &right) {
        return std::pair(addressNumber(left.address), right.incarnation.value) < std::pair(addressNumber(right.address), left.incarnation.value);
    });
    servers.erase(std::unique(servers.begin(), servers.end(), isSameAddress), servers.end());
    std::erase_if(servers, [](const PlacementServer &server) {
        return !server.acceptsNewFlows || server.weight == 0;
    });
    for (PlacementServer &server : servers) {
        server.weight = std::min(server.weight, maxWeight);
    }
    return servers;
}

std::size_t slotCount(std::size_t servers)
{
    if (servers <= PlacementTable::maxSmallTableServers) {
        return smallTableSlots;
    }
    return servers <= PlacementTable::maxMediumTableServers ? mediumTableSlots : largeTableSlots;
}

/// The two servers with the smallest scores of those that were offered.
template<class Score>
struct BestTwo {
    Score firstScore = std::numeric_limits<Score>::max();
    Score secondScore = std::numeric_limits<Score>::max();
    const PlacementServer *first = nullptr;
    const PlacementServer *second = nullptr;

    void offer(const PlacementServer &server, Score score)
    {
        if (!first || score < firstScore) {
            secondScore = firstScore;
            second = first;
            firstScore = score;
            first = &server;
        } else if (!second || score < secondScore) {
            secondScore = score;
            second = &server;
        }
    }
};

/// The points of one server in the plane of slots and time: in each slot a Poisson process whose rate is the server's weight. The
/// server with the earliest point in a slot gets the slot. This equals weighted rendezvous hashing of the slot number, at a cost
/// that does not depend on the number of servers.
struct PointStream {
    std::uint64_t seed = 0; ///< hash of the server's address
    std::uint64_t count = 0; ///< number of points up to the current one
    double time = 0; ///< time of the current point

    /// Moves to the next point. `rate` is the rate of the process over all slots.
    void advance(double rate)
    {
        ++count;
        time -= std::log(toUnitInterval(mix(seed, 2 * count))) / rate;
    }

    /// Slot of the current point. `slots` is a power of two.
    std::size_t slot(std::size_t slots) const
    {
        return mix(seed, 2 * count + 1) & (slots - 1);
    }
};

/// The two servers with the earliest points in one slot.
struct SlotOffers {
    static constexpr std::uint32_t noServer = std::numeric_limits<std::uint32_t>::max();

    double firstTime = 0;
    double secondTime = 0;
    std::uint32_t first = noServer;
    std::uint32_t second = noServer;

    void offer(std::uint32_t server, double time)
    {
        if (first == noServer || time < firstTime) {
            if (first != server) {
                second = first;
                secondTime = firstTime;
            }
            first = server;
            firstTime = time;
        } else if (first != server && (second == noServer || time < secondTime)) {
            second = server;
            secondTime = time;
        }
    }
};

}

PlacementTable::PlacementTable(std::vector<PlacementServer> servers)
    : m_servers(normalise(std::move(servers)))
{
    checkInvariant(m_servers.size() <= maxServers, "a placement table holds at most 65535 servers");
    m_addressHashes.reserve(m_servers.size());
    for (const PlacementServer &server : m_servers) {
        m_addressHashes.push_back(addressHash(server.address));
        m_equalWeights = m_equalWeights && server.weight == m_servers.front().weight;
    }
    if (m_servers.size() > maxDirectServers) {
        buildSlots();
    }
}

PlacementChoice PlacementTable::choose(std::uint64_t key) const
{
    if (m_slots.empty()) {
        return chooseDirectly(key);
    }
    const Slot slot = m_slots[mix(addressSeed, key) & (m_slots.size() - 1)];
    return {&m_servers[slot.first], &m_servers[slot.second]};
}

PlacementChoice PlacementTable::chooseDirectly(std::uint64_t key) const
{
    if (m_equalWeights) {
        // The arrival time falls as the hash rises, so for equal weights the hashes can be compared without computing logarithms.
        BestTwo<std::uint64_t> best;
        for (std::size_t index = 0; index < m_servers.size(); ++index) {
            best.offer(m_servers[index], ~mix(m_addressHashes[index], key));
        }
        return {best.first, best.second};
    }
    BestTwo<double> best;
    for (std::size_t index = 0; index < m_servers.size(); ++index) {
        best.offer(m_servers[index], firstArrivalTime(mix(m_addressHashes[index], key), m_servers[index].weight));
    }
    return {best.first, best.second};
}

void PlacementTable::buildSlots()
{
    const std::size_t slots = slotCount(m_servers.size());
    double totalWeight = 0;
    std::vector<PointStream> streams;
    streams.reserve(m_servers.size());
    for (std::size_t index = 0; index < m_servers.size(); ++index) {
        totalWeight += m_servers[index].weight;
        streams.push_back({.seed = m_addressHashes[index]});
        streams.back().advance(static_cast<double>(m_servers[index].weight) * static_cast<double>(slots));
    }

    // Up to a time of horizon / totalWeight a slot has `horizon` points on average. Later points cannot displace earlier ones, so
    // once every slot has two servers the result does not depend on the step of the horizon.
    std::vector<SlotOffers> offers(slots);
    const auto isIncomplete = [](const SlotOffers &offer) {
        return offer.second == SlotOffers::noServer;
    };
    for (double horizon = 8; std::any_of(offers.begin(), offers.end(), isIncomplete); horizon += 4) {
        for (std::uint32_t index = 0; index < streams.size(); ++index) {
            const double rate = static_cast<double>(m_servers[index].weight) * static_cast<double>(slots);
            while (streams[index].time < horizon / totalWeight) {
                offers[streams[index].slot(slots)].offer(index, streams[index].time);
                streams[index].advance(rate);
            }
        }
    }

    m_slots.reserve(slots);
    for (const SlotOffers &offer : offers) {
        m_slots.push_back({static_cast<std::uint16_t>(offer.first), static_cast<std::uint16_t>(offer.second)});
    }
}

const std::vector<PlacementServer> &PlacementTable::servers() const
{
    return m_servers;
}

std::size_t PlacementTable::memoryBytes() const
{
    return m_servers.capacity() * sizeof(PlacementServer) + m_addressHashes.capacity() * sizeof(std::uint64_t) + m_slots.capacity() * sizeof(Slot);
}

}
