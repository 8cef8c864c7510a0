#include "quic_test_pair.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <set>

using namespace Jujubequay;
using namespace std::chrono_literals;

namespace {

constexpr LossyLink::Options badLink{.loss = 0.1, .duplicates = 0.1, .minDelay = 1ms, .maxDelay = 9ms};

/// What both ends saw, and a server that sends every stream back.
struct Exchange {
    explicit Exchange(QuicTestPair &exchangePair)
        : pair(exchangePair)
    {
    }

    /// Runs until the condition holds. False if it does not within the time limit.
    bool runUntil(const std::function<bool()> &condition, Duration limit = 120s)
    {
        const TimePoint end = pair.now + limit;
        while (!condition()) {
            if (!pair.step(end)) {
                return condition();
            }
            handleEvents();
        }
        return true;
    }

    void handleEvents()
    {
        for (const QuicEvent &event : pair.server->takeEvents()) {
            std::visit(
                [this](const auto &happened) {
                    onServer(happened);
                },
                event);
        }
        for (std::size_t index = 0; index < pair.clients.size(); ++index) {
            for (const QuicEvent &event : pair.clients[index]->client.takeEvents()) {
                std::visit(
                    [this, index](const auto &happened) {
                        onClient(index, happened);
                    },
                    event);
            }
        }
        pair.flush();
    }

    void onServer(const StreamDataReceived &received)
    {
        pair.server->consume(received.flow, received.stream, received.data.size());
        if (echoes) {
            pair.server->write(received.flow, received.stream, received.data, received.end);
        }
        if (received.end) {
            serverFinished.insert(received.stream);
        }
    }
    void onServer(const FlowEstablished &established)
    {
        serverFlows.insert(established.flow);
    }
    void onServer(const FlowEnded &ended)
    {
        serverFlows.erase(ended.flow);
        serverEnds.push_back(ended);
    }
    void onServer(const StreamReset &reset)
    {
        serverResets.push_back(reset);
    }
    void onServer(const StreamStopped &stopped)
    {
        serverStops.push_back(stopped);
    }
    template<class Other>
    void onServer(const Other &)
    {
    }

    void onClient(std::size_t index, const StreamDataReceived &received)
    {
        Bytes &all = echoed[{index, received.stream}];
        all.insert(all.end(), received.data.begin(), received.data.end());
        if (received.end) {
            finished.insert({index, received.stream});
        }
        if (consumes) {
            pair.clients[index]->client.consume(received.stream, received.data.size());
        }
    }
    void onClient(std::size_t index, const FlowEstablished &)
    {
        established.insert(index);
    }
    void onClient(std::size_t index, const FlowEnded &ended)
    {
        clientEnds[index] = ended;
    }
    template<class Other>
    void onClient(std::size_t, const Other &)
    {
    }

    bool isFinished(std::size_t index, StreamNumber stream) const
    {
        return finished.contains({index, stream});
    }

    const Bytes &bytes(std::size_t index, StreamNumber stream)
    {
        return echoed[{index, stream}];
    }

    QuicTestPair &pair;
    bool consumes = true;
    bool echoes = true;
    std::set<StreamNumber> serverFinished;
    std::set<FlowHandle> serverFlows;
    std::vector<FlowEnded> serverEnds;
    std::vector<StreamReset> serverResets;
    std::vector<StreamStopped> serverStops;
    std::set<std::size_t> established;
    std::map<std::size_t, FlowEnded> clientEnds;
    std::map<std::pair<std::size_t, StreamNumber>, Bytes> echoed;
    std::set<std::pair<std::size_t, StreamNumber>> finished;
};

Bytes pattern(std::size_t length)
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
    CPPUNIT_TEST(echoesOverBadLinks);
    CPPUNIT_TEST(sendsAtMostThreeTimesWhatItReceivedBeforeValidation);
    CPPUNIT_TEST(resumeIdentifierOpensConnections);
    CPPUNIT_TEST(unknownIdentifierGetsOneSmallerReset);
    CPPUNIT_TEST(restartedServerEndsFlowByStatelessReset);
    CPPUNIT_TEST(idleTimeoutEndsBothSides);
    CPPUNIT_TEST(keepAliveHoldsIdleFlow);
    CPPUNIT_TEST(migrationToNewAddressGoesOn);
    CPPUNIT_TEST(rotationMovesAllFlowsToTheNewKey);
    CPPUNIT_TEST(windowStopsSenderUntilConsumed);
    CPPUNIT_TEST(sendBufferIsBounded);
    CPPUNIT_TEST(resetAndStopReachThePeer);
    CPPUNIT_TEST(closeAfterDeliveryLosesNothing);
    CPPUNIT_TEST(refusesNewFlowsAtLimitAndWhileDraining);
    CPPUNIT_TEST(wrongServiceNameIsRefused);
    CPPUNIT_TEST(damagedDatagramsDoNoHarm);
    CPPUNIT_TEST(emptyDatagramsDoNoHarm);
    CPPUNIT_TEST(versionNegotiationWithLongIdentifierDoesNoHarm);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against streams that stall or are damaged under loss, reordering and duplication.
    void echoesOverBadLinks()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            QuicTestPair pair(seed, badLink);
            Exchange exchange(pair);
            QuicClient &client = pair.addClient().client;
            CPPUNIT_ASSERT(exchange.runUntil([&] {
                return exchange.established.contains(0);
            }));

            const StreamNumber stream = client.openBidirectionalStream().value();
            const Bytes sent = pattern(100'000);
            CPPUNIT_ASSERT_EQUAL(sent.size(), client.write(stream, sent, true));
            client.flush(pair.now);
            CPPUNIT_ASSERT(exchange.runUntil([&] {
                return exchange.finished.contains({0, stream});
            }));
            CPPUNIT_ASSERT(sent == exchange.bytes(0, stream));
        }
    }

    // Guards against use as an amplifier: until the caller's address is validated it gets three bytes for one.
    void sendsAtMostThreeTimesWhatItReceivedBeforeValidation()
    {
        QuicTestPair pair(1);
        QuicTestPair::ClientEnd &end = pair.addClient();
        const std::size_t received = end.up.sentBytes();
        end.up.setDisconnected(true); // one datagram arrives, and then the server repeats its answer
        end.down.setDisconnected(true);
        while (pair.step(pair.now + 30s)) {
            CPPUNIT_ASSERT(end.down.sentBytes() <= 3 * received);
        }
        CPPUNIT_ASSERT(end.down.sentBytes() > 2 * received);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pair.server->flowCount());
    }

    // Guards against a resume identifier that is taken for an unknown connection, or that only one caller can use.
    void resumeIdentifierOpensConnections()
    {
        QuicTestPair pair(2);
        Exchange exchange(pair);
        const FlowIdBytes resume = encodeFlowId(pair.keys, 1, pair.target, 0xffffffU);
        pair.addClient(resume);
        pair.addClient(resume);
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.established.size() == 2;
        }));
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.serverFlows.size() == 2;
        }));
    }

    // Guards against reset loops and reflection: one answer, smaller than the datagram, none to the smallest.
    void unknownIdentifierGetsOneSmallerReset()
    {
        QuicTestPair pair(3);
        QuicTestPair::ClientEnd &end = pair.addClient();
        for (std::size_t length = 21; length < 200; ++length) {
            const std::size_t before = end.down.sentBytes();
            const std::uint64_t resets = pair.server->statistics().resetsSent;
            Bytes datagram(length, 0x55);
            datagram[0] = 0x40;
            pair.server->receive(pair.now, end.address, datagram);
            pair.server->flush(pair.now);
            CPPUNIT_ASSERT(end.down.sentBytes() - before < length);
            CPPUNIT_ASSERT(pair.server->statistics().resetsSent - resets == (length > 21 ? 1 : 0));
        }
    }

    // Guards against callers that wait for the idle timeout after an agent has restarted.
    void restartedServerEndsFlowByStatelessReset()
    {
        QuicTestPair pair(4);
        Exchange exchange(pair);
        QuicClient &client = pair.addClient().client;
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.serverFlows.size() == 1;
        }));
        pair.startServer();
        const StreamNumber stream = client.openBidirectionalStream().value();
        client.write(stream, Bytes(100), true);
        client.flush(pair.now);
        CPPUNIT_ASSERT(exchange.runUntil(
            [&] {
                return exchange.clientEnds.contains(0);
            },
            5s));
        CPPUNIT_ASSERT(exchange.clientEnds[0].cause == FlowEndCause::StatelessReset);
    }

    void idleTimeoutEndsBothSides()
    {
        QuicTestPair pair(5);
        Exchange exchange(pair);
        QuicTestPair::ClientEnd &end = pair.addClient();
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.serverFlows.size() == 1;
        }));
        end.up.setDisconnected(true);
        end.down.setDisconnected(true);
        CPPUNIT_ASSERT(exchange.runUntil(
            [&] {
                return !exchange.serverEnds.empty() && exchange.clientEnds.contains(0);
            },
            200s));
        CPPUNIT_ASSERT(exchange.clientEnds[0].cause == FlowEndCause::IdleTimeout);
        CPPUNIT_ASSERT(exchange.serverEnds[0].cause == FlowEndCause::IdleTimeout);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pair.server->memoryBytes());
    }

    // Guards against feeds without news for hours that end by the idle timeout.
    void keepAliveHoldsIdleFlow()
    {
        QuicTestPair pair(6, badLink);
        Exchange exchange(pair);
        pair.addClient();
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.serverFlows.size() == 1;
        }));
        CPPUNIT_ASSERT(!exchange.runUntil(
            [&] {
                return exchange.clientEnds.contains(0);
            },
            4h));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pair.server->flowCount());
    }

    // Guards against flows that break when a caller's address changes in the middle of a transfer.
    void migrationToNewAddressGoesOn()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            QuicTestPair pair(seed, badLink);
            Exchange exchange(pair);
            QuicTestPair::ClientEnd &end = pair.addClient();
            CPPUNIT_ASSERT(exchange.runUntil([&] {
                return exchange.serverFlows.size() == 1;
            }));
            const StreamNumber stream = end.client.openBidirectionalStream().value();
            const Bytes sent = pattern(200'000);
            end.client.write(stream, sent, true);
            end.client.flush(pair.now);
            CPPUNIT_ASSERT(exchange.runUntil([&] {
                return exchange.bytes(0, stream).size() > 20'000;
            }));
            end.address.port += 7;
            CPPUNIT_ASSERT(exchange.runUntil([&] {
                return exchange.isFinished(0, stream);
            }));
            CPPUNIT_ASSERT(sent == exchange.bytes(0, stream));
        }
    }

    // Guards against a retired flow key that live connections still need.
    void rotationMovesAllFlowsToTheNewKey()
    {
        QuicTestPair pair(7, badLink);
        Exchange exchange(pair);
        for (int client = 0; client < 5; ++client) {
            pair.addClient();
        }
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.serverFlows.size() == 5;
        }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, pair.server->flowCountsByKey()[1]);
        pair.keys.activate(2);
        pair.server->rotateConnectionIds(pair.now, 2);
        pair.server->flush(pair.now);
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return pair.server->flowCountsByKey()[1] == 0;
        }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, pair.server->flowCountsByKey()[2]);
        CPPUNIT_ASSERT(exchange.clientEnds.empty());

        QuicClient &client = pair.clients[0]->client;
        const StreamNumber stream = client.openBidirectionalStream().value();
        client.write(stream, Bytes(10'000), true);
        client.flush(pair.now);
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.isFinished(0, stream);
        }));
    }

    // Guards against a sender that fills the memory of a reader who does not read.
    void windowStopsSenderUntilConsumed()
    {
        QuicTestPair pair(8, {}, {.sendBuffer = 4U << 20U, .maxFlowMemory = 16U << 20U});
        Exchange exchange(pair);
        exchange.consumes = false;
        QuicClient &client = pair.addClient({}, {.serviceName = "slotboard", .streamWindow = 30'000}).client;
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.serverFlows.size() == 1;
        }));
        const StreamNumber stream = client.openBidirectionalStream().value();
        client.write(stream, Bytes(90'000), true);
        client.flush(pair.now);
        CPPUNIT_ASSERT(!exchange.runUntil(
            [&] {
                return exchange.bytes(0, stream).size() > 30'000;
            },
            10s));
        CPPUNIT_ASSERT_EQUAL(std::size_t{30'000}, exchange.bytes(0, stream).size());
        exchange.consumes = true;
        client.consume(stream, 30'000);
        client.flush(pair.now);
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.isFinished(0, stream);
        }));
    }

    // Guards against answers to a slow reader that pile up without bound.
    void sendBufferIsBounded()
    {
        QuicTestPair pair(9, {}, {.sendBuffer = 1'000});
        Exchange exchange(pair);
        pair.addClient();
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.serverFlows.size() == 1;
        }));
        const FlowHandle flow = *exchange.serverFlows.begin();
        const StreamNumber stream = pair.server->openUnidirectionalStream(flow).value();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1'000}, pair.server->write(flow, stream, Bytes(1'500), true));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pair.server->write(flow, stream, Bytes(1), true));
        pair.server->flush(pair.now);
        bool writable = false;
        while (!writable && pair.step(pair.now + 5s)) {
            for (const QuicEvent &event : pair.server->takeEvents()) {
                writable = writable || std::holds_alternative<StreamWritable>(event);
            }
        }
        CPPUNIT_ASSERT(writable);
        CPPUNIT_ASSERT_EQUAL(std::size_t{500}, pair.server->write(flow, stream, Bytes(500), true));
    }

    // Guards against cancelled requests that go on at the agent.
    void resetAndStopReachThePeer()
    {
        QuicTestPair pair(10, badLink);
        Exchange exchange(pair);
        QuicClient &client = pair.addClient().client;
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.serverFlows.size() == 1;
        }));
        const StreamNumber unfinished = client.openBidirectionalStream().value();
        client.write(unfinished, Bytes(10), false);
        client.flush(pair.now);
        client.resetStream(unfinished, 17);
        client.flush(pair.now);
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return !exchange.serverResets.empty();
        }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{17}, exchange.serverResets[0].code);

        exchange.echoes = false;
        const StreamNumber finished = client.openBidirectionalStream().value();
        client.write(finished, Bytes(10), true);
        client.flush(pair.now);
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.serverFinished.contains(finished);
        }));
        client.stopSending(finished, 18);
        client.flush(pair.now);
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return !exchange.serverStops.empty();
        }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{18}, exchange.serverStops[0].code);
    }

    // Guards against a graceful shutdown that cuts a transfer short.
    void closeAfterDeliveryLosesNothing()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            QuicTestPair pair(seed, badLink);
            Exchange exchange(pair);
            pair.addClient();
            CPPUNIT_ASSERT(exchange.runUntil([&] {
                return exchange.serverFlows.size() == 1;
            }));
            const FlowHandle flow = *exchange.serverFlows.begin();
            const StreamNumber stream = pair.server->openUnidirectionalStream(flow).value();
            const Bytes sent = pattern(50'000);
            pair.server->write(flow, stream, sent, true);
            pair.server->closeAfterDelivery(pair.now, flow, 5, "drained");
            CPPUNIT_ASSERT(exchange.runUntil([&] {
                return !exchange.serverEnds.empty();
            }));
            CPPUNIT_ASSERT(sent == exchange.bytes(0, stream));
            CPPUNIT_ASSERT(exchange.serverEnds[0].cause == FlowEndCause::ClosedLocally);
        }
    }

    void refusesNewFlowsAtLimitAndWhileDraining()
    {
        QuicTestPair pair(11, {}, {.maxFlows = 2});
        Exchange exchange(pair);
        pair.addClient();
        pair.addClient();
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.serverFlows.size() == 2;
        }));
        pair.addClient();
        CPPUNIT_ASSERT(exchange.runUntil(
            [&] {
                return exchange.clientEnds.contains(2);
            },
            1s));
        CPPUNIT_ASSERT(exchange.clientEnds[2].cause == FlowEndCause::HandshakeFailed);
        pair.clients[0]->client.close(pair.now, 0, {});
        CPPUNIT_ASSERT(exchange.runUntil(
            [&] {
                return exchange.serverFlows.size() == 1;
            },
            1s));
        pair.server->refuseNewFlows();
        pair.addClient();
        CPPUNIT_ASSERT(exchange.runUntil(
            [&] {
                return exchange.clientEnds.contains(3);
            },
            1s));
        CPPUNIT_ASSERT(!exchange.clientEnds.contains(1));
        // A caller that lost its flow still gets the answers to its earlier requests.
        pair.addClient(encodeFlowId(pair.keys, 1, pair.target, 0xffffffU));
        CPPUNIT_ASSERT(exchange.runUntil(
            [&] {
                return exchange.established.contains(4);
            },
            1s));
    }

    // Guards against a caller that talks to another service than it asked for.
    void wrongServiceNameIsRefused()
    {
        QuicTestPair pair(12);
        Exchange exchange(pair);
        pair.addClient({}, {.serviceName = "dossier-vault"});
        CPPUNIT_ASSERT(exchange.runUntil(
            [&] {
                return exchange.clientEnds.contains(0);
            },
            5s));
        CPPUNIT_ASSERT(exchange.clientEnds[0].cause == FlowEndCause::HandshakeFailed);
        CPPUNIT_ASSERT(exchange.established.empty());
    }

    // Guards against datagrams from anyone that end or disturb a live connection.
    void damagedDatagramsDoNoHarm()
    {
        std::mt19937_64 random(13);
        QuicTestPair pair(13);
        Exchange exchange(pair);
        QuicTestPair::ClientEnd &end = pair.addClient();
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.serverFlows.size() == 1;
        }));
        const StreamNumber stream = end.client.openBidirectionalStream().value();
        const Bytes sent = pattern(60'000);
        end.client.write(stream, sent, true);
        end.client.flush(pair.now);
        // A long header with version 0 and an identifier of 64 bytes, longer than QUIC version 1 allows.
        Bytes negotiation(100, 0);
        negotiation[0] = 0xFF;
        negotiation[5] = 64;
        const TimePoint limit = pair.now + 60s;
        while (!exchange.isFinished(0, stream) && pair.step(limit)) {
            if (auto datagram = end.up.receive(pair.now + 1s)) {
                Bytes damaged = *datagram;
                damaged[random() % damaged.size()] ^= static_cast<std::uint8_t>(1 + random() % 255);
                pair.server->receive(pair.now, end.address, damaged);
                pair.server->receive(pair.now, end.address, {});
                pair.server->receive(pair.now, end.address, negotiation);
                end.client.receive(pair.now, {});
                pair.server->receive(pair.now, end.address, *datagram);
            }
            exchange.handleEvents();
        }
        CPPUNIT_ASSERT(exchange.isFinished(0, stream));
        CPPUNIT_ASSERT(sent == exchange.bytes(0, stream));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pair.server->flowCount());
    }

    // Guards against a UDP datagram without payload that ends the process; found by the datagram fuzzer.
    void emptyDatagramsDoNoHarm()
    {
        QuicTestPair pair(14);
        Exchange exchange(pair);
        QuicTestPair::ClientEnd &end = pair.addClient();
        pair.server->receive(pair.now, end.address, {});
        end.client.receive(pair.now, {});
        CPPUNIT_ASSERT(exchange.runUntil([&] {
            return exchange.established.contains(0);
        }));
    }

    // Guards against a version negotiation packet, sent by a caller, whose identifier is longer than QUIC version 1
    // allows; the datagram fuzzer found that it ended the process.
    void versionNegotiationWithLongIdentifierDoesNoHarm()
    {
        QuicTestPair pair(15);
        QuicTestPair::ClientEnd &end = pair.addClient();
        Bytes datagram(300);
        datagram[0] = 0xc0;
        datagram[5] = 255;
        pair.server->receive(pair.now, end.address, datagram);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, end.down.sentBytes());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, pair.server->statistics().datagramsDropped);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuicTest);
