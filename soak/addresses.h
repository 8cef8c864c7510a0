#pragma once

#include <jujubequay/core/identifiers.h>

#include <cstdint>
#include <string>

namespace Jujubequay::Soak {

/// Addresses of a deployment on loopback: 127.NETWORK.ROLE.NUMBER. Deployments with different network numbers share no address.
struct Addresses {
    std::uint8_t network = 77;

    /// Address at which other hosts connect to a control host; the TCP proxy in front of it listens there.
    HostAddress controlPeer(std::uint8_t number) const
    {
        return address(1, number, 7720);
    }
    /// Address on which the control host itself listens.
    HostAddress controlListen(std::uint8_t number) const
    {
        return address(2, number, 7720);
    }
    HostAddress controlOperator(std::uint8_t number) const
    {
        return address(1, number, 8166);
    }
    HostAddress balancerCaller(std::uint8_t number) const
    {
        return address(3, number, callerPort);
    }
    HostAddress balancerPeer(std::uint8_t number) const
    {
        return address(3, number, 7720);
    }
    HostAddress balancerReady(std::uint8_t number) const
    {
        return address(3, number, 8167);
    }
    HostAddress agentRelay(std::uint8_t number) const
    {
        return address(4, number, callerPort);
    }
    HostAddress agentServerOutput(std::uint8_t number) const
    {
        return address(4, number, 8173);
    }
    HostAddress agentReady(std::uint8_t number) const
    {
        return address(4, number, 8167);
    }
    HostAddress agentAnnounce(std::uint8_t number) const
    {
        return address(4, number, 8168);
    }
    HostAddress server(std::uint8_t number) const
    {
        return address(4, number, 8080);
    }
    HostAddress caller(std::uint8_t number) const
    {
        return address(5, number, callerPort);
    }
    /// Service address of a route. Only packets carry it; no socket is bound to it.
    HostAddress route(std::uint16_t port) const
    {
        return address(6, 1, port);
    }

    static constexpr std::uint16_t callerPort = 8172;

private:
    HostAddress address(std::uint8_t role, std::uint8_t number, std::uint16_t port) const
    {
        return {(127U << 24U) | (std::uint32_t{network} << 16U) | (std::uint32_t{role} << 8U) | number, port};
    }
};

/// Service of the backend server with this number.
inline std::string serviceOfServer(std::uint8_t number)
{
    return number % 3 == 0 ? "vault" : "desk";
}

}
