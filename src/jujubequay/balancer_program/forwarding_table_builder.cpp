#include <jujubequay/balancer_program/forwarding_table_builder.h>

#include <algorithm>
#include <unordered_map>

namespace Jujubequay {

namespace {

using ServerList = std::vector<PlacementServer>;

bool hasSmallerAddress(const PlacementServer &left, const PlacementServer &right)
{
    return left.address < right.address;
}

std::unordered_map<ServiceId, ServerList> serversByService(const ConfigSnapshot &config)
{
    std::unordered_map<ServiceId, ServerList> servers;
    for (const ServerSnapshot &server : config.servers) {
        if (server.acceptsNewWork()) {
            servers[server.serviceId].push_back({server.relayAddress, server.incarnation, server.weight, true});
        }
    }
    for (auto &[service, list] : servers) {
        std::sort(list.begin(), list.end(), hasSmallerAddress);
    }
    return servers;
}

/// Returns the placement table of the service in `previous` if it consists of exactly these servers; otherwise null.
std::shared_ptr<const PlacementTable> unchangedTable(const std::shared_ptr<const ForwardingTable> &previous, ServiceId service, const ServerList &servers)
{
    if (!previous) {
        return nullptr;
    }
    const auto found = previous->services.find(service);
    const bool isUnchanged = found != previous->services.end() && found->second.servers->servers() == servers;
    return isUnchanged ? found->second.servers : nullptr;
}

}

std::shared_ptr<const ForwardingTable> buildForwardingTable(const ConfigSnapshot &config, const std::shared_ptr<const ForwardingTable> &previous)
{
    auto servers = serversByService(config);
    auto table = std::make_shared<ForwardingTable>();
    table->keys = config.flowKeys;
    for (const ServiceSnapshot &service : config.services) {
        ServerList &list = servers[service.id];
        auto placement = unchangedTable(previous, service.id, list);
        if (!placement) {
            placement = std::make_shared<const PlacementTable>(std::move(list));
        }
        table->services.emplace(service.id, ServicePlacement{service.revision, std::move(placement)});
    }
    return table;
}

}
