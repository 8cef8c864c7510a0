#include "quic_test_network.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <set>

using namespace Jujubequay;
using namespace std::chrono_literals;

namespace {

constexpr LossyLink::Options lossyLinkOptions{.loss = 0.1, .duplicates = 0.1, .minDelay = 1ms, .maxDelay = 9ms};

/// Runs the network, echoes every stream at the server and records the events of both ends.
struct EchoExchange {
    explicit EchoExchange(QuicTestNetwork &testNetwork)
        : network(testNetwork)
    {
    }

    /// Runs until the condition holds. Returns false if it does not within the limit of simulated time.
    bool runUntil(const std::function<bool()> &condition, Duration limit = 120s)
    {
        const TimePoint deadline = network.now + limit;
        while (!condition()) {
            if (!network.step(deadline)) {
                return condition();
            }
            handleEvents();
        }
        return true;
    }

    void handleEvents()
    {
        for (const QuicEvent &event : network.server->takeEvents()) {
            std::visit(
                [this](const auto &eventData) {
                    onServer(eventData);
                },
                event);
        }
        for (std::size_t index = 0; index < network.clients.size(); ++index) {
            for (const QuicEvent &event : network.clients[index]->client.takeEvents()) {
                std::visit(
                    [this, index](const auto &eventData) {
                        onClient(index, eventData);
                    },
                    event);
            }
        }
        network.flush();
    }

    void onServer(const StreamDataReceived &received)
    {
        network.server->consume(received.flow, received.stream, received.data.size());
        if (serverEchoes) {
            network.server->write(received.flow, received.stream, received.data, received.end);
        }
        if (received.end) {
            streamsFinishedAtServer.insert(received.stream);
        }
    }
    void onServer(const FlowEstablished &established)
    {
        flowsOpenAtServer.insert(established.flow);
    }
    void onServer(const FlowEnded &ended)
    {
        flowsOpenAtServer.erase(ended.flow);
        serverEndEvents.push_back(ended);
    }
    void onServer(const StreamReset &reset)
    {
        serverResetEvents.push_back(reset);
    }
    void onServer(const StreamStopped &stopped)
    {
        serverStopEvents.push_back(stopped);
    }
    template<class Other>
    void onServer(const Other &)
    {
    }

    void onClient(std::size_t index, const StreamDataReceived &received)
    {
        Bytes &clientBytes = receivedByClient[{index, received.stream}];
        clientBytes.insert(clientBytes.end(), received.data.begin(), received.data.end());
        if (received.end) {
            finishedStreams.insert({index, received.stream});
        }
        if (clientsConsume) {
            network.clients[index]->client.consume(received.stream, received.data.size());
        }
    }
    void onClient(std::size_t index, const FlowEstablished &)
    {
        establishedClients.insert(index);
    }
    void onClient(std::size_t index, const FlowEnded &ended)
    {
        clientEndEvents[index] = ended;
    }
    template<class Other>
    void onClient(std::size_t, const Other &)
    {
    }

    bool isFinished(std::size_t index, StreamNumber stream) const
    {
        return finishedStreams.contains({index, stream});
    }

    const Bytes &receivedBytes(std::size_t index, StreamNumber stream)
    {
        return receivedByClient[{index, stream}];
    }

    QuicTestNetwork &network;
    bool clientsConsume = true;
    bool serverEchoes = true;
    std::set<StreamNumber> streamsFinishedAtServer;
    std::set<FlowHandle> flowsOpenAtServer;
    std::vector<FlowEnded> serverEndEvents;
    std::vector<StreamReset> serverResetEvents;
    std::vector<StreamStopped> serverStopEvents;
    std::set<std::size_t> establishedClients;
    std::map<std::size_t, FlowEnded> clientEndEvents;
    std::map<std::pair<std::size_t, StreamNumber>, Bytes> receivedByClient;
    std::set<std::pair<std::size_t, StreamNumber>> finishedStreams;
};

Bytes patternBytes(std::size_t length)
{
    Bytes bytes(length);
    for (std::size_t index = 0; index < length; ++index) {
        bytes[index] = static_cast<std::uint8_t>(index * 31U + index / 251U);
    }
    return bytes;
}

}

class QuicTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuicTest);
    CPPUNIT_TEST(echoesOverLossyLinks);
    CPPUNIT_TEST(amplificationIsLimitedBeforeAddressValidation);
    CPPUNIT_TEST(resumeIdentifierOpensConnections);
    CPPUNIT_TEST(unknownConnectionIdGetsOneSmallerReset);
    CPPUNIT_TEST(restartedServerEndsFlowByStatelessReset);
    CPPUNIT_TEST(idleTimeoutEndsBothSides);
    CPPUNIT_TEST(keepAlivePreventsIdleTimeout);
    CPPUNIT_TEST(transferContinuesAfterAddressMigration);
    CPPUNIT_TEST(rotationMovesAllFlowsToNewKey);
    CPPUNIT_TEST(flowControlBlocksSenderUntilDataIsConsumed);
    CPPUNIT_TEST(sendBufferIsBounded);
    CPPUNIT_TEST(resetAndStopSendingReachThePeer);
    CPPUNIT_TEST(closeAfterDeliveryLosesNothing);
    CPPUNIT_TEST(refusesNewFlowsAtLimitAndWhileDraining);
    CPPUNIT_TEST(wrongServiceNameIsRefused);
    CPPUNIT_TEST(damagedDatagramsDoNotDisturbFlow);
    CPPUNIT_TEST(emptyDatagramsAreIgnored);
    CPPUNIT_TEST(versionNegotiationWithLongConnectionIdIsIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against streams that stall or are corrupted by loss, reordering and duplication of datagrams.
    void echoesOverLossyLinks()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            QuicTestNetwork network(seed, lossyLinkOptions);
            EchoExchange exchange(network);
            QuicClient &client = network.addClient().client;
            CPPUNIT_ASSERT(exchange.runUntil([&] {
                return exchange.establishedClients.contains(0);
            }));

            const StreamNumber stream = client.openBidirectionalStream().value();
            const Bytes sent = patternBytes(100'000);
            CPPUNIT_ASSERT_EQUAL(sent.size(), client.write(stream, sent, true));
            client.flush(network.now);
            CPPUNIT_ASSERT(exchange.runUntil([&] {
                return exchange.finishedStreams.contains({0, stream});
            }));
            CPPUNIT_ASSERT(sent == exchange.receivedBytes(0, stream));
        }
    }

    // Guards against amplification attacks: until the caller's address is validated, the server sends at most three times the bytes it received.
    void amplificationIsLimitedBeforeAddressValidation()
    {
        QuicTestNetwork network(1);
        QuicTestNetwork::ClientEndpoint &endpoint = network.addClient();
        const std::size_t received = endpoint.toServer.sentBytes();
        endpoint.toServer.setDisconnected(true); // the server receives only the first datagram and retransmits its reply
        endpoint.toClient.setDisconnected(true);
        while (network.step(network.now + 30s)) {
            CPPUNIT_ASSERT(endpoint.toClient.sentBytes() <= 3 * received);
        }
        CPPUNIT_ASSERT(endpoint.toClient.sentBytes() > 2 * received);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, network.server->flowCount());
    }

    // Guards against a resume identifier that the server treats as an unknown connection or that only one caller can use.
    void resumeIdentifierOpensConnections()
    {
        QuicTestNetwork network(2);
        EchoExchange exchange(network);
        const FlowIdBytes resume = encodeFlowId(network.keys, 1, network.target, 0xffffffU);
        network.addClient(resume);
        network.addClient(resume);
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.establishedClients.size() == 2;
        }));
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.flowsOpenAtServer.size() == 2;
        }));
    }

    // Guards against reset loops and reflection attacks: a datagram gets one stateless reset, which is smaller than the datagram. The smallest gets none.
    void unknownConnectionIdGetsOneSmallerReset()
    {
        QuicTestNetwork network(3);
        QuicTestNetwork::ClientEndpoint &endpoint = network.addClient();
        for (std::size_t length = 21; length < 200; ++length) {
            const std::size_t before = endpoint.toClient.sentBytes();
            const std::uint64_t resets = network.server->statistics().resetsSent;
            Bytes datagram(length, 0x55);
            datagram[0] = 0x40;
            network.server->receive(network.now, endpoint.address, datagram);
            network.server->flush(network.now);
            CPPUNIT_ASSERT(endpoint.toClient.sentBytes() - before < length);
            CPPUNIT_ASSERT(network.server->statistics().resetsSent - resets == (length > 21 ? 1 : 0));
        }
    }

    // After a restart of the agent, callers must detect immediately that the flow is lost and not wait for the idle timeout.
    void restartedServerEndsFlowByStatelessReset()
    {
        QuicTestNetwork network(4);
        EchoExchange exchange(network);
        QuicClient &client = network.addClient().client;
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.flowsOpenAtServer.size() == 1;
        }));
        network.startServer();
        const StreamNumber stream = client.openBidirectionalStream().value();
        client.write(stream, Bytes(100), true);
        client.flush(network.now);
        CPPUNIT_ASSERT(exchange.runUntil(
            [&] {
                return exchange.clientEndEvents.contains(0);
            },
            5s));
        CPPUNIT_ASSERT(exchange.clientEndEvents[0].cause == FlowEndCause::StatelessReset);
    }

    void idleTimeoutEndsBothSides()
    {
        QuicTestNetwork network(5);
        EchoExchange exchange(network);
        QuicTestNetwork::ClientEndpoint &endpoint = network.addClient();
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.flowsOpenAtServer.size() == 1;
        }));
        endpoint.toServer.setDisconnected(true);
        endpoint.toClient.setDisconnected(true);
        CPPUNIT_ASSERT(exchange.runUntil(
            [&] {
                return !exchange.serverEndEvents.empty() && exchange.clientEndEvents.contains(0);
            },
            200s));
        CPPUNIT_ASSERT(exchange.clientEndEvents[0].cause == FlowEndCause::IdleTimeout);
        CPPUNIT_ASSERT(exchange.serverEndEvents[0].cause == FlowEndCause::IdleTimeout);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, network.server->memoryBytes());
    }

    // Guards against feeds that end by the idle timeout because they have no updates for hours.
    void keepAlivePreventsIdleTimeout()
    {
        QuicTestNetwork network(6, lossyLinkOptions);
        EchoExchange exchange(network);
        network.addClient();
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.flowsOpenAtServer.size() == 1;
        }));
        CPPUNIT_ASSERT(!exchange.runUntil(
            [&] {
                return exchange.clientEndEvents.contains(0);
            },
            4h));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, network.server->flowCount());
    }

    // Guards against flows that break when a caller's address changes during a transfer.
    void transferContinuesAfterAddressMigration()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            QuicTestNetwork network(seed, lossyLinkOptions);
            EchoExchange exchange(network);
            QuicTestNetwork::ClientEndpoint &endpoint = network.addClient();
            CPPUNIT_ASSERT(exchange.runUntil([&] {
                return exchange.flowsOpenAtServer.size() == 1;
            }));
            const StreamNumber stream = endpoint.client.openBidirectionalStream().value();
            const Bytes sent = patternBytes(200'000);
            endpoint.client.write(stream, sent, true);
            endpoint.client.flush(network.now);
            CPPUNIT_ASSERT(exchange.runUntil([&] {
                return exchange.receivedBytes(0, stream).size() > 20'000;
            }));
            endpoint.address.port += 7;
            CPPUNIT_ASSERT(exchange.runUntil([&] {
                return exchange.isFinished(0, stream);
            }));
            CPPUNIT_ASSERT(sent == exchange.receivedBytes(0, stream));
        }
    }

    // Guards against retiring a flow key while open connections still use it.
    void rotationMovesAllFlowsToNewKey()
    {
        QuicTestNetwork network(7, lossyLinkOptions);
        EchoExchange exchange(network);
        for (int client = 0; client < 5; ++client) {
            network.addClient();
        }
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.flowsOpenAtServer.size() == 5;
        }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, network.server->flowCountsByKey()[1]);
        network.keys.activate(2);
        network.server->rotateConnectionIds(network.now, 2);
        network.server->flush(network.now);
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return network.server->flowCountsByKey()[1] == 0;
        }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, network.server->flowCountsByKey()[2]);
        CPPUNIT_ASSERT(exchange.clientEndEvents.empty());

        QuicClient &client = network.clients[0]->client;
        const StreamNumber stream = client.openBidirectionalStream().value();
        client.write(stream, Bytes(10'000), true);
        client.flush(network.now);
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.isFinished(0, stream);
        }));
    }

    // Guards against unbounded memory use of a receiver that does not consume data.
    void flowControlBlocksSenderUntilDataIsConsumed()
    {
        QuicTestNetwork network(8, {}, {.maxSendBufferBytes = 4U << 20U, .maxFlowMemoryBytes = 16U << 20U});
        EchoExchange exchange(network);
        exchange.clientsConsume = false;
        QuicClient &client = network.addClient({}, {.serviceName = "slotboard", .streamWindowBytes = 30'000}).client;
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.flowsOpenAtServer.size() == 1;
        }));
        const StreamNumber stream = client.openBidirectionalStream().value();
        client.write(stream, Bytes(90'000), true);
        client.flush(network.now);
        CPPUNIT_ASSERT(!exchange.runUntil(
            [&] {
                return exchange.receivedBytes(0, stream).size() > 30'000;
            },
            10s));
        CPPUNIT_ASSERT_EQUAL(std::size_t{30'000}, exchange.receivedBytes(0, stream).size());
        exchange.clientsConsume = true;
        client.consume(stream, 30'000);
        client.flush(network.now);
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.isFinished(0, stream);
        }));
    }

    // Guards against unbounded send buffers for a peer that reads slowly.
    void sendBufferIsBounded()
    {
        QuicTestNetwork network(9, {}, {.maxSendBufferBytes = 1'000});
        EchoExchange exchange(network);
        network.addClient();
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.flowsOpenAtServer.size() == 1;
        }));
        const FlowHandle flow = *exchange.flowsOpenAtServer.begin();
        const StreamNumber stream = network.server->openUnidirectionalStream(flow).value();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1'000}, network.server->write(flow, stream, Bytes(1'500), true));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, network.server->write(flow, stream, Bytes(1), true));
        network.server->flush(network.now);
        bool isWritable = false;
        while (!isWritable && network.step(network.now + 5s)) {
            for (const QuicEvent &event : network.server->takeEvents()) {
                isWritable = isWritable || std::holds_alternative<StreamWritable>(event);
            }
        }
        CPPUNIT_ASSERT(isWritable);
        CPPUNIT_ASSERT_EQUAL(std::size_t{500}, network.server->write(flow, stream, Bytes(500), true));
    }

    // Guards against cancelled requests that the agent continues to process.
    void resetAndStopSendingReachThePeer()
    {
        QuicTestNetwork network(10, lossyLinkOptions);
        EchoExchange exchange(network);
        QuicClient &client = network.addClient().client;
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.flowsOpenAtServer.size() == 1;
        }));
        const StreamNumber unfinishedStream = client.openBidirectionalStream().value();
        client.write(unfinishedStream, Bytes(10), false);
        client.flush(network.now);
        client.resetStream(unfinishedStream, 17);
        client.flush(network.now);
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return !exchange.serverResetEvents.empty();
        }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{17}, exchange.serverResetEvents[0].code);

        exchange.serverEchoes = false;
        const StreamNumber finishedStream = client.openBidirectionalStream().value();
        client.write(finishedStream, Bytes(10), true);
        client.flush(network.now);
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.streamsFinishedAtServer.contains(finishedStream);
        }));
        client.stopSending(finishedStream, 18);
        client.flush(network.now);
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return !exchange.serverStopEvents.empty();
        }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{18}, exchange.serverStopEvents[0].code);
    }

    // Guards against a graceful shutdown that truncates a transfer.
    void closeAfterDeliveryLosesNothing()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            QuicTestNetwork network(seed, lossyLinkOptions);
            EchoExchange exchange(network);
            network.addClient();
            CPPUNIT_ASSERT(exchange.runUntil([&] {
                return exchange.flowsOpenAtServer.size() == 1;
            }));
            const FlowHandle flow = *exchange.flowsOpenAtServer.begin();
            const StreamNumber stream = network.server->openUnidirectionalStream(flow).value();
            const Bytes sent = patternBytes(50'000);
            network.server->write(flow, stream, sent, true);
            network.server->closeAfterDelivery(network.now, flow, 5, "drained");
            CPPUNIT_ASSERT(exchange.runUntil([&] {
                return !exchange.serverEndEvents.empty();
            }));
            CPPUNIT_ASSERT(sent == exchange.receivedBytes(0, stream));
            CPPUNIT_ASSERT(exchange.serverEndEvents[0].cause == FlowEndCause::ClosedLocally);
        }
    }

    void refusesNewFlowsAtLimitAndWhileDraining()
    {
        QuicTestNetwork network(11, {}, {.maxFlows = 2});
        EchoExchange exchange(network);
        network.addClient();
        network.addClient();
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.flowsOpenAtServer.size() == 2;
        }));
        network.addClient();
        CPPUNIT_ASSERT(exchange.runUntil(
            [&] {
                return exchange.clientEndEvents.contains(2);
            },
            1s));
        CPPUNIT_ASSERT(exchange.clientEndEvents[2].cause == FlowEndCause::HandshakeFailed);
        network.clients[0]->client.close(network.now, 0, {});
        CPPUNIT_ASSERT(exchange.runUntil(
            [&] {
                return exchange.flowsOpenAtServer.size() == 1;
            },
            1s));
        network.server->refuseNewFlows();
        network.addClient();
        CPPUNIT_ASSERT(exchange.runUntil(
            [&] {
                return exchange.clientEndEvents.contains(3);
            },
            1s));
        CPPUNIT_ASSERT(!exchange.clientEndEvents.contains(1));
        // A caller that has lost its flow can still resume and get the answers to its earlier requests.
        network.addClient(encodeFlowId(network.keys, 1, network.target, 0xffffffU));
        CPPUNIT_ASSERT(exchange.runUntil(
            [&] {
                return exchange.establishedClients.contains(4);
            },
            1s));
    }

    // Guards against a caller that connects to another service than it requested.
    void wrongServiceNameIsRefused()
    {
        QuicTestNetwork network(12);
        EchoExchange exchange(network);
        network.addClient({}, {.serviceName = "dossier-vault"});
        CPPUNIT_ASSERT(exchange.runUntil(
            [&] {
                return exchange.clientEndEvents.contains(0);
            },
            5s));
        CPPUNIT_ASSERT(exchange.clientEndEvents[0].cause == FlowEndCause::HandshakeFailed);
        CPPUNIT_ASSERT(exchange.establishedClients.empty());
    }

    // Guards against forged or corrupted datagrams that end or disturb an open connection.
    void damagedDatagramsDoNotDisturbFlow()
    {
        std::mt19937_64 random(13);
        QuicTestNetwork network(13);
        EchoExchange exchange(network);
        QuicTestNetwork::ClientEndpoint &endpoint = network.addClient();
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.flowsOpenAtServer.size() == 1;
        }));
        const StreamNumber stream = endpoint.client.openBidirectionalStream().value();
        const Bytes sent = patternBytes(60'000);
        endpoint.client.write(stream, sent, true);
        endpoint.client.flush(network.now);
        // A version negotiation packet (long header, version 0) with a connection ID of 64 bytes, longer than QUIC version 1 allows.
        Bytes negotiation(100, 0);
        negotiation[0] = 0xFF;
        negotiation[5] = 64;
        const TimePoint limit = network.now + 60s;
        while (!exchange.isFinished(0, stream) && network.step(limit)) {
            if (auto datagram = endpoint.toServer.receive(network.now + 1s)) {
                Bytes damaged = *datagram;
                damaged[random() % damaged.size()] ^= static_cast<std::uint8_t>(1 + random() % 255);
                network.server->receive(network.now, endpoint.address, damaged);
                network.server->receive(network.now, endpoint.address, {});
                network.server->receive(network.now, endpoint.address, negotiation);
                endpoint.client.receive(network.now, {});
                network.server->receive(network.now, endpoint.address, *datagram);
            }
            exchange.handleEvents();
        }
        CPPUNIT_ASSERT(exchange.isFinished(0, stream));
        CPPUNIT_ASSERT(sent == exchange.receivedBytes(0, stream));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, network.server->flowCount());
    }

    // An empty UDP datagram must not abort the process. The datagram fuzzer found this failure.
    void emptyDatagramsAreIgnored()
    {
        QuicTestNetwork network(14);
        EchoExchange exchange(network);
        QuicTestNetwork::ClientEndpoint &endpoint = network.addClient();
        network.server->receive(network.now, endpoint.address, {});
        endpoint.client.receive(network.now, {});
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.establishedClients.contains(0);
        }));
    }

    // A version negotiation packet from a caller with a connection ID longer than QUIC version 1 allows must not abort the process. The datagram
    // fuzzer found this failure.
    void versionNegotiationWithLongConnectionIdIsIgnored()
    {
        QuicTestNetwork network(15);
        QuicTestNetwork::ClientEndpoint &endpoint = network.addClient();
        Bytes datagram(300);
        datagram[0] = 0xc0;
        datagram[5] = 255;
        network.server->receive(network.now, endpoint.address, datagram);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, endpoint.toClient.sentBytes());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, network.server->statistics().datagramsDropped);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuicTest);
