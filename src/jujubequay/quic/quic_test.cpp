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

    void onServer(const StreamReceived &received)
    {
        pair.server->consume(received.flow, received.stream, received.data.size());
        pair.server->write(received.flow, received.stream, received.data, received.end);
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

    void onClient(std::size_t index, const StreamReceived &received)
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

    QuicTestPair &pair;
    bool consumes = true;
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

            const StreamNumber stream = client.openBidirectional().value();
            const Bytes sent = pattern(100'000);
            CPPUNIT_ASSERT_EQUAL(sent.size(), client.write(stream, sent, true));
            client.flush(pair.now);
            CPPUNIT_ASSERT(exchange.runUntil([&] {
                return exchange.finished.contains({0, stream});
            }));
            CPPUNIT_ASSERT((sent == exchange.echoed[{0, stream}]));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuicTest);
