#pragma once

#include <jujubequay/control/config_snapshot.h>
#include <jujubequay/flow/forwarder.h>

#include <memory>

namespace Jujubequay {

/// The forwarding table for a configuration: flow keys, and for each service its servers that take new flows. Services
/// whose servers have not changed share their placement table with `previous`, which may be null: building one takes
/// tens of milliseconds for a hundred servers, and most changes concern one service.
std::shared_ptr<const ForwardingTable> buildForwardingTable(const ConfigSnapshot &config, const std::shared_ptr<const ForwardingTable> &previous);

}
