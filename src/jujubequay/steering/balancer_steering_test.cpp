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
    CPPUNIT_TEST(dropsPacketsUntilTheConfigurationIsComplete);
    CPPUNIT_TEST(relaysAFlowToTheServerThatWasChosenForIt);
    CPPUNIT_TEST(redirectsTheSecondRetransmissionToAnotherServer);
    CPPUNIT_TEST(resetsFlowsToAddressesWithoutARoute);
    CPPUNIT_TEST(resetsNewFlowsWhenNoServerAcceptsThem);
    CPPUNIT_TEST(relaysUnknownFlowsToTheFirstRegistrar);
    CPPUNIT_TEST(marksLookupsWithAnIncompleteServerList);
    CPPUNIT_TEST(followsOwnerNotices);
    CPPUNIT_TEST(resetsFlowsOfAReplacedServer);
    CPPUNIT_TEST(resetStatesWhatItIsBasedOn);
    CPPUNIT_TEST(asksARegistrarWhenTheServerOfTheSynHasEnded);
    CPPUNIT_TEST(opensANewFlowWithThePortsOfAnEndedOne);
    CPPUNIT_TEST(keepsAFlowThatACopyOfTheSynHasOpenedAtANewServer);
    CPPUNIT_TEST(opensANewFlowWithThePortsOfAFlowOfADrainingServer);
    CPPUNIT_TEST(sendsALateSynToTheOwner);
    CPPUNIT_TEST(keepsTheOwnerWhenALateSynArrives);
    CPPUNIT_TEST(sendsALateSynToTheServerOfTheFirstOne);
    CPPUNIT_TEST(neverResetsALateSynWithoutARoute);
    CPPUNIT_TEST(neverResetsARetransmittedSyn);
    CPPUNIT_TEST(neverResetsASynThatWasQueued);
    CPPUNIT_TEST(placesTheLastCopyElsewhereWhenTheOwnerIsSilent);
    CPPUNIT_TEST(rejectsANewFlowWithThePortsOfAnEarlierOneAtOnce);
    CPPUNIT_TEST(ignoresANoticeAboutAnEndedServer);
    CPPUNIT_TEST(asksARegistrarAfterContradictoryNotices);
    CPPUNIT_TEST(asksARegistrarIfTheFlowWasIdle);
    CPPUNIT_TEST(asksARegistrarAgainAfterAnIdleTime);
    CPPUNIT_TEST(asksARegistrarAfterARepeatedNoticeOfAnEarlierFlow);
    CPPUNIT_TEST(asksARegistrarIfTheNoticeMayBeAboutAnotherFlow);
    CPPUNIT_TEST(recognizesAFlowThatHasSentMuchSinceTheNotice);
    CPPUNIT_TEST(asksARegistrarIfANoticeContradictsThePlacement);
    CPPUNIT_TEST(asksARegistrarIfASynFollowedTheNotice);
    CPPUNIT_TEST(asksARegistrarIfASynFollowedTheNoticeOfASilentAgent);
    CPPUNIT_TEST(asksARegistrarWhenTheServerOfAnUnconfirmedNoticeHasEnded);
    CPPUNIT_TEST(keepsFlowsOfAServerThatIsNewerThanTheList);
    CPPUNIT_TEST(keepsFlowsOfAServerThatIsConfirmedLater);
    CPPUNIT_TEST(keepsFlowsOfAnUnlistedServer);
    CPPUNIT_TEST(resetsFlowsOfADeregisteredServer);
    CPPUNIT_TEST(avoidsALoadedServer);
    CPPUNIT_TEST(spreadsABurstBetweenLoadNotices);
    CPPUNIT_TEST(avoidsAServerThatRefusesFlows);
    CPPUNIT_TEST(usesAllServersWhenMostRefuse);
    CPPUNIT_TEST(dropsPacketsThatOnlyServersSend);
    CPPUNIT_TEST(placesNoFlowAtAServiceWithTheSameShortKey);
    CPPUNIT_TEST_SUITE_END();

    TimePoint m_now{seconds(100)};

    BalancerSteering steering(const Snapshots &snapshots) const
    {
        BalancerSteering steering({.zone = "zone-a", .noticeAddress = balancerAddress(1)});
        steering.update(m_now, snapshots.build());
        return steering;
    }

    HostAddress relayAgent(const BalancerDecision &decision) const
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

    SteerCause dropCause(const BalancerDecision &decision) const
    {
        const auto *dropped = std::get_if<DropPacket>(&decision);
        CPPUNIT_ASSERT(dropped != nullptr);
        return dropped->cause;
    }

public:
    void dropsPacketsUntilTheConfigurationIsComplete()
    {
        BalancerSteering steering({.zone = "zone-a", .noticeAddress = balancerAddress(1)});
        CPPUNIT_ASSERT(std::holds_alternative<DropPacket>(steering.decide(m_now, syn(flow(1)))));
        ConfigSnapshot withoutServers = Snapshots().build();
        withoutServers.hasRegistry = false;
        steering.update(m_now, withoutServers);
        CPPUNIT_ASSERT(!steering.isReady());
    }

    void relaysAFlowToTheServerThatWasChosenForIt()
    {
        BalancerSteering steering = this->steering(Snapshots().server(1).server(2).server(3, "vault"));
        const HostAddress agent = relayAgent(steering.decide(m_now, syn(flow(1))));
        CPPUNIT_ASSERT(agent == agentAddress(1) || agent == agentAddress(2));
        steering.handleLoadNotice(m_now, LoadNotice{agent, 9, 9, 3, true});
        CPPUNIT_ASSERT(agent == relayAgent(steering.decide(m_now + milliseconds(200), syn(flow(1), 1))));
        CPPUNIT_ASSERT(agent == relayAgent(steering.decide(m_now + milliseconds(250), data(flow(1), 5))));
    }

    /// A server that has answered neither the SYN nor its first retransmission may be down.
    void redirectsTheSecondRetransmissionToAnotherServer()
    {
        BalancerSteering steering = this->steering(Snapshots().server(1).server(2));
        const HostAddress agent = relayAgent(steering.decide(m_now, syn(flow(1))));
        steering.handleLoadNotice(m_now, LoadNotice{agent, 0, 0, 3, true});
        CPPUNIT_ASSERT(agent != relayAgent(steering.decide(m_now + milliseconds(600), syn(flow(1), 2))));
    }

    void resetsFlowsToAddressesWithoutARoute()
    {
        BalancerSteering steering = this->steering(Snapshots().route(vaultAddress, "").server(1).server(2, "vault"));
        CPPUNIT_ASSERT(resetCause(steering.decide(m_now, syn(flow(1, vaultAddress)))) == SteerCause::NoRoute);
    }

    void resetsNewFlowsWhenNoServerAcceptsThem()
    {
        BalancerSteering steering = this->steering(Snapshots().server(1, "feed", ServerAvailability::Draining).server(2, "vault"));
        CPPUNIT_ASSERT(resetCause(steering.decide(m_now, syn(flow(1)))) == SteerCause::NoServer);
    }

    /// The network may route the packets of a flow to another balancer at any time.
    void relaysUnknownFlowsToTheFirstRegistrar()
    {
        BalancerSteering steering = this->steering(Snapshots().server(1).server(2).server(3));
        const BalancerDecision decision = steering.decide(m_now, data(flow(7), 5));
        CPPUNIT_ASSERT(relayAgent(decision) == steering.directory().firstRegistrar(flow(7)));
        CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).header.wantsOwnerNotice);
        CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).header.balancer == balancerAddress(1));
        CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).header.acceptsCallerSequences);
    }

    /// A registrar that is chosen from an incomplete server list may not be the one with which the flow is registered.
    void marksLookupsWithAnIncompleteServerList()
    {
        Snapshots snapshots;
        snapshots.server(1).server(2);
        BalancerSteering steering = this->steering(snapshots);
        CPPUNIT_ASSERT(!std::get<RelayToAgent>(steering.decide(m_now, data(flow(7), 5))).header.isLookupPartial);
        steering.update(m_now, snapshots.incomplete().build());
        CPPUNIT_ASSERT(std::get<RelayToAgent>(steering.decide(m_now, data(flow(7), 5))).header.isLookupPartial);
    }

    void followsOwnerNotices()
    {
        BalancerSteering steering = this->steering(Snapshots().server(1).server(2).server(3));
        for (std::uint32_t number = 1; number <= 3; ++number) {
            steering.handleOwnerNotice(m_now, OwnerNotice{flow(7), agentAddress(number)});
            CPPUNIT_ASSERT(relayAgent(steering.decide(m_now, data(flow(7), 5))) == agentAddress(number));
        }
    }

    /// A caller connects to another server only after the flow to the replaced one has been reset.
    void resetsFlowsOfAReplacedServer()
    {
        Snapshots snapshots;
        snapshots.server(1);
        BalancerSteering steering = this->steering(snapshots);
        steering.decide(m_now, syn(flow(1)));
        steering.handleOwnerNotice(m_now, OwnerNotice{flow(1), agentAddress(1), {101}, 0});
        steering.update(m_now, snapshots.incarnation(1, 777).build());
        const BalancerDecision decision = steering.decide(m_now, data(flow(1), 55));
        CPPUNIT_ASSERT(resetCause(decision) == SteerCause::ServerReplaced);
        CPPUNIT_ASSERT_EQUAL(55U, std::get<ResetCaller>(decision).sequence);
    }

    /// Guards against resets that cannot be explained afterwards: whose server, who has said so, how old that is, and why the server counts as ended.
    void resetStatesWhatItIsBasedOn()
    {
        Snapshots snapshots;
        BalancerSteering steering = this->steering(snapshots.server(1));
        steering.handleOwnerNotice(m_now, OwnerNotice{flow(1), agentAddress(1), {101}, 0});
        steering.update(m_now + seconds(2), snapshots.incarnation(1, 777).build());
        const auto replaced = std::get<ResetCaller>(steering.decide(m_now + seconds(3), data(flow(1), 55)));
        CPPUNIT_ASSERT(!replaced.isOpening);
        CPPUNIT_ASSERT(replaced.evidence.owner == agentAddress(1));
        CPPUNIT_ASSERT_EQUAL(101U, replaced.evidence.incarnation.value);
        CPPUNIT_ASSERT(replaced.evidence.source == OwnershipSource::OwnerNotice);
        CPPUNIT_ASSERT(replaced.evidence.learnedAt == m_now);
        const ServerEnd end{ServerEndCause::Replaced, {777}, m_now + seconds(2)};
        CPPUNIT_ASSERT(replaced.evidence.end == end);

        steering.update(m_now + seconds(3), snapshots.server(1, "feed", ServerAvailability::Draining).build());
        const auto refused = std::get<ResetCaller>(steering.decide(m_now + seconds(3), syn(flow(2))));
        CPPUNIT_ASSERT(refused.isOpening);
        CPPUNIT_ASSERT(refused.evidence.source == OwnershipSource::None);
        CPPUNIT_ASSERT(!refused.evidence.end);
    }

    /// The agent may have redirected the SYN, or a new server may have taken its place before the balancer learned of it, and the notice of the
    /// owner may be lost. Guards against a reset of such a flow, which is open.
    void asksARegistrarWhenTheServerOfTheSynHasEnded()
    {
        for (const bool isReplaced : {false, true}) {
            Snapshots snapshots;
            BalancerSteering steering = this->steering(snapshots.server(1));
            steering.decide(m_now, syn(flow(1)));
            snapshots.server(2);
            steering.update(m_now, (isReplaced ? snapshots.incarnation(1, 777) : snapshots.deregistered(1)).build());
            const BalancerDecision decision = steering.decide(m_now, data(flow(1), 55));
            CPPUNIT_ASSERT(relayAgent(decision) == steering.directory().firstRegistrar(flow(1)));
            CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).header.wantsOwnerNotice);
        }
    }

    /// The caller uses a port again whose earlier flow belonged to a server that has ended; its agent has another server now. Guards against a reset
    /// of the new flow because of the old owner.
    void opensANewFlowWithThePortsOfAnEndedOne()
    {
        Snapshots snapshots;
        BalancerSteering steering = this->steering(snapshots.server(1));
        steering.decide(m_now, syn(flow(1)));
        steering.handleOwnerNotice(m_now, OwnerNotice{flow(1), agentAddress(1), {101}, 0});
        steering.handleLoadNotice(m_now + seconds(5), LoadNotice{agentAddress(1), 0, 0, 3, true});
        steering.update(m_now + seconds(5), snapshots.incarnation(1, 777).build());
        CPPUNIT_ASSERT(relayAgent(steering.decide(m_now + seconds(6), syn(flow(1)))) == agentAddress(1));
        const BalancerDecision decision = steering.decide(m_now + seconds(6), data(flow(1), 900));
        CPPUNIT_ASSERT(!std::holds_alternative<ResetCaller>(decision));
        CPPUNIT_ASSERT(relayAgent(decision) == agentAddress(1));
    }

    /// The server of the first copy has ended without an answer, and the second copy goes to its successor at the same agent. Guards against a reset of
    /// the flow because the first copy was placed on the ended server.
    void keepsAFlowThatACopyOfTheSynHasOpenedAtANewServer()
    {
        Snapshots snapshots;
        BalancerSteering steering = this->steering(snapshots.server(1));
        steering.handleLoadNotice(m_now, LoadNotice{agentAddress(1), 0, 0, 3, true});
        steering.decide(m_now, syn(flow(1)));
        steering.update(m_now + milliseconds(100), snapshots.incarnation(1, 777).build());
        CPPUNIT_ASSERT(relayAgent(steering.decide(m_now + milliseconds(200), syn(flow(1), 1))) == agentAddress(1));
        const BalancerDecision decision = steering.decide(m_now + milliseconds(220), data(flow(1), 5));
        CPPUNIT_ASSERT(!std::holds_alternative<ResetCaller>(decision));
        CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).cause == SteerCause::KnownOwner);
    }

    /// Guards against new flows that follow an earlier flow with the same ports to a server that drains.
    void opensANewFlowWithThePortsOfAFlowOfADrainingServer()
    {
        Snapshots snapshots;
        BalancerSteering steering = this->steering(snapshots.server(1));
        steering.decide(m_now, syn(flow(1)));
        steering.handleOwnerNotice(m_now, OwnerNotice{flow(1), agentAddress(1), {101}, 0});
        steering.update(m_now + seconds(5), snapshots.server(1, "feed", ServerAvailability::Draining).server(2).build());
        CPPUNIT_ASSERT(relayAgent(steering.decide(m_now + seconds(6), syn(flow(1)))) == agentAddress(2));
    }

    /// The network may delay or duplicate a SYN. Guards against a reset of an open flow because its server drains and no other one is there.
    void sendsALateSynToTheOwner()
    {
        Snapshots snapshots;
        BalancerSteering steering = this->steering(snapshots.server(1));
        steering.decide(m_now, syn(flow(1)));
        steering.handleOwnerNotice(m_now, OwnerNotice{flow(1), agentAddress(1), {101}, 0});
        steering.update(m_now, snapshots.server(1, "feed", ServerAvailability::Draining).build());
        for (const std::uint32_t copy : {0U, 1U, 2U}) {
            CPPUNIT_ASSERT(relayAgent(steering.decide(m_now + milliseconds(600), syn(flow(1), copy))) == agentAddress(1));
        }
    }

    /// Guards against packets of an open flow that go to another server after a late SYN, because the owner drains.
    void keepsTheOwnerWhenALateSynArrives()
    {
        Snapshots snapshots;
        BalancerSteering steering = this->steering(snapshots.server(1));
        steering.decide(m_now, syn(flow(1)));
        steering.handleOwnerNotice(m_now, OwnerNotice{flow(1), agentAddress(1), {101}, 0});
        steering.update(m_now, snapshots.server(1, "feed", ServerAvailability::Draining).server(2).build());
        for (const std::uint32_t copy : {0U, 1U, 2U}) {
            CPPUNIT_ASSERT(relayAgent(steering.decide(m_now + milliseconds(600), syn(flow(1), copy))) == agentAddress(1));
        }
        CPPUNIT_ASSERT(relayAgent(steering.decide(m_now + milliseconds(700), data(flow(1), 5))) == agentAddress(1));
    }

    /// The server of the first copy may have opened the flow without a notice to the balancer. Guards against a reset when it drains.
    void sendsALateSynToTheServerOfTheFirstOne()
    {
        Snapshots snapshots;
        BalancerSteering steering = this->steering(snapshots.server(1));
        steering.decide(m_now, syn(flow(1)));
        steering.update(m_now, snapshots.server(1, "feed", ServerAvailability::Draining).build());
        CPPUNIT_ASSERT(relayAgent(steering.decide(m_now + milliseconds(200), syn(flow(1), 1))) == agentAddress(1));
        CPPUNIT_ASSERT(relayAgent(steering.decide(m_now + milliseconds(300), syn(flow(1), 0))) == agentAddress(1));
    }

    /// Another balancer may have the route already. Guards against a reset of the flow, and against a SYN on a removed route that reaches a server.
    void neverResetsALateSynWithoutARoute()
    {
        Snapshots snapshots;
        BalancerSteering steering = this->steering(snapshots.server(1));
        steering.decide(m_now, syn(flow(1)));
        steering.update(m_now, snapshots.route(feedAddress, "").build());
        CPPUNIT_ASSERT(dropCause(steering.decide(m_now + milliseconds(100), syn(flow(1), 0))) == SteerCause::NoRoute);
        CPPUNIT_ASSERT(dropCause(steering.decide(m_now + milliseconds(200), syn(flow(2), 1))) == SteerCause::NoRoute);
    }

    /// An earlier copy may have opened the flow through another balancer. Its owner may have reached no registrar yet, so only silence is safe.
    void neverResetsARetransmittedSyn()
    {
        BalancerSteering steering = this->steering(Snapshots().server(1, "feed", ServerAvailability::Draining));
        CPPUNIT_ASSERT(dropCause(steering.decide(m_now, syn(flow(1), 1))) == SteerCause::NoServer);
        CPPUNIT_ASSERT(dropCause(steering.decide(m_now, syn(flow(1), 2))) == SteerCause::NoServer);
    }

    /// While a SYN waits for the configuration of a balancer, a copy of it may open the flow through another one.
    void neverResetsASynThatWasQueued()
    {
        BalancerSteering steering = this->steering(Snapshots().route(vaultAddress, "").server(1, "feed", ServerAvailability::Draining));
        CPPUNIT_ASSERT(dropCause(steering.decide(m_now, syn(flow(1)), PacketArrival::Queued)) == SteerCause::NoServer);
        CPPUNIT_ASSERT(dropCause(steering.decide(m_now, syn(flow(1, vaultAddress)), PacketArrival::Queued)) == SteerCause::NoRoute);
    }

    /// An owner that has sent a notice once may be down now, with a SYN-ACK that was lost.
    void placesTheLastCopyElsewhereWhenTheOwnerIsSilent()
    {
        BalancerSteering steering = this->steering(Snapshots().server(1).server(2));
        steering.handleOwnerNotice(m_now, OwnerNotice{flow(1), agentAddress(1), {101}, 0});
        CPPUNIT_ASSERT(relayAgent(steering.decide(m_now + seconds(2), syn(flow(1), 2))) == agentAddress(2));
    }

    /// Guards against callers that wait because an earlier flow with the same ports is still in the flow table.
    void rejectsANewFlowWithThePortsOfAnEarlierOneAtOnce()
    {
        Snapshots snapshots;
        BalancerSteering steering = this->steering(snapshots.server(1));
        steering.handleOwnerNotice(m_now, OwnerNotice{flow(1), agentAddress(1), {101}, 0});
        steering.update(m_now, snapshots.server(1, "feed", ServerAvailability::Draining).build());
        CPPUNIT_ASSERT(resetCause(steering.decide(m_now + seconds(6), syn(flow(1)))) == SteerCause::NoServer);
    }

    /// The notice belongs to an earlier flow with the same addresses and ports. Guards against a reset of the open one.
    void ignoresANoticeAboutAnEndedServer()
    {
        for (const bool isDeregistered : {false, true}) {
            Snapshots snapshots;
            BalancerSteering steering = this->steering(snapshots.server(1).server(3, "vault"));
            steering.decide(m_now, syn(flow(1)));
            steering.update(m_now, (isDeregistered ? snapshots.deregistered(3) : snapshots.incarnation(3, 777)).build());
            steering.handleOwnerNotice(m_now, OwnerNotice{flow(1), agentAddress(3), {103}, 0});
            CPPUNIT_ASSERT(relayAgent(steering.decide(m_now, data(flow(1), 55))) == agentAddress(1));
        }
    }

    /// Two notices that name different owners belong to two flows, and the later one may be the older. Guards against a reset of the open flow when the
    /// server of the other one ends.
    void asksARegistrarAfterContradictoryNotices()
    {
        for (const HostAddress &contradictory : {agentAddress(1), agentAddress(3)}) {
            Snapshots snapshots;
            BalancerSteering steering = this->steering(snapshots.server(1).server(2).server(3));
            steering.handleOwnerNotice(m_now, OwnerNotice{flow(1), contradictory, {contradictory == agentAddress(1) ? 99U : 103U}, 0});
            steering.handleOwnerNotice(m_now, OwnerNotice{flow(1), agentAddress(1), {101}, 0});
            steering.update(m_now, snapshots.incarnation(1, 777).build());
            const BalancerDecision decision = steering.decide(m_now, data(flow(1), 55));
            CPPUNIT_ASSERT(relayAgent(decision) == steering.directory().firstRegistrar(flow(1)));
            CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).header.wantsOwnerNotice);
        }
    }

    /// The caller may have used its port for another flow meanwhile, which it has opened through another balancer. Guards against a reset of it
    /// because of what this balancer knows about the earlier one.
    void asksARegistrarIfTheFlowWasIdle()
    {
        Snapshots snapshots;
        BalancerSteering steering = this->steering(snapshots.server(1).server(2));
        steering.handleOwnerNotice(m_now, OwnerNotice{flow(1), agentAddress(1), {101}, 0});
        steering.decide(m_now + seconds(1), data(flow(1), 55));
        steering.update(m_now + seconds(2), snapshots.incarnation(1, 777).build());
        const BalancerDecision decision = steering.decide(m_now + seconds(6), data(flow(1), 900));
        CPPUNIT_ASSERT(relayAgent(decision) == steering.directory().firstRegistrar(flow(1)));
        CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).header.wantsOwnerNotice);
    }

    /// The first packet after an idle time, or the notice that answers it, is lost. Guards against a reset of its retransmission, for which the balancer
    /// knows no more than before.
    void asksARegistrarAgainAfterAnIdleTime()
    {
        Snapshots snapshots;
        BalancerSteering steering = this->steering(snapshots.server(1).server(2));
        steering.handleOwnerNotice(m_now, OwnerNotice{flow(1), agentAddress(1), {101}, 0});
        steering.update(m_now + seconds(2), snapshots.incarnation(1, 777).build());
        for (const milliseconds retransmission : {milliseconds(0), milliseconds(200), milliseconds(600)}) {
            const BalancerDecision decision = steering.decide(m_now + seconds(6) + retransmission, data(flow(1), 900));
            CPPUNIT_ASSERT(relayAgent(decision) == steering.directory().firstRegistrar(flow(1)));
        }
    }

    /// Several packets of the earlier flow have made its owner send several notices, which arrive late. Guards against a reset of the open flow when
    /// that owner ends.
    void asksARegistrarAfterARepeatedNoticeOfAnEarlierFlow()
    {
        Snapshots snapshots;
        BalancerSteering steering = this->steering(snapshots.server(1).server(2).server(3));
        steering.handleOwnerNotice(m_now, OwnerNotice{flow(1), agentAddress(3), {103}, 0});
        steering.handleOwnerNotice(m_now, OwnerNotice{flow(1), agentAddress(1), {101}, 0});
        steering.handleOwnerNotice(m_now, OwnerNotice{flow(1), agentAddress(1), {101}, 0});
        steering.update(m_now, snapshots.incarnation(1, 777).build());
        const BalancerDecision decision = steering.decide(m_now, data(flow(1), 55));
        CPPUNIT_ASSERT(relayAgent(decision) == steering.directory().firstRegistrar(flow(1)));
    }

    /// A late notice about an earlier flow with the same addresses and ports reaches a balancer that has seen nothing of the open one, or a sender of an
    /// older version does not say which flow it is about. Guards against a reset of the open flow when the owner in the notice ends.
    void asksARegistrarIfTheNoticeMayBeAboutAnotherFlow()
    {
        for (const std::optional<std::uint32_t> sequence : {std::optional(5'000'000U), std::optional<std::uint32_t>()}) {
            Snapshots snapshots;
            BalancerSteering steering = this->steering(snapshots.server(1).server(2));
            steering.handleOwnerNotice(m_now, OwnerNotice{flow(1), agentAddress(1), {101}, sequence});
            steering.update(m_now, snapshots.incarnation(1, 777).build());
            const BalancerDecision decision = steering.decide(m_now, data(flow(1), 55, 900'000'000));
            CPPUNIT_ASSERT(relayAgent(decision) == steering.directory().firstRegistrar(flow(1)));
            CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).header.wantsOwnerNotice);
            CPPUNIT_ASSERT_EQUAL(sequence.has_value(), std::holds_alternative<ResetCaller>(steering.decide(m_now, data(flow(1), 55, 5'000'100))));
        }
    }

    /// Guards against lookups for long flows, and against a packet of another flow that is taken for the sequence of this one.
    void recognizesAFlowThatHasSentMuchSinceTheNotice()
    {
        Snapshots snapshots;
        BalancerSteering steering = this->steering(snapshots.server(1).server(2));
        steering.handleOwnerNotice(m_now, OwnerNotice{flow(1), agentAddress(1), {101}, 0xFFFFF000U});
        for (const std::uint32_t sequence : {50'000U, 900'000'000U, 100'000U}) {
            CPPUNIT_ASSERT(relayAgent(steering.decide(m_now, data(flow(1), 55, sequence))) == agentAddress(1));
        }
        steering.update(m_now, snapshots.incarnation(1, 777).build());
        CPPUNIT_ASSERT(std::holds_alternative<RelayToAgent>(steering.decide(m_now, data(flow(1), 55, 900'000'000))));
        CPPUNIT_ASSERT(std::holds_alternative<ResetCaller>(steering.decide(m_now, data(flow(1), 55, 150'000))));
    }

    /// The notice may be a late one of an earlier flow with the same addresses and ports, since the owner of a flow that was opened where it was
    /// placed sends none.
    void asksARegistrarIfANoticeContradictsThePlacement()
    {
        Snapshots snapshots;
        BalancerSteering steering = this->steering(snapshots.server(1).server(3, "vault"));
        steering.decide(m_now, syn(flow(1)));
        steering.handleOwnerNotice(m_now, OwnerNotice{flow(1), agentAddress(3), {103}, 0});
        steering.update(m_now, snapshots.incarnation(3, 777).build());
        const BalancerDecision decision = steering.decide(m_now, data(flow(1), 55));
        CPPUNIT_ASSERT(relayAgent(decision) == steering.directory().firstRegistrar(flow(1)));
    }

    /// The SYN may have opened another flow at another server. Guards against a reset of it when the server of the earlier flow ends.
    void asksARegistrarIfASynFollowedTheNotice()
    {
        Snapshots snapshots;
        BalancerSteering steering = this->steering(snapshots.server(1).server(2));
        steering.handleOwnerNotice(m_now, OwnerNotice{flow(1), agentAddress(1), {101}, 0});
        CPPUNIT_ASSERT(relayAgent(steering.decide(m_now + seconds(1), syn(flow(1)))) == agentAddress(1));
        steering.update(m_now + seconds(2), snapshots.incarnation(1, 777).build());
        const BalancerDecision decision = steering.decide(m_now + seconds(2), data(flow(1), 55));
        CPPUNIT_ASSERT(relayAgent(decision) == steering.directory().firstRegistrar(flow(1)));
    }

    /// As above, but the SYN goes to the agent of the earlier flow only because no other server accepts flows.
    void asksARegistrarIfASynFollowedTheNoticeOfASilentAgent()
    {
        Snapshots snapshots;
        BalancerSteering steering = this->steering(snapshots.server(1, "feed", ServerAvailability::Draining).server(2, "vault"));
        steering.handleOwnerNotice(m_now, OwnerNotice{flow(1), agentAddress(1), {101}, 0});
        CPPUNIT_ASSERT(relayAgent(steering.decide(m_now + seconds(2), syn(flow(1)))) == agentAddress(1));
        steering.update(m_now + seconds(3), snapshots.incarnation(1, 777).build());
        const BalancerDecision decision = steering.decide(m_now + seconds(3), data(flow(1), 55));
        CPPUNIT_ASSERT(relayAgent(decision) == steering.directory().firstRegistrar(flow(1)));
    }

    /// The server has answered the SYN, and its notice states no incarnation. Guards against packets that are sent to its agent after the server
    /// has ended, where nobody answers.
    void asksARegistrarWhenTheServerOfAnUnconfirmedNoticeHasEnded()
    {
        Snapshots snapshots;
        BalancerSteering steering = this->steering(snapshots.server(1).server(2));
        steering.handleOwnerNotice(m_now, OwnerNotice{flow(1), agentAddress(1)});
        CPPUNIT_ASSERT(relayAgent(steering.decide(m_now, data(flow(1), 55))) == agentAddress(1));
        steering.update(m_now, snapshots.deregistered(1).build());
        CPPUNIT_ASSERT(relayAgent(steering.decide(m_now, data(flow(1), 55))) == agentAddress(2));
    }

    /// The owner notice of a new server may arrive before the list that contains this server.
    void keepsFlowsOfAServerThatIsNewerThanTheList()
    {
        Snapshots snapshots;
        BalancerSteering steering = this->steering(snapshots.server(1).server(2));
        steering.handleOwnerNotice(m_now, OwnerNotice{flow(1), agentAddress(1), {777}, 0});
        CPPUNIT_ASSERT(relayAgent(steering.decide(m_now, data(flow(1), 55))) == agentAddress(1));
        steering.update(m_now, snapshots.incarnation(1, 777).build());
        CPPUNIT_ASSERT(relayAgent(steering.decide(m_now, data(flow(1), 55))) == agentAddress(1));
        steering.update(m_now, snapshots.incarnation(1, 888).build());
        CPPUNIT_ASSERT(resetCause(steering.decide(m_now, data(flow(1), 55))) == SteerCause::ServerReplaced);
    }

    /// A restarted agent announces its server as unconfirmed until the server's own announcement states the incarnation.
    void keepsFlowsOfAServerThatIsConfirmedLater()
    {
        Snapshots snapshots;
        snapshots.server(1).incarnation(1, unconfirmedIncarnation.value);
        BalancerSteering steering = this->steering(snapshots);
        steering.decide(m_now, syn(flow(1)));
        steering.update(m_now, snapshots.incarnation(1, 777).build());
        CPPUNIT_ASSERT(relayAgent(steering.decide(m_now, data(flow(1), 5))) == agentAddress(1));
    }

    void keepsFlowsOfAnUnlistedServer()
    {
        Snapshots snapshots;
        snapshots.server(1).server(2);
        BalancerSteering steering = this->steering(snapshots);
        const HostAddress agent = relayAgent(steering.decide(m_now, syn(flow(1))));
        steering.update(m_now, snapshots.without(agent == agentAddress(1) ? 1 : 2).build());
        CPPUNIT_ASSERT(relayAgent(steering.decide(m_now, data(flow(1), 5))) == agent);
    }

    void avoidsALoadedServer()
    {
        BalancerSteering steering = this->steering(Snapshots().server(2).server(4));
        steering.handleLoadNotice(m_now, LoadNotice{agentAddress(2), 12, 40, 3, true});
        steering.handleLoadNotice(m_now, LoadNotice{agentAddress(4), 0, 40, 3, true});
        for (std::uint16_t port = 1; port <= 9; ++port) {
            CPPUNIT_ASSERT(relayAgent(steering.decide(m_now, syn(flow(port)))) == agentAddress(4));
        }
    }

    /// Load notices are up to 250 ms old. A burst of new flows within that time must not go to a single server.
    void spreadsABurstBetweenLoadNotices()
    {
        BalancerSteering steering = this->steering(Snapshots().server(2).server(4).server(6));
        for (std::uint32_t number : {2U, 4U, 6U}) {
            steering.handleLoadNotice(m_now, LoadNotice{agentAddress(number), 0, 10, 3, true});
        }
        std::map<HostAddress, int> placed;
        for (std::uint16_t port = 1; port <= 60; ++port) {
            ++placed[relayAgent(steering.decide(m_now, syn(flow(port))))];
        }
        for (const auto &entry : placed) {
            CPPUNIT_ASSERT(entry.second >= 18 && entry.second <= 22);
        }
    }

    void dropsPacketsThatOnlyServersSend()
    {
        BalancerSteering steering = this->steering(Snapshots().server(1));
        Segment synAckFromCaller = syn(flow(1));
        synAckFromCaller.isAck = true;
        CPPUNIT_ASSERT(std::holds_alternative<DropPacket>(steering.decide(m_now, synAckFromCaller)));
        CPPUNIT_ASSERT(std::holds_alternative<DropPacket>(steering.decide(m_now, rejected(syn(flow(1))))));
    }

    void avoidsAServerThatRefusesFlows()
    {
        BalancerSteering steering = this->steering(Snapshots().server(2).server(4).server(6));
        steering.handleLoadNotice(m_now, LoadNotice{agentAddress(2), 0, 0, 3, false});
        for (std::uint16_t port = 1; port <= 20; ++port) {
            CPPUNIT_ASSERT(relayAgent(steering.decide(m_now, syn(flow(port)))) != agentAddress(2));
        }
    }

    /// Guards against placing all flows on the last server that does not refuse them.
    void usesAllServersWhenMostRefuse()
    {
        BalancerSteering steering = this->steering(Snapshots().server(2).server(4).server(6));
        steering.handleLoadNotice(m_now, LoadNotice{agentAddress(2), 0, 0, 3, false});
        steering.handleLoadNotice(m_now, LoadNotice{agentAddress(4), 0, 0, 3, false});
        std::map<HostAddress, int> placed;
        for (std::uint16_t port = 1; port <= 30; ++port) {
            ++placed[relayAgent(steering.decide(m_now, syn(flow(port))))];
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, placed.size());
    }

    void resetsFlowsOfADeregisteredServer()
    {
        Snapshots snapshots;
        BalancerSteering steering = this->steering(snapshots.server(1));
        steering.decide(m_now, syn(flow(1)));
        steering.handleOwnerNotice(m_now, OwnerNotice{flow(1), agentAddress(1), {101}, 0});
        steering.update(m_now, snapshots.server(2).deregistered(1).build());
        CPPUNIT_ASSERT(resetCause(steering.decide(m_now, data(flow(1), 55))) == SteerCause::ServerReplaced);
    }

    // Guards against flows of one service that are opened at the servers of another one.
    void placesNoFlowAtAServiceWithTheSameShortKey()
    {
        const Snapshots snapshots = Snapshots()
                                        .route(feedAddress, collidingService)
                                        .route(vaultAddress, otherCollidingService)
                                        .server(1, collidingService)
                                        .server(2, otherCollidingService);
        BalancerSteering steering = this->steering(snapshots);
        for (std::uint16_t port = 1; port <= 50; ++port) {
            CPPUNIT_ASSERT(relayAgent(steering.decide(m_now, syn(flow(port)))) == agentAddress(1));
            CPPUNIT_ASSERT(relayAgent(steering.decide(m_now, syn(flow(port, vaultAddress)))) == agentAddress(2));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BalancerSteeringTest);
