#pragma once

#include <jujubequay/control/config_snapshot.h>
#include <jujubequay/flow/forwarder.h>

#include <memory>

namespace Jujubequay {

/// Builds the forwarding table of a configuration. It contains the flow keys and, for each service, the servers that take
/// new flows. A service whose servers have not changed shares its placement table with `previous`, which may be null.
/// Building a placement table takes tens of milliseconds for a hundred servers, and most changes concern one service.
std::shared_ptr<const ForwardingTable> buildForwardingTable(const ConfigSnapshot &config, const std::shared_ptr<const ForwardingTable> &previous);

}
