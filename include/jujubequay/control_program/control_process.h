#pragma once

#include <jujubequay/consensus/log_storage.h>
#include <jujubequay/daemon/control_settings.h>

namespace Jujubequay {

/// How a new disk joins.
enum class DiskPurpose : std::uint8_t {
    Join, ///< an existing cluster, as a learner, once an operator has added it
    Bootstrap, ///< a new cluster, of which this host is the first voter
};

/// Creates the data directory and writes a disk identity. Fails with DiskIdentityMismatch if the directory holds data.
Result<Consensus::DiskIdentity> initialiseControlDisk(const ControlSettings &settings, DiskPurpose purpose);

/// Runs a control host until SIGINT or SIGTERM; SIGHUP reads the certificates again. Fails with DiskIdentityMismatch if
/// the disk was not initialised, and with DiskDamaged, DiskFailed, BadKeyFile or AddressUnavailable.
Result<void> runControlHost(const ControlSettings &settings);

}
