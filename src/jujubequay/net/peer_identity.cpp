#include "jujubequay/net/peer_identity.h"

#include <openssl/x509.h>

#include <memory>
#include <string_view>

namespace Jujubequay {

namespace {

struct CertificateDeleter {
    void operator()(X509 *certificate) const
    {
        X509_free(certificate);
    }
};

/// Value of the only subject entry of that type. Empty if there is none or more than one, or if the value contains control characters.
std::string subjectEntry(X509 *certificate, int entryType)
{
    const X509_NAME *subject = X509_get_subject_name(certificate);
    const int index = X509_NAME_get_index_by_NID(subject, entryType, -1);
    if (index < 0 || X509_NAME_get_index_by_NID(subject, entryType, index) >= 0) {
        return {};
    }
    unsigned char *text = nullptr;
    const int length = ASN1_STRING_to_UTF8(&text, X509_NAME_ENTRY_get_data(X509_NAME_get_entry(subject, index)));
    if (length <= 0) {
        return {};
    }
    std::string entry(text, text + length);
    OPENSSL_free(text);
    for (const char character : entry) {
        if (static_cast<unsigned char>(character) < ' ') {
            return {};
        }
    }
    return entry;
}

}

PeerIdentity peerIdentity(const SSL *tls)
{
    const std::unique_ptr<X509, CertificateDeleter> certificate(SSL_get1_peer_certificate(tls));
    if (!certificate || SSL_get_verify_result(tls) != X509_V_OK) {
        return {};
    }
    PeerIdentity identity{subjectEntry(certificate.get(), NID_commonName), subjectEntry(certificate.get(), NID_organizationalUnitName)};
    if (identity.name.empty() || identity.role.empty()) {
        return {};
    }
    return identity;
}

bool hasNegotiatedHttp2(const SSL *tls)
{
    const unsigned char *protocol = nullptr;
    unsigned int length = 0;
    SSL_get0_alpn_selected(tls, &protocol, &length);
    return std::string_view(reinterpret_cast<const char *>(protocol), length) == "h2";
}

}
