#include "jujubequay/daemon/key_text.h"

#include <jujubequay/core/invariant.h>
#include <jujubequay/daemon/signer_key.h>
#include <jujubequay/net/key_file.h>

#include <sodium.h>

#include <fstream>
#include <sstream>

namespace Jujubequay {

namespace {

constexpr std::string_view secretLabel = "jujubequay-signer-key";
constexpr std::string_view publicLabel = "jujubequay-signer-public-key";

}

SignerKey::SignerKey(const Seed &seed)
{
    crypto_sign_seed_keypair(m_publicKey.data(), m_secretKey.data(), seed.data());
}

SignerKey::~SignerKey()
{
    sodium_memzero(m_secretKey.data(), m_secretKey.size());
}

Result<SignerKey> SignerKey::create(const std::filesystem::path &path)
{
    checkInvariant(sodium_init() >= 0, "libsodium has a source of random numbers");
    Seed seed;
    randombytes_buf(seed.data(), seed.size());
    SignerKey key(seed);
    std::filesystem::path publicPath = path;
    publicPath += ".pub";
    // It may belong to a key whose private file is kept elsewhere.
    if (std::filesystem::exists(publicPath)) {
        return fail(ResultCode::BadKeyFile, fmt::format("{}: exists already", publicPath.string()));
    }
    BOOST_LEAF_CHECK(writeKeyFile(path, formatKeyText(secretLabel, seed)));
    sodium_memzero(seed.data(), seed.size());
    std::ofstream file(publicPath);
    file << formatKeyText(publicLabel, key.m_publicKey);
    file.close();
    if (!file) {
        return fail(ResultCode::BadKeyFile, fmt::format("{}: cannot be written", publicPath.string()));
    }
    return key;
}

Result<SignerKey> SignerKey::load(const std::filesystem::path &path)
{
    BOOST_LEAF_AUTO(text, readKeyFile(path));
    BOOST_LEAF_AUTO(seed, parseKeyText<crypto_sign_SEEDBYTES>(secretLabel, text, path));
    return SignerKey(seed);
}

const SignerPublicKey &SignerKey::publicKey() const
{
    return m_publicKey;
}

SignerSignature SignerKey::sign(std::span<const std::uint8_t> message) const
{
    SignerSignature signature;
    crypto_sign_detached(signature.data(), nullptr, message.data(), message.size(), m_secretKey.data());
    return signature;
}

Result<SignerPublicKey> loadSignerPublicKey(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return parseKeyText<crypto_sign_PUBLICKEYBYTES>(publicLabel, text.str(), path);
}

bool verifySignature(const SignerPublicKey &key, std::span<const std::uint8_t> message, const SignerSignature &signature)
{
    return crypto_sign_verify_detached(signature.data(), message.data(), message.size(), key.data()) == 0;
}

}
