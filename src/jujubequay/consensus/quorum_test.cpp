#include <jujubequay/consensus/quorum.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <vector>

using namespace Jujubequay::Consensus;

namespace {

jujubequay::pb::Membership voters(std::size_t count)
{
    jujubequay::pb::Membership membership;
    for (std::size_t number = 0; number < count; ++number) {
        jujubequay::pb::Member *member = membership.add_members();
        member->set_id(std::to_string(number));
        member->set_voter(true);
    }
    return membership;
}

/// A set of voters, one bit each.
using VoterSet = unsigned;

bool contains(VoterSet set, std::size_t voter)
{
    return ((set >> voter) & 1U) != 0;
}

bool isQuorum(const jujubequay::pb::Membership &membership, const std::string &lostVoter, VoterSet set)
{
    return quorumValue(membership,
                       lostVoter,
                       [set](const std::string &id) {
                           return contains(set, std::stoul(id)) ? 1 : 0;
                       })
        > 0;
}

/// What happens in two terms that may overlap, in any order.
enum class Event : std::uint8_t { FirstStart, SecondStart, FirstLoss, SecondLoss };

/// A term, the voter that it leaves out and the voters that take part in it.
struct Term {
    std::size_t lostVoter = 0;
    Event start = Event::FirstStart;
    Event loss = Event::FirstLoss; ///< of the voter that it leaves out
    VoterSet participants = 0;
};

class History
{
public:
    explicit History(const std::array<Event, 4> &order)
        : m_order(order)
    {
    }

    bool isBefore(Event first, Event second) const
    {
        return std::find(m_order.begin(), m_order.end(), first) < std::find(m_order.begin(), m_order.end(), second);
    }

    /// True if the term leaves out a voter that was lost before it started, and the voter that the other term leaves out takes part only if it could.
    bool isPossible(const Term &term, const Term &other) const
    {
        const bool takesPart = contains(term.participants, other.lostVoter);
        return !contains(term.participants, term.lostVoter) && isBefore(term.loss, term.start) && (!takesPart || isBefore(term.start, other.loss));
    }

private:
    std::array<Event, 4> m_order;
};

}

class QuorumTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuorumTest);
    CPPUNIT_TEST(sizes);
    CPPUNIT_TEST(lostVoterNeverCounts);
    CPPUNIT_TEST(majorityAndSmallerQuorumShareAVoter);
    CPPUNIT_TEST(quorumsThatLeaveOutDifferentVotersShareAVoter);
    CPPUNIT_TEST_SUITE_END();

public:
    void sizes()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, quorumSize(voters(6), {}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, quorumSize(voters(6), "5"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, quorumSize(voters(6), "unknown"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, quorumSize(voters(5), "4"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, quorumSize(voters(4), "3"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, quorumSize(voters(3), "2"));
    }

    // Guards against an election that counts the earlier vote of a disk that is lost.
    void lostVoterNeverCounts()
    {
        CPPUNIT_ASSERT(!isQuorum(voters(6), "5", 0b100011));
        CPPUNIT_ASSERT(isQuorum(voters(6), "5", 0b010011));
        CPPUNIT_ASSERT(!isQuorum(voters(6), {}, 0b010011));
        CPPUNIT_ASSERT(!isQuorum(voters(0), {}, 0));
    }

    // Guards against two leaders in one term, or a leader without a committed entry: one side uses a majority.
    void majorityAndSmallerQuorumShareAVoter()
    {
        for (std::size_t count = 1; count <= maxVoters; ++count) {
            const auto membership = voters(count);
            for (std::size_t lost = 0; lost < count; ++lost) {
                forEachPair(count, [&](VoterSet first, VoterSet second) {
                    const bool areQuorums = isQuorum(membership, {}, first) && isQuorum(membership, std::to_string(lost), second);
                    CPPUNIT_ASSERT(!areQuorums || (first & second) != 0);
                });
            }
        }
    }

    // Guards against the same when both sides leave out a voter, in every order of the two starts and the two losses.
    void quorumsThatLeaveOutDifferentVotersShareAVoter()
    {
        std::array<Event, 4> order{Event::FirstStart, Event::SecondStart, Event::FirstLoss, Event::SecondLoss};
        int possible = 0;
        do {
            const History history(order);
            for (const std::size_t count : {2, 4, 6}) {
                for (std::size_t lost = 0; lost < count; ++lost) {
                    possible += checkTerms(history, voters(count), lost);
                }
            }
        } while (std::next_permutation(order.begin(), order.end()));
        CPPUNIT_ASSERT(possible > 0);
    }

private:
    template<class Check>
    static void forEachPair(std::size_t count, Check check)
    {
        for (VoterSet first = 0; first < (1U << count); ++first) {
            for (VoterSet second = 0; second < (1U << count); ++second) {
                check(first, second);
            }
        }
    }

    /// Checks all quorums of two terms; the second one leaves out the last voter. Returns the number of possible pairs.
    static int checkTerms(const History &history, const jujubequay::pb::Membership &membership, std::size_t lost)
    {
        const auto count = static_cast<std::size_t>(membership.members_size());
        int possible = 0;
        forEachPair(count, [&](VoterSet participants, VoterSet otherParticipants) {
            const Term first{lost, Event::FirstStart, Event::FirstLoss, participants};
            // Both terms may leave out the same voter, whose loss is then one event.
            const Term second{count - 1, Event::SecondStart, lost == count - 1 ? Event::FirstLoss : Event::SecondLoss, otherParticipants};
            const bool areQuorums = isQuorum(membership, std::to_string(first.lostVoter), participants)
                && isQuorum(membership, std::to_string(second.lostVoter), otherParticipants);
            if (areQuorums && history.isPossible(first, second) && history.isPossible(second, first)) {
                ++possible;
                CPPUNIT_ASSERT((participants & otherParticipants) != 0);
            }
        });
        return possible;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuorumTest);
