#pragma once

#include <jujubequay/quic/tls_credentials.h>

#include <gnutls/gnutls.h>
#include <ngtcp2/ngtcp2_crypto.h>

#include <memory>
#include <string>

namespace Jujubequay {

struct TlsSessionDeleter {
    void operator()(gnutls_session_t session) const
    {
        gnutls_deinit(session);
    }
};

using TlsSessionPointer = std::unique_ptr<gnutls_session_int, TlsSessionDeleter>;

/// TLS 1.3 only, without session tickets, so that no 0-RTT data is possible. Null if GnuTLS is out of memory.
/// `reference` outlives the session.
TlsSessionPointer makeServerSession(const TlsCredentials &credentials, ngtcp2_crypto_conn_ref &reference);
/// Verifies the server's certificate against the credentials and the service name, which outlives the session.
TlsSessionPointer makeClientSession(const TlsCredentials &credentials, const std::string &serviceName, ngtcp2_crypto_conn_ref &reference);

}
