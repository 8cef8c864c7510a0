#include <jujubequay/control/control_state.h>
#include <jujubequay/control/known_hosts_reconciler.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Jujubequay;
namespace pb = jujubequay::pb;
using std::chrono::seconds;

namespace {

pb::KnownHost host(const std::string &address, bool hasServer = true)
{
    pb::KnownHost host;
    host.set_address(address);
    host.set_has_server(hasServer);
    return host;
}

KnownHosts hosts(const std::vector<pb::KnownHost> &list)
{
    KnownHosts hosts;
    for (const pb::KnownHost &host : list) {
        hosts[host.address()] = host;
    }
    return hosts;
}

Bytes logged(const pb::ChangeKnownHosts &change, const std::string &operation)
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
    CPPUNIT_TEST(keepsSilentHostsUntilTheyAreForgotten);
    CPPUNIT_TEST(forgetsAnAgentWhoseServerHasEnded);
    CPPUNIT_TEST(notesThatAnAgentHasNoServerAnyMore);
    CPPUNIT_TEST(newLeaderCountsSilenceAnew);
    CPPUNIT_TEST(waitsBetweenChanges);
    CPPUNIT_TEST(survivesASnapshot);
    CPPUNIT_TEST(refusesAnAddressThatCannotBeRead);
    CPPUNIT_TEST_SUITE_END();

    KnownHostsReconciler m_keeper{{}};
    TimePoint m_now{seconds(100)};

public:
    void addsHostsThatAreNew()
    {
        const auto change = m_keeper.next(m_now, hosts({host(agentA)}), hosts({host(agentA), host(balancer, false)}), {});
        CPPUNIT_ASSERT(change.has_value());
        CPPUNIT_ASSERT_EQUAL(1, change->added_size());
        CPPUNIT_ASSERT_EQUAL(balancer, change->added(0).address());
        CPPUNIT_ASSERT_EQUAL(0, change->removed_size());
    }

    /// A cut or a restart of all control hosts makes agents silent that still hold flows.
    void keepsSilentHostsUntilTheyAreForgotten()
    {
        const KnownHosts known = hosts({host(agentA), host(agentB)});
        const KnownHosts present = hosts({host(agentA)});
        CPPUNIT_ASSERT(!m_keeper.next(m_now, known, present, {}));
        CPPUNIT_ASSERT(!m_keeper.next(m_now + seconds(29), known, present, {}));
        const auto change = m_keeper.next(m_now + seconds(30), known, present, {});
        CPPUNIT_ASSERT(change.has_value());
        CPPUNIT_ASSERT_EQUAL(agentB, change->removed(0));
    }

    /// Otherwise each restart within half a minute of a scale-in would wait for servers that do not exist.
    void forgetsAnAgentWhoseServerHasEnded()
    {
        const auto change = m_keeper.next(m_now, hosts({host(agentA), host(agentB)}), hosts({host(agentA)}), {agentB});
        CPPUNIT_ASSERT(change.has_value());
        CPPUNIT_ASSERT_EQUAL(agentB, change->removed(0));
    }

    /// kpa-quay, trouble-1: control hosts waited 3 s for the servers of agents that had outlived them.
    void notesThatAnAgentHasNoServerAnyMore()
    {
        const auto change = m_keeper.next(m_now, hosts({host(agentA)}), hosts({host(agentA, false)}), {agentA});
        CPPUNIT_ASSERT(change.has_value());
        CPPUNIT_ASSERT_EQUAL(1, change->added_size());
        CPPUNIT_ASSERT(!change->added(0).has_server());
        CPPUNIT_ASSERT_EQUAL(0, change->removed_size());
    }

    /// A host that leads again after a minute has not heard what happened in between.
    void newLeaderCountsSilenceAnew()
    {
        const KnownHosts known = hosts({host(agentA)});
        CPPUNIT_ASSERT(!m_keeper.next(m_now, known, {}, {}));
        m_keeper.reset();
        CPPUNIT_ASSERT(!m_keeper.next(m_now + seconds(60), known, {}, {}));
    }

    void waitsBetweenChanges()
    {
        CPPUNIT_ASSERT(m_keeper.isDue(m_now));
        CPPUNIT_ASSERT(m_keeper.next(m_now, {}, hosts({host(agentA)}), {}));
        CPPUNIT_ASSERT(!m_keeper.isDue(m_now + std::chrono::milliseconds(499)));
        CPPUNIT_ASSERT(m_keeper.isDue(m_now + std::chrono::milliseconds(500)));
    }

    /// A control host that starts from a snapshot must know whom to tell.
    void survivesASnapshot()
    {
        ControlState state;
        pb::ChangeKnownHosts change;
        *change.add_added() = host(agentA);
        *change.add_added() = host(agentB);
        CPPUNIT_ASSERT_EQUAL(0U, state.apply(logged(change, "first")).result());
        pb::ChangeKnownHosts removal;
        removal.add_removed(agentA);
        CPPUNIT_ASSERT_EQUAL(0U, state.apply(logged(removal, "second")).result());
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

    void refusesAnAddressThatCannotBeRead()
    {
        ControlState state;
        pb::ChangeKnownHosts change;
        *change.add_added() = host("nowhere");
        CPPUNIT_ASSERT(state.apply(logged(change, "first")).result() != 0);
        CPPUNIT_ASSERT(state.knownHosts().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KnownHostsReconcilerTest);
