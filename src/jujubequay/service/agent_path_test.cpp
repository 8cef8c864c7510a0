#include <jujubequay/datapath/balancer_path.h>
#include <jujubequay/quic/quic_client.h>
#include <jujubequay/service/agent_path.h>
#include <jujubequay/wire/flow_close.h>

#include <cppunit/extensions/HelperMacros.h>

#include <request.pb.h>

#include <algorithm>
#include <deque>

using namespace Jujubequay;
namespace pb = jujubequay::pb;

namespace {

constexpr ServiceId service{1};
constexpr std::uint32_t loopback = 0x7F000001;
const std::string serviceName = "inspect-desk";

FlowSecret secretOf(std::uint8_t seed)
{
    FlowSecret secret;
    secret.fill(seed);
    return secret;
}

FlowKeySet keysUpTo(std::uint8_t newest)
{
    FlowKeySet keys;
    for (std::uint8_t number = 0; number <= newest; ++number) {
        keys.set(number, secretOf(static_cast<std::uint8_t>(number + 1)));
    }
    keys.activate(newest);
    return keys;
}

ConfigSnapshotPointer configWith(const FlowKeySet &keys, std::uint64_t revision)
{
    auto config = std::make_shared<ConfigSnapshot>();
    config->revision = revision;
    config->flowKeys = keys;
    ServiceSnapshot snapshot;
    snapshot.id = service;
    snapshot.name = serviceName;
    snapshot.revision = revision;
    config->services.push_back(snapshot);
    return config;
}

/// Answers each request with its own body.
class EchoBackend final : public BackendPort
{
public:
    void start(BackendRequest request) override
    {
        ++executions;
        pending.push_back(std::move(request));
    }
    void cancel(std::uint64_t) override { }
    void consume(std::uint64_t, std::size_t) override { }
    void answerAll(AgentPath &path)
    {
        while (!pending.empty()) {
            const BackendRequest request = std::move(pending.front());
            pending.pop_front();
            path.handleBackendEvent(BackendResponseStarted{request.call, 200});
            path.handleBackendEvent(BackendData{request.call, request.body, 0});
            path.handleBackendEvent(BackendEnded{request.call});
        }
    }

    int executions = 0;
    std::deque<BackendRequest> pending;
};

/// A caller with one flow. Sends its datagrams to the given entry points in turn.
class TestCaller final : public QuicClientSink
{
public:
    TestCaller(const TestCaller &) = delete;
    TestCaller &operator=(const TestCaller &) = delete;
    TestCaller(asio::io_context &context,
               std::shared_ptr<const TlsCredentials> credentials,
               std::span<const std::uint8_t> destination,
               std::vector<HostAddress> entryPoints)
        : entries(std::move(entryPoints))
        , m_socket(std::move(*bindUdpSocket(context, {loopback, 0})))
        , m_random(7)
        , m_client({.serviceName = serviceName}, std::move(credentials), destination, *this, m_random, SteadyClock().now())
    {
    }

    void sendDatagram(std::span<const std::uint8_t> datagram) override
    {
        const HostAddress &entry = entries[m_nextEntry++ % entries.size()];
        asio::error_code ignored;
        m_socket.send_to(asio::buffer(datagram.data(), datagram.size()), {asio::ip::address_v4(entry.ip), entry.port}, 0, ignored);
    }

    void step()
    {
        const TimePoint now = SteadyClock().now();
        const std::size_t count = m_reader.read(m_socket.native_handle());
        for (std::size_t index = 0; index < count; ++index) {
            m_client.receive(now, m_reader.datagram(index));
        }
        if (const auto timeout = m_client.nextTimeout(); timeout && *timeout <= now) {
            m_client.handleTimeout(now);
        }
        for (const QuicEvent &event : m_client.takeEvents()) {
            if (const StreamDataReceived *received = std::get_if<StreamDataReceived>(&event)) {
                m_client.consume(received->stream, received->data.size());
                readers[received->stream].add(received->data);
            }
            if (const FlowEnded *ended = std::get_if<FlowEnded>(&event)) {
                isEnded = true;
                endCode = ended->code;
            }
        }
        m_client.flush(now);
    }

    StreamNumber request(std::uint64_t sequence, const std::string &body, std::uint32_t incarnation)
    {
        const StreamNumber stream = m_client.openBidirectionalStream().value();
        pb::CallerMessage header;
        header.mutable_header()->set_caller(std::string(16, 'c'));
        header.mutable_header()->set_sequence(sequence);
        header.mutable_header()->set_customer("mill");
        header.mutable_header()->set_path("/findings");
        header.mutable_header()->set_incarnation(incarnation);
        header.mutable_header()->set_window(1);
        pb::CallerMessage content;
        content.mutable_body()->set_data(body);
        pb::CallerMessage end;
        end.set_end(true);
        for (const pb::CallerMessage &message : {header, content, end}) {
            m_client.write(stream, encodeFrame(message), message.has_end());
        }
        return stream;
    }

    std::vector<pb::AgentMessage> messages(StreamNumber stream)
    {
        std::vector<pb::AgentMessage> result;
        while (const auto frame = readers[stream].nextFrame()) {
            pb::AgentMessage message;
            CPPUNIT_ASSERT(message.ParseFromArray(frame->data(), static_cast<int>(frame->size())));
            result.push_back(message);
        }
        return result;
    }

    bool isEstablished() const
    {
        return m_client.isEstablished();
    }

    std::vector<HostAddress> entries;
    std::map<StreamNumber, FrameReader> readers;
    bool isEnded = false;
    std::uint64_t endCode = 0;

private:
    asio::ip::udp::socket m_socket;
    std::mt19937_64 m_random;
    QuicClient m_client;
    DatagramReader m_reader{0};
    std::size_t m_nextEntry = 0;
};

struct TestBalancer {
    std::unique_ptr<BalancerPath> path;
    HostAddress entry;
    std::uint64_t staleRevision = 0;
};

}

/// A caller, two balancers and an agent over loopback sockets in one thread.
class AgentPathTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AgentPathTest);
    CPPUNIT_TEST(flowSurvivesLossOfItsBalancers);
    CPPUNIT_TEST(flowSurvivesKeyRotation);
    CPPUNIT_TEST(outdatedBalancerIsRefusedAndRecovers);
    CPPUNIT_TEST(newBundleLimitsTakeEffect);
    CPPUNIT_TEST(resumeIdentifierReachesTheSameAgent);
    CPPUNIT_TEST(drainAnswersRequestsBeforeClosingFlows);
    CPPUNIT_TEST(drainDoesNotWaitForUnresponsiveCallers);
    CPPUNIT_TEST(restartedAgentResetsFlowsOfItsEarlierRun);
    CPPUNIT_TEST(strangerOpensNoFlowAtADrainingAgent);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_context = std::make_unique<asio::io_context>();
        m_backend = std::make_unique<EchoBackend>();
        const auto certificate = makeSelfSignedCertificate(serviceName);
        CPPUNIT_ASSERT(certificate);
        m_callerCredentials = *TlsCredentials::client(certificate->certificatePem);
        m_agentCredentials = *TlsCredentials::server(certificate->certificatePem, certificate->keyPem);
        m_agent = startAgent({loopback, 0}, incarnation, keysUpTo(0));
        m_balancers.clear();
        for (int number = 0; number < 2; ++number) {
            addBalancer(5);
        }
    }

    void tearDown() override
    {
        m_balancers.clear();
        m_agent.reset();
        m_context.reset();
    }

    // Guards against flows that depend on the balancer through which they were opened. The last balancer has no configured service.
    void flowSurvivesLossOfItsBalancers()
    {
        TestCaller caller = makeCaller({m_balancers[0]->entry});
        expectEcho(caller, 1, "reading 1");
        m_balancers[0]->path->stop();
        caller.entries = {m_balancers[1]->entry};
        expectEcho(caller, 2, "reading 2");
        addBalancer(0);
        m_balancers[1]->path->stop();
        caller.entries = {m_balancers[2]->entry};
        expectEcho(caller, 3, "reading 3");
        CPPUNIT_ASSERT(!caller.isEnded);
    }

    // Guards against a key rotation that breaks established flows, and against an old key that stays in use forever.
    void flowSurvivesKeyRotation()
    {
        TestCaller caller = makeCaller({m_balancers[0]->entry, m_balancers[1]->entry});
        expectEcho(caller, 1, "before");
        m_agent->apply(configWith(keysUpTo(1), 5));
        for (const auto &balancer : m_balancers) {
            balancer->path->apply({tableWith(keysUpTo(1), 5), {{service, balancer->entry}}});
        }
        expectEcho(caller, 2, "after");
        runUntil(caller, [this] {
            return m_agent->flowKeysInUse() == std::vector<std::uint32_t>{1};
        });
        expectEcho(caller, 3, "old key unused");
        CPPUNIT_ASSERT(!caller.isEnded);
    }

    // Guards against new flows that a balancer places according to a bundle that has been replaced.
    void outdatedBalancerIsRefusedAndRecovers()
    {
        m_agent->apply(configWith(keysUpTo(0), 6));
        TestCaller caller = makeCaller({m_balancers[0]->entry});
        runUntil(caller, [this] {
            return m_balancers[0]->staleRevision == 6;
        });
        CPPUNIT_ASSERT(!caller.isEstablished());
        m_balancers[0]->path->apply({tableWith(keysUpTo(0), 6), {{service, m_balancers[0]->entry}}});
        expectEcho(caller, 1, "after the update");
    }

    // Guards against an agent that continues to apply the limits of a replaced bundle.
    void newBundleLimitsTakeEffect()
    {
        TestCaller caller = makeCaller({m_balancers[0]->entry});
        runUntil(caller, [&caller] {
            return caller.isEstablished();
        });
        caller.request(1, "first", incarnation.value);
        caller.request(2, "second", incarnation.value);
        runUntil(
            caller,
            [this] {
                return m_agent->load().queued == 1;
            },
            false);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_backend->pending.size());
        auto config = std::make_shared<ConfigSnapshot>(*configWith(keysUpTo(0), 6));
        config->services[0].admission.slots = 2;
        m_agent->apply(config);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_backend->pending.size());
    }

    // Guards against a caller that cannot return to the agent that may have executed its request, and against a second execution there.
    void resumeIdentifierReachesTheSameAgent()
    {
        std::string resumeId;
        {
            TestCaller first = makeCaller({m_balancers[0]->entry});
            expectEcho(first, 1, "amendment");
            const auto greetings = first.messages(3);
            CPPUNIT_ASSERT(!greetings.empty());
            resumeId = greetings.back().greeting().resume_id();
        }
        const std::vector<std::uint8_t> destination(resumeId.begin(), resumeId.end());
        TestCaller second = makeCaller({m_balancers[1]->entry}, destination);
        expectEcho(second, 1, "amendment");
        CPPUNIT_ASSERT_EQUAL(1, m_backend->executions);
    }

    // Guards against a drain that aborts an answer in progress or accepts new requests.
    void drainAnswersRequestsBeforeClosingFlows()
    {
        TestCaller caller = makeCaller({m_balancers[0]->entry});
        runUntil(caller, [&caller] {
            return caller.isEstablished();
        });
        const StreamNumber running = caller.request(1, "bid", incarnation.value);
        runUntil(
            caller,
            [this] {
                return !m_backend->pending.empty();
            },
            false);
        m_agent->beginDrain();
        const StreamNumber late = caller.request(2, "late bid", incarnation.value);
        runUntil(
            caller,
            [&] {
                return resultOn(caller, late) == ResultCode::NotRunMoved;
            },
            false);
        CPPUNIT_ASSERT(!m_agent->isIdle());
        runUntil(caller, [&] {
            return resultOn(caller, running) == ResultCode::Ok && m_agent->isIdle();
        });
        m_agent->closeFlows();
        runUntil(caller, [&caller] {
            return caller.isEnded;
        });
        // With this code, the caller may immediately resend requests that have no answer.
        CPPUNIT_ASSERT_EQUAL(flowDrainedCode, caller.endCode);
        CPPUNIT_ASSERT_EQUAL(1, m_backend->executions);
    }

    // Guards against a drain that waits for the acknowledgements of an unresponsive caller until the idle timeout of 60 s.
    void drainDoesNotWaitForUnresponsiveCallers()
    {
        TestCaller caller = makeCaller({m_balancers[0]->entry});
        runUntil(caller, [&caller] {
            return caller.isEstablished();
        });
        caller.request(1, "bid", incarnation.value);
        runUntil(
            caller,
            [this] {
                return !m_backend->pending.empty();
            },
            false);
        for (const auto &balancer : m_balancers) {
            balancer->path->stop();
        }
        m_agent->beginDrain();
        m_backend->answerAll(*m_agent);
        while (!m_agent->isIdle()) {
            m_context->run_one_for(std::chrono::milliseconds(1));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_agent->flowCount());
    }

    // Guards against callers that wait for their time-out after an agent has restarted, also if the flow keys were rotated meanwhile.
    void restartedAgentResetsFlowsOfItsEarlierRun()
    {
        TestCaller caller = makeCaller({m_balancers[0]->entry});
        expectEcho(caller, 1, "before");
        const HostAddress address = m_agent->address();
        m_agent->stop();
        const auto stoppedAgent = std::exchange(m_agent, startAgent(address, Incarnation{78}, keysUpTo(1)));
        m_balancers[0]->path->apply({tableWith(keysUpTo(1), 5), {{service, m_balancers[0]->entry}}});
        caller.request(2, "after", incarnation.value);
        const TimePoint deadline = m_clock.now() + std::chrono::seconds(5);
        runUntil(caller, [&] {
            return caller.isEnded || m_clock.now() > deadline;
        });
        CPPUNIT_ASSERT(caller.isEnded);
        CPPUNIT_ASSERT_EQUAL(1, m_backend->executions);
    }

    // Guards against an identifier of a stranger that is taken for a resume identifier because it has the same length.
    void strangerOpensNoFlowAtADrainingAgent()
    {
        m_agent->beginDrain();
        const FlowIdBytes forged{1, 2, 3};
        TestCaller caller = makeCaller({m_balancers[0]->entry}, forged);
        runUntil(caller, [this] {
            return m_balancers[0]->staleRevision > 0 || m_agent->flowCount() > 0;
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_agent->flowCount());
    }

private:
    static constexpr Incarnation incarnation{77};

    std::unique_ptr<AgentPath> startAgent(const HostAddress &address, Incarnation agentIncarnation, const FlowKeySet &keys)
    {
        AgentPathOptions options;
        options.service = service;
        options.serviceName = serviceName;
        options.incarnation = agentIncarnation;
        options.drainStallTimeout = std::chrono::milliseconds(200);
        options.broker.admission.slots = 1;
        auto relaySocket = bindUdpSocket(*m_context, address);
        CPPUNIT_ASSERT(relaySocket);
        return AgentPath::create(
            *m_context, m_clock, options, std::move(*relaySocket), m_agentCredentials, configWith(keys, 5), *m_backend, [](const RequestReport &) {}, 11);
    }

    std::shared_ptr<ForwardingTable> tableWith(const FlowKeySet &keys, std::uint64_t revision) const
    {
        auto table = std::make_shared<ForwardingTable>();
        table->keys = keys;
        if (revision > 0) {
            PlacementServer server;
            server.address = m_agent->address();
            server.incarnation = incarnation;
            table->services.emplace(service, ServicePlacement{revision, std::make_shared<PlacementTable>(std::vector{server})});
        }
        return table;
    }

    /// Adds a balancer. With a revision of 0 it has just started and has no configured service.
    void addBalancer(std::uint64_t revision)
    {
        auto balancer = std::make_unique<TestBalancer>();
        TestBalancer *raw = balancer.get();
        auto path = BalancerPath::create(*m_context, {loopback, 0}, [raw](ServiceId, std::uint64_t staleRevision) {
            raw->staleRevision = staleRevision;
        });
        CPPUNIT_ASSERT(path);
        balancer->path = std::move(*path);
        auto portReservation = bindUdpSocket(*m_context, {loopback, 0});
        CPPUNIT_ASSERT(portReservation);
        balancer->entry = localAddress(*portReservation);
        portReservation->close();
        CPPUNIT_ASSERT(balancer->path->apply({tableWith(keysUpTo(0), revision), {{service, balancer->entry}}}).empty());
        m_balancers.push_back(std::move(balancer));
    }

    TestCaller makeCaller(std::vector<HostAddress> entries, std::span<const std::uint8_t> destination = {})
    {
        return TestCaller(*m_context, m_callerCredentials, destination, std::move(entries));
    }

    template<class Condition>
    void runUntil(TestCaller &caller, Condition condition, bool answersRequests = true)
    {
        while (!condition()) {
            caller.step();
            m_context->run_one_for(std::chrono::milliseconds(1));
            if (answersRequests) {
                m_backend->answerAll(*m_agent);
            }
        }
    }

    /// Result of the request on the stream; Timeout while the trailer of the answer is missing.
    ResultCode resultOn(TestCaller &caller, StreamNumber stream)
    {
        for (const pb::AgentMessage &message : caller.messages(stream)) {
            if (message.has_trailer()) {
                m_results[stream] = static_cast<ResultCode>(message.trailer().result());
            }
        }
        const auto found = m_results.find(stream);
        return found == m_results.end() ? ResultCode::Timeout : found->second;
    }

    void expectEcho(TestCaller &caller, std::uint64_t sequence, const std::string &body)
    {
        runUntil(caller, [&caller] {
            return caller.isEstablished();
        });
        const StreamNumber stream = caller.request(sequence, body, incarnation.value);
        std::string received;
        bool isComplete = false;
        runUntil(caller, [&] {
            for (const pb::AgentMessage &message : caller.messages(stream)) {
                received += message.body().data();
                isComplete = isComplete || message.has_trailer();
            }
            return isComplete;
        });
        CPPUNIT_ASSERT_EQUAL(body, received);
    }

    SteadyClock m_clock;
    std::unique_ptr<asio::io_context> m_context;
    std::unique_ptr<EchoBackend> m_backend;
    std::unique_ptr<AgentPath> m_agent;
    std::vector<std::unique_ptr<TestBalancer>> m_balancers;
    std::shared_ptr<const TlsCredentials> m_callerCredentials;
    std::shared_ptr<const TlsCredentials> m_agentCredentials;
    std::map<StreamNumber, ResultCode> m_results;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentPathTest);
