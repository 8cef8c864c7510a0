// Encodes a flow identifier and decodes it again, as an agent and a balancer do.

#include <jujubequay/wire/flow_id.h>

#include <fmt/core.h>

using namespace Jujubequay;

int main()
{
    FlowSecret secret;
    secret.fill(42);
    FlowKeySet keys;
    keys.set(0, secret);
    keys.activate(0);

    const FlowTarget target{ServiceId{1}, {0x0A000001, 4500}, Incarnation{7}};
    const FlowIdBytes identifier = encodeFlowId(keys, *keys.activeNumber(), target, 1);
    const auto decoded = decodeFlowId(keys, identifier);
    fmt::print("{} bytes name {}, incarnation {}\n", identifier.size(), toString(decoded->server), decoded->incarnation.value);
    return 0;
}
