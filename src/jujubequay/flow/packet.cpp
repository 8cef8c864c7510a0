#include <jujubequay/flow/packet.h>
#include <jujubequay/wire/flow_id.h>

#include <ngtcp2/ngtcp2.h>

namespace Jujubequay {

std::optional<PacketInvariants> readInvariants(std::span<const std::uint8_t> datagram)
{
    // ngtcp2 asserts that the datagram is not empty.
    if (datagram.empty()) {
        return std::nullopt;
    }
    ngtcp2_version_cid header{};
    const int status = ngtcp2_pkt_decode_version_cid(&header, datagram.data(), datagram.size(), flowIdLength);
    // A packet of an unknown version is accepted, because the agent answers it with version negotiation.
    if (status != 0 && status != NGTCP2_ERR_VERSION_NEGOTIATION) {
        return std::nullopt;
    }
    constexpr std::uint8_t headerFormBit = 0x80;
    return PacketInvariants{(datagram[0] & headerFormBit) != 0, {header.dcid, header.dcidlen}};
}

}
