#include <jujubequay/datapath/balancer_path.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

using namespace Jujubequay;

namespace {

constexpr ServiceId service{1};
constexpr std::uint32_t loopback = 0x7F000001;

FlowKeySet sharedKeys()
{
    FlowSecret secret;
    secret.fill(5);
    FlowKeySet keys;
    keys.set(0, secret);
    keys.activate(0);
    return keys;
}

asio::ip::udp::socket boundSocket(asio::io_context &context)
{
    auto socket = bindUdpSocket(context, {loopback, 0});
    CPPUNIT_ASSERT(socket);
    return std::move(*socket);
}

void sendTo(asio::ip::udp::socket &socket, const HostAddress &address, const std::vector<std::uint8_t> &bytes)
{
    socket.send_to(asio::buffer(bytes), {asio::ip::address_v4(address.ip), address.port});
}

}

/// Runs a BalancerPath between the sockets of a caller and an agent, on loopback addresses.
class BalancerPathTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BalancerPathTest);
    CPPUNIT_TEST(relaysInBothDirections);
    CPPUNIT_TEST(forgedReplyIsDropped);
    CPPUNIT_TEST(staleRefusalIsReported);
    CPPUNIT_TEST_SUITE_END();

public:
    BalancerPathTest()
        : m_caller(boundSocket(m_context))
        , m_agent(boundSocket(m_context))
    {
    }

    void setUp() override
    {
        auto path = BalancerPath::create(m_context, {loopback, 0}, [this](ServiceId, std::uint64_t revision) {
            m_staleRevision = revision;
        });
        CPPUNIT_ASSERT(path);
        m_path = std::move(*path);
        auto table = std::make_shared<ForwardingTable>();
        table->keys = sharedKeys();
        auto probe = bindUdpSocket(m_context, {loopback, 0});
        CPPUNIT_ASSERT(probe);
        m_entry = localAddress(*probe);
        probe->close();
        CPPUNIT_ASSERT(m_path->apply({table, {{service, m_entry}}}).empty());
    }

    void tearDown() override
    {
        m_path.reset();
    }

    // Guards against replies that are sent from an address other than the one that the caller used, and against changed payloads.
    void relaysInBothDirections()
    {
        const FlowIdBytes identifier = encodeFlowId(sharedKeys(), 0, {service, localAddress(m_agent), Incarnation{9}}, 1);
        std::vector<std::uint8_t> packet(100, 7);
        packet[0] = 0x40;
        std::copy(identifier.begin(), identifier.end(), packet.begin() + 1);
        sendTo(m_caller, m_entry, packet);

        const std::vector<std::uint8_t> relayed = receiveAt(m_agent);
        RelayError error{};
        const auto relay = decodeRelay(sharedKeys(), relayed, error);
        CPPUNIT_ASSERT(relay);
        CPPUNIT_ASSERT(std::equal(packet.begin(), packet.end(), relay->payload.begin(), relay->payload.end()));
        CPPUNIT_ASSERT(relay->header.caller == localAddress(m_caller));
        CPPUNIT_ASSERT(relay->header.incarnation == Incarnation{9});

        RelayHeader reply = relay->header;
        reply.kind = RelayKind::Reply;
        const std::vector<std::uint8_t> answer{1, 2, 3};
        sendTo(m_agent, relay->header.balancer, encoded(sharedKeys(), reply, answer));
        CPPUNIT_ASSERT(receiveAt(m_caller) == answer);
    }

    // Guards against a sender without the flow key that makes a balancer send datagrams to callers.
    void forgedReplyIsDropped()
    {
        FlowSecret other;
        other.fill(6);
        FlowKeySet forgedKeys;
        forgedKeys.set(0, other);
        forgedKeys.activate(0);
        sendTo(m_agent, m_path->relayAddress(), encoded(forgedKeys, replyHeader(RelayKind::Reply), {1}));
        const auto &counter = m_path->counters().badReplies[static_cast<std::size_t>(RelayError::BadTag)];
        runUntil([&counter] {
            return counter.load() == 1;
        });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_path->counters().replied.load());
    }

    void staleRefusalIsReported()
    {
        RelayHeader refusal = replyHeader(RelayKind::StaleConfig);
        refusal.revision = 12;
        sendTo(m_agent, m_path->relayAddress(), encoded(sharedKeys(), refusal, {}));
        runUntil([this] {
            return m_staleRevision == 12;
        });
    }

private:
    RelayHeader replyHeader(RelayKind kind) const
    {
        RelayHeader header;
        header.kind = kind;
        header.service = service;
        header.caller = localAddress(m_caller);
        header.entry = m_entry;
        return header;
    }

    static std::vector<std::uint8_t> encoded(const FlowKeySet &keys, const RelayHeader &header, const std::vector<std::uint8_t> &payload)
    {
        std::vector<std::uint8_t> datagram(relayHeaderLength + payload.size());
        encodeRelayHeader(keys, header, payload, datagram);
        std::copy(payload.begin(), payload.end(), datagram.begin() + relayHeaderLength);
        return datagram;
    }

    template<class Condition>
    void runUntil(Condition condition)
    {
        while (!condition()) {
            m_context.run_one();
        }
    }

    std::vector<std::uint8_t> receiveAt(asio::ip::udp::socket &socket)
    {
        std::vector<std::uint8_t> bytes;
        bool received = false;
        socket.async_wait(asio::ip::udp::socket::wait_read, [&](const asio::error_code &) {
            bytes.resize(maxDatagramLength);
            bytes.resize(socket.receive(asio::buffer(bytes)));
            received = true;
        });
        runUntil([&received] {
            return received;
        });
        return bytes;
    }

    asio::io_context m_context;
    asio::ip::udp::socket m_caller;
    asio::ip::udp::socket m_agent;
    HostAddress m_entry;
    std::unique_ptr<BalancerPath> m_path;
    std::uint64_t m_staleRevision = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BalancerPathTest);
