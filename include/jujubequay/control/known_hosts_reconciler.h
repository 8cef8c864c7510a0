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
    Duration interval = std::chrono::milliseconds(500); ///< between two changes, so that a roll-out of many servers makes few log entries
    /// A host that has neither announced itself nor watched for this long is forgotten; longer than any restart.
    Duration forgetAfter = std::chrono::seconds(30);
};

/// Decides on the leader which balancers and agents the control hosts remember across their own restarts.
class KnownHostsReconciler
{
public:
    explicit KnownHostsReconciler(KnownHostsReconcilerOptions options);

    /// True if `next` may decide on a change now.
    bool isDue(TimePoint now) const;
    /// The next change. `present` hosts are connected or announced, servers of the agents in `ended` have ended for certain, and the
    /// others are merely silent.
    std::optional<jujubequay::pb::ChangeKnownHosts> next(TimePoint now, const KnownHosts &known, const KnownHosts &present, const std::set<std::string> &ended);
    /// Silence counts from now on: this host has not been the leader.
    void reset();

private:
    const KnownHostsReconcilerOptions m_options;
    std::map<std::string, TimePoint> m_silentSince;
    std::optional<TimePoint> m_lastDecision;
};

}
