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
    std::size_t hosts = 3; ///< with a disk; the first `voters` found the cluster
    std::size_t voters = 3;
    ReplicaOptions replica;
    Duration maxSyncDelay = std::chrono::milliseconds(5);
    std::size_t stateBytes = 300; ///< size of a snapshot's state
    double clockSkew = 0.05; ///< clocks run faster or slower by up to this share
    bool verifyCommits = true; ///< reads the disks of all voters at each acknowledgement
};

/// What happened in a run; the same seed gives the same events.
struct FakeClusterCounts {
    std::uint64_t events = 0;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< of messages, with their frames
    std::uint64_t elections = 0;
    std::uint64_t crashes = 0;
    std::uint64_t lostDisks = 0;
    std::uint64_t damagedDisks = 0;
    std::uint64_t installs = 0;
    std::uint64_t reads = 0;
    std::uint64_t membershipChanges = 0;
};

/// Replicas over fakes for network, disk and clock, driven by one event queue. Everything is checked by a SafetyChecker.
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
    /// True if the condition holds before `time` has passed.
    bool runUntil(const std::function<bool()> &condition, Duration time);
    Duration now() const;
    void at(Duration delay, std::function<void()> action);

    std::size_t hostCount() const;
    Replica *replica(std::size_t host);
    FakeDisk &disk(std::size_t host);
    const std::string &identityOf(std::size_t host) const;
    /// The running leader with the highest term.
    std::optional<std::size_t> leader();
    /// The leader reports that a loss can be borne, and no lost disk is left among the voters.
    bool mayLoseDisk();

    /// The command is different from all earlier ones. Returns its number.
    std::uint64_t propose(std::size_t host, std::size_t bytes = 8);
    void read(std::size_t host);
    void change(std::size_t host, const MembershipChange &change);
    void crash(std::size_t host);
    /// Starts a crashed host; one with a damaged disk gets a new one. No effect on a running host.
    void restart(std::size_t host);
    /// Crashes a host and replaces its disk by an empty one, initialised under a new identity.
    void loseDisk(std::size_t host);
    /// Flips one bit in a file of a crashed host. The disk counts as lost, unless nothing that is used has changed.
    void flipBit(std::size_t host);
    void freeze(std::size_t host);
    void thaw(std::size_t host);
    bool isFrozen(std::size_t host) const;
    /// Ends all faults, and starts all hosts.
    void heal();
    /// Adds, promotes and removes members until exactly the given hosts are voters; one change per call.
    void repair(const std::vector<std::size_t> &wanted);
    /// All wanted hosts are voters and have applied everything.
    bool isConverged(const std::vector<std::size_t> &wanted);

    FakeNetwork network;
    SafetyChecker safetyChecker;
    FakeClusterCounts counts;
    std::mt19937_64 random;
    /// Called before each message is sent, each disk write and each event; for tests that place a fault at a step.
    std::function<void(std::size_t host, std::string_view step)> onStep;

private:
    struct Host;
    struct EffectVisitor;
    struct Event {
        Duration time;
        std::uint64_t number;
        std::function<void()> action;
    };

    TimePoint hostTime(std::size_t host) const;
    void initialise(std::size_t host, const jujubequay::pb::Membership &founders);
    void carryOut(std::size_t host, const Effects &effects);
    void carryOut(std::size_t host, const Effect &effect);
    void transmit(std::size_t host, const jujubequay::pb::ReplicaMessage &message);
    void deliver(std::size_t host, const jujubequay::pb::ReplicaMessage &message);
    void scheduleTick(std::size_t host);
    void writeNext(std::size_t host);
    void apply(std::size_t host, const std::vector<jujubequay::pb::LogEntry> &entries);
    void restore(std::size_t host, const RestoreState &effect);
    void takeSnapshot(std::size_t host);
    void committed(std::size_t host, const ProposalCommitted &effect);
    void checkDurable(std::size_t host, std::uint64_t index);
    std::optional<StoredState> durableState(std::size_t host);
    /// Runs an action on a running host; a frozen host runs it when it thaws.
    void onHost(std::size_t host, std::function<void()> action);
    void announce(std::size_t host, std::string_view step);

    const FakeClusterOptions m_options;
    Duration m_now{};
    std::uint64_t m_eventNumber = 0;
    std::vector<Event> m_events; // heap
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::map<std::string, std::size_t> m_hostOfIdentity;
    std::uint64_t m_nextId = 1;
    std::map<std::uint64_t, std::string> m_commands;
    std::map<std::uint64_t, std::uint64_t> m_reads; // read, last acknowledged index when it was requested
};

}
