#include "tls_session.h"

#include <ngtcp2/ngtcp2_crypto_gnutls.h>

namespace Jujubequay {

namespace {

// RFC 9001, 4.2: TLS 1.3 or later; 8.4: no compatibility mode.
constexpr const char *priority = "NORMAL:-VERS-ALL:+VERS-TLS1.3:-CIPHER-ALL:+AES-128-GCM:+AES-256-GCM:+CHACHA20-POLY1305:"
                                 "-GROUP-ALL:+GROUP-X25519:+GROUP-SECP256R1:%DISABLE_TLS13_COMPAT_MODE";

/// ALPN protocol name of the project's protocol over QUIC.
unsigned char protocolName[] = {'j', 'j', 'q', '/', '1'};

/// Returns the parsed priority string. It is parsed once, because this takes longer than the rest of the setup of a session.
gnutls_priority_t sharedPriority()
{
    static const gnutls_priority_t parsed = [] {
        gnutls_priority_t cache = nullptr;
        gnutls_priority_init2(&cache, priority, nullptr, 0);
        return cache;
    }();
    return parsed;
}

bool configure(gnutls_session_t session, const TlsCredentials &credentials, ngtcp2_crypto_conn_ref &reference)
{
    const gnutls_datum_t protocol{protocolName, sizeof(protocolName)};
    gnutls_session_set_ptr(session, &reference);
    return gnutls_priority_set(session, sharedPriority()) == 0 && gnutls_credentials_set(session, GNUTLS_CRD_CERTIFICATE, credentials.native()) == 0
        && gnutls_alpn_set_protocols(session, &protocol, 1, GNUTLS_ALPN_MANDATORY) == 0;
}

}

TlsSessionPointer makeServerSession(const TlsCredentials &credentials, ngtcp2_crypto_conn_ref &reference)
{
    gnutls_session_t session = nullptr;
    if (gnutls_init(&session, GNUTLS_SERVER | GNUTLS_NO_TICKETS | GNUTLS_NO_AUTO_SEND_TICKET | GNUTLS_NO_END_OF_EARLY_DATA) != 0) {
        return nullptr;
    }
    TlsSessionPointer ownedSession(session);
    const bool isConfigured = configure(session, credentials, reference) && ngtcp2_crypto_gnutls_configure_server_session(session) == 0;
    return isConfigured ? std::move(ownedSession) : nullptr;
}

TlsSessionPointer makeClientSession(const TlsCredentials &credentials, const std::string &serviceName, ngtcp2_crypto_conn_ref &reference)
{
    gnutls_session_t session = nullptr;
    if (gnutls_init(&session, GNUTLS_CLIENT | GNUTLS_NO_TICKETS | GNUTLS_NO_END_OF_EARLY_DATA) != 0) {
        return nullptr;
    }
    TlsSessionPointer ownedSession(session);
    const bool isConfigured = configure(session, credentials, reference) && ngtcp2_crypto_gnutls_configure_client_session(session) == 0
        && gnutls_server_name_set(session, GNUTLS_NAME_DNS, serviceName.data(), serviceName.size()) == 0;
    if (!isConfigured) {
        return nullptr;
    }
    gnutls_session_set_verify_cert(session, serviceName.c_str(), 0);
    return ownedSession;
}

}
