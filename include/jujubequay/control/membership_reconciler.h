#pragma once

#include <jujubequay/consensus/membership.h>
#include <jujubequay/core/clock.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Jujubequay {

struct MembershipReconcilerOptions {
    /// Voters to keep: twice the disks that may be lost at the same time, plus one.
    std::size_t voters = 3;
    /// Silence after which a voter beyond that number is removed.
    Duration removeAfter = std::chrono::milliseconds(2500);
    /// Silence after which a learner is removed.
    Duration forgetLearnerAfter = std::chrono::seconds(10);
    /// How long a request to join is remembered; a host that waits repeats it.
    Duration joinValidity = std::chrono::seconds(3);
};

/// A member as the leader sees it.
struct MemberStatus {
    std::string id; ///< disk identity
    std::string host;
    bool isVoter = false;
    bool isSelf = false;
    bool isCaughtUp = false;
    Duration silence{}; ///< since the last message
};

/// Decides on the leader which membership change is due, so that control hosts join, return with an empty disk and are replaced
/// without an operator.
///
/// A voter is removed only if another disk has taken its place: a learner on the same host proves that the disk is lost, and
/// beyond the wanted number a silent voter is surplus. A cut or a pause alone therefore never shrinks the group.
class MembershipReconciler
{
public:
    explicit MembershipReconciler(MembershipReconcilerOptions options);

    void joinRequested(TimePoint now, Consensus::AddLearner candidate);
    /// The process on this disk is about to stop.
    void leaveAnnounced(TimePoint now, const std::string &id);
    /// The next change; ask again once it has committed or failed.
    std::optional<Consensus::MembershipChange> next(TimePoint now, const std::vector<MemberStatus> &members);

private:
    struct Candidate {
        Consensus::AddLearner change;
        TimePoint requestedAt{};
    };

    std::optional<Consensus::MembershipChange> admit(const std::vector<MemberStatus> &members);
    std::optional<Consensus::MembershipChange> promote(const std::vector<MemberStatus> &members) const;
    std::optional<Consensus::MembershipChange> removeSurplus(const std::vector<MemberStatus> &members) const;

    const MembershipReconcilerOptions m_options;
    std::map<std::string, Candidate> m_candidates; // by disk identity
    std::map<std::string, TimePoint> m_leaving;
};

}
