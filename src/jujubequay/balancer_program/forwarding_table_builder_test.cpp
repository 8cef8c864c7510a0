#include <jujubequay/balancer_program/forwarding_table_builder.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Jujubequay;

namespace {

constexpr ServiceId inspectDesk{1};
constexpr ServiceId certVault{2};

ServerSnapshot serverOf(ServiceId service, std::uint32_t number, ServerAvailability state)
{
    ServerSnapshot server;
    server.serviceId = service;
    server.relayAddress = {0x7F000100 + number, 4500};
    server.incarnation = Incarnation{number};
    server.state = state;
    return server;
}

ConfigSnapshot configOf(std::vector<ServerSnapshot> servers)
{
    ConfigSnapshot config;
    for (const ServiceId id : {inspectDesk, certVault}) {
        ServiceSnapshot service;
        service.id = id;
        service.revision = 4;
        config.services.push_back(service);
    }
    config.servers = std::move(servers);
    return config;
}

}

class ForwardingTableBuilderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ForwardingTableBuilderTest);
    CPPUNIT_TEST(onlyServingAndSuspectServersTakeNewFlows);
    CPPUNIT_TEST(unchangedServicesKeepTheirPlacementTable);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against new flows that are placed on a draining server. Guards also against an availability zone without any
    // server after many heartbeats were lost at once: suspect servers still accept new flows.
    void onlyServingAndSuspectServersTakeNewFlows()
    {
        const auto table = buildForwardingTable(configOf({serverOf(inspectDesk, 1, ServerAvailability::Serving),
                                                          serverOf(inspectDesk, 2, ServerAvailability::Draining),
                                                          serverOf(inspectDesk, 3, ServerAvailability::Suspect),
                                                          serverOf(inspectDesk, 4, ServerAvailability::Starting)}),
                                                nullptr);
        const auto &servers = table->services.at(inspectDesk).servers->servers();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, servers.size());
        CPPUNIT_ASSERT(servers[0].incarnation == Incarnation{1});
        CPPUNIT_ASSERT(servers[1].incarnation == Incarnation{3});
        CPPUNIT_ASSERT(table->services.at(certVault).servers->choose(1).first == nullptr);
    }

    // Guards against a change of one service that rebuilds the placement tables of all services, and against a placement
    // table that is kept although its servers have changed.
    void unchangedServicesKeepTheirPlacementTable()
    {
        const ServerSnapshot desk = serverOf(inspectDesk, 1, ServerAvailability::Serving);
        ServerSnapshot vault = serverOf(certVault, 2, ServerAvailability::Serving);
        const auto first = buildForwardingTable(configOf({desk, vault}), nullptr);
        vault.incarnation = Incarnation{9};
        const auto second = buildForwardingTable(configOf({vault, desk}), first);
        CPPUNIT_ASSERT(first->services.at(inspectDesk).servers == second->services.at(inspectDesk).servers);
        CPPUNIT_ASSERT(second->services.at(certVault).servers->choose(1).first->incarnation == Incarnation{9});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardingTableBuilderTest);
