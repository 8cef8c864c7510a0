#pragma once

#include <jujubequay/control/control_state.h>
#include <jujubequay/core/clock.h>

#include <control.pb.h>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace Jujubequay {

struct KnownHostsReconcilerOptions {
    Duration interval = std::chrono::milliseconds(500); ///< minimum time between changes, so that a roll-out of many servers adds few log entries
    /// A host that has neither announced itself nor watched for this long is removed; longer than any restart takes.
    Duration absenceTimeout = std::chrono::seconds(30);
};

/// Keeps the replicated list of balancers and agents up to date, on the leader. Control hosts notify the hosts on this list after
/// their own restart.
class KnownHostsReconciler
{
public:
    explicit KnownHostsReconciler(KnownHostsReconcilerOptions options);

    /// True if the minimum time since the last call of `nextChange` has passed.
    bool isDue(TimePoint now) const;
    /// Compares the known hosts with the current ones and returns the change to propose, if any. `current`: hosts that are connected
    /// or announced. `leftServers`: agents whose servers are in state Left; they are removed at once, other absent hosts after a
    /// timeout.
    std::optional<jujubequay::pb::ChangeKnownHosts> nextChange(TimePoint now,
                                                               const KnownHosts &known,
                                                               const KnownHosts &current,
                                                               const std::set<std::string> &leftServers);
    /// Restarts the timeouts of absent hosts. Call it while this host is not the leader.
    void reset();

private:
    const KnownHostsReconcilerOptions m_options;
    std::map<std::string, TimePoint> m_absentSince;
    std::optional<TimePoint> m_lastReconciledAt;
};

}
