#include <jujubequay/control/config_snapshot.h>
#include <jujubequay/control/flow_record_store.h>

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <set>

using namespace Jujubequay;
namespace pb = jujubequay::pb;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t earlierServer = 0x80000010U;
constexpr std::uint32_t laterServer = 0x80000020U;
constexpr std::uint64_t wallMs = 1'790'000'000'000;

std::string agentAddress(unsigned number)
{
    return fmt::format("10.1.{}.{}:8172", number / 250, number % 250 + 1);
}

pb::FlowRecord flowRecord(unsigned number)
{
    pb::FlowRecord record;
    record.set_caller_ip(0x64400000U + number);
    record.set_caller_port(1024 + number % 1000);
    record.set_service_ip(0xC6120001U);
    record.set_service_port(443);
    record.set_acknowledgement(number * 2000);
    return record;
}

pb::FlowRecords openFlows(std::uint32_t incarnation, unsigned first, unsigned count)
{
    pb::FlowRecords records;
    records.set_incarnation(incarnation);
    for (unsigned number = first; number < first + count; ++number) {
        *records.add_open() = flowRecord(number);
    }
    return records;
}

}

class FlowRecordStoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FlowRecordStoreTest);
    CPPUNIT_TEST(endsIdleFlowsAfterALossOfPowerOfAllHosts);
    CPPUNIT_TEST(keepsTheFlowsOfARunningServer);
    CPPUNIT_TEST(doesNotEndFlowsThatWereClosed);
    CPPUNIT_TEST(forgetsAgentsThatDoNotReturn);
    CPPUNIT_TEST(refusesMalformedRecords);
    CPPUNIT_TEST(refusesOldAndTornFiles);
    CPPUNIT_TEST(boundsTheNumberOfFlows);
    CPPUNIT_TEST_SUITE_END();

    TimePoint m_now{seconds(100)};

    void announce(LeaseRegistry &registry, unsigned agent, std::uint32_t incarnation)
    {
        pb::ServerEntry entry;
        entry.set_name(agentAddress(agent));
        entry.set_relay_address(agentAddress(agent));
        entry.set_service("inspect-desk");
        entry.set_zone("dar-ubungo");
        entry.set_incarnation(incarnation);
        entry.set_sequence(1);
        entry.set_agent_epoch(incarnation);
        entry.set_state(pb::SERVER_STATE_SERVING);
        CPPUNIT_ASSERT_EQUAL(0U, registry.announce(m_now, wallMs, agent, entry).result());
    }

    static LeaseRegistry registry()
    {
        return {"control-a", 1, LeaseOptions()};
    }

    template<class Operation>
    static std::string failureOf(Operation operation)
    {
        return handleFailure(
            [&]() -> Result<std::string> {
                BOOST_LEAF_CHECK(operation());
                return std::string("no failure");
            },
            [](const Failure &failure) {
                return failure.detail;
            });
    }

    void receive(FlowRecordStore &store, unsigned agent, const pb::FlowRecords &records) const
    {
        CPPUNIT_ASSERT_EQUAL(std::string("no failure"), failureOf([&] {
                                 return store.receive(agentAddress(agent), records);
                             }));
    }

public:
    /// Load: all hosts lose power while thousands of callers keep flows open between their requests. Neither servers nor agents nor
    /// registrars remember the flows, so each caller would lose its next request, which it may not be able to repeat.
    void endsIdleFlowsAfterALossOfPowerOfAllHosts()
    {
        constexpr unsigned agentCount = 200;
        constexpr unsigned flowsPerAgent = 18;
        FlowRecordStore before({});
        for (unsigned agent = 0; agent < agentCount; ++agent) {
            receive(before, agent, openFlows(earlierServer + agent, agent * flowsPerAgent, flowsPerAgent));
        }
        FlowRecordStore after({});
        CPPUNIT_ASSERT(after.load(m_now, wallMs + 2000, before.toFile(wallMs)));
        LeaseRegistry servers = registry();
        CPPUNIT_ASSERT(after.tick(m_now, servers).empty());
        for (unsigned agent = 0; agent < agentCount; ++agent) {
            announce(servers, agent, laterServer + 1000 + agent);
        }
        std::set<std::uint32_t> callers;
        for (const EndedFlows &ended : after.tick(m_now, servers)) {
            for (const pb::FlowRecord &flow : ended.flows.open()) {
                callers.insert(flow.caller_ip());
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{agentCount} * flowsPerAgent, callers.size());
        // Datagrams may be lost, so each report is repeated once.
        CPPUNIT_ASSERT(after.tick(m_now + milliseconds(100), servers).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{agentCount}, after.tick(m_now + milliseconds(250), servers).size());
        CPPUNIT_ASSERT(after.tick(m_now + seconds(1), servers).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, after.flowCount());
    }

    /// Only the agent restarts: its server still owns the flows.
    void keepsTheFlowsOfARunningServer()
    {
        FlowRecordStore store({});
        receive(store, 1, openFlows(earlierServer, 0, 3));
        store.streamEnded(m_now, agentAddress(1));
        LeaseRegistry servers = registry();
        announce(servers, 1, unconfirmedIncarnation.value);
        CPPUNIT_ASSERT(store.tick(m_now, servers).empty());
        announce(servers, 1, earlierServer);
        CPPUNIT_ASSERT(store.tick(m_now, servers).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, store.flowCount());
    }

    void doesNotEndFlowsThatWereClosed()
    {
        FlowRecordStore store({});
        receive(store, 1, openFlows(earlierServer, 0, 3));
        pb::FlowRecords change = openFlows(earlierServer, 7, 1);
        *change.add_closed() = flowRecord(1);
        receive(store, 1, change);
        LeaseRegistry servers = registry();
        announce(servers, 1, laterServer);
        const auto ended = store.tick(m_now, servers);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended.size());
        std::set<std::uint32_t> callers;
        for (const pb::FlowRecord &flow : ended[0].flows.open()) {
            callers.insert(flow.caller_ip() - 0x64400000U);
        }
        CPPUNIT_ASSERT((std::set<std::uint32_t>{0, 2, 7}) == callers);
        // The server that has taken its place reports its own flows meanwhile.
        receive(store, 1, openFlows(laterServer, 20, 2));
        store.tick(m_now + seconds(1), servers);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, store.flowCount());
    }

    /// Guards against old records that end a later flow with the same addresses and ports.
    void forgetsAgentsThatDoNotReturn()
    {
        FlowRecordStore store({});
        receive(store, 1, openFlows(earlierServer, 0, 3));
        store.streamEnded(m_now, agentAddress(1));
        LeaseRegistry servers = registry();
        store.tick(m_now + seconds(20), servers);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, store.flowCount());
        store.tick(m_now + seconds(21), servers);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, store.flowCount());
    }

    void refusesMalformedRecords()
    {
        FlowRecordStore store({});
        const auto receiving = [&store](const std::string &agent, const pb::FlowRecords &records) {
            return failureOf([&] {
                return store.receive(agent, records);
            });
        };
        CPPUNIT_ASSERT(receiving("agent", openFlows(earlierServer, 0, 1)).find("agent \"agent\"") != std::string::npos);
        CPPUNIT_ASSERT(receiving(agentAddress(1), openFlows(0, 0, 1)).find("incarnation 0") != std::string::npos);
        pb::FlowRecords badPort = openFlows(earlierServer, 0, 1);
        badPort.mutable_open(0)->set_caller_port(70000);
        CPPUNIT_ASSERT_EQUAL(std::string("port 70000 exceeds 65535"), receiving(agentAddress(1), badPort));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, store.flowCount());
    }

    void refusesOldAndTornFiles()
    {
        FlowRecordStore store({});
        receive(store, 1, openFlows(earlierServer, 0, 3));
        const std::string file = store.toFile(wallMs);
        const auto loading = [this](std::uint64_t now, const std::string &bytes) {
            FlowRecordStore loaded({});
            return failureOf([&] {
                return loaded.load(m_now, now, bytes);
            });
        };
        CPPUNIT_ASSERT_EQUAL(std::string("no failure"), loading(wallMs + 59'000, file));
        CPPUNIT_ASSERT_EQUAL(std::string("no failure"), loading(wallMs - 9000, file));
        CPPUNIT_ASSERT_EQUAL(std::string("flow records were saved 61000 ms ago, more than 60000 ms"), loading(wallMs + 61'000, file));
        CPPUNIT_ASSERT(loading(wallMs, file.substr(0, file.size() - 3)).find("are not a file of flow records") != std::string::npos);
    }

    void boundsTheNumberOfFlows()
    {
        FlowRecordStore store({.maxFlows = 300});
        receive(store, 1, openFlows(earlierServer, 0, 290));
        CPPUNIT_ASSERT_EQUAL(FlowRecordSet::maxFlows, store.flowCount());
        const std::string failure = failureOf([&] {
            return store.receive(agentAddress(2), openFlows(earlierServer, 0, 45));
        });
        CPPUNIT_ASSERT_EQUAL(fmt::format("45 flows of agent {} exceed the limit of 300 flows", agentAddress(2)), failure);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowRecordStoreTest);
