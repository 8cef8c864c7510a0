#include <jujubequay/net/key_file.h>
#include <jujubequay/net/tls_context.h>

#include <asio/ssl/verify_mode.hpp>
#include <fmt/format.h>

#include <openssl/ssl.h>

#include <algorithm>
#include <array>

namespace Jujubequay {

namespace {

enum class TlsRole : std::uint8_t { Client, Server };

constexpr std::array<unsigned char, 3> alpnList{2, 'h', '2'}; // each protocol name follows its length

int selectAlpn(SSL *, const unsigned char **out, unsigned char *outLength, const unsigned char *offered, unsigned int offeredLength, void *)
{
    unsigned char *selected = nullptr;
    const int status = SSL_select_next_proto(&selected, outLength, alpnList.data(), alpnList.size(), offered, offeredLength);
    *out = selected;
    return status == OPENSSL_NPN_NEGOTIATED ? SSL_TLSEXT_ERR_OK : SSL_TLSEXT_ERR_ALERT_FATAL;
}

void configure(asio::ssl::context &context, TlsRole role)
{
    SSL_CTX *native = context.native_handle();
    SSL_CTX_set_min_proto_version(native, TLS1_3_VERSION);
    // Idle connections release their record buffers: a host has thousands of connections.
    SSL_CTX_set_mode(native, SSL_MODE_RELEASE_BUFFERS);
    // Session resumption is disabled: every new connection verifies a certificate, so that a reload takes effect.
    SSL_CTX_set_session_cache_mode(native, SSL_SESS_CACHE_OFF);
    SSL_CTX_set_num_tickets(native, 0);
    context.set_verify_mode(asio::ssl::verify_peer | asio::ssl::verify_fail_if_no_peer_cert);
    if (role == TlsRole::Server) {
        SSL_CTX_set_alpn_select_cb(native, selectAlpn, nullptr);
    } else {
        SSL_CTX_set_alpn_protos(native, alpnList.data(), alpnList.size());
    }
}

Result<std::shared_ptr<asio::ssl::context>> createContext(const TlsFiles &files, TlsRole role)
{
    BOOST_LEAF_CHECK(checkKeyFile(files.key));
    auto context = std::make_shared<asio::ssl::context>(role == TlsRole::Server ? asio::ssl::context::tls_server : asio::ssl::context::tls_client);
    asio::error_code error;
    const auto failure = [&error](const std::filesystem::path &path) {
        return fail(ResultCode::BadKeyFile, fmt::format("{}: {}", path.string(), error.message()));
    };
    context->load_verify_file(files.authority.string(), error);
    if (error) {
        return failure(files.authority);
    }
    context->use_certificate_chain_file(files.certificate.string(), error);
    if (error) {
        return failure(files.certificate);
    }
    context->use_private_key_file(files.key.string(), asio::ssl::context::pem, error);
    if (error) {
        return failure(files.key);
    }
    if (SSL_CTX_check_private_key(context->native_handle()) != 1) {
        return fail(ResultCode::BadKeyFile, fmt::format("{}: does not belong to {}", files.key.string(), files.certificate.string()));
    }
    configure(*context, role);
    return context;
}

}

TlsContext::TlsContext(TlsFiles files)
    : m_files(std::move(files))
{
}

Result<std::shared_ptr<TlsContext>> TlsContext::load(TlsFiles files)
{
    std::shared_ptr<TlsContext> context(new TlsContext(std::move(files)));
    BOOST_LEAF_CHECK(context->reload());
    return context;
}

Result<void> TlsContext::reload()
{
    BOOST_LEAF_AUTO(server, createContext(m_files, TlsRole::Server));
    BOOST_LEAF_AUTO(client, createContext(m_files, TlsRole::Client));
    const std::lock_guard lock(m_mutex);
    m_server = std::move(server);
    m_client = std::move(client);
    ++m_generation;
    return {};
}

std::shared_ptr<asio::ssl::context> TlsContext::server() const
{
    const std::lock_guard lock(m_mutex);
    return m_server;
}

std::shared_ptr<asio::ssl::context> TlsContext::client() const
{
    const std::lock_guard lock(m_mutex);
    return m_client;
}

std::uint64_t TlsContext::generation() const
{
    const std::lock_guard lock(m_mutex);
    return m_generation;
}

}
