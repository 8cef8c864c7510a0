#pragma once

#include <jujubequay/core/error.h>

#include <asio/ssl/context.hpp>

#include <filesystem>
#include <memory>
#include <mutex>

namespace Jujubequay {

/// Paths of the PEM files that a process uses for mutual TLS.
struct TlsFiles {
    std::filesystem::path authority; ///< certificate of the authority that issues all certificates
    std::filesystem::path certificate; ///< certificate of this process
    std::filesystem::path key; ///< private key of this process, mode 0600
};

/// Mutual TLS 1.3 for control streams: both ends present a certificate that the same authority issued.
class TlsContext
{
public:
    /// Fails with BadKeyFile if a file is missing or does not parse, or if other users can access the key file.
    static Result<std::shared_ptr<TlsContext>> load(TlsFiles files);

    /// Reads the files again. New connections use the new certificates; existing connections are not affected. On failure the previous certificates
    /// remain in use.
    Result<void> reload();

    std::shared_ptr<asio::ssl::context> server() const;
    std::shared_ptr<asio::ssl::context> client() const;
    /// Number of times that the files were read successfully, including the first.
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
