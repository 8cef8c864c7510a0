#include <jujubequay/control/membership_reconciler.h>

#include <algorithm>

namespace Jujubequay {

namespace {

std::size_t countVoters(const std::vector<MemberStatus> &members)
{
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [](const MemberStatus &member) {
        return member.isVoter;
    }));
}

}

MembershipReconciler::MembershipReconciler(MembershipReconcilerOptions options)
    : m_options(options)
{
}

void MembershipReconciler::joinRequested(TimePoint now, Consensus::AddLearner candidate)
{
    const std::string id = candidate.id;
    m_leavingMembers.erase(id); // the process has started again
    m_candidates[id] = {std::move(candidate), now};
}

void MembershipReconciler::leaveAnnounced(TimePoint now, const std::string &id)
{
    m_leavingMembers[id] = now;
}

bool MembershipReconciler::hasReplacement(const std::vector<MemberStatus> &members) const
{
    return countVoters(members) > m_options.voters || countVoters(members) < members.size();
}

std::optional<Consensus::MembershipChange> MembershipReconciler::nextChange(TimePoint now, const std::vector<MemberStatus> &members)
{
    std::erase_if(m_candidates, [&](const auto &entry) {
        return now - entry.second.requestedAt > m_options.joinRequestLifetime;
    });
    std::erase_if(m_leavingMembers, [&](const auto &entry) {
        return now - entry.second > m_options.joinRequestLifetime;
    });
    if (auto change = promote(members)) {
        return change;
    }
    if (auto change = removeSurplus(members)) {
        return change;
    }
    return admit(members);
}

std::optional<Consensus::MembershipChange> MembershipReconciler::admit(const std::vector<MemberStatus> &members)
{
    for (const auto &[id, candidate] : m_candidates) {
        const bool isMember = std::any_of(members.begin(), members.end(), [&id = id](const MemberStatus &member) {
            return member.id == id;
        });
        if (isMember || m_leavingMembers.contains(id)) {
            continue;
        }
        const auto replacedLearner = std::find_if(members.begin(), members.end(), [&candidate = candidate](const MemberStatus &member) {
            return !member.isVoter && member.host == candidate.change.host;
        });
        if (replacedLearner != members.end()) {
            return Consensus::RemoveMember{replacedLearner->id};
        }
        return candidate.change;
    }
    return std::nullopt;
}

std::optional<Consensus::MembershipChange> MembershipReconciler::promote(const std::vector<MemberStatus> &members) const
{
    const std::size_t voters = countVoters(members);
    for (const MemberStatus &learner : members) {
        if (learner.isVoter || !learner.isCaughtUp) {
            continue;
        }
        // The learner is on the same host as a voter, with another disk: the disk of the voter no longer exists.
        const auto replacedVoter = std::find_if(members.begin(), members.end(), [&learner](const MemberStatus &member) {
            return member.isVoter && member.host == learner.host;
        });
        if (replacedVoter != members.end()) {
            return Consensus::RemoveMember{replacedVoter->id};
        }
        // One voter more than desired is allowed, so that a planned replacement joins before its predecessor leaves.
        if (voters <= m_options.voters && voters < Consensus::maxVoters) {
            return Consensus::PromoteLearner{learner.id};
        }
    }
    return std::nullopt;
}

std::optional<Consensus::MembershipChange> MembershipReconciler::removeSurplus(const std::vector<MemberStatus> &members) const
{
    const bool hasSurplusVoter = countVoters(members) > m_options.voters;
    const MemberStatus *longestUnresponsive = nullptr;
    for (const MemberStatus &member : members) {
        const bool isUnresponsive = !member.isSelf && member.timeSinceContact > m_options.surplusVoterTimeout;
        const bool isSurplus
            = member.isVoter ? hasSurplusVoter && (m_leavingMembers.contains(member.id) || isUnresponsive) : member.timeSinceContact > m_options.learnerTimeout;
        if (isSurplus && (longestUnresponsive == nullptr || member.timeSinceContact > longestUnresponsive->timeSinceContact)) {
            longestUnresponsive = &member;
        }
    }
    return longestUnresponsive == nullptr ? std::nullopt : std::optional<Consensus::MembershipChange>(Consensus::RemoveMember{longestUnresponsive->id});
}

}
