#include <jujubequay/consensus/storage_writes.h>
#include <jujubequay/control/replica_driver.h>

#include <optional>

namespace Jujubequay {

namespace pb = jujubequay::pb;

namespace {

// An answer is read right after its entry was applied. The limit bounds the answers without a handler on this host.
constexpr std::size_t maxKeptAnswers = 4096;

Bytes serialized(const google::protobuf::MessageLite &message)
{
    Bytes bytes(message.ByteSizeLong());
    message.SerializeWithCachedSizesToArray(bytes.data());
    return bytes;
}

}

ReplicaDriver::ReplicaDriver(const Clock &clock,
                             Consensus::LogStorage &storage,
                             Consensus::StoredState stored,
                             const Consensus::ReplicaOptions &options,
                             std::mt19937_64 &random,
                             Handlers handlers)
    : m_clock(clock)
    , m_storage(storage)
    , m_replica(options, std::move(stored), random, clock.now())
    , m_handlers(std::move(handlers))
{
}

void ReplicaDriver::start()
{
    run(m_replica.start());
}

void ReplicaDriver::step(const pb::ReplicaMessage &message)
{
    run(m_replica.step(m_clock.now(), message));
}

void ReplicaDriver::tick()
{
    run(m_replica.tick(m_clock.now()));
}

void ReplicaDriver::propose(const pb::LoggedCommand &command, AnswerHandler handler)
{
    const Consensus::ProposalId id{++m_lastId};
    m_proposals[id.value] = std::move(handler);
    run(m_replica.propose(m_clock.now(), id, serialized(command)));
}

void ReplicaDriver::changeMembership(const Consensus::MembershipChange &change, AnswerHandler handler)
{
    const Consensus::ProposalId id{++m_lastId};
    m_proposals[id.value] = std::move(handler);
    run(m_replica.changeMembership(m_clock.now(), id, change));
}

void ReplicaDriver::confirmState(ReadHandler handler)
{
    const Consensus::ReadId id{++m_lastId};
    m_reads[id.value] = std::move(handler);
    run(m_replica.confirmRead(m_clock.now(), id));
}

const ControlState &ReplicaDriver::state() const
{
    return m_state;
}

const Consensus::Replica &ReplicaDriver::replica() const
{
    return m_replica;
}

// Handlers may call the driver again; the resulting effects are executed after those that are already queued.
void ReplicaDriver::run(Consensus::Effects effects)
{
    m_queue.insert(m_queue.end(), std::make_move_iterator(effects.begin()), std::make_move_iterator(effects.end()));
    if (m_isRunning) {
        return;
    }
    m_isRunning = true;
    while (!m_queue.empty() && !m_hasStorageFailed) {
        const Consensus::Effect effect = std::move(m_queue.front());
        m_queue.pop_front();
        executeEffect(effect);
    }
    m_isRunning = false;
}

void ReplicaDriver::executeEffect(const Consensus::Effect &effect)
{
    if (const auto *send = std::get_if<Consensus::Send>(&effect)) {
        m_handlers.send(send->message);
    } else if (const auto *applied = std::get_if<Consensus::Apply>(&effect)) {
        apply(*applied);
    } else if (const auto *restored = std::get_if<Consensus::RestoreState>(&effect)) {
        restore(*restored);
    } else if (const auto *takeSnapshot = std::get_if<Consensus::TakeSnapshot>(&effect)) {
        run(m_replica.compactLog(m_clock.now(), takeSnapshot->index, m_state.snapshot()));
    } else if (const auto *proposalCommitted = std::get_if<Consensus::ProposalCommitted>(&effect)) {
        finishProposal(*proposalCommitted);
    } else if (const auto *proposalFailed = std::get_if<Consensus::ProposalFailed>(&effect)) {
        finishProposal(*proposalFailed);
    } else if (const auto *confirmed = std::get_if<Consensus::ReadConfirmed>(&effect)) {
        finishRead(confirmed->id, ResultCode::Ok);
    } else if (const auto *refused = std::get_if<Consensus::ReadRefused>(&effect)) {
        finishRead(refused->id, refused->code);
    } else if (std::holds_alternative<Consensus::MembershipCommitted>(effect)) {
        m_handlers.membershipChanged();
    } else if (const auto *redundancy = std::get_if<Consensus::RedundancyChanged>(&effect)) {
        m_handlers.redundancyChanged(redundancy->toleratesVoterLoss);
    } else if (const auto *gained = std::get_if<Consensus::LeadershipGained>(&effect)) {
        m_handlers.leadershipChanged(gained->term, true);
    } else if (const auto *lost = std::get_if<Consensus::LeadershipLost>(&effect)) {
        m_handlers.leadershipChanged(lost->term, false);
    } else if (const auto *diskLost = std::get_if<Consensus::VoterDiskLost>(&effect)) {
        m_handlers.voterDiskLost(*diskLost);
    } else {
        write(effect);
    }
}

void ReplicaDriver::write(const Consensus::Effect &effect)
{
    const auto sequence = handleFailure(
        [&] {
            return Consensus::writeEffect(m_storage, effect);
        },
        [this](const Failure &failure) {
            m_hasStorageFailed = true;
            m_handlers.storageFailed(failure);
            return std::optional<std::uint64_t>();
        });
    if (sequence) {
        run(m_replica.onWritesDurable(m_clock.now(), *sequence));
    }
}

void ReplicaDriver::apply(const Consensus::Apply &effect)
{
    for (const pb::LogEntry &entry : effect.entries) {
        if (entry.has_command()) {
            const std::string &command = entry.command();
            m_answers[entry.index()] = m_state.apply(std::span(reinterpret_cast<const std::uint8_t *>(command.data()), command.size()));
        }
    }
    while (m_answers.size() > maxKeptAnswers) {
        m_answers.erase(m_answers.begin());
    }
}

void ReplicaDriver::restore(const Consensus::RestoreState &effect)
{
    if (effect.state.empty()) {
        return;
    }
    m_hasStorageFailed = handleFailure(
        [&]() -> Result<bool> {
            BOOST_LEAF_ASSIGN(m_state, ControlState::restore(effect.state, {}));
            return false;
        },
        [this](const Failure &failure) {
            m_handlers.storageFailed(failure);
            return true;
        });
}

ReplicaDriver::AnswerHandler ReplicaDriver::takeProposal(Consensus::ProposalId id)
{
    AnswerHandler handler = std::move(m_proposals.at(id.value));
    m_proposals.erase(id.value);
    return handler;
}

void ReplicaDriver::finishProposal(const Consensus::ProposalCommitted &effect)
{
    const AnswerHandler handler = takeProposal(effect.id);
    const auto answer = m_answers.find(effect.index);
    // A membership change is not applied to the control state, so it has no answer there.
    handler(answer == m_answers.end() ? pb::CommandAnswer() : answer->second);
}

void ReplicaDriver::finishProposal(const Consensus::ProposalFailed &effect)
{
    pb::CommandAnswer answer;
    answer.set_result(static_cast<std::uint32_t>(effect.code));
    answer.set_detail(effect.detail);
    takeProposal(effect.id)(answer);
}

void ReplicaDriver::finishRead(Consensus::ReadId id, ResultCode code)
{
    const ReadHandler handler = std::move(m_reads.at(id.value));
    m_reads.erase(id.value);
    handler(code);
}

}
