#pragma once

#include <jujubequay/net/message_stream.h>

#include <openssl/ssl.h>

#include <string_view>

namespace Jujubequay {

/// Request headers by which a peer names itself on streams without TLS.
constexpr std::string_view plaintextNameHeader = "jujubequay-peer-name";
constexpr std::string_view plaintextRoleHeader = "jujubequay-peer-role";

/// Name and role from the verified certificate of the peer; both empty if the certificate lacks either.
PeerIdentity peerIdentity(const SSL *tls);

/// True if the handshake has agreed on HTTP/2.
bool hasNegotiatedHttp2(const SSL *tls);

}
