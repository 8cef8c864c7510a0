#pragma once

#include <array>
#include <cstdint>
#include <span>

#include <sodium/crypto_generichash.h>

namespace Jujubequay {

using DigestBytes = std::array<std::uint8_t, 32>;

/// Incremental BLAKE2b-256 hash.
class Digest
{
public:
    Digest();

    void add(std::span<const std::uint8_t> bytes);
    /// Returns the digest of all bytes added. May be called only once.
    DigestBytes finish();

private:
    crypto_generichash_state m_state;
};

/// Returns the BLAKE2b-256 digest of the bytes.
DigestBytes digestOf(std::span<const std::uint8_t> bytes);

}
