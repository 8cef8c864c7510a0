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

ResultCode resultOf(const jujubequay::pb::Membership &membership, const MembershipChange &change)
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
    CPPUNIT_TEST(impossibleChangesAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a majority that includes a new disk without any log entries.
    void learnerDoesNotCountUntilPromoted()
    {
        const auto added = changeMembership(voters(3), AddLearner{"new", "host-d", "127.0.0.1:1"});
        CPPUNIT_ASSERT(added && !isVoter(*added, "new"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, majoritySize(*added));
        const auto promoted = changeMembership(*added, PromoteLearner{"new"});
        CPPUNIT_ASSERT(promoted && isVoter(*promoted, "new"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, majoritySize(*promoted));
    }

    void impossibleChangesAreRefused()
    {
        CPPUNIT_ASSERT(resultOf(voters(1), RemoveMember{"0"}) == ResultCode::BadRequest);
        CPPUNIT_ASSERT(resultOf(voters(3), RemoveMember{"unknown"}) == ResultCode::BadRequest);
        CPPUNIT_ASSERT(resultOf(voters(3), AddLearner{"0", "host-a", {}}) == ResultCode::BadRequest);
        CPPUNIT_ASSERT(resultOf(voters(3), PromoteLearner{"0"}) == ResultCode::BadRequest);
        const auto sevenVotersAndLearner = changeMembership(voters(7), AddLearner{"new", "host-h", {}});
        CPPUNIT_ASSERT(resultOf(*sevenVotersAndLearner, PromoteLearner{"new"}) == ResultCode::BadRequest);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);
