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
    m_candidates[id] = {std::move(candidate), now};
}

void MembershipReconciler::leaveAnnounced(TimePoint now, const std::string &id)
{
    m_leaving[id] = now;
}

std::optional<Consensus::MembershipChange> MembershipReconciler::next(TimePoint now, const std::vector<MemberStatus> &members)
{
    std::erase_if(m_candidates, [&](const auto &entry) {
        return now - entry.second.requestedAt > m_options.joinValidity;
    });
    std::erase_if(m_leaving, [&](const auto &entry) {
        return now - entry.second > m_options.joinValidity;
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
        const bool isKnown = std::any_of(members.begin(), members.end(), [&id = id](const MemberStatus &member) {
            return member.id == id;
        });
        if (isKnown || m_leaving.contains(id)) {
            continue;
        }
        const auto previous = std::find_if(members.begin(), members.end(), [&candidate = candidate](const MemberStatus &member) {
            return !member.isVoter && member.host == candidate.change.host;
        });
        if (previous != members.end()) {
            return Consensus::RemoveMember{previous->id};
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
        // The same host with another disk: the voter's disk no longer exists.
        const auto lost = std::find_if(members.begin(), members.end(), [&learner](const MemberStatus &member) {
            return member.isVoter && member.host == learner.host;
        });
        if (lost != members.end()) {
            return Consensus::RemoveMember{lost->id};
        }
        // One more than wanted, so that a planned replacement joins before its predecessor leaves.
        if (voters <= m_options.voters && voters < Consensus::maxVoters) {
            return Consensus::PromoteLearner{learner.id};
        }
    }
    return std::nullopt;
}

std::optional<Consensus::MembershipChange> MembershipReconciler::removeSurplus(const std::vector<MemberStatus> &members) const
{
    const bool hasSpareVoter = countVoters(members) > m_options.voters;
    const MemberStatus *silent = nullptr;
    for (const MemberStatus &member : members) {
        const bool isGone = m_leaving.contains(member.id) || member.silence > m_options.removeAfter;
        const bool isSurplus = member.isVoter ? hasSpareVoter && isGone : member.silence > m_options.forgetLearnerAfter;
        if (!member.isSelf && isSurplus && (silent == nullptr || member.silence > silent->silence)) {
            silent = &member;
        }
    }
    return silent == nullptr ? std::nullopt : std::optional<Consensus::MembershipChange>(Consensus::RemoveMember{silent->id});
}

}
