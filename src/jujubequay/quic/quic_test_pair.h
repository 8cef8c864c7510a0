#pragma once

#include "lossy_link.h"

#include <jujubequay/quic/quic_client.h>
#include <jujubequay/quic/quic_server.h>

#include <map>
#include <memory>
#include <vector>

namespace Jujubequay {

inline const SelfSignedCertificate &testCertificate()
{
    static const SelfSignedCertificate certificate = makeSelfSignedCertificate("slotboard").value();
    return certificate;
}

/// A server and clients joined by lossy links, for tests. Time moves from one event to the next.
class QuicTestPair final : public QuicServerSink
{
public:
    class ClientEnd final : public QuicClientSink
    {
    public:
        ClientEnd(QuicTestPair &pair, HostAddress caller, std::span<const std::uint8_t> destination, QuicClientOptions options)
            : address(caller)
            , up(pair.m_link, pair.m_random)
            , down(pair.m_link, pair.m_random)
            , client(std::move(options), pair.m_clientCredentials, destination, *this, pair.m_random, pair.now)
            , m_pair(pair)
        {
        }

        void sendDatagram(std::span<const std::uint8_t> datagram) override
        {
            up.send(m_pair.now, datagram);
        }

        HostAddress address; ///< changes to model a new address of the caller
        LossyLink up;
        LossyLink down;
        QuicClient client;

    private:
        QuicTestPair &m_pair;
    };

    explicit QuicTestPair(std::uint64_t seed, LossyLink::Options link = {}, QuicServerOptions options = {})
        : m_random(seed)
        , m_link(link)
        , m_serverOptions(options)
        , m_serverCredentials(TlsCredentials::server(testCertificate().certificatePem, testCertificate().keyPem).value())
        , m_clientCredentials(TlsCredentials::client(testCertificate().certificatePem).value())
    {
        for (std::uint8_t number = 0; number < flowKeyCount; ++number) {
            keys.set(number, FlowSecret{number});
        }
        keys.activate(1);
        startServer();
    }

    /// A new server that knows nothing of the connections of the old one.
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

    ClientEnd &addClient(std::span<const std::uint8_t> destination = {}, QuicClientOptions options = {.serviceName = "slotboard"})
    {
        const HostAddress caller{0x7f000002U, static_cast<std::uint16_t>(1000 + clients.size())};
        clients.push_back(std::make_unique<ClientEnd>(*this, caller, destination, std::move(options)));
        clients.back()->client.flush(now);
        return *clients.back();
    }

    void sendDatagram(FlowHandle, const HostAddress &caller, std::span<const std::uint8_t> datagram) override
    {
        for (const auto &end : clients) {
            if (end->address == caller) {
                end->down.send(now, datagram);
            }
        }
    }

    /// Moves to the next event and handles it. False when nothing is due before `limit`; time then stands there.
    bool step(TimePoint limit)
    {
        TimePoint next = server->nextTimeout().value_or(TimePoint::max());
        for (const auto &end : clients) {
            next = std::min({next,
                             end->up.nextArrival().value_or(TimePoint::max()),
                             end->down.nextArrival().value_or(TimePoint::max()),
                             end->client.nextTimeout().value_or(TimePoint::max())});
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
        for (const auto &end : clients) {
            if (end->client.nextTimeout().value_or(TimePoint::max()) <= now) {
                end->client.handleTimeout(now);
            }
        }
        return true;
    }

    void flush()
    {
        server->flush(now);
        for (const auto &end : clients) {
            end->client.flush(now);
        }
    }

    TimePoint now{std::chrono::seconds(1)};
    FlowKeySet keys;
    FlowTarget target{ServiceId{3}, HostAddress{0x7f000001U, 9000}, Incarnation{7}};
    std::unique_ptr<QuicServer> server;
    std::vector<std::unique_ptr<ClientEnd>> clients;

private:
    void handleArrivals()
    {
        for (const auto &end : clients) {
            while (const auto datagram = end->up.receive(now)) {
                server->receive(now, end->address, *datagram);
            }
            while (const auto datagram = end->down.receive(now)) {
                end->client.receive(now, *datagram);
            }
        }
        flush();
    }

    std::mt19937_64 m_random;
    const LossyLink::Options m_link;
    const QuicServerOptions m_serverOptions;
    const std::shared_ptr<const TlsCredentials> m_serverCredentials;
    const std::shared_ptr<const TlsCredentials> m_clientCredentials;
    std::uint32_t m_nonce = 0;
};

}
