#include <jujubequay/control/control_state.h>
#include <jujubequay/control/known_hosts_reconciler.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Jujubequay;
namespace pb = jujubequay::pb;
using std::chrono::seconds;

namespace {

pb::KnownHost makeKnownHost(const std::string &address, bool hasServer = true)
{
    pb::KnownHost host;
    host.set_address(address);
    host.set_has_server(hasServer);
    return host;
}

KnownHosts makeKnownHosts(const std::vector<pb::KnownHost> &list)
{
    KnownHosts hosts;
    for (const pb::KnownHost &host : list) {
        hosts[host.address()] = host;
    }
    return hosts;
}

Bytes serializedCommand(const pb::ChangeKnownHosts &change, const std::string &operation)
{
    pb::Command command;
    command.set_operation_id(operation);
    *command.mutable_change_known_hosts() = change;
    pb::LoggedCommand logged;
    logged.set_command(command.SerializeAsString());
    Bytes bytes(logged.ByteSizeLong());
    logged.SerializeWithCachedSizesToArray(bytes.data());
    return bytes;
}

const std::string agentA = "10.0.0.1:8172";
const std::string agentB = "10.0.0.2:8172";
const std::string balancer = "10.0.0.3:7720";

}

class KnownHostsReconcilerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(KnownHostsReconcilerTest);
    CPPUNIT_TEST(addsHostsThatAreNew);
    CPPUNIT_TEST(keepsAbsentHostsUntilTheTimeout);
    CPPUNIT_TEST(removesAnAgentWhoseServerHasLeft);
    CPPUNIT_TEST(updatesAnAgentThatHasNoServerAnyMore);
    CPPUNIT_TEST(newLeaderRestartsAbsenceTimeouts);
    CPPUNIT_TEST(waitsForTheIntervalBetweenChanges);
    CPPUNIT_TEST(snapshotKeepsKnownHosts);
    CPPUNIT_TEST(refusesAnAddressThatCannotBeParsed);
    CPPUNIT_TEST_SUITE_END();

    KnownHostsReconciler m_reconciler{{}};
    TimePoint m_now{seconds(100)};

public:
    void addsHostsThatAreNew()
    {
        const auto change = m_reconciler.nextChange(
            m_now, makeKnownHosts({makeKnownHost(agentA)}), makeKnownHosts({makeKnownHost(agentA), makeKnownHost(balancer, false)}), {});
        CPPUNIT_ASSERT(change.has_value());
        CPPUNIT_ASSERT_EQUAL(1, change->added_size());
        CPPUNIT_ASSERT_EQUAL(balancer, change->added(0).address());
        CPPUNIT_ASSERT_EQUAL(0, change->removed_size());
    }

    /// After a partition, or a restart of all control hosts, agents that still own flows may be absent for a while.
    void keepsAbsentHostsUntilTheTimeout()
    {
        const KnownHosts known = makeKnownHosts({makeKnownHost(agentA), makeKnownHost(agentB)});
        const KnownHosts current = makeKnownHosts({makeKnownHost(agentA)});
        CPPUNIT_ASSERT(!m_reconciler.nextChange(m_now, known, current, {}));
        CPPUNIT_ASSERT(!m_reconciler.nextChange(m_now + seconds(29), known, current, {}));
        const auto change = m_reconciler.nextChange(m_now + seconds(30), known, current, {});
        CPPUNIT_ASSERT(change.has_value());
        CPPUNIT_ASSERT_EQUAL(agentB, change->removed(0));
    }

    /// Otherwise control hosts that restart soon after a scale-in would wait for servers that no longer exist.
    void removesAnAgentWhoseServerHasLeft()
    {
        const auto change
            = m_reconciler.nextChange(m_now, makeKnownHosts({makeKnownHost(agentA), makeKnownHost(agentB)}), makeKnownHosts({makeKnownHost(agentA)}), {agentB});
        CPPUNIT_ASSERT(change.has_value());
        CPPUNIT_ASSERT_EQUAL(agentB, change->removed(0));
    }

    /// Guards against restarted control hosts that wait for servers that have ended while their agents kept running.
    void updatesAnAgentThatHasNoServerAnyMore()
    {
        const auto change = m_reconciler.nextChange(m_now, makeKnownHosts({makeKnownHost(agentA)}), makeKnownHosts({makeKnownHost(agentA, false)}), {agentA});
        CPPUNIT_ASSERT(change.has_value());
        CPPUNIT_ASSERT_EQUAL(1, change->added_size());
        CPPUNIT_ASSERT(!change->added(0).has_server());
        CPPUNIT_ASSERT_EQUAL(0, change->removed_size());
    }

    /// While a host was not the leader, it did not observe which known hosts were absent.
    void newLeaderRestartsAbsenceTimeouts()
    {
        const KnownHosts known = makeKnownHosts({makeKnownHost(agentA)});
        CPPUNIT_ASSERT(!m_reconciler.nextChange(m_now, known, {}, {}));
        m_reconciler.reset();
        CPPUNIT_ASSERT(!m_reconciler.nextChange(m_now + seconds(60), known, {}, {}));
    }

    void waitsForTheIntervalBetweenChanges()
    {
        CPPUNIT_ASSERT(m_reconciler.isDue(m_now));
        CPPUNIT_ASSERT(m_reconciler.nextChange(m_now, {}, makeKnownHosts({makeKnownHost(agentA)}), {}));
        CPPUNIT_ASSERT(!m_reconciler.isDue(m_now + std::chrono::milliseconds(499)));
        CPPUNIT_ASSERT(m_reconciler.isDue(m_now + std::chrono::milliseconds(500)));
    }

    /// A control host that starts from a snapshot must have the known hosts, to send start notices to them.
    void snapshotKeepsKnownHosts()
    {
        ControlState state;
        pb::ChangeKnownHosts change;
        *change.add_added() = makeKnownHost(agentA);
        *change.add_added() = makeKnownHost(agentB);
        CPPUNIT_ASSERT_EQUAL(0U, state.apply(serializedCommand(change, "first")).result());
        pb::ChangeKnownHosts removal;
        removal.add_removed(agentA);
        CPPUNIT_ASSERT_EQUAL(0U, state.apply(serializedCommand(removal, "second")).result());
        handleFailure(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(restored, ControlState::restore(state.snapshot(), {}));
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, restored.knownHosts().size());
                CPPUNIT_ASSERT(restored.knownHosts().contains(agentB));
                CPPUNIT_ASSERT(restored.snapshot() == state.snapshot());
                return {};
            },
            [](const Failure &failure) {
                CPPUNIT_FAIL(failure.detail);
            });
    }

    void refusesAnAddressThatCannotBeParsed()
    {
        ControlState state;
        pb::ChangeKnownHosts change;
        *change.add_added() = makeKnownHost("nowhere");
        CPPUNIT_ASSERT(state.apply(serializedCommand(change, "first")).result() != 0);
        CPPUNIT_ASSERT(state.knownHosts().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KnownHostsReconcilerTest);
