#pragma once

#include <jujubequay/net/message_stream.h>

#include <openssl/ssl.h>

namespace Jujubequay {

/// Name and role from the verified certificate of the peer; both empty if the certificate lacks either.
PeerIdentity peerIdentity(const SSL *tls);

/// True if the handshake has agreed on HTTP/2.
bool hasNegotiatedHttp2(const SSL *tls);

}
