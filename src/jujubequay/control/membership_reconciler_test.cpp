#include <jujubequay/control/membership_reconciler.h>

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace Jujubequay;
using Consensus::AddLearner;
using Consensus::MembershipChange;
using Consensus::PromoteLearner;
using Consensus::RemoveMember;
using std::chrono::milliseconds;
using std::chrono::seconds;

class MembershipReconcilerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipReconcilerTest);
    CPPUNIT_TEST(addsAndPromotesAHostThatRequestsToJoin);
    CPPUNIT_TEST(replacesALostDiskOnTheSameHost);
    CPPUNIT_TEST(keepsUnresponsiveVotersWithoutAReplacement);
    CPPUNIT_TEST(removesAnUnresponsiveSurplusVoter);
    CPPUNIT_TEST(removesALeavingSurplusVoterAtOnce);
    CPPUNIT_TEST(removesItselfIfItLeavesAndAnotherVoterReplacesIt);
    CPPUNIT_TEST(keepsAMemberThatHasReturnedAfterItsLeave);
    CPPUNIT_TEST(keepsAdditionalMembersAsLearners);
    CPPUNIT_TEST(ignoresExpiredJoinRequests);
    CPPUNIT_TEST(neverRemovesARequiredVoterWithoutAReplacement);
    CPPUNIT_TEST_SUITE_END();

    TimePoint m_now{seconds(100)};
    MembershipReconciler m_reconciler{{.voters = 5}};
    std::vector<MemberStatus> m_members;

    void addVoters(std::size_t count)
    {
        for (std::size_t number = 0; number < count; ++number) {
            const std::string id(1, static_cast<char>('a' + number));
            m_members.push_back({id, "host-" + id, true, number == 0, true, {}});
        }
    }

    std::string nextChange()
    {
        const auto change = m_reconciler.nextChange(m_now, m_members);
        return change ? describe(*change) : "none";
    }

public:
    void addsAndPromotesAHostThatRequestsToJoin()
    {
        addVoters(3);
        m_reconciler.joinRequested(m_now, {"x", "host-x", "10.0.0.9:7720"});
        CPPUNIT_ASSERT_EQUAL(std::string("add-learner x 10.0.0.9:7720"), nextChange());
        m_members.push_back({"x", "host-x", false, false, false, {}});
        CPPUNIT_ASSERT_EQUAL(std::string("none"), nextChange());
        m_members.back().isCaughtUp = true;
        CPPUNIT_ASSERT_EQUAL(std::string("promote x"), nextChange());
    }

    /// A new disk on the host of a voter shows that the disk of the voter is lost.
    void replacesALostDiskOnTheSameHost()
    {
        addVoters(5);
        m_members[4].timeSinceContact = milliseconds(300);
        m_members.push_back({"x", "host-e", false, false, true, {}});
        CPPUNIT_ASSERT_EQUAL(std::string("remove e"), nextChange());
        m_members.erase(m_members.begin() + 4);
        CPPUNIT_ASSERT_EQUAL(std::string("promote x"), nextChange());
    }

    /// Guards against a partition or a pause that shrinks the group: the remaining disks could then be lost together with all data.
    void keepsUnresponsiveVotersWithoutAReplacement()
    {
        addVoters(5);
        m_members[3].timeSinceContact = seconds(600);
        m_members[4].timeSinceContact = seconds(600);
        CPPUNIT_ASSERT_EQUAL(std::string("none"), nextChange());
    }

    void removesAnUnresponsiveSurplusVoter()
    {
        addVoters(6);
        m_members[2].timeSinceContact = seconds(2);
        CPPUNIT_ASSERT_EQUAL(std::string("none"), nextChange());
        m_members[2].timeSinceContact = seconds(3);
        CPPUNIT_ASSERT_EQUAL(std::string("remove c"), nextChange());
    }

    void removesALeavingSurplusVoterAtOnce()
    {
        addVoters(5);
        m_reconciler.leaveAnnounced(m_now, "c");
        CPPUNIT_ASSERT_EQUAL(std::string("none"), nextChange());
        addVoters(1);
        m_members.back().id = "f";
        CPPUNIT_ASSERT_EQUAL(std::string("remove c"), nextChange());
    }

    /// Guards against a leader that stops as a voter of the group, which its successor removes only after a silence.
    void removesItselfIfItLeavesAndAnotherVoterReplacesIt()
    {
        addVoters(5);
        m_reconciler.leaveAnnounced(m_now, "a");
        CPPUNIT_ASSERT(!m_reconciler.hasReplacement(m_members));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), nextChange());
        m_members.push_back({"f", "host-f", false, false, true, {}});
        CPPUNIT_ASSERT(m_reconciler.hasReplacement(m_members));
        CPPUNIT_ASSERT_EQUAL(std::string("promote f"), nextChange());
        m_members.back().isVoter = true;
        CPPUNIT_ASSERT_EQUAL(std::string("remove a"), nextChange());
    }

    /// Guards against the removal of a host that was only restarted, once another host has joined.
    void keepsAMemberThatHasReturnedAfterItsLeave()
    {
        addVoters(6);
        m_reconciler.leaveAnnounced(m_now, "c");
        m_reconciler.joinRequested(m_now, {"c", "host-c", "10.0.0.3:7720"});
        CPPUNIT_ASSERT_EQUAL(std::string("none"), nextChange());
    }

    /// More voters than desired would slow down each change and tolerate no more losses than required.
    void keepsAdditionalMembersAsLearners()
    {
        addVoters(6);
        m_members.push_back({"x", "host-x", false, false, true, {}});
        CPPUNIT_ASSERT_EQUAL(std::string("none"), nextChange());
    }

    void ignoresExpiredJoinRequests()
    {
        addVoters(3);
        m_reconciler.joinRequested(m_now, {"x", "host-x", "10.0.0.9:7720"});
        m_now += seconds(10);
        CPPUNIT_ASSERT_EQUAL(std::string("none"), nextChange());
    }

    /// Random members: a voter may be removed only if there are more voters than desired, or if another disk on its host has caught up.
    void neverRemovesARequiredVoterWithoutAReplacement()
    {
        std::mt19937_64 random(7);
        for (int run = 0; run < 20000; ++run) {
            m_members.clear();
            addVoters(1 + random() % 7);
            const std::size_t voterCount = m_members.size();
            for (MemberStatus &member : m_members) {
                member.timeSinceContact = member.isSelf ? Duration::zero() : Duration(milliseconds(random() % 6000));
            }
            for (std::size_t learner = random() % 3; learner > 0; --learner) {
                const std::string host = random() % 2 == 0 ? m_members[random() % voterCount].host : "host-x" + std::to_string(learner);
                m_members.push_back({"x" + std::to_string(learner), host, false, false, random() % 2 == 0, {}});
            }
            const auto change = m_reconciler.nextChange(m_now, m_members);
            const auto *removal = change ? std::get_if<RemoveMember>(&*change) : nullptr;
            if (removal == nullptr) {
                continue;
            }
            const auto removed = std::find_if(m_members.begin(), m_members.end(), [removal](const MemberStatus &member) {
                return member.id == removal->id;
            });
            const bool isReplaced = std::any_of(m_members.begin(), m_members.end(), [removed](const MemberStatus &member) {
                return !member.isVoter && member.isCaughtUp && member.host == removed->host;
            });
            CPPUNIT_ASSERT(!removed->isVoter || isReplaced || voterCount > 5);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipReconcilerTest);
