#pragma once

#include <jujubequay/core/error.h>

#include <array>
#include <cstdint>
#include <filesystem>
#include <span>

#include <sodium/crypto_sign.h>

namespace Jujubequay {

using SignerPublicKey = std::array<std::uint8_t, crypto_sign_PUBLICKEYBYTES>;
using SignerSignature = std::array<std::uint8_t, crypto_sign_BYTES>;

/// An Ed25519 key pair that signs bundles.
class SignerKey
{
public:
    /// Creates a key pair, writes the secret key to `path` (mode 0600) and the public key to `path`.pub. Fails with BadKeyFile if the file of
    /// the secret key exists or a file cannot be written.
    static Result<SignerKey> create(const std::filesystem::path &path);
    /// Reads a secret key. Fails with BadKeyFile if the file is malformed or accessible to other users.
    static Result<SignerKey> load(const std::filesystem::path &path);

    ~SignerKey();
    SignerKey(const SignerKey &) = default;
    SignerKey &operator=(const SignerKey &) = default;

    const SignerPublicKey &publicKey() const;
    SignerSignature sign(std::span<const std::uint8_t> message) const;

private:
    using Seed = std::array<std::uint8_t, crypto_sign_SEEDBYTES>;
    explicit SignerKey(const Seed &seed);

    SignerPublicKey m_publicKey{};
    std::array<std::uint8_t, crypto_sign_SECRETKEYBYTES> m_secretKey{};
};

/// Reads the public key file that SignerKey::create has written. Fails with BadKeyFile.
Result<SignerPublicKey> loadSignerPublicKey(const std::filesystem::path &path);

bool verifySignature(const SignerPublicKey &key, std::span<const std::uint8_t> message, const SignerSignature &signature);

}
