#include <jujubequay/consensus/quorum.h>

#include <algorithm>
#include <functional>
#include <vector>

namespace Jujubequay::Consensus {

namespace pb = jujubequay::pb;

namespace {

bool isLeftOut(const pb::Membership &membership, const std::string &lostVoter)
{
    return voterCount(membership) % 2 == 0 && isVoter(membership, lostVoter);
}

}

std::size_t quorumSize(const pb::Membership &membership, const std::string &lostVoter)
{
    return isLeftOut(membership, lostVoter) ? voterCount(membership) / 2 : majoritySize(membership);
}

std::uint64_t quorumValue(const pb::Membership &membership, const std::string &lostVoter, const std::function<std::uint64_t(const std::string &)> &valueOf)
{
    const bool leavesOutLostVoter = isLeftOut(membership, lostVoter);
    std::vector<std::uint64_t> values;
    for (const pb::Member &member : membership.members()) {
        if (member.voter() && !(leavesOutLostVoter && member.id() == lostVoter)) {
            values.push_back(valueOf(member.id()));
        }
    }
    const std::size_t size = quorumSize(membership, lostVoter);
    if (values.size() < size) {
        return 0;
    }
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[size - 1];
}

}
