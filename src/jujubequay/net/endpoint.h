#pragma once

#include <jujubequay/core/identifiers.h>

#include <asio/ip/tcp.hpp>

namespace Jujubequay {

inline asio::ip::tcp::endpoint tcpEndpoint(const HostAddress &address)
{
    return {asio::ip::address_v4(address.ip), address.port};
}

inline HostAddress hostAddress(const asio::ip::tcp::endpoint &endpoint)
{
    return {endpoint.address().to_v4().to_uint(), endpoint.port()};
}

/// Opens the acceptor, binds it to the address and listens. Returns the error of the first step that failed.
inline asio::error_code listenOn(asio::ip::tcp::acceptor &acceptor, const HostAddress &address)
{
    asio::error_code error;
    const auto endpoint = tcpEndpoint(address);
    acceptor.open(endpoint.protocol(), error);
    if (!error) {
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    return error;
}

}
