#include <jujubequay/core/invariant.h>
#include <jujubequay/quic/quic_client.h>
#include <jujubequay/quic/quic_server.h>

#include <fmt/format.h>

#include <malloc.h>
#include <time.h>

#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace Jujubequay;

namespace {

double threadProcessorSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

/// Runs handshakes between one server and many clients over in-memory queues. Measures only the processor time of the server.
class HandshakeRun final : public QuicServerSink
{
public:
    explicit HandshakeRun(const SelfSignedCertificate &certificate)
        : m_random(1)
        , m_clientCredentials(TlsCredentials::client(certificate.certificatePem).value())
    {
        m_keys.set(1, FlowSecret{1});
        m_keys.activate(1);
        m_server = std::make_unique<QuicServer>(
            QuicServerOptions{.maxFlows = 100'000},
            TlsCredentials::server(certificate.certificatePem, certificate.keyPem).value(),
            [this] {
                return encodeFlowId(m_keys, 1, FlowTarget{ServiceId{1}, HostAddress{0x7f000001U, 9000}, Incarnation{1}}, ++m_nonce);
            },
            *this,
            m_random);
    }

    /// Connects one more client and runs its handshake to completion.
    void connect(std::uint32_t caller)
    {
        Caller &endpoint = m_callers[caller];
        endpoint.sink = std::make_unique<ClientSink>(endpoint.toServer);
        endpoint.client = std::make_unique<QuicClient>(QuicClientOptions{.serviceName = "slotboard", .connectionIdPrefix = caller},
                                                       m_clientCredentials,
                                                       std::span<const std::uint8_t>{},
                                                       *endpoint.sink,
                                                       m_random,
                                                       m_now);
        endpoint.client->flush(m_now);
        const std::size_t establishedBefore = m_establishedFlows;
        while (m_establishedFlows == establishedBefore) {
            serve(caller, endpoint);
            for (; !endpoint.toClient.empty(); endpoint.toClient.pop_front()) {
                endpoint.client->receive(m_now, endpoint.toClient.front());
            }
            endpoint.client->flush(m_now);
            m_now += std::chrono::microseconds(200);
            endpoint.client->handleTimeout(m_now);
            checkInvariant(!endpoint.client->isEnded(), "a handshake without packet loss succeeds");
        }
    }

    /// Deletes the clients without closing their connections, so that the server keeps them.
    void deleteClients()
    {
        m_callers.clear();
    }

    void sendDatagram(FlowHandle, const HostAddress &caller, std::span<const std::uint8_t> datagram) override
    {
        if (const auto found = m_callers.find(caller.ip); found != m_callers.end()) {
            found->second.toClient.emplace_back(datagram.begin(), datagram.end());
        }
    }

    double serverSeconds() const
    {
        return m_serverSeconds;
    }

    const QuicServer &server() const
    {
        return *m_server;
    }

private:
    using Queue = std::deque<Bytes>;

    class ClientSink final : public QuicClientSink
    {
    public:
        explicit ClientSink(Queue &queue)
            : m_queue(queue)
        {
        }

        void sendDatagram(std::span<const std::uint8_t> datagram) override
        {
            m_queue.emplace_back(datagram.begin(), datagram.end());
        }

    private:
        Queue &m_queue;
    };

    struct Caller {
        Queue toServer;
        Queue toClient;
        std::unique_ptr<ClientSink> sink;
        std::unique_ptr<QuicClient> client;
    };

    /// Passes the queued datagrams of a caller to the server and adds the processor time that this takes.
    void serve(std::uint32_t caller, Caller &endpoint)
    {
        const double start = threadProcessorSeconds();
        for (; !endpoint.toServer.empty(); endpoint.toServer.pop_front()) {
            m_server->receive(m_now, HostAddress{caller, 1}, endpoint.toServer.front());
        }
        m_server->flush(m_now);
        m_server->handleTimeout(m_now);
        m_serverSeconds += threadProcessorSeconds() - start;
        for (const QuicEvent &event : m_server->takeEvents()) {
            m_establishedFlows += std::holds_alternative<FlowEstablished>(event) ? 1 : 0;
        }
    }

    std::mt19937_64 m_random;
    const std::shared_ptr<const TlsCredentials> m_clientCredentials;
    FlowKeySet m_keys;
    std::uint32_t m_nonce = 0;
    std::unique_ptr<QuicServer> m_server;
    std::map<std::uint32_t, Caller> m_callers;
    TimePoint m_now{std::chrono::seconds(1)};
    double m_serverSeconds = 0;
    std::size_t m_establishedFlows = 0;
};

void measure(const SelfSignedCertificate &certificate, std::uint32_t connections)
{
    malloc_trim(0);
    const std::size_t bytesBefore = mallinfo2().uordblks;
    HandshakeRun run(certificate);
    for (std::uint32_t caller = 1; caller <= connections; ++caller) {
        run.connect(caller);
    }
    run.deleteClients();
    const std::size_t connectionBytes = mallinfo2().uordblks - bytesBefore;
    checkInvariant(run.server().flowCount() == connections, "the server keeps all connections open");
    fmt::print("connections={} handshakes_per_second={:.0f} heap_bytes_per_connection={} ngtcp2_bytes_per_connection={}\n",
               connections,
               connections / run.serverSeconds(),
               connectionBytes / connections,
               run.server().memoryBytes() / connections);
}

}

/// Usage: quic-bench [CONNECTIONS...]. Measures the handshakes and the memory of each number of connections.
int main(int argc, char **argv)
{
    const SelfSignedCertificate certificate = makeSelfSignedCertificate("slotboard").value();
    HandshakeRun(certificate).connect(1); // the first use makes the libraries allocate memory that they keep for the whole process
    for (int index = 1; index < argc; ++index) {
        measure(certificate, static_cast<std::uint32_t>(std::stoul(argv[index])));
    }
    return EXIT_SUCCESS;
}
