#include <jujubequay/consensus/membership.h>

#include <fmt/format.h>

#include <algorithm>

namespace Jujubequay::Consensus {

namespace pb = jujubequay::pb;

namespace {

Result<pb::Membership> add(pb::Membership membership, const AddLearner &change)
{
    const auto isMember = findMember(membership, change.id) != nullptr;
    if (isMember || change.id.empty()) {
        return fail(ResultCode::BadRequest, fmt::format("disk identity \"{}\" is empty or already a member", change.id));
    }
    pb::Member *member = membership.add_members();
    member->set_id(change.id);
    member->set_host(change.host);
    member->set_address(change.address);
    return membership;
}

Result<pb::Membership> promote(pb::Membership membership, const PromoteLearner &change)
{
    if (findMember(membership, change.id) == nullptr || isVoter(membership, change.id)) {
        return fail(ResultCode::BadRequest, fmt::format("disk {} is not a learner", change.id));
    }
    if (voterCount(membership) >= maxVoters) {
        return fail(ResultCode::BadRequest, fmt::format("there are already {} voters, the maximum", maxVoters));
    }
    for (pb::Member &member : *membership.mutable_members()) {
        member.set_voter(member.voter() || member.id() == change.id);
    }
    return membership;
}

Result<pb::Membership> remove(pb::Membership membership, const RemoveMember &change)
{
    if (findMember(membership, change.id) == nullptr) {
        return fail(ResultCode::BadRequest, fmt::format("disk {} is not a member", change.id));
    }
    if (isVoter(membership, change.id) && voterCount(membership) == 1) {
        return fail(ResultCode::BadRequest, "the last voter cannot be removed");
    }
    auto *members = membership.mutable_members();
    members->erase(std::remove_if(members->begin(),
                                  members->end(),
                                  [&change](const pb::Member &member) {
                                      return member.id() == change.id;
                                  }),
                   members->end());
    return membership;
}

}

std::string describe(const MembershipChange &change)
{
    struct Visitor {
        std::string operator()(const AddLearner &change) const
        {
            return fmt::format("add-learner {} {}", change.id, change.address);
        }
        std::string operator()(const PromoteLearner &change) const
        {
            return fmt::format("promote {}", change.id);
        }
        std::string operator()(const RemoveMember &change) const
        {
            return fmt::format("remove {}", change.id);
        }
    };
    return std::visit(Visitor{}, change);
}

const pb::Member *findMember(const pb::Membership &membership, std::string_view id)
{
    const auto found = std::find_if(membership.members().begin(), membership.members().end(), [id](const pb::Member &member) {
        return member.id() == id;
    });
    return found == membership.members().end() ? nullptr : &*found;
}

bool isVoter(const pb::Membership &membership, std::string_view id)
{
    const pb::Member *member = findMember(membership, id);
    return member != nullptr && member->voter();
}

std::size_t voterCount(const pb::Membership &membership)
{
    return static_cast<std::size_t>(std::count_if(membership.members().begin(), membership.members().end(), [](const pb::Member &member) {
        return member.voter();
    }));
}

std::size_t majoritySize(const pb::Membership &membership)
{
    return voterCount(membership) / 2 + 1;
}

Result<pb::Membership> changeMembership(const pb::Membership &membership, const MembershipChange &change)
{
    struct Visitor {
        const pb::Membership &membership;
        Result<pb::Membership> operator()(const AddLearner &change) const
        {
            return add(membership, change);
        }
        Result<pb::Membership> operator()(const PromoteLearner &change) const
        {
            return promote(membership, change);
        }
        Result<pb::Membership> operator()(const RemoveMember &change) const
        {
            return remove(membership, change);
        }
    };
    return std::visit(Visitor{membership}, change);
}

}
