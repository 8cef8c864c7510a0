#include <jujubequay/consensus/membership.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Jujubequay;
using namespace Jujubequay::Consensus;

namespace {

jujubequay::pb::Membership voters(int count)
{
    jujubequay::pb::Membership membership;
    for (int number = 0; number < count; ++number) {
        jujubequay::pb::Member *member = membership.add_members();
        member->set_id(std::to_string(number));
        member->set_voter(true);
    }
    return membership;
}

ResultCode codeOf(const jujubequay::pb::Membership &membership, const MembershipChange &change)
{
    return handleFailure(
        [&]() -> Result<ResultCode> {
            BOOST_LEAF_CHECK(changeMembership(membership, change));
            return ResultCode::Ok;
        },
        [](const Failure &failure) {
            return failure.code;
        });
}

}

class MembershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(learnerDoesNotCountUntilPromoted);
    CPPUNIT_TEST(refusesChangesThatLeaveNoCluster);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an empty disk that counts towards a majority.
    void learnerDoesNotCountUntilPromoted()
    {
        const auto added = changeMembership(voters(3), AddLearner{"new", "host-d", "127.0.0.1:1"});
        CPPUNIT_ASSERT(added && !isVoter(*added, "new"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, majorityOf(*added));
        const auto promoted = changeMembership(*added, PromoteLearner{"new"});
        CPPUNIT_ASSERT(promoted && isVoter(*promoted, "new"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, majorityOf(*promoted));
    }

    void refusesChangesThatLeaveNoCluster()
    {
        CPPUNIT_ASSERT(codeOf(voters(1), RemoveMember{"0"}) == ResultCode::BadRequest);
        CPPUNIT_ASSERT(codeOf(voters(3), RemoveMember{"unknown"}) == ResultCode::BadRequest);
        CPPUNIT_ASSERT(codeOf(voters(3), AddLearner{"0", "host-a", {}}) == ResultCode::BadRequest);
        CPPUNIT_ASSERT(codeOf(voters(3), PromoteLearner{"0"}) == ResultCode::BadRequest);
        const auto eight = changeMembership(voters(7), AddLearner{"new", "host-h", {}});
        CPPUNIT_ASSERT(codeOf(*eight, PromoteLearner{"new"}) == ResultCode::BadRequest);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);
