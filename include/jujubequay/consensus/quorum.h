#pragma once

#include <jujubequay/consensus/membership.h>

#include <cstdint>
#include <functional>
#include <string>

namespace Jujubequay::Consensus {

/// Number of voters that form a quorum: a majority, or half of an even number of voters if `lostVoter` is one of them. `lostVoter` is the disk identity of a
/// voter whose disk is known to be lost since before the term started; empty if there is none. It does not count itself.
///
/// Two quorums of one membership always share a voter:
/// - With a majority on at least one side the sizes add up to more than the number of voters. So they do if both leave out the same voter.
/// - If they leave out different ones, each could contain only the voter that the other one leaves out. But a voter takes part in a term after its start and
///   before the loss of its disk, and it is left out only by terms that start after the loss. So each of the two terms would have to start before the other.
std::size_t quorumSize(const jujubequay::pb::Membership &membership, const std::string &lostVoter);

/// The highest value that a quorum of the voters has reached; 0 without a quorum. `valueOf` returns the value of a voter by its disk identity.
std::uint64_t quorumValue(const jujubequay::pb::Membership &membership,
                          const std::string &lostVoter,
                          const std::function<std::uint64_t(const std::string &id)> &valueOf);

}
