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
    /// Creates a key and writes it to `path` (mode 0600) and the public key to `path`.pub. Fails with BadKeyFile if a
    /// file exists or cannot be written.
    static Result<SignerKey> create(const std::filesystem::path &path);
    /// Fails with BadKeyFile if the file is malformed or open to others.
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

/// Reads the file that SignerKey::create wrote beside the key. Fails with BadKeyFile.
Result<SignerPublicKey> loadSignerPublicKey(const std::filesystem::path &path);

bool verifySignature(const SignerPublicKey &key, std::span<const std::uint8_t> message, const SignerSignature &signature);

}
