#pragma once

#include <jujubequay/core/error.h>
#include <jujubequay/daemon/balancer_settings.h>

namespace Jujubequay {

/// Runs a balancer until SIGINT or SIGTERM; it then goes on forwarding for the drain time, so that the fabric can stop
/// sending to it. SIGHUP reads the certificates again. Fails with BadKeyFile or AddressUnavailable.
Result<void> runBalancer(const BalancerSettings &settings);

}
