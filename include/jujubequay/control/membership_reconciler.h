#pragma once

#include <jujubequay/consensus/membership.h>
#include <jujubequay/core/clock.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Jujubequay {

struct MembershipReconcilerOptions {
    /// Desired number of voters: twice the number of disks that may be lost at the same time, plus one.
    std::size_t voters = 3;
    /// Time without contact after which a voter beyond the desired number is removed.
    Duration surplusVoterTimeout = std::chrono::milliseconds(2500);
    /// Time without contact after which a learner is removed.
    Duration learnerTimeout = std::chrono::seconds(10);
    /// Time for which a join request is valid; a host that wants to join repeats it.
    Duration joinRequestLifetime = std::chrono::seconds(3);
};

/// Status of a member on the leader.
struct MemberStatus {
    std::string id; ///< disk identity
    std::string host;
    bool isVoter = false;
    bool isSelf = false;
    bool isCaughtUp = false;
    Duration timeSinceContact{}; ///< time since the last message from the member
};

/// Compares the members with the desired number of voters, on the leader, and decides on the next membership change. Control hosts
/// join, return with an empty disk and are replaced without an operator.
///
/// A voter is removed only if another disk replaces it: either a learner on the same host shows that the disk is lost, or there are
/// more voters than desired and the voter is leaving or unresponsive. A partition or a pause alone therefore never shrinks the group.
/// A leader that leaves removes itself: the next leader would not know that it has left.
class MembershipReconciler
{
public:
    explicit MembershipReconciler(MembershipReconcilerOptions options);

    void joinRequested(TimePoint now, Consensus::AddLearner candidate);
    /// Call when the process with this disk identity, which may be this one, is about to stop.
    void leaveAnnounced(TimePoint now, const std::string &id);
    /// True if a voter that leaves can be removed now or once a learner has caught up.
    bool hasReplacement(const std::vector<MemberStatus> &members) const;
    /// Returns the next change, if any. Call it again once the change has committed or failed.
    std::optional<Consensus::MembershipChange> nextChange(TimePoint now, const std::vector<MemberStatus> &members);

private:
    struct Candidate {
        Consensus::AddLearner change;
        TimePoint requestedAt{};
    };

    std::optional<Consensus::MembershipChange> admit(const std::vector<MemberStatus> &members);
    std::optional<Consensus::MembershipChange> promote(const std::vector<MemberStatus> &members) const;
    std::optional<Consensus::MembershipChange> removeSurplus(const std::vector<MemberStatus> &members) const;

    const MembershipReconcilerOptions m_options;
    std::map<std::string, Candidate> m_candidates; // candidates by disk identity
    std::map<std::string, TimePoint> m_leavingMembers;
};

}
