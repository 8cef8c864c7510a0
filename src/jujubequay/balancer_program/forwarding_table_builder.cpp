#include <jujubequay/balancer_program/forwarding_table_builder.h>

#include <map>

namespace Jujubequay {

std::shared_ptr<const ForwardingTable> buildForwardingTable(const ConfigSnapshot &config)
{
    std::map<ServiceId, std::vector<PlacementServer>> servers;
    for (const ServerSnapshot &server : config.servers) {
        if (server.takesNewWork()) {
            servers[server.serviceId].push_back({server.relayAddress, server.incarnation, server.weight, true});
        }
    }
    auto table = std::make_shared<ForwardingTable>();
    table->keys = config.flowKeys;
    for (const ServiceSnapshot &service : config.services) {
        table->services.emplace(service.id, ServicePlacement{service.revision, PlacementTable(std::move(servers[service.id]))});
    }
    return table;
}

}
