#pragma once

#include <jujubequay/core/error.h>

#include <consensus.pb.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace Jujubequay::Consensus {

/// Most voters that a cluster may have.
constexpr std::size_t maxVoters = 7;

/// Adds a member that receives the log and does not vote.
struct AddLearner {
    std::string id; ///< disk identity
    std::string host;
    std::string address; ///< "ip:port"
};

/// Turns a learner that has caught up into a voter.
struct PromoteLearner {
    std::string id;
};

/// Removes a learner or a voter.
struct RemoveMember {
    std::string id;
};

using MembershipChange = std::variant<AddLearner, PromoteLearner, RemoveMember>;

/// For logs: "add-learner 3f..", "promote 3f.." or "remove 3f..".
std::string describe(const MembershipChange &change);

const jujubequay::pb::Member *findMember(const jujubequay::pb::Membership &membership, std::string_view id);
bool isVoter(const jujubequay::pb::Membership &membership, std::string_view id);
std::size_t voterCount(const jujubequay::pb::Membership &membership);
/// Voters that make a majority; 1 for a membership without voters, so that it can never be reached.
std::size_t majorityOf(const jujubequay::pb::Membership &membership);
/// The membership after one change. Fails with BadRequest and the reason.
Result<jujubequay::pb::Membership> changeMembership(const jujubequay::pb::Membership &membership, const MembershipChange &change);

}
