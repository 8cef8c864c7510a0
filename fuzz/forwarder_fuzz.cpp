// Feeds arbitrary datagrams to the balancer's forwarding decision.

#include <jujubequay/flow/forwarder.h>

using namespace Jujubequay;

namespace {

ForwardingTable makeTable()
{
    FlowSecret secret;
    secret.fill(5);
    ForwardingTable table;
    table.keys.set(0, secret);
    table.keys.activate(0);
    PlacementServer server;
    server.address = {0x7F000101, 4500};
    const std::vector<PlacementServer> servers{server};
    table.services.emplace(ServiceId{1}, ServicePlacement{1, std::make_shared<PlacementTable>(servers)});
    return table;
}

}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const ForwardingTable table = makeTable();
    const Arrival arrival{ServiceId{1}, {0x7F000201, 7001}, {0x7F000001, 50000}, {0x7F000201, 4400}};
    decideForward(table, arrival, {data, size});
    return 0;
}
