#include <jujubequay/net/certificate.h>
#include <jujubequay/net/key_file.h>

#include <fmt/format.h>

#include <openssl/ec.h>
#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/rand.h>
#include <openssl/x509v3.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <memory>

namespace Jujubequay {

namespace {

template<auto freeFunction>
struct Deleter {
    template<class T>
    void operator()(T *object) const
    {
        freeFunction(object);
    }
};

using KeyPointer = std::unique_ptr<EVP_PKEY, Deleter<EVP_PKEY_free>>;
using CertificatePointer = std::unique_ptr<X509, Deleter<X509_free>>;
using BioPointer = std::unique_ptr<BIO, Deleter<BIO_free>>;
using ExtensionPointer = std::unique_ptr<X509_EXTENSION, Deleter<X509_EXTENSION_free>>;
using NumberPointer = std::unique_ptr<BIGNUM, Deleter<BN_free>>;

constexpr std::array<std::string_view, 4> peerRoles{"control", "balancer", "agent", "operator"};

/// Certificates become valid this long before they are issued, so that hosts with slow clocks accept them.
constexpr auto clockTolerance = std::chrono::hours(1);

struct Issuer {
    X509 *certificate;
    EVP_PKEY *key;
};

boost::leaf::error_id opensslFailure(std::string_view step)
{
    std::array<char, 256> text{};
    ERR_error_string_n(ERR_get_error(), text.data(), text.size());
    return fail(ResultCode::BadKeyFile, fmt::format("{}: {}", step, text.data()));
}

bool addExtension(X509 *certificate, X509 *issuer, int extensionId, const char *value)
{
    X509V3_CTX context;
    X509V3_set_ctx_nodb(&context);
    X509V3_set_ctx(&context, issuer, certificate, nullptr, nullptr, 0);
    const ExtensionPointer extension(X509V3_EXT_conf_nid(nullptr, &context, extensionId, value));
    return extension && X509_add_ext(certificate, extension.get(), -1) == 1;
}

bool setSerialNumber(X509 *certificate)
{
    constexpr int serialBits = 159; // RFC 5280, 4.1.2.2: positive and at most 20 bytes
    const NumberPointer number(BN_new());
    return BN_rand(number.get(), serialBits, BN_RAND_TOP_ANY, BN_RAND_BOTTOM_ANY) == 1
        && BN_to_ASN1_INTEGER(number.get(), X509_get_serialNumber(certificate)) != nullptr;
}

bool setValidity(X509 *certificate, std::chrono::days validity)
{
    const auto tolerance = std::chrono::duration_cast<std::chrono::seconds>(clockTolerance);
    return X509_gmtime_adj(X509_getm_notBefore(certificate), -static_cast<long>(tolerance.count())) != nullptr
        && X509_time_adj_ex(X509_getm_notAfter(certificate), static_cast<int>(validity.count()), 0, nullptr) != nullptr;
}

bool addName(X509_NAME *name, const char *field, std::string_view value)
{
    const auto *text = reinterpret_cast<const unsigned char *>(value.data());
    return X509_NAME_add_entry_by_txt(name, field, MBSTRING_UTF8, text, static_cast<int>(value.size()), -1, 0) == 1;
}

CertificatePointer createCertificate(EVP_PKEY *key, std::chrono::days validity)
{
    CertificatePointer certificate(X509_new());
    const bool isFilledIn = certificate && X509_set_version(certificate.get(), X509_VERSION_3) == 1 && setSerialNumber(certificate.get())
        && setValidity(certificate.get(), validity) && X509_set_pubkey(certificate.get(), key) == 1;
    return isFilledIn ? std::move(certificate) : nullptr;
}

bool signCertificate(X509 *certificate, const Issuer &issuer)
{
    return X509_set_issuer_name(certificate, X509_get_subject_name(issuer.certificate)) == 1 && X509_sign(certificate, issuer.key, EVP_sha256()) > 0;
}

bool addAuthorityExtensions(X509 *certificate)
{
    return addExtension(certificate, certificate, NID_basic_constraints, "critical,CA:TRUE,pathlen:0")
        && addExtension(certificate, certificate, NID_key_usage, "critical,keyCertSign,cRLSign")
        && addExtension(certificate, certificate, NID_subject_key_identifier, "hash");
}

bool addPeerExtensions(X509 *certificate, X509 *issuer)
{
    return addExtension(certificate, issuer, NID_basic_constraints, "critical,CA:FALSE")
        && addExtension(certificate, issuer, NID_key_usage, "critical,digitalSignature")
        && addExtension(certificate, issuer, NID_ext_key_usage, "serverAuth,clientAuth")
        && addExtension(certificate, issuer, NID_subject_key_identifier, "hash") && addExtension(certificate, issuer, NID_authority_key_identifier, "keyid");
}

std::string bioContent(BIO *memory)
{
    char *data = nullptr;
    const long length = BIO_get_mem_data(memory, &data);
    return {data, static_cast<std::size_t>(length)};
}

Result<void> writeCertificate(const std::filesystem::path &path, X509 *certificate)
{
    const BioPointer memory(BIO_new(BIO_s_mem()));
    PEM_write_bio_X509(memory.get(), certificate);
    std::ofstream file(path, std::ios::binary);
    file << bioContent(memory.get());
    file.close();
    if (!file) {
        return fail(ResultCode::BadKeyFile, fmt::format("{}: cannot be written", path.string()));
    }
    return {};
}

Result<void> writeKey(const std::filesystem::path &path, EVP_PKEY *key)
{
    const BioPointer memory(BIO_new(BIO_s_mem()));
    PEM_write_bio_PrivateKey(memory.get(), key, nullptr, nullptr, 0, nullptr, nullptr);
    return writeKeyFile(path, bioContent(memory.get()));
}

Result<CertificateFiles> writeCertificateFiles(const CertificateFiles &files, X509 *certificate, EVP_PKEY *key)
{
    BOOST_LEAF_CHECK(writeKey(files.key, key));
    BOOST_LEAF_CHECK(writeCertificate(files.certificate, certificate));
    return files;
}

Result<CertificatePointer> loadCertificate(const std::filesystem::path &path)
{
    const BioPointer file(BIO_new_file(path.c_str(), "r"));
    CertificatePointer certificate(file ? PEM_read_bio_X509(file.get(), nullptr, nullptr, nullptr) : nullptr);
    if (!certificate) {
        return opensslFailure(path.string());
    }
    return certificate;
}

Result<KeyPointer> loadKey(const std::filesystem::path &path)
{
    BOOST_LEAF_AUTO(text, readKeyFile(path));
    const BioPointer memory(BIO_new_mem_buf(text.data(), static_cast<int>(text.size())));
    KeyPointer key(PEM_read_bio_PrivateKey(memory.get(), nullptr, nullptr, nullptr));
    if (!key) {
        return opensslFailure(path.string());
    }
    return key;
}

}

bool isPeerRole(std::string_view role)
{
    return std::find(peerRoles.begin(), peerRoles.end(), role) != peerRoles.end();
}

bool isPeerName(std::string_view name)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_";
    constexpr std::size_t maxCommonName = 64; // ub-common-name of X.520
    return !name.empty() && name.size() <= maxCommonName && name.front() != '.' && name.find_first_not_of(allowed) == std::string_view::npos;
}

CertificateFiles authorityFiles(const std::filesystem::path &directory)
{
    return {directory / "authority.crt", directory / "authority.key"};
}

Result<CertificateFiles> createCertificateAuthority(const std::filesystem::path &directory, std::string_view name, std::chrono::days validity)
{
    if (!isPeerName(name)) {
        return fail(ResultCode::BadCommandLine, fmt::format("\"{}\" is not a valid name", name));
    }
    const KeyPointer key(EVP_EC_gen("P-256"));
    if (!key) {
        return opensslFailure("generating a key");
    }
    const auto certificate = createCertificate(key.get(), validity);
    const bool isSigned = certificate && addName(X509_get_subject_name(certificate.get()), "CN", name) && addAuthorityExtensions(certificate.get())
        && signCertificate(certificate.get(), {certificate.get(), key.get()});
    if (!isSigned) {
        return opensslFailure("signing the certificate");
    }
    return writeCertificateFiles(authorityFiles(directory), certificate.get(), key.get());
}

Result<CertificateFiles> issueCertificate(const CertificateFiles &authority,
                                          const PeerIdentity &identity,
                                          const std::filesystem::path &directory,
                                          std::chrono::days validity)
{
    if (!isPeerName(identity.name) || !isPeerRole(identity.role)) {
        return fail(ResultCode::BadCommandLine, fmt::format("\"{}\" with role \"{}\" is not a valid identity", identity.name, identity.role));
    }
    BOOST_LEAF_AUTO(issuer, loadCertificate(authority.certificate));
    BOOST_LEAF_AUTO(issuerKey, loadKey(authority.key));
    const KeyPointer key(EVP_EC_gen("P-256"));
    if (!key) {
        return opensslFailure("generating a key");
    }
    const auto certificate = createCertificate(key.get(), validity);
    const bool isSigned = certificate && addName(X509_get_subject_name(certificate.get()), "CN", identity.name)
        && addName(X509_get_subject_name(certificate.get()), "OU", identity.role) && addPeerExtensions(certificate.get(), issuer.get())
        && signCertificate(certificate.get(), {issuer.get(), issuerKey.get()});
    if (!isSigned) {
        return opensslFailure("signing the certificate");
    }
    return writeCertificateFiles({directory / (identity.name + ".crt"), directory / (identity.name + ".key")}, certificate.get(), key.get());
}

}
