#include <jujubequay/control/control_state.h>
#include <jujubequay/control/route_table.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Jujubequay;
namespace pb = jujubequay::pb;

namespace {

constexpr std::uint32_t callerIp = 0xC6120001U;

void addRoute(pb::RouteTable &table, const std::string &name, std::uint16_t port, const std::string &service, std::uint32_t weight = 1)
{
    pb::Route &route = *table.add_routes();
    route.set_name(name);
    route.set_ip(callerIp);
    route.set_port(port);
    route.set_timeout_ms(1000);
    pb::WeightedService &target = *route.add_services();
    target.set_service(service);
    target.set_weight(weight);
}

pb::RouteTable table(std::uint64_t version)
{
    pb::RouteTable table;
    table.set_version(version);
    addRoute(table, "feed", 443, "desk");
    addRoute(table, "vault", 8443, "vault");
    return table;
}

bool isAccepted(const pb::RouteTable &table)
{
    return handleFailure(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(checkRouteTable(table, {"desk", "vault"}));
            return true;
        },
        [](const Failure &failure) {
            CPPUNIT_ASSERT(failure.code == ResultCode::BadBundle);
            return false;
        });
}

Bytes command(const std::string &operation, const pb::RouteTable &table, const std::string &document)
{
    pb::Command command;
    command.set_operation_id(operation);
    *command.mutable_replace_routes()->mutable_table() = table;
    command.mutable_replace_routes()->set_document(document);
    pb::LoggedCommand logged;
    logged.set_command(command.SerializeAsString());
    const std::string bytes = logged.SerializeAsString();
    return {bytes.begin(), bytes.end()};
}

}

class RouteTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouteTableTest);
    CPPUNIT_TEST(findsRoutesByAddress);
    CPPUNIT_TEST(splitsFlowsByWeight);
    CPPUNIT_TEST(refusesInvalidTables);
    CPPUNIT_TEST(highestVersionStaysInForce);
    CPPUNIT_TEST(snapshotKeepsTheTable);
    CPPUNIT_TEST(deltaHasTheTableOnlyAfterAChange);
    CPPUNIT_TEST(servicesWithTheSameShortKeyDiffer);
    CPPUNIT_TEST_SUITE_END();

public:
    void findsRoutesByAddress()
    {
        const RouteTable routes(table(7));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, routes.version());
        CPPUNIT_ASSERT_EQUAL(std::string("vault"), routes.find({callerIp, 8443})->name);
        CPPUNIT_ASSERT(routes.find({callerIp, 80}) == nullptr);
        CPPUNIT_ASSERT(routes.find({callerIp, 443})->hasService(serviceKey("desk")));
        CPPUNIT_ASSERT(!routes.find({callerIp, 443})->hasService(serviceKey("vault")));
    }

    void splitsFlowsByWeight()
    {
        pb::RouteTable split = table(1);
        split.mutable_routes(0)->mutable_services(0)->set_weight(90);
        pb::WeightedService &second = *split.mutable_routes(0)->add_services();
        second.set_service("vault");
        second.set_weight(10);
        const RouteTable routes(split);
        int vaultFlows = 0;
        for (std::uint64_t hash = 0; hash < 1000; ++hash) {
            vaultFlows += routes.find({callerIp, 443})->serviceFor(hash).name == "vault" ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(100, vaultFlows);
    }

    void refusesInvalidTables()
    {
        CPPUNIT_ASSERT(isAccepted(table(1)));
        CPPUNIT_ASSERT(!isAccepted(table(0)));
        pb::RouteTable unknownService = table(1);
        addRoute(unknownService, "other", 80, "nowhere");
        CPPUNIT_ASSERT(!isAccepted(unknownService));
        pb::RouteTable duplicateAddress = table(1);
        addRoute(duplicateAddress, "other", 443, "desk");
        CPPUNIT_ASSERT(!isAccepted(duplicateAddress));
        pb::RouteTable zeroWeight = table(1);
        zeroWeight.mutable_routes(0)->mutable_services(0)->set_weight(0);
        CPPUNIT_ASSERT(!isAccepted(zeroWeight));
        pb::RouteTable zeroTimeout = table(1);
        zeroTimeout.mutable_routes(0)->set_timeout_ms(0);
        CPPUNIT_ASSERT(!isAccepted(zeroTimeout));
    }

    /// Operators may race and resend: a table with a lower version, or with the same version and other content, is accepted without
    /// effect.
    void highestVersionStaysInForce()
    {
        ControlState state;
        const auto apply = [&state](const std::string &operation, std::uint64_t version, const std::string &document) {
            CPPUNIT_ASSERT_EQUAL(0U, state.apply(command(operation, table(version), document)).result());
        };
        apply("one", 5, "five");
        apply("two", 3, "three");
        apply("three", 5, "another five");
        CPPUNIT_ASSERT_EQUAL(std::string("five"), state.routes().document());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, state.revision());
        apply("four", 9, "nine");
        CPPUNIT_ASSERT_EQUAL(std::string("nine"), state.routes().document());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, state.revision());
    }

    void snapshotKeepsTheTable()
    {
        ControlState state;
        state.apply(command("one", table(5), "five"));
        const Bytes bytes = state.snapshot();
        const bool isSame = handleFailure(
            [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(restored, ControlState::restore(bytes, {}));
                return restored.routes().document() == "five" && restored.snapshot() == bytes;
            },
            [](const Failure &) {
                return false;
            });
        CPPUNIT_ASSERT(isSame);
    }

    void deltaHasTheTableOnlyAfterAChange()
    {
        ControlState state;
        state.apply(command("one", table(5), "five"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, state.configAfter(0, 0, {}).routes().version());
        CPPUNIT_ASSERT(!state.configAfter(1, 0, {}).has_routes());
    }

    // Guards against two services that are taken for one because a short hash of their names is the same.
    void servicesWithTheSameShortKeyDiffer()
    {
        const ServiceKey first = serviceKey("bigu74s");
        const ServiceKey second = serviceKey("dasi72o");
        CPPUNIT_ASSERT_EQUAL(first.shortKey, second.shortKey);
        CPPUNIT_ASSERT(first != second && !identifies(first, second) && !identifies(second, first));
        CPPUNIT_ASSERT(identifies(first, serviceKey("bigu74s")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableTest);
