#pragma once

#include <jujubequay/consensus/log_storage.h>
#include <jujubequay/daemon/control_settings.h>

namespace Jujubequay {

/// What a new disk is initialised for.
enum class DiskPurpose : std::uint8_t {
    Join, ///< to join an existing cluster as a learner once an operator has added it
    Bootstrap, ///< to create a new cluster with this host as its first voter
};

/// Creates the data directory and writes a new disk identity. Fails with DiskIdentityMismatch if the directory already holds data,
/// and with DiskFailed.
Result<Consensus::DiskIdentity> initialiseControlDisk(const ControlSettings &settings, DiskPurpose purpose);

/// Runs a control host until SIGINT or SIGTERM; SIGHUP reloads the certificates. Fails with DiskIdentityMismatch if the disk was not
/// initialised, and with DiskDamaged, DiskFailed, BadKeyFile or AddressUnavailable.
Result<void> runControlHost(const ControlSettings &settings);

}
