#pragma once

#include <jujubequay/consensus/disk_log_storage.h>
#include <jujubequay/consensus/replica.h>
#include <jujubequay/consensus_testing/fake_disk.h>
#include <jujubequay/consensus_testing/fake_network.h>
#include <jujubequay/consensus_testing/safety_checker.h>

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Jujubequay::Consensus {

struct FakeClusterOptions {
    std::uint64_t seed = 1;
    std::size_t hosts = 3; ///< hosts with a disk; those that are not voters join later or not at all
    std::size_t voters = 3; ///< the first `voters` hosts are the initial voters of the cluster
    ReplicaOptions replica;
    Duration maxSyncDelay = std::chrono::milliseconds(5);
    std::size_t snapshotStateBytes = 300; ///< size of the serialized state in a snapshot
    double clockSkew = 0.05; ///< maximum deviation of the rate of a host's clock, as a fraction
    bool verifyCommits = true; ///< checks on the disks of all voters, at each committed proposal, that a majority has stored it
};

/// Counts of what happened in a run. Runs with the same seed have the same counts.
struct FakeClusterCounts {
    std::uint64_t events = 0;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< size of the messages, including their frame headers
    std::uint64_t elections = 0;
    std::uint64_t crashes = 0;
    std::uint64_t lostDisks = 0;
    std::uint64_t damagedDisks = 0;
    std::uint64_t installedSnapshots = 0; ///< snapshots that replaced a state with applied entries
    std::uint64_t confirmedReads = 0;
    std::uint64_t membershipChanges = 0; ///< committed membership changes, counted at each replica
};

/// Simulates a cluster: replicas with fake network, disks and clocks, driven by one event queue. A SafetyChecker checks the invariants of the
/// replicated log.
class FakeCluster
{
public:
    explicit FakeCluster(const FakeClusterOptions &options);
    ~FakeCluster();
    FakeCluster(const FakeCluster &) = delete;
    FakeCluster &operator=(const FakeCluster &) = delete;

    /// Handles the next event.
    void step();
    void run(Duration time);
    /// Runs until the condition is true, for at most `time`. Returns whether the condition was reached.
    bool runUntil(const std::function<bool()> &condition, Duration time);
    Duration now() const;
    /// Time on the clock of a host, which its replica uses.
    TimePoint hostTime(std::size_t host) const;
    /// Adds an event that runs `action` after `delay`.
    void schedule(Duration delay, std::function<void()> action);

    std::size_t hostCount() const;
    /// The replica of a running host; nullptr if the host is down.
    Replica *replica(std::size_t host);
    FakeDisk &disk(std::size_t host);
    /// Identity of the current disk of a host.
    const std::string &identityOf(std::size_t host) const;
    /// The leader with the highest term among the hosts that run and are not frozen; no value if there is none.
    std::optional<std::size_t> leader();
    /// True if the leader reports that the cluster tolerates the loss of any one voter, and no voter has lost its disk.
    bool toleratesDiskLoss();

    /// Proposes a command that differs from all earlier ones, at least 8 bytes long. Returns the number of the proposal.
    std::uint64_t propose(std::size_t host, std::size_t bytes = 8);
    /// Requests a linearizable read; checks when it is confirmed that the host has applied every proposal acknowledged before the request.
    void read(std::size_t host);
    void changeMembership(std::size_t host, const MembershipChange &change);
    /// Ends the process of a host; a random part of the data that its disk has not synced is lost. No effect on a host that is down.
    void crash(std::size_t host);
    /// Starts a crashed host; a damaged disk is replaced by a new one. No effect on a running host.
    void restart(std::size_t host);
    /// Crashes a host and replaces its disk by an empty one, which is initialised with a new identity.
    void loseDisk(std::size_t host);
    /// Flips one random bit in a file of a crashed host. The disk counts as lost, unless a restart would still load the same state.
    void flipBit(std::size_t host);
    /// Pauses the process of a host: its timeouts are skipped, and messages and completed writes are deferred until `thaw`.
    void freeze(std::size_t host);
    void thaw(std::size_t host);
    bool isFrozen(std::size_t host) const;
    /// Ends all faults and starts all hosts that are down.
    void heal();
    /// Proposes membership changes towards a cluster in which exactly `wantedVoters` are members and voters. At most one change can be pending, so call
    /// it repeatedly.
    void repair(const std::vector<std::size_t> &wantedVoters);
    /// True if `wantedVoters` are the only members, are voters and have applied all entries.
    bool isConverged(const std::vector<std::size_t> &wantedVoters);

    FakeNetwork network;
    SafetyChecker safetyChecker;
    FakeClusterCounts counts;
    std::mt19937_64 random;
    /// Called at each step of a host: "send" before a message is sent, "deliver" before one is delivered, "write" before a disk write and "stored" after
    /// one. For tests that inject a fault at a certain step.
    std::function<void(std::size_t host, std::string_view step)> onStep;

private:
    struct Host;
    struct EffectVisitor;
    struct Event {
        Duration time;
        std::uint64_t number; // orders events of the same time
        std::function<void()> action;
    };

    void initialise(std::size_t host, const jujubequay::pb::Membership &initialMembership);
    void carryOut(std::size_t host, const Effects &effects);
    void carryOut(std::size_t host, const Effect &effect);
    void transmit(std::size_t host, const jujubequay::pb::ReplicaMessage &message);
    void deliver(std::size_t host, const jujubequay::pb::ReplicaMessage &message);
    void scheduleTick(std::size_t host);
    void writeNext(std::size_t host);
    void apply(std::size_t host, const std::vector<jujubequay::pb::LogEntry> &entries);
    void restore(std::size_t host, const RestoreState &effect);
    void takeSnapshot(std::size_t host);
    void handleCommitted(std::size_t host, const ProposalCommitted &effect);
    void checkDurableOnMajority(std::size_t host, std::uint64_t index);
    /// The state that a restart would load if all data that is not synced were lost; no value if the disk is damaged.
    std::optional<StoredState> durableState(std::size_t host);
    /// Runs an action on a running host. A frozen host defers it until it is thawed; a host that is down drops it.
    void onHost(std::size_t host, std::function<void()> action);
    void reportStep(std::size_t host, std::string_view step);

    const FakeClusterOptions m_options;
    Duration m_now{};
    std::uint64_t m_eventNumber = 0;
    std::vector<Event> m_events; // heap, next event first
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::map<std::string, std::size_t> m_hostByIdentity;
    std::uint64_t m_nextId = 1; // number of the next proposal, read or membership change
    std::map<std::uint64_t, std::string> m_pendingCommands; // command by proposal
    std::map<std::uint64_t, std::uint64_t> m_pendingReads; // by read: last acknowledged index at the time of the request
};

}
