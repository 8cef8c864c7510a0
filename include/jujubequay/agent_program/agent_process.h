#pragma once

#include <jujubequay/core/error.h>
#include <jujubequay/daemon/agent_settings.h>

namespace Jujubequay {

/// Runs an agent until SIGINT or SIGTERM, or until its backend server announces that it stops. It then drains: announces
/// the drain, takes no new work, finishes what runs, moves feeds, closes its flows and ends. SIGHUP reads the
/// certificates of control streams again. Fails with BadKeyFile or AddressUnavailable.
Result<void> runAgent(const AgentSettings &settings);

}
