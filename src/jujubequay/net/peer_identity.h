#pragma once

#include <jujubequay/net/message_stream.h>

#include <openssl/ssl.h>

#include <string_view>

namespace Jujubequay {

/// Request headers in which a peer sends its identity on streams without TLS.
constexpr std::string_view plaintextNameHeader = "jujubequay-peer-name";
constexpr std::string_view plaintextRoleHeader = "jujubequay-peer-role";

/// Name and role from the verified certificate of the peer. Both are empty if the certificate is missing, not verified, or lacks either.
PeerIdentity peerIdentity(const SSL *tls);

/// True if the TLS handshake negotiated HTTP/2 with ALPN.
bool hasNegotiatedHttp2(const SSL *tls);

}
