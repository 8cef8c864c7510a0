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
        member->set_host("host");
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

/// One replica without network and storage. Records its effects; the test delivers the messages and completes the writes.
struct ReplicaHarness {
    explicit ReplicaHarness(StoredState state)
        : replica(ReplicaOptions(), std::move(state), random, now)
    {
        handle(replica.start());
    }

    void handle(const Effects &effects)
    {
        for (const Effect &effect : effects) {
            if (const auto *send = std::get_if<Send>(&effect)) {
                sentMessages.push_back(send->message);
            }
            if (const auto *persist = std::get_if<Persist>(&effect)) {
                lastSequence = persist->sequence;
                lastHardState = persist->hardState ? persist->hardState : lastHardState;
            }
            if (const auto *save = std::get_if<SaveSnapshot>(&effect)) {
                lastSequence = save->sequence;
                ++savedSnapshots;
            }
            if (const auto *failed = std::get_if<ProposalFailed>(&effect)) {
                proposalFailure = failed->code;
            }
            confirmedReads += std::holds_alternative<ReadConfirmed>(effect) ? 1 : 0;
            refusedReads += std::holds_alternative<ReadRefused>(effect) ? 1 : 0;
            committedProposals += std::holds_alternative<ProposalCommitted>(effect) ? 1 : 0;
        }
    }

    void completeWrites()
    {
        handle(replica.onWritesDurable(now, lastSequence));
    }

    void receive(const ReplicaMessage &message)
    {
        handle(replica.step(now, message));
    }

    ReplicaMessage messageFrom(const std::string &id, std::uint64_t term) const
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
        ReplicaMessage message = messageFrom(id, term);
        message.mutable_vote_request()->set_last_index(lastIndex);
        message.mutable_vote_request()->set_last_term(lastTerm);
        receive(message);
    }

    void grantVote(const std::string &id, std::uint64_t term, bool preVote)
    {
        ReplicaMessage message = messageFrom(id, term);
        message.mutable_vote_reply()->set_pre_vote(preVote);
        message.mutable_vote_reply()->set_granted(true);
        receive(message);
    }

    void acknowledge(const std::string &id, std::uint64_t index, std::uint64_t round = 0)
    {
        ReplicaMessage message = messageFrom(id, replica.term());
        message.mutable_append_reply()->set_accepted(true);
        message.mutable_append_reply()->set_index(index);
        message.mutable_append_reply()->set_round(round);
        receive(message);
    }

    /// Reports, from a new disk of `host`, that `lostId` no longer exists.
    void reportLostDisk(const std::string &lostId, const std::string &host = "host")
    {
        ReplicaMessage message = messageFrom("new", 0);
        message.mutable_disk_replaced()->set_lost_id(lostId);
        message.mutable_disk_replaced()->set_host(host);
        receive(message);
    }

    void startPreVote()
    {
        now = replica.nextTick();
        handle(replica.tick(now));
    }

    void becomeLeader(const std::string &voter)
    {
        becomeLeaderWith({voter});
    }

    void becomeLeaderWith(const std::vector<std::string> &voters)
    {
        startPreVote();
        const std::uint64_t term = replica.term() + 1;
        for (const std::string &voter : voters) {
            grantVote(voter, term, true);
        }
        completeWrites();
        for (const std::string &voter : voters) {
            grantVote(voter, term, false);
        }
        CPPUNIT_ASSERT(replica.role() == Role::Leader);
        completeWrites();
        sentMessages.clear();
    }

    std::size_t grantedVotes() const
    {
        return static_cast<std::size_t>(std::count_if(sentMessages.begin(), sentMessages.end(), [](const ReplicaMessage &message) {
            return message.vote_reply().granted();
        }));
    }

    TimePoint now{};
    std::mt19937_64 random{1};
    Replica replica;
    std::vector<ReplicaMessage> sentMessages;
    std::uint64_t lastSequence = 0;
    std::optional<HardState> lastHardState;
    std::optional<ResultCode> proposalFailure;
    int confirmedReads = 0;
    int refusedReads = 0;
    int committedProposals = 0;
    int savedSnapshots = 0;
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
    CPPUNIT_TEST(readOnNewLeaderWaitsForFirstCommit);
    CPPUNIT_TEST(snapshotWithAWrongDigestIsNotInstalled);
    CPPUNIT_TEST(entryOfEarlierTermDoesNotCommitByMajorityAlone);
    CPPUNIT_TEST(leaderWithoutMajorityStepsDown);
    CPPUNIT_TEST(partitionedVoterDoesNotDeposeTheLeader);
    CPPUNIT_TEST(readNeedsAMajorityAfterTheRequest);
    CPPUNIT_TEST(newDiskNeitherStartsElectionNorVotes);
    CPPUNIT_TEST(messageToALostDiskIsIgnored);
    CPPUNIT_TEST(voteRequestForALostDiskIsAnsweredByTheNewOne);
    CPPUNIT_TEST(lostDiskIsLeftOutOfTheNextElection);
    CPPUNIT_TEST(lostDiskIsNotLeftOutOfATermThatHasStarted);
    CPPUNIT_TEST(onlyTheHostOfADiskReportsItsLoss);
    CPPUNIT_TEST(removalNeedsAQuorumOfTheMembershipBefore);
    CPPUNIT_TEST(electionNeedsAQuorumOfTheMembershipBefore);
    CPPUNIT_TEST(removedVoterVotesUntilItsRemovalHasCommitted);
    CPPUNIT_TEST(commitOfAMembershipIsRecorded);
    CPPUNIT_TEST(learnerIsPromotedOnlyWhenCaughtUp);
    CPPUNIT_TEST(oneMembershipChangeAtATime);
    CPPUNIT_TEST(workingVoterOfThreeIsNotRemoved);
    CPPUNIT_TEST(followerRefusesProposals);
    CPPUNIT_TEST(appliesRecordedCommitsAfterRestart);
    CPPUNIT_TEST(ignoresRecordedCommitBeyondLog);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two votes in one term: a replica that sends its vote before the vote is durable can vote again after a crash.
    void voteIsSentOnlyWhenDurable()
    {
        ReplicaHarness harness(storedState("a", {"a", "b", "c"}));
        harness.requestVote("b", 5);
        CPPUNIT_ASSERT(harness.sentMessages.empty());
        harness.completeWrites();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.grantedVotes());
    }

    void votesOncePerTermAlsoAfterARestart()
    {
        StoredState state = storedState("a", {"a", "b", "c"});
        state.hardState = {5, "b"};
        ReplicaHarness harness(state);
        harness.requestVote("c", 5);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.grantedVotes());
        harness.requestVote("b", 5);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.grantedVotes());
    }

    void entriesAreAcknowledgedOnlyWhenDurable()
    {
        StoredState state = storedState("a", {"a", "b", "c"});
        state.hardState = {1, "b"}; // term and vote are durable already, so only the entry must be written
        ReplicaHarness harness(state);
        ReplicaMessage message = harness.messageFrom("b", 1);
        *message.mutable_append_request()->add_entries() = entry(1, 1);
        harness.receive(message);
        CPPUNIT_ASSERT(harness.sentMessages.empty());
        harness.receive(message); // the reply to a repeated request must not acknowledge the entry before it is durable
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.sentMessages.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, harness.sentMessages.back().append_reply().index());
        harness.completeWrites();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.sentMessages.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, harness.sentMessages.back().append_reply().index());
    }

    // Guards against two leaders that both count this replica towards a majority at the same index. The first leader must not receive the
    // acknowledgement that was held until its entries were written. For the second leader, the write of the replaced entries must not count as
    // the write of its own entries.
    void replacedEntriesAreNotAcknowledged()
    {
        StoredState state = storedState("a", {"a", "b", "c", "d", "e"});
        state.hardState = {1, "b"};
        ReplicaHarness harness(state);
        ReplicaMessage replaced = harness.messageFrom("b", 1);
        for (std::uint64_t index = 1; index <= 3; ++index) {
            *replaced.mutable_append_request()->add_entries() = entry(index, 1);
        }
        harness.receive(replaced); // write 1
        ReplicaMessage heartbeat = harness.messageFrom("c", 2);
        heartbeat.mutable_append_request()->set_prev_index(9);
        harness.receive(heartbeat); // write 2: only the term
        ReplicaMessage replacement = harness.messageFrom("c", 2);
        replacement.mutable_append_request()->set_prev_index(1);
        replacement.mutable_append_request()->set_prev_term(1);
        *replacement.mutable_append_request()->add_entries() = entry(2, 2);
        harness.receive(replacement); // write 3
        CPPUNIT_ASSERT(harness.sentMessages.empty());

        harness.handle(harness.replica.onWritesDurable(harness.now, 2));
        for (const ReplicaMessage &message : harness.sentMessages) {
            CPPUNIT_ASSERT(message.to() == "c" && !message.append_reply().accepted());
        }
        heartbeat.mutable_append_request()->set_prev_index(2);
        heartbeat.mutable_append_request()->set_prev_term(2);
        harness.receive(heartbeat);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, harness.sentMessages.back().append_reply().index());
        harness.completeWrites();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, harness.sentMessages.back().append_reply().index());
    }

    // Guards against messages of a faulty peer that make this process abort because they violate an invariant of the log.
    void malformedEntriesAreIgnored()
    {
        ReplicaHarness harness(storedState("a", {"a", "b", "c"}));
        ReplicaMessage message = harness.messageFrom("b", 3);
        *message.mutable_append_request()->add_entries() = entry(2, 3);
        harness.receive(message);
        *message.mutable_append_request()->mutable_entries(0) = entry(1, 3);
        *message.mutable_append_request()->add_entries() = entry(2, 2);
        harness.receive(message);
        message.clear_append_request();
        message.mutable_snapshot_chunk()->set_index(4);
        message.mutable_snapshot_chunk()->set_size(ReplicaOptions().maxSnapshotBytes + 1);
        harness.receive(message);
        harness.completeWrites();
        CPPUNIT_ASSERT(harness.sentMessages.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, harness.replica.lastIndex());
    }

    void snapshotWithAWrongDigestIsNotInstalled()
    {
        ReplicaHarness harness(storedState("a", {"a", "b", "c"}));
        ReplicaMessage message = harness.messageFrom("b", 1);
        message.mutable_snapshot_chunk()->set_index(4);
        message.mutable_snapshot_chunk()->set_term(1);
        message.mutable_snapshot_chunk()->set_size(3);
        message.mutable_snapshot_chunk()->set_data("abc");
        message.mutable_snapshot_chunk()->set_digest(XXH3_64bits("abd", 3));
        harness.receive(message);
        CPPUNIT_ASSERT_EQUAL(0, harness.savedSnapshots);
        message.mutable_snapshot_chunk()->set_digest(XXH3_64bits("abc", 3));
        harness.receive(message);
        CPPUNIT_ASSERT_EQUAL(1, harness.savedSnapshots);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the snapshot is applied before it is durable", std::uint64_t{0}, harness.replica.appliedIndex());
        harness.completeWrites();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, harness.replica.appliedIndex());
    }

    // Guards against a stale read: before its first entry has committed, the commit index of a new leader may lie below that of its predecessor.
    void readOnNewLeaderWaitsForFirstCommit()
    {
        ReplicaHarness harness(storedState("a", {"a", "b", "c"}));
        harness.becomeLeader("b");
        harness.handle(harness.replica.confirmRead(harness.now, {1}));
        CPPUNIT_ASSERT(harness.sentMessages.empty());
    }

    // Guards against the loss of a committed entry: a later leader may still replace an entry of an earlier term that a majority has stored.
    void entryOfEarlierTermDoesNotCommitByMajorityAlone()
    {
        StoredState state = storedState("a", {"a", "b", "c"});
        state.hardState = {2, "a"};
        state.entries = {entry(1, 1), entry(2, 2)};
        ReplicaHarness harness(state);
        harness.becomeLeader("b");
        harness.acknowledge("b", 2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, harness.replica.commitIndex());
        harness.acknowledge("b", 3);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, harness.replica.commitIndex());
    }

    // Guards against a leader that confirms reads and accepts proposals after it has been partitioned from the majority.
    void leaderWithoutMajorityStepsDown()
    {
        ReplicaHarness harness(storedState("a", {"a", "b", "c"}));
        harness.becomeLeader("b");
        harness.acknowledge("b", 1);
        harness.handle(harness.replica.propose(harness.now, {1}, {'x'}));
        harness.handle(harness.replica.confirmRead(harness.now, {2}));
        harness.now += ReplicaOptions().electionTimeout + std::chrono::milliseconds(1);
        harness.handle(harness.replica.tick(harness.now));
        CPPUNIT_ASSERT(harness.replica.role() == Role::Follower);
        CPPUNIT_ASSERT(harness.proposalFailure == ResultCode::OutcomeUnknown);
        CPPUNIT_ASSERT_EQUAL(1, harness.refusedReads);
    }

    void partitionedVoterDoesNotDeposeTheLeader()
    {
        ReplicaHarness leader(storedState("a", {"a", "b", "c"}));
        leader.becomeLeader("b");
        const std::uint64_t term = leader.replica.term();
        leader.requestVote("c", term + 8, 9, 9);
        CPPUNIT_ASSERT_EQUAL(term, leader.replica.term());

        ReplicaHarness partitioned(storedState("c", {"a", "b", "c"}));
        for (int timeout = 0; timeout < 9; ++timeout) {
            partitioned.now = partitioned.replica.nextTick();
            partitioned.handle(partitioned.replica.tick(partitioned.now));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, partitioned.replica.term());
    }

    void readNeedsAMajorityAfterTheRequest()
    {
        ReplicaHarness harness(storedState("a", {"a", "b", "c"}));
        harness.becomeLeader("b");
        harness.handle(harness.replica.confirmRead(harness.now, {1}));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the read was confirmed before an entry of this term had committed", 0, harness.confirmedReads);
        harness.acknowledge("b", 1);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the read was confirmed by an acknowledgement from before its round", 0, harness.confirmedReads);
        const std::uint64_t round = harness.sentMessages.back().append_request().round();
        CPPUNIT_ASSERT(round > 0);
        harness.acknowledge("b", 1, round);
        CPPUNIT_ASSERT_EQUAL(1, harness.confirmedReads);
    }

    void newDiskNeitherStartsElectionNorVotes()
    {
        ReplicaHarness harness(storedState("new", {}));
        harness.now = harness.replica.nextTick();
        harness.handle(harness.replica.tick(harness.now));
        harness.requestVote("a", 3);
        CPPUNIT_ASSERT(harness.replica.role() == Role::Follower);
        CPPUNIT_ASSERT(harness.sentMessages.empty());
    }

    void messageToALostDiskIsIgnored()
    {
        ReplicaHarness harness(storedState("new", {"old", "b", "c"}));
        ReplicaMessage message = harness.messageFrom("b", 4);
        message.set_to("old");
        message.mutable_vote_request();
        harness.receive(message);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, harness.replica.term());
    }

    // Guards against a group that never elects a leader again, because it waits for the vote of a disk that no longer exists.
    void voteRequestForALostDiskIsAnsweredByTheNewOne()
    {
        ReplicaHarness harness(storedState("new", {}));
        ReplicaMessage message = harness.messageFrom("b", 4);
        message.set_to("old");
        message.mutable_append_request();
        harness.receive(message);
        CPPUNIT_ASSERT_MESSAGE("only a vote request is answered", harness.sentMessages.empty());
        message.mutable_vote_request();
        harness.receive(message);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.sentMessages.size());
        const ReplicaMessage &reply = harness.sentMessages.back();
        CPPUNIT_ASSERT_EQUAL(std::string("b"), reply.to());
        CPPUNIT_ASSERT_EQUAL(std::string("old"), reply.disk_replaced().lost_id());
        CPPUNIT_ASSERT_EQUAL(std::string("host"), reply.disk_replaced().host());
        CPPUNIT_ASSERT_EQUAL(cluster, reply.cluster());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, harness.replica.term());
    }

    // Guards against the same: of six voters one is gone and two have lost their disks.
    void lostDiskIsLeftOutOfTheNextElection()
    {
        ReplicaHarness harness(storedState("d", {"a", "b", "c", "d", "e", "f"}));
        harness.startPreVote();
        harness.grantVote("e", 1, true);
        harness.grantVote("f", 1, true);
        CPPUNIT_ASSERT(harness.replica.role() == Role::PreCandidate);
        harness.reportLostDisk("b");
        CPPUNIT_ASSERT(harness.replica.role() == Role::Candidate);
        harness.completeWrites();
        harness.grantVote("e", 1, false);
        CPPUNIT_ASSERT(harness.replica.role() == Role::Candidate);
        harness.grantVote("f", 1, false);
        CPPUNIT_ASSERT(harness.replica.role() == Role::Leader);
        harness.completeWrites();
        harness.acknowledge("e", 1);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, harness.replica.commitIndex());
        harness.acknowledge("f", 1);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, harness.replica.commitIndex());
    }

    // Guards against two leaders in one term: another candidate of the term may have the vote that the disk gave before it was lost.
    void lostDiskIsNotLeftOutOfATermThatHasStarted()
    {
        ReplicaHarness harness(storedState("d", {"a", "b", "c", "d", "e", "f"}));
        harness.startPreVote();
        for (const char *voter : {"c", "e", "f"}) {
            harness.grantVote(voter, 1, true);
        }
        CPPUNIT_ASSERT(harness.replica.role() == Role::Candidate);
        harness.completeWrites();
        harness.reportLostDisk("b");
        harness.grantVote("e", 1, false);
        harness.grantVote("f", 1, false);
        CPPUNIT_ASSERT(harness.replica.role() == Role::Candidate);
        harness.startPreVote();
        harness.grantVote("e", 2, true);
        harness.grantVote("f", 2, true);
        CPPUNIT_ASSERT(harness.replica.role() == Role::Candidate);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, harness.replica.term());
    }

    // Guards against a voter that is left out although its disk exists, because another host reports the loss or it is this replica's own disk.
    void onlyTheHostOfADiskReportsItsLoss()
    {
        ReplicaHarness harness(storedState("d", {"a", "b", "c", "d", "e", "f"}));
        harness.startPreVote();
        harness.grantVote("e", 1, true);
        harness.grantVote("f", 1, true);
        harness.reportLostDisk("b", "host-c");
        harness.reportLostDisk("unknown");
        harness.reportLostDisk("d");
        CPPUNIT_ASSERT(harness.replica.role() == Role::PreCandidate);
    }

    // Guards against the loss of a committed entry: a term that leaves out a lost voter of the membership before may share no voter with a majority of the
    // smaller membership.
    void removalNeedsAQuorumOfTheMembershipBefore()
    {
        ReplicaHarness harness(storedState("a", {"a", "b", "c", "d", "e", "f"}));
        harness.becomeLeaderWith({"b", "c", "d"});
        for (const char *voter : {"b", "c", "d", "e", "f"}) {
            harness.acknowledge(voter, 1);
        }
        harness.handle(harness.replica.changeMembership(harness.now, {1}, RemoveMember{"f"}));
        harness.completeWrites();
        harness.acknowledge("b", 2);
        harness.acknowledge("c", 2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, harness.replica.commitIndex());
        harness.acknowledge("f", 2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, harness.replica.commitIndex());
        harness.handle(harness.replica.propose(harness.now, {2}, {'x'}));
        harness.completeWrites();
        harness.acknowledge("b", 3);
        harness.acknowledge("f", 3);
        CPPUNIT_ASSERT_MESSAGE("a removed voter does not count", harness.replica.commitIndex() == 2);
        harness.acknowledge("c", 3);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, harness.replica.commitIndex());
    }

    // Guards against two leaders in one term: this replica does not know yet whether the removal has committed, and others do not know of it.
    void electionNeedsAQuorumOfTheMembershipBefore()
    {
        StoredState state = storedState("a", {"a", "b", "c", "d", "e", "f"});
        jujubequay::pb::LogEntry removal = entry(1, 1);
        *removal.mutable_membership() = voters({"a", "b", "c", "d", "e"});
        state.entries = {removal};
        state.hardState = {1, "b"};
        ReplicaHarness harness(state);
        harness.startPreVote();
        harness.grantVote("b", 2, true);
        harness.grantVote("c", 2, true);
        CPPUNIT_ASSERT(harness.replica.role() == Role::PreCandidate);
        harness.grantVote("f", 2, true);
        CPPUNIT_ASSERT(harness.replica.role() == Role::Candidate);

        state.hardState.commit = 1;
        ReplicaHarness informed(state);
        informed.startPreVote();
        informed.grantVote("b", 2, true);
        informed.grantVote("c", 2, true);
        CPPUNIT_ASSERT(informed.replica.role() == Role::Candidate);
    }

    // Guards against a removal that cannot commit because the voter to be removed is not asked any more.
    void removedVoterVotesUntilItsRemovalHasCommitted()
    {
        ReplicaHarness harness(storedState("a", {"a", "b", "c", "d"}));
        harness.becomeLeaderWith({"b", "c"});
        for (const char *voter : {"b", "c", "d"}) {
            harness.acknowledge(voter, 1);
        }
        harness.handle(harness.replica.changeMembership(harness.now, {1}, RemoveMember{"d"}));
        harness.completeWrites();
        const auto isSentToRemoved = [](const ReplicaMessage &message) {
            return message.to() == "d" && message.append_request().entries_size() == 1;
        };
        CPPUNIT_ASSERT(std::any_of(harness.sentMessages.begin(), harness.sentMessages.end(), isSentToRemoved));
        CPPUNIT_ASSERT(findMember(harness.replica.activeMembers(), "d") != nullptr);
        harness.acknowledge("b", 2);
        harness.acknowledge("d", 2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, harness.replica.commitIndex());
        CPPUNIT_ASSERT(findMember(harness.replica.activeMembers(), "d") == nullptr);
    }

    // Guards against a restarted replica that needs a quorum of a membership from long ago, because it does not know that a later one has committed.
    void commitOfAMembershipIsRecorded()
    {
        ReplicaHarness harness(storedState("a", {"a", "b", "c"}));
        harness.becomeLeader("b");
        harness.acknowledge("b", 1);
        harness.handle(harness.replica.changeMembership(harness.now, {1}, AddLearner{"new", "host-d", {}}));
        harness.completeWrites();
        harness.acknowledge("b", 2);
        harness.handle(harness.replica.tick(harness.now));
        CPPUNIT_ASSERT(harness.lastHardState.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, harness.lastHardState->commit);
    }

    void learnerIsPromotedOnlyWhenCaughtUp()
    {
        ReplicaHarness harness(storedState("a", {"a", "b", "c"}));
        harness.becomeLeader("b");
        harness.acknowledge("b", 1);
        harness.handle(harness.replica.changeMembership(harness.now, {1}, AddLearner{"new", "host-d", {}}));
        harness.completeWrites();
        harness.acknowledge("b", 2);
        CPPUNIT_ASSERT_EQUAL(1, harness.committedProposals);
        harness.handle(harness.replica.changeMembership(harness.now, {2}, PromoteLearner{"new"}));
        CPPUNIT_ASSERT(harness.proposalFailure == ResultCode::MembershipBusy);
        harness.acknowledge("new", 2);
        harness.handle(harness.replica.changeMembership(harness.now, {3}, PromoteLearner{"new"}));
        CPPUNIT_ASSERT(isVoter(harness.replica.membership(), "new"));
        CPPUNIT_ASSERT(!harness.replica.toleratesVoterLoss());
    }

    void oneMembershipChangeAtATime()
    {
        ReplicaHarness harness(storedState("a", {"a", "b", "c"}));
        harness.becomeLeader("b");
        harness.handle(harness.replica.changeMembership(harness.now, {1}, AddLearner{"d", "host-d", {}}));
        CPPUNIT_ASSERT_MESSAGE("the change is refused before an entry of this term has committed", harness.proposalFailure == ResultCode::MembershipBusy);
        harness.acknowledge("b", 1);
        harness.proposalFailure.reset();
        harness.handle(harness.replica.changeMembership(harness.now, {2}, AddLearner{"d", "host-d", {}}));
        CPPUNIT_ASSERT(!harness.proposalFailure);
        harness.handle(harness.replica.changeMembership(harness.now, {3}, AddLearner{"e", "host-e", {}}));
        CPPUNIT_ASSERT(harness.proposalFailure == ResultCode::MembershipBusy);
    }

    // Guards against a permanent loss of the majority: if a working voter is removed just after another one failed, only one of the
    // two remaining voters works.
    void workingVoterOfThreeIsNotRemoved()
    {
        ReplicaHarness harness(storedState("a", {"a", "b", "c"}));
        harness.becomeLeader("b");
        harness.acknowledge("b", 1);
        harness.acknowledge("c", 1);
        CPPUNIT_ASSERT(harness.replica.toleratesVoterLoss());
        harness.handle(harness.replica.changeMembership(harness.now, {1}, RemoveMember{"c"}));
        CPPUNIT_ASSERT(harness.proposalFailure == ResultCode::NoQuorum);
        harness.now += ReplicaOptions().electionTimeout + std::chrono::milliseconds(1);
        harness.acknowledge("b", 1);
        CPPUNIT_ASSERT(!harness.replica.toleratesVoterLoss());
        harness.proposalFailure.reset();
        harness.handle(harness.replica.changeMembership(harness.now, {2}, RemoveMember{"c"}));
        CPPUNIT_ASSERT_MESSAGE("a voter without contact can be removed", !harness.proposalFailure);
    }

    void followerRefusesProposals()
    {
        ReplicaHarness harness(storedState("a", {"a", "b", "c"}));
        harness.handle(harness.replica.propose(harness.now, {1}, {'x'}));
        CPPUNIT_ASSERT(harness.proposalFailure == ResultCode::NotLeader);
    }

    // Guards against hosts that have no state after a power failure of the whole cluster until there is a leader again.
    void appliesRecordedCommitsAfterRestart()
    {
        StoredState stored = storedState("a", {"a", "b", "c"});
        stored.entries = {entry(1, 1), entry(2, 1), entry(3, 1)};
        stored.hardState = {1, "b", 2};
        ReplicaHarness harness(stored);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, harness.replica.appliedIndex());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, harness.replica.lastIndex());
        CPPUNIT_ASSERT(harness.replica.role() == Role::Follower);
    }

    // Guards against an abort or a wrong commit index at a restart: entries up to the stored commit index can be missing after a torn write.
    void ignoresRecordedCommitBeyondLog()
    {
        StoredState stored = storedState("a", {"a", "b", "c"});
        stored.entries = {entry(1, 1)};
        stored.hardState = {1, "b", 9};
        ReplicaHarness harness(stored);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, harness.replica.commitIndex());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaTest);
