// Feeds arbitrary datagrams, and damaged copies of an Initial packet, to a QUIC server and a QUIC client.

#include <jujubequay/quic/quic_client.h>
#include <jujubequay/quic/quic_server.h>

#include <memory>

using namespace Jujubequay;

namespace {

/// A server and a client that receive only datagrams from the fuzzer. The datagrams that they send are dropped.
class FuzzedEndpoints final
    : public QuicServerSink
    , public QuicClientSink
{
public:
    FuzzedEndpoints()
        : m_random(1)
    {
        const SelfSignedCertificate certificate = makeSelfSignedCertificate("fuzz").value();
        m_keys.set(1, FlowSecret{1});
        QuicServerOptions options;
        options.maxFlows = 16;
        m_server = std::make_unique<QuicServer>(
            options,
            TlsCredentials::server(certificate.certificatePem, certificate.keyPem).value(),
            [this] {
                return encodeFlowId(m_keys, 1, {}, ++m_nonce);
            },
            *this,
            m_random);
        m_client = std::make_unique<QuicClient>(QuicClientOptions{.serviceName = "fuzz"},
                                                TlsCredentials::client(certificate.certificatePem).value(),
                                                std::span<const std::uint8_t>{},
                                                *this,
                                                m_random,
                                                m_now);
        m_client->flush(m_now);
    }

    void receive(std::span<const std::uint8_t> datagram)
    {
        m_now += std::chrono::milliseconds(50);
        // A damaged copy of the client's first datagram passes the checks of length and version.
        Bytes damaged = m_firstClientDatagram;
        for (std::size_t index = 0; index + 1 < datagram.size() && !damaged.empty(); index += 2) {
            damaged[datagram[index] % damaged.size()] ^= datagram[index + 1];
        }
        m_server->receive(m_now, {0x7f000001U, 1}, datagram);
        m_server->receive(m_now, {0x7f000001U, 2}, damaged);
        m_server->handleTimeout(m_now);
        m_server->takeEvents();
        m_client->receive(m_now, datagram);
        m_client->handleTimeout(m_now);
        m_client->takeEvents();
        clientConnectionIdPrefix(datagram);
    }

    void sendDatagram(FlowHandle, const HostAddress &, std::span<const std::uint8_t>) override { }
    void sendDatagram(std::span<const std::uint8_t> datagram) override
    {
        if (m_firstClientDatagram.empty()) {
            m_firstClientDatagram.assign(datagram.begin(), datagram.end());
        }
    }

private:
    std::mt19937_64 m_random;
    FlowKeySet m_keys;
    std::uint32_t m_nonce = 0;
    TimePoint m_now{std::chrono::seconds(1)};
    Bytes m_firstClientDatagram;
    std::unique_ptr<QuicServer> m_server;
    std::unique_ptr<QuicClient> m_client;
};

}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static FuzzedEndpoints endpoints;
    endpoints.receive({data, size});
    return 0;
}
