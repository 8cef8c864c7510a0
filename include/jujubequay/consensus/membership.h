#pragma once

#include <jujubequay/core/error.h>

#include <consensus.pb.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace Jujubequay::Consensus {

/// Maximum number of voters in a cluster.
constexpr std::size_t maxVoters = 7;

/// Adds a member that receives the log but has no vote.
struct AddLearner {
    std::string id; ///< disk identity
    std::string host;
    std::string address; ///< "ip:port"
};

/// Turns a learner that has caught up into a voter.
struct PromoteLearner {
    std::string id; ///< disk identity
};

/// Removes a learner or a voter.
struct RemoveMember {
    std::string id; ///< disk identity
};

using MembershipChange = std::variant<AddLearner, PromoteLearner, RemoveMember>;

/// Text for log messages, for example "add-learner 3f.. 10.0.0.1:7000", "promote 3f.." or "remove 3f..".
std::string describe(const MembershipChange &change);

/// The member with this disk identity; nullptr if there is none.
const jujubequay::pb::Member *findMember(const jujubequay::pb::Membership &membership, std::string_view id);
bool isVoter(const jujubequay::pb::Membership &membership, std::string_view id);
std::size_t voterCount(const jujubequay::pb::Membership &membership);
/// Number of voters that form a majority. It is 1 for a membership without voters, so that such a membership never has a majority.
std::size_t majoritySize(const jujubequay::pb::Membership &membership);
/// Returns the membership after the change. Fails with BadRequest, and the reason as detail, if the change is not possible.
Result<jujubequay::pb::Membership> changeMembership(const jujubequay::pb::Membership &membership, const MembershipChange &change);

}
