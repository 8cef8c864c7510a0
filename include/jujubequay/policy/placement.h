#pragma once

#include <jujubequay/core/identifiers.h>

#include <cstdint>
#include <vector>

namespace Jujubequay {

/// The properties of a backend server that determine its placement.
struct PlacementServer {
    HostAddress address; ///< relay address of the agent, which identifies the server
    Incarnation incarnation;
    std::uint32_t weight = 100; ///< relative share of new flows, 1 to 1000; larger values count as 1000, and with zero the server gets none
    bool acceptsNewFlows = true;
    bool operator==(const PlacementServer &) const = default;
};

/// The servers for one key. The pointers are valid for the lifetime of the table.
struct PlacementChoice {
    const PlacementServer *first = nullptr; ///< null if no server accepts new flows
    const PlacementServer *second = nullptr; ///< null if fewer than two servers accept new flows
};

/// Places keys on servers by weighted rendezvous hashing. Immutable, so threads may share one table. Tables built from
/// the same servers, in any order, give the same choices. When a server is added or removed, only the keys of that server
/// move.
///
///     const PlacementTable table(servers);
///     if (const PlacementServer *server = table.choose(key).first) { ... }
///
/// With up to maxDirectServers servers, all servers are compared for each key. A longer list is expanded into a table of slots
/// when it is built. When the number of servers crosses one of the first three limits below, keys move between all servers. This
/// affects only Initial packets, because the flow identifier of an established flow names its server.
class PlacementTable
{
public:
    static constexpr std::size_t maxDirectServers = 64;
    static constexpr std::size_t maxSmallTableServers = 256;
    static constexpr std::size_t maxMediumTableServers = 2048;
    static constexpr std::size_t maxServers = 65535;

    PlacementTable() = default;
    /// Of several servers with the same address, only the one with the highest incarnation is used. `servers` holds at most
    /// maxServers servers that accept new flows.
    explicit PlacementTable(std::vector<PlacementServer> servers);

    /// Allocates no memory. The key need not be uniformly distributed.
    PlacementChoice choose(std::uint64_t key) const;

    /// The servers that accept new flows, in order of address.
    const std::vector<PlacementServer> &servers() const;
    /// Heap memory of the table, in bytes.
    std::size_t memoryBytes() const;

private:
    struct Slot {
        std::uint16_t first = 0;
        std::uint16_t second = 0;
    };

    PlacementChoice chooseDirectly(std::uint64_t key) const;
    void buildSlots();

    std::vector<PlacementServer> m_servers;
    std::vector<std::uint64_t> m_addressHashes; ///< hash of each server's address
    std::vector<Slot> m_slots; ///< empty for up to maxDirectServers servers
    bool m_equalWeights = true;
};

}
