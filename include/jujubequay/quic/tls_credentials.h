#pragma once

#include <jujubequay/core/error.h>

#include <memory>
#include <string>

struct gnutls_certificate_credentials_st;

namespace Jujubequay {

/// Certificates and keys for the TLS 1.3 handshakes of QUIC. All connections of an endpoint share them.
class TlsCredentials
{
public:
    /// Loads a server's certificate chain and private key from PEM texts. Fails with BadKeyFile.
    static Result<std::shared_ptr<TlsCredentials>> server(const std::string &certificatePem, const std::string &keyPem);
    /// Loads the certificate authorities that a client accepts from a PEM text. Fails with BadKeyFile.
    static Result<std::shared_ptr<TlsCredentials>> client(const std::string &authoritiesPem);

    ~TlsCredentials();
    TlsCredentials(const TlsCredentials &) = delete;
    TlsCredentials &operator=(const TlsCredentials &) = delete;

    gnutls_certificate_credentials_st *native() const;

private:
    explicit TlsCredentials(gnutls_certificate_credentials_st *credentials);

    gnutls_certificate_credentials_st *m_credentials;
};

/// Reads a PEM file. Fails with BadKeyFile if it cannot be opened.
Result<std::string> readPemFile(const std::string &path);

/// A self-signed certificate and its key, for tests and demonstrations.
struct SelfSignedCertificate {
    std::string certificatePem;
    std::string keyPem;
};

/// Creates a self-signed ECDSA P-256 certificate that is valid for 30 days for the service name.
Result<SelfSignedCertificate> makeSelfSignedCertificate(const std::string &serviceName);

}
