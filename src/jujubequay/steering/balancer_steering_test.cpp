#include <jujubequay/steering/balancer_steering.h>

#include <cppunit/extensions/HelperMacros.h>

#include "steering_test_support.h"

using namespace Jujubequay;
using namespace Jujubequay::SteeringTest;
using std::chrono::milliseconds;
using std::chrono::seconds;

class BalancerSteeringTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BalancerSteeringTest);
    CPPUNIT_TEST(dropsPacketsUntilItIsReady);
    CPPUNIT_TEST(placesAFlowAndKeepsItThere);
    CPPUNIT_TEST(sendsTheSecondCopyToAnotherServer);
    CPPUNIT_TEST(refusesAddressesWithoutARoute);
    CPPUNIT_TEST(refusesWhenNoServerTakesFlows);
    CPPUNIT_TEST(asksTheHomeForUnknownFlows);
    CPPUNIT_TEST(marksSearchesOfAShortList);
    CPPUNIT_TEST(followsOwnerNotices);
    CPPUNIT_TEST(resetsFlowsOfAReplacedServer);
    CPPUNIT_TEST(keepsFlowsOfAServerThatIsConfirmedLater);
    CPPUNIT_TEST(keepsFlowsOfAServerThatFellOutOfTheList);
    CPPUNIT_TEST(resetsFlowsOfAServerThatEnded);
    CPPUNIT_TEST(avoidsALoadedServer);
    CPPUNIT_TEST(spreadsABurstBetweenNotices);
    CPPUNIT_TEST(leavesOutAServerThatRefuses);
    CPPUNIT_TEST(usesAllServersWhenMostRefuse);
    CPPUNIT_TEST(dropsPacketsThatOnlyServersSend);
    CPPUNIT_TEST_SUITE_END();

    TimePoint m_now{seconds(100)};

    BalancerSteering steering(const Snapshots &snapshots) const
    {
        BalancerSteering steering({.zone = "zone-a", .noticeAddress = balancerAddress(1)});
        steering.update(m_now, snapshots.build());
        return steering;
    }

    HostAddress relayed(const BalancerDecision &decision) const
    {
        const auto *relay = std::get_if<RelayToAgent>(&decision);
        CPPUNIT_ASSERT(relay != nullptr);
        return relay->agent;
    }

    SteerCause resetCause(const BalancerDecision &decision) const
    {
        const auto *reset = std::get_if<ResetCaller>(&decision);
        CPPUNIT_ASSERT(reset != nullptr);
        return reset->cause;
    }

public:
    void dropsPacketsUntilItIsReady()
    {
        BalancerSteering steering({.zone = "zone-a", .noticeAddress = balancerAddress(1)});
        CPPUNIT_ASSERT(std::holds_alternative<DropPacket>(steering.decide(m_now, opening(flow(1)))));
        ConfigSnapshot withoutServers = Snapshots().build();
        withoutServers.hasRegistry = false;
        steering.update(m_now, withoutServers);
        CPPUNIT_ASSERT(!steering.isReady());
    }

    void placesAFlowAndKeepsItThere()
    {
        BalancerSteering steering = this->steering(Snapshots().server(1).server(2).server(3, "vault"));
        const HostAddress agent = relayed(steering.decide(m_now, opening(flow(1))));
        CPPUNIT_ASSERT(agent == agentAddress(1) || agent == agentAddress(2));
        steering.notice(m_now, LoadNotice{agent, 9, 9, 3, true});
        CPPUNIT_ASSERT(agent == relayed(steering.decide(m_now + milliseconds(200), opening(flow(1), 1))));
        CPPUNIT_ASSERT(agent == relayed(steering.decide(m_now + milliseconds(250), data(flow(1), 5))));
    }

    /// A server that has answered neither the packet nor its first copy may be gone.
    void sendsTheSecondCopyToAnotherServer()
    {
        BalancerSteering steering = this->steering(Snapshots().server(1).server(2));
        const HostAddress agent = relayed(steering.decide(m_now, opening(flow(1))));
        steering.notice(m_now, LoadNotice{agent, 0, 0, 3, true});
        CPPUNIT_ASSERT(agent != relayed(steering.decide(m_now + milliseconds(600), opening(flow(1), 2))));
    }

    void refusesAddressesWithoutARoute()
    {
        BalancerSteering steering = this->steering(Snapshots().route(vaultAddress, "").server(1).server(2, "vault"));
        CPPUNIT_ASSERT(resetCause(steering.decide(m_now, opening(flow(1, vaultAddress)))) == SteerCause::NoRoute);
    }

    void refusesWhenNoServerTakesFlows()
    {
        BalancerSteering steering = this->steering(Snapshots().server(1, "feed", ServerAvailability::Draining).server(2, "vault"));
        CPPUNIT_ASSERT(resetCause(steering.decide(m_now, opening(flow(1)))) == SteerCause::NoServer);
    }

    /// The fabric may move any flow to a balancer that has not seen it.
    void asksTheHomeForUnknownFlows()
    {
        BalancerSteering steering = this->steering(Snapshots().server(1).server(2).server(3));
        const BalancerDecision decision = steering.decide(m_now, data(flow(7), 5));
        CPPUNIT_ASSERT(relayed(decision) == steering.directory().home(flow(7)));
        CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).header.wantsOwner);
        CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).header.balancer == balancerAddress(1));
    }

    /// The home in a list that is still filling may not be the home of the flow.
    void marksSearchesOfAShortList()
    {
        Snapshots snapshots;
        snapshots.server(1).server(2);
        BalancerSteering steering = this->steering(snapshots);
        CPPUNIT_ASSERT(!std::get<RelayToAgent>(steering.decide(m_now, data(flow(7), 5))).header.isSearchPartial);
        steering.update(m_now, snapshots.incomplete().build());
        CPPUNIT_ASSERT(std::get<RelayToAgent>(steering.decide(m_now, data(flow(7), 5))).header.isSearchPartial);
    }

    void followsOwnerNotices()
    {
        BalancerSteering steering = this->steering(Snapshots().server(1).server(2).server(3));
        for (std::uint32_t number = 1; number <= 3; ++number) {
            steering.notice(m_now, OwnerNotice{flow(7), agentAddress(number)});
            CPPUNIT_ASSERT(relayed(steering.decide(m_now, data(flow(7), 5))) == agentAddress(number));
        }
    }

    /// A caller of a server that has ended can try elsewhere only once it knows.
    void resetsFlowsOfAReplacedServer()
    {
        Snapshots snapshots;
        snapshots.server(1);
        BalancerSteering steering = this->steering(snapshots);
        steering.decide(m_now, opening(flow(1)));
        steering.update(m_now, snapshots.incarnation(1, 777).build());
        const BalancerDecision decision = steering.decide(m_now, data(flow(1), 55));
        CPPUNIT_ASSERT(resetCause(decision) == SteerCause::ServerReplaced);
        CPPUNIT_ASSERT_EQUAL(55U, std::get<ResetCaller>(decision).sequence);
    }

    /// A restarted agent announces its server before the server's own announcement names the start.
    void keepsFlowsOfAServerThatIsConfirmedLater()
    {
        Snapshots snapshots;
        snapshots.server(1).incarnation(1, unconfirmedIncarnation.value);
        BalancerSteering steering = this->steering(snapshots);
        steering.decide(m_now, opening(flow(1)));
        steering.update(m_now, snapshots.incarnation(1, 777).build());
        CPPUNIT_ASSERT(relayed(steering.decide(m_now, data(flow(1), 5))) == agentAddress(1));
    }

    void keepsFlowsOfAServerThatFellOutOfTheList()
    {
        Snapshots snapshots;
        snapshots.server(1).server(2);
        BalancerSteering steering = this->steering(snapshots);
        const HostAddress agent = relayed(steering.decide(m_now, opening(flow(1))));
        steering.update(m_now, snapshots.without(agent == agentAddress(1) ? 1 : 2).build());
        CPPUNIT_ASSERT(relayed(steering.decide(m_now, data(flow(1), 5))) == agent);
    }

    void avoidsALoadedServer()
    {
        BalancerSteering steering = this->steering(Snapshots().server(2).server(4));
        steering.notice(m_now, LoadNotice{agentAddress(2), 12, 40, 3, true});
        steering.notice(m_now, LoadNotice{agentAddress(4), 0, 40, 3, true});
        for (std::uint16_t port = 1; port <= 9; ++port) {
            CPPUNIT_ASSERT(relayed(steering.decide(m_now, opening(flow(port)))) == agentAddress(4));
        }
    }

    /// Loads are 250 ms old at worst; a burst within that time must not go to one server.
    void spreadsABurstBetweenNotices()
    {
        BalancerSteering steering = this->steering(Snapshots().server(2).server(4).server(6));
        for (std::uint32_t number : {2U, 4U, 6U}) {
            steering.notice(m_now, LoadNotice{agentAddress(number), 0, 10, 3, true});
        }
        std::map<HostAddress, int> placed;
        for (std::uint16_t port = 1; port <= 60; ++port) {
            ++placed[relayed(steering.decide(m_now, opening(flow(port))))];
        }
        for (const auto &entry : placed) {
            CPPUNIT_ASSERT(entry.second >= 18 && entry.second <= 22);
        }
    }

    void dropsPacketsThatOnlyServersSend()
    {
        BalancerSteering steering = this->steering(Snapshots().server(1));
        Segment accepted = opening(flow(1));
        accepted.isAck = true;
        CPPUNIT_ASSERT(std::holds_alternative<DropPacket>(steering.decide(m_now, accepted)));
        CPPUNIT_ASSERT(std::holds_alternative<DropPacket>(steering.decide(m_now, returned(opening(flow(1))))));
    }

    void leavesOutAServerThatRefuses()
    {
        BalancerSteering steering = this->steering(Snapshots().server(2).server(4).server(6));
        steering.notice(m_now, LoadNotice{agentAddress(2), 0, 0, 3, false});
        for (std::uint16_t port = 1; port <= 20; ++port) {
            CPPUNIT_ASSERT(relayed(steering.decide(m_now, opening(flow(port)))) != agentAddress(2));
        }
    }

    /// Guards against sending everything to the last server that looks well.
    void usesAllServersWhenMostRefuse()
    {
        BalancerSteering steering = this->steering(Snapshots().server(2).server(4).server(6));
        steering.notice(m_now, LoadNotice{agentAddress(2), 0, 0, 3, false});
        steering.notice(m_now, LoadNotice{agentAddress(4), 0, 0, 3, false});
        std::map<HostAddress, int> placed;
        for (std::uint16_t port = 1; port <= 30; ++port) {
            ++placed[relayed(steering.decide(m_now, opening(flow(port))))];
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, placed.size());
    }

    void resetsFlowsOfAServerThatEnded()
    {
        Snapshots snapshots;
        BalancerSteering steering = this->steering(snapshots.server(1));
        steering.decide(m_now, opening(flow(1)));
        steering.update(m_now, snapshots.server(2).departed(1).build());
        CPPUNIT_ASSERT(resetCause(steering.decide(m_now, data(flow(1), 55))) == SteerCause::ServerReplaced);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BalancerSteeringTest);
