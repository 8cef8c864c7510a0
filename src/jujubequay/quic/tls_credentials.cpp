#include <jujubequay/quic/tls_credentials.h>

#include <fmt/format.h>
#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>
#include <gnutls/x509.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <ctime>
#include <fstream>
#include <iterator>

namespace Jujubequay {

namespace {

constexpr std::chrono::hours certificateLifetime{30 * 24};
/// Certificates become valid this long before they are issued, so that hosts with slow clocks accept them.
constexpr std::chrono::hours clockTolerance{1};
constexpr unsigned int certificateVersion = 3;

gnutls_datum_t toDatum(const std::string &text)
{
    // GnuTLS takes a pointer to non-const data but does not modify the data.
    return {reinterpret_cast<unsigned char *>(const_cast<char *>(text.data())), static_cast<unsigned int>(text.size())};
}

std::string moveToString(gnutls_datum_t &datum)
{
    std::string text(reinterpret_cast<const char *>(datum.data), datum.size);
    gnutls_free(datum.data);
    return text;
}

boost::leaf::error_id gnutlsFailure(const char *subject, int code)
{
    return fail(ResultCode::BadKeyFile, fmt::format("{}: {}", subject, gnutls_strerror(code)));
}

struct CertificateDeleter {
    void operator()(gnutls_x509_crt_t certificate) const
    {
        gnutls_x509_crt_deinit(certificate);
    }
};

struct KeyDeleter {
    void operator()(gnutls_x509_privkey_t key) const
    {
        gnutls_x509_privkey_deinit(key);
    }
};

using CertificatePointer = std::unique_ptr<gnutls_x509_crt_int, CertificateDeleter>;
using KeyPointer = std::unique_ptr<gnutls_x509_privkey_int, KeyDeleter>;

int fillInAndSign(gnutls_x509_crt_t certificate, gnutls_x509_privkey_t key, const std::string &serviceName)
{
    const auto now = std::chrono::system_clock::now();
    std::array<std::uint8_t, 8> serial{};
    gnutls_rnd(GNUTLS_RND_NONCE, serial.data(), serial.size());
    serial[0] &= 0x7fU; // a serial number must be positive

    int code = 0;
    const auto keepFirstError = [&code](int result) {
        code = code < 0 ? code : result;
    };
    keepFirstError(gnutls_x509_crt_set_version(certificate, certificateVersion));
    keepFirstError(gnutls_x509_crt_set_serial(certificate, serial.data(), serial.size()));
    keepFirstError(gnutls_x509_crt_set_activation_time(certificate, std::chrono::system_clock::to_time_t(now - clockTolerance)));
    keepFirstError(gnutls_x509_crt_set_expiration_time(certificate, std::chrono::system_clock::to_time_t(now + certificateLifetime)));
    keepFirstError(
        gnutls_x509_crt_set_dn_by_oid(certificate, GNUTLS_OID_X520_COMMON_NAME, 0, serviceName.data(), static_cast<unsigned int>(serviceName.size())));
    keepFirstError(gnutls_x509_crt_set_subject_alt_name(
        certificate, GNUTLS_SAN_DNSNAME, serviceName.data(), static_cast<unsigned int>(serviceName.size()), GNUTLS_FSAN_SET));
    keepFirstError(gnutls_x509_crt_set_ca_status(certificate, 1));
    keepFirstError(gnutls_x509_crt_set_key(certificate, key));
    keepFirstError(gnutls_x509_crt_sign2(certificate, certificate, key, GNUTLS_DIG_SHA256, 0));
    return code;
}

}

TlsCredentials::TlsCredentials(gnutls_certificate_credentials_st *credentials)
    : m_credentials(credentials)
{
}

TlsCredentials::~TlsCredentials()
{
    gnutls_certificate_free_credentials(m_credentials);
}

gnutls_certificate_credentials_st *TlsCredentials::native() const
{
    return m_credentials;
}

Result<std::shared_ptr<TlsCredentials>> TlsCredentials::server(const std::string &certificatePem, const std::string &keyPem)
{
    gnutls_certificate_credentials_t native = nullptr;
    if (const int code = gnutls_certificate_allocate_credentials(&native); code < 0) {
        return gnutlsFailure("credentials", code);
    }
    std::shared_ptr<TlsCredentials> credentials(new TlsCredentials(native));
    const gnutls_datum_t certificate = toDatum(certificatePem);
    const gnutls_datum_t key = toDatum(keyPem);
    if (const int code = gnutls_certificate_set_x509_key_mem(native, &certificate, &key, GNUTLS_X509_FMT_PEM); code < 0) {
        return gnutlsFailure("server certificate or key", code);
    }
    return credentials;
}

Result<std::shared_ptr<TlsCredentials>> TlsCredentials::client(const std::string &authoritiesPem)
{
    gnutls_certificate_credentials_t native = nullptr;
    if (const int code = gnutls_certificate_allocate_credentials(&native); code < 0) {
        return gnutlsFailure("credentials", code);
    }
    std::shared_ptr<TlsCredentials> credentials(new TlsCredentials(native));
    const gnutls_datum_t authorities = toDatum(authoritiesPem);
    const int count = gnutls_certificate_set_x509_trust_mem(native, &authorities, GNUTLS_X509_FMT_PEM);
    if (count <= 0) {
        return gnutlsFailure("certificate authorities", count < 0 ? count : GNUTLS_E_NO_CERTIFICATE_FOUND);
    }
    return credentials;
}

Result<std::string> readPemFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return fail(ResultCode::BadKeyFile, fmt::format("{}: cannot be opened", path));
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

Result<SelfSignedCertificate> makeSelfSignedCertificate(const std::string &serviceName)
{
    gnutls_x509_privkey_t rawKey = nullptr;
    if (const int code = gnutls_x509_privkey_init(&rawKey); code < 0) {
        return gnutlsFailure("key", code);
    }
    const KeyPointer key(rawKey);
    if (const int code = gnutls_x509_privkey_generate(rawKey, GNUTLS_PK_ECDSA, GNUTLS_CURVE_TO_BITS(GNUTLS_ECC_CURVE_SECP256R1), 0); code < 0) {
        return gnutlsFailure("key", code);
    }
    gnutls_x509_crt_t rawCertificate = nullptr;
    if (const int code = gnutls_x509_crt_init(&rawCertificate); code < 0) {
        return gnutlsFailure("certificate", code);
    }
    const CertificatePointer certificate(rawCertificate);
    if (const int code = fillInAndSign(rawCertificate, rawKey, serviceName); code < 0) {
        return gnutlsFailure("certificate", code);
    }
    gnutls_datum_t certificateText{};
    if (const int code = gnutls_x509_crt_export2(rawCertificate, GNUTLS_X509_FMT_PEM, &certificateText); code < 0) {
        return gnutlsFailure("certificate", code);
    }
    SelfSignedCertificate result;
    result.certificatePem = moveToString(certificateText);
    gnutls_datum_t keyText{};
    if (const int code = gnutls_x509_privkey_export2(rawKey, GNUTLS_X509_FMT_PEM, &keyText); code < 0) {
        return gnutlsFailure("key", code);
    }
    result.keyPem = moveToString(keyText);
    return result;
}

}
