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

/// Creates a server session with TLS 1.3 only and without session tickets, so that 0-RTT is impossible. Null if GnuTLS fails, for example for lack of
/// memory. `reference` must outlive the session.
TlsSessionPointer makeServerSession(const TlsCredentials &credentials, ngtcp2_crypto_conn_ref &reference);
/// Creates a client session in the same way. It verifies the server's certificate against the credentials and the service name. `serviceName` and
/// `reference` must outlive the session.
TlsSessionPointer makeClientSession(const TlsCredentials &credentials, const std::string &serviceName, ngtcp2_crypto_conn_ref &reference);

}
