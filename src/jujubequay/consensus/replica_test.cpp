#include <jujubequay/consensus/replica.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include <xxhash.h>

using namespace Jujubequay;
using namespace Jujubequay::Consensus;
using jujubequay::pb::ReplicaMessage;

namespace {

constexpr std::uint64_t cluster = 7;

jujubequay::pb::Membership voters(const std::vector<std::string> &ids)
{
    jujubequay::pb::Membership membership;
    membership.set_cluster(cluster);
    for (const std::string &id : ids) {
        jujubequay::pb::Member *member = membership.add_members();
        member->set_id(id);
        member->set_voter(true);
    }
    return membership;
}

jujubequay::pb::LogEntry entry(std::uint64_t index, std::uint64_t term)
{
    jujubequay::pb::LogEntry entry;
    entry.set_index(index);
    entry.set_term(term);
    entry.set_command("command");
    return entry;
}

StoredState storedState(const std::string &id, const std::vector<std::string> &ids)
{
    StoredState state;
    state.identity = {id, "host"};
    state.snapshot.membership = voters(ids);
    return state;
}

/// One replica whose messages and writes are carried out by the test.
struct Subject {
    explicit Subject(StoredState state)
        : replica(ReplicaOptions(), std::move(state), random, now)
    {
        handle(replica.start());
    }

    void handle(const Effects &effects)
    {
        for (const Effect &effect : effects) {
            if (const auto *send = std::get_if<Send>(&effect)) {
                sent.push_back(send->message);
            }
            if (const auto *persist = std::get_if<Persist>(&effect)) {
                sequence = persist->sequence;
            }
            if (const auto *save = std::get_if<SaveSnapshot>(&effect)) {
                sequence = save->sequence;
                ++snapshots;
            }
            if (const auto *failed = std::get_if<ProposalFailed>(&effect)) {
                failure = failed->code;
            }
            confirmed += std::holds_alternative<ReadConfirmed>(effect) ? 1 : 0;
            refused += std::holds_alternative<ReadRefused>(effect) ? 1 : 0;
            committed += std::holds_alternative<ProposalCommitted>(effect) ? 1 : 0;
        }
    }

    void store()
    {
        handle(replica.onWritesDurable(now, sequence));
    }

    void receive(const ReplicaMessage &message)
    {
        handle(replica.step(now, message));
    }

    ReplicaMessage from(const std::string &id, std::uint64_t term) const
    {
        ReplicaMessage message;
        message.set_from(id);
        message.set_to(replica.id());
        message.set_cluster(cluster);
        message.set_term(term);
        return message;
    }

    void requestVote(const std::string &id, std::uint64_t term, std::uint64_t lastIndex = 0, std::uint64_t lastTerm = 0)
    {
        ReplicaMessage message = from(id, term);
        message.mutable_vote_request()->set_last_index(lastIndex);
        message.mutable_vote_request()->set_last_term(lastTerm);
        receive(message);
    }

    void vote(const std::string &id, std::uint64_t term, bool preVote)
    {
        ReplicaMessage message = from(id, term);
        message.mutable_vote_reply()->set_pre_vote(preVote);
        message.mutable_vote_reply()->set_granted(true);
        receive(message);
    }

    void acknowledge(const std::string &id, std::uint64_t index, std::uint64_t round = 0)
    {
        ReplicaMessage message = from(id, replica.term());
        message.mutable_append_reply()->set_accepted(true);
        message.mutable_append_reply()->set_index(index);
        message.mutable_append_reply()->set_round(round);
        receive(message);
    }

    void becomeLeader(const std::string &supporter)
    {
        now = replica.nextTick();
        handle(replica.tick(now));
        vote(supporter, replica.term() + 1, true);
        store();
        vote(supporter, replica.term(), false);
        CPPUNIT_ASSERT(replica.role() == Role::Leader);
        store();
        sent.clear();
    }

    std::size_t granted() const
    {
        return static_cast<std::size_t>(std::count_if(sent.begin(), sent.end(), [](const ReplicaMessage &message) {
            return message.vote_reply().granted();
        }));
    }

    TimePoint now{};
    std::mt19937_64 random{1};
    Replica replica;
    std::vector<ReplicaMessage> sent;
    std::uint64_t sequence = 0;
    std::optional<ResultCode> failure;
    int confirmed = 0;
    int refused = 0;
    int committed = 0;
    int snapshots = 0;
};

}

class ReplicaTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReplicaTest);
    CPPUNIT_TEST(voteIsSentOnlyWhenDurable);
    CPPUNIT_TEST(votesOncePerTermAlsoAfterARestart);
    CPPUNIT_TEST(entriesAreAcknowledgedOnlyWhenDurable);
    CPPUNIT_TEST(replacedEntriesAreNotAcknowledged);
    CPPUNIT_TEST(malformedEntriesAreIgnored);
    CPPUNIT_TEST(readOnANewLeaderWaitsForItsFirstEntry);
    CPPUNIT_TEST(snapshotWithAWrongDigestIsNotInstalled);
    CPPUNIT_TEST(entryOfAnEarlierTermDoesNotCommitByCount);
    CPPUNIT_TEST(leaderWithoutMajorityStepsDown);
    CPPUNIT_TEST(partitionedVoterDoesNotDeposeTheLeader);
    CPPUNIT_TEST(readNeedsAMajorityAfterTheRequest);
    CPPUNIT_TEST(emptyDiskNeitherCampaignsNorVotes);
    CPPUNIT_TEST(messageToALostDiskIsIgnored);
    CPPUNIT_TEST(learnerIsPromotedOnlyWhenCaughtUp);
    CPPUNIT_TEST(oneMembershipChangeAtATime);
    CPPUNIT_TEST(workingVoterOfThreeIsNotRemoved);
    CPPUNIT_TEST(followerRefusesProposals);
    CPPUNIT_TEST(knowsItsCommitsAfterARestart);
    CPPUNIT_TEST(neverTrustsACommitBeyondItsLog);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a host that votes again after a crash because its first vote was not on the disk yet.
    void voteIsSentOnlyWhenDurable()
    {
        Subject subject(storedState("a", {"a", "b", "c"}));
        subject.requestVote("b", 5);
        CPPUNIT_ASSERT(subject.sent.empty());
        subject.store();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, subject.granted());
    }

    void votesOncePerTermAlsoAfterARestart()
    {
        StoredState state = storedState("a", {"a", "b", "c"});
        state.hardState = {5, "b"};
        Subject subject(state);
        subject.requestVote("c", 5);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, subject.granted());
        subject.requestVote("b", 5);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, subject.granted());
    }

    void entriesAreAcknowledgedOnlyWhenDurable()
    {
        StoredState state = storedState("a", {"a", "b", "c"});
        state.hardState = {1, "b"}; // nothing but the entry waits for the disk
        Subject subject(state);
        ReplicaMessage message = subject.from("b", 1);
        *message.mutable_append_request()->add_entries() = entry(1, 1);
        subject.receive(message);
        CPPUNIT_ASSERT(subject.sent.empty());
        subject.receive(message); // a repeated request is answered, but does not acknowledge the entry earlier
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, subject.sent.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, subject.sent.back().append_reply().index());
        subject.store();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, subject.sent.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, subject.sent.back().append_reply().index());
    }

    // Guards against two leaders that both count this host for the same index: the first one by an acknowledgement that
    // was still waiting for the disk, the second one by a write of the entries that it replaced.
    void replacedEntriesAreNotAcknowledged()
    {
        StoredState state = storedState("a", {"a", "b", "c", "d", "e"});
        state.hardState = {1, "b"};
        Subject subject(state);
        ReplicaMessage old = subject.from("b", 1);
        for (std::uint64_t index = 1; index <= 3; ++index) {
            *old.mutable_append_request()->add_entries() = entry(index, 1);
        }
        subject.receive(old); // write 1
        ReplicaMessage heartbeat = subject.from("c", 2);
        heartbeat.mutable_append_request()->set_prev_index(9);
        subject.receive(heartbeat); // write 2: the term
        ReplicaMessage replacement = subject.from("c", 2);
        replacement.mutable_append_request()->set_prev_index(1);
        replacement.mutable_append_request()->set_prev_term(1);
        *replacement.mutable_append_request()->add_entries() = entry(2, 2);
        subject.receive(replacement); // write 3
        CPPUNIT_ASSERT(subject.sent.empty());

        subject.handle(subject.replica.onWritesDurable(subject.now, 2));
        for (const ReplicaMessage &message : subject.sent) {
            CPPUNIT_ASSERT(message.to() == "c" && !message.append_reply().accepted());
        }
        heartbeat.mutable_append_request()->set_prev_index(2);
        heartbeat.mutable_append_request()->set_prev_term(2);
        subject.receive(heartbeat);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, subject.sent.back().append_reply().index());
        subject.store();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, subject.sent.back().append_reply().index());
    }

    // Guards against a faulty peer that stops this host through an invariant of the log.
    void malformedEntriesAreIgnored()
    {
        Subject subject(storedState("a", {"a", "b", "c"}));
        ReplicaMessage message = subject.from("b", 3);
        *message.mutable_append_request()->add_entries() = entry(2, 3);
        subject.receive(message);
        *message.mutable_append_request()->mutable_entries(0) = entry(1, 3);
        *message.mutable_append_request()->add_entries() = entry(2, 2);
        subject.receive(message);
        message.clear_append_request();
        message.mutable_snapshot_chunk()->set_index(4);
        message.mutable_snapshot_chunk()->set_size(ReplicaOptions().maxSnapshotBytes + 1);
        subject.receive(message);
        subject.store();
        CPPUNIT_ASSERT(subject.sent.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, subject.replica.lastIndex());
    }

    void snapshotWithAWrongDigestIsNotInstalled()
    {
        Subject subject(storedState("a", {"a", "b", "c"}));
        ReplicaMessage message = subject.from("b", 1);
        message.mutable_snapshot_chunk()->set_index(4);
        message.mutable_snapshot_chunk()->set_term(1);
        message.mutable_snapshot_chunk()->set_size(3);
        message.mutable_snapshot_chunk()->set_data("abc");
        message.mutable_snapshot_chunk()->set_digest(XXH3_64bits("abd", 3));
        subject.receive(message);
        CPPUNIT_ASSERT_EQUAL(0, subject.snapshots);
        message.mutable_snapshot_chunk()->set_digest(XXH3_64bits("abc", 3));
        subject.receive(message);
        CPPUNIT_ASSERT_EQUAL(1, subject.snapshots);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("not installed before it is durable", std::uint64_t{0}, subject.replica.appliedIndex());
        subject.store();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, subject.replica.appliedIndex());
    }

    // Guards against a new leader that answers before it knows how far its predecessor committed.
    void readOnANewLeaderWaitsForItsFirstEntry()
    {
        Subject subject(storedState("a", {"a", "b", "c"}));
        subject.becomeLeader("b");
        subject.handle(subject.replica.confirmRead(subject.now, {1}));
        CPPUNIT_ASSERT(subject.sent.empty());
    }

    // Guards against the loss of an entry that a majority holds but that a later leader may still replace.
    void entryOfAnEarlierTermDoesNotCommitByCount()
    {
        StoredState state = storedState("a", {"a", "b", "c"});
        state.hardState = {2, "a"};
        state.entries = {entry(1, 1), entry(2, 2)};
        Subject subject(state);
        subject.becomeLeader("b");
        subject.acknowledge("b", 2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, subject.replica.commitIndex());
        subject.acknowledge("b", 3);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, subject.replica.commitIndex());
    }

    // Guards against a leader that serves reads and takes proposals while it is silently partitioned.
    void leaderWithoutMajorityStepsDown()
    {
        Subject subject(storedState("a", {"a", "b", "c"}));
        subject.becomeLeader("b");
        subject.acknowledge("b", 1);
        subject.handle(subject.replica.propose(subject.now, {1}, {'x'}));
        subject.handle(subject.replica.confirmRead(subject.now, {2}));
        subject.now += ReplicaOptions().electionTimeout + std::chrono::milliseconds(1);
        subject.handle(subject.replica.tick(subject.now));
        CPPUNIT_ASSERT(subject.replica.role() == Role::Follower);
        CPPUNIT_ASSERT(subject.failure == ResultCode::OutcomeUnknown);
        CPPUNIT_ASSERT_EQUAL(1, subject.refused);
    }

    void partitionedVoterDoesNotDeposeTheLeader()
    {
        Subject leader(storedState("a", {"a", "b", "c"}));
        leader.becomeLeader("b");
        const std::uint64_t term = leader.replica.term();
        leader.requestVote("c", term + 8, 9, 9);
        CPPUNIT_ASSERT_EQUAL(term, leader.replica.term());

        Subject partitioned(storedState("c", {"a", "b", "c"}));
        for (int timeout = 0; timeout < 9; ++timeout) {
            partitioned.now = partitioned.replica.nextTick();
            partitioned.handle(partitioned.replica.tick(partitioned.now));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, partitioned.replica.term());
    }

    void readNeedsAMajorityAfterTheRequest()
    {
        Subject subject(storedState("a", {"a", "b", "c"}));
        subject.becomeLeader("b");
        subject.handle(subject.replica.confirmRead(subject.now, {1}));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("no entry of this term has committed", 0, subject.confirmed);
        subject.acknowledge("b", 1);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the acknowledgement is older than the round", 0, subject.confirmed);
        const std::uint64_t round = subject.sent.back().append_request().round();
        CPPUNIT_ASSERT(round > 0);
        subject.acknowledge("b", 1, round);
        CPPUNIT_ASSERT_EQUAL(1, subject.confirmed);
    }

    void emptyDiskNeitherCampaignsNorVotes()
    {
        Subject subject(storedState("new", {}));
        subject.now = subject.replica.nextTick();
        subject.handle(subject.replica.tick(subject.now));
        subject.requestVote("a", 3);
        CPPUNIT_ASSERT(subject.replica.role() == Role::Follower);
        CPPUNIT_ASSERT(subject.sent.empty());
    }

    void messageToALostDiskIsIgnored()
    {
        Subject subject(storedState("new", {"old", "b", "c"}));
        ReplicaMessage message = subject.from("b", 4);
        message.set_to("old");
        message.mutable_vote_request();
        subject.receive(message);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, subject.replica.term());
    }

    void learnerIsPromotedOnlyWhenCaughtUp()
    {
        Subject subject(storedState("a", {"a", "b", "c"}));
        subject.becomeLeader("b");
        subject.acknowledge("b", 1);
        subject.handle(subject.replica.changeMembership(subject.now, {1}, AddLearner{"new", "host-d", {}}));
        subject.store();
        subject.acknowledge("b", 2);
        CPPUNIT_ASSERT_EQUAL(1, subject.committed);
        subject.handle(subject.replica.changeMembership(subject.now, {2}, PromoteLearner{"new"}));
        CPPUNIT_ASSERT(subject.failure == ResultCode::MembershipBusy);
        subject.acknowledge("new", 2);
        subject.handle(subject.replica.changeMembership(subject.now, {3}, PromoteLearner{"new"}));
        CPPUNIT_ASSERT(isVoter(subject.replica.membership(), "new"));
        CPPUNIT_ASSERT(!subject.replica.toleratesVoterLoss());
    }

    void oneMembershipChangeAtATime()
    {
        Subject subject(storedState("a", {"a", "b", "c"}));
        subject.becomeLeader("b");
        subject.handle(subject.replica.changeMembership(subject.now, {1}, AddLearner{"d", "host-d", {}}));
        CPPUNIT_ASSERT_MESSAGE("no entry of this term has committed", subject.failure == ResultCode::MembershipBusy);
        subject.acknowledge("b", 1);
        subject.failure.reset();
        subject.handle(subject.replica.changeMembership(subject.now, {2}, AddLearner{"d", "host-d", {}}));
        CPPUNIT_ASSERT(!subject.failure);
        subject.handle(subject.replica.changeMembership(subject.now, {3}, AddLearner{"e", "host-e", {}}));
        CPPUNIT_ASSERT(subject.failure == ResultCode::MembershipBusy);
    }

    // Guards against two voters of which one was lost a moment ago: they would never have a majority again.
    void workingVoterOfThreeIsNotRemoved()
    {
        Subject subject(storedState("a", {"a", "b", "c"}));
        subject.becomeLeader("b");
        subject.acknowledge("b", 1);
        subject.acknowledge("c", 1);
        CPPUNIT_ASSERT(subject.replica.toleratesVoterLoss());
        subject.handle(subject.replica.changeMembership(subject.now, {1}, RemoveMember{"c"}));
        CPPUNIT_ASSERT(subject.failure == ResultCode::NoQuorum);
        subject.now += ReplicaOptions().electionTimeout + std::chrono::milliseconds(1);
        subject.acknowledge("b", 1);
        CPPUNIT_ASSERT(!subject.replica.toleratesVoterLoss());
        subject.failure.reset();
        subject.handle(subject.replica.changeMembership(subject.now, {2}, RemoveMember{"c"}));
        CPPUNIT_ASSERT_MESSAGE("a lost voter can be removed", !subject.failure);
    }

    void followerRefusesProposals()
    {
        Subject subject(storedState("a", {"a", "b", "c"}));
        subject.handle(subject.replica.propose(subject.now, {1}, {'x'}));
        CPPUNIT_ASSERT(subject.failure == ResultCode::NotLeader);
    }

    /// After a loss of power of all hosts the state must be known before there is a leader again.
    void knowsItsCommitsAfterARestart()
    {
        StoredState stored = storedState("a", {"a", "b", "c"});
        stored.entries = {entry(1, 1), entry(2, 1), entry(3, 1)};
        stored.hardState = {1, "b", 2};
        Subject subject(stored);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, subject.replica.appliedIndex());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, subject.replica.lastIndex());
        CPPUNIT_ASSERT(subject.replica.role() == Role::Follower);
    }

    /// A torn tail may have taken entries that the record names.
    void neverTrustsACommitBeyondItsLog()
    {
        StoredState stored = storedState("a", {"a", "b", "c"});
        stored.entries = {entry(1, 1)};
        stored.hardState = {1, "b", 9};
        Subject subject(stored);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, subject.replica.commitIndex());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaTest);
