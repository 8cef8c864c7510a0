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

double threadSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

/// Handshakes between one server and many clients through queues in memory; only the server's work is timed.
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

    void connect(std::uint32_t caller)
    {
        Caller &end = m_callers[caller];
        end.sink = std::make_unique<ClientSink>(end.toServer);
        end.client = std::make_unique<QuicClient>(QuicClientOptions{.serviceName = "slotboard", .connectionIdPrefix = caller},
                                                  m_clientCredentials,
                                                  std::span<const std::uint8_t>{},
                                                  *end.sink,
                                                  m_random,
                                                  m_now);
        end.client->flush(m_now);
        const std::size_t before = m_established;
        while (m_established == before) {
            serve(caller, end);
            for (; !end.toClient.empty(); end.toClient.pop_front()) {
                end.client->receive(m_now, end.toClient.front());
            }
            end.client->flush(m_now);
            m_now += std::chrono::microseconds(200);
            end.client->handleTimeout(m_now);
            checkInvariant(!end.client->isEnded(), "a handshake without loss succeeds");
        }
    }

    /// Removes the clients without a word to the server.
    void forgetClients()
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

    void serve(std::uint32_t caller, Caller &end)
    {
        const double start = threadSeconds();
        for (; !end.toServer.empty(); end.toServer.pop_front()) {
            m_server->receive(m_now, HostAddress{caller, 1}, end.toServer.front());
        }
        m_server->flush(m_now);
        m_server->handleTimeout(m_now);
        m_serverSeconds += threadSeconds() - start;
        for (const QuicEvent &event : m_server->takeEvents()) {
            m_established += std::holds_alternative<FlowEstablished>(event) ? 1 : 0;
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
    std::size_t m_established = 0;
};

void measure(const SelfSignedCertificate &certificate, std::uint32_t connections)
{
    malloc_trim(0);
    const std::size_t before = mallinfo2().uordblks;
    HandshakeRun run(certificate);
    for (std::uint32_t caller = 1; caller <= connections; ++caller) {
        run.connect(caller);
    }
    run.forgetClients();
    const std::size_t held = mallinfo2().uordblks - before;
    checkInvariant(run.server().flowCount() == connections, "all connections are open");
    fmt::print("connections={} handshakes_per_second={:.0f} heap_bytes_per_connection={} ngtcp2_bytes_per_connection={}\n",
               connections,
               connections / run.serverSeconds(),
               held / connections,
               run.server().memoryBytes() / connections);
}

}

/// Usage: quic-bench [CONNECTIONS...]
int main(int argc, char **argv)
{
    const SelfSignedCertificate certificate = makeSelfSignedCertificate("slotboard").value();
    HandshakeRun(certificate).connect(1); // loads what the libraries keep for the whole process
    for (int index = 1; index < argc; ++index) {
        measure(certificate, static_cast<std::uint32_t>(std::stoul(argv[index])));
    }
    return EXIT_SUCCESS;
}
