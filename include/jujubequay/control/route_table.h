#pragma once

#include <jujubequay/core/error.h>
#include <jujubequay/core/identifiers.h>

#include <control.pb.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace Jujubequay {

/// Whether a request on a route may be repeated after a failure.
enum class RouteKind : std::uint8_t {
    Idempotent, ///< may be repeated
    NonIdempotent, ///< runs at most once
    Download, ///< may be repeated; long answers
};

/// Identity of a service, derived from its name. Opening packets between balancers and agents carry it.
///
/// The digest is a cryptographic hash of the name: no two names with the same digest are known, nor can they be found on purpose. The short key is a hash of 32
/// bits, so that names with the same one are easily found; it serves only to talk to programs of versions without the digest.
struct ServiceKey {
    static constexpr std::size_t digestLength = 16;

    std::uint32_t shortKey = 0;
    std::array<std::uint8_t, digestLength> digest{}; ///< zero if only the short key is known

    bool operator==(const ServiceKey &) const = default;
    bool operator<(const ServiceKey &other) const
    {
        return std::tie(shortKey, digest) < std::tie(other.shortKey, other.digest);
    }
};

ServiceKey serviceKey(const std::string &name);
/// True if a received key identifies `service`. A key of a version without the digest is compared by the short key.
bool identifies(const ServiceKey &received, const ServiceKey &service);

/// One of the services of a route and its share of the new flows.
struct RouteService {
    std::string name;
    ServiceKey key;
    std::uint32_t weight = 1;
};

/// A service address to which callers connect, and the services that its new flows are distributed to.
struct Route {
    std::string name;
    HostAddress address;
    RouteKind kind = RouteKind::Idempotent;
    std::chrono::milliseconds timeout{0};
    std::chrono::milliseconds latencyGoal{0};
    std::uint32_t priority = 0; ///< 0 is the highest
    std::vector<RouteService> services;

    /// True if new flows may go to the service: it is on the route and its weight is not 0.
    bool hasService(ServiceKey service) const;
    /// Selects the service for a flow by its hash and the weights; the result is the same on every host that has this route.
    const RouteService &serviceFor(std::uint64_t flowHash) const;
};

/// All routes of one version of the route table. Immutable once built.
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(const jujubequay::pb::RouteTable &message);

    std::uint64_t version() const;
    /// Time after which a flow without packets may be removed; 0 if the operator did not set it.
    std::chrono::milliseconds idleTimeout() const;
    /// Null if no route has this address.
    const Route *find(const HostAddress &address) const;
    const std::vector<Route> &routes() const;

private:
    std::uint64_t m_version = 0;
    std::chrono::milliseconds m_idleTimeout{0};
    std::vector<Route> m_routes;
    std::unordered_map<HostAddress, std::size_t> m_byAddress;
};

using RouteTablePointer = std::shared_ptr<const RouteTable>;

/// Checks a table before it is accepted. Fails with BadBundle and the reason: version 0, an unknown service, two routes with the same
/// address, a timeout of 0, or weights whose sum is 0.
Result<void> checkRouteTable(const jujubequay::pb::RouteTable &table, const std::set<std::string> &services);

}
