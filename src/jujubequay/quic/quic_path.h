#pragma once

#include <jujubequay/core/identifiers.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <ngtcp2/ngtcp2.h>

namespace Jujubequay {

/// Path for ngtcp2: the loopback address with a placeholder port as the local address, and the address of the peer.
class QuicPath
{
public:
    QuicPath(std::uint16_t localPort, const HostAddress &remote)
        : m_local(socketAddress({INADDR_LOOPBACK, localPort}))
        , m_remoteAddress(socketAddress(remote))
    {
        m_path.local = {reinterpret_cast<sockaddr *>(&m_local), sizeof(m_local)};
        m_path.remote = {reinterpret_cast<sockaddr *>(&m_remoteAddress), sizeof(m_remoteAddress)};
    }
    QuicPath(const QuicPath &) = delete;
    QuicPath &operator=(const QuicPath &) = delete;

    const ngtcp2_path *native() const
    {
        return &m_path;
    }

private:
    static sockaddr_in socketAddress(const HostAddress &address)
    {
        sockaddr_in native{};
        native.sin_family = AF_INET;
        native.sin_port = htons(address.port);
        native.sin_addr.s_addr = htonl(address.ip);
        return native;
    }

    sockaddr_in m_local;
    sockaddr_in m_remoteAddress;
    ngtcp2_path m_path{};
};

inline HostAddress remoteOf(const ngtcp2_path &path)
{
    const auto *native = reinterpret_cast<const sockaddr_in *>(path.remote.addr);
    return {ntohl(native->sin_addr.s_addr), ntohs(native->sin_port)};
}

}
