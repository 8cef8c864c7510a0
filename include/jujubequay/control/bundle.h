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

/// Parses and checks bundle content. Fails with BadBundle; the detail names the invalid field and is stored in the replicated state.
Result<jujubequay::pb::BundleContent> parseBundle(std::string_view content);

/// Digest of the content that bundle signatures cover, in the byte format of messages.
std::string bundleDigest(std::string_view content);

/// Text that is signed with Ed25519 for a bundle: a fixed context string, which makes the signature invalid for any other purpose,
/// followed by the digest.
std::string bundleSignedText(std::string_view digest);

/// True if the signature matches the digest and the public key.
bool isBundleSignature(std::string_view publicKey, std::string_view digest, std::string_view signature);

}
