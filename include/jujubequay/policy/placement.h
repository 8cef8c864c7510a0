#pragma once

#include <jujubequay/core/identifiers.h>

#include <cstdint>
#include <vector>

namespace Jujubequay {

/// A backend server as placement sees it.
struct PlacementServer {
    HostAddress address; ///< relay address of the agent; the placement key of the server
    Incarnation incarnation;
    std::uint32_t weight = 100; ///< share of new flows, 1 to 1000; larger values count as 1000, zero takes no flows
    bool takesNewFlows = true;
    bool operator==(const PlacementServer &) const = default;
};

/// The servers for one key. The pointers are valid as long as the table.
struct PlacementChoice {
    const PlacementServer *first = nullptr; ///< null if no server takes new flows
    const PlacementServer *second = nullptr; ///< null if only one server takes new flows
};

/// Places keys on servers by weighted rendezvous hashing. Immutable, so threads may share one table. Tables built from
/// the same servers, in any order, give the same choices. When a server joins or leaves, only the keys of that server
/// move.
///
///     const PlacementTable table(servers);
///     if (const PlacementServer *server = table.choose(key).first) { ... }
///
/// Up to maxDirectServers servers are compared for each key. A longer list is expanded into a table of slots when it is
/// built. Crossing one of the three sizes below moves keys between all servers; that affects only
/// opening packets, because the flow identifier names the server of an established flow.
class PlacementTable
{
public:
    static constexpr std::size_t maxDirectServers = 64;
    static constexpr std::size_t maxSmallTableServers = 256;
    static constexpr std::size_t maxMediumTableServers = 2048;
    static constexpr std::size_t maxServers = 65535;

    PlacementTable() = default;
    /// Of several servers with one address, the highest incarnation counts. At most maxServers servers.
    explicit PlacementTable(std::vector<PlacementServer> servers);

    /// Makes no allocation. The key need not be uniformly distributed.
    PlacementChoice choose(std::uint64_t key) const;

    /// The servers that take new flows, in order of address.
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
    std::vector<std::uint64_t> m_seeds; ///< hash of each server's address
    std::vector<Slot> m_slots; ///< empty for a short list
    bool m_equalWeights = true;
};

}
