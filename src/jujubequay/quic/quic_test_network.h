#pragma once

#include "lossy_link.h"

#include <jujubequay/quic/quic_client.h>
#include <jujubequay/quic/quic_server.h>

#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace Jujubequay {

inline const SelfSignedCertificate &testCertificate()
{
    static const SelfSignedCertificate certificate = makeSelfSignedCertificate("slotboard").value();
    return certificate;
}

/// In-memory network for tests that connects one server with any number of clients through lossy links. Simulated time advances from one event to the next.
class QuicTestNetwork final : public QuicServerSink
{
public:
    class ClientEndpoint final : public QuicClientSink
    {
    public:
        ClientEndpoint(QuicTestNetwork &network, HostAddress caller, std::span<const std::uint8_t> destination, QuicClientOptions options)
            : address(caller)
            , toServer(network.m_linkOptions, network.m_random)
            , toClient(network.m_linkOptions, network.m_random)
            , client(std::move(options), network.m_clientCredentials, destination, *this, network.m_random, network.now)
            , m_network(network)
        {
        }

        void sendDatagram(std::span<const std::uint8_t> datagram) override
        {
            toServer.send(m_network.now, datagram);
        }

        HostAddress address; ///< tests change it to simulate a new address of the caller
        LossyLink toServer;
        LossyLink toClient;
        QuicClient client;

    private:
        QuicTestNetwork &m_network;
    };

    explicit QuicTestNetwork(std::uint64_t seed, LossyLink::Options linkOptions = {}, QuicServerOptions options = {})
        : m_random(seed)
        , m_linkOptions(linkOptions)
        , m_serverOptions(std::move(options))
        , m_serverCredentials(TlsCredentials::server(testCertificate().certificatePem, testCertificate().keyPem).value())
        , m_clientCredentials(TlsCredentials::client(testCertificate().certificatePem).value())
    {
        for (std::uint8_t number = 0; number < flowKeyCount; ++number) {
            keys.set(number, FlowSecret{number});
        }
        keys.activate(1);
        startServer();
    }

    /// Replaces the server with a new one that has no state of earlier connections.
    void startServer()
    {
        server = std::make_unique<QuicServer>(
            m_serverOptions,
            m_serverCredentials,
            [this] {
                return encodeFlowId(keys, *keys.activeNumber(), target, ++m_nonce);
            },
            *this,
            m_random);
    }

    ClientEndpoint &addClient(std::span<const std::uint8_t> destination = {}, QuicClientOptions options = {.serviceName = "slotboard"})
    {
        const HostAddress caller{0x7f000002U, static_cast<std::uint16_t>(1000 + clients.size())};
        clients.push_back(std::make_unique<ClientEndpoint>(*this, caller, destination, std::move(options)));
        clients.back()->client.flush(now);
        return *clients.back();
    }

    void sendDatagram(FlowHandle, const HostAddress &caller, std::span<const std::uint8_t> datagram) override
    {
        for (const auto &endpoint : clients) {
            if (endpoint->address == caller) {
                endpoint->toClient.send(now, datagram);
            }
        }
    }

    /// Advances the time to the next event and handles it. If there is none up to `limit`, advances the time to `limit` and returns false.
    bool step(TimePoint limit)
    {
        TimePoint next = server->nextTimeout().value_or(TimePoint::max());
        for (const auto &endpoint : clients) {
            next = std::min({next,
                             endpoint->toServer.nextArrival().value_or(TimePoint::max()),
                             endpoint->toClient.nextArrival().value_or(TimePoint::max()),
                             endpoint->client.nextTimeout().value_or(TimePoint::max())});
        }
        if (next > limit) {
            now = limit;
            return false;
        }
        now = std::max(now, next);
        handleArrivals();
        if (server->nextTimeout().value_or(TimePoint::max()) <= now) {
            server->handleTimeout(now);
        }
        for (const auto &endpoint : clients) {
            if (endpoint->client.nextTimeout().value_or(TimePoint::max()) <= now) {
                endpoint->client.handleTimeout(now);
            }
        }
        return true;
    }

    void flush()
    {
        server->flush(now);
        for (const auto &endpoint : clients) {
            endpoint->client.flush(now);
        }
    }

    TimePoint now{std::chrono::seconds(1)};
    FlowKeySet keys;
    FlowTarget target{ServiceId{3}, HostAddress{0x7f000001U, 9000}, Incarnation{7}};
    std::unique_ptr<QuicServer> server;
    std::vector<std::unique_ptr<ClientEndpoint>> clients;

private:
    void handleArrivals()
    {
        for (const auto &endpoint : clients) {
            while (const auto datagram = endpoint->toServer.receive(now)) {
                server->receive(now, endpoint->address, *datagram);
            }
            while (const auto datagram = endpoint->toClient.receive(now)) {
                endpoint->client.receive(now, *datagram);
            }
        }
        flush();
    }

    std::mt19937_64 m_random;
    const LossyLink::Options m_linkOptions;
    const QuicServerOptions m_serverOptions;
    const std::shared_ptr<const TlsCredentials> m_serverCredentials;
    const std::shared_ptr<const TlsCredentials> m_clientCredentials;
    std::uint32_t m_nonce = 0;
};

}
