#pragma once

#include <jujubequay/core/error.h>
#include <jujubequay/daemon/balancer_settings.h>

namespace Jujubequay {

/// Runs a balancer until SIGINT or SIGTERM. After the signal it continues to forward for the drain time, so that the
/// network fabric can stop sending to it. SIGHUP reloads the certificates. Fails with BadKeyFile or AddressUnavailable.
Result<void> runBalancer(const BalancerSettings &settings);

}
