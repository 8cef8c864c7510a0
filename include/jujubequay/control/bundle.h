#pragma once

#include <jujubequay/core/error.h>
#include <jujubequay/wire/digest.h>

#include <control.pb.h>

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace Jujubequay {

/// Largest serialized bundle content, in bytes.
constexpr std::size_t maxBundleLength = 64U << 10U;

/// True for 1 to 63 characters of a-z, 0-9 and "-" that start with a letter.
bool isServiceName(std::string_view name);

/// Parses and checks bundle content; fails with BadBundle and names the field at fault.
Result<jujubequay::pb::BundleContent> parseBundle(std::string_view content);

/// Digest that bundle signatures cover, as the bytes that messages carry.
std::string bundleDigest(std::string_view content);

/// An Ed25519 key pair. The secret half never leaves the operator's host.
struct SignerKey {
    std::array<std::uint8_t, 32> publicKey{};
    std::array<std::uint8_t, 64> secretKey{};
};

SignerKey generateSignerKey();

/// Signs the digest of a bundle.
std::string signBundle(const SignerKey &key, std::string_view digest);

/// True if the signature over the digest was made with the key.
bool isBundleSignature(std::string_view publicKey, std::string_view digest, std::string_view signature);

}
