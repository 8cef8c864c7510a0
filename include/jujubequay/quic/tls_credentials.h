#pragma once

#include <jujubequay/core/error.h>

#include <memory>
#include <string>

struct gnutls_certificate_credentials_st;

namespace Jujubequay {

/// Certificates and keys for QUIC's TLS 1.3; shared by all connections of an endpoint.
class TlsCredentials
{
public:
    /// A server's certificate chain and private key as PEM text. Fails with BadKeyFile.
    static Result<std::shared_ptr<TlsCredentials>> server(const std::string &certificatePem, const std::string &keyPem);
    /// The certificate authorities that a client accepts, as PEM text. Fails with BadKeyFile.
    static Result<std::shared_ptr<TlsCredentials>> client(const std::string &authoritiesPem);

    ~TlsCredentials();
    TlsCredentials(const TlsCredentials &) = delete;
    TlsCredentials &operator=(const TlsCredentials &) = delete;

    gnutls_certificate_credentials_st *native() const;

private:
    explicit TlsCredentials(gnutls_certificate_credentials_st *credentials);

    gnutls_certificate_credentials_st *m_credentials;
};

/// Reads a PEM file. Fails with BadKeyFile.
Result<std::string> readPemFile(const std::string &path);

/// A self-signed certificate and its key, for tests and demonstrations.
struct SelfSignedCertificate {
    std::string certificatePem;
    std::string keyPem;
};

/// Makes an ECDSA P-256 certificate that is its own authority and is valid for 30 days for the given service name.
Result<SelfSignedCertificate> makeSelfSignedCertificate(const std::string &serviceName);

}
