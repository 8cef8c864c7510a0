#pragma once

#include <jujubequay/core/error.h>
#include <jujubequay/wire/digest.h>

#include <control.pb.h>

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

/// The text that Ed25519 signatures of a bundle are made over: a fixed context, so that a signature has no other use, and
/// the digest.
std::string bundleSignedText(std::string_view digest);

/// True if the signature over the digest was made with the key.
bool isBundleSignature(std::string_view publicKey, std::string_view digest, std::string_view signature);

}
