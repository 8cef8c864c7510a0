#include <jujubequay/control/route_table.h>

#include <fmt/format.h>
#include <sodium/crypto_generichash.h>
#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace Jujubequay {

namespace pb = jujubequay::pb;

namespace {

RouteKind kindOf(pb::RouteKind kind)
{
    switch (kind) {
    case pb::ROUTE_KIND_NON_IDEMPOTENT:
        return RouteKind::NonIdempotent;
    case pb::ROUTE_KIND_DOWNLOAD:
        return RouteKind::Download;
    default:
        return RouteKind::Idempotent;
    }
}

Route routeOf(const pb::Route &message)
{
    Route route;
    route.name = message.name();
    route.address = {message.ip(), static_cast<std::uint16_t>(message.port())};
    route.kind = kindOf(message.kind());
    route.timeout = std::chrono::milliseconds(message.timeout_ms());
    route.latencyGoal = std::chrono::milliseconds(message.latency_goal_ms());
    route.priority = message.priority();
    for (const pb::WeightedService &service : message.services()) {
        route.services.push_back({service.service(), serviceKey(service.service()), service.weight()});
    }
    return route;
}

Result<void> checkRoute(const pb::Route &route, const std::set<std::string> &services)
{
    if (route.timeout_ms() == 0) {
        return fail(ResultCode::BadBundle, fmt::format("route \"{}\": the timeout must not be 0", route.name()));
    }
    std::uint64_t weights = 0;
    for (const pb::WeightedService &service : route.services()) {
        if (!services.contains(service.service())) {
            return fail(ResultCode::BadBundle, fmt::format("route \"{}\": service \"{}\" does not exist", route.name(), service.service()));
        }
        weights += service.weight();
    }
    if (weights == 0) {
        return fail(ResultCode::BadBundle, fmt::format("route \"{}\": the weights of its services add up to 0", route.name()));
    }
    return {};
}

}

ServiceKey serviceKey(const std::string &name)
{
    ServiceKey key;
    key.shortKey = static_cast<std::uint32_t>(XXH3_64bits(name.data(), name.size()));
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(name.data());
    crypto_generichash(key.digest.data(), key.digest.size(), bytes, name.size(), nullptr, 0);
    return key;
}

bool identifies(const ServiceKey &received, const ServiceKey &service)
{
    const bool isComplete = received.digest != ServiceKey().digest;
    return isComplete ? received == service : received.shortKey == service.shortKey;
}

bool Route::hasService(ServiceKey service) const
{
    return std::any_of(services.begin(), services.end(), [service](const RouteService &entry) {
        return entry.key == service && entry.weight > 0;
    });
}

const RouteService &Route::serviceFor(std::uint64_t flowHash) const
{
    const auto total = std::accumulate(services.begin(), services.end(), std::uint64_t{0}, [](std::uint64_t sum, const RouteService &service) {
        return sum + service.weight;
    });
    std::uint64_t position = flowHash % total;
    for (const RouteService &service : services) {
        if (position < service.weight) {
            return service;
        }
        position -= service.weight;
    }
    return services.back();
}

RouteTable::RouteTable(const pb::RouteTable &message)
    : m_version(message.version())
    , m_idleTimeout(message.idle_timeout_ms())
{
    for (const pb::Route &route : message.routes()) {
        m_byAddress[{route.ip(), static_cast<std::uint16_t>(route.port())}] = m_routes.size();
        m_routes.push_back(routeOf(route));
    }
}

std::uint64_t RouteTable::version() const
{
    return m_version;
}

std::chrono::milliseconds RouteTable::idleTimeout() const
{
    return m_idleTimeout;
}

const Route *RouteTable::find(const HostAddress &address) const
{
    const auto found = m_byAddress.find(address);
    return found == m_byAddress.end() ? nullptr : &m_routes[found->second];
}

const std::vector<Route> &RouteTable::routes() const
{
    return m_routes;
}

Result<void> checkRouteTable(const pb::RouteTable &table, const std::set<std::string> &services)
{
    if (table.version() == 0) {
        return fail(ResultCode::BadBundle, "the version must not be 0");
    }
    std::set<HostAddress> addresses;
    for (const pb::Route &route : table.routes()) {
        BOOST_LEAF_CHECK(checkRoute(route, services));
        const HostAddress address{route.ip(), static_cast<std::uint16_t>(route.port())};
        if (!addresses.insert(address).second) {
            return fail(ResultCode::BadBundle, fmt::format("route \"{}\": another route has the address {}", route.name(), toString(address)));
        }
    }
    return {};
}

}
