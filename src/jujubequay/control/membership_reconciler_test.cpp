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
    CPPUNIT_TEST(addsAndPromotesAHostThatAsks);
    CPPUNIT_TEST(replacesALostDiskOnTheSameHost);
    CPPUNIT_TEST(keepsSilentVotersWithoutAReplacement);
    CPPUNIT_TEST(removesTheSilentVoterOnceItIsSurplus);
    CPPUNIT_TEST(removesALeavingSurplusVoterAtOnce);
    CPPUNIT_TEST(keepsStandbysAsLearners);
    CPPUNIT_TEST(forgetsOldRequests);
    CPPUNIT_TEST(neverFallsBelowTheVotersWithoutAReplacedDisk);
    CPPUNIT_TEST_SUITE_END();

    TimePoint m_now{seconds(100)};
    MembershipReconciler m_keeper{{.voters = 5}};
    std::vector<MemberStatus> m_members;

    void voters(std::size_t count)
    {
        for (std::size_t number = 0; number < count; ++number) {
            const std::string id(1, static_cast<char>('a' + number));
            m_members.push_back({id, "host-" + id, true, number == 0, true, {}});
        }
    }

    std::string next()
    {
        const auto change = m_keeper.next(m_now, m_members);
        return change ? describe(*change) : "none";
    }

public:
    void addsAndPromotesAHostThatAsks()
    {
        voters(3);
        m_keeper.joinRequested(m_now, {"x", "host-x", "10.0.0.9:7720"});
        CPPUNIT_ASSERT_EQUAL(std::string("add-learner x 10.0.0.9:7720"), next());
        m_members.push_back({"x", "host-x", false, false, false, {}});
        CPPUNIT_ASSERT_EQUAL(std::string("none"), next());
        m_members.back().isCaughtUp = true;
        CPPUNIT_ASSERT_EQUAL(std::string("promote x"), next());
    }

    /// An empty disk at the address of a voter proves that the voter's disk is gone.
    void replacesALostDiskOnTheSameHost()
    {
        voters(5);
        m_members[4].silence = milliseconds(300);
        m_members.push_back({"x", "host-e", false, false, true, {}});
        CPPUNIT_ASSERT_EQUAL(std::string("remove e"), next());
        m_members.erase(m_members.begin() + 4);
        CPPUNIT_ASSERT_EQUAL(std::string("promote x"), next());
    }

    /// A cut or a pause must not shrink the group, or the loss of the rest would be final.
    void keepsSilentVotersWithoutAReplacement()
    {
        voters(5);
        m_members[3].silence = seconds(600);
        m_members[4].silence = seconds(600);
        CPPUNIT_ASSERT_EQUAL(std::string("none"), next());
    }

    void removesTheSilentVoterOnceItIsSurplus()
    {
        voters(6);
        m_members[2].silence = seconds(2);
        CPPUNIT_ASSERT_EQUAL(std::string("none"), next());
        m_members[2].silence = seconds(3);
        CPPUNIT_ASSERT_EQUAL(std::string("remove c"), next());
    }

    void removesALeavingSurplusVoterAtOnce()
    {
        voters(5);
        m_keeper.leaveAnnounced(m_now, "c");
        CPPUNIT_ASSERT_EQUAL(std::string("none"), next());
        voters(1);
        m_members.back().id = "f";
        CPPUNIT_ASSERT_EQUAL(std::string("remove c"), next());
    }

    /// More voters would make every change slower and the group no safer.
    void keepsStandbysAsLearners()
    {
        voters(6);
        m_members.push_back({"x", "host-x", false, false, true, {}});
        CPPUNIT_ASSERT_EQUAL(std::string("none"), next());
    }

    void forgetsOldRequests()
    {
        voters(3);
        m_keeper.joinRequested(m_now, {"x", "host-x", "10.0.0.9:7720"});
        m_now += seconds(10);
        CPPUNIT_ASSERT_EQUAL(std::string("none"), next());
    }

    /// Random members: a removal of a voter needs a surplus, or another disk on its host that has caught up.
    void neverFallsBelowTheVotersWithoutAReplacedDisk()
    {
        std::mt19937_64 random(7);
        for (int run = 0; run < 20000; ++run) {
            m_members.clear();
            voters(1 + random() % 7);
            const std::size_t voterCount = m_members.size();
            for (MemberStatus &member : m_members) {
                member.silence = member.isSelf ? Duration::zero() : Duration(milliseconds(random() % 6000));
            }
            for (std::size_t learner = random() % 3; learner > 0; --learner) {
                const std::string host = random() % 2 == 0 ? m_members[random() % voterCount].host : "host-x" + std::to_string(learner);
                m_members.push_back({"x" + std::to_string(learner), host, false, false, random() % 2 == 0, {}});
            }
            const auto change = m_keeper.next(m_now, m_members);
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
