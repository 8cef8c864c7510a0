#include <jujubequay/steering/agent_steering.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>

#include "steering_test_support.h"

using namespace Jujubequay;
using namespace Jujubequay::SteeringTest;
using std::chrono::milliseconds;
using std::chrono::seconds;

class AgentSteeringTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AgentSteeringTest);
    CPPUNIT_TEST(registersAnOpenFlowWithItsRegistrars);
    CPPUNIT_TEST(resendsANoticeUntilItIsAcknowledged);
    CPPUNIT_TEST(notifiesANewRegistrar);
    CPPUNIT_TEST(notifiesARestartedRegistrar);
    CPPUNIT_TEST(returnsFlowsToARestartedOwner);
    CPPUNIT_TEST(restoresTheFlowsThatRegistrarsReturn);
    CPPUNIT_TEST(restoresNoFlowOfAnotherServer);
    CPPUNIT_TEST(triesAllServersOfALargeFleet);
    CPPUNIT_TEST(endsALookupThatGoesRound);
    CPPUNIT_TEST(stopsNotifyingARegistrarThatNeverAcknowledges);
    CPPUNIT_TEST(stopsProbingTheServerAfterTheIdleTimeout);
    CPPUNIT_TEST(forwardsPacketsOfAFlowThatAnotherServerHasEstablished);
    CPPUNIT_TEST(doesNotResetAFlowThatTheServerNeverOpened);
    CPPUNIT_TEST(forwardsPacketsOfARemoteFlowToItsOwner);
    CPPUNIT_TEST(registrarResetsFlowsOfAReplacedServer);
    CPPUNIT_TEST(registrarKeepsFlowsOfAServerThatIsNewerThanItsList);
    CPPUNIT_TEST(registrarIgnoresANoticeAboutAnEndedServer);
    CPPUNIT_TEST(registrarLooksForTheOwnerAfterContradictoryNotices);
    CPPUNIT_TEST(keepsAHalfOpenFlowWhenANoticeArrives);
    CPPUNIT_TEST(remembersTheOwnerOfAFlowWhoseSynTheLocalServerNeverAnswered);
    CPPUNIT_TEST(remembersTheOwnerWhenTheLocalServerEndsOrRejectsTheSyn);
    CPPUNIT_TEST(looksForTheOwnerOfAFlowThatAReplacedServerNeverOpened);
    CPPUNIT_TEST(looksForTheOwnerOfAFlowForWhichAReplacedServerWasProbed);
    CPPUNIT_TEST(looksForTheOwnerIfItsIncarnationIsUnknown);
    CPPUNIT_TEST(endsTheFlowsOfAnEarlierServer);
    CPPUNIT_TEST(neverEndsAnOpenFlow);
    CPPUNIT_TEST(endsNoFlowOfAnotherServerWithThePortsOfAnEndedOne);
    CPPUNIT_TEST(recordsItsOpenFlows);
    CPPUNIT_TEST(probesTheServerAfterARestartOfTheAgent);
    CPPUNIT_TEST(probesTheServerAfterALateSynAtARestartedAgent);
    CPPUNIT_TEST(asksAgentsThatKnowTheirFlowsBeforeAnyProbe);
    CPPUNIT_TEST(probesAllServersIfNoAgentKnowsTheFlow);
    CPPUNIT_TEST(doesNotProbeAFlowAgainThatTheServerRejected);
    CPPUNIT_TEST(probesAgainWhenTheServerMayOwnTheFlow);
    CPPUNIT_TEST(looksForTheOwnerIfTheServerRejectsAPacketOfAClosedFlow);
    CPPUNIT_TEST(keepsAnOpenFlowWhenItsServerRejectsAPacketOfAnEarlierOne);
    CPPUNIT_TEST(holdsLookupsUntilTheLocalServerIsKnown);
    CPPUNIT_TEST(doesNotProbeAServerWhoseStartItObserved);
    CPPUNIT_TEST(triesTheRegistrarsFirst);
    CPPUNIT_TEST(triesAllServersWhenServerListsDiffer);
    CPPUNIT_TEST(resetsAFlowWithoutAnOwner);
    CPPUNIT_TEST(holdsLookupsWhileTheServerListIsUnstable);
    CPPUNIT_TEST(holdsLookupsWhileNoControlHostConfirmsTheServerList);
    CPPUNIT_TEST(holdsLookupsAfterAPause);
    CPPUNIT_TEST(resetsNoFlowWhileTheRegistryIsIncomplete);
    CPPUNIT_TEST(retriesALookupThroughAnIncompleteServerList);
    CPPUNIT_TEST(givesUpALookupThatStaysPartial);
    CPPUNIT_TEST(redirectsSynsWhileDraining);
    CPPUNIT_TEST(redirectsASynThatTheServerRejects);
    CPPUNIT_TEST(resetsTheCallerAfterTwoRedirects);
    CPPUNIT_TEST(neverResetsARetransmittedSyn);
    CPPUNIT_TEST(keepsTheOwnerOfARemoteFlowWhenALateSynArrives);
    CPPUNIT_TEST(opensANewFlowWithThePortsOfARemoteFlow);
    CPPUNIT_TEST(keepsAnOpenFlowWhenItsServerRejectsALateSyn);
    CPPUNIT_TEST(claimsNoFlowBeforeItsHandshakeHasEnded);
    CPPUNIT_TEST(resetsTheCallerOfARemovedRoute);
    CPPUNIT_TEST(acceptsSynsOfABalancerWithANewerRouteTable);
    CPPUNIT_TEST(dropsSynsOfABalancerWithAStaleRouteTable);
    CPPUNIT_TEST(findsANewerRouteTableAtABalancer);
    CPPUNIT_TEST(redirectsSynsForAnotherService);
    CPPUNIT_TEST(resetsTheFlowsOfAReplacedServer);
    CPPUNIT_TEST(keepsFlowsWhenTheIncarnationIsConfirmed);
    CPPUNIT_TEST(keepsFlowsWhenTheServerChangesItsService);
    CPPUNIT_TEST(doesNotProbeAServerThatStartedTogetherWithTheAgent);
    CPPUNIT_TEST(countsPendingRequests);
    CPPUNIT_TEST(measuresResponseTimeIncludingHoldTime);
    CPPUNIT_TEST(doesNotCountRetransmissionsAsRequests);
    CPPUNIT_TEST(stopsCountingRequestsAfterTheirTimeout);
    CPPUNIT_TEST(holdsRequestsThatTheServerWouldRefuse);
    CPPUNIT_TEST(holdsNoRequestForAnIdleServerWithoutSlots);
    CPPUNIT_TEST(servesABurstWithoutRefusals);
    CPPUNIT_TEST(redirectsSynsWhileTheServerResetsRequests);
    CPPUNIT_TEST(keepsFlowsThatANewServerOpenedBeforeItsAnnouncement);
    CPPUNIT_TEST(claimsNoFlowOfANewServerBeforeItsHandshakeHasEnded);
    CPPUNIT_TEST(passesAFlowOnThatReplacesAnAbandonedOne);
    CPPUNIT_TEST(keepsAFlowThatReplacesAnAbandonedOneWhenTheServerIsReplaced);
    CPPUNIT_TEST(deliversPacketsOfAnOpenFlowAfterALateNotice);
    CPPUNIT_TEST(resetsAFlowThatWasOpenedAfterALateNotice);
    CPPUNIT_TEST(statesWhichFlowItOwns);
    CPPUNIT_TEST(registrarLooksForTheOwnerOfAnotherFlow);
    CPPUNIT_TEST(registrarRecognizesAFlowThatHasSentMuchSinceTheNotice);
    CPPUNIT_TEST(looksForTheOwnerOfAFlowThatFollowsOneOfAnEndedServer);
    CPPUNIT_TEST(probesTheServerForAFlowThatFollowsARecordedOne);
    CPPUNIT_TEST(keepsTheOwnerWhenTheLocalServerEndsAnEarlierFlow);
    CPPUNIT_TEST(learnsNothingFromAPacketOfAnotherFlow);
    CPPUNIT_TEST(countsTheHopsOfAPacketOfAnotherFlow);
    CPPUNIT_TEST(redirectsASynThatFollowsAPacketOfAnotherFlow);
    CPPUNIT_TEST(asksEachServerDespiteALateNotice);
    CPPUNIT_TEST(passesALatePacketOnAFewTimes);
    CPPUNIT_TEST(probesItsServerAfterTheEndOfAnEarlierOwner);
    CPPUNIT_TEST(probesItsServerAfterALateSynAndTheEndOfAnEarlierOwner);
    CPPUNIT_TEST(holdsLookupsBeforeItsServerIsKnownDespiteANotice);
    CPPUNIT_TEST(endsNoRecordedFlowThatItsServerMayOwn);
    CPPUNIT_TEST(endsRecordedFlowsIfTheServerHasStartedWithTheAgent);
    CPPUNIT_TEST(claimsNoFlowBecauseOfAReset);
    CPPUNIT_TEST(correctsBalancersThatMayStillResetAFlow);
    CPPUNIT_TEST(keepsAFlowThatAnotherServerHasReset);
    CPPUNIT_TEST(asksEachServerAfterAnAgentOfAnEarlierVersion);
    CPPUNIT_TEST(findsTheOwnerDespiteANoticeOfAServingOne);
    CPPUNIT_TEST(resetsAReturnedFlowWhoseServerIsReplaced);
    CPPUNIT_TEST(acceptsAReturnedFlowDespiteALateNotice);
    CPPUNIT_TEST(acceptsNoSynOfAServiceWithTheSameShortKey);
    CPPUNIT_TEST(acceptsSynsOfEarlierVersions);
    CPPUNIT_TEST(redirectsNoSynToAServiceWithTheSameShortKey);
    CPPUNIT_TEST_SUITE_END();

    TimePoint m_now{seconds(100)};
    std::vector<AddressedNotice> m_notices;

    AgentSteering agent(std::uint32_t number, const Snapshots &snapshots, bool isFresh = true) const
    {
        AgentSteering agent({.agent = agentAddress(number)});
        agent.update(m_now - seconds(10), snapshots.build());
        agent.confirmServerList(m_now - milliseconds(500));
        agent.setServer(m_now - seconds(10), LocalServer{serviceKey("feed"), {100 + number}, true, 3}, isFresh);
        return agent;
    }

    static SteerHeader header(const std::string &service = "feed", std::uint64_t routeTableVersion = 3)
    {
        return {0, false, routeTableVersion, serviceKey(service), balancerAddress(1)};
    }

    /// Header of a packet in the last phase of an owner lookup.
    static SteerHeader lookupHeader()
    {
        SteerHeader header = AgentSteeringTest::header();
        header.wantsOwnerNotice = true;
        header.lookupPhase = LookupPhase::AllServers;
        return header;
    }

    std::vector<AddressedNotice> resentNotices(AgentSteering &agent, Duration after)
    {
        std::vector<AddressedNotice> notices;
        agent.resendNotices(m_now + after, notices);
        return notices;
    }

    void openFlow(AgentSteering &agent, const FlowTuple &tuple, std::uint32_t sequence = 1000)
    {
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, header(), syn(tuple), m_notices)));
        CPPUNIT_ASSERT(std::holds_alternative<SendToCaller>(agent.handleServerPacket(m_now, synAck(tuple, sequence), m_notices)));
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, header(), data(tuple, sequence + 1), m_notices)));
    }

    /// The server rejects a packet of a flow that the restarted agent does not know.
    void rejectProbe(AgentSteering &agent, const FlowTuple &tuple)
    {
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, lookupHeader(), data(tuple, 5), m_notices)));
        agent.handleServerPacket(m_now, rejected(data(tuple, 5)), m_notices);
    }

    /// Opens flows with one request each, from port 1 on, until the server with its three slots has no room for more.
    void fillServer(AgentSteering &agent)
    {
        constexpr unsigned slots = 3;
        std::uint16_t port = 0;
        while (agent.canStartRequest()) {
            openFlow(agent, flow(++port));
            CPPUNIT_ASSERT(port <= slots * agent.options().requestsPerSlot);
        }
        CPPUNIT_ASSERT_EQUAL(slots * agent.options().requestsPerSlot, static_cast<unsigned>(port));
    }

    /// The agents that deliver a packet in the course of an owner lookup. All servers but that of `owner` reject it; without an owner the lookup has
    /// to end with a reset.
    std::vector<HostAddress> deliveries(std::map<HostAddress, AgentSteering> &agents,
                                        const FlowTuple &tuple,
                                        const std::optional<HostAddress> &owner = std::nullopt)
    {
        const Segment packet = data(tuple, 1001);
        std::vector<HostAddress> delivered;
        SteerHeader lookup = header();
        lookup.wantsOwnerNotice = true;
        HostAddress current = agents.begin()->second.directory().firstRegistrar(tuple).value();
        while (true) {
            AgentDecision decision = agents.at(current).handleCallerPacket(m_now, lookup, packet, m_notices);
            if (std::holds_alternative<DeliverToServer>(decision)) {
                delivered.push_back(current);
                if (current == owner) {
                    return delivered;
                }
                decision = agents.at(current).handleServerPacket(m_now, rejected(packet), m_notices);
            }
            const auto *relayed = std::get_if<RelayToAgent>(&decision);
            if (relayed == nullptr) {
                CPPUNIT_ASSERT(std::holds_alternative<ResetCaller>(decision));
                return delivered;
            }
            current = relayed->agent;
            lookup = relayed->header;
        }
    }

    /// A flow with the given first registrar.
    static FlowTuple flowWithFirstRegistrar(const ServerDirectory &directory, const HostAddress &first)
    {
        for (std::uint16_t port = 1; port < 5000; ++port) {
            if (directory.firstRegistrar(flow(port)) == first) {
                return flow(port);
            }
        }
        CPPUNIT_FAIL("no flow has this first registrar");
        return {};
    }

    /// A flow for which the given agent ranks last.
    static FlowTuple flowWithLastRank(const ServerDirectory &directory, const HostAddress &last)
    {
        for (std::uint16_t port = 1; port < 5000; ++port) {
            if (directory.rankedAgents(flow(port)).back() == last) {
                return flow(port);
            }
        }
        CPPUNIT_FAIL("this agent ranks last for no flow");
        return {};
    }

public:
    void registersAnOpenFlowWithItsRegistrars()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2).server(3));
        const FlowTuple tuple = flowWithFirstRegistrar(agent.directory(), agentAddress(2));
        openFlow(agent, tuple);
        CPPUNIT_ASSERT(!m_notices.empty());
        CPPUNIT_ASSERT(m_notices.front().destination == agentAddress(2));
        CPPUNIT_ASSERT(m_notices.front().notice.owner == agentAddress(1));
        CPPUNIT_ASSERT(m_notices.front().notice.incarnation != Incarnation());
    }

    /// A flow whose owner notices are lost is unknown to its registrars. Each of its packets then needs a lookup at all servers, which may
    /// exceed the hop limit.
    void resendsANoticeUntilItIsAcknowledged()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2).server(3));
        const FlowTuple tuple = flowWithFirstRegistrar(agent.directory(), agentAddress(2));
        openFlow(agent, tuple);
        const auto resent = resentNotices(agent, milliseconds(250));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, resent.size());
        // A registrar of an older version does not decode notices with an incarnation.
        CPPUNIT_ASSERT(resent[0].notice.incarnation == Incarnation());
        agent.handleAcknowledgement({tuple, agentAddress(2)});
        CPPUNIT_ASSERT(resentNotices(agent, milliseconds(500)).empty());
    }

    /// The agent of a server that joins becomes a registrar of flows that are open already.
    void notifiesANewRegistrar()
    {
        Snapshots snapshots;
        AgentSteering agent = this->agent(1, snapshots.server(1).server(2));
        ServerDirectory later({});
        later.update({}, Snapshots().server(1).server(2).server(4).build());
        const FlowTuple tuple = flowWithFirstRegistrar(later, agentAddress(4));
        openFlow(agent, tuple);
        agent.handleAcknowledgement({tuple, agentAddress(2)});
        agent.update(m_now, snapshots.server(4).build());
        const auto notices = resentNotices(agent, milliseconds(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, notices.size());
        CPPUNIT_ASSERT(notices[0].destination == agentAddress(4));
        CPPUNIT_ASSERT(notices[0].notice.owner == agentAddress(1));
    }

    void notifiesARestartedRegistrar()
    {
        Snapshots snapshots;
        AgentSteering agent = this->agent(1, snapshots.server(1).server(2));
        openFlow(agent, flow(1));
        agent.handleAcknowledgement({flow(1), agentAddress(2)});
        CPPUNIT_ASSERT(resentNotices(agent, milliseconds(250)).empty());
        agent.update(m_now, snapshots.agentEpoch(2, 77).build());
        CPPUNIT_ASSERT(resentNotices(agent, milliseconds(250)).at(0).destination == agentAddress(2));
    }

    /// A restarted agent has forgotten the flows of its server, and later nobody knows them if their registrars restart, too.
    void returnsFlowsToARestartedOwner()
    {
        Snapshots snapshots;
        AgentSteering registrar = agent(2, snapshots.server(1).server(2));
        registrar.handleOwnerNotice(m_now, {flow(1), agentAddress(1), {101}});
        CPPUNIT_ASSERT(resentNotices(registrar, {}).empty());
        registrar.update(m_now, snapshots.agentEpoch(1, 77).build());
        const auto notices = resentNotices(registrar, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, notices.size());
        CPPUNIT_ASSERT(notices[0].destination == agentAddress(1));
        CPPUNIT_ASSERT(notices[0].notice.owner == agentAddress(1));
        CPPUNIT_ASSERT_EQUAL(101U, notices[0].notice.incarnation.value);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, resentNotices(registrar, seconds(1)).size());
        // The owner has registered the flow again.
        registrar.handleOwnerNotice(m_now, {flow(1), agentAddress(1), {}});
        CPPUNIT_ASSERT(resentNotices(registrar, seconds(2)).empty());
    }

    /// Guards against a restarted agent that passes packets of its own idle flows on, or does not register these flows again.
    void restoresTheFlowsThatRegistrarsReturn()
    {
        Snapshots snapshots;
        AgentSteering restarted = agent(1, snapshots.server(1).server(2).server(3), false);
        const FlowTuple tuple = flowWithFirstRegistrar(restarted.directory(), agentAddress(2));
        restarted.handleOwnerNotice(m_now, {tuple, agentAddress(1), {101}});
        const auto notices = resentNotices(restarted, {});
        CPPUNIT_ASSERT(!notices.empty() && notices[0].destination == agentAddress(2));
        // It is not certain that the server owns the flow.
        CPPUNIT_ASSERT(notices[0].notice.incarnation == Incarnation());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{0}, restarted.load().openFlows);
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(restarted.handleCallerPacket(m_now, lookupHeader(), data(tuple, 5), m_notices)));
        CPPUNIT_ASSERT(std::holds_alternative<SendToCaller>(restarted.handleServerPacket(m_now, fromServer(tuple), m_notices)));
        CPPUNIT_ASSERT(m_notices.front().notice.incarnation == Incarnation{101});
    }

    /// Guards against packets that are delivered to a server although it has replaced the owner, or has rejected the flow.
    void restoresNoFlowOfAnotherServer()
    {
        const Snapshots snapshots = Snapshots().server(1).server(2).server(3);
        AgentSteering restarted = agent(1, snapshots, false);
        restarted.handleOwnerNotice(m_now, {flow(1), agentAddress(1), {777}});
        rejectProbe(restarted, flow(2));
        restarted.handleOwnerNotice(m_now, {flow(2), agentAddress(1), {101}});
        CPPUNIT_ASSERT(resentNotices(restarted, {}).empty());

        AgentSteering unconfirmed = agent(1, snapshots, false);
        unconfirmed.setServer(m_now, LocalServer{serviceKey("feed"), unconfirmedIncarnation, true, 3}, false);
        unconfirmed.handleOwnerNotice(m_now, {flow(1), agentAddress(1), {777}});
        unconfirmed.setServer(m_now, LocalServer{serviceKey("feed"), {101}, true, 3}, false);
        CPPUNIT_ASSERT(resentNotices(unconfirmed, {}).empty());

        AgentSteering replaced = agent(1, snapshots, false);
        replaced.handleOwnerNotice(m_now, {flow(1), agentAddress(1), {}});
        replaced.setServer(m_now, LocalServer{serviceKey("feed"), {778}, true, 3}, true);
        CPPUNIT_ASSERT(resentNotices(replaced, {}).empty());
    }

    /// The owner registers a flow with both registrars, so a lookup tries them before all other agents.
    void triesTheRegistrarsFirst()
    {
        Snapshots snapshots;
        for (std::uint32_t number = 1; number <= 6; ++number) {
            snapshots.server(number);
        }
        ServerDirectory directory({});
        directory.update({}, snapshots.build());
        const auto registrars = directory.registrars(flow(1));
        AgentSteering registrar({.agent = registrars[0].agent});
        registrar.update(m_now - seconds(10), snapshots.build());
        registrar.setServer(m_now - seconds(10), LocalServer{serviceKey("feed"), {1}, true, 3}, true);
        SteerHeader lookup = header();
        lookup.wantsOwnerNotice = true;
        const auto relayed = std::get<RelayToAgent>(registrar.handleCallerPacket(m_now, lookup, data(flow(1), 5), m_notices));
        CPPUNIT_ASSERT(relayed.agent == registrars[1].agent);
        CPPUNIT_ASSERT(relayed.header.lookupPhase == LookupPhase::SecondRegistrar);
    }

    /// While a server joins, agents with the older and with the newer server list forward a packet to each other. If their order of the
    /// remaining servers depended on the registrars, the lookup could leave out the owner, and the flow would be reset.
    void triesAllServersWhenServerListsDiffer()
    {
        Snapshots older;
        for (std::uint32_t number = 1; number <= 8; ++number) {
            older.server(number);
        }
        Snapshots newer = older;
        newer.server(9);
        std::map<HostAddress, AgentSteering> agents;
        for (std::uint32_t number = 1; number <= 9; ++number) {
            agents.emplace(agentAddress(number), agent(number, number % 3 == 0 ? newer : older));
        }
        for (std::uint16_t port = 1; port <= 300; ++port) {
            std::set<HostAddress> visited;
            SteerHeader header = AgentSteeringTest::header();
            header.wantsOwnerNotice = true;
            HostAddress currentAgent = agents.at(agentAddress(3)).directory().firstRegistrar(flow(port)).value();
            while (true) {
                visited.insert(currentAgent);
                const AgentDecision decision = agents.at(currentAgent).handleCallerPacket(m_now, header, data(flow(port), 5), m_notices);
                const auto *relayed = std::get_if<RelayToAgent>(&decision);
                if (relayed == nullptr) {
                    break;
                }
                currentAgent = relayed->agent;
                header = relayed->header;
            }
            visited.erase(agentAddress(9));
            CPPUNIT_ASSERT_EQUAL(std::size_t{8}, visited.size());
        }
    }

    /// Guards against a lookup that is given up before it has visited all servers, so that the caller waits for its own deadline.
    void triesAllServersOfALargeFleet()
    {
        constexpr std::uint32_t serverCount = 400;
        Snapshots fleet;
        for (std::uint32_t number = 1; number <= serverCount; ++number) {
            fleet.server(number);
        }
        std::set<HostAddress> visited;
        SteerHeader header = AgentSteeringTest::header();
        HostAddress currentAgent = agentAddress(1);
        while (true) {
            visited.insert(currentAgent);
            AgentSteering agent = this->agent(currentAgent.ip - agentAddress(0).ip, fleet);
            const AgentDecision decision = agent.handleCallerPacket(m_now, header, data(flow(1), 5), m_notices);
            const auto *relayed = std::get_if<RelayToAgent>(&decision);
            if (relayed == nullptr) {
                CPPUNIT_ASSERT(std::holds_alternative<ResetCaller>(decision));
                break;
            }
            currentAgent = relayed->agent;
            header = relayed->header;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{serverCount}, visited.size());
    }

    /// Guards against a packet that agents forward forever, because one of them is missing in its own list and starts again at the best rank.
    void endsALookupThatGoesRound()
    {
        constexpr std::uint32_t serverCount = 20;
        constexpr int maxRounds = 50;
        Snapshots fleet;
        for (std::uint32_t number = 1; number <= serverCount; ++number) {
            fleet.server(number);
        }
        const AgentSteering observer = agent(1, fleet);
        const HostAddress last = observer.directory().rankedAgents(flow(1)).back();
        SteerHeader header = lookupHeader();
        HostAddress currentAgent = observer.directory().rankedAgents(flow(1)).front();
        for (std::uint32_t forwards = 0;; ++forwards) {
            CPPUNIT_ASSERT(forwards < maxRounds * serverCount);
            const std::uint32_t number = currentAgent.ip - agentAddress(0).ip;
            Snapshots list = fleet;
            if (currentAgent == last) {
                list.without(number);
            }
            AgentSteering agent = this->agent(number, list);
            const AgentDecision decision = agent.handleCallerPacket(m_now, header, data(flow(1), 5), m_notices);
            const auto *relayed = std::get_if<RelayToAgent>(&decision);
            if (relayed == nullptr) {
                break;
            }
            currentAgent = relayed->agent;
            header = relayed->header;
        }
    }

    void stopsNotifyingARegistrarThatNeverAcknowledges()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2));
        openFlow(agent, flow(1));
        std::size_t sent = 1;
        for (int step = 1; step <= 20; ++step) {
            sent += resentNotices(agent, milliseconds(250 * step)).size();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{AgentSteeringOptions().maxNotices}, sent);
    }

    /// Each probe delivers a packet to a server that may not own the flow. After the idle timeout all flows of the server are known.
    void stopsProbingTheServerAfterTheIdleTimeout()
    {
        AgentSteering agent = this->agent(1, Snapshots().idleTimeout(milliseconds(15'000)).server(1).server(2), false);
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now + milliseconds(4'999), header(), data(flow(1), 5), m_notices)));
        CPPUNIT_ASSERT(std::holds_alternative<RelayToAgent>(agent.handleCallerPacket(m_now + milliseconds(5'000), header(), data(flow(2), 5), m_notices)));
    }

    /// A SYN may have been delivered to two servers. The caller's acknowledgement shows which of the two SYN-ACKs it has received.
    void forwardsPacketsOfAFlowThatAnotherServerHasEstablished()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2));
        const FlowTuple tuple = flowWithFirstRegistrar(agent.directory(), agentAddress(1));
        agent.handleCallerPacket(m_now, header(), syn(tuple), m_notices);
        agent.handleServerPacket(m_now, synAck(tuple, 1000), m_notices);
        const AgentDecision decision = agent.handleCallerPacket(m_now, header(), data(tuple, 900'000'000), m_notices);
        CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).agent == agentAddress(2));
    }

    /// Sequence numbers are random, so an acknowledgement of another server's SYN-ACK may look like one of the local server's. The local
    /// server rejects the packet then. A reset would close a flow that another server owns.
    void doesNotResetAFlowThatTheServerNeverOpened()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2));
        const FlowTuple tuple = flowWithFirstRegistrar(agent.directory(), agentAddress(1));
        agent.handleCallerPacket(m_now, header(), syn(tuple), m_notices);
        agent.handleServerPacket(m_now, synAck(tuple, 1000), m_notices);
        const Segment other = data(tuple, 1000 + 40'000'000);
        agent.handleCallerPacket(m_now, header(), other, m_notices);
        const AgentDecision decision = agent.handleServerPacket(m_now, rejected(other), m_notices);
        CPPUNIT_ASSERT(std::holds_alternative<RelayToAgent>(decision) || std::holds_alternative<DropPacket>(decision));

        const FlowTuple ambiguous = flow(4998);
        agent.handleCallerPacket(m_now, header(), syn(ambiguous), m_notices);
        agent.handleServerPacket(m_now, synAck(ambiguous, 1000), m_notices);
        const Segment guess = data(ambiguous, 1001);
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, header(), guess, m_notices)));
        CPPUNIT_ASSERT(!std::holds_alternative<ResetCaller>(agent.handleServerPacket(m_now, rejected(guess), m_notices)));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{0}, agent.load().pendingRequests);
    }

    void forwardsPacketsOfARemoteFlowToItsOwner()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2).server(3));
        agent.handleOwnerNotice(m_now, {flow(1), agentAddress(3)});
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{0}, agent.load().openFlows);
        const AgentDecision decision = agent.handleCallerPacket(m_now, lookupHeader(), data(flow(1), 5), m_notices);
        CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).agent == agentAddress(3));
        CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).header.wantsOwnerNotice);
        CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).header.balancer == balancerAddress(1));
    }

    /// The owner of a flow may not run any more, so the registrar has to end the flow for the caller.
    void registrarResetsFlowsOfAReplacedServer()
    {
        Snapshots snapshots;
        AgentSteering agent = this->agent(1, snapshots.server(1).server(2).server(3));
        agent.handleOwnerNotice(m_now, {flow(1), agentAddress(3), {103}, 0});
        agent.handleOwnerNotice(m_now, {flow(2), agentAddress(3), {777}, 0});
        agent.update(m_now, snapshots.incarnation(3, 777).build());
        const AgentDecision ended = agent.handleCallerPacket(m_now, lookupHeader(), data(flow(1), 5), m_notices);
        CPPUNIT_ASSERT(std::get<ResetCaller>(ended).cause == SteerCause::ServerReplaced);
        // The reset may be lost.
        CPPUNIT_ASSERT(std::holds_alternative<ResetCaller>(agent.handleCallerPacket(m_now, lookupHeader(), data(flow(1), 0x70000000), m_notices)));
        const AgentDecision open = agent.handleCallerPacket(m_now, lookupHeader(), data(flow(2), 5), m_notices);
        CPPUNIT_ASSERT(std::get<RelayToAgent>(open).agent == agentAddress(3));
    }

    /// The owner notice of a new server may arrive at a registrar whose list contains the previous one. Guards against a reset of an open flow.
    void registrarKeepsFlowsOfAServerThatIsNewerThanItsList()
    {
        Snapshots snapshots;
        AgentSteering agent = this->agent(1, snapshots.server(1).server(2).server(3));
        agent.handleOwnerNotice(m_now, {flow(1), agentAddress(3), {777}, 0});
        agent.update(m_now, snapshots.deregistered(3).build());
        const AgentDecision decision = agent.handleCallerPacket(m_now, lookupHeader(), data(flow(1), 5), m_notices);
        CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).agent == agentAddress(3));
    }

    /// The notice belongs to an earlier flow with the same addresses and ports. Guards against a reset of the open one.
    void registrarIgnoresANoticeAboutAnEndedServer()
    {
        Snapshots snapshots;
        AgentSteering agent = this->agent(1, snapshots.server(1).server(2).server(3));
        agent.handleOwnerNotice(m_now, {flow(1), agentAddress(2), {102}, 0});
        agent.update(m_now, snapshots.incarnation(3, 777).build());
        agent.handleOwnerNotice(m_now, {flow(1), agentAddress(3), {103}, 0});
        const AgentDecision decision = agent.handleCallerPacket(m_now, lookupHeader(), data(flow(1), 5), m_notices);
        CPPUNIT_ASSERT(!std::holds_alternative<ResetCaller>(decision));
        CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).agent == agentAddress(2));
    }

    /// Two notices that name different owners belong to two flows, and the later one may be the older. Guards against a reset of the open flow when the
    /// server of the other one ends.
    void registrarLooksForTheOwnerAfterContradictoryNotices()
    {
        const FlowTuple tuple = flowWithFirstRegistrar(agent(1, Snapshots().server(1).server(2).server(3)).directory(), agentAddress(1));
        for (const AddressedNotice &contradictory :
             {AddressedNotice{{}, {tuple, agentAddress(2), {102}, 0}}, AddressedNotice{{}, {tuple, agentAddress(3), {99}, 0}}}) {
            Snapshots snapshots;
            AgentSteering agent = this->agent(1, snapshots.server(1).server(2).server(3));
            agent.handleOwnerNotice(m_now, contradictory.notice);
            agent.handleOwnerNotice(m_now, {tuple, agentAddress(3), {103}, 0});
            agent.handleOwnerNotice(m_now, {tuple, agentAddress(3), {103}, 0});
            agent.update(m_now - seconds(1), snapshots.incarnation(3, 777).build());
            const AgentDecision decision = agent.handleCallerPacket(m_now, lookupHeader(), data(tuple, 5), m_notices);
            CPPUNIT_ASSERT(!std::holds_alternative<ResetCaller>(decision));
            CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).cause == SteerCause::OwnerLookup);
        }
    }

    /// A late notice of an earlier flow with the same addresses and ports arrives during the handshake at the local server. Guards against packets of the
    /// new flow that are sent to the owner of the earlier one, and against a reset when that one ends.
    void keepsAHalfOpenFlowWhenANoticeArrives()
    {
        for (const bool hasOtherEnded : {false, true}) {
            for (const bool isBeforeSynAck : {false, true}) {
                Snapshots snapshots;
                AgentSteering agent = this->agent(1, snapshots.server(1).server(2).server(3));
                const FlowTuple tuple = flowWithFirstRegistrar(agent.directory(), agentAddress(1));
                agent.handleCallerPacket(m_now, header(), syn(tuple), m_notices);
                if (isBeforeSynAck) {
                    agent.handleOwnerNotice(m_now, {tuple, agentAddress(3), {103}, 0});
                }
                agent.handleServerPacket(m_now, synAck(tuple, 1000), m_notices);
                if (!isBeforeSynAck) {
                    agent.handleOwnerNotice(m_now, {tuple, agentAddress(3), {103}, 0});
                }
                if (hasOtherEnded) {
                    agent.update(m_now - seconds(1), snapshots.incarnation(3, 777).build());
                }
                // The acknowledgement shows at which server the caller has opened the flow.
                const AgentDecision other = agent.handleCallerPacket(m_now, lookupHeader(), data(tuple, 900'000'000), m_notices);
                CPPUNIT_ASSERT(std::holds_alternative<RelayToAgent>(other));
                CPPUNIT_ASSERT(hasOtherEnded || std::get<RelayToAgent>(other).agent == agentAddress(3));
                CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, header(), data(tuple, 1001), m_notices)));
                CPPUNIT_ASSERT_EQUAL(std::uint16_t{1}, agent.load().openFlows);
            }
        }
    }

    /// Guards against a registrar that forgets an owner because a copy of the SYN was sent to its local server, which never answered.
    void remembersTheOwnerOfAFlowWhoseSynTheLocalServerNeverAnswered()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2).server(3));
        agent.handleCallerPacket(m_now, header(), syn(flow(1)), m_notices);
        agent.handleOwnerNotice(m_now, {flow(1), agentAddress(3), {103}, 0});
        agent.expire(m_now + seconds(10));
        const AgentDecision decision = agent.handleCallerPacket(m_now + seconds(10), lookupHeader(), data(flow(1), 5), m_notices);
        CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).agent == agentAddress(3));
        CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).cause == SteerCause::KnownOwner);
    }

    /// Guards against a registrar that forgets or resets the flow of another server when its local server rejects the SYN or is replaced.
    void remembersTheOwnerWhenTheLocalServerEndsOrRejectsTheSyn()
    {
        for (const bool isRejected : {false, true}) {
            AgentSteering agent = this->agent(1, Snapshots().server(1).server(2).server(3));
            agent.handleCallerPacket(m_now, header(), syn(flow(1)), m_notices);
            agent.handleOwnerNotice(m_now, {flow(1), agentAddress(3), {103}, 0});
            if (isRejected) {
                CPPUNIT_ASSERT(std::holds_alternative<DropPacket>(agent.handleServerPacket(m_now, rejected(syn(flow(1))), m_notices)));
            } else {
                CPPUNIT_ASSERT(agent.setServer(m_now, LocalServer{serviceKey("feed"), {999}, true, 3}, true).empty());
            }
            CPPUNIT_ASSERT_EQUAL(std::uint16_t{0}, agent.load().openFlows);
            const AgentDecision decision = agent.handleCallerPacket(m_now, lookupHeader(), data(flow(1), 5), m_notices);
            CPPUNIT_ASSERT(std::holds_alternative<RelayToAgent>(decision));
            CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).agent == agentAddress(3));
            CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).cause == SteerCause::KnownOwner);
        }
    }

    /// The local server got a copy of the SYN, and the caller opened the flow at another server. Guards against a reset of it when the local server is
    /// replaced.
    void looksForTheOwnerOfAFlowThatAReplacedServerNeverOpened()
    {
        for (const bool hasAnswered : {false, true}) {
            AgentSteering agent = this->agent(1, Snapshots().server(1).server(2).server(3));
            const FlowTuple tuple = flowWithFirstRegistrar(agent.directory(), agentAddress(1));
            agent.handleCallerPacket(m_now, header(), syn(tuple), m_notices);
            if (hasAnswered) {
                agent.handleServerPacket(m_now, synAck(tuple, 1000), m_notices);
            }
            CPPUNIT_ASSERT(agent.setServer(m_now, LocalServer{serviceKey("feed"), {999}, true, 3}, true).empty());
            const AgentDecision decision = agent.handleCallerPacket(m_now, lookupHeader(), data(tuple, 900'000'000), m_notices);
            CPPUNIT_ASSERT(!std::holds_alternative<ResetCaller>(decision));
            CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).cause == SteerCause::OwnerLookup);
            // The notice of the owner may arrive later.
            agent.handleOwnerNotice(m_now, {tuple, agentAddress(3), {103}, 0});
            const AgentDecision known = agent.handleCallerPacket(m_now, lookupHeader(), data(tuple, 900'000'000), m_notices);
            CPPUNIT_ASSERT(std::get<RelayToAgent>(known).agent == agentAddress(3));
        }
    }

    /// The agent has only probed its server for the flow, and the server is replaced before it answers. Guards against a reset of the flow of another one.
    void looksForTheOwnerOfAFlowForWhichAReplacedServerWasProbed()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2).server(3), false);
        const FlowTuple tuple = flowWithFirstRegistrar(agent.directory(), agentAddress(1));
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, lookupHeader(), data(tuple, 5), m_notices)));
        CPPUNIT_ASSERT(agent.setServer(m_now, LocalServer{serviceKey("feed"), {999}, true, 3}, true).empty());
        const AgentDecision decision = agent.handleCallerPacket(m_now, lookupHeader(), data(tuple, 5), m_notices);
        CPPUNIT_ASSERT(!std::holds_alternative<ResetCaller>(decision));
        CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).cause == SteerCause::OwnerLookup);
    }

    /// An agent that has just restarted does not know the incarnation of its server. Guards against a lookup that ends at an agent without one.
    void looksForTheOwnerIfItsIncarnationIsUnknown()
    {
        Snapshots snapshots;
        AgentSteering agent = this->agent(1, snapshots.server(1).server(2).server(3));
        agent.handleOwnerNotice(m_now, {flow(1), agentAddress(3), Incarnation()});
        agent.update(m_now, snapshots.deregistered(3).build());
        const AgentDecision decision = agent.handleCallerPacket(m_now, lookupHeader(), data(flow(1), 5), m_notices);
        const auto *relay = std::get_if<RelayToAgent>(&decision);
        CPPUNIT_ASSERT(relay == nullptr || relay->agent == agentAddress(2));
    }

    void endsTheFlowsOfAnEarlierServer()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2).server(3));
        const EndedFlowsNotice notice{{777}, {{flow(1), 5000}, {flow(2), 6000}}};
        const auto resets = agent.endFlows(m_now, notice);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, resets.size());
        CPPUNIT_ASSERT(resets[1].tuple == flow(2));
        CPPUNIT_ASSERT_EQUAL(6000U, resets[1].sequence);
        // The reset may be lost, or the caller may have sent a request before it arrived.
        const AgentDecision decision = agent.handleCallerPacket(m_now, lookupHeader(), data(flow(2), 6000), m_notices);
        CPPUNIT_ASSERT(std::get<ResetCaller>(decision).cause == SteerCause::ServerReplaced);
        CPPUNIT_ASSERT(agent.endFlows(m_now, notice).empty());
        // The caller opens another flow with the same addresses and ports.
        openFlow(agent, flow(1));
        CPPUNIT_ASSERT(agent.endFlows(m_now, notice).empty());
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, header(), data(flow(1), 1001), m_notices)));
    }

    /// Guards against records that are older than the flow, that name the running server, or that arrive before the agent knows its server.
    void neverEndsAnOpenFlow()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2).server(3));
        openFlow(agent, flow(1));
        agent.handleOwnerNotice(m_now, {flow(2), agentAddress(3), {103}, 0});
        CPPUNIT_ASSERT(agent.endFlows(m_now, {{777}, {{flow(1), 1001}, {flow(2), 1}}}).empty());
        CPPUNIT_ASSERT(agent.endFlows(m_now, {{101}, {{flow(3), 1}}}).empty());
        CPPUNIT_ASSERT(agent.endFlows(m_now, {unconfirmedIncarnation, {{flow(3), 1}}}).empty());
        CPPUNIT_ASSERT(agent.endFlows(m_now, {{}, {{flow(3), 1}}}).empty());

        AgentSteering restarted({.agent = agentAddress(1)});
        CPPUNIT_ASSERT(restarted.endFlows(m_now, {{777}, {{flow(3), 1}}}).empty());
        restarted.setServer(m_now, LocalServer{serviceKey("feed"), unconfirmedIncarnation, true, 3}, false);
        CPPUNIT_ASSERT(restarted.endFlows(m_now, {{777}, {{flow(3), 1}}}).empty());
    }

    /// Guards against the reset of an open flow during its owner lookup, at the agent of an ended flow with the same addresses and ports.
    void endsNoFlowOfAnotherServerWithThePortsOfAnEndedOne()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2).server(3));
        const FlowTuple replaced = flowWithFirstRegistrar(agent.directory(), agentAddress(2));
        const FlowTuple recorded = {{replaced.caller.ip + 1, replaced.caller.port}, replaced.service};
        openFlow(agent, replaced, 1000);
        agent.setServer(m_now, LocalServer{serviceKey("feed"), {999}, true, 3}, true);
        agent.endFlows(m_now, {{777}, {{recorded, 1000}}});
        for (const FlowTuple &tuple : {replaced, recorded}) {
            CPPUNIT_ASSERT(!std::holds_alternative<ResetCaller>(agent.handleCallerPacket(m_now, header(), data(tuple, 0x70000000), m_notices)));
            CPPUNIT_ASSERT(std::holds_alternative<ResetCaller>(agent.handleCallerPacket(m_now, header(), data(tuple, 25000), m_notices)));
        }
    }

    void recordsItsOpenFlows()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2).server(3));
        openFlow(agent, flow(1));
        agent.handleOwnerNotice(m_now, {flow(2), agentAddress(3), {103}, 0});
        FlowRecordChanges changes = agent.takeFlowRecordChanges(m_now + seconds(2));
        CPPUNIT_ASSERT(changes.isFull);
        CPPUNIT_ASSERT(changes.incarnation == Incarnation{101});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.changes.size());
        CPPUNIT_ASSERT(changes.changes[0].tuple == flow(1));
        CPPUNIT_ASSERT_EQUAL(1001U, changes.changes[0].acknowledgement);

        Segment reset = fromServer(flow(1));
        reset.isRst = true;
        agent.handleServerPacket(m_now, reset, m_notices);
        changes = agent.takeFlowRecordChanges(m_now + seconds(3));
        CPPUNIT_ASSERT(!changes.isFull);
        CPPUNIT_ASSERT(!changes.changes.at(0).isOpen);

        openFlow(agent, flow(4));
        agent.takeFlowRecordChanges(m_now + seconds(4));
        agent.setServer(m_now, LocalServer{serviceKey("feed"), {999}, true, 3}, true);
        changes = agent.takeFlowRecordChanges(m_now + seconds(5));
        CPPUNIT_ASSERT(changes.isFull);
        CPPUNIT_ASSERT(changes.incarnation == Incarnation{999});
        CPPUNIT_ASSERT(changes.changes.empty());
    }

    /// After a restart of the agent its flow table lacks the open flows of the server.
    void probesTheServerAfterARestartOfTheAgent()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2), false);
        const FlowTuple tuple = flowWithFirstRegistrar(agent.directory(), agentAddress(1));
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, lookupHeader(), data(tuple, 5), m_notices)));
        const AgentDecision decision = agent.handleServerPacket(m_now, rejected(data(tuple, 5)), m_notices);
        CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).agent == agentAddress(2));

        const FlowTuple owned = flow(4999);
        agent.handleCallerPacket(m_now, lookupHeader(), data(owned, 5), m_notices);
        m_notices.clear();
        CPPUNIT_ASSERT(std::holds_alternative<SendToCaller>(agent.handleServerPacket(m_now, fromServer(owned), m_notices)));
        CPPUNIT_ASSERT(m_notices.back().destination == balancerAddress(1));
        CPPUNIT_ASSERT(m_notices.back().notice.owner == agentAddress(1));
    }

    /// The server does not answer a copy of the SYN of a flow that it holds, which must not look like a flow that another server has opened.
    void probesTheServerAfterALateSynAtARestartedAgent()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2), false);
        const FlowTuple tuple = flowWithFirstRegistrar(agent.directory(), agentAddress(1));
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, header(), syn(tuple), m_notices)));
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, lookupHeader(), data(tuple, 5), m_notices)));
        CPPUNIT_ASSERT(std::holds_alternative<SendToCaller>(agent.handleServerPacket(m_now, fromServer(tuple), m_notices)));
        CPPUNIT_ASSERT(m_notices.back().destination == balancerAddress(1));
        CPPUNIT_ASSERT(m_notices.back().notice.owner == agentAddress(1));

        AgentSteering other = this->agent(1, Snapshots().server(1).server(2), false);
        other.handleCallerPacket(m_now, header(), syn(tuple), m_notices);
        other.handleCallerPacket(m_now, lookupHeader(), data(tuple, 5), m_notices);
        const AgentDecision decision = other.handleServerPacket(m_now, rejected(data(tuple, 5)), m_notices);
        CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).agent == agentAddress(2));
    }

    /// Guards against packets that go to the servers of restarted agents although the agent of their owner knows the flow.
    void asksAgentsThatKnowTheirFlowsBeforeAnyProbe()
    {
        const Snapshots snapshots = Snapshots().server(1).server(2).server(3).server(4);
        const AgentSteering owner = agent(1, snapshots);
        const FlowTuple tuple = flowWithLastRank(owner.directory(), agentAddress(1));
        std::map<HostAddress, AgentSteering> agents{{agentAddress(1), owner}};
        openFlow(agents.at(agentAddress(1)), tuple);
        for (std::uint32_t number = 2; number <= 4; ++number) {
            agents.emplace(agentAddress(number), agent(number, snapshots, false));
        }
        CPPUNIT_ASSERT(deliveries(agents, tuple, agentAddress(1)) == std::vector{agentAddress(1)});
    }

    /// A flow of an agent that has restarted is found by probes, also if it is the first or the only one.
    void probesAllServersIfNoAgentKnowsTheFlow()
    {
        Snapshots snapshots;
        std::map<HostAddress, AgentSteering> agents;
        for (std::uint32_t count = 1; count <= 4; ++count) {
            agents.clear();
            snapshots.server(count);
            for (std::uint32_t number = 1; number <= count; ++number) {
                agents.emplace(agentAddress(number), agent(number, snapshots, false));
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{count}, deliveries(agents, flow(count)).size());
        }
    }

    /// Guards against flows whose packets keep going to other servers, because each restarted agent probes its server with each of them.
    void doesNotProbeAFlowAgainThatTheServerRejected()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2), false);
        const FlowTuple tuple = flowWithFirstRegistrar(agent.directory(), agentAddress(1));
        rejectProbe(agent, tuple);
        CPPUNIT_ASSERT(std::holds_alternative<RelayToAgent>(agent.handleCallerPacket(m_now, lookupHeader(), data(tuple, 5), m_notices)));
        const FlowTuple other = flowWithFirstRegistrar(agent.directory(), agentAddress(2));
        rejectProbe(agent, other);
        CPPUNIT_ASSERT(std::holds_alternative<RelayToAgent>(agent.retryLookup(m_now, lookupHeader(), data(other, 5), m_notices)));
    }

    /// Guards against flows of the local server that are taken for flows of another one, because an earlier flow was rejected.
    void probesAgainWhenTheServerMayOwnTheFlow()
    {
        const Snapshots snapshots = Snapshots().server(1).server(2);
        const FlowTuple tuple = flow(1);
        const auto isProbed = [&](AgentSteering &agent, Duration elapsed = {}, std::uint32_t sequence = 0) {
            Segment segment = data(tuple, 5);
            segment.sequence = sequence;
            return std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now + elapsed, lookupHeader(), segment, m_notices));
        };

        AgentSteering later = agent(1, snapshots, false);
        rejectProbe(later, tuple);
        CPPUNIT_ASSERT(!isProbed(later));
        CPPUNIT_ASSERT(isProbed(later, later.options().closedFlowRetention + seconds(1)));

        AgentSteering otherFlow = agent(1, snapshots, false);
        rejectProbe(otherFlow, tuple);
        CPPUNIT_ASSERT(isProbed(otherFlow, {}, 1U << 30U));

        AgentSteering reopened = agent(1, snapshots, false);
        rejectProbe(reopened, tuple);
        reopened.handleCallerPacket(m_now, header("vault"), syn(tuple), m_notices);
        CPPUNIT_ASSERT(isProbed(reopened));

        AgentSteering answered = agent(1, snapshots, false);
        rejectProbe(answered, tuple);
        answered.handleServerPacket(m_now, fromServer(tuple), m_notices);
        CPPUNIT_ASSERT(isProbed(answered));

        AgentSteering replaced = agent(1, snapshots, false);
        rejectProbe(replaced, tuple);
        replaced.setServer(m_now, LocalServer{serviceKey("feed"), {999}, true, 3}, false);
        replaced.setServer(m_now, std::nullopt, false);
        replaced.setServer(m_now, LocalServer{serviceKey("feed"), {1003}, true, 3}, false);
        CPPUNIT_ASSERT(isProbed(replaced));
    }

    /// Guards against a flow that never reaches its owner, because it has the ports of a closed flow of the local server.
    void looksForTheOwnerIfTheServerRejectsAPacketOfAClosedFlow()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2));
        const FlowTuple tuple = flowWithFirstRegistrar(agent.directory(), agentAddress(1));
        openFlow(agent, tuple);
        Segment end = fromServer(tuple);
        end.isRst = true;
        agent.handleServerPacket(m_now, end, m_notices);
        SteerHeader second = lookupHeader();
        second.balancer = balancerAddress(2);
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, second, data(tuple, 5), m_notices)));
        const AgentDecision decision = agent.handleServerPacket(m_now, rejected(data(tuple, 5)), m_notices);
        CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).agent == agentAddress(2));
        CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).header.balancer == balancerAddress(2));
        CPPUNIT_ASSERT(std::holds_alternative<RelayToAgent>(agent.handleCallerPacket(m_now, second, data(tuple, 5), m_notices)));
    }

    /// Guards against an open flow that is forgotten or reset because the server rejects a late packet of an earlier flow with the same ports.
    void keepsAnOpenFlowWhenItsServerRejectsAPacketOfAnEarlierOne()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2));
        const FlowTuple tuple = flowWithFirstRegistrar(agent.directory(), agentAddress(1));
        const Segment late = data(tuple, 1U << 30U);
        openFlow(agent, tuple);
        agent.handleCallerPacket(m_now, header(), late, m_notices);
        CPPUNIT_ASSERT(std::holds_alternative<DropPacket>(agent.handleServerPacket(m_now, rejected(late), m_notices)));
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, lookupHeader(), data(tuple, 1001), m_notices)));

        Segment response = fromServer(tuple);
        response.sequence = 1001;
        response.length = 200;
        agent.handleServerPacket(m_now, response, m_notices);
        agent.handleCallerPacket(m_now, header(), late, m_notices);
        CPPUNIT_ASSERT(std::holds_alternative<DropPacket>(agent.handleServerPacket(m_now, rejected(late), m_notices)));
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, lookupHeader(), data(tuple, 1201), m_notices)));
        // A packet of the flow itself shows that the server has lost it.
        CPPUNIT_ASSERT(std::holds_alternative<ResetCaller>(agent.handleServerPacket(m_now, rejected(data(tuple, 1201)), m_notices)));
    }

    /// Probes cost the server work, so they are sent only if the server may own the flow.
    void doesNotProbeAServerWhoseStartItObserved()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2));
        const FlowTuple tuple = flowWithFirstRegistrar(agent.directory(), agentAddress(1));
        const AgentDecision decision = agent.handleCallerPacket(m_now, lookupHeader(), data(tuple, 5), m_notices);
        CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).agent == agentAddress(2));
        CPPUNIT_ASSERT_EQUAL(std::uint8_t{1}, std::get<RelayToAgent>(decision).header.hops);
    }

    /// After a power failure the callers of all flows have to be reset.
    void resetsAFlowWithoutAnOwner()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2).server(3));
        const FlowTuple tuple = flowWithLastRank(agent.directory(), agentAddress(1));
        const AgentDecision decision = agent.handleCallerPacket(m_now, lookupHeader(), data(tuple, 55), m_notices);
        CPPUNIT_ASSERT(std::get<ResetCaller>(decision).cause == SteerCause::UnknownFlow);
        CPPUNIT_ASSERT_EQUAL(55U, std::get<ResetCaller>(decision).sequence);
    }

    /// An agent that has just started has not found its server yet. If it forwarded packets of the server's flows, another agent would end
    /// the lookup and reset these flows.
    void holdsLookupsUntilTheLocalServerIsKnown()
    {
        AgentSteering agent({.agent = agentAddress(1)});
        agent.update(m_now - seconds(10), Snapshots().server(1).server(2).build());
        CPPUNIT_ASSERT(!agent.isServerKnown());
        const auto held = std::get<HoldLookup>(agent.handleCallerPacket(m_now, header(), data(flow(1), 5), m_notices));
        agent.setServer(m_now, LocalServer{serviceKey("feed"), unconfirmedIncarnation, true, 3}, false);
        CPPUNIT_ASSERT(agent.isServerKnown());
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.retryLookup(m_now, held.header, data(flow(1), 5), m_notices)));
    }

    /// A server list that has just changed may not contain the owner yet.
    void holdsLookupsWhileTheServerListIsUnstable()
    {
        Snapshots snapshots;
        snapshots.server(1);
        AgentSteering agent = this->agent(1, snapshots);
        agent.update(m_now, snapshots.server(2).build());
        const FlowTuple tuple = flowWithLastRank(agent.directory(), agentAddress(1));
        CPPUNIT_ASSERT(std::holds_alternative<HoldLookup>(agent.handleCallerPacket(m_now, lookupHeader(), data(tuple, 5), m_notices)));
        CPPUNIT_ASSERT(!agent.isServerListStable(m_now));
        agent.confirmServerList(m_now + milliseconds(400));
        CPPUNIT_ASSERT(std::holds_alternative<ResetCaller>(agent.handleCallerPacket(m_now + seconds(1), lookupHeader(), data(tuple, 5), m_notices)));
    }

    /// Guards against a reset of a flow whose server has joined while the watch stream had stalled.
    void holdsLookupsWhileNoControlHostConfirmsTheServerList()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2));
        const FlowTuple tuple = flowWithLastRank(agent.directory(), agentAddress(1));
        const auto isReset = [&](Duration elapsed) {
            return std::holds_alternative<ResetCaller>(agent.handleCallerPacket(m_now + elapsed, lookupHeader(), data(tuple, 5), m_notices));
        };
        CPPUNIT_ASSERT(isReset(milliseconds(500)));
        CPPUNIT_ASSERT(!isReset(milliseconds(600)));
    }

    /// Guards against a reset by a host that was suspended: the messages of that time, of which the first may be an old heartbeat, are read one by one.
    void holdsLookupsAfterAPause()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2));
        CPPUNIT_ASSERT(agent.isServerListStable(m_now));
        const TimePoint end = m_now + seconds(20);
        CPPUNIT_ASSERT(!agent.isServerListStable(end));
        agent.confirmServerList(end);
        CPPUNIT_ASSERT(!agent.isServerListStable(end));
        CPPUNIT_ASSERT(agent.isServerListStable(end + agent.options().stabilizationTime));
    }

    /// After a restart of all control hosts a server that is not listed yet may own the flow. Once the registry is complete, the caller is
    /// reset without further delay.
    void resetsNoFlowWhileTheRegistryIsIncomplete()
    {
        AgentSteering agent({.agent = agentAddress(1)});
        agent.update(m_now - seconds(10), Snapshots().server(1).incomplete().build());
        agent.confirmServerList(m_now - milliseconds(500));
        agent.setServer(m_now - seconds(10), LocalServer{serviceKey("feed"), {101}, true, 3}, true);
        CPPUNIT_ASSERT(std::holds_alternative<HoldLookup>(agent.handleCallerPacket(m_now, lookupHeader(), data(flow(1), 5), m_notices)));
        agent.update(m_now, Snapshots().server(1).build());
        CPPUNIT_ASSERT(agent.isServerListStable(m_now));
        CPPUNIT_ASSERT(std::holds_alternative<ResetCaller>(agent.retryLookup(m_now, lookupHeader(), data(flow(1), 5), m_notices)));
    }

    /// An agent with an incomplete server list may have left out the owner, so the end of the lookup does not prove that there is none.
    void retriesALookupThroughAnIncompleteServerList()
    {
        AgentSteering first({.agent = agentAddress(1)});
        first.update(m_now - seconds(10), Snapshots().server(1).server(2).incomplete().build());
        first.setServer(m_now - seconds(10), LocalServer{serviceKey("feed"), {101}, true, 3}, true);
        AgentSteering last = this->agent(2, Snapshots().server(1).server(2));
        const FlowTuple tuple = flowWithLastRank(last.directory(), agentAddress(2));
        const auto relayed = std::get<RelayToAgent>(first.handleCallerPacket(m_now, lookupHeader(), data(tuple, 5), m_notices));
        CPPUNIT_ASSERT(relayed.header.isLookupPartial);
        const auto held = std::get<HoldLookup>(last.handleCallerPacket(m_now, relayed.header, data(tuple, 5), m_notices));
        const auto retried = std::get<RelayToAgent>(last.retryLookup(m_now, held.header, data(tuple, 5), m_notices));
        CPPUNIT_ASSERT(retried.agent == agentAddress(1));
        CPPUNIT_ASSERT(!retried.header.isLookupPartial);
        CPPUNIT_ASSERT_EQUAL(std::uint8_t{0}, retried.header.hops);
    }

    void redirectsSynsWhileDraining()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2).server(3, "vault"));
        openFlow(agent, flow(1));
        agent.setServer(m_now, LocalServer{serviceKey("feed"), {101}, false, 3}, false);
        const AgentDecision decision = agent.handleCallerPacket(m_now, header(), syn(flow(2)), m_notices);
        CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).agent == agentAddress(2));
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, header(), data(flow(1), 1001), m_notices)));
    }

    void redirectsASynThatTheServerRejects()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2));
        agent.handleCallerPacket(m_now, header(), syn(flow(1)), m_notices);
        const AgentDecision decision = agent.handleServerPacket(m_now, rejected(syn(flow(1))), m_notices);
        CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).agent == agentAddress(2));
        CPPUNIT_ASSERT_EQUAL(std::uint8_t{1}, std::get<RelayToAgent>(decision).header.hops);
    }

    /// A flow that no server accepts is reset at once, so that the caller does not run into its timeout.
    void resetsTheCallerAfterTwoRedirects()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2));
        agent.setServer(m_now, LocalServer{serviceKey("feed"), {101}, false, 3}, false);
        SteerHeader redirected = header();
        redirected.hops = 2;
        const AgentDecision decision = agent.handleCallerPacket(m_now, redirected, syn(flow(1)), m_notices);
        CPPUNIT_ASSERT(std::get<ResetCaller>(decision).cause == SteerCause::NotAccepted);
    }

    /// An earlier copy may have opened the flow at another server. Guards against a reset because the local server drains or the route is missing here.
    void neverResetsARetransmittedSyn()
    {
        Snapshots snapshots;
        AgentSteering agent = this->agent(1, snapshots.server(1));
        agent.setServer(m_now, LocalServer{serviceKey("feed"), {101}, false, 3}, false);
        const AgentDecision refused = agent.handleCallerPacket(m_now, header(), syn(flow(1), 1), m_notices);
        CPPUNIT_ASSERT(std::holds_alternative<DropPacket>(refused));
        CPPUNIT_ASSERT(std::get<DropPacket>(refused).cause == SteerCause::NotAccepted);
        agent.update(m_now, snapshots.route(feedAddress, "").build());
        const AgentDecision withoutRoute = agent.handleCallerPacket(m_now, header(), syn(flow(1), 1), m_notices);
        CPPUNIT_ASSERT(std::holds_alternative<DropPacket>(withoutRoute));
        CPPUNIT_ASSERT(std::get<DropPacket>(withoutRoute).cause == SteerCause::NoRoute);
    }

    /// A SYN may have been redirected twice before it reaches a registrar. Guards against a reset of the flow, and against a registrar that forgets
    /// the owner because it passes the SYN to its own server.
    void keepsTheOwnerOfARemoteFlowWhenALateSynArrives()
    {
        Snapshots snapshots;
        AgentSteering agent = this->agent(1, snapshots.server(1).server(2).server(3));
        agent.handleOwnerNotice(m_now, {flow(1), agentAddress(3), {103}, 0});
        SteerHeader redirected = header();
        redirected.hops = 2;
        CPPUNIT_ASSERT(std::holds_alternative<DropPacket>(agent.handleCallerPacket(m_now, redirected, syn(flow(1)), m_notices)));
        const AgentDecision decision = agent.handleCallerPacket(m_now, lookupHeader(), data(flow(1), 5), m_notices);
        CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).agent == agentAddress(3));
        agent.update(m_now, snapshots.route(feedAddress, "").build());
        CPPUNIT_ASSERT(std::holds_alternative<DropPacket>(agent.handleCallerPacket(m_now, redirected, syn(flow(1)), m_notices)));
    }

    /// Guards against new flows that follow an earlier flow with the same ports to its server, which may have ended.
    void opensANewFlowWithThePortsOfARemoteFlow()
    {
        Snapshots snapshots;
        AgentSteering agent = this->agent(1, snapshots.server(1).server(2).server(3));
        agent.handleOwnerNotice(m_now, {flow(1), agentAddress(3), {103}, 0});
        agent.handleOwnerNotice(m_now, {flow(2), agentAddress(2), {102}, 0});
        agent.update(m_now, snapshots.incarnation(3, 777).build());
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, header(), syn(flow(1)), m_notices)));
        CPPUNIT_ASSERT(std::holds_alternative<RelayToAgent>(agent.handleCallerPacket(m_now, header(), syn(flow(2)), m_notices)));
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now + seconds(6), header(), syn(flow(2)), m_notices)));
    }

    /// A server may reject a copy of the SYN while it is full. Guards against a reset of the flow, which it still holds.
    void keepsAnOpenFlowWhenItsServerRejectsALateSyn()
    {
        for (const bool hasServerAnswered : {false, true}) {
            AgentSteering agent = this->agent(1, Snapshots().server(1).server(2));
            openFlow(agent, flow(1));
            if (hasServerAnswered) {
                agent.handleServerPacket(m_now, fromServer(flow(1)), m_notices);
            }
            CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, header(), syn(flow(1), 1), m_notices)));
            CPPUNIT_ASSERT(std::holds_alternative<DropPacket>(agent.handleServerPacket(m_now, rejected(syn(flow(1), 1)), m_notices)));
            CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, header(), data(flow(1), 1001), m_notices)));
            // A new flow with the ports of an earlier one, which the agent still lists as open.
            const AgentDecision decision = agent.handleServerPacket(m_now + seconds(6), rejected(syn(flow(1))), m_notices);
            CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).agent == agentAddress(2));
        }
    }

    /// Two servers may answer the copies of a SYN, and the caller opens the flow at one of them. Guards against a balancer that takes the other one for
    /// the owner, and resets the open flow when that server ends.
    void claimsNoFlowBeforeItsHandshakeHasEnded()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2));
        SteerHeader redirected = header();
        redirected.hops = 1;
        redirected.acceptsIncarnations = true;
        agent.handleCallerPacket(m_now, redirected, syn(flow(1)), m_notices);
        agent.handleServerPacket(m_now, synAck(flow(1), 1000), m_notices);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_notices.size());
        CPPUNIT_ASSERT(m_notices[0].destination == balancerAddress(1));
        CPPUNIT_ASSERT(m_notices[0].notice.incarnation == Incarnation());
        agent.handleCallerPacket(m_now, redirected, data(flow(1), 1001), m_notices);
        CPPUNIT_ASSERT(m_notices.back().destination == balancerAddress(1));
        CPPUNIT_ASSERT_EQUAL(101U, m_notices.back().notice.incarnation.value);
    }

    /// A balancer with an older route table must not open flows on a route that was removed.
    void resetsTheCallerOfARemovedRoute()
    {
        Snapshots snapshots;
        snapshots.server(1);
        AgentSteering agent = this->agent(1, snapshots);
        agent.update(m_now, snapshots.route(feedAddress, "").build());
        const AgentDecision decision = agent.handleCallerPacket(m_now, header("feed", 3), syn(flow(1)), m_notices);
        CPPUNIT_ASSERT(std::get<ResetCaller>(decision).cause == SteerCause::NoRoute);
    }

    void acceptsSynsOfABalancerWithANewerRouteTable()
    {
        AgentSteering agent = this->agent(1, Snapshots().route(feedAddress, "vault").server(1));
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, header("feed", 9), syn(flow(1)), m_notices)));
    }

    /// The control hosts may lose power while they distribute a route table. Guards against agents and balancers that refuse each other's SYNs
    /// until the control hosts are back, because only some of them have it.
    void findsANewerRouteTableAtABalancer()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2));
        CPPUNIT_ASSERT(!agent.newerRoutes(m_now));
        SteerHeader newer = header("feed", 9);
        newer.balancer = balancerAddress(7);
        agent.handleCallerPacket(m_now, newer, syn(flow(1)), m_notices);
        CPPUNIT_ASSERT(!agent.newerRoutes(m_now + milliseconds(400)));
        const auto found = agent.newerRoutes(m_now + milliseconds(401));
        CPPUNIT_ASSERT(found.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, found->version);
        CPPUNIT_ASSERT(found->balancer == balancerAddress(7));
        Snapshots snapshots;
        while (snapshots.build().routes->version() < 9) {
            snapshots.route(vaultAddress, "vault");
        }
        agent.update(m_now, snapshots.server(1).server(2).build());
        CPPUNIT_ASSERT(!agent.newerRoutes(m_now + seconds(1)));
    }

    /// A route table must not be used any more once a newer one is in use.
    void dropsSynsOfABalancerWithAStaleRouteTable()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1));
        agent.handleCallerPacket(m_now, header("feed", 9), syn(flow(1)), m_notices);
        // Hosts receive a new route table at slightly different times; no SYN is dropped within the grace period.
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, header("feed", 3), syn(flow(2)), m_notices)));
        const AgentDecision decision = agent.handleCallerPacket(m_now + milliseconds(200), header("feed", 3), syn(flow(3)), m_notices);
        CPPUNIT_ASSERT(std::holds_alternative<DropPacket>(decision));
    }

    /// The address of a server may be reused for a server of another service.
    void redirectsSynsForAnotherService()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2, "vault"));
        const AgentDecision decision = agent.handleCallerPacket(m_now, header("vault"), syn(flow(1, vaultAddress)), m_notices);
        CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).agent == agentAddress(2));
    }

    void resetsTheFlowsOfAReplacedServer()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2));
        openFlow(agent, flow(1), 1000);
        const auto resets = agent.setServer(m_now, LocalServer{serviceKey("feed"), {999}, true, 3}, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, resets.size());
        CPPUNIT_ASSERT(resets.front().tuple == flow(1));
        CPPUNIT_ASSERT_EQUAL(1001U, resets.front().sequence);
        CPPUNIT_ASSERT(std::holds_alternative<ResetCaller>(agent.handleCallerPacket(m_now, header(), data(flow(1), 1001), m_notices)));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{0}, agent.load().openFlows);
    }

    void keepsFlowsWhenTheIncarnationIsConfirmed()
    {
        AgentSteering agent({.agent = agentAddress(1)});
        agent.update(m_now, Snapshots().server(1).build());
        agent.setServer(m_now, LocalServer{serviceKey("feed"), unconfirmedIncarnation, true, 1}, false);
        openFlow(agent, flow(1));
        CPPUNIT_ASSERT(agent.setServer(m_now, LocalServer{serviceKey("feed"), {555}, true, 3}, false).empty());
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, header(), data(flow(1), 1001), m_notices)));
    }

    /// Guards against resets of the open flows of a server that announces another service, also of those that a restarted agent has not seen.
    void keepsFlowsWhenTheServerChangesItsService()
    {
        AgentSteering agent({.agent = agentAddress(1)});
        agent.update(m_now, Snapshots().server(1).server(2).build());
        agent.setServer(m_now, LocalServer{serviceKey("feed"), {101}, true, 3}, false);
        openFlow(agent, flow(1));
        CPPUNIT_ASSERT(agent.setServer(m_now, LocalServer{serviceKey("tiles"), {101}, true, 3}, false).empty());
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, header(), data(flow(1), 1001), m_notices)));
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, lookupHeader(), data(flow(2), 5), m_notices)));
    }

    /// After a power failure the agent connects to the server before the server announces itself.
    void doesNotProbeAServerThatStartedTogetherWithTheAgent()
    {
        AgentSteering agent({.agent = agentAddress(1)});
        agent.update(m_now, Snapshots().server(1).server(2).build());
        agent.setServer(m_now, LocalServer{serviceKey("feed"), unconfirmedIncarnation, true, 1}, false);
        const FlowTuple tuple = flowWithFirstRegistrar(agent.directory(), agentAddress(1));
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, lookupHeader(), data(tuple, 5), m_notices)));
        agent.handleServerPacket(m_now, rejected(data(tuple, 5)), m_notices);
        agent.setServer(m_now, LocalServer{serviceKey("feed"), {555}, true, 3}, true);
        CPPUNIT_ASSERT(std::holds_alternative<RelayToAgent>(agent.handleCallerPacket(m_now, lookupHeader(), data(tuple, 5), m_notices)));
    }

    void countsPendingRequests()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1));
        openFlow(agent, flow(1));
        openFlow(agent, flow(2));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{2}, agent.load().pendingRequests);
        Segment answer = fromServer(flow(1));
        answer.length = 200;
        agent.handleServerPacket(m_now, answer, m_notices);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{1}, agent.load().pendingRequests);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{2}, agent.load().openFlows);
        agent.expire(m_now + seconds(200));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{0}, agent.load().pendingRequests);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{0}, agent.load().openFlows);
    }

    /// If a late retransmission of an answered request counted as pending, the server would look busy permanently.
    void doesNotCountRetransmissionsAsRequests()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1));
        openFlow(agent, flow(1));
        Segment answer = fromServer(flow(1));
        answer.length = 200;
        agent.handleServerPacket(m_now, answer, m_notices);
        agent.handleCallerPacket(m_now, header(), data(flow(1), 1001), m_notices);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{0}, agent.load().pendingRequests);
    }

    /// Callers that time out may send nothing more. If their requests stayed pending, the server would look busy, and the agent would hold
    /// other requests needlessly.
    void stopsCountingRequestsAfterTheirTimeout()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1));
        openFlow(agent, flow(1));
        agent.expire(m_now + milliseconds(900));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{1}, agent.load().pendingRequests);
        agent.expire(m_now + milliseconds(1100));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{0}, agent.load().pendingRequests);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{1}, agent.load().openFlows);
    }

    /// The hold time is part of the response time that the caller sees.
    void measuresResponseTimeIncludingHoldTime()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1));
        fillServer(agent);
        agent.handleCallerPacket(m_now, header(), syn(flow(50)), m_notices);
        agent.handleServerPacket(m_now, synAck(flow(50), 1000), m_notices);
        agent.handleCallerPacket(m_now, header(), data(flow(50), 1001), m_notices);
        Segment answer = fromServer(flow(1));
        answer.length = 200;
        agent.handleServerPacket(m_now + milliseconds(40), answer, m_notices);
        agent.startHeldRequest(m_now + milliseconds(40), data(flow(50), 1001));
        answer = fromServer(flow(50));
        answer.length = 200;
        agent.handleServerPacket(m_now + milliseconds(70), answer, m_notices);
        const auto answered = agent.takeAnsweredRequests();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, answered.size());
        CPPUNIT_ASSERT(answered[0].responseTime == milliseconds(40) && answered[0].holdTime == Duration::zero());
        CPPUNIT_ASSERT(answered[1].responseTime == milliseconds(70) && answered[1].holdTime == milliseconds(40));
        CPPUNIT_ASSERT(agent.takeAnsweredRequests().empty());
    }

    void holdsRequestsThatTheServerWouldRefuse()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1));
        fillServer(agent);
        agent.handleCallerPacket(m_now, header(), syn(flow(50)), m_notices);
        agent.handleServerPacket(m_now, synAck(flow(50), 1000), m_notices);
        CPPUNIT_ASSERT(std::holds_alternative<HoldRequest>(agent.handleCallerPacket(m_now, header(), data(flow(50), 1001), m_notices)));
        CPPUNIT_ASSERT(std::holds_alternative<DropPacket>(agent.handleCallerPacket(m_now, header(), data(flow(50), 1001), m_notices)));
        CPPUNIT_ASSERT(!agent.canStartRequest());
        Segment answer = fromServer(flow(1));
        answer.length = 200;
        agent.handleServerPacket(m_now, answer, m_notices);
        CPPUNIT_ASSERT(agent.canStartRequest());
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.startHeldRequest(m_now, data(flow(50), 1001))));
        CPPUNIT_ASSERT(std::holds_alternative<DropPacket>(agent.startHeldRequest(m_now, data(flow(50), 1001))));
    }

    /// Guards against packets that are forwarded forever because the server list of one host stays incomplete.
    void givesUpALookupThatStaysPartial()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1));
        SteerHeader partial = lookupHeader();
        partial.isLookupPartial = true;
        unsigned retries = 0;
        AgentDecision decision = agent.handleCallerPacket(m_now, partial, data(flow(1), 5), m_notices);
        while (const auto *held = std::get_if<HoldLookup>(&decision)) {
            ++retries;
            CPPUNIT_ASSERT(retries <= maxLookupRetries);
            agent.retryLookup(m_now, held->header, data(flow(1), 5), m_notices);
            partial.lookupRetries = static_cast<std::uint8_t>(retries);
            decision = agent.handleCallerPacket(m_now, partial, data(flow(1), 5), m_notices);
        }
        CPPUNIT_ASSERT(std::holds_alternative<DropPacket>(decision));
    }

    /// Guards against requests that are held for a server that never has room, since it announces no slots.
    void holdsNoRequestForAnIdleServerWithoutSlots()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1));
        agent.setServer(m_now, LocalServer{serviceKey("feed"), {101}, true, 0}, false);
        CPPUNIT_ASSERT(agent.canStartRequest());
        openFlow(agent, flow(1));
    }

    /// After a fault 40 callers reconnect at once to a server that runs 3 requests and queues 12. If the agent held none, the server would
    /// refuse 25 of them. With the queue of the agent none is refused, and all are answered within one second.
    void servesABurstWithoutRefusals()
    {
        constexpr std::size_t serverLimit = 15;
        constexpr auto workTime = milliseconds(22);
        AgentSteering agent = this->agent(1, Snapshots().server(1));
        std::vector<FlowTuple> atServer;
        std::vector<FlowTuple> held;
        std::size_t refused = 0;
        const auto deliver = [&](const FlowTuple &tuple) {
            refused += atServer.size() >= serverLimit ? 1 : 0;
            atServer.push_back(tuple);
        };
        for (std::uint16_t port = 1; port <= 40; ++port) {
            const FlowTuple tuple = flow(port);
            agent.handleCallerPacket(m_now, header(), syn(tuple), m_notices);
            agent.handleServerPacket(m_now, synAck(tuple, 1000), m_notices);
            const AgentDecision decision = agent.handleCallerPacket(m_now, header(), data(tuple, 1001), m_notices);
            std::holds_alternative<HoldRequest>(decision) ? held.push_back(tuple) : deliver(tuple);
        }
        Duration elapsed{};
        std::size_t served = 0;
        while (!atServer.empty()) {
            elapsed += workTime;
            for (std::size_t slot = 0; slot < 3 && !atServer.empty(); ++slot) {
                Segment answer = fromServer(atServer.front());
                answer.length = 200;
                agent.handleServerPacket(m_now + elapsed, answer, m_notices);
                atServer.erase(atServer.begin());
                ++served;
            }
            while (!held.empty() && agent.canStartRequest()) {
                const FlowTuple tuple = held.front();
                held.erase(held.begin());
                CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.startHeldRequest(m_now + elapsed, data(tuple, 1001))));
                deliver(tuple);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, refused);
        CPPUNIT_ASSERT_EQUAL(std::size_t{40}, served);
        CPPUNIT_ASSERT(elapsed < seconds(1));
    }

    /// A faulty server that accepts flows and resets them when it receives a request has no pending requests. It would look idle and get
    /// most of the new flows.
    void redirectsSynsWhileTheServerResetsRequests()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2));
        for (std::uint16_t port = 1; port <= 2; ++port) {
            openFlow(agent, flow(port));
            Segment reset = fromServer(flow(port));
            reset.isRst = true;
            agent.handleServerPacket(m_now, reset, m_notices);
        }
        CPPUNIT_ASSERT(!agent.load().acceptsNewFlows);
        const AgentDecision decision = agent.handleCallerPacket(m_now, header(), syn(flow(3)), m_notices);
        CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).agent == agentAddress(2));
        SteerHeader redirected = header();
        redirected.hops = 2;
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, redirected, syn(flow(4)), m_notices)));

        AgentSteering agentWithEarlyFins = this->agent(1, Snapshots().server(1).server(2));
        for (std::uint16_t port = 1; port <= 3; ++port) {
            openFlow(agentWithEarlyFins, flow(port));
            Segment fin = fromServer(flow(port));
            fin.isFin = true;
            agentWithEarlyFins.handleServerPacket(m_now, fin, m_notices);
        }
        CPPUNIT_ASSERT(agentWithEarlyFins.load().acceptsNewFlows);
    }

    /// A server that starts after a crash accepts flows before its first announcement. Guards against a reset of these flows by the agent,
    /// or by a balancer that was told the incarnation before.
    void keepsFlowsThatANewServerOpenedBeforeItsAnnouncement()
    {
        Snapshots snapshots;
        snapshots.server(1).server(2).server(3);
        AgentSteering agent = this->agent(1, snapshots);
        BalancerSteering balancer({.zone = "zone-a", .noticeAddress = balancerAddress(1)});
        balancer.update(m_now - seconds(10), snapshots.build());
        const auto passNotices = [&] {
            for (const AddressedNotice &addressed : m_notices) {
                if (addressed.destination == balancerAddress(1)) {
                    balancer.handleOwnerNotice(m_now, addressed.notice);
                }
            }
        };
        openFlow(agent, flow(1));

        m_now += seconds(2);
        const TimePoint startedAt = m_now;
        openFlow(agent, flow(2));
        SteerHeader lookup = header();
        lookup.wantsOwnerNotice = true;
        lookup.acceptsIncarnations = true;
        agent.handleCallerPacket(m_now, lookup, data(flow(2), 1001), m_notices);
        passNotices();

        m_now += seconds(1);
        m_notices.clear();
        const auto resets = agent.setServer(m_now, LocalServer{serviceKey("feed"), {777}, true, 3, startedAt}, true);
        agent.resendNotices(m_now, m_notices);
        passNotices();
        balancer.update(m_now, snapshots.incarnation(1, 777).build());
        CPPUNIT_ASSERT(std::holds_alternative<RelayToAgent>(balancer.decide(m_now, data(flow(2), 1001))));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, resets.size());
        CPPUNIT_ASSERT(resets[0].tuple == flow(1));
        for (const FlowRegistrar &registrar : agent.directory().registrars(flow(2))) {
            CPPUNIT_ASSERT(registrar.agent == agentAddress(1) || std::any_of(m_notices.begin(), m_notices.end(), [&](const AddressedNotice &addressed) {
                               return addressed.destination == registrar.agent && addressed.notice.tuple == flow(2)
                                   && addressed.notice.incarnation.value == 777;
                           }));
        }
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, header(), data(flow(2), 1001), m_notices)));
        CPPUNIT_ASSERT(std::holds_alternative<ResetCaller>(agent.handleCallerPacket(m_now, header(), data(flow(1), 1001), m_notices)));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{1}, agent.load().openFlows);
    }

    /// The new server has answered a redirected SYN before its announcement, but the caller may open the flow at another server. Guards against a balancer
    /// that resets the flow when the new server ends.
    void claimsNoFlowOfANewServerBeforeItsHandshakeHasEnded()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2).server(3));
        SteerHeader redirected = header();
        redirected.hops = 1;
        redirected.acceptsIncarnations = true;
        agent.handleCallerPacket(m_now, redirected, syn(flow(1)), m_notices);
        agent.handleServerPacket(m_now, synAck(flow(1), 1000), m_notices);
        agent.setServer(m_now + seconds(1), LocalServer{serviceKey("feed"), {777}, true, 3, m_now - seconds(1)}, true);
        agent.resendNotices(m_now + seconds(1), m_notices);
        for (const AddressedNotice &addressed : m_notices) {
            CPPUNIT_ASSERT(addressed.notice.incarnation == Incarnation());
        }
    }

    /// The caller has abandoned a flow of the local server without a word and opened another one with the same addresses and ports at another server.
    /// Guards against a reset by a registrar that takes a packet of the new flow for one of the abandoned flow, which its server has forgotten.
    void passesAFlowOnThatReplacesAnAbandonedOne()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2));
        const FlowTuple tuple = flowWithFirstRegistrar(agent.directory(), agentAddress(1));
        openFlow(agent, tuple);
        agent.handleServerPacket(m_now, fromServer(tuple), m_notices);
        agent.handleOwnerNotice(m_now + seconds(20), {tuple, agentAddress(2), {102}, 0});
        const auto rejectedRequest = [&](std::uint32_t acknowledgement) {
            const Segment request = data(tuple, acknowledgement);
            AgentDecision decision = agent.handleCallerPacket(m_now + seconds(21), header(), request, m_notices);
            if (std::holds_alternative<DeliverToServer>(decision)) {
                decision = agent.handleServerPacket(m_now + seconds(21), rejected(request), m_notices);
            }
            return decision;
        };
        // The packet may belong to the new flow, while the server still holds the abandoned one.
        CPPUNIT_ASSERT(std::get<RelayToAgent>(rejectedRequest(90'000)).agent == agentAddress(2));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{1}, agent.load().openFlows);
        // The server has forgotten the abandoned flow.
        CPPUNIT_ASSERT(std::get<RelayToAgent>(rejectedRequest(5)).agent == agentAddress(2));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{0}, agent.load().openFlows);
    }

    /// As above, but the server of the abandoned flow is replaced.
    void keepsAFlowThatReplacesAnAbandonedOneWhenTheServerIsReplaced()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2));
        const FlowTuple tuple = flowWithFirstRegistrar(agent.directory(), agentAddress(1));
        openFlow(agent, tuple);
        agent.handleOwnerNotice(m_now + seconds(20), {tuple, agentAddress(2), {102}, 0});
        CPPUNIT_ASSERT(agent.setServer(m_now + seconds(21), LocalServer{serviceKey("feed"), {777}, true, 3}, true).empty());
        const AgentDecision decision = agent.handleCallerPacket(m_now + seconds(21), header(), data(tuple, 90'000), m_notices);
        CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).agent == agentAddress(2));
    }

    /// Guards against a late notice of an earlier flow that takes an open flow away from its server.
    void deliversPacketsOfAnOpenFlowAfterALateNotice()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2).server(3));
        openFlow(agent, flow(1));
        agent.handleOwnerNotice(m_now, {flow(1), agentAddress(3), {103}, 0});
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, header(), data(flow(1), 1001), m_notices)));
    }

    /// The end of the handshake proves that the notice was about an earlier flow. Guards against a caller that waits for the end of a lookup.
    void resetsAFlowThatWasOpenedAfterALateNotice()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2).server(3));
        agent.handleOwnerNotice(m_now - seconds(5), {flow(1), agentAddress(3), {103}, 0});
        agent.handleCallerPacket(m_now, header(), syn(flow(1)), m_notices);
        agent.handleOwnerNotice(m_now, {flow(1), agentAddress(3), {103}, 0});
        agent.handleServerPacket(m_now, synAck(flow(1), 1000), m_notices);
        agent.handleCallerPacket(m_now, header(), data(flow(1), 1001), m_notices);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent.setServer(m_now, LocalServer{serviceKey("feed"), {999}, true, 3}, true).size());
        CPPUNIT_ASSERT(std::holds_alternative<ResetCaller>(agent.handleCallerPacket(m_now, header(), data(flow(1), 1001), m_notices)));
    }

    /// Guards against a notice that names a sequence of another flow, that is of no use after much data, or that an older receiver discards.
    void statesWhichFlowItOwns()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2).server(3));
        const FlowTuple tuple = flowWithFirstRegistrar(agent.directory(), agentAddress(2));
        SteerHeader redirected = header();
        redirected.hops = 1;
        redirected.acceptsIncarnations = true;
        Segment answer = synAck(tuple, 1000);
        answer.acknowledgement = 5'000'001;
        agent.handleCallerPacket(m_now, redirected, syn(tuple), m_notices);
        agent.handleServerPacket(m_now, answer, m_notices);
        m_notices.clear();
        agent.handleCallerPacket(m_now, redirected, data(tuple, 1001, 5'000'001), m_notices);
        // To the registrar, and to a balancer of the version before.
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_notices.size());
        CPPUNIT_ASSERT(m_notices[0].notice.callerSequence == 5'000'001U);
        CPPUNIT_ASSERT_EQUAL(101U, m_notices[1].notice.incarnation.value);
        CPPUNIT_ASSERT(!m_notices[1].notice.callerSequence);
        CPPUNIT_ASSERT_EQUAL(ownerNoticeLength, encode(resentNotices(agent, milliseconds(250)).at(0).notice).size());

        Segment response = fromServer(tuple);
        response.acknowledgement = 6'000'000;
        agent.handleServerPacket(m_now, response, m_notices);
        Segment abort = fromServer(tuple);
        abort.isAck = false;
        agent.handleServerPacket(m_now, abort, m_notices);
        redirected.acceptsCallerSequences = true;
        agent.handleCallerPacket(m_now, redirected, data(tuple, 1001, 900'000'000), m_notices);
        CPPUNIT_ASSERT(m_notices.back().notice.callerSequence == 6'000'000U);
    }

    /// A late notice about an earlier flow with the same addresses and ports reaches a registrar that has seen nothing of the open one, or a sender of an
    /// older version does not say which flow it is about. Guards against a reset of the open flow when the owner in the notice ends.
    void registrarLooksForTheOwnerOfAnotherFlow()
    {
        for (const std::optional<std::uint32_t> sequence : {std::optional(5'000'000U), std::optional<std::uint32_t>()}) {
            Snapshots snapshots;
            AgentSteering agent = this->agent(1, snapshots.server(1).server(2).server(3));
            const FlowTuple tuple = flowWithFirstRegistrar(agent.directory(), agentAddress(1));
            agent.handleOwnerNotice(m_now, {tuple, agentAddress(3), {103}, sequence});
            agent.update(m_now - seconds(1), snapshots.incarnation(3, 777).build());
            for (int copy = 0; copy < 2; ++copy) {
                const AgentDecision decision = agent.handleCallerPacket(m_now, header(), data(tuple, 5, 900'000'000), m_notices);
                CPPUNIT_ASSERT(std::holds_alternative<RelayToAgent>(decision));
                CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).cause == SteerCause::OwnerLookup);
                const AgentDecision ended = agent.handleCallerPacket(m_now, header(), data(tuple, 5, 5'000'100), m_notices);
                CPPUNIT_ASSERT_EQUAL(sequence.has_value(), std::holds_alternative<ResetCaller>(ended));
            }
        }
    }

    /// Guards against lookups for long flows, and against a packet of another flow that is taken for the sequence of this one.
    void registrarRecognizesAFlowThatHasSentMuchSinceTheNotice()
    {
        Snapshots snapshots;
        AgentSteering agent = this->agent(1, snapshots.server(1).server(2).server(3));
        const FlowTuple tuple = flowWithFirstRegistrar(agent.directory(), agentAddress(1));
        agent.handleOwnerNotice(m_now, {tuple, agentAddress(3), {103}, 0xFFFFF000U});
        for (const std::uint32_t sequence : {50'000U, 900'000'000U, 100'000U}) {
            CPPUNIT_ASSERT(std::holds_alternative<RelayToAgent>(agent.handleCallerPacket(m_now, header(), data(tuple, 5, sequence), m_notices)));
        }
        agent.update(m_now - seconds(1), snapshots.incarnation(3, 777).build());
        CPPUNIT_ASSERT(std::holds_alternative<RelayToAgent>(agent.handleCallerPacket(m_now, header(), data(tuple, 5, 900'000'000), m_notices)));
        CPPUNIT_ASSERT(std::holds_alternative<ResetCaller>(agent.handleCallerPacket(m_now, header(), data(tuple, 5, 150'000), m_notices)));
    }

    /// The caller has opened another flow with the same addresses and ports at another server, which this agent has not heard of. Guards against a reset of
    /// it because the agent remembers the flow of its replaced server, or the record of one.
    void looksForTheOwnerOfAFlowThatFollowsOneOfAnEndedServer()
    {
        for (const bool isRecorded : {false, true}) {
            AgentSteering agent = this->agent(1, Snapshots().server(1).server(2));
            const FlowTuple tuple = flowWithFirstRegistrar(agent.directory(), agentAddress(1));
            if (isRecorded) {
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent.endFlows(m_now, {{777}, {{tuple, 5'000'001}}}).size());
            } else {
                openFlow(agent, tuple, 5'000'000);
                agent.setServer(m_now, LocalServer{serviceKey("feed"), {999}, true, 3}, true);
            }
            const AgentDecision decision = agent.handleCallerPacket(m_now, header(), data(tuple, 900'000'000), m_notices);
            CPPUNIT_ASSERT(std::holds_alternative<RelayToAgent>(decision));
            CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).agent == agentAddress(2));
            CPPUNIT_ASSERT(std::holds_alternative<ResetCaller>(agent.handleCallerPacket(m_now, header(), data(tuple, 5'001'001), m_notices)));
        }
    }

    /// A restarted agent learns of an ended flow of its server's predecessor. Guards against a lookup that leaves its own server out.
    void probesTheServerForAFlowThatFollowsARecordedOne()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2), false);
        agent.endFlows(m_now, {{777}, {{flow(1), 1001}}});
        const AgentDecision decision = agent.handleCallerPacket(m_now, header(), data(flow(1), 900'000'000), m_notices);
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(decision));
    }

    /// The local server repeats its FIN of a flow after the caller has opened another one with the same addresses and ports at another server. Guards
    /// against packets of the open flow that go to the local server, and against a notice that claims it.
    void keepsTheOwnerWhenTheLocalServerEndsAnEarlierFlow()
    {
        struct Case {
            bool isObserved; // An agent that has restarted beside its server may have missed the flow to which the packet belongs.
            std::optional<std::uint32_t> sequence;
            bool isRemote;
        };
        for (const auto &[isObserved, sequence, isRemote] :
             {Case{true, 5'000'000, true}, Case{false, 5'000'000, false}, Case{true, 900'000'100, false}, Case{true, std::nullopt, false}}) {
            AgentSteering agent = this->agent(1, Snapshots().server(1).server(2).server(3), isObserved);
            const FlowTuple tuple = flowWithFirstRegistrar(agent.directory(), agentAddress(1));
            agent.handleOwnerNotice(m_now, {tuple, agentAddress(3), {103}, sequence});
            Segment fin = fromServer(tuple);
            fin.isFin = true;
            fin.acknowledgement = 900'000'000;
            m_notices.clear();
            CPPUNIT_ASSERT(std::holds_alternative<SendToCaller>(agent.handleServerPacket(m_now, fin, m_notices)));
            CPPUNIT_ASSERT_EQUAL(std::uint16_t(isRemote ? 0 : 1), agent.load().openFlows);
            CPPUNIT_ASSERT_EQUAL(isRemote, m_notices.empty());
            const AgentDecision decision = agent.handleCallerPacket(m_now, header(), data(tuple, 5, 5'000'000), m_notices);
            CPPUNIT_ASSERT_EQUAL(isRemote, std::holds_alternative<RelayToAgent>(decision));
        }
    }

    /// The caller has abandoned a flow of the local server and opened another one with the same addresses and ports at another server. Guards against a
    /// claim of that flow, against a reset of it when the local server is replaced, and against a flow that ends with packets of another one.
    void learnsNothingFromAPacketOfAnotherFlow()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2));
        openFlow(agent, flow(1));
        m_notices.clear();
        Segment foreign = data(flow(1), 900'000'000);
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, lookupHeader(), foreign, m_notices)));
        CPPUNIT_ASSERT(m_notices.empty());
        foreign.isRst = true;
        agent.handleCallerPacket(m_now, lookupHeader(), foreign, m_notices);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{1}, agent.load().openFlows);
        const auto resets = agent.setServer(m_now, LocalServer{serviceKey("feed"), {999}, true, 3}, true);
        CPPUNIT_ASSERT_EQUAL(1001U, resets.at(0).sequence);

        // A reset of the caller need not acknowledge anything.
        openFlow(agent, flow(2), 5'000'000);
        Segment abort = fromCaller(flow(2));
        abort.isRst = true;
        agent.handleCallerPacket(m_now, header(), abort, m_notices);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{0}, agent.load().openFlows);
    }

    /// Two agents may each take the other one for the owner, because of flows with the same addresses and ports that have been abandoned. Guards against
    /// a packet that goes round between them for ever.
    void countsTheHopsOfAPacketOfAnotherFlow()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2).server(3));
        openFlow(agent, flow(1));
        agent.handleOwnerNotice(m_now, {flow(1), agentAddress(2), {102}, 0});
        const Segment foreign = data(flow(1), 900'000'000);
        SteerHeader header = AgentSteeringTest::header();
        header.hops = 7;
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, header, foreign, m_notices)));
        const AgentDecision passed = agent.handleServerPacket(m_now, rejected(foreign), m_notices);
        CPPUNIT_ASSERT(std::get<RelayToAgent>(passed).agent == agentAddress(2));
        CPPUNIT_ASSERT_EQUAL(std::uint8_t{8}, std::get<RelayToAgent>(passed).header.hops);
    }

    /// Guards against a new flow that is reset because of the hops of an earlier packet with the same addresses and ports.
    void redirectsASynThatFollowsAPacketOfAnotherFlow()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2));
        openFlow(agent, flow(1));
        SteerHeader late = header();
        late.hops = 7;
        agent.handleCallerPacket(m_now, late, data(flow(1), 900'000'000), m_notices);
        agent.handleCallerPacket(m_now + seconds(6), header(), syn(flow(1)), m_notices);
        const AgentDecision decision = agent.handleServerPacket(m_now + seconds(6), rejected(syn(flow(1))), m_notices);
        CPPUNIT_ASSERT(std::holds_alternative<RelayToAgent>(decision));
    }

    /// Passes a caller's packet from agent to agent, starting at its first registrar. Returns the last decision.
    AgentDecision lookUp(std::map<HostAddress, AgentSteering> &agents, const FlowTuple &tuple)
    {
        HostAddress current = agents.begin()->second.directory().firstRegistrar(tuple).value();
        AgentDecision decision = RelayToAgent{current, header(), SteerCause::OwnerLookup};
        std::get<RelayToAgent>(decision).header.wantsOwnerNotice = true;
        while (const auto *relayed = std::get_if<RelayToAgent>(&decision)) {
            current = relayed->agent;
            m_lastHops = relayed->header.hops;
            decision = agents.at(current).handleCallerPacket(m_now, relayed->header, data(tuple, 1001), m_notices);
        }
        return decision;
    }

    /// A registrar knows only the owner of an earlier flow with the same addresses and ports, which serves, and the notices of the open flow are lost.
    /// Guards against a lookup that leaves out the servers that rank between the two, and resets the flow.
    void asksEachServerDespiteALateNotice()
    {
        Snapshots snapshots;
        for (std::uint32_t number = 1; number <= 8; ++number) {
            snapshots.server(number);
        }
        for (std::uint16_t port = 1; port <= 20; ++port) {
            std::map<HostAddress, AgentSteering> agents;
            for (std::uint32_t number = 1; number <= 8; ++number) {
                agents.emplace(agentAddress(number), agent(number, snapshots));
            }
            const std::vector<HostAddress> ranked = agents.begin()->second.directory().rankedAgents(flow(port));
            openFlow(agents.at(ranked[2]), flow(port));
            agents.at(ranked[0]).handleOwnerNotice(m_now, {flow(port), ranked[3], {100 + ranked[3].ip - agentAddress(0).ip}, 0});
            CPPUNIT_ASSERT(!std::holds_alternative<ResetCaller>(lookUp(agents, flow(port))));
        }
    }

    /// The owner has forgotten the flow, but a registrar that ranks after it has not. Guards against a packet that goes round between the two.
    void passesALatePacketOnAFewTimes()
    {
        Snapshots snapshots;
        for (std::uint32_t number = 1; number <= 8; ++number) {
            snapshots.server(number);
        }
        for (std::uint16_t port = 1; port <= 20; ++port) {
            std::map<HostAddress, AgentSteering> agents;
            for (std::uint32_t number = 1; number <= 8; ++number) {
                agents.emplace(agentAddress(number), agent(number, snapshots));
            }
            const std::vector<HostAddress> ranked = agents.begin()->second.directory().rankedAgents(flow(port));
            for (const FlowRegistrar &registrar : agents.begin()->second.directory().registrars(flow(port))) {
                agents.at(registrar.agent).handleOwnerNotice(m_now, {flow(port), ranked[1], {100 + ranked[1].ip - agentAddress(0).ip}, 0});
            }
            lookUp(agents, flow(port));
            CPPUNIT_ASSERT(m_lastHops <= 12);
        }
    }

    /// A restarted agent hears of an earlier flow with the same ports, whose server then ends, before a packet of the open flow of its own server arrives.
    /// Guards against a lookup that does not ask the owner's server, and resets the flow.
    void probesItsServerAfterTheEndOfAnEarlierOwner()
    {
        Snapshots snapshots;
        snapshots.server(1).server(2).server(3);
        std::map<HostAddress, AgentSteering> agents;
        agents.emplace(agentAddress(1), agent(1, snapshots, false));
        agents.emplace(agentAddress(2), agent(2, snapshots));
        agents.emplace(agentAddress(3), agent(3, snapshots));
        agents.at(agentAddress(1)).handleOwnerNotice(m_now - seconds(2), {flow(1), agentAddress(3), {103}, 5'000'000});
        for (auto &[address, agent] : agents) {
            agent.update(m_now - seconds(1), Snapshots(snapshots).incarnation(3, 777).build());
        }
        const std::vector<HostAddress> delivered = deliveries(agents, flow(1), agentAddress(1));
        CPPUNIT_ASSERT(!delivered.empty() && delivered.back() == agentAddress(1));
    }

    /// The same with a late copy of the SYN before the notice.
    void probesItsServerAfterALateSynAndTheEndOfAnEarlierOwner()
    {
        Snapshots snapshots;
        AgentSteering agent = this->agent(1, snapshots.server(1).server(2).server(3), false);
        const FlowTuple tuple = flowWithLastRank(agent.directory(), agentAddress(1));
        agent.handleCallerPacket(m_now - seconds(3), header(), syn(tuple, 1), m_notices);
        agent.handleOwnerNotice(m_now - seconds(2), {tuple, agentAddress(3), {103}, 5'000'000});
        agent.update(m_now - seconds(1), snapshots.incarnation(3, 777).build());
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, lookupHeader(), data(tuple, 5), m_notices)));
    }

    /// Guards against a restarted agent that counts as one without the flow before it knows whether its server runs.
    void holdsLookupsBeforeItsServerIsKnownDespiteANotice()
    {
        Snapshots snapshots;
        snapshots.server(1).server(2).server(3);
        AgentSteering agent({.agent = agentAddress(1)});
        agent.update(m_now - seconds(10), snapshots.build());
        const FlowTuple tuple = flowWithLastRank(agent.directory(), agentAddress(1));
        agent.handleOwnerNotice(m_now - seconds(2), {tuple, agentAddress(3), {103}, 5'000'000});
        agent.update(m_now - seconds(1), snapshots.incarnation(3, 777).build());
        agent.confirmServerList(m_now - milliseconds(500));
        SteerHeader lookup = lookupHeader();
        lookup.lookupPhase = LookupPhase::KnownFlows;
        lookup.areFlowTablesComplete = true;
        CPPUNIT_ASSERT(!std::holds_alternative<ResetCaller>(agent.handleCallerPacket(m_now, lookup, data(tuple, 5), m_notices)));
    }

    /// A server opens a flow before its announcement, its agent records the flow as one of the server before, and restarts. Guards against a reset of an
    /// open flow because of a record, at an agent that does not know the flows of its server.
    void endsNoRecordedFlowThatItsServerMayOwn()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2), false);
        CPPUNIT_ASSERT(agent.endFlows(m_now, {{777}, {{flow(1), 1001}}}).empty());
    }

    /// Guards against idle flows that are not ended after a loss of power, when the server starts slightly before its agent.
    void endsRecordedFlowsIfTheServerHasStartedWithTheAgent()
    {
        for (const auto &[headStart, isEnded] : {std::pair(milliseconds(900), true), std::pair(milliseconds(1100), false)}) {
            AgentSteering agent({.agent = agentAddress(1)});
            agent.update(m_now, Snapshots().server(1).build());
            agent.setServer(m_now, LocalServer{serviceKey("feed"), unconfirmedIncarnation, true, 1}, false);
            agent.setServer(m_now, LocalServer{serviceKey("feed"), {101}, true, 3, m_now - headStart}, false);
            CPPUNIT_ASSERT_EQUAL(isEnded, !agent.endFlows(m_now, {{777}, {{flow(1), 1001}}}).empty());
        }
    }

    /// A flow was reported as one of the server before, and its server announces itself 3.5 s later. Guards against a balancer that is not told, although it
    /// resets flows without asking until 4 s after their last packet.
    void correctsBalancersThatMayStillResetAFlow()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2));
        openFlow(agent, flow(1));
        agent.expire(m_now + milliseconds(3400));
        agent.setServer(m_now + milliseconds(3500), LocalServer{serviceKey("feed"), {777}, true, 3, m_now - seconds(1)}, true);
        const std::vector<AddressedNotice> notices = resentNotices(agent, milliseconds(3500));
        CPPUNIT_ASSERT(std::any_of(notices.begin(), notices.end(), [](const AddressedNotice &notice) {
            return notice.destination == balancerAddress(1);
        }));
    }

    /// A server answers data of a flow with an RST if it had an earlier one with the same ports. Guards against a registrar that learns from it that this
    /// server owns the flow, with a sequence number of the flow that is open elsewhere.
    void claimsNoFlowBecauseOfAReset()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2), false);
        const FlowTuple tuple = flowWithFirstRegistrar(agent.directory(), agentAddress(2));
        agent.handleCallerPacket(m_now, lookupHeader(), data(tuple, 5, 5'000'000), m_notices);
        Segment reset = fromServer(tuple);
        reset.isRst = true;
        reset.acknowledgement = 5'000'100;
        agent.handleServerPacket(m_now, reset, m_notices);
        CPPUNIT_ASSERT(m_notices.empty());
    }

    /// The same up to the end: that server is replaced, and the registrar, which had restarted, gets a packet of the flow that is open elsewhere.
    void keepsAFlowThatAnotherServerHasReset()
    {
        Snapshots snapshots;
        snapshots.server(1).server(2).server(3);
        AgentSteering restarted = agent(1, snapshots, false);
        AgentSteering registrar = agent(2, snapshots);
        const FlowTuple tuple = flowWithFirstRegistrar(registrar.directory(), agentAddress(2));
        restarted.handleCallerPacket(m_now, lookupHeader(), data(tuple, 5, 5'000'000), m_notices);
        Segment reset = fromServer(tuple);
        reset.isRst = true;
        reset.acknowledgement = 5'000'100;
        restarted.handleServerPacket(m_now, reset, m_notices);
        for (const AddressedNotice &notice : m_notices) {
            if (notice.destination == agentAddress(2)) {
                registrar.handleOwnerNotice(m_now, notice.notice);
            }
        }
        registrar.update(m_now + seconds(1), snapshots.incarnation(1, 777).build());
        const AgentDecision decision = registrar.handleCallerPacket(m_now + seconds(2), header(), data(tuple, 5, 5'000'200), m_notices);
        CPPUNIT_ASSERT(!std::holds_alternative<ResetCaller>(decision));
    }

    /// The first agent of the lookup runs the version before KnownFlows and knows the owner of an earlier flow: it passes the packet on with the phase
    /// and the service of its header. Guards against a lookup that leaves out the owner, which ranks between the two, and resets its flow.
    void asksEachServerAfterAnAgentOfAnEarlierVersion()
    {
        Snapshots snapshots;
        std::map<HostAddress, AgentSteering> agents;
        for (std::uint32_t number = 1; number <= 4; ++number) {
            snapshots.server(number);
        }
        for (std::uint32_t number = 1; number <= 4; ++number) {
            agents.emplace(agentAddress(number), agent(number, snapshots));
        }
        // The second registrar, which knows nothing of the flow, begins the phase.
        const FlowTuple tuple = flow(1);
        const std::vector<HostAddress> ranked = agents.begin()->second.directory().rankedAgents(tuple);
        openFlow(agents.at(ranked[1]), tuple);
        SteerHeader lookup = header();
        lookup.wantsOwnerNotice = true;
        lookup.lookupPhase = LookupPhase::SecondRegistrar;
        lookup.acceptsIncarnations = true;
        lookup.acceptsCallerSequences = true;
        AgentDecision decision = agents.at(ranked[2]).handleCallerPacket(m_now, lookup, data(tuple, 1001), m_notices);
        CPPUNIT_ASSERT(std::get<RelayToAgent>(decision).agent == ranked[0]);
        std::vector<std::uint8_t> datagram(steerHeaderLength);
        encodeSteerHeader(std::get<RelayToAgent>(decision).header, std::span(datagram).first<steerHeaderLength>());
        constexpr std::uint8_t flagsOfThatVersion = 127;
        ++datagram[2];
        datagram[3] &= flagsOfThatVersion;
        decision = RelayToAgent{ranked[3], std::get<SteeredPacket>(decodeSteerMessage(datagram).value()).header, SteerCause::KnownOwner};
        while (const auto *relayed = std::get_if<RelayToAgent>(&decision)) {
            decision = agents.at(relayed->agent).handleCallerPacket(m_now, SteerHeader(relayed->header), data(tuple, 1001), m_notices);
        }
        CPPUNIT_ASSERT(!std::holds_alternative<ResetCaller>(decision));
    }

    /// Like lookUp, with the retries of lookups that are held. Returns the last decision and its agent.
    std::pair<AgentDecision, HostAddress> lookUpWithRetries(std::map<HostAddress, AgentSteering> &agents, const FlowTuple &tuple)
    {
        HostAddress current = agents.begin()->second.directory().firstRegistrar(tuple).value();
        AgentDecision decision = RelayToAgent{current, header(), SteerCause::OwnerLookup};
        std::get<RelayToAgent>(decision).header.wantsOwnerNotice = true;
        while (true) {
            if (const auto *relayed = std::get_if<RelayToAgent>(&decision)) {
                current = relayed->agent;
                decision = agents.at(current).handleCallerPacket(m_now, SteerHeader(relayed->header), data(tuple, 1001), m_notices);
            } else if (const auto *held = std::get_if<HoldLookup>(&decision)) {
                decision = agents.at(current).retryLookup(m_now, SteerHeader(held->header), data(tuple, 1001), m_notices);
            } else {
                return {decision, current};
            }
        }
    }

    /// The registrars return an idle flow to its restarted agent, which registers it again without an incarnation, and then its server is replaced. Guards
    /// against a caller that gets no answer at all, since its packets go round until they are dropped.
    void resetsAReturnedFlowWhoseServerIsReplaced()
    {
        Snapshots snapshots;
        snapshots.server(1).server(2).server(3);
        std::map<HostAddress, AgentSteering> agents;
        for (std::uint32_t number = 1; number <= 3; ++number) {
            agents.emplace(agentAddress(number), agent(number, snapshots, number != 1));
        }
        AgentSteering &owner = agents.at(agentAddress(1));
        owner.handleOwnerNotice(m_now, {flow(1), agentAddress(1), {101}, 0});
        for (const AddressedNotice &notice : resentNotices(owner, milliseconds(0))) {
            agents.at(notice.destination).handleOwnerNotice(m_now, notice.notice);
        }
        owner.setServer(m_now, LocalServer{serviceKey("feed"), {777}, true, 3}, true);
        for (auto &[address, agent] : agents) {
            agent.update(m_now - seconds(1), Snapshots(snapshots).incarnation(1, 777).build());
        }
        CPPUNIT_ASSERT(std::holds_alternative<ResetCaller>(lookUpWithRetries(agents, flow(1)).first));
    }

    /// As in asksEachServerDespiteALateNotice, with all retries of the lookup. Guards against a flow whose packets are dropped for as long as the server
    /// in the notice runs.
    void findsTheOwnerDespiteANoticeOfAServingOne()
    {
        Snapshots snapshots;
        for (std::uint32_t number = 1; number <= 8; ++number) {
            snapshots.server(number);
        }
        std::map<HostAddress, AgentSteering> agents;
        for (std::uint32_t number = 1; number <= 8; ++number) {
            agents.emplace(agentAddress(number), agent(number, snapshots));
        }
        const std::vector<HostAddress> ranked = agents.begin()->second.directory().rankedAgents(flow(1));
        openFlow(agents.at(ranked[2]), flow(1));
        agents.at(ranked[0]).handleOwnerNotice(m_now, {flow(1), ranked[3], {100 + ranked[3].ip - agentAddress(0).ip}, 5'000'000});
        const auto [decision, last] = lookUpWithRetries(agents, flow(1));
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(decision));
        CPPUNIT_ASSERT(last == ranked[2]);
    }

    /// Guards against a restarted agent that ignores the registrars of an open flow because a notice of an earlier flow has reached it first: it passes the
    /// packets on to the server of that one.
    void acceptsAReturnedFlowDespiteALateNotice()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1).server(2).server(3), false);
        agent.handleOwnerNotice(m_now, {flow(1), agentAddress(3), {103}, 5'000'000});
        agent.handleOwnerNotice(m_now, {flow(1), agentAddress(1), {101}, 900'000'000});
        const AgentDecision decision = agent.handleCallerPacket(m_now, header(), data(flow(1), 5, 900'000'000), m_notices);
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(decision));
    }

private:
    unsigned m_lastHops = 0;

    // Guards against a server that runs the requests of another service, whichever of the two hosts has the newer route table.
    void acceptsNoSynOfAServiceWithTheSameShortKey()
    {
        const Snapshots snapshots = Snapshots().route(feedAddress, collidingService).route(vaultAddress, otherCollidingService).server(1, collidingService);
        AgentSteering agent = this->agent(1, snapshots);
        agent.setServer(m_now, LocalServer{serviceKey(collidingService), {101}, true, 3}, true);
        for (const std::uint64_t version : {1, 5, 9}) {
            const auto decision = agent.handleCallerPacket(m_now, header(otherCollidingService, version), syn(flow(1, vaultAddress)), m_notices);
            CPPUNIT_ASSERT(!std::holds_alternative<DeliverToServer>(decision));
        }
        // A balancer of a version without full keys.
        SteerHeader shortKey = header(otherCollidingService, 5);
        shortKey.service.digest = {};
        CPPUNIT_ASSERT(!std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, shortKey, syn(flow(2, vaultAddress)), m_notices)));
        const SteerHeader own = header(collidingService, 5);
        CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, own, syn(flow(3)), m_notices)));
    }

    // Guards against balancers of earlier versions that cannot open flows while the programs are replaced.
    void acceptsSynsOfEarlierVersions()
    {
        AgentSteering agent = this->agent(1, Snapshots().server(1));
        std::uint16_t port = 0;
        for (const std::uint64_t version : {3, 9}) {
            SteerHeader shortKey = header("feed", version);
            shortKey.service.digest = {};
            CPPUNIT_ASSERT(std::holds_alternative<DeliverToServer>(agent.handleCallerPacket(m_now, shortKey, syn(flow(++port)), m_notices)));
        }
    }

    // Guards against a SYN that is passed on to a server of another service.
    void redirectsNoSynToAServiceWithTheSameShortKey()
    {
        const Snapshots snapshots = Snapshots()
                                        .route(feedAddress, collidingService)
                                        .route(vaultAddress, otherCollidingService)
                                        .server(1, collidingService)
                                        .server(2, otherCollidingService);
        AgentSteering agent = this->agent(1, snapshots);
        agent.setServer(m_now, LocalServer{serviceKey(collidingService), {101}, false, 3}, true);
        const auto decision = agent.handleCallerPacket(m_now, header(collidingService, 5), syn(flow(1)), m_notices);
        CPPUNIT_ASSERT(std::holds_alternative<ResetCaller>(decision));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentSteeringTest);
