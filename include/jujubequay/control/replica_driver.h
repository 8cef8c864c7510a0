#pragma once

#include <jujubequay/consensus/replica.h>
#include <jujubequay/control/control_state.h>
#include <jujubequay/core/clock.h>
#include <jujubequay/core/error.h>

#include <control.pb.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>

namespace Jujubequay {

/// Executes the effects of a Replica: writes to storage, applies committed commands to the ControlState and calls the handlers of
/// proposals. Used on the control thread only.
class ReplicaDriver
{
public:
    struct Handlers {
        std::function<void(const jujubequay::pb::ReplicaMessage &)> send;
        std::function<void()> membershipChanged;
        std::function<void(bool toleratesVoterLoss)> redundancyChanged;
        /// This host has become or stopped being the leader of a term.
        std::function<void(std::uint64_t term, bool isLeader)> leadershipChanged;
        /// The disk of a voter no longer exists.
        std::function<void(const Consensus::VoterDiskLost &)> voterDiskLost;
        /// The storage has failed or is damaged; the process must stop. The driver does nothing afterwards.
        std::function<void(const Failure &)> storageFailed;
    };
    using AnswerHandler = std::function<void(const jujubequay::pb::CommandAnswer &)>;
    using ReadHandler = std::function<void(ResultCode)>;

    ReplicaDriver(const Clock &clock,
                  Consensus::LogStorage &storage,
                  Consensus::StoredState stored,
                  const Consensus::ReplicaOptions &options,
                  std::mt19937_64 &random,
                  Handlers handlers);

    /// Call it once, before any other function.
    void start();
    void step(const jujubequay::pb::ReplicaMessage &message);
    void tick();
    /// Calls the handler once the command is applied, or with the reason why it was not. OutcomeUnknown: it may still be applied.
    void propose(const jujubequay::pb::LoggedCommand &command, AnswerHandler handler);
    void changeMembership(const Consensus::MembershipChange &change, AnswerHandler handler);
    /// Calls the handler with Ok once a majority has confirmed that the applied state is current.
    void confirmState(ReadHandler handler);

    const ControlState &state() const;
    const Consensus::Replica &replica() const;

private:
    void run(Consensus::Effects effects);
    void executeEffect(const Consensus::Effect &effect);
    void write(const Consensus::Effect &effect);
    void apply(const Consensus::Apply &effect);
    void restore(const Consensus::RestoreState &effect);
    void finishProposal(const Consensus::ProposalCommitted &effect);
    void finishProposal(const Consensus::ProposalFailed &effect);
    void finishRead(Consensus::ReadId id, ResultCode code);
    AnswerHandler takeProposal(Consensus::ProposalId id);

    const Clock &m_clock;
    Consensus::LogStorage &m_storage;
    Consensus::Replica m_replica;
    Handlers m_handlers;
    ControlState m_state;
    std::deque<Consensus::Effect> m_queue;
    bool m_isRunning = false;
    bool m_hasStorageFailed = false;
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, AnswerHandler> m_proposals;
    std::map<std::uint64_t, ReadHandler> m_reads;
    std::map<std::uint64_t, jujubequay::pb::CommandAnswer> m_answers; // answers to the last applied entries, by log index
};

}
