#pragma once

#include <jujubequay/control/config_snapshot.h>
#include <jujubequay/steering/segment.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace Jujubequay {

/// Addresses, packets and configurations for the tests of the steering module.
namespace SteeringTest {

inline HostAddress agentAddress(std::uint32_t number)
{
    return {0x0A010000U + number, 8172};
}

inline HostAddress balancerAddress(std::uint32_t number)
{
    return {0x0A020000U + number, 7720};
}

constexpr HostAddress feedAddress{0xC6120001U, 443};
constexpr HostAddress vaultAddress{0xC6120002U, 443};

inline FlowTuple flow(std::uint16_t callerPort, const HostAddress &service = feedAddress)
{
    return {{0x64400007U, callerPort}, service};
}

inline Segment fromCaller(const FlowTuple &tuple)
{
    Segment segment;
    segment.source = tuple.caller;
    segment.destination = tuple.service;
    return segment;
}

inline Segment syn(const FlowTuple &tuple, std::uint32_t retransmissionCount = 0)
{
    Segment segment = fromCaller(tuple);
    segment.isSyn = true;
    segment.retransmissionCount = retransmissionCount;
    return segment;
}

inline Segment data(const FlowTuple &tuple, std::uint32_t acknowledgement, std::uint32_t sequence = 0)
{
    Segment segment = fromCaller(tuple);
    segment.isAck = true;
    segment.sequence = sequence;
    segment.acknowledgement = acknowledgement;
    segment.length = 100;
    return segment;
}

inline Segment fromServer(const FlowTuple &tuple)
{
    Segment segment;
    segment.source = tuple.service;
    segment.destination = tuple.caller;
    segment.isAck = true;
    return segment;
}

inline Segment synAck(const FlowTuple &tuple, std::uint32_t sequence)
{
    Segment segment = fromServer(tuple);
    segment.isSyn = true;
    segment.sequence = sequence;
    return segment;
}

inline Segment rejected(Segment segment)
{
    segment.isRejected = true;
    return segment;
}

/// Names of services whose short keys are equal.
const std::string collidingService = "bigu74s";
const std::string otherCollidingService = "dasi72o";

/// Builds configuration snapshots with the routes "feed" and "vault", which lead to services of the same names. The agent of server
/// `number` has the address agentAddress(number); servers with even numbers are in zone-a, the others in zone-b.
class Snapshots
{
public:
    Snapshots()
    {
        m_table.set_version(1);
        route(feedAddress, "feed");
        route(vaultAddress, "vault");
    }

    Snapshots &server(std::uint32_t number, const std::string &service = "feed", ServerAvailability state = ServerAvailability::Serving)
    {
        ServerSnapshot server;
        server.name = toString(agentAddress(number));
        server.service = service;
        server.relayAddress = agentAddress(number);
        server.incarnation = {100 + number};
        server.state = state;
        server.zone = number % 2 == 0 ? "zone-a" : "zone-b";
        std::erase_if(m_servers, [&server](const ServerSnapshot &existing) {
            return existing.relayAddress == server.relayAddress;
        });
        m_servers.push_back(server);
        return *this;
    }

    Snapshots &incarnation(std::uint32_t number, std::uint32_t incarnation)
    {
        for (ServerSnapshot &server : m_servers) {
            if (server.relayAddress == agentAddress(number)) {
                server.incarnation = {incarnation};
            }
        }
        return *this;
    }

    Snapshots &order(std::uint32_t number, std::uint64_t order)
    {
        for (ServerSnapshot &server : m_servers) {
            if (server.relayAddress == agentAddress(number)) {
                server.order = order;
            }
        }
        return *this;
    }

    Snapshots &agentEpoch(std::uint32_t number, std::uint32_t epoch)
    {
        for (ServerSnapshot &server : m_servers) {
            if (server.relayAddress == agentAddress(number)) {
                server.agentEpoch = epoch;
            }
        }
        return *this;
    }

    /// The agent accepts opening packets with the full key of the service.
    Snapshots &acceptsServiceKeys(std::uint32_t number)
    {
        for (ServerSnapshot &server : m_servers) {
            if (server.relayAddress == agentAddress(number)) {
                server.acceptsServiceKeys = true;
            }
        }
        return *this;
    }

    Snapshots &without(std::uint32_t number)
    {
        std::erase_if(m_servers, [number](const ServerSnapshot &server) {
            return server.relayAddress == agentAddress(number);
        });
        return *this;
    }

    Snapshots &idleTimeout(std::chrono::milliseconds time)
    {
        m_table.set_idle_timeout_ms(static_cast<std::uint32_t>(time.count()));
        return *this;
    }

    /// The server has deregistered itself.
    Snapshots &deregistered(std::uint32_t number)
    {
        m_deregistered.push_back({agentAddress(number), {100 + number}});
        return without(number);
    }

    /// Sets the service of a route, or removes the route if `service` is empty. Increments the version of the table.
    Snapshots &route(const HostAddress &address, const std::string &service)
    {
        m_table.set_version(m_table.version() + 1);
        for (int index = 0; index < m_table.routes_size(); ++index) {
            if (m_table.routes(index).ip() == address.ip) {
                m_table.mutable_routes()->DeleteSubrange(index, 1);
                break;
            }
        }
        if (!service.empty()) {
            jujubequay::pb::Route &route = *m_table.add_routes();
            route.set_name(service);
            route.set_ip(address.ip);
            route.set_port(address.port);
            route.set_timeout_ms(1000);
            route.add_services()->set_service(service);
            route.mutable_services(0)->set_weight(1);
        }
        return *this;
    }

    /// The registry is incomplete, as after a restart of the control hosts.
    Snapshots &incomplete()
    {
        m_isRegistryComplete = false;
        return *this;
    }

    ConfigSnapshot build() const
    {
        ConfigSnapshot snapshot;
        snapshot.routes = std::make_shared<RouteTable>(m_table);
        snapshot.servers = m_servers;
        snapshot.deregisteredServers = m_deregistered;
        snapshot.hasRegistry = true;
        snapshot.isRegistryComplete = m_isRegistryComplete;
        return snapshot;
    }

private:
    jujubequay::pb::RouteTable m_table;
    std::vector<ServerSnapshot> m_servers;
    std::vector<DeregisteredServer> m_deregistered;
    bool m_isRegistryComplete = true;
};

}

}
