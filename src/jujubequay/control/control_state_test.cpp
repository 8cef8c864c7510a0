#include <jujubequay/control/control_state.h>

#include <cppunit/extensions/HelperMacros.h>

#include "control_test_support.h"

using namespace Jujubequay;
namespace pb = jujubequay::pb;

namespace {

constexpr const char *address = "127.0.0.1:4433";

std::string contentOf(std::uint64_t version)
{
    return CommandBuilder::content("inspect-desk", version, address);
}

ControlState restored(const ControlState &state, const ControlState::Options &options = {})
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

}

class ControlStateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ControlStateTest);
    CPPUNIT_TEST(rollsASignedBundle);
    CPPUNIT_TEST(racingProposalsHaveOneWinner);
    CPPUNIT_TEST(resendGetsTheFirstAnswerAfterRestart);
    CPPUNIT_TEST(operationOlderThanTheKeptAnswersIsRefused);
    CPPUNIT_TEST(lowerVersionNeedsARollBack);
    CPPUNIT_TEST(refusedCommandsChangeNothing);
    CPPUNIT_TEST(rollBackNeedsACurrentSigner);
    CPPUNIT_TEST(flowKeyInUseIsNotRetired);
    CPPUNIT_TEST(oldBundlesAreDroppedAndTheirVersionsStayTaken);
    CPPUNIT_TEST(damagedSnapshotIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_state = ControlState();
        apply(m_anna.setSigner("*"));
    }

    void rollsASignedBundle()
    {
        apply(m_anna.propose(contentOf(1)));
        applyExpecting(ResultCode::NotSigned, m_anna.roll("inspect-desk", 1));
        apply(m_anna.sign("inspect-desk", 1, contentOf(1)));
        const auto answer = apply(m_anna.roll("inspect-desk", 1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, answer.revision());
        const auto delta = m_state.configAfter(0, 0, {});
        CPPUNIT_ASSERT_EQUAL(1, delta.services_size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, delta.services(0).service_id());
        CPPUNIT_ASSERT_EQUAL(0, m_state.configAfter(1, 0, {}).services_size());
        CPPUNIT_ASSERT(m_state.mayAnnounce("inspect-desk", "inspect-desk-1"));
        CPPUNIT_ASSERT(!m_state.mayAnnounce("inspect-desk", "cert-vault-1"));
    }

    // Guards against two operators whose different content is accepted for the same version.
    void racingProposalsHaveOneWinner()
    {
        apply(m_anna.propose(contentOf(1)));
        const auto answer = applyExpecting(ResultCode::VersionConflict, m_juma.propose(contentOf(1)));
        CPPUNIT_ASSERT_EQUAL(std::string("anna"), answer.winner());
        apply(m_anna.sign("inspect-desk", 1, contentOf(1)));
        apply(m_anna.roll("inspect-desk", 1));
        rollOut(m_anna, 2);
        const auto raced = applyExpecting(ResultCode::VersionConflict, m_juma.roll("inspect-desk", 1, true, 1));
        CPPUNIT_ASSERT_EQUAL(std::string("anna"), raced.winner());
    }

    // Guards against an operation that runs twice because its answer was lost, also after a restart from a snapshot.
    void resendGetsTheFirstAnswerAfterRestart()
    {
        const Bytes accepted = m_anna.propose(contentOf(1));
        const Bytes conflicting = m_juma.propose(contentOf(1));
        const auto first = m_state.apply(accepted);
        const auto second = m_state.apply(conflicting);
        ControlState after = restored(m_state);
        CPPUNIT_ASSERT_EQUAL(first.SerializeAsString(), after.apply(accepted).SerializeAsString());
        CPPUNIT_ASSERT_EQUAL(second.SerializeAsString(), after.apply(conflicting).SerializeAsString());
        CPPUNIT_ASSERT(m_state.snapshot() == after.snapshot());
    }

    // Guards against an old operation that runs again once its answer is no longer kept.
    void operationOlderThanTheKeptAnswersIsRefused()
    {
        ControlState::Options options;
        options.keptOperations = 4;
        m_state = ControlState(options);
        const Bytes old = m_anna.setSigner("*");
        apply(old);
        for (std::uint64_t count = 1; count <= 4; ++count) {
            CPPUNIT_ASSERT_EQUAL(0U, m_state.apply(old).result());
            m_juma.setOperationsSeen(count);
            apply(m_juma.setSigner("*"));
        }
        applyExpecting(ResultCode::OperationExpired, old);
        m_state = restored(m_state, options);
        applyExpecting(ResultCode::OperationExpired, old);
        m_juma.setOperationsSeen(99);
        applyExpecting(ResultCode::BadRequest, m_juma.setSigner("*"));
    }

    // Guards against a roll that accidentally reinstates an older version.
    void lowerVersionNeedsARollBack()
    {
        rollOut(m_anna, 1);
        rollOut(m_anna, 3);
        applyExpecting(ResultCode::StaleRevision, m_anna.roll("inspect-desk", 1));
        applyExpecting(ResultCode::StaleRevision, m_anna.roll("inspect-desk", 3));
        applyExpecting(ResultCode::StaleRevision, m_anna.propose(contentOf(2)));
        const auto answer = apply(m_anna.roll("inspect-desk", 1, true));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, answer.revision());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_state.configAfter(2, 0, {}).services(0).version());
    }

    // Guards against an invalid bundle or command that changes the bundles in force or proposed.
    void refusedCommandsChangeNothing()
    {
        rollOut(m_anna, 1);
        pb::StatusAnswer before;
        m_state.fillStatus(before);
        applyExpecting(ResultCode::BadBundle, m_anna.propose("no bundle"));
        applyExpecting(ResultCode::BadBundle, m_anna.propose(CommandBuilder::content("inspect-desk", 2, "127.0.0.1:99999")));
        applyExpecting(ResultCode::BadBundle, m_anna.propose(CommandBuilder::content("Inspect Desk", 2, address)));
        applyExpecting(ResultCode::BadBundle, m_anna.propose(CommandBuilder::content("inspect-desk", 0, address)));
        applyExpecting(ResultCode::UnknownSigner, m_juma.sign("inspect-desk", 1, contentOf(1)));
        applyExpecting(ResultCode::BadSignature, m_anna.sign("inspect-desk", 1, contentOf(2)));
        applyExpecting(ResultCode::UnknownBundle, m_anna.roll("inspect-desk", 7));
        applyExpecting(ResultCode::UnknownService, m_anna.roll("cert-vault", 1));
        applyExpecting(ResultCode::BadRequest, Bytes{1, 2, 3});
        pb::StatusAnswer after;
        m_state.fillStatus(after);
        after.set_operations_seen(before.operations_seen());
        CPPUNIT_ASSERT_EQUAL(before.SerializeAsString(), after.SerializeAsString());

        // If two services had the same address, packets would be delivered to the wrong service.
        const std::string other = CommandBuilder::content("cert-vault", 1, address);
        apply(m_anna.propose(other));
        apply(m_anna.sign("cert-vault", 1, other));
        applyExpecting(ResultCode::BadBundle, m_anna.roll("cert-vault", 1));
    }

    // Guards against a roll back to a bundle whose only signer was removed.
    void rollBackNeedsACurrentSigner()
    {
        apply(m_juma.setSigner("inspect-desk"));
        rollOut(m_juma, 1);
        rollOut(m_anna, 2);
        apply(m_juma.removeSigner("inspect-desk"));
        applyExpecting(ResultCode::NotSigned, m_anna.roll("inspect-desk", 1, true));
        apply(m_anna.sign("inspect-desk", 1, contentOf(1)));
        apply(m_anna.roll("inspect-desk", 1, true));
    }

    // Guards against flow identifiers that cannot be decoded because their key was retired.
    void flowKeyInUseIsNotRetired()
    {
        apply(m_anna.addFlowKey(0, true));
        applyExpecting(ResultCode::BadRequest, m_anna.addFlowKey(1, true));
        apply(m_anna.addFlowKey(1, false));
        applyExpecting(ResultCode::StaleRevision, m_anna.activateFlowKey(1, {"balancer-a"}));
        applyExpecting(ResultCode::FlowKeyInUse, m_anna.retireFlowKey(0, {}));
        apply(m_anna.activateFlowKey(1, {}));
        applyExpecting(ResultCode::FlowKeyInUse, m_anna.retireFlowKey(0, {0}));
        apply(m_anna.retireFlowKey(0, {1}));
        CPPUNIT_ASSERT_EQUAL(1, m_state.configAfter(0, 0, {}).flow_keys_size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, m_state.flowKeyRevision());
    }

    // Guards against state that grows with each roll, and against a version that is proposed again with other content.
    void oldBundlesAreDroppedAndTheirVersionsStayTaken()
    {
        ControlState::Options options;
        options.keptSuperseded = 2;
        m_state = ControlState(options);
        apply(m_juma.setSigner("*"));
        for (std::uint64_t version = 1; version <= 5; ++version) {
            rollOut(m_juma, version);
        }
        pb::StatusAnswer status;
        m_state.fillStatus(status);
        CPPUNIT_ASSERT_EQUAL(3, status.bundles_size());
        applyExpecting(ResultCode::VersionConflict, m_anna.propose(contentOf(1)));
        applyExpecting(ResultCode::UnknownBundle, m_anna.roll("inspect-desk", 1, true));
    }

    // Guards against a start from a snapshot with a bundle that differs from the signed content.
    void damagedSnapshotIsRefused()
    {
        rollOut(m_anna, 1);
        Bytes bytes = m_state.snapshot();
        const std::string serverName = "inspect-desk-*";
        const auto found = std::search(bytes.begin(), bytes.end(), serverName.begin(), serverName.end());
        CPPUNIT_ASSERT(found != bytes.end());
        *found = 'x';
        CPPUNIT_ASSERT(!ControlState::restore(bytes, {}));
    }

private:
    pb::CommandAnswer applyExpecting(ResultCode code, const Bytes &command)
    {
        auto answer = m_state.apply(command);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.detail(), resultName(code), resultName(resultOf(answer)));
        return answer;
    }

    pb::CommandAnswer apply(const Bytes &command)
    {
        return applyExpecting(ResultCode::Ok, command);
    }

    void rollOut(CommandBuilder &by, std::uint64_t version)
    {
        apply(by.propose(contentOf(version)));
        apply(by.sign("inspect-desk", version, contentOf(version)));
        apply(by.roll("inspect-desk", version));
    }

    ControlState m_state;
    CommandBuilder m_anna{"anna"};
    CommandBuilder m_juma{"juma"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlStateTest);
