#pragma once

#include <jujubequay/core/error.h>
#include <jujubequay/daemon/agent_settings.h>

namespace Jujubequay {

/// Runs an agent until SIGINT or SIGTERM, or until its backend server announces with GOAWAY that it accepts no new requests.
/// The agent then announces that it drains, accepts no new requests, completes the running ones, moves feeds to other
/// servers, closes its flows and returns. SIGHUP reloads the certificates of control streams. Fails with BadKeyFile or AddressUnavailable.
Result<void> runAgent(const AgentSettings &settings);

}
