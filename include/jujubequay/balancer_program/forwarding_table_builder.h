#pragma once

#include <jujubequay/control/config_snapshot.h>
#include <jujubequay/flow/forwarder.h>

#include <memory>

namespace Jujubequay {

/// The forwarding table for a configuration: flow keys, and for each service its servers that take new flows.
std::shared_ptr<const ForwardingTable> buildForwardingTable(const ConfigSnapshot &config);

}
