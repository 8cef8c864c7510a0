#pragma once

#include <jujubequay/core/error.h>

#include <asio/ssl/context.hpp>

#include <filesystem>
#include <memory>
#include <mutex>

namespace Jujubequay {

/// PEM files of one process.
struct TlsFiles {
    std::filesystem::path authority; ///< certificate of the authority that issues all certificates
    std::filesystem::path certificate; ///< own certificate
    std::filesystem::path key; ///< own private key, mode 0600
};

/// Mutual TLS 1.3 for control streams: both ends present a certificate of one authority.
class TlsContext
{
public:
    /// Fails with BadKeyFile if a file is missing, does not parse, or the key file is open to others.
    static Result<std::shared_ptr<TlsContext>> load(TlsFiles files);

    /// Reads the files again. Connections made afterwards use them; existing connections stay as they are. On failure
    /// the earlier certificates remain in use.
    Result<void> reload();

    std::shared_ptr<asio::ssl::context> server() const;
    std::shared_ptr<asio::ssl::context> client() const;
    /// Rises by one with each successful reload.
    std::uint64_t generation() const;

private:
    explicit TlsContext(TlsFiles files);

    TlsFiles m_files;
    mutable std::mutex m_mutex;
    std::shared_ptr<asio::ssl::context> m_server;
    std::shared_ptr<asio::ssl::context> m_client;
    std::uint64_t m_generation = 0;
};

}
