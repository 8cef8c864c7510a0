#include <jujubequay/control/control_state.h>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <optional>
#include <random>
#include <set>

#include "control_test_support.h"

using namespace Jujubequay;
namespace pb = jujubequay::pb;

namespace {

const std::vector<std::string> services{"inspect-desk", "cert-vault"};
constexpr std::uint64_t versions = 6;
constexpr int operatorCount = 4;

ControlState restored(const ControlState &state, const ControlState::Options &options)
{
    return handleFailure(
        [&]() -> Result<ControlState> {
            return ControlState::restore(state.snapshot(), options);
        },
        [](const Failure &failure) {
            CPPUNIT_FAIL(failure.detail);
            return ControlState();
        });
}

/// One operation as observed by its operator. Times are steps of the run.
struct Operation {
    Bytes bytes;
    pb::Command command;
    std::string operatorName;
    int invokedAt = 0;
    std::optional<int> answeredAt;
    pb::CommandAnswer answer;
};

bool isOk(const Operation &operation)
{
    return operation.answeredAt && operation.answer.result() == 0;
}

/// Several replicas that apply one log at different speeds, and operators that race, lose answers and resend commands.
class RandomRun
{
public:
    explicit RandomRun(unsigned seed)
        : m_random(seed)
        , m_seed(seed)
    {
        m_options.keptOperations = seed % 2 == 0 ? 16 : 16384;
        m_options.keptSuperseded = 4;
        for (int index = 0; index < 3; ++index) {
            m_replicas.push_back({ControlState(m_options), 0, {}});
        }
        for (int index = 0; index < operatorCount; ++index) {
            m_operators.emplace_back(fmt::format("operator-{}", index));
            invoke(index, m_operators.back().setSigner("*"));
        }
    }

    void run()
    {
        for (m_now = 1; m_now < 400; ++m_now) {
            step(m_random() % 10);
        }
        // Append late duplicates of all operations, then let all replicas catch up.
        for (std::size_t index = 0; index < m_operations.size(); ++index) {
            append(index);
        }
        for (Replica &replica : m_replicas) {
            while (replica.applied < m_log.size()) {
                apply(replica);
            }
            check(replica.state.snapshot() == m_replicas[0].state.snapshot(), "replicas are equal");
        }
        checkVersions();
        checkRolls();
    }

private:
    struct Replica {
        ControlState state;
        std::size_t applied;
        std::map<std::string, std::uint64_t> inForce;
    };

    void check(bool holds, const std::string &what) const
    {
        CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}: {}", m_seed, what), holds);
    }

    std::uint64_t below(std::uint64_t limit)
    {
        return m_random() % limit;
    }

    void step(std::uint64_t kind)
    {
        Replica &replica = m_replicas[below(m_replicas.size())];
        if (kind < 3) {
            invokeRandomCommand();
        } else if (kind < 5) {
            append(below(m_operations.size()));
        } else if (kind < 9) {
            apply(replica);
        } else if (below(2) == 0) {
            replica.state = restored(replica.state, m_options);
        } else {
            // A replica with a new disk starts from the snapshot of another replica.
            const Replica &other = m_replicas[below(m_replicas.size())];
            replica = {restored(other.state, m_options), other.applied, other.inForce};
        }
    }

    void invokeRandomCommand()
    {
        const auto number = static_cast<int>(below(operatorCount));
        CommandBuilder &by = m_operators[static_cast<std::size_t>(number)];
        by.setOperationsSeen(m_replicas[below(m_replicas.size())].state.operationsApplied());
        const std::string &service = services[below(services.size())];
        const std::uint64_t version = 1 + below(versions);
        const std::string address = service == services[0] ? "127.0.0.1:1" : "127.0.0.1:2";
        // Each operator proposes different content for the same version.
        const auto content = [&](std::uint64_t author) {
            pb::BundleContent bundle;
            bundle.ParseFromString(CommandBuilder::content(service, version, address));
            bundle.set_description(fmt::format("by {}", author));
            return bundle.SerializeAsString();
        };
        switch (below(5)) {
        case 0:
            return invoke(number, by.propose(content(static_cast<std::uint64_t>(number))));
        case 1:
        case 2:
            return invoke(number, by.sign(service, version, content(below(operatorCount))));
        case 3:
            return invoke(number, by.roll(service, version));
        default:
            return invoke(number, by.roll(service, version, true));
        }
    }

    void invoke(int number, Bytes bytes)
    {
        pb::LoggedCommand logged;
        logged.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
        Operation operation;
        operation.command.ParseFromString(logged.command());
        operation.bytes = std::move(bytes);
        operation.operatorName = fmt::format("operator-{}", number);
        operation.invokedAt = m_now;
        m_operations.push_back(std::move(operation));
        append(m_operations.size() - 1);
    }

    void append(std::size_t index)
    {
        if (below(4) != 0) { // the other commands are lost before they reach the log
            m_log.push_back(index);
        }
    }

    void apply(Replica &replica)
    {
        if (replica.applied == m_log.size()) {
            return;
        }
        Operation &operation = m_operations[m_log[replica.applied++]];
        const std::uint64_t revision = replica.state.revision();
        const pb::CommandAnswer answer = replica.state.apply(operation.bytes);
        if (replica.state.revision() != revision) {
            recordRoll(replica, operation);
        }
        const bool isLost = below(3) == 0;
        const bool isExpired = resultOf(answer) == ResultCode::OperationExpired;
        if (operation.answeredAt) {
            check(isExpired || answer.SerializeAsString() == operation.answer.SerializeAsString(), "a resend gets the first answer");
        } else if (!isLost && !isExpired) {
            operation.answeredAt = m_now;
            operation.answer = answer;
        }
    }

    void recordRoll(Replica &replica, const Operation &operation)
    {
        const pb::RollBundle &roll = operation.command.roll();
        std::uint64_t &inForce = replica.inForce[roll.service()];
        check(roll.version() > inForce || roll.roll_back(), "only a roll back goes to a lower version");
        inForce = roll.version();
        const auto [known, isNew] = m_operationByRevision.try_emplace(replica.state.revision(), operation.command.operation_id());
        check(known->second == operation.command.operation_id(), "a revision belongs to one operation");
        if (isNew) {
            check(m_rolledOperations.insert(operation.command.operation_id()).second, "a roll runs once");
        }
    }

    // Each version is a write-once register. The history is linearizable if one proposal wins, each conflict names it, and it was
    // invoked before the conflict was answered.
    void checkVersions() const
    {
        std::map<std::pair<std::string, std::uint64_t>, const Operation *> winners;
        for (const Operation &operation : m_operations) {
            if (operation.command.has_propose() && isOk(operation)) {
                check(winners.try_emplace(keyOf(operation), &operation).second, "one proposal wins a version");
            }
        }
        for (const Operation &operation : m_operations) {
            const bool isConflict = operation.command.has_propose() && operation.answeredAt && resultOf(operation.answer) == ResultCode::VersionConflict;
            if (!isConflict || operation.answer.winner().empty()) {
                continue;
            }
            const auto winner = winners.find(keyOf(operation));
            if (winner != winners.end()) {
                check(winner->second->operatorName == operation.answer.winner(), "a conflict names the winner");
                check(winner->second->answer.digest() == operation.answer.digest(), "a conflict has the digest of the winner");
                check(winner->second->invokedAt <= *operation.answeredAt, "the winner was invoked before the conflict was answered");
            }
        }
    }

    void checkRolls() const
    {
        for (const Operation &first : m_operations) {
            for (const Operation &second : m_operations) {
                const bool areRolls = first.command.has_roll() && second.command.has_roll() && isOk(first) && isOk(second);
                if (areRolls && *first.answeredAt < second.invokedAt) {
                    check(first.answer.revision() < second.answer.revision(), "a later roll has a higher revision");
                }
            }
        }
    }

    static std::pair<std::string, std::uint64_t> keyOf(const Operation &operation)
    {
        pb::BundleContent content;
        content.ParseFromString(operation.command.propose().content());
        return {content.service(), content.version()};
    }

    std::mt19937_64 m_random;
    unsigned m_seed;
    ControlState::Options m_options;
    std::vector<Replica> m_replicas;
    std::vector<CommandBuilder> m_operators;
    std::vector<Operation> m_operations;
    std::vector<std::size_t> m_log;
    std::map<std::uint64_t, std::string> m_operationByRevision; // identity of the operation that produced a revision
    std::set<std::string> m_rolledOperations;
    int m_now = 0;
};

enum class Fault : std::uint8_t {
    None,
    AnswerLost,
    RepeatedAtOnce,
    RepeatedAtEnd,
    RestartBefore,
    RestartAfter,
    ConflictBefore,
    ConflictAfter,
    NewReplica,
    Count
};

}

class ControlRandomTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ControlRandomTest);
    CPPUNIT_TEST(randomHistoriesAreLinearizable);
    CPPUNIT_TEST(singleFaultsDoNotChangeTheOutcome);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against double execution, two winners of one version and accidental reverts under lost messages, resends and restarts.
    void randomHistoriesAreLinearizable()
    {
        for (unsigned seed = 1; seed <= 300; ++seed) {
            RandomRun(seed).run();
        }
    }

    // Guards against a single fault at any step of a roll-out that changes its outcome.
    void singleFaultsDoNotChangeTheOutcome()
    {
        constexpr std::size_t steps = 8; // propose, sign and roll of two versions, roll back, roll forward
        for (std::size_t step = 0; step < steps; ++step) {
            for (int fault = 0; fault < static_cast<int>(Fault::Count); ++fault) {
                runScript(step, static_cast<Fault>(fault));
            }
        }
    }

private:
    static std::string contentOf(std::uint64_t version)
    {
        return CommandBuilder::content("inspect-desk", version, "127.0.0.1:4433");
    }

    static void runScript(std::size_t faultStep, Fault fault)
    {
        CommandBuilder anna("anna");
        CommandBuilder juma("juma");
        std::vector<Bytes> script;
        for (const std::uint64_t version : {1, 2}) {
            script.push_back(anna.propose(contentOf(version)));
            script.push_back(anna.sign("inspect-desk", version, contentOf(version)));
            script.push_back(anna.roll("inspect-desk", version, false, version - 1));
        }
        script.push_back(anna.roll("inspect-desk", 1, true, 2));
        script.push_back(anna.roll("inspect-desk", 2, false, 1));

        ControlState state;
        ControlState follower;
        std::vector<Bytes> log;
        const auto apply = [&](const Bytes &command) {
            log.push_back(command);
            return state.apply(command);
        };
        CPPUNIT_ASSERT_EQUAL(0U, apply(anna.setSigner("*")).result());
        for (std::size_t step = 0; step < script.size(); ++step) {
            const std::string where = fmt::format("step {} fault {}", step, static_cast<int>(fault));
            const bool isHere = step == faultStep;
            if (isHere && fault == Fault::ConflictBefore) {
                // Another operator repeats the previous step with a new operation identity, which must be refused.
                const Bytes conflict = step < 1 ? juma.roll("inspect-desk", 1) : conflictingCommand(script[step - 1], juma);
                CPPUNIT_ASSERT_MESSAGE(where, apply(conflict).result() != 0);
            }
            if (isHere && fault == Fault::RestartBefore) {
                state = restored(state, {});
            }
            const pb::CommandAnswer first = apply(script[step]);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(where + first.detail(), 0U, first.result());
            if (isHere && fault == Fault::RestartAfter) {
                state = restored(state, {});
            }
            if (isHere && fault == Fault::NewReplica) {
                follower = restored(state, {});
                log.clear();
            }
            if (isHere && (fault == Fault::AnswerLost || fault == Fault::RepeatedAtOnce || fault == Fault::RestartAfter)) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(where, first.SerializeAsString(), apply(script[step]).SerializeAsString());
            }
            if (isHere && fault == Fault::ConflictAfter) {
                CPPUNIT_ASSERT_MESSAGE(where, apply(conflictingCommand(script[step], juma)).result() != 0);
            }
        }
        if (fault == Fault::RepeatedAtEnd) {
            apply(script[faultStep]);
        }
        for (const Bytes &command : log) {
            follower.apply(command);
        }
        const auto inForce = state.configAfter(0, 0, {});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, inForce.revision());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, inForce.services(0).version());
        CPPUNIT_ASSERT(follower.snapshot() == state.snapshot());
    }

    /// The same command from another operator, who is not a signer, with the same expected version.
    static Bytes conflictingCommand(const Bytes &bytes, CommandBuilder &rival)
    {
        pb::LoggedCommand logged;
        logged.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
        pb::Command command;
        command.ParseFromString(logged.command());
        if (command.has_propose()) {
            return rival.propose(command.propose().content());
        }
        if (command.has_sign()) {
            return rival.sign(command.sign().service(), command.sign().version(), contentOf(command.sign().version()));
        }
        const pb::RollBundle &roll = command.roll();
        return rival.roll(roll.service(), roll.version(), roll.roll_back(), roll.expected_version());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlRandomTest);
